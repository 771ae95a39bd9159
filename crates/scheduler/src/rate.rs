//! Measured completion rate of a pool.

use acaciareel_types::{Class, Millis};

/// Work: share of the pool in parts per billion, times milliseconds.
pub(crate) type Work = u64;
/// The whole pool, in parts per billion.
pub(crate) const POOL_PPB: u64 = 1_000_000_000;
/// Assumed before the first measurement: four fifths of the pool are used well.
const INITIAL_PPB: u64 = POOL_PPB / 5 * 4;
/// Shortest time over which a rate is measured.
const WINDOW_MS: Millis = Millis(1_000);
/// Ends needed in one measurement; fewer say little about the rate of long tasks.
const LEAST_ENDS: u32 = 32;
/// Part of the rate that higher classes never take away from a lower one, which is the share of
/// starts that ageing gives to the oldest jobs.
const AGEING_PART: u64 = 8;

/// Work completed per millisecond while jobs wait, in the unit of predictions, so that wrong
/// predictions of size or run time cancel out.
#[derive(Debug)]
pub(crate) struct CompletionRate {
    per_ms: u64,
    window_start_ms: Millis,
    completed: Work,
    ends: u32,
    admitted: [Work; 3],
    admitted_start_ms: Millis,
    admitted_per_ms: [u64; 3],
    ends_per_s: u64,
}

impl CompletionRate {
    pub(crate) fn new(now_ms: Millis) -> Self {
        Self {
            per_ms: INITIAL_PPB,
            window_start_ms: now_ms,
            completed: 0,
            ends: 0,
            admitted: [0; 3],
            admitted_start_ms: now_ms,
            admitted_per_ms: [0; 3],
            ends_per_s: 0,
        }
    }

    /// Takes the end of a task.
    pub(crate) fn ended(&mut self, now_ms: Millis, work: Work, backlog: bool) {
        if !backlog {
            self.restart(now_ms);
            return;
        }
        self.completed = self.completed.saturating_add(work);
        self.ends += 1;
        let passed_ms = now_ms.saturating_sub(self.window_start_ms).0;
        if passed_ms >= WINDOW_MS.0 && self.ends >= LEAST_ENDS {
            let measured = self.completed / passed_ms;
            self.per_ms = (self.per_ms / 4 * 3 + measured / 4).max(1);
            self.ends_per_s = u64::from(self.ends) * 1_000 / passed_ms;
            self.restart(now_ms);
        }
    }

    /// Starts a new measurement, since the pool had idle time in this one.
    pub(crate) fn restart(&mut self, now_ms: Millis) {
        self.window_start_ms = now_ms;
        self.completed = 0;
        self.ends = 0;
    }

    /// Takes an admitted job.
    pub(crate) fn admitted(&mut self, now_ms: Millis, class: Class, work: Work) {
        let passed_ms = now_ms.saturating_sub(self.admitted_start_ms);
        if passed_ms >= WINDOW_MS {
            for (per_ms, admitted) in self.admitted_per_ms.iter_mut().zip(&mut self.admitted) {
                *per_ms = *per_ms / 2 + *admitted / passed_ms.0 / 2;
                *admitted = 0;
            }
            self.admitted_start_ms = now_ms;
        }
        let sum = &mut self.admitted[class as usize];
        *sum = sum.saturating_add(work);
    }

    /// Returns the time to complete work that waits in front of a job of a class.
    pub(crate) fn time_for_ms(&self, class: Class, work: Work) -> Millis {
        let higher: u64 = self.admitted_per_ms[..class as usize].iter().sum();
        let left = self.per_ms.saturating_sub(higher);
        Millis(work / left.max(self.per_ms / AGEING_PART).max(1))
    }

    /// Returns the usual time between two ends, up to one window.
    pub(crate) fn gap_ms(&self) -> Millis {
        Millis(WINDOW_MS.0 / self.ends_per_s.max(1))
    }
}
