//! Expected times of waiting steps, and the records of runs that have ended.

use acaciareel_types::Millis;

use super::{Leader, WaitingStep, worker::RunView};
pub(super) use crate::run_times::RunTimes;
use crate::{
    CellState, Command, Effect, Job, RunKey, RunOutcome, StepKey, StepSpec, WorkerNumber, io::Io,
    run_times::RunEnd,
};

/// Age from which the forecast of a waiting step is made anew. A pass examines hundreds of steps
/// every few milliseconds, and the distributions change slowly.
const FORECAST_VALID_MS: u64 = 1_000;
/// Most forecasts that a pass makes anew because of their age. Those of 1,000 steps take longer than
/// all the rest of a pass.
const MAX_RENEWED_FORECASTS: usize = 100;
/// Time between two saves of the run times in the replicated state. A new leader lacks at most what
/// was learned in this time.
const SAVE_INTERVAL_MS: u64 = 10_000;
/// Largest size of saved run times, about 400 classes; 3.3 KB/s to each control VM.
const MAX_SAVED_BYTES: usize = 32 * 1_024;
/// Speed of a usual worker.
const USUAL_SPEED_PERMILLE: u64 = 1_000;

/// Expected times of a waiting step and its job. Objective and finish come from one forecast, so
/// that an error in it does not make a new job late.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct StepForecast {
    made_ms: Millis,
    /// Number of waiting tasks when it was made; another number makes it outdated.
    waiting: u32,
    /// Duration of the longest chain of steps of the job.
    pub job_ms: u64,
    /// Duration of the longest chain that begins with the step.
    pub left_ms: u64,
    /// Mean run time of a task of the step.
    pub task_ms: u64,
    /// Median run time of a task of the step.
    pub median_ms: u64,
}

impl StepForecast {
    fn is_recent(&self, now_ms: Millis) -> bool {
        now_ms.saturating_sub(self.made_ms).0 < FORECAST_VALID_MS
    }
}

impl Leader {
    /// Returns the forecast of a step, from the latest one if its tasks have not changed.
    pub(super) fn forecast(&self, job: &Job, key: StepKey, now_ms: Millis) -> StepForecast {
        let step = self.steps.get(&key);
        let waiting = step.map_or(0, |step| step.waiting.len());
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        step.and_then(usable_forecast)
            .unwrap_or_else(|| self.make_forecast(job, key, waiting, now_ms))
    }

    fn make_forecast(&self, job: &Job, key: StepKey, waiting: u32, now_ms: Millis) -> StepForecast {
        let tenant = job.tenant.as_deref();
        let path = self.run_times.usual_path(&job.queue, &job.spec);
        let mut forecast = StepForecast {
            made_ms: now_ms,
            waiting,
            job_ms: path.total_ms,
            left_ms: 0,
            task_ms: 0,
            median_ms: 0,
        };
        if let Some(spec) = job.step_spec(key) {
            let kind = (&job.queue, spec, tenant);
            let chain_ms = path.from_step_ms.get(key.step as usize);
            forecast.left_ms = chain_ms.copied().unwrap_or(0);
            forecast.task_ms = self.run_times.step_times(kind).mean_ms;
            forecast.median_ms = self.run_times.expect_of(&job.queue, spec, tenant).median_ms;
        }
        forecast
    }

    /// Makes forecasts of the steps that have none or whose tasks have changed, and makes some of
    /// those anew that are out of date.
    pub(super) fn update_forecasts(&mut self, state: &CellState, now_ms: Millis) {
        let mut renewals_left = MAX_RENEWED_FORECASTS;
        let due = |(_, step): &(&StepKey, &WaitingStep)| match usable_forecast(step) {
            None => true,
            Some(forecast) if forecast.is_recent(now_ms) => false,
            Some(_) if renewals_left == 0 => false,
            Some(_) => {
                renewals_left -= 1;
                true
            }
        };
        let due: Vec<StepKey> = self.steps.iter().filter(due).map(|(key, _)| *key).collect();
        for key in due {
            let waiting = self.steps.get(&key).map_or(0, |step| step.waiting.len());
            let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
            if let Some(job) = state.job(key.job) {
                let forecast = self.make_forecast(job, key, waiting, now_ms);
                if let Some(step) = self.steps.get_mut(&key) {
                    step.forecast = Some(forecast);
                }
            }
        }
    }

