//! Results of a run.

/// Waiting times and outcomes of one class.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct ClassStats {
    waits_ms: Vec<u64>,
    /// Jobs that completed within their time limit.
    pub(crate) in_time: u64,
    /// Admitted jobs that completed late or expired in the queue.
    pub(crate) late: u64,
    pub(crate) refused: u64,
}

impl ClassStats {
    pub(crate) fn record_wait(&mut self, wait_ms: u64) {
        self.waits_ms.push(wait_ms);
    }

    /// Returns a percentile of the waiting times, or 0 if there are none.
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

/// Results of a run.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Stats {
    pub(crate) classes: [ClassStats; 3],
    /// Sum over all samples of the average use of the scarcest resource on workers with tasks, in
    /// ppm.
    pub(crate) utilization_ppm_sum: u64,
    pub(crate) sample_count: u64,
    /// Work completed in time: processors in millicores times declared run time in milliseconds.
    pub(crate) useful_work: u64,
    /// For each decision that searched workers, the largest number of workers and index nodes
    /// examined for one task.
    pub(crate) examined: Vec<u64>,
    pub(crate) preempted: u64,
}

impl Stats {
    /// Adds the results of another run.
    pub(crate) fn merge(mut self, other: Self) -> Self {
        for (class, more) in self.classes.iter_mut().zip(other.classes) {
            class.merge(more);
        }
        self.utilization_ppm_sum += other.utilization_ppm_sum;
        self.sample_count += other.sample_count;
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

    /// Returns the average use of the scarcest resource on workers with tasks.
    pub(crate) fn packing_ppm(&self) -> u64 {
        self.utilization_ppm_sum / self.sample_count.max(1)
    }
}

/// Returns the sample at a percentile, or 0 without samples.
pub(crate) fn percentile(samples: &[u64], percent: usize) -> u64 {
    let mut sorted = samples.to_vec();
    sorted.sort_unstable();
    let last = sorted.len().saturating_sub(1);
    sorted
        .get((last * percent).div_ceil(100))
        .copied()
        .unwrap_or(0)
}
