//! Blame of a kind that fails on many workers.

use acaciareel_types::SortedVec;

use crate::index::WorkerIndex;

/// Workers whose outcomes are kept, those with the latest ones.
const WORKERS: usize = 64;
/// Latest outcomes of each worker that are judged.
const RECENT: u32 = 4;
/// Workers that must have failed the kind. Below three, the workers may be at fault.
const LEAST_WORKERS: usize = 3;

/// Latest outcomes on one worker.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    /// Bits of the latest outcomes, the newest lowest; set for a failure.
    failures: u8,
    count: u32,
    /// Number of the latest outcome among all of the kind.
    latest: u64,
}

impl Outcomes {
    /// Returns whether the worker fails the kind. One failure among several successes is no sign,
    /// since any kind fails now and then.
    fn failing(&self) -> bool {
        self.failures > 0 && self.failures.count_ones() * 3 >= self.count
    }
}

/// Recent outcomes of one kind over all workers.
#[derive(Clone, Debug, Default)]
pub(crate) struct KindHealth {
    workers: SortedVec<WorkerIndex, Outcomes>,
    outcomes: u64,
    blamed: bool,
}

impl KindHealth {
    /// Returns whether the kind, not the workers, is responsible for its failures.
    pub(crate) fn blamed(&self) -> bool {
        self.blamed
    }

    /// Returns whether a worker fails the kind as far as is known.
    pub(crate) fn fails_on(&self, worker: WorkerIndex) -> bool {
        self.workers.get(&worker).is_some_and(Outcomes::failing)
    }

    /// Records an outcome and returns whether the kind is newly blamed.
    pub(crate) fn record(&mut self, worker: WorkerIndex, ok: bool) -> bool {
        self.outcomes += 1;
        if self.workers.len() >= WORKERS && !self.workers.contains_key(&worker) {
            self.drop_oldest();
        }
        let latest = self.outcomes;
        let outcomes = self.workers.get_or_insert_with(worker, Outcomes::default);
        outcomes.failures = (outcomes.failures << 1 | u8::from(!ok)) & ((1 << RECENT) - 1);
        outcomes.count = (outcomes.count + 1).min(RECENT);
        outcomes.latest = latest;
        if ok && !self.blamed {
            return false;
        }
        let before = self.blamed;
        self.blamed = self.judge();
        self.blamed && !before
    }

    fn drop_oldest(&mut self) {
        let oldest = self.workers.iter().min_by_key(|(_, o)| o.latest);
        if let Some(oldest) = oldest.map(|(worker, _)| *worker) {
            self.workers.remove(&oldest);
        }
    }

    /// Blames the kind if most workers that ran it failed it. Counting workers, not failures,
    /// keeps a few bad workers that attract work by failing fast from putting blame on the kind.
    fn judge(&self) -> bool {
        let failing = self.workers.values().filter(|o| o.failing()).count();
        failing >= LEAST_WORKERS && failing * 2 > self.workers.len()
    }
}
