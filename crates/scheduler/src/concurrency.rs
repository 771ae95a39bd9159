//! Limit of tasks at once per worker, following measured run times.

/// Run time of a task relative to what is usual for its kind, in percent, above which a worker
/// counts as slowed down by its load.
const SLOW_PERCENT: u64 = 200;
/// Relative run time below which a worker may take more.
const FAST_PERCENT: u64 = 130;
/// Weight of the newest run time in the average, as a divisor.
const SMOOTHING: u64 = 8;
/// Ends between two changes, so that the effect of a change is measured before the next one.
const ENDS_PER_CHANGE: u32 = 8;

/// Additive-increase, multiplicative-decrease limit of a worker's tasks.
///
/// The limit starts at the number of slots. It falls by a quarter when tasks take much longer
/// here than is usual for their kind, and rises by one while they do not.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    most: u32,
    current: u32,
    relative_percent: u64,
    ends: u32,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self {
            most: u32::MAX,
            current: u32::MAX,
            relative_percent: 100,
            ends: 0,
        }
    }
}

impl ConcurrencyLimit {
    /// Sets the upper bound, the worker's number of slots.
    pub fn set_max(&mut self, most: u32) {
        if self.current >= self.most || self.current > most {
            self.current = most;
        }
        self.most = most;
    }

    /// Returns the number of tasks that the worker may run at once.
    #[must_use]
    pub fn current(&self) -> u32 {
        self.current
    }

    /// Returns whether one more task may start beside `running`.
    #[must_use]
    pub fn allows(&self, running: usize) -> bool {
        u32::try_from(running).is_ok_and(|running| running < self.current)
    }

    /// Takes the run time of a task that succeeded, in percent of its kind's usual run time.
    pub fn record(&mut self, relative_percent: u64) {
        // One outlier must not move the average further than a slow worker would.
        let bounded = relative_percent.min(10 * SLOW_PERCENT);
        self.relative_percent =
            (self.relative_percent * (SMOOTHING - 1) + bounded).div_ceil(SMOOTHING);
        self.ends += 1;
        if self.ends < ENDS_PER_CHANGE {
            return;
        }
        self.ends = 0;
        if self.relative_percent > SLOW_PERCENT {
            self.current = (self.current - self.current.div_ceil(4)).max(1);
        } else if self.relative_percent < FAST_PERCENT {
            self.current = self.current.saturating_add(1).min(self.most);
        }
    }
}
