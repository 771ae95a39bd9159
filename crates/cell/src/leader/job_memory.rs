//! Memory of the jobs that the cell holds, for admission control.
//!
//! Load: thousands of jobs that are small when they arrive and take a megabyte each once their tasks
//! are stored, on every control VM.

use acaciareel_types::Millis;

use super::Leader;
use crate::{CellState, limits::MAX_JOBS};

impl Leader {
    /// Takes memory for a further job; returns whether there is enough.
    pub(super) fn take_job_memory(
        &mut self,
        state: &CellState,
        job_bytes: usize,
        now_ms: Millis,
    ) -> bool {
        let pending = &self.pending_submits;
        if state.jobs().len() + pending.len() >= MAX_JOBS {
            return false;
        }
        let count = || {
            let stored = state.jobs().values().map(|job| job.memory_bytes());
            stored
                .chain(pending.values().map(|submit| submit.bytes))
                .sum()
        };
        self.job_memory.take(now_ms, job_bytes, count)
    }
}
