//! Speeds of the workers, learned from the run times of finished tasks.
//!
//! Jobs differ much more than workers do, so run times are compared only within a step: the tasks of
//! one step have the same declaration. Each run is compared with those on other workers, corrected
//! by what is known of their speeds. All speeds are relative to the median worker.

use std::collections::VecDeque;

use acaciareel_types::{Millis, SortedVec};

use crate::{StepKey, WorkerNumber};

/// Runs from which a speed is known.
const MIN_RUNS: f64 = 5.0;
/// Difference of logarithms below which speeds count as equal: 25 percent.
const EQUAL_LN: f64 = 0.223;
/// Difference of logarithms from which a worker counts as very slow: a factor of 2.5.
const VERY_SLOW_LN: f64 = 0.916;
/// Difference of logarithms from which a worker counts as very fast: a factor of 3.
const VERY_FAST_LN: f64 = 1.099;
/// Standard errors by which a difference must exceed [`EQUAL_LN`]. Among hundreds of equal workers
/// some would count as different by chance otherwise.
const STANDARD_ERRORS: f64 = 3.0;
/// Longest step of a speed towards one run, before weighting. Three percent of the tasks take seven
/// times as long as the others of their step.
const MAX_STEP_LN: f64 = 0.5;
/// Smallest weight of a run in the speed of its worker. It bounds the runs that count to about 40.
const MIN_WEIGHT: f64 = 0.05;
/// Variance of a run around the speed of its worker before any is known: tasks of a step differ by 15
/// to 30 percent, and so do those with which they are compared.
const INITIAL_VARIANCE: f64 = 0.12;
/// Latest runs that show whether a worker has changed its speed.
const RECENT_RUNS: usize = 6;
/// How many of them must show that it is slower. At 1,000 runs a second, three of five are tasks of the heavy
/// tail every few seconds on some worker; five of six once in two hours.
const SLOWER_RUNS: usize = 5;
/// How many of them must show that it is faster. In a step of three tasks, one of the heavy tail
/// makes the two others look faster.
const FASTER_RUNS: usize = 6;
/// Time for which a run counts as recent. A worker that has turned slow gets no new runs, so its
/// recent speed must expire for it to be tried again.
const RECENT_MS: u64 = 4_000;
/// Difference of logarithms between recent and usual speed that counts as a change: a factor of 2.
const CHANGED_LN: f64 = 0.693;
/// Time after which a changed speed becomes the usual one.
const CHANGE_LASTS_MS: u64 = 10_000;
/// Time without runs in which half of the evidence on a worker is forgotten.
const HALF_LIFE_MS: f64 = 30_000.0;
/// Shortest run time that is compared. Shorter ones are dominated by the delays of calls.
const MIN_RUN_MS: u64 = 50;
/// Most finished runs that are kept of a step.
const MAX_RUNS_PER_STEP: usize = 64;
/// Most unfinished steps whose runs are kept.
const MAX_STEPS: usize = 512;
/// Time between two computations of the classes.
const REFRESH_MS: u64 = 100;
/// Largest share of workers that may be closed to new runs as very slow, as a divisor. If more of
/// them are slow, the others could not carry the load.
const CLOSED_DIVISOR: usize = 4;

/// Speed of a worker compared with the median worker.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum SpeedClass {
    /// Slower by a factor of 2.5 or more.
    VerySlow,
    /// Slower by 25 percent or more.
    Slow,
    /// The difference is under 25 percent, or not known.
    #[default]
    Usual,
    /// Faster by 25 percent or more.
    Fast,
    /// Faster by a factor of 3 or more.
    VeryFast,
}

/// What is known of the speed of one worker.
#[derive(Clone, Debug)]
struct WorkerSpeed {
    /// Logarithm of the usual speed.
    usual_ln: f64,
    /// Mean square of the differences of runs from it.
    variance: f64,
    /// Number of runs that it rests on.
    runs: f64,
    last_run_ms: Millis,
    /// Times of the latest runs, and the logarithm of the speed that each shows.
    recent: VecDeque<(Millis, f64)>,
    /// Time since which the recent runs differ from the usual speed.
    changed_since_ms: Option<Millis>,
}

