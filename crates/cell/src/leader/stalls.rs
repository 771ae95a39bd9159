//! Detection of stalled runs and of workers on which everything stands still.
//!
//! The percentage that a worker reports is an estimate: a task that takes longer than expected
//! stays at 100 percent and is still at work. A run below 100 percent stalls when its percentage
//! stands still. A run at 100 percent stalls only if it is far beyond its expected run time, or if
//! its worker as a whole stands still.

use acaciareel_types::{Millis, SortedVec};

use super::{
    Leader,
    worker::{Phase, WorkerView},
};
use crate::{
    CellState, Effect, LogLevel, RunKey, StepSpec, WorkerNumber, io::Io, run_times::Expectation,
};

/// A run below 100 percent without progress for this long is stopped and placed elsewhere. The
/// slowest healthy tasks take 85 s and advance by one percent several times in this time.
const STALLED_MS: u64 = 4_000;
/// Fewest runs without progress that show that their worker stands still.
const STANDSTILL_RUNS: usize = 3;
/// Smallest share of a worker's runs without progress that shows that it stands still.
const STANDSTILL_SHARE: (usize, usize) = (3, 4);
/// A run at 100 percent is not stopped for its run time alone within this time. Estimates of short
/// tasks are the least reliable, and a worker may be slowed by a factor of 5 for some seconds.
const MIN_OVERRUN_MS: u64 = 10_000;
/// Multiple of the expected median beyond which a run at 100 percent counts as stalled. Three
/// percent of the tasks take seven times as long as the others, and a slow worker runs them at 0.7
/// of the usual speed.
const OVERRUN_FACTOR: u64 = 10;
/// The same multiple while the expectation has no spread. The jobs of one queue differ by more than
/// the tasks of one job.
const OVERRUN_FACTOR_WITHOUT_SPREAD: u64 = 15;
/// The same multiple while no run has finished. The caller's estimate is off by a factor of 2.5 or
/// more.
const OVERRUN_FACTOR_OF_ESTIMATE: u64 = 25;
/// Most stopped runs that are remembered for each worker; it takes only three to show a standstill.
const MAX_STOPPED: usize = 16;

/// Progress of a run that its worker has confirmed and that is not being stopped.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct RunProgress {
    pub key: RunKey,
    pub gang: bool,
    pub long_running: bool,
    pub percent: u32,
    /// Time since the percentage last changed, or since the start.
    pub still_ms: u64,
    /// Time since the start.
    pub running_ms: u64,
    /// Time since the checkpoint last changed; `None` if the run has saved none.
    pub checkpoint_age_ms: Option<u64>,
    /// Run time from which a run at 100 percent counts as stalled.
    pub overrun_ms: u64,
}

impl RunProgress {
    /// Returns what counts once as evidence: a task, or all members of a gang on the worker, which
    /// may wait for a slow member elsewhere.
    fn unit(&self) -> RunKey {
        let mut unit = self.key;
        if self.gang {
            unit.task.index = 0;
        }
        unit
    }

    /// Returns whether a long-running task is at work, which makes no further progress.
    fn is_service_at_work(&self) -> bool {
        self.long_running && self.percent >= 100
    }

    fn checkpoint_advances(&self) -> bool {
        self.checkpoint_age_ms
            .is_some_and(|age_ms| age_ms <= STALLED_MS)
    }

    /// Returns whether nothing shows that the run is at work. At 100 percent a checkpoint that
    /// advances does.
    fn stands_still(&self) -> bool {
        let at_work = self.percent >= 100 && self.checkpoint_advances();
        self.still_ms > STALLED_MS && !at_work
    }

    /// Returns whether a run that stands still can be evidence that its worker hangs. After a burst
    /// only tasks of the heavy tail may be left on a worker: they reached 100 percent before other
    /// runs ended there.
    fn shows_a_hang(&self, worker: &WorkerProgress, now_ms: Millis) -> bool {
        let stands_since = now_ms.saturating_sub(Millis(self.still_ms));
        self.percent < 100
            || worker
                .last_end_ms
                .is_none_or(|end_ms| stands_since > end_ms)
    }

    fn has_overrun(&self) -> bool {
        self.percent >= 100 && self.stands_still() && self.running_ms > self.overrun_ms
    }
}

/// What is known of a worker besides its present runs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct WorkerProgress {
    /// Time at which a run last ended by itself, or at which the worker first reported its runs to
    /// this leader.
    pub last_end_ms: Option<Millis>,
    /// Units (see [`RunProgress::unit`]) that were stopped as stalled since any run of the worker
    /// last advanced or ended by itself, sorted.
    stopped: Vec<RunKey>,
}

