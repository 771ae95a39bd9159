//! Selection of workers for the tasks of one step.

use std::{cmp::Reverse, collections::BinaryHeap};

use crate::{Demand, SpeedClass, WorkerNumber};

/// A worker that may run tasks of the step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Number of the worker.
    pub worker: WorkerNumber,
    /// Capacity that is free for this step.
    pub free: Demand,
    /// Most further tasks of the step, regardless of the free capacity.
    pub max_tasks: u32,
    /// Whether the worker is on the rack with the step's data, or the step prefers no rack.
    pub on_preferred_rack: bool,
    /// Number of the rack, for steps whose tasks should share one.
    pub rack: u32,
    /// Place of the worker's failure domain in the order of the job; lower places are preferred.
    pub domain_place: u32,
    /// Sum of the reasons to avoid the worker, such as failures and reservations; lower values are
    /// preferred.
    pub risk: u32,
    /// Speed of the worker.
    pub speed: SpeedClass,
}

/// Workers that a step prefers for their speed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum SpeedPreference {
    /// All but very slow ones alike.
    #[default]
    None,
    /// The fastest: the step has little time to spare.
    Fast,
    /// Slow ones, so that fast ones stay free: the step has much time to spare.
    Slow,
}

impl SpeedPreference {
    /// Returns the rank of a class; lower ranks are preferred. Very slow workers come last in any
    /// case.
    #[must_use]
    pub fn rank(self, speed: SpeedClass) -> u8 {
        let from_slow = match speed {
            SpeedClass::VerySlow => return u8::MAX,
            SpeedClass::Slow => 0,
            SpeedClass::Usual => 1,
            SpeedClass::Fast => 2,
            SpeedClass::VeryFast => 3,
        };
        match self {
            Self::None => 0,
            Self::Fast => 3 - from_slow,
            Self::Slow => from_slow,
        }
    }
}

impl Candidate {
    /// Returns how many tasks of this demand fit.
    #[must_use]
    pub fn slots(&self, demand: &Demand) -> u32 {
        demand.times_in(&self.free).min(self.max_tasks)
    }
}

/// Places tasks one by one. Of the workers with the lowest risk, on the preferred rack and in the
/// preferred failure domain if possible, and of the preferred speed, each task gets the one with the
/// least processor capacity left afterwards, so that large gaps remain for large tasks. No task waits
/// for a preferred worker.
/// Returns one worker for each placed task; fewer than `tasks` if the capacity does not suffice.
#[must_use]
pub fn place_separately(
    demand: &Demand,
    tasks: u32,
    mut candidates: Vec<Candidate>,
    preference: SpeedPreference,
) -> Vec<WorkerNumber> {
    let key = |candidate: &Candidate| {
        let left = candidate.free.minus(demand, 1);
        (
            candidate.risk,
            !candidate.on_preferred_rack,
            preference.rank(candidate.speed),
            candidate.domain_place,
            left.cpu_millicores,
            candidate.worker,
        )
    };
    let with_room = (0..).zip(&candidates);
    let with_room = with_room.filter(|(_, candidate)| candidate.slots(demand) > 0);
    let mut best_first: BinaryHeap<_> = with_room
        .map(|(position, candidate)| Reverse((key(candidate), position)))
        .collect();
    let mut placed = Vec::new();
    while placed.len() < tasks as usize
        && let Some(Reverse((_, position))) = best_first.pop()
    {
        let best: &mut Candidate = &mut candidates[position];
        best.free = best.free.minus(demand, 1);
        best.max_tasks -= 1;
        placed.push(best.worker);
        if best.slots(demand) > 0 {
            best_first.push(Reverse((key(best), position)));
        }
    }
    placed
}

