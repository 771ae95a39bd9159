//! Workers that a waiting gang keeps from steps after it until it has enough room.
//!
//! A gang needs room for all its tasks at once. Narrower gangs and single tasks behind it fit into the
//! room that becomes free bit by bit, so it would wait for as long as they come. The load that this
//! answers is gangs that need many empty workers while most capacity is in use.

use acaciareel_types::Millis;

use super::{
    Leader,
    pass::{FreeCapacity, FreeCapacityByWorker, counted_demand},
};
use crate::{Demand, Job, StepKey, StepSpec, WorkerNumber, placement::Candidate};

/// Share of the usable workers that all gangs together may keep, in thousandths. Kept workers are idle
/// in part until they are empty enough. A single gang may keep more.
const MAX_KEPT_PERMILLE: usize = 100;
/// Longest time for which a gang keeps workers; nearly all runs end within it. Then the steps after it
/// get the workers for as long, in case a run on one of them takes much longer.
const KEEP_MS: u64 = 30_000;
/// Time without held room after which a turn of [`HoldTurn`] begins anew.
const TURN_GAP_MS: u64 = 1_000;

/// A worker that a gang may keep.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct KeepOption {
    pub worker: WorkerNumber,
    /// Tasks that have room now.
    pub slots: u32,
    /// Tasks that have room once the runs have ended that end by themselves.
    pub slots_if_empty: u32,
    /// Processor share in use.
    pub used_millicores: u32,
    /// Whether the gang has kept the worker so far.
    pub kept: bool,
}

/// Returns the workers that a gang of `tasks` keeps, sorted: those that it has kept so far, then those
/// that lack the least. Returns none if the gang does not fit on all of them together.
pub(super) fn workers_to_keep(tasks: u32, mut options: Vec<KeepOption>) -> Vec<WorkerNumber> {
    options.sort_unstable_by_key(|option| {
        let lacking = option.slots_if_empty.saturating_sub(option.slots);
        (!option.kept, lacking, option.used_millicores, option.worker)
    });
    let mut slots = 0;
    let mut kept = Vec::new();
    for option in options {
        if slots >= tasks {
            break;
        }
        if option.slots_if_empty > 0 {
            slots += option.slots_if_empty;
            kept.push(option.worker);
        }
    }
    if slots < tasks {
        return Vec::new();
    }
    kept.sort_unstable();
    kept
}

/// Returns whether a gang may keep so many workers beside those that gangs before it keep.
pub(super) fn may_keep(count: usize, kept_before: usize, usable: usize) -> bool {
    kept_before == 0 || (kept_before + count) * 1_000 <= usable * MAX_KEPT_PERMILLE
}

/// Returns whether a gang that began to keep workers some time ago may do so now.
pub(super) fn is_turn_to_keep(since_began_ms: u64) -> bool {
    (since_began_ms / KEEP_MS).is_multiple_of(2)
}

/// When gangs that need most of a service's workers may hold room while most of the service is idle:
/// for [`KEEP_MS`], and then not for as long. The turn is the service's, because gangs that take turns
/// would otherwise keep other work waiting for ever.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct HoldTurn {
    /// Begin of the latest turn, and the last time at which room was held in it.
    latest: Option<(Millis, Millis)>,
}

impl HoldTurn {
    /// Returns whether room may be held now, and notes that it is.
    pub fn take(&mut self, now_ms: Millis) -> bool {
        let since = |at_ms: Millis| now_ms.saturating_sub(at_ms).0;
        let began_ms = match self.latest {
            // Others could use the room in between.
            Some((began_ms, held_ms))
                if since(began_ms) < KEEP_MS && since(held_ms) > TURN_GAP_MS =>
            {
                now_ms
            }
            Some((began_ms, _)) if since(began_ms) < KEEP_MS => began_ms,
            Some((began_ms, _)) if since(began_ms) < 2 * KEEP_MS => return false,
            _ => now_ms,
        };
        self.latest = Some((began_ms, now_ms));
        true
    }
}

/// Share of a service's workers that a gang needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum GangWidth {
    /// At most half.
    Narrow,
    /// More than half.
    Wide,
}

impl GangWidth {
    /// Returns the width of a gang; `None` if its tasks do not fit on all workers together. `slots` are the
    /// tasks that fit on each worker.
    pub fn new(tasks: u32, slots: impl Iterator<Item = u32>) -> Option<Self> {
        let (mut needed, mut usable, mut room) = (0, 0, 0_u32);
        for slots in slots.filter(|slots| *slots > 0) {
            usable += 1;
            needed += usize::from(room < tasks);
            room = room.saturating_add(slots);
            if room >= tasks && needed * 2 <= usable {
                return Some(Self::Narrow);
            }
        }
        (room >= tasks).then_some(Self::Wide)
    }
}