    /// Records a run that its worker reports as ended, and how well its time was predicted. Failed
    /// runs say nothing about the run time.
    pub(super) fn record_completion(
        &mut self,
        state: &CellState,
        worker: WorkerNumber,
        (key, run): (RunKey, &RunView),
        outcome: RunOutcome,
        io: &mut Io<'_>,
    ) {
        let took_ms = io.now_ms.saturating_sub(run.started_ms).0;
        let end = match outcome {
            RunOutcome::Failed => return,
            RunOutcome::Done => RunEnd::Finished,
            RunOutcome::Interrupted => RunEnd::Censored,
        };
        let Some((job, spec)) = comparable(state, key) else {
            return;
        };
        if !run.began_afresh {
            return;
        }
        let tenant = job.tenant.as_deref();
        let speed_permille = self.speed_of_run(spec, worker);
        if end == RunEnd::Finished {
            self.add_to_speeds(state, key, worker, took_ms, io.now_ms);
            let expected = self.run_times.expect_of(&job.queue, spec, tenant);
            let usual_ms = took_ms.saturating_mul(speed_permille) / 1_000;
            io.effect(Effect::Measure {
                name: "run_time_prediction_permille",
                label: job.queue.name.clone(),
                value_ms: expected.median_ms.saturating_mul(1_000) / usual_ms.max(1),
            });
        }
        let kind = (&job.queue, spec, tenant);
        self.run_times.record(kind, took_ms, speed_permille, end);
    }

    /// Records the confirmed runs that were lost since the last call as longer than the time for
    /// which their workers were known to run them.
    pub(super) fn record_lost_runs(&mut self, state: &CellState) {
        for (key, worker, ran_ms) in std::mem::take(&mut self.lost_runs) {
            if let Some((job, spec)) = comparable(state, key) {
                let kind = (&job.queue, spec, job.tenant.as_deref());
                let speed_permille = self.speed_of_run(spec, worker);
                self.run_times
                    .record(kind, ran_ms, speed_permille, RunEnd::Censored);
            }
        }
    }

    /// Returns the speed by which the time of a run is corrected. A gang ends with its slowest member,
    /// so the speed of one of its workers says little.
    fn speed_of_run(&self, spec: &StepSpec, worker: WorkerNumber) -> u64 {
        if spec.gang {
            USUAL_SPEED_PERMILLE
        } else {
            self.speeds.permille(worker)
        }
    }

    /// Proposes to save the run times if the last save is long enough ago.
    pub(super) fn save_run_times(&mut self, io: &mut Io<'_>) {
        let next_ms = self
            .run_times_saved_ms
            .saturating_add(Millis(SAVE_INTERVAL_MS));
        if !io.holds_lease || io.now_ms < next_ms {
            return;
        }
        self.run_times_saved_ms = io.now_ms;
        if let Some(bytes) = self.run_times.save(MAX_SAVED_BYTES) {
            io.commands.push(Command::SaveRunTimes(bytes));
        }
    }
}

/// Returns the forecast of a step unless its waiting tasks have changed since.
fn usable_forecast(step: &WaitingStep) -> Option<StepForecast> {
    step.forecast
        .filter(|forecast| forecast.waiting as usize == step.waiting.len())
}

/// Returns the job and declaration of a run whose time counts: that of a task that ends by itself.
/// The tasks of a gang end together, so the first one counts for all.
fn comparable(state: &CellState, key: RunKey) -> Option<(&Job, &StepSpec)> {
    let job = state.job(key.task.step.job)?;
    let spec = job.step_spec(key.task.step)?;
    let counts = !spec.long_running && (!spec.gang || key.task.index == 0);
    counts.then_some((job, spec))
}