/// Places all tasks of a gang, or none. With `rack_local`, single racks are tried first. Workers of
/// equal speed are preferred, because the members of a gang end together.
#[must_use]
pub fn place_gang(
    demand: &Demand,
    tasks: u32,
    candidates: &[Candidate],
    rack_local: bool,
    preference: SpeedPreference,
) -> Option<Vec<WorkerNumber>> {
    // Most waiting gangs have too little room for any choice.
    if !has_slots(demand, tasks, candidates) {
        return None;
    }
    if rack_local {
        let mut racks: Vec<u32> = candidates.iter().map(|c| c.rack).collect();
        racks.sort_unstable();
        racks.dedup();
        let in_rack = |rack: u32| {
            let members = candidates.iter().filter(|c| c.rack == rack);
            let members: Vec<Candidate> = members.copied().collect();
            place_at_one_speed(demand, tasks, &members, preference)
        };
        if let Some(placed) = racks.into_iter().find_map(in_rack) {
            return Some(placed);
        }
    }
    place_at_one_speed(demand, tasks, candidates, preference)
}

/// Tries the classes of speed one by one and together. The reasons that outweigh speed decide first,
/// by their sums over all tasks, then the rank of the class.
fn place_at_one_speed(
    demand: &Demand,
    tasks: u32,
    candidates: &[Candidate],
    preference: SpeedPreference,
) -> Option<Vec<WorkerNumber>> {
    let mut classes: Vec<SpeedClass> = candidates.iter().map(|c| c.speed).collect();
    classes.sort_unstable();
    classes.dedup();
    if classes.len() < 2 {
        return place_all(demand, tasks, candidates.to_vec());
    }
    classes.sort_by_key(|class| preference.rank(*class));
    let of_class = |class: &SpeedClass| {
        let members = candidates.iter().filter(|c| c.speed == *class);
        members.copied().collect::<Vec<_>>()
    };
    let without_very_slow = candidates.iter();
    let without_very_slow = without_very_slow.filter(|c| c.speed != SpeedClass::VerySlow);
    let mixtures = [
        without_very_slow.copied().collect::<Vec<_>>(),
        candidates.to_vec(),
    ];
    let usable = classes.iter().filter(|c| **c != SpeedClass::VerySlow);
    let options = usable.map(of_class).chain(mixtures);
    let placed = options.filter_map(|members| {
        let placed = place_all(demand, tasks, members)?;
        let chosen = |worker: &WorkerNumber| candidates.iter().find(|c| c.worker == *worker);
        let chosen: Vec<&Candidate> = placed.iter().filter_map(chosen).collect();
        let risk: u64 = chosen.iter().map(|c| u64::from(c.risk)).sum();
        let other_rack = chosen.iter().filter(|c| !c.on_preferred_rack).count();
        Some(((risk, other_rack), placed))
    });
    // Of equal keys, the first is the minimum.
    let best = placed.min_by_key(|(key, _)| *key);
    best.map(|(_, placed)| placed)
}

fn place_all(
    demand: &Demand,
    tasks: u32,
    mut candidates: Vec<Candidate>,
) -> Option<Vec<WorkerNumber>> {
    if !has_slots(demand, tasks, &candidates) {
        return None;
    }
    candidates.retain(|candidate| candidate.slots(demand) > 0);
    // Among workers of equal risk, rack preference and failure domain, uses the fewest; with the same number of
    // slots, those that are filled best.
    candidates.sort_by_key(|candidate| {
        let slots = candidate.slots(demand);
        let left = candidate.free.minus(demand, slots);
        (
            candidate.risk,
            !candidate.on_preferred_rack,
            candidate.domain_place,
            u32::MAX - slots,
            left.cpu_millicores,
            candidate.worker,
        )
    });
    let mut placed = Vec::new();
    for candidate in candidates {
        let remaining = tasks - u32::try_from(placed.len()).unwrap_or(u32::MAX);
        let take = candidate.slots(demand).min(remaining);
        placed.extend((0..take).map(|_| candidate.worker));
    }
    Some(placed)
}

/// Returns how many tasks fit on the candidates together.
#[must_use]
pub fn slots_on(demand: &Demand, candidates: &[Candidate]) -> u32 {
    let slots = candidates.iter().map(|c| c.slots(demand));
    slots.fold(0, u32::saturating_add)
}

/// Returns whether so many tasks fit on the candidates together.
fn has_slots(demand: &Demand, tasks: u32, candidates: &[Candidate]) -> bool {
    slots_on(demand, candidates) >= tasks
}

#[cfg(test)]
mod tests;
