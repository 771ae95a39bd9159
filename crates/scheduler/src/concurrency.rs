//! Limit of concurrent tasks per worker, derived from measured run times.

/// Run time relative to the usual one of the kind, in percent, above which a worker counts as
/// slowed down by its load.
const SLOW_PERCENT: u64 = 200;
/// Relative run time, in percent, below which a worker may run more tasks.
const FAST_PERCENT: u64 = 130;
/// The newest run time enters the moving average with weight `1 / SMOOTHING_DIVISOR`.
const SMOOTHING_DIVISOR: u64 = 8;
/// Completions between two changes of the limit, so that the effect of one change is measured
/// before the next.
const COMPLETIONS_PER_CHANGE: u32 = 8;

/// Additive-increase, multiplicative-decrease limit of a worker's concurrent tasks.
///
/// The limit starts at the worker's number of slots. It decreases by a quarter while tasks take
/// much longer than is usual for their kind, and increases by one while they do not.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    max: u32,
    current: u32,
    relative_run_time_percent: u64,
    completions: u32,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self {
            max: u32::MAX,
            current: u32::MAX,
            relative_run_time_percent: 100,
            completions: 0,
        }
    }
}

impl ConcurrencyLimit {
    /// Sets the upper bound, which is the worker's number of slots. A limit that is at the old
    /// bound follows it.
    pub fn set_max(&mut self, max: u32) {
        if self.current >= self.max || self.current > max {
            self.current = max;
        }
        self.max = max;
    }

    /// Returns the number of tasks that the worker may run at once.
    #[must_use]
    pub fn current(&self) -> u32 {
        self.current
    }

    /// Returns whether one more task may start while `running` tasks run.
    #[must_use]
    pub fn allows(&self, running: usize) -> bool {
        u32::try_from(running).is_ok_and(|running| running < self.current)
    }

    /// Records the run time of a successful task, in percent of the usual run time of its kind.
    pub fn record(&mut self, relative_run_time_percent: u64) {
        // Bounds the sample, so that a single outlier does not move the average more than a slow
        // worker does.
        let bounded = relative_run_time_percent.min(10 * SLOW_PERCENT);
        self.relative_run_time_percent = (self.relative_run_time_percent * (SMOOTHING_DIVISOR - 1)
            + bounded)
            .div_ceil(SMOOTHING_DIVISOR);
        self.completions += 1;
        if self.completions < COMPLETIONS_PER_CHANGE {
            return;
        }
        self.completions = 0;
        if self.relative_run_time_percent > SLOW_PERCENT {
            self.current = (self.current - self.current.div_ceil(4)).max(1);
        } else if self.relative_run_time_percent < FAST_PERCENT {
            self.current = self.current.saturating_add(1).min(self.max);
        }
    }
}
