//! Measured completion rate of a pool.

use acaciareel_types::{Class, Millis};

/// Work: share of the pool in parts per billion, times milliseconds.
pub(crate) type Work = u64;
/// The whole pool in parts per billion, which is also the work it does in one millisecond.
pub(crate) const WHOLE_POOL_PPB: u64 = 1_000_000_000;
/// Rate before the first measurement: four fifths of the pool are used effectively.
const INITIAL_WORK_PER_MS: u64 = WHOLE_POOL_PPB / 5 * 4;
/// Minimum time over which a rate is measured.
const WINDOW_MS: Millis = Millis(1_000);
/// Completions needed for one measurement. Fewer are not representative of long tasks.
const MIN_COMPLETIONS: u32 = 32;
/// A lower class always keeps `1 / AGEING_DIVISOR` of the rate, whatever higher classes use. This
/// is the share of work that ageing gives to the oldest jobs.
const AGEING_DIVISOR: u64 = 8;

/// Work completed per millisecond while jobs wait, and work admitted per millisecond in each class.
/// Both are measured in predicted work, so wrong predictions of size or run time cancel out.
#[derive(Debug)]
pub(crate) struct CompletionRate {
    work_per_ms: u64,
    window_start_ms: Millis,
    completed_work: Work,
    completions: u32,
    admitted_work: [Work; 3],
    admission_window_start_ms: Millis,
    admitted_work_per_ms: [u64; 3],
    completions_per_s: u64,
}

impl CompletionRate {
    pub(crate) fn new(now_ms: Millis) -> Self {
        Self {
            work_per_ms: INITIAL_WORK_PER_MS,
            window_start_ms: now_ms,
            completed_work: 0,
            completions: 0,
            admitted_work: [0; 3],
            admission_window_start_ms: now_ms,
            admitted_work_per_ms: [0; 3],
            completions_per_s: 0,
        }
    }

    /// Records the completion of a task. `backlog` is whether jobs wait in the queue.
    pub(crate) fn record_completion(&mut self, now_ms: Millis, work: Work, backlog: bool) {
        if !backlog {
            self.restart(now_ms);
            return;
        }
        self.completed_work = self.completed_work.saturating_add(work);
        self.completions += 1;
        let passed_ms = now_ms.saturating_sub(self.window_start_ms).0;
        if passed_ms >= WINDOW_MS.0 && self.completions >= MIN_COMPLETIONS {
            let measured = self.completed_work / passed_ms;
            self.work_per_ms = (self.work_per_ms / 4 * 3 + measured / 4).max(1);
            self.completions_per_s = u64::from(self.completions) * 1_000 / passed_ms;
            self.restart(now_ms);
        }
    }

    /// Restarts the measurement, because the pool had idle time during this one.
    pub(crate) fn restart(&mut self, now_ms: Millis) {
        self.window_start_ms = now_ms;
        self.completed_work = 0;
        self.completions = 0;
    }

    /// Records the admission of a job.
    pub(crate) fn record_admission(&mut self, now_ms: Millis, class: Class, work: Work) {
        let passed_ms = now_ms.saturating_sub(self.admission_window_start_ms);
        if passed_ms >= WINDOW_MS {
            for (work_per_ms, admitted_work) in self
                .admitted_work_per_ms
                .iter_mut()
                .zip(&mut self.admitted_work)
            {
                *work_per_ms = *work_per_ms / 2 + *admitted_work / passed_ms.0 / 2;
                *admitted_work = 0;
            }
            self.admission_window_start_ms = now_ms;
        }
        let sum = &mut self.admitted_work[class as usize];
        *sum = sum.saturating_add(work);
    }

    /// Returns the time to complete work that is queued before a job of a class.
    pub(crate) fn time_for_ms(&self, class: Class, work: Work) -> Millis {
        let higher: u64 = self.admitted_work_per_ms[..class as usize].iter().sum();
        let left = self.work_per_ms.saturating_sub(higher);
        Millis(work / left.max(self.work_per_ms / AGEING_DIVISOR).max(1))
    }

    /// Returns the usual time between two completions, at most one window.
    pub(crate) fn completion_interval_ms(&self) -> Millis {
        Millis(WINDOW_MS.0 / self.completions_per_s.max(1))
    }
}
