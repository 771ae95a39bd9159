//! Distributions of run times, learned from runs that have ended.
//!
//! Runs are grouped into classes on four levels: queue, image, estimate by factor of two, and
//! tenant. A class with few runs falls back to the level above it, and a queue with few runs to the
//! caller's estimate. Times are handled as octaves, that is, as binary logarithms of milliseconds.

use acaciareel_types::SortedVec;
use serde::{Deserialize, Serialize};

use crate::{JobSpec, QueueRow, StepSpec, hash};

#[cfg(test)]
mod tests;

/// Number of levels of classes.
const LEVELS: usize = 4;
/// Weight of the latest run in the mean run time of a queue, in thousandths.
const QUEUE_MEAN_WEIGHT_PERMILLE: u64 = 50;
/// Resolution of a distribution; neighbouring buckets differ by 9%.
const BUCKETS_PER_OCTAVE: f64 = 8.0;
/// Longest time that is told from longer ones, in octaves (4.6 hours).
const MAX_OCTAVES: f64 = 23.99;
/// Buckets with less weight than this are dropped.
const MIN_BUCKET_WEIGHT: f32 = 0.02;
/// Number of latest runs that count in a class of a whole queue.
const QUEUE_WINDOW_RUNS: f32 = 1_000.0;
/// Number of latest runs that count in any other class. After a shift of the workload its median
/// follows within 0.7 times as many runs.
const CLASS_WINDOW_RUNS: f32 = 200.0;
/// Share of the runs that tells how far the mean is above the median. Where 3% of the tasks take
/// seven times as long, a sixth of the mean rests on them.
const MEAN_TAIL_SHARE: f64 = 0.05;
/// Number of runs of a class that weigh as much as the level above it.
const PARENT_WEIGHT_RUNS: f64 = 8.0;
/// How much of the tail a caller's estimate is taken to have: octaves above the median each time
/// the share of longer runs halves. Gives a p90 of 1.5 times and a p99 of 2.7 times the estimate.
const PRIOR_TAIL_OCTAVES: f64 = 0.25;
/// Share of a difference between two estimates, in octaves, that is believed before the runs of a
/// class show how much the estimates tell.
const PRIOR_SLOPE: f64 = 0.5;
/// Evidence that weighs as much as the slope of the level above: number of runs times the variance
/// of their estimates.
const SLOPE_PRIOR_WEIGHT: f64 = 4.0;
/// Octaves that stand for a run time equal to the expected median.
const RESIDUAL_ZERO: f64 = 12.0;
/// Most classes; with 40 buckets of 12 bytes each they take 1 MB.
const MAX_CLASSES: usize = 2_048;
/// Format of saved classes.
const SAVED_VERSION: u8 = 1;
/// Saved weights are multiples of one part in this many.
const SAVED_WEIGHT_UNITS: f32 = 60.0;
/// Saved octaves are multiples of one part in this many.
const SAVED_OCTAVE_UNITS: f32 = 1_024.0;
/// Workers named in the call for advice that the users' objective includes for each step.
pub(crate) const ADVICE_WORKERS: u64 = 30;

/// Distribution of the run time to expect of a task, on a worker of usual speed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Expectation {
    pub median_ms: u64,
    pub p90_ms: u64,
    pub p99_ms: u64,
    /// Number of finished runs that it rests on; 0 if it is the caller's estimate.
    pub runs: u64,
}

/// Expected times of a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct StepTimes {
    /// Mean run time of a task.
    pub mean_ms: u64,
    /// Time of a call for advice and of a task.
    pub total_ms: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunEnd {
    /// The task is done.
    Finished,
    /// The run was stopped or lost, so it would have taken longer.
    Censored,
}

/// Weight and mean of the runs in one bucket.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    weight: f32,
    mean_octaves: f32,
}

/// Moving means, variance of the estimate and covariance of estimates and run times, in octaves.
#[derive(Clone, Copy, Debug, Default)]
struct Moments {
    runs: f32,
    estimate: f32,
    run_time: f32,
    estimate_variance: f32,
    covariance: f32,
}

