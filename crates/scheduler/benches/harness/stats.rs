//! Figures of a run.

/// Waiting times and outcomes of one class.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct ClassStats {
    waits_ms: Vec<u64>,
    /// Jobs that ended within their time limit.
    pub(crate) in_time: u64,
    /// Jobs that were accepted and ended late or expired in the queue.
    pub(crate) late: u64,
    pub(crate) refused: u64,
}

impl ClassStats {
    pub(crate) fn waited(&mut self, wait_ms: u64) {
        self.waits_ms.push(wait_ms);
    }

    /// Returns a percentile of the waiting times, 0 without any.
    pub(crate) fn wait_ms(&self, percent: usize) -> u64 {
        percentile(&self.waits_ms, percent)
    }
}

impl ClassStats {
    /// Returns the average waiting time in microseconds.
    pub(crate) fn mean_wait_us(&self) -> u64 {
        let count = self.waits_ms.len().max(1) as u64;
        self.waits_ms.iter().sum::<u64>() * 1_000 / count
    }

    fn merge(&mut self, other: Self) {
        self.waits_ms.extend(other.waits_ms);
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
    }
}

/// Figures of a run.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Stats {
    pub(crate) classes: [ClassStats; 3],
    /// Use of the scarcest resource on workers that run anything, sum of samples in ppm.
    pub(crate) packed_ppm: u64,
    pub(crate) samples: u64,
    /// Work that ended in time, in ppm of a worker times milliseconds.
    pub(crate) useful_work: u64,
    /// Largest number of workers and index nodes examined in a decision.
    pub(crate) examined: Vec<u64>,
    pub(crate) preempted: u64,
}

impl Stats {
    /// Adds the figures of another run.
    pub(crate) fn merge(mut self, other: Self) -> Self {
        for (class, more) in self.classes.iter_mut().zip(other.classes) {
            class.merge(more);
        }
        self.packed_ppm += other.packed_ppm;
        self.samples += other.samples;
        self.useful_work += other.useful_work;
        self.examined.extend(other.examined);
        self.preempted += other.preempted;
        self
    }

    /// Returns the average waiting time of all jobs in microseconds.
    pub(crate) fn mean_wait_us(&self) -> u64 {
        let waits = || self.classes.iter().flat_map(|class| &class.waits_ms);
        waits().sum::<u64>() * 1_000 / waits().count().max(1) as u64
    }

    /// Returns the average use of the scarcest resource on workers that run anything.
    pub(crate) fn packing_ppm(&self) -> u64 {
        self.packed_ppm / self.samples.max(1)
    }
}

/// Returns a percentile.
pub(crate) fn percentile(samples: &[u64], percent: usize) -> u64 {
    let mut sorted = samples.to_vec();
    sorted.sort_unstable();
    let last = sorted.len().saturating_sub(1);
    sorted
        .get((last * percent).div_ceil(100))
        .copied()
        .unwrap_or(0)
}