impl WorkerProgress {
    /// Records the first report. It does not show since when the runs are at 100 percent.
    pub fn first_reported(&mut self, now_ms: Millis) {
        self.last_end_ms = Some(now_ms);
    }

    /// Records that a run of the worker advanced.
    pub fn run_advanced(&mut self) {
        self.stopped.clear();
    }

    /// Records that a run ended by itself, with or without success.
    pub fn run_ended(&mut self, now_ms: Millis) {
        self.last_end_ms = Some(now_ms);
        self.stopped.clear();
    }

    fn add_stopped(&mut self, unit: RunKey) {
        if let Err(at) = self.stopped.binary_search(&unit)
            && self.stopped.len() < MAX_STOPPED
        {
            self.stopped.insert(at, unit);
        }
    }
}

/// Why a run counts as stalled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StallReason {
    /// The run stands still below 100 percent.
    NoProgress,
    /// The run stands still at 100 percent, far beyond its expected run time.
    Overrun,
    /// Nearly all runs of the worker stand still.
    Standstill,
}

impl StallReason {
    /// Returns the value of the field `reason` in logs.
    fn as_str(self) -> &'static str {
        match self {
            Self::NoProgress => "no_progress",
            Self::Overrun => "overrun",
            Self::Standstill => "worker_standstill",
        }
    }
}

/// Evidence against the worker itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WorkerEvidence {
    /// The stalled runs, if any, are a minority of the worker's runs, or are only slow.
    None,
    /// Runs stalled below 100 percent, and at least half of the worker's runs stand still. They may
    /// belong to one job, which may be the cause.
    MostRunsStill,
    /// Nearly all runs stand still, they belong to several jobs, and none has ended.
    Standstill,
}

/// Result of [`find_stalls`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Stalls {
    /// Runs to stop.
    pub runs: Vec<(RunKey, StallReason)>,
    pub evidence: WorkerEvidence,
}

/// Returns the run time from which a run at 100 percent that stands still counts as stalled. The
/// larger of the expectation and the caller's estimate counts, because a stop destroys the work of
/// a whole gang.
pub(super) fn overrun_ms(expected: Expectation, estimate_ms: u64) -> u64 {
    let limit_ms = if expected.runs == 0 {
        estimate_ms.saturating_mul(OVERRUN_FACTOR_OF_ESTIMATE)
    } else if expected.p99_ms <= expected.median_ms {
        let usual_ms = expected.median_ms.max(estimate_ms);
        usual_ms.saturating_mul(OVERRUN_FACTOR_WITHOUT_SPREAD)
    } else {
        let beyond_median_ms = expected.median_ms.saturating_mul(OVERRUN_FACTOR);
        beyond_median_ms.max(expected.p99_ms)
    };
    limit_ms.max(MIN_OVERRUN_MS)
}

/// Decides which of a worker's runs have stalled, and whether the worker is the cause.
pub(super) fn find_stalls(runs: &[RunProgress], worker: &WorkerProgress, now_ms: Millis) -> Stalls {
    let judged = || runs.iter().filter(|run| !run.is_service_at_work());
    // A gang counts as moving if one of its members here is.
    let mut moving = SortedVec::new();
    let mut still = SortedVec::new();
    for run in judged().filter(|run| !run.stands_still()) {
        moving.insert(run.unit(), ());
    }
    for run in judged().filter(|run| run.stands_still()) {
        if !moving.contains_key(&run.unit()) {
            still.insert(run.unit(), run.shows_a_hang(worker, now_ms));
        }
    }
    for unit in &worker.stopped {
        moving.remove(unit);
        still.insert(*unit, true);
    }
    let evident = still.iter().filter(|(_, evident)| **evident);
    let evident: Vec<RunKey> = evident.map(|(unit, _)| *unit).collect();
    let first_job = evident.first().map(|unit| unit.task.step.job);
    let several_jobs = evident
        .iter()
        .any(|unit| Some(unit.task.step.job) != first_job);
    // Tasks of one job that all take longer than estimated reach 100 percent together. Below 100
    // percent they would advance.
    let stopped_or_below =
        !worker.stopped.is_empty() || judged().any(|run| run.stands_still() && run.percent < 100);
    let ended = worker
        .last_end_ms
        .is_some_and(|at_ms| now_ms.saturating_sub(at_ms).0 <= STALLED_MS);
    let (still, all) = (still.len(), still.len() + moving.len());
    let (share, of) = STANDSTILL_SHARE;
    let standstill = !ended
        && evident.len() >= STANDSTILL_RUNS
        && still * of >= all * share
        && (several_jobs || stopped_or_below);

    let reason = |run: &RunProgress| {
        if !run.stands_still() {
            None
        } else if standstill {
            Some(StallReason::Standstill)
        } else if run.percent < 100 {
            Some(StallReason::NoProgress)
        } else {
            run.has_overrun().then_some(StallReason::Overrun)
        }
    };
    let runs: Vec<_> = judged()
        .filter_map(|run| Some((run.key, reason(run)?)))
        .collect();
    let any_without_progress = runs.iter().any(|(_, why)| *why == StallReason::NoProgress);
    let evidence = if runs.is_empty() {
        WorkerEvidence::None
    } else if standstill && several_jobs {
        WorkerEvidence::Standstill
    } else if standstill || any_without_progress && still * 2 >= all {
        WorkerEvidence::MostRunsStill
    } else {
        WorkerEvidence::None
    };
    Stalls { runs, evidence }
}