/// What a waiting gang withholds from the steps after it.
#[derive(Clone, Debug, Default)]
pub(super) struct Withheld {
    /// Workers that it keeps until it has enough room, sorted.
    pub kept: Vec<WorkerNumber>,
    /// Workers that it has chosen, one for each task, while it waits for their tickets.
    pub chosen: Vec<WorkerNumber>,
}

impl Leader {
    /// Withholds what a step withheld in the pass that examined it last. Passes that leave the step
    /// out would otherwise give its room to steps after it.
    pub(super) fn withhold_again(
        &self,
        (key, spec): (StepKey, &StepSpec),
        free_capacity: &mut FreeCapacityByWorker,
        kept_count: &mut usize,
    ) {
        let Some(step) = self.steps.get(&key) else {
            return;
        };
        *kept_count += step.withheld.kept.len();
        withhold(&step.withheld, &counted_demand(spec), free_capacity);
    }

    /// Returns whether a waiting gang may keep or reserve room now. Room for one that fits on no set of
    /// workers would only keep others waiting.
    pub(super) fn may_hold_room(
        &mut self,
        job: &Job,
        (spec, tasks): (&StepSpec, u32),
        free_capacity: &FreeCapacityByWorker,
        now_ms: Millis,
    ) -> bool {
        let demand = counted_demand(spec);
        let most_per_worker = spec.max_per_worker.unwrap_or(u32::MAX);
        let workers = free_capacity.keys().filter_map(|n| self.workers.get(n));
        let slots = workers
            .filter(|view| view.suits(spec, &job.queue))
            .map(|view| demand.times_in(&view.most_free).min(most_per_worker));
        match GangWidth::new(tasks, slots) {
            None => return false,
            Some(GangWidth::Wide) if self.is_half_free(job, now_ms) => {}
            Some(_) => return true,
        }
        let service = job.queue.service.clone();
        let turn = self
            .hold_turns
            .get_or_insert_with(service, HoldTurn::default);
        turn.take(now_ms)
    }

    /// Ends what a step withholds, and returns the workers that it kept.
    pub(super) fn release_withheld(&mut self, key: StepKey) -> Vec<WorkerNumber> {
        let step = self.steps.get_mut(&key);
        step.map_or_else(Vec::new, |step| std::mem::take(&mut step.withheld).kept)
    }

    /// Lets a gang that lacks room keep workers, if it may.
    pub(super) fn keep_workers(
        &mut self,
        (key, spec, tasks): (StepKey, &StepSpec, u32),
        (candidates, kept_before): (&[Candidate], &[WorkerNumber]),
        free_capacity: &mut FreeCapacityByWorker,
        kept_count: &mut usize,
        now_ms: Millis,
    ) {
        let demand = counted_demand(spec);
        let usable = free_capacity.len();
        let Some(step) = self.steps.get_mut(&key) else {
            return;
        };
        let began_ms = *step.keeps_since_ms.get_or_insert(now_ms);
        let is_turn = is_turn_to_keep(now_ms.saturating_sub(began_ms).0);
        let may_keep_any = may_keep(1, *kept_count, usable);
        if !is_turn || !may_keep_any {
            return;
        }
        let option = |candidate: &Candidate| {
            let view = self.workers.get(&candidate.worker)?;
            let capacity = view.record.capacity;
            Some(KeepOption {
                worker: candidate.worker,
                slots: candidate.slots(&demand),
                slots_if_empty: demand.times_in(&view.most_free).min(candidate.max_tasks),
                used_millicores: capacity
                    .cpu_millicores
                    .saturating_sub(candidate.free.cpu_millicores),
                kept: kept_before.binary_search(&candidate.worker).is_ok(),
            })
        };
        let options = candidates.iter().filter_map(option).collect();
        let kept = workers_to_keep(tasks, options);
        if kept.is_empty() {
            return;
        }
        if !may_keep(kept.len(), *kept_count, usable) {
            // The gangs after this one do not keep workers before it.
            *kept_count = usable;
            return;
        }
        *kept_count += kept.len();
        self.mark_reserved(kept.iter().copied());
        let withheld = Withheld {
            kept,
            chosen: Vec::new(),
        };
        withhold(&withheld, &demand, free_capacity);
        if let Some(step) = self.steps.get_mut(&key) {
            step.withheld = withheld;
        }
    }
}

fn withhold(withheld: &Withheld, demand: &Demand, free_capacity: &mut FreeCapacityByWorker) {
    for worker in &withheld.kept {
        if let Some(available) = free_capacity.get_mut(worker) {
            *available = FreeCapacity::default();
        }
    }
    for worker in &withheld.chosen {
        if let Some(available) = free_capacity.get_mut(worker) {
            available.take(demand);
        }
    }
}

#[cfg(test)]
mod tests;