impl Moments {
    fn add(&mut self, estimate: f32, run_time: f32, window_runs: f32) {
        self.runs = self.runs.mul_add(1.0 - 1.0 / window_runs, 1.0);
        let gain = 1.0 / self.runs;
        let before = estimate - self.estimate;
        self.estimate += gain * before;
        self.run_time += gain * (run_time - self.run_time);
        let (x, y) = (estimate - self.estimate, run_time - self.run_time);
        self.estimate_variance += gain * (before * x - self.estimate_variance);
        self.covariance += gain * (before * y - self.covariance);
    }

    /// Returns by how much the run time rises for each octave of the estimate, given what the level
    /// above says of it.
    fn slope(&self, above: f64) -> f64 {
        let runs = f64::from(self.runs);
        let covariance = f64::from(self.covariance) * runs + above * SLOPE_PRIOR_WEIGHT;
        let variance = f64::from(self.estimate_variance) * runs + SLOPE_PRIOR_WEIGHT;
        (covariance / variance).clamp(0.0, 1.0)
    }
}

/// Runs of one class.
#[derive(Clone, Debug, Default)]
struct Class {
    buckets: SortedVec<u8, Bucket>,
    /// Sum of the weights of all buckets.
    weight: f32,
    moments: Moments,
    /// Mean run time, in octaves.
    mean_octaves: f64,
    /// Number of the last record of the class.
    used: u64,
}

impl Class {
    fn add(&mut self, estimate: f64, octaves: f64, end: RunEnd, window_runs: f32) {
        for (_, bucket) in self.buckets.iter_mut() {
            bucket.weight *= 1.0 - 1.0 / window_runs;
        }
        self.buckets
            .retain(|_, bucket| bucket.weight >= MIN_BUCKET_WEIGHT);
        let at = bucket_of(octaves);
        let longer = |bucket: u8| end == RunEnd::Censored && bucket > at;
        let longer_weight: f32 = self
            .buckets
            .iter()
            .filter(|(bucket, _)| longer(**bucket))
            .map(|(_, bucket)| bucket.weight)
            .sum();
        if longer_weight > 0.0 {
            // The run would have ended like the runs that took longer.
            for (number, bucket) in self.buckets.iter_mut() {
                if longer(*number) {
                    bucket.weight += bucket.weight / longer_weight;
                }
            }
        } else {
            let bucket = self.buckets.get_or_insert_with(at, Bucket::default);
            bucket.weight += 1.0;
            bucket.mean_octaves += (to_f32(octaves) - bucket.mean_octaves) / bucket.weight;
        }
        if end == RunEnd::Finished {
            self.moments
                .add(to_f32(estimate), to_f32(octaves), window_runs);
        }
        self.summarize();
    }

    fn summarize(&mut self) {
        let buckets = || self.buckets.values();
        self.weight = buckets().map(|bucket| bucket.weight).sum();
        let total_ms: f64 = buckets()
            .map(|bucket| f64::from(bucket.weight) * f64::from(bucket.mean_octaves).exp2())
            .sum();
        self.mean_octaves = (total_ms / f64::from(self.weight)).max(1.0).log2();
    }

    /// Returns the run time, in octaves, that a share of the runs does not exceed. Interpolates
    /// between the means of neighbouring buckets, but not over empty ones: a tail apart from the
    /// other runs stays apart.
    fn quantile(&self, share: f64) -> f64 {
        let wanted = share * f64::from(self.weight);
        let mut before = 0.0;
        let mut previous: Option<(u8, f64, f64)> = None;
        for (number, bucket) in self.buckets.iter() {
            let weight = f64::from(bucket.weight);
            let (middle, mean) = (before + weight / 2.0, f64::from(bucket.mean_octaves));
            if let Some((previous_number, previous_middle, previous_mean)) = previous
                && wanted <= middle
            {
                if previous_number + 1 == *number {
                    let part = (wanted - previous_middle) / (middle - previous_middle);
                    return previous_mean + (mean - previous_mean) * part;
                }
                return if wanted <= before {
                    previous_mean
                } else {
                    mean
                };
            }
            if wanted <= middle {
                return mean;
            }
            before += weight;
            previous = Some((*number, middle, mean));
        }
        previous.map_or(0.0, |(_, _, mean)| mean)
    }
}