impl WorkerSpeed {
    fn new(now_ms: Millis) -> Self {
        Self {
            usual_ln: 0.0,
            variance: INITIAL_VARIANCE,
            runs: 0.0,
            last_run_ms: now_ms,
            recent: VecDeque::new(),
            changed_since_ms: None,
        }
    }

    /// Returns the median speed of the recent runs if it differs from the usual one.
    fn changed_ln(&self, now_ms: Millis) -> Option<f64> {
        let recent = self.recent.iter();
        let recent = recent.filter(|(at_ms, _)| now_ms.saturating_sub(*at_ms).0 <= RECENT_MS);
        let mut recent: Vec<f64> = recent.map(|(_, ln)| *ln).collect();
        let slower = recent.iter().filter(|ln| **ln < self.usual_ln - CHANGED_LN);
        let faster = recent.iter().filter(|ln| **ln > self.usual_ln + CHANGED_LN);
        let has_changed = slower.count() >= SLOWER_RUNS || faster.count() >= FASTER_RUNS;
        has_changed.then(|| median(&mut recent)).flatten()
    }

    fn current_ln(&self, now_ms: Millis) -> f64 {
        self.changed_ln(now_ms).unwrap_or(self.usual_ln)
    }

    /// Returns the number of runs that still count.
    fn runs_at(&self, now_ms: Millis) -> f64 {
        let idle_ms = now_ms.saturating_sub(self.last_run_ms).0;
        #[allow(clippy::cast_precision_loss, reason = "milliseconds of a process")]
        let half_lives = idle_ms as f64 / HALF_LIFE_MS;
        self.runs * 0.5_f64.powf(half_lives)
    }

    /// Adds the speed that one run shows.
    fn add(&mut self, shown_ln: f64, now_ms: Millis) {
        self.runs = self.runs_at(now_ms);
        self.last_run_ms = now_ms;
        if self.recent.len() == RECENT_RUNS {
            self.recent.pop_front();
        }
        self.recent.push_back((now_ms, shown_ln));
        let changed = self.changed_ln(now_ms);
        if let Some(changed_ln) = changed
            && self.runs >= MIN_RUNS
        {
            let since_ms = *self.changed_since_ms.get_or_insert(now_ms);
            if now_ms.saturating_sub(since_ms).0 > CHANGE_LASTS_MS {
                self.usual_ln = changed_ln;
                self.variance = INITIAL_VARIANCE;
                self.runs = MIN_RUNS;
                self.changed_since_ms = None;
            }
            return;
        }
        self.changed_since_ms = None;
        self.runs += 1.0;
        let weight = (1.0 / self.runs).max(MIN_WEIGHT);
        let step = (shown_ln - self.usual_ln).clamp(-MAX_STEP_LN, MAX_STEP_LN);
        self.usual_ln += weight * step;
        self.variance += MIN_WEIGHT * (step * step - self.variance);
    }

    /// Returns the logarithm of the speed relative to a reference, or 0 if it is not known or the
    /// difference may be due to chance.
    fn relative_ln(&self, reference_ln: f64, now_ms: Millis) -> f64 {
        let runs = self.runs_at(now_ms);
        if runs < MIN_RUNS {
            return 0.0;
        }
        let (ln, error_ln) = self.changed_ln(now_ms).map_or_else(
            || {
                let counted = runs.min(2.0 / MIN_WEIGHT);
                let error_ln = STANDARD_ERRORS * (self.variance / counted).sqrt();
                (self.usual_ln, error_ln)
            },
            |changed_ln| (changed_ln, 0.0),
        );
        let relative_ln = ln - reference_ln;
        if relative_ln.abs() - error_ln > EQUAL_LN {
            relative_ln
        } else {
            0.0
        }
    }
}

/// Finished runs of one step.
#[derive(Clone, Debug, Default)]
struct StepRuns {
    /// Worker and logarithm of the run time.
    runs: Vec<(WorkerNumber, f64)>,
    /// Whether the first runs were compared with each other.
    compared: bool,
}