impl Leader {
    /// Stops the stalled runs of a worker, and charges its health if the worker is the cause.
    pub(super) fn stop_stalled(
        &mut self,
        state: &CellState,
        number: WorkerNumber,
        io: &mut Io<'_>,
    ) {
        let Some(view) = self.workers.get(&number) else {
            return;
        };
        // Without a reply, standing still shows nothing.
        if view.missed_calls > 0 {
            return;
        }
        // Most workers have no run that stands still, and then the rest need not be examined.
        let stands_still = |at_ms: Millis| io.now_ms.saturating_sub(at_ms).0 > STALLED_MS;
        if !view
            .runs
            .values()
            .any(|run| stands_still(run.last_progress_ms))
        {
            return;
        }
        let runs = self.progress_of(state, view, io.now_ms);
        let stalls = find_stalls(&runs, &view.progress, io.now_ms);
        let Some(view) = self.workers.get_mut(&number) else {
            return;
        };
        for (key, reason) in &stalls.runs {
            let Some(progress) = runs.iter().find(|run| run.key == *key) else {
                continue;
            };
            if let Some(run) = view.runs.get_mut(key) {
                run.stopping = true;
            }
            if *reason != StallReason::Overrun {
                view.progress.add_stopped(progress.unit());
            }
            io.effects.push(Effect::Log {
                level: LogLevel::Warn,
                event: "run_stalled",
                fields: vec![
                    ("run", key.to_string()),
                    ("worker", view.record.id.clone()),
                    ("reason", reason.as_str().to_owned()),
                    ("percent", progress.percent.to_string()),
                    ("still_ms", progress.still_ms.to_string()),
                    ("running_ms", progress.running_ms.to_string()),
                ],
            });
        }
        match stalls.evidence {
            WorkerEvidence::None => {}
            WorkerEvidence::MostRunsStill => view.health.add_result(io.now_ms, true),
            WorkerEvidence::Standstill => view.health.add_standstill(io.now_ms),
        }
    }

    /// Returns the progress of a worker's confirmed runs that are not being stopped.
    fn progress_of(
        &self,
        state: &CellState,
        view: &WorkerView,
        now_ms: Millis,
    ) -> Vec<RunProgress> {
        let unknown = StepSpec::default();
        let confirmed = view
            .runs
            .iter()
            .filter(|(_, run)| matches!(run.phase, Phase::Confirmed { .. }) && !run.stopping);
        let progress = confirmed.map(|(key, run)| {
            let step = key.task.step;
            let job = state.job(step.job);
            let declared = job.and_then(|job| Some((job, job.step_spec(step)?)));
            let spec = declared.map_or(&unknown, |(_, spec)| spec);
            let since = |at_ms: Millis| now_ms.saturating_sub(at_ms).0;
            RunProgress {
                key: *key,
                gang: spec.gang,
                long_running: spec.long_running,
                percent: run.percent,
                still_ms: since(run.last_progress_ms),
                running_ms: since(run.started_ms),
                checkpoint_age_ms: run.last_checkpoint_ms.map(since),
                overrun_ms: declared.map_or(MIN_OVERRUN_MS, |(job, spec)| {
                    let expected = self.run_times.expect(&job.queue, spec);
                    let limit_ms = overrun_ms(expected, spec.estimate_ms);
                    limit_ms.max(self.speeds.run_ms(view.number, limit_ms))
                }),
            }
        });
        progress.collect()
    }
}

#[cfg(test)]
mod tests;
