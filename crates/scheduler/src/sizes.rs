//! Estimates of the sizes and run times of a kind's tasks from measurements.

use std::collections::VecDeque;

use acaciareel_types::{CpuMillicores, MemoryBytes, Millis, Resources};

use crate::amounts::max_per_resource;

/// Latest samples that are kept.
const MAX_SAMPLES: usize = 64;
/// Samples needed before a declared size is lowered. A declared size is raised from the first
/// sample on, because a reservation that is too small overloads a worker.
const MIN_SAMPLES_TO_LOWER: usize = 16;
/// Percentile of the measured usage that a reservation covers.
const USAGE_PERCENTILE: usize = 95;
/// Headroom above the percentile. It never raises a declared size that is sufficient.
const HEADROOM_PERCENT: u64 = 10;
/// A corrected size is at least the declared size divided by this, because samples of idle tasks
/// say little about busy ones.
const MAX_SHRINK_DIVISOR: u64 = 8;
/// Run times needed before they replace the declared one.
const MIN_RUN_TIMES: usize = 4;

fn percentile<T: Copy + Ord>(samples: &VecDeque<T>, percent: usize) -> Option<T> {
    let mut sorted: Vec<T> = samples.iter().copied().collect();
    sorted.sort_unstable();
    let last = sorted.len().checked_sub(1)?;
    Some(sorted[(last * percent).div_ceil(100)])
}

fn push_sample<T>(samples: &mut VecDeque<T>, sample: T) {
    if samples.len() >= MAX_SAMPLES {
        samples.pop_front();
    }
    samples.push_back(sample);
}

/// Estimates the demand of a kind's tasks.
///
/// Processors and memory are corrected in both directions. Accelerators, slots and connections are
/// counts that a worker grants as declared, so they are not corrected.
#[derive(Clone, Debug, Default)]
pub(crate) struct SizeEstimate {
    cpu_millicores: VecDeque<u64>,
    memory_bytes: VecDeque<u64>,
}

impl SizeEstimate {
    /// Records the peak usage of a completed task. A sample with neither processor nor memory
    /// usage is ignored.
    pub(crate) fn record(&mut self, used: &Resources) {
        if used.memory_bytes.0 == 0 && used.cpu_millicores.0 == 0 {
            return;
        }
        push_sample(&mut self.cpu_millicores, used.cpu_millicores.0.into());
        push_sample(&mut self.memory_bytes, used.memory_bytes.0);
    }

    fn correct(samples: &VecDeque<u64>, declared: u64) -> u64 {
        let Some(high) = percentile(samples, USAGE_PERCENTILE) else {
            return declared;
        };
        if samples.len() < MIN_SAMPLES_TO_LOWER {
            return high.max(declared);
        }
        let with_headroom = high.saturating_add(high / 100 * HEADROOM_PERCENT);
        if high <= declared {
            with_headroom.clamp(declared.div_ceil(MAX_SHRINK_DIVISOR), declared)
        } else {
            with_headroom
        }
    }

    /// Returns the corrected demand, at most `max` in each resource whose declared size is within
    /// `max`.
    pub(crate) fn corrected(&self, declared: &Resources, max: &Resources) -> Resources {
        let cpu = Self::correct(&self.cpu_millicores, declared.cpu_millicores.0.into());
        let corrected = Resources {
            cpu_millicores: CpuMillicores(u32::try_from(cpu).unwrap_or(u32::MAX)),
            memory_bytes: MemoryBytes(Self::correct(&self.memory_bytes, declared.memory_bytes.0)),
            ..*declared
        };
        // The cap never goes below the declared size. A task that cannot fit is refused, not
        // shrunk.
        max_per_resource(&corrected.min(max), &corrected.min(declared))
    }
}

/// Estimates the run time of a kind's tasks.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunTimeEstimate {
    samples: VecDeque<Millis>,
    median_ms: Option<Millis>,
    high_ms: Option<Millis>,
}

impl RunTimeEstimate {
    /// Records the run time of a task that succeeded.
    pub(crate) fn record(&mut self, run_ms: Millis) {
        push_sample(&mut self.samples, run_ms);
        if self.samples.len() >= MIN_RUN_TIMES {
            self.median_ms = percentile(&self.samples, 50);
            self.high_ms = percentile(&self.samples, 90);
        }
    }

    /// Returns the median run time, or `None` before enough samples.
    pub(crate) fn median_ms(&self) -> Option<Millis> {
        self.median_ms
    }

    /// Returns the median run time, or the declared one before enough samples.
    pub(crate) fn usual_ms(&self, declared_ms: Millis) -> Millis {
        self.median_ms.unwrap_or(declared_ms)
    }

    /// Returns the 90th percentile of the run times, or the declared run time before enough
    /// samples.
    pub(crate) fn high_ms(&self, declared_ms: Millis) -> Millis {
        self.high_ms.unwrap_or(declared_ms)
    }
}
