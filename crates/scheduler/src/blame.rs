//! Blame of a kind that fails on many workers.

use std::collections::VecDeque;

use crate::index::WorkerIndex;

/// Latest outcomes of a kind that are judged.
const RECENT: usize = 64;
/// Workers that must have failed it. Below three, the workers may be at fault.
const LEAST_WORKERS: usize = 3;
/// Share of failures that is needed, since rare failures spread over many workers too.
const LEAST_FAILED_PERCENT: usize = 25;

/// Recent outcomes of one kind over all workers.
#[derive(Clone, Debug, Default)]
pub(crate) struct KindHealth {
    recent: VecDeque<(WorkerIndex, bool)>,
    blamed: bool,
}

impl KindHealth {
    /// Returns whether the kind, not the workers, is responsible for its failures.
    pub(crate) fn blamed(&self) -> bool {
        self.blamed
    }

    /// Records an outcome and returns whether the kind is newly blamed.
    pub(crate) fn record(&mut self, worker: WorkerIndex, ok: bool) -> bool {
        if self.recent.len() >= RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back((worker, ok));
        if ok && !self.blamed {
            return false;
        }
        let before = self.blamed;
        self.blamed = self.judge();
        self.blamed && !before
    }

    /// Blames the kind if most workers that ran it failed it. Counting workers, not failures,
    /// keeps a few bad workers that attract work by failing fast from putting blame on the kind.
    fn judge(&self) -> bool {
        let mut workers: Vec<(WorkerIndex, bool)> = self.recent.iter().copied().collect();
        let failed = workers.iter().filter(|(_, ok)| !ok).count();
        // Failures sort first, so each worker keeps a failure if it has one.
        workers.sort_unstable();
        workers.dedup_by_key(|(worker, _)| *worker);
        let failing = workers.iter().filter(|(_, ok)| !ok).count();
        failing >= LEAST_WORKERS
            && failing * 2 >= workers.len()
            && failed * 100 >= self.recent.len() * LEAST_FAILED_PERCENT
    }
}
