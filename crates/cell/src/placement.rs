//! Selection of workers for the tasks of one step.

use crate::{Demand, WorkerNumber};

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
    /// Sum of the reasons to avoid the worker, such as failures and reservations; lower values are
    /// preferred.
    pub risk: u32,
}

impl Candidate {
    /// Returns how many tasks of this demand fit.
    #[must_use]
    pub fn slots(&self, demand: &Demand) -> u32 {
        demand.times_in(&self.free).min(self.max_tasks)
    }
}

/// Places tasks one by one. Of the workers with the lowest risk, on the preferred rack if possible,
/// each task gets the one with the least processor capacity left afterwards, so that large gaps
/// remain for large tasks. Returns one worker for each placed task; fewer than `tasks` if the
/// capacity does not suffice.
#[must_use]
pub fn place_separately(
    demand: &Demand,
    tasks: u32,
    mut candidates: Vec<Candidate>,
) -> Vec<WorkerNumber> {
    let mut placed = Vec::new();
    while placed.len() < tasks as usize {
        let best = candidates
            .iter_mut()
            .filter(|candidate| candidate.slots(demand) > 0)
            .min_by_key(|candidate| {
                let left = candidate.free.minus(demand, 1);
                (
                    candidate.risk,
                    !candidate.on_preferred_rack,
                    left.cpu_millicores,
                    candidate.worker,
                )
            });
        let Some(best) = best else {
            break;
        };
        best.free = best.free.minus(demand, 1);
        best.max_tasks -= 1;
        placed.push(best.worker);
    }
    placed
}

/// Places all tasks of a gang, or none. With `rack_local`, single racks are tried first.
#[must_use]
pub fn place_gang(
    demand: &Demand,
    tasks: u32,
    candidates: &[Candidate],
    rack_local: bool,
) -> Option<Vec<WorkerNumber>> {
    if rack_local {
        let mut racks: Vec<u32> = candidates.iter().map(|c| c.rack).collect();
        racks.sort_unstable();
        racks.dedup();
        let in_rack = |rack: u32| {
            let members = candidates.iter().filter(|c| c.rack == rack);
            place_all(demand, tasks, members.copied().collect())
        };
        if let Some(placed) = racks.into_iter().find_map(in_rack) {
            return Some(placed);
        }
    }
    place_all(demand, tasks, candidates.to_vec())
}

fn place_all(
    demand: &Demand,
    tasks: u32,
    mut candidates: Vec<Candidate>,
) -> Option<Vec<WorkerNumber>> {
    candidates.retain(|candidate| candidate.slots(demand) > 0);
    let slots: u32 = candidates
        .iter()
        .fold(0, |sum, c| sum.saturating_add(c.slots(demand)));
    if slots < tasks {
        return None;
    }
    // Among workers of equal risk and rack preference, uses the fewest; with the same number of
    // slots, those that are filled best.
    candidates.sort_by_key(|candidate| {
        let slots = candidate.slots(demand);
        let left = candidate.free.minus(demand, slots);
        (
            candidate.risk,
            !candidate.on_preferred_rack,
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
