//! Workers whose runs fail, and whether the workers are the cause.
//!
//! A failed run shows that the worker or the task is at fault. A worker is charged unless other
//! workers show that it is the task; a worker with many charges is on probation and gets one new run
//! at a time. The load that this answers: some workers that fail all that they start, beside jobs that
//! can never be done. Neither a task that never ends nor a job that never succeeds may keep a worker
//! on probation, so what it already runs does not count, and the probation ends by itself.

use std::cmp::Reverse;

use acaciareel_types::{Millis, SortedVec};

use super::Leader;
use crate::{CellState, JobId, JobState, StepKey, TaskKey, WorkerNumber, io::Io};

/// Weight of the latest result in the share of failed runs, in thousandths.
const RESULT_WEIGHT_PERMILLE: u32 = 300;
/// Share of failed runs from which a worker is on probation; three consecutive failures reach it.
const PROBATION_PERMILLE: u32 = 600;
/// Shortest time for which a worker stays on probation after a failure.
const MIN_PROBATION_MS: u64 = 3_000;
/// Longest time for which it does, without any further result. Workers that have recovered must be in
/// use 14 s after the last failure (rule of the users), also for gangs that need several places on one.
const MAX_PROBATION_MS: u64 = 10_000;
/// Time after which a run on a worker on probation no longer keeps others from it. A job may stand
/// still for 3 s (rule of the users).
const TRIAL_MS: u64 = 2_000;
/// Time after a failure in which a worker on probation gets no run, and in which no worker gets runs of
/// a step that it has failed. A worker that fails its runs at once would otherwise take a new one with
/// every pass, and use up the attempts of the jobs, while the others are full.
const PAUSE_MS: u64 = 500;
/// Most workers that are remembered for a step.
const MAX_WORKERS_PER_STEP: usize = 8;
/// Number of other workers on which runs of a step must have failed, while none succeeded, for a
/// further failure to count against the step only.
const WORKERS_TO_BLAME_STEP: usize = 2;
/// Largest share of a service's workers on probation, as a divisor. If more of them fail, most of the
/// failures are those of jobs, and the others could not carry the load.
const PROBATION_DIVISOR: usize = 3;

/// Recent failures of a worker.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct Health {
    /// Decaying share of recent runs that failed or stalled, in thousandths.
    pub failing_permille: u32,
    /// Time of the latest failure that began or prolonged a probation.
    probation_failure_ms: Option<Millis>,
    /// Time at which the present probation began.
    probation_since_ms: Millis,
}

impl Health {
    /// Adds a result to the share of failures. A failure that brings the share to the limit, or
    /// leaves it above, begins a probation or prolongs the present one.
    pub fn add_result(&mut self, now_ms: Millis, failed: bool) {
        let decayed = self.failing_permille * (1_000 - RESULT_WEIGHT_PERMILLE);
        let added = if failed {
            RESULT_WEIGHT_PERMILLE * 1_000
        } else {
            0
        };
        let was_on_probation = self.on_probation(now_ms);
        self.failing_permille = (decayed + added) / 1_000;
        if failed && self.failing_permille >= PROBATION_PERMILLE {
            self.probation_failure_ms = Some(now_ms);
            if !was_on_probation {
                self.probation_since_ms = now_ms;
            }
        }
    }

    /// Puts the worker on probation at once: nearly all its runs stand still, which is as much
    /// evidence as several failures in a row.
    pub fn add_standstill(&mut self, now_ms: Millis) {
        self.failing_permille = self.failing_permille.max(PROBATION_PERMILLE);
        self.add_result(now_ms, true);
    }

    /// Returns whether the worker may have only one new run at a time now. Successful runs end the
    /// probation early. After the longest time the share stays as it is, so that a single failure
    /// begins the next one.
    pub fn on_probation(&self, now_ms: Millis) -> bool {
        let Some(failure_ms) = self.probation_failure_ms else {
            return false;
        };
        let since_ms = now_ms.saturating_sub(failure_ms).0;
        let longest_ms = if self.failing_permille >= PROBATION_PERMILLE {
            MAX_PROBATION_MS
        } else {
            MIN_PROBATION_MS
        };
        since_ms < longest_ms
    }

    /// Returns whether a worker on probation gets no run at all, because it has just failed one.
    pub fn pauses(&self, now_ms: Millis) -> bool {
        self.probation_failure_ms
            .is_some_and(|failure_ms| now_ms.saturating_sub(failure_ms).0 < PAUSE_MS)
    }

    /// Returns whether a run that began at this time and has come this far is a trial, beside which
    /// the worker gets no other run. A run from before the probation is none: it may go on for ever.
    /// Nor is one that has been at work for a while.
    pub fn is_trial(&self, began_ms: Millis, percent: u32, now_ms: Millis) -> bool {
        began_ms >= self.probation_since_ms
            && percent < 100
            && now_ms.saturating_sub(began_ms).0 < TRIAL_MS
    }
}

