//! How long long-running tasks have waited for another run, and which capacity they may use then.
//!
//! Capacity is held back for waiting gangs and for suspects. A long-running task serves its callers
//! only while it runs, so its restart is held up by them for a bounded time only. The load that this
//! answers is long-running tasks that end while others hold all workers with room.

use acaciareel_types::{Millis, SortedVec};

use super::{Leader, isolation::TaskGroup, pass::counted_demand};
use crate::{
    CellState, Demand, JobId, StepKey, StepSpec, TaskKey, WorkerNumber, placement::Candidate,
};

/// Wait after which a restart may use capacity that is held for gangs and suspects. It lets a gang
/// start that lacks little, and leaves most of the 9 s that callers accept (rule of the users).
const USE_HELD_AFTER_MS: u64 = 2_000;
/// Wait after which a restart may use workers that it avoids until then: a run on one of them is better
/// than none. Short trials of suspects end before.
const USE_DOUBTFUL_AFTER_MS: u64 = 4_000;
/// Added to the risk of workers whose room is held for others, so that they are chosen last.
const HELD_RISK: u32 = 1_000;

/// Capacity that waiting tasks may use; each scope includes those before it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum CapacityScope {
    /// What is held for nobody.
    Unheld,
    /// What is held for waiting gangs, and workers that drain for suspects.
    Held,
    /// Workers with a suspect on trial, on probation, or that have turned very slow.
    Doubtful,
}

impl CapacityScope {
    /// Returns the scope for a task that has waited so long for a restart.
    pub fn of_restart(waited_ms: u64) -> Self {
        if waited_ms >= USE_DOUBTFUL_AFTER_MS {
            Self::Doubtful
        } else if waited_ms >= USE_HELD_AFTER_MS {
            Self::Held
        } else {
            Self::Unheld
        }
    }
}

/// Since when long-running tasks whose last run has ended have waited. A wait lasts until a worker confirms the next
/// run; nothing that is placed or ends beside the task moves its begin.
#[derive(Clone, Debug, Default)]
pub(super) struct Restarts {
    since_ms: SortedVec<StepKey, SortedVec<u32, Millis>>,
}

impl Restarts {
    /// Notes that a task waits for another run.
    pub fn note(&mut self, task: TaskKey, now_ms: Millis) {
        let step = self.since_ms.get_or_insert_with(task.step, SortedVec::new);
        step.get_or_insert_with(task.index, || now_ms);
    }

    /// Ends the wait of a task, which runs.
    pub fn end(&mut self, task: TaskKey) {
        if let Some(step) = self.since_ms.get_mut(&task.step) {
            step.remove(&task.index);
            if step.is_empty() {
                self.since_ms.remove(&task.step);
            }
        }
    }

    /// Forgets the tasks of a job.
    pub fn remove_job(&mut self, job: JobId) {
        self.since_ms.retain(|key, _| key.job != job);
    }

    /// Returns how long a task has waited; `None` if it has not run before.
    pub fn waited_ms(&self, task: TaskKey, now_ms: Millis) -> Option<u64> {
        let since_ms = self.since_ms.get(&task.step)?.get(&task.index)?;
        Some(now_ms.saturating_sub(*since_ms).0)
    }
}

impl Leader {
    /// Returns which capacity a waiting task may use.
    pub(super) fn capacity_scope(
        &self,
        spec: &StepSpec,
        task: TaskKey,
        now_ms: Millis,
    ) -> CapacityScope {
        if !spec.long_running {
            return CapacityScope::Unheld;
        }
        let waited_ms = self.restarts.waited_ms(task, now_ms);
        waited_ms.map_or(CapacityScope::Unheld, CapacityScope::of_restart)
    }

    /// Opens the capacity that is held for others to restarts that have waited long enough, after all
    /// other room: first where the gangs that keep workers miss it least.
    pub(super) fn open_held_capacity(
        &self,
        state: &CellState,
        (key, spec): (StepKey, &StepSpec),
        group: &TaskGroup,
        candidates: &mut [Candidate],
    ) {
        if group.scope == CapacityScope::Unheld {
            return;
        }
        let demand = counted_demand(spec);
        for candidate in candidates {
            let Some(view) = self.workers.get(&candidate.worker) else {
                continue;
            };
            let drains = self.drains_for_others(candidate.worker, group.suspects.map(|_| key));
            if candidate.free == view.free && !drains {
                continue;
            }
            candidate.free = view.free;
            let missed = self.gang_tasks_displaced(state, candidate.worker, &demand);
            candidate.risk = candidate
                .risk
                .saturating_add(HELD_RISK)
                .saturating_add(missed);
        }
    }

    /// Returns whether a task would fit on one of the candidates if nothing were held for others there.
    pub(super) fn has_held_room(&self, demand: &Demand, candidates: &[Candidate]) -> bool {
        let mut full = candidates.iter().filter(|c| c.slots(demand) == 0);
        full.any(|candidate| {
            let view = self.workers.get(&candidate.worker);
            candidate.max_tasks > 0 && view.is_some_and(|view| demand.times_in(&view.free) > 0)
        })
    }

    /// Returns how many tasks of the gang that keeps a worker no longer fit on it beside a further run.
    fn gang_tasks_displaced(
        &self,
        state: &CellState,
        worker: WorkerNumber,
        demand: &Demand,
    ) -> u32 {
        let keeps = |step: &super::WaitingStep| step.withheld.kept.binary_search(&worker).is_ok();
        let mut keeping = self.steps.iter().filter(|(_, step)| keeps(step));
        let gang = keeping.next().and_then(|(key, _)| {
            let spec = state.job(key.job)?.step_spec(*key)?;
            Some(counted_demand(spec))
        });
        let Some((gang, view)) = gang.zip(self.workers.get(&worker)) else {
            return 0;
        };
        let left = gang.times_in(&view.most_free.minus(demand, 1));
        gang.times_in(&view.most_free).saturating_sub(left)
    }
}

#[cfg(test)]
mod tests;
