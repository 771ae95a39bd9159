//! Sizes and run times of a kind, corrected by what its tasks really use.

use std::collections::VecDeque;

use acaciareel_types::{CpuMillicores, MemoryBytes, Millis, Resources};

use crate::amounts::larger;

/// Latest samples that are kept.
const RECENT: usize = 64;
/// Samples needed before a declared size is lowered. A declared size is raised from the first
/// sample on, since too small a reservation overloads a worker.
const LEAST_SAMPLES: usize = 16;
/// Percentile of the samples that a reservation covers.
const PERCENTILE: usize = 95;
/// Headroom added to the percentile, except that it never raises a declared size that suffices.
const HEADROOM_PERCENT: u64 = 10;
/// A corrected size is at least the declared one divided by this, since samples of idle tasks say
/// little about busy ones.
const MOST_SHRINK: u64 = 8;
/// Run times needed before the declared one is replaced.
const LEAST_RUN_TIMES: usize = 4;

fn percentile<T: Copy + Ord>(samples: &VecDeque<T>, percent: usize) -> Option<T> {
    let mut sorted: Vec<T> = samples.iter().copied().collect();
    sorted.sort_unstable();
    let last = sorted.len().checked_sub(1)?;
    Some(sorted[(last * percent).div_ceil(100)])
}

fn push<T>(samples: &mut VecDeque<T>, sample: T) {
    if samples.len() >= RECENT {
        samples.pop_front();
    }
    samples.push_back(sample);
}

/// Estimates the demand of a kind's tasks.
///
/// Processors and memory are corrected in both directions. Accelerators, slots and connections
/// are counts that a worker grants as declared, so they stay.
#[derive(Clone, Debug, Default)]
pub(crate) struct SizeEstimate {
    cpu_millicores: VecDeque<u64>,
    memory_bytes: VecDeque<u64>,
}

impl SizeEstimate {
    /// Takes the largest usage of an ended task.
    pub(crate) fn record(&mut self, used: &Resources) {
        if used.memory_bytes.0 == 0 && used.cpu_millicores.0 == 0 {
            return;
        }
        push(&mut self.cpu_millicores, used.cpu_millicores.0.into());
        push(&mut self.memory_bytes, used.memory_bytes.0);
    }

    fn correct(samples: &VecDeque<u64>, declared: u64) -> u64 {
        let Some(high) = percentile(samples, PERCENTILE) else {
            return declared;
        };
        if samples.len() < LEAST_SAMPLES {
            return high.max(declared);
        }
        let roomy = high.saturating_add(high / 100 * HEADROOM_PERCENT);
        if high <= declared {
            roomy.clamp(declared.div_ceil(MOST_SHRINK), declared)
        } else {
            roomy
        }
    }

    /// Returns the corrected demand, at most `most` in each resource where `declared` fits in it.
    pub(crate) fn corrected(&self, declared: &Resources, most: &Resources) -> Resources {
        let cpu = Self::correct(&self.cpu_millicores, declared.cpu_millicores.0.into());
        let corrected = Resources {
            cpu_millicores: CpuMillicores(u32::try_from(cpu).unwrap_or(u32::MAX)),
            memory_bytes: MemoryBytes(Self::correct(&self.memory_bytes, declared.memory_bytes.0)),
            ..*declared
        };
        // The bound never cuts below what was declared: such a task is refused, not shrunk.
        larger(&corrected.min(most), &corrected.min(declared))
    }
}

/// Estimates the run time of a kind's tasks.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunTime {
    samples: VecDeque<Millis>,
    median_ms: Option<Millis>,
    high_ms: Option<Millis>,
}

impl RunTime {
    /// Takes the run time of a task that ended by itself.
    pub(crate) fn record(&mut self, run_ms: Millis) {
        push(&mut self.samples, run_ms);
        if self.samples.len() >= LEAST_RUN_TIMES {
            self.median_ms = percentile(&self.samples, 50);
            self.high_ms = percentile(&self.samples, 90);
        }
    }

    /// Returns the median, once it is known.
    pub(crate) fn median_ms(&self) -> Option<Millis> {
        self.median_ms
    }

    /// Returns the usual run time.
    pub(crate) fn usual_ms(&self, declared_ms: Millis) -> Millis {
        self.median_ms.unwrap_or(declared_ms)
    }

    /// Returns a run time that nine of ten tasks stay under.
    pub(crate) fn high_ms(&self, declared_ms: Millis) -> Millis {
        self.high_ms.unwrap_or(declared_ms)
    }
}