/// Steps of which runs have failed, with the workers on which they did since the last success and the
/// times of the latest failures there.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct FailedSteps {
    workers: SortedVec<StepKey, Vec<(WorkerNumber, Millis)>>,
}

impl FailedSteps {
    /// Records a failed run. Returns whether the worker may be the cause. What is left of a job that has
    /// ended says nothing of a worker.
    pub fn run_failed(
        &mut self,
        state: &CellState,
        task: TaskKey,
        worker: WorkerNumber,
        now_ms: Millis,
    ) -> bool {
        let job = state.job(task.step.job);
        let Some(job) = job.filter(|job| job.state == JobState::Active) else {
            return false;
        };
        let failed_on = job.task(task).and_then(|task| task.failed_on);
        self.add_failure(task.step, (worker, now_ms), failed_on)
    }

    /// Records a failed run of a step. `failed_on` is the worker of the latest failure of the same task
    /// before it. Returns whether the worker may be the cause.
    fn add_failure(
        &mut self,
        step: StepKey,
        (worker, now_ms): (WorkerNumber, Millis),
        failed_on: Option<WorkerNumber>,
    ) -> bool {
        let workers = self.workers.get_or_insert_with(step, Vec::new);
        workers.retain(|(other, _)| *other != worker);
        let others = workers.len();
        if others >= MAX_WORKERS_PER_STEP {
            workers.remove(0);
        }
        workers.push((worker, now_ms));
        let task_failed_elsewhere = failed_on.is_some_and(|other| other != worker);
        others < WORKERS_TO_BLAME_STEP && !task_failed_elsewhere
    }

    /// Returns the workers that have just failed runs of a step and get no others for now. Only the
    /// step's own failures count, so that other jobs cannot keep it from the only worker of a kind.
    pub fn pausing_workers(&self, step: StepKey, now_ms: Millis) -> Vec<WorkerNumber> {
        let failed = self.workers.get(&step).into_iter().flatten();
        let recent = failed.filter(|(_, at_ms)| now_ms.saturating_sub(*at_ms).0 < PAUSE_MS);
        recent.map(|(worker, _)| *worker).collect()
    }

    /// Records a run of a step that has ended successfully: it can be done.
    pub fn add_success(&mut self, step: StepKey) {
        self.workers.remove(&step);
    }

    /// Forgets the steps of a job that has ended.
    pub fn remove_job(&mut self, job: JobId) {
        if !self.workers.is_empty() {
            self.workers.retain(|step, _| step.job != job);
        }
    }
}

impl Leader {
    /// Decides which workers get one new run at a time in the coming pass, and logs the changes.
    pub(super) fn update_probation(&mut self, io: &mut Io<'_>) {
        let present = self.workers_on_probation(io.now_ms);
        let before = std::mem::replace(&mut self.on_probation, present);
        let was_on = |number: &WorkerNumber| before.binary_search(number).is_ok();
        let is_on = |number: &WorkerNumber| self.on_probation.binary_search(number).is_ok();
        let began = self.on_probation.iter().filter(|number| !was_on(number));
        let ended = before.iter().filter(|number| !is_on(number));
        for number in began.chain(ended) {
            let Some(view) = self.workers.get(number) else {
                continue;
            };
            let fields = vec![
                ("worker", view.record.id.clone()),
                ("on_probation", is_on(number).to_string()),
                ("failing_permille", view.health.failing_permille.to_string()),
                ("runs", view.runs.len().to_string()),
            ];
            io.log("worker_probation", fields);
        }
    }

    /// Returns the workers that get one new run at a time, sorted.
    fn workers_on_probation(&self, now_ms: Millis) -> Vec<WorkerNumber> {
        let failing = self.workers.values();
        let failing = failing.filter(|view| view.health.on_probation(now_ms));
        let mut by_service: SortedVec<&str, Vec<(u32, WorkerNumber)>> = SortedVec::new();
        for view in failing {
            let of_service = by_service.get_or_insert_with(&view.record.service, Vec::new);
            of_service.push((view.health.failing_permille, view.number));
        }
        let limited = by_service.into_iter().flat_map(|(service, failing)| {
            let of_service = self
                .workers
                .values()
                .filter(|view| view.record.service == service && view.accepts_work(now_ms));
            limit_probation(failing, of_service.count())
        });
        let mut on_probation: Vec<WorkerNumber> = limited.collect();
        on_probation.sort_unstable();
        on_probation
    }
}

/// Decides which workers of one service are on probation: of those that would be, the ones that fail
/// most, and at least one. `failing` holds the share of failed runs of each of these, and `workers` is
/// the number of all workers of the service.
fn limit_probation(mut failing: Vec<(u32, WorkerNumber)>, workers: usize) -> Vec<WorkerNumber> {
    failing.sort_unstable_by_key(|(permille, number)| (Reverse(*permille), *number));
    failing.truncate((workers / PROBATION_DIVISOR).max(1));
    failing.into_iter().map(|(_, number)| number).collect()
}

#[cfg(test)]
mod tests;
