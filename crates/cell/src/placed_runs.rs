//! Index of the placed runs by worker, derived from the jobs.

use acaciareel_types::SortedVec;

use crate::{RunKey, WorkerNumber};

/// Runs that are placed on each worker. Without it, each crash of a worker would search all tasks.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct PlacedRuns {
    /// Sorted runs of each worker that has any, so that equal states have equal indexes.
    by_worker: SortedVec<WorkerNumber, Vec<RunKey>>,
}

impl PlacedRuns {
    /// Adds a run to a worker.
    pub fn add(&mut self, worker: WorkerNumber, key: RunKey) {
        let runs = self.by_worker.get_or_insert_with(worker, Vec::new);
        if let Err(at) = runs.binary_search(&key) {
            runs.insert(at, key);
        }
    }

    /// Removes a run from a worker.
    pub fn remove(&mut self, worker: WorkerNumber, key: RunKey) {
        let Some(runs) = self.by_worker.get_mut(&worker) else {
            return;
        };
        if let Ok(at) = runs.binary_search(&key) {
            runs.remove(at);
        }
        if runs.is_empty() {
            self.by_worker.remove(&worker);
        }
    }

    /// Returns the runs on a worker, sorted.
    pub fn on(&self, worker: WorkerNumber) -> &[RunKey] {
        self.by_worker.get(&worker).map_or(&[], Vec::as_slice)
    }
}