/// Classes of a task, from the queue to the most specific one, and its estimate.
struct Lookup<'a> {
    classes: [Option<&'a Class>; LEVELS],
    /// Run times of the queue divided by the medians that were expected of them.
    residuals: Option<&'a Class>,
    estimate: f64,
}

impl<'a> Lookup<'a> {
    fn known(&self) -> impl Iterator<Item = &'a Class> {
        self.classes.into_iter().flatten()
    }

    /// Returns the median, blended from all levels. Each level shifts its own median by what it knows
    /// of the relation between estimates and run times.
    fn median(&self) -> f64 {
        let (mut median, mut slope) = (self.estimate, PRIOR_SLOPE);
        for class in self.known() {
            let moments = &class.moments;
            let mut own = class.quantile(0.5);
            if moments.runs > 0.0 {
                slope = moments.slope(slope);
                own += slope * (self.estimate - f64::from(moments.estimate));
            }
            let runs = f64::from(class.weight);
            median += (own - median) * runs / (runs + PARENT_WEIGHT_RUNS);
        }
        median
    }

    /// Blends a value of the residuals of the queue into a prior, and that of the most specific
    /// class into the result. The levels in between mix tasks of different length, so that they
    /// tell nothing about the spread of one.
    fn blend_spread(&self, prior: f64, value: impl Fn(&Class) -> (f64, f64)) -> f64 {
        let own = self.known().last();
        let classes = self.residuals.into_iter().chain(own);
        classes.fold(prior, |above, class| {
            let (own, runs) = value(class);
            above + (own - above) * runs / (runs + PARENT_WEIGHT_RUNS)
        })
    }

    /// Returns the octaves from the median to a higher quantile. A class counts with its number of
    /// runs beyond the quantile, so that the tail of rare classes is that of the queue.
    fn excess(&self, share: f64) -> f64 {
        let beyond = 2.0 * (1.0 - share);
        let prior = (PRIOR_TAIL_OCTAVES * -beyond.log2()).max(0.0);
        self.blend_spread(prior, |class| {
            let excess = class.quantile(share) - class.quantile(0.5);
            (excess, f64::from(class.weight) * beyond)
        })
    }

    fn mean(&self) -> f64 {
        let excess = self.blend_spread(0.0, |class| {
            let excess = class.mean_octaves - class.quantile(0.5);
            (excess, f64::from(class.weight) * MEAN_TAIL_SHARE)
        });
        self.median() + excess
    }

    /// Returns the finished runs of the most specific class that outweighs the levels above it.
    fn runs(&self) -> u64 {
        let runs = self.known().map(|class| f64::from(class.moments.runs));
        let first = self.known().next().map(|class| class.moments.runs);
        let specific = runs.filter(|runs| *runs >= PARENT_WEIGHT_RUNS).last();
        round(specific.or(first.map(f64::from)).unwrap_or(0.0))
    }
}

/// Expected duration of a job's steps.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct CriticalPath {
    /// Duration of the longest chain of steps.
    pub total_ms: u64,
    /// Duration of the longest chain that begins with each step.
    pub from_step_ms: Vec<u64>,
}

/// Returns the longest chain through the steps of a job, and the longest from each step on.
fn longest_chain(job: &JobSpec, step_ms: impl Fn(&StepSpec) -> u64) -> CriticalPath {
    // Chains begin as those after each step; the steps themselves are added from the last on.
    let mut from_step_ms = vec![0_u64; job.steps.len()];
    for (at, step) in job.steps.iter().enumerate().rev() {
        let chain_ms = from_step_ms[at].saturating_add(step_ms(step));
        from_step_ms[at] = chain_ms;
        for earlier in &step.depends_on {
            if let Some(after_ms) = from_step_ms.get_mut(*earlier as usize) {
                *after_ms = chain_ms.max(*after_ms);
            }
        }
    }
    CriticalPath {
        total_ms: from_step_ms.iter().copied().max().unwrap_or(0),
        from_step_ms,
    }
}

/// Run times of all classes.
#[derive(Debug, Default)]
pub(crate) struct RunTimes {
    classes: SortedVec<u64, Box<Class>>,
    /// Number of recorded runs, by which the least recently used class is found.
    records: u64,
    /// Value of `records` when the classes were last saved.
    saved_records: u64,
    /// Moving mean of the run times of each queue, for the order of waiting steps.
    queue_means_ms: SortedVec<String, u64>,
}