impl StepRuns {
    /// Returns the logarithm of the speed that a run shows: the median of the other workers' run
    /// times, corrected by their speeds, in relation to its own.
    fn shown_ln(&self, index: usize, speed_of: &impl Fn(WorkerNumber) -> f64) -> Option<f64> {
        let (worker, run_ln) = *self.runs.get(index)?;
        let others = self.runs.iter().filter(|(other, _)| *other != worker);
        let mut others: Vec<f64> = others.map(|(other, ln)| ln + speed_of(*other)).collect();
        Some(median(&mut others)? - run_ln)
    }
}

/// A finished run of a task that did all its work itself, on one worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FinishedRun {
    /// Step of the task. A run of a gang must not be added: its members end together.
    pub step: StepKey,
    /// Number of tasks of the step.
    pub tasks: u32,
    /// Worker that ran it.
    pub worker: WorkerNumber,
    /// Time that it took.
    pub took_ms: u64,
}

/// Model of the workers' speeds.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    workers: SortedVec<WorkerNumber, WorkerSpeed>,
    steps: SortedVec<StepKey, StepRuns>,
    /// Keys of `steps`, oldest first.
    step_order: VecDeque<StepKey>,
    /// Speeds of the workers that differ from the median worker, in thousandths, with their
    /// classes.
    different: SortedVec<WorkerNumber, (SpeedClass, u64)>,
    /// Very slow workers that get no new runs, sorted.
    closed: Vec<WorkerNumber>,
    refreshed_ms: Millis,
}

impl Speeds {
    /// Adds a finished run.
    pub fn add(&mut self, run: FinishedRun, now_ms: Millis) {
        let FinishedRun {
            step,
            tasks,
            worker,
            took_ms,
        } = run;
        if tasks < 2 || took_ms < MIN_RUN_MS {
            return;
        }
        if !self.steps.contains_key(&step) {
            if self.step_order.len() >= MAX_STEPS
                && let Some(oldest) = self.step_order.pop_front()
            {
                self.steps.remove(&oldest);
            }
            self.step_order.push_back(step);
        }
        let entry = self.steps.get_or_insert_with(step, StepRuns::default);
        if entry.runs.len() >= MAX_RUNS_PER_STEP {
            return;
        }
        #[allow(clippy::cast_precision_loss, reason = "milliseconds of a run")]
        entry.runs.push((worker, (took_ms as f64).ln()));
        let known = entry.runs.len();
        let tasks = tasks as usize;
        // The first runs of a step are the fast and lucky ones. They are compared once most others
        // have finished; the rest may be of the heavy tail.
        let most = (tasks * 3).div_ceil(4).min(MAX_RUNS_PER_STEP);
        let first = if entry.compared { known - 1 } else { 0 };
        if known < most {
            return;
        }
        entry.compared = true;
        let Some(entry) = self.steps.get(&step) else {
            return;
        };
        let workers = &self.workers;
        let speed_of = |worker: WorkerNumber| {
            let speed = workers.get(&worker);
            speed.map_or(0.0, |speed| speed.current_ln(now_ms))
        };
        let shown = (first..known).filter_map(|index| {
            let (worker, _) = entry.runs[index];
            Some((worker, entry.shown_ln(index, &speed_of)?))
        });
        let shown: Vec<(WorkerNumber, f64)> = shown.collect();
        for (worker, shown_ln) in shown {
            let new = || WorkerSpeed::new(now_ms);
            let speed = self.workers.get_or_insert_with(worker, new);
            speed.add(shown_ln, now_ms);
        }
        if known >= tasks {
            self.steps.remove(&step);
            self.step_order.retain(|kept| *kept != step);
        }
    }

    /// Forgets a worker.
    pub fn remove(&mut self, worker: WorkerNumber) {
        self.workers.remove(&worker);
        self.different.remove(&worker);
        self.closed.retain(|closed| *closed != worker);
    }

