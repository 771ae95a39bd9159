//! Use of the workers' speeds: which runs show them, and which workers a step prefers.

use acaciareel_types::Millis;

use super::Leader;
use crate::{
    CellState, Effect, FinishedRun, Job, JobSpec, QueueRow, RunKey, SpeedClass, SpeedPreference,
    StepKey, WorkerNumber, io::Io,
};

/// A step prefers fast workers while the time to its objective is less than this many thousandths
/// of the expected time of the rest of its job. Urgent jobs start at about 1,900; gangs, at 2,500,
/// prefer fast workers once they have waited; otherwise they take them from each other and from
/// urgent work.
const FAST_BELOW_PERMILLE: u64 = 2_300;
/// A step prefers slow workers from this value on.
const SLOW_FROM_PERMILLE: u64 = 3_500;
/// Below this value no worker is fast enough, and the step gets no preference.
const HOPELESS_BELOW_PERMILLE: u64 = 400;

/// Returns the preference of a step from the time to its objective and the expected time of the rest
/// of its job.
pub(super) fn preference_of(left_ms: u64, remaining_ms: u64) -> SpeedPreference {
    let ratio_permille = left_ms.saturating_mul(1_000) / remaining_ms.max(1);
    if ratio_permille < HOPELESS_BELOW_PERMILLE {
        SpeedPreference::None
    } else if ratio_permille < FAST_BELOW_PERMILLE {
        SpeedPreference::Fast
    } else if ratio_permille < SLOW_FROM_PERMILLE {
        SpeedPreference::None
    } else {
        SpeedPreference::Slow
    }
}

impl Leader {
    /// Adds a run that has completed successfully to the speeds. Runs that show nothing about their
    /// worker are left out: the members of a gang end together, long-running tasks have no run time,
    /// and a later run may have resumed from a checkpoint.
    pub(super) fn add_to_speeds(
        &mut self,
        state: &CellState,
        run: RunKey,
        worker: WorkerNumber,
        took_ms: u64,
        now_ms: Millis,
    ) {
        let step = run.task.step;
        let spec = state.job(step.job).and_then(|job| job.step_spec(step));
        let Some(spec) = spec else {
            return;
        };
        if spec.gang || spec.long_running || (spec.checkpointing && run.run > 1) {
            return;
        }
        let finished = FinishedRun {
            step,
            tasks: spec.tasks,
            worker,
            took_ms,
        };
        self.speeds.add(finished, now_ms);
    }

    /// Returns the speeds that a waiting step of a job prefers. It uses the step's forecast, because
    /// a pass examines hundreds of steps.
    pub(super) fn speed_preference(&self, job: &Job, key: StepKey, io: &Io<'_>) -> SpeedPreference {
        let long_running = job.step_spec(key).is_none_or(|spec| spec.long_running);
        if long_running || self.speeds.different().next().is_none() {
            return SpeedPreference::None;
        }
        let forecast = self.forecast(job, key, io.now_ms);
        let objective_ms = job.queue.objective_ms(forecast.job_ms);
        let age_ms = io.unix_ms.saturating_sub(job.due_unix_ms(key.occurrence));
        preference_of(objective_ms.saturating_sub(age_ms), forecast.left_ms)
    }

    /// Returns the speeds that a step prefers when its job has waited and run for `age_ms`.
    pub(super) fn preference_at_age(
        &self,
        queue: &QueueRow,
        spec: &JobSpec,
        step: u32,
        age_ms: u64,
    ) -> SpeedPreference {
        // Among equal workers the preference changes nothing.
        if self.speeds.different().next().is_none() {
            return SpeedPreference::None;
        }
        let steps = spec.steps.get(step as usize..).unwrap_or_default();
        if steps.first().is_none_or(|step| step.long_running) {
            return SpeedPreference::None;
        }
        let expected_ms = |steps: &[crate::StepSpec]| {
            let medians = steps
                .iter()
                .map(|step| self.run_times.expect(queue, step).median_ms);
            medians.fold(0, u64::saturating_add)
        };
        let objective_ms = queue.objective_ms(expected_ms(&spec.steps));
        preference_of(objective_ms.saturating_sub(age_ms), expected_ms(steps))
    }

    /// Computes the classes of the workers anew and logs those that have changed.
    pub(super) fn refresh_speeds(&mut self, io: &mut Io<'_>) {
        for (worker, class) in self.speeds.refresh(io.now_ms) {
            let Some(view) = self.workers.get(&worker) else {
                continue;
            };
            let fields = vec![
                ("worker", view.record.id.clone()),
                ("class", format!("{class:?}")),
                ("speed_permille", self.speeds.permille(worker).to_string()),
                ("closed", self.speeds.is_closed(worker).to_string()),
            ];
            io.log("worker_speed", fields);
        }
    }

    /// Sets the gauges of the workers' speeds.
    pub(super) fn measure_speeds(&self, io: &mut Io<'_>) {
        let count = |wanted: fn(SpeedClass) -> bool| {
            let different = self.speeds.different();
            different.filter(|(_, class, _)| wanted(*class)).count() as u64
        };
        io.effect(Effect::Gauge {
            name: "workers_slow",
            value: count(|class| class < SpeedClass::Usual),
        });
        io.effect(Effect::Gauge {
            name: "workers_fast",
            value: count(|class| class > SpeedClass::Usual),
        });
    }
}

#[cfg(test)]
mod tests;