impl RunTimes {
    /// Records a run that took `took_ms` on a worker of the given speed.
    pub fn record(
        &mut self,
        (queue, spec, tenant): (&QueueRow, &StepSpec, Option<&str>),
        took_ms: u64,
        speed_permille: u64,
        end: RunEnd,
    ) {
        if end == RunEnd::Finished {
            let weight = QUEUE_MEAN_WEIGHT_PERMILLE;
            let name = queue.name.clone();
            let mean_ms = self.queue_means_ms.get_or_insert_with(name, || took_ms);
            *mean_ms = (*mean_ms * (1_000 - weight) + took_ms * weight) / 1_000;
        }
        let usual_ms = took_ms.saturating_mul(speed_permille) / 1_000;
        let (estimate, octaves) = (estimate_octaves(queue, spec), octaves(usual_ms));
        let residual = octaves - self.lookup(queue, spec, tenant).median() + RESIDUAL_ZERO;
        let residual = residual.clamp(0.0, MAX_OCTAVES);
        self.records += 1;
        let ids = class_ids(queue, spec, tenant);
        for (level, id) in ids.levels.into_iter().enumerate() {
            let Some(id) = id else { continue };
            let window_runs = if level == 0 {
                QUEUE_WINDOW_RUNS
            } else {
                CLASS_WINDOW_RUNS
            };
            self.class_mut(id).add(estimate, octaves, end, window_runs);
        }
        let residuals = self.class_mut(ids.residuals);
        residuals.add(RESIDUAL_ZERO, residual, end, QUEUE_WINDOW_RUNS);
    }

    /// Returns the class with a number, which counts as used.
    fn class_mut(&mut self, id: u64) -> &mut Class {
        if !self.classes.contains_key(&id) {
            self.make_room();
        }
        let class = self.classes.get_or_insert_with(id, Box::default);
        class.used = self.records;
        class
    }

    /// Evicts the least recently used class if there are as many as allowed.
    fn make_room(&mut self) {
        if self.classes.len() < MAX_CLASSES {
            return;
        }
        let oldest = self.classes.iter().min_by_key(|(_, class)| class.used);
        if let Some(id) = oldest.map(|(id, _)| *id) {
            self.classes.remove(&id);
        }
    }

