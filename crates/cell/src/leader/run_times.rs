//! Measured run times of the tasks of each queue. Callers' estimates are off by up to a factor of
//! two.

use acaciareel_types::SortedVec;

use crate::{QueueRow, StepSpec};

/// Weight of the latest run in the mean run time of a queue, in thousandths.
const RUN_TIME_WEIGHT_PERMILLE: u64 = 50;

/// Distribution of the run time to expect of a task, on a worker of usual speed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[allow(
    dead_code,
    reason = "stall detection and placement read the other fields"
)]
pub(super) struct Expectation {
    pub median_ms: u64,
    pub p90_ms: u64,
    pub p99_ms: u64,
    /// Number of finished runs that it rests on; 0 if it is the caller's estimate.
    pub runs: u64,
}

/// Moving mean of the run times of each queue.
#[derive(Debug, Default)]
pub(super) struct RunTimes {
    means_ms: SortedVec<String, u64>,
}

impl RunTimes {
    /// Adds a run time to the mean of its queue.
    pub fn add(&mut self, queue: &str, took_ms: u64) {
        let weight = RUN_TIME_WEIGHT_PERMILLE;
        let mean_ms = self
            .means_ms
            .get_or_insert_with(queue.to_owned(), || took_ms);
        *mean_ms = (*mean_ms * (1_000 - weight) + took_ms * weight) / 1_000;
    }

    /// Returns the run time to expect of a step's tasks.
    pub fn expect(&self, queue: &QueueRow, spec: &StepSpec) -> Expectation {
        let known = self.means_ms.get(&queue.name);
        let mean_ms = known.copied().unwrap_or(spec.estimate_ms);
        Expectation {
            median_ms: mean_ms,
            p90_ms: mean_ms,
            p99_ms: mean_ms,
            runs: u64::from(known.is_some()),
        }
    }

    /// Returns the expected duration of a chain of steps. Until a run of the queue has been
    /// measured, each step counts with the queue's `target_ms`.
    pub fn chain_ms(&self, queue: &QueueRow, steps: usize) -> u64 {
        let steps = u64::try_from(steps.max(1)).unwrap_or(1);
        let mean_ms = self.means_ms.get(&queue.name);
        let mean_ms = mean_ms.copied().unwrap_or(queue.target_ms);
        mean_ms.saturating_mul(steps)
    }
}
