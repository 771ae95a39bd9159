//! Measured run times of the tasks of each queue. Callers' estimates are off by up to a factor of
//! two.

use acaciareel_types::SortedVec;

use crate::QueueRow;

/// Weight of the latest run in the mean run time of a queue, in thousandths.
const RUN_TIME_WEIGHT_PERMILLE: u64 = 50;

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

    /// Returns the mean run time of the queue's tasks, or the estimate until a run has been
    /// measured.
    pub fn task_ms(&self, queue: &QueueRow, estimate_ms: u64) -> u64 {
        let mean_ms = self.means_ms.get(&queue.name);
        mean_ms.copied().unwrap_or(estimate_ms)
    }

    /// Returns the expected duration of a chain of steps. Until a run of the queue has been
    /// measured, each step counts with the queue's `target_ms`.
    pub fn chain_ms(&self, queue: &QueueRow, steps: usize) -> u64 {
        let steps = u64::try_from(steps.max(1)).unwrap_or(1);
        self.task_ms(queue, queue.target_ms).saturating_mul(steps)
    }
}