    fn lookup(&self, queue: &QueueRow, spec: &StepSpec, tenant: Option<&str>) -> Lookup<'_> {
        let class = |id: Option<u64>| self.classes.get(&id?).map(AsRef::as_ref);
        let ids = class_ids(queue, spec, tenant);
        Lookup {
            classes: ids.levels.map(class),
            residuals: class(Some(ids.residuals)),
            estimate: estimate_octaves(queue, spec),
        }
    }

    /// Returns the run time to expect of a step's tasks, for any tenant.
    pub fn expect(&self, queue: &QueueRow, spec: &StepSpec) -> Expectation {
        self.expect_of(queue, spec, None)
    }

    /// Returns the run time to expect of the tasks of a tenant's step.
    pub fn expect_of(
        &self,
        queue: &QueueRow,
        spec: &StepSpec,
        tenant: Option<&str>,
    ) -> Expectation {
        let lookup = self.lookup(queue, spec, tenant);
        let median = lookup.median();
        let p90 = median + lookup.excess(0.9);
        Expectation {
            median_ms: to_ms(median),
            p90_ms: to_ms(p90),
            p99_ms: to_ms(p90.max(median + lookup.excess(0.99))),
            runs: lookup.runs(),
        }
    }

    /// Returns the expected times of a tenant's step.
    ///
    /// A step counts with the mean run time, not with that of its slowest task: in half of the wide
    /// steps no task is of the heavy tail, and with the slowest one their jobs counted as on time
    /// long after their objective, ahead of jobs that could still meet theirs.
    pub fn step_times(
        &self,
        (queue, spec, tenant): (&QueueRow, &StepSpec, Option<&str>),
    ) -> StepTimes {
        let lookup = self.lookup(queue, spec, tenant);
        let mean_ms = to_ms(lookup.mean());
        StepTimes {
            mean_ms,
            total_ms: mean_ms.saturating_add(advice_ms(queue)),
        }
    }

    /// Returns the expected duration of a tenant's job.
    pub fn critical_path(
        &self,
        queue: &QueueRow,
        job: &JobSpec,
        tenant: Option<&str>,
    ) -> CriticalPath {
        longest_chain(job, |step| self.step_times((queue, step, tenant)).total_ms)
    }

    /// Returns the duration of a job by the mean run time of its queue, which the order of waiting
    /// steps rests on: a job that is longer than the others of its queue then counts as late early,
    /// and does not keep those waiting that can still meet their objectives.
    pub fn usual_path(&self, queue: &QueueRow, job: &JobSpec) -> CriticalPath {
        let mean_ms = self.queue_means_ms.get(&queue.name).copied();
        let mean_ms = mean_ms.unwrap_or(queue.target_ms);
        longest_chain(job, |_| mean_ms)
    }

    /// Returns the number of classes.
    pub fn len(&self) -> usize {
        self.classes.len()
    }

    /// Encodes the most recently used classes in at most `max_bytes`; `None` if no run was recorded
    /// since the last call.
    pub fn save(&mut self, max_bytes: usize) -> Option<Vec<u8>> {
        if self.saved_records == self.records {
            return None;
        }
        self.saved_records = self.records;
        let mut classes: Vec<_> = self.classes.iter().collect();
        classes.sort_by_key(|(_, class)| std::cmp::Reverse(class.used));
        let mut bytes = vec![SAVED_VERSION];
        for (id, class) in classes {
            let saved = SavedClass::new(*id, class);
            let saved = postcard::to_allocvec(&saved).unwrap_or_default();
            if bytes.len() + saved.len() > max_bytes {
                break;
            }
            bytes.extend(saved);
        }
        Some(bytes)
    }

    /// Decodes saved classes. Bytes that cannot be read give no classes.
    pub fn from_saved(bytes: &[u8]) -> Self {
        let mut run_times = Self::default();
        let Some((&SAVED_VERSION, mut rest)) = bytes.split_first() else {
            return run_times;
        };
        let mut classes = Vec::new();
        while !rest.is_empty() && classes.len() < MAX_CLASSES {
            let Ok((saved, after)) = postcard::take_from_bytes::<SavedClass>(rest) else {
                return run_times;
            };
            classes.push((saved.id, Box::new(saved.into_class())));
            rest = after;
        }
        // Saved in order of use, the latest first.
        for ((_, class), used) in classes.iter_mut().rev().zip(1..) {
            class.used = used;
        }
        run_times.records = classes.len() as u64;
        run_times.saved_records = run_times.records;
        run_times.classes = classes.into_iter().collect();
        run_times
            .classes
            .retain(|_, class| class.weight >= MIN_BUCKET_WEIGHT);
        run_times
    }
}

/// A class in the replicated state; fields are encoded by position.
#[derive(Deserialize, Serialize)]
struct SavedClass {
    id: u64,
    /// Runs, means of estimate and run time, variance of the estimate and covariance.
    moments: [i32; 5],
    /// Number, weight and mean of each bucket.
    buckets: Vec<(u8, u16, u16)>,
}

impl SavedClass {
    fn new(id: u64, class: &Class) -> Self {
        let moments = class.moments;
        let moments = [
            moments.runs,
            moments.estimate,
            moments.run_time,
            moments.estimate_variance,
            moments.covariance,
        ];
        let buckets = class.buckets.iter().map(|(number, bucket)| {
            let weight = saved_u16(bucket.weight * SAVED_WEIGHT_UNITS).max(1);
            let mean = saved_u16(bucket.mean_octaves * SAVED_OCTAVE_UNITS);
            (*number, weight, mean)
        });
        Self {
            id,
            moments: moments.map(|moment| saved_i32(moment * SAVED_OCTAVE_UNITS)),
            buckets: buckets.collect(),
        }
    }

    fn into_class(self) -> Class {
        let [runs, estimate, run_time, estimate_variance, covariance] = self.moments.map(restored);
        let buckets = self.buckets.into_iter().map(|(number, weight, mean)| {
            let bucket = Bucket {
                weight: f32::from(weight) / SAVED_WEIGHT_UNITS,
                mean_octaves: f32::from(mean) / SAVED_OCTAVE_UNITS,
            };
            (number, bucket)
        });
        let mut class = Class {
            buckets: buckets.collect(),
            moments: Moments {
                runs: runs.max(0.0),
                estimate,
                run_time,
                estimate_variance: estimate_variance.max(0.0),
                covariance,
            },
            ..Class::default()
        };
        class.summarize();
        class
    }
}

