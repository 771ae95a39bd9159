//! Attribution of failures to a kind that fails on many workers.

use acaciareel_types::SortedVec;

use crate::index::WorkerIndex;

/// Workers per kind whose outcomes are kept. The worker whose latest outcome is the oldest is
/// evicted.
const MAX_WORKERS: usize = 64;
/// Latest outcomes of each worker that are considered.
const RECENT_OUTCOMES: u32 = 4;
/// Minimum number of workers on which the kind fails. With fewer than three, the workers may be at
/// fault.
const MIN_FAILING_WORKERS: usize = 3;

/// Latest outcomes of one kind on one worker.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    /// Bit set of the latest outcomes, the newest in the lowest bit. A set bit is a failure.
    failures: u8,
    count: u32,
    /// Sequence number of the latest outcome among all outcomes of the kind.
    latest: u64,
}

impl Outcomes {
    /// Returns whether the kind fails on the worker. One failure among several successes is no
    /// indication, because any kind fails occasionally.
    fn is_failing(&self) -> bool {
        self.failures > 0 && self.failures.count_ones() * 3 >= self.count
    }
}

/// Recent outcomes of one kind on all workers.
#[derive(Clone, Debug, Default)]
pub(crate) struct KindHealth {
    workers: SortedVec<WorkerIndex, Outcomes>,
    outcomes: u64,
    at_fault: bool,
}

impl KindHealth {
    /// Returns whether failures are attributed to the kind rather than to the workers.
    pub(crate) fn at_fault(&self) -> bool {
        self.at_fault
    }

    /// Returns whether the recorded outcomes show that the kind fails on a worker.
    pub(crate) fn fails_on(&self, worker: WorkerIndex) -> bool {
        self.workers.get(&worker).is_some_and(Outcomes::is_failing)
    }

    /// Records an outcome and returns whether the kind has become at fault by it.
    pub(crate) fn record(&mut self, worker: WorkerIndex, ok: bool) -> bool {
        self.outcomes += 1;
        if self.workers.len() >= MAX_WORKERS && !self.workers.contains_key(&worker) {
            self.evict_oldest();
        }
        let latest = self.outcomes;
        let outcomes = self.workers.get_or_insert_with(worker, Outcomes::default);
        outcomes.failures = (outcomes.failures << 1 | u8::from(!ok)) & ((1 << RECENT_OUTCOMES) - 1);
        outcomes.count = (outcomes.count + 1).min(RECENT_OUTCOMES);
        outcomes.latest = latest;
        if ok && !self.at_fault {
            return false;
        }
        let before = self.at_fault;
        self.at_fault = self.most_workers_fail();
        self.at_fault && !before
    }

    fn evict_oldest(&mut self) {
        let oldest = self.workers.iter().min_by_key(|(_, o)| o.latest);
        if let Some(oldest) = oldest.map(|(worker, _)| *worker) {
            self.workers.remove(&oldest);
        }
    }

    /// Returns whether the kind fails on most workers that ran it. Workers are counted rather than
    /// failures, because a few bad workers that fail fast attract many tasks, and the many failures
    /// would be attributed to the kind.
    fn most_workers_fail(&self) -> bool {
        let failing = self.workers.values().filter(|o| o.is_failing()).count();
        failing >= MIN_FAILING_WORKERS && failing * 2 > self.workers.len()
    }
}