    /// Computes the classes anew if some time has passed. Returns the workers whose class has
    /// changed, with the new one.
    pub fn refresh(&mut self, now_ms: Millis) -> Vec<(WorkerNumber, SpeedClass)> {
        if now_ms.saturating_sub(self.refreshed_ms).0 < REFRESH_MS {
            return Vec::new();
        }
        self.refreshed_ms = now_ms;
        let known = self.workers.values();
        let known = known.filter(|speed| speed.runs_at(now_ms) >= MIN_RUNS);
        let mut known: Vec<f64> = known.map(|speed| speed.usual_ln).collect();
        let reference_ln = median(&mut known).unwrap_or(0.0);
        let different = self.workers.iter().filter_map(|(worker, speed)| {
            let relative_ln = speed.relative_ln(reference_ln, now_ms);
            let class = class_of(relative_ln);
            (class != SpeedClass::Usual).then(|| (*worker, (class, permille(relative_ln))))
        });
        let different = different.collect();
        let before = std::mem::replace(&mut self.different, different);
        // Only a change closes a worker: it expires without new runs.
        let changed = self.different.iter().filter(|(worker, (class, _))| {
            let speed = self.workers.get(worker);
            let changed = speed.is_some_and(|speed| speed.changed_ln(now_ms).is_some());
            *class == SpeedClass::VerySlow && changed
        });
        self.closed = changed.map(|(worker, _)| *worker).collect();
        if self.closed.len() * CLOSED_DIVISOR > self.workers.len() {
            self.closed.clear();
        }
        let mut changed: Vec<WorkerNumber> = before
            .keys()
            .chain(self.different.keys())
            .copied()
            .collect();
        changed.sort_unstable();
        changed.dedup();
        let class_before = |worker: &WorkerNumber| before.get(worker).map(|(class, _)| *class);
        let class_now = |worker: &WorkerNumber| self.different.get(worker).map(|(class, _)| *class);
        changed.retain(|worker| class_before(worker) != class_now(worker));
        let changed = changed.into_iter();
        changed.map(|worker| (worker, self.class(worker))).collect()
    }

    /// Returns the class of a worker at the last refresh.
    #[must_use]
    pub fn class(&self, worker: WorkerNumber) -> SpeedClass {
        let known = self.different.get(&worker);
        known.map_or(SpeedClass::Usual, |(class, _)| *class)
    }

    /// Returns the speed of a worker in thousandths of the median worker's, at the last refresh.
    /// Differences that count as none are 1,000.
    #[must_use]
    pub fn permille(&self, worker: WorkerNumber) -> u64 {
        let known = self.different.get(&worker);
        known.map_or(1_000, |(_, permille)| *permille)
    }

    /// Returns the time that a worker takes for work that takes the median worker `usual_ms`.
    #[must_use]
    pub fn run_ms(&self, worker: WorkerNumber, usual_ms: u64) -> u64 {
        usual_ms.saturating_mul(1_000) / self.permille(worker).max(1)
    }

    /// Returns whether a worker has turned very slow and gets no new runs for now.
    #[must_use]
    pub fn is_closed(&self, worker: WorkerNumber) -> bool {
        self.closed.binary_search(&worker).is_ok()
    }

    /// Returns the workers whose speeds differ from the median worker's, with their speeds in
    /// thousandths.
    pub fn different(&self) -> impl Iterator<Item = (WorkerNumber, SpeedClass, u64)> {
        let different = self.different.iter();
        different.map(|(worker, (class, permille))| (*worker, *class, *permille))
    }
}

fn class_of(relative_ln: f64) -> SpeedClass {
    if relative_ln <= -VERY_SLOW_LN {
        SpeedClass::VerySlow
    } else if relative_ln < -EQUAL_LN {
        SpeedClass::Slow
    } else if relative_ln <= EQUAL_LN {
        SpeedClass::Usual
    } else if relative_ln < VERY_FAST_LN {
        SpeedClass::Fast
    } else {
        SpeedClass::VeryFast
    }
}

fn permille(relative_ln: f64) -> u64 {
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is clamped to a small positive range"
    )]
    let permille = (relative_ln.exp() * 1_000.0).clamp(1.0, 1_000_000.0) as u64;
    permille
}

/// Returns the median, the mean of the middle two for an even number; `None` of nothing.
fn median(values: &mut [f64]) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    values.sort_unstable_by(f64::total_cmp);
    let upper = values[values.len() / 2];
    let lower = values[(values.len() - 1) / 2];
    Some(f64::midpoint(lower, upper))
}

#[cfg(test)]
mod tests;