/// Numbers of a task's classes.
struct ClassIds {
    /// From the queue to the most specific.
    levels: [Option<u64>; LEVELS],
    residuals: u64,
}

/// Returns the numbers of a task's classes. Gangs and separate tasks differ because the tasks of a
/// gang take as long as its slowest.
fn class_ids(queue: &QueueRow, spec: &StepSpec, tenant: Option<&str>) -> ClassIds {
    let octave = [whole(estimate_octaves(queue, spec))];
    let of_queue = extend_hash(hash::START, queue.name.as_bytes());
    let of_queue = extend_hash(of_queue, &[u8::from(spec.gang)]);
    let image = spec.image.as_deref().unwrap_or_default();
    let of_image = extend_hash(of_queue, image.as_bytes());
    let of_estimate = extend_hash(of_image, &octave);
    let of_tenant = tenant.map(|tenant| extend_hash(of_estimate, tenant.as_bytes()));
    ClassIds {
        levels: [Some(of_queue), Some(of_image), Some(of_estimate), of_tenant],
        // No image has this byte in its name.
        residuals: extend_hash(of_queue, &[u8::MAX - 1]),
    }
}

/// Extends a hash by a field. The byte 255, which no text contains, ends the field.
fn extend_hash(hash: u64, field: &[u8]) -> u64 {
    let bytes = field.iter().chain(&[u8::MAX]);
    hash::extend(hash, bytes.copied().map(u64::from))
}

/// Returns the caller's estimate in octaves; without one, the constant part of the objective.
fn estimate_octaves(queue: &QueueRow, spec: &StepSpec) -> f64 {
    octaves(if spec.estimate_ms == 0 {
        queue.target_ms
    } else {
        spec.estimate_ms
    })
}

/// Returns the time of the call for advice that a step needs, in whole milliseconds.
fn advice_ms(queue: &QueueRow) -> u64 {
    advice_us(queue).div_ceil(1_000)
}

/// Returns the time of the call for advice that a step needs, in microseconds.
pub(crate) fn advice_us(queue: &QueueRow) -> u64 {
    queue.advice.as_ref().map_or(0, |cost| {
        let workers_us = cost.per_worker_us.saturating_mul(ADVICE_WORKERS);
        cost.call_us.saturating_add(workers_us)
    })
}

#[allow(
    clippy::cast_precision_loss,
    reason = "times beyond 2^53 ms are clamped anyway"
)]
fn octaves(ms: u64) -> f64 {
    (ms.max(1) as f64).log2().min(MAX_OCTAVES)
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is not negative and below 2^25"
)]
fn to_ms(octaves: f64) -> u64 {
    octaves.clamp(0.0, MAX_OCTAVES).exp2().round() as u64
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "octaves are between 0 and 24, so the number is below 192"
)]
fn bucket_of(octaves: f64) -> u8 {
    (octaves * BUCKETS_PER_OCTAVE) as u8
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "octaves are between 0 and 24"
)]
fn whole(octaves: f64) -> u8 {
    octaves as u8
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the number of runs is bounded by the window"
)]
fn round(runs: f64) -> u64 {
    runs.ceil() as u64
}

#[allow(
    clippy::cast_possible_truncation,
    reason = "the precision of f32 is far below that of a bucket"
)]
fn to_f32(octaves: f64) -> f32 {
    octaves as f32
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion of a number that is too large gives the largest"
)]
fn saved_u16(value: f32) -> u16 {
    value.round() as u16
}

#[allow(
    clippy::cast_possible_truncation,
    reason = "the conversion of a number that is too large gives the largest"
)]
fn saved_i32(value: f32) -> i32 {
    value.round() as i32
}

#[allow(
    clippy::cast_precision_loss,
    reason = "saved moments have at most 20 significant bits"
)]
fn restored(value: i32) -> f32 {
    value as f32 / SAVED_OCTAVE_UNITS
}
