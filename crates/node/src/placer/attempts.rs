//! End of attempts: the next step once each task of an attempt has ended.

use acaciareel_scheduler::JobId;
use acaciareel_types::{Effect as RunEffect, Millis, Reason, Verdict};

use super::{Owner, Placer, PlacerContext, Stage, TaskState};
use crate::{LedgerCommand, ledger_state::joined_answer};

/// Retry-after time of a cancelled idempotent request.
const RETRY_AFTER_MS: Millis = Millis(500);

impl Placer {
    /// Ends or repeats an attempt whose tasks have all ended. If one has ended without an answer,
    /// the others are stopped, since a gang runs as a whole.
    pub(super) fn settle(&mut self, ctx: &mut PlacerContext<'_, '_>, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.stage != Stage::Placed || job.tasks.is_empty() {
            return;
        }
        let failed = job
            .tasks
            .iter()
            .any(|task| matches!(task.state, TaskState::NeverRan | TaskState::Lost));
        if !job.tasks.iter().all(|task| task.state.settled()) {
            if failed {
                self.stop_remaining(ctx, id);
            }
            return;
        }
        match &job.owner {
            Owner::Direct(_) if failed => self.retry_direct(ctx, id),
            Owner::Direct(_) => self.finish_direct(ctx, id),
            Owner::Ledger { .. } if failed => self.end_attempt(ctx, id),
            // The state machine has recorded the answer; the commit of `Finish` ends the job.
            Owner::Ledger { .. } => {}
            Owner::RemoteLedger { .. } => self.end_delegated(ctx, id),
        }
    }

    fn stop_remaining(&mut self, ctx: &mut PlacerContext<'_, '_>, id: JobId) {
        let states: Vec<TaskState> = self
            .jobs
            .get(&id)
            .map(|job| job.tasks.iter().map(|task| task.state).collect())
            .unwrap_or_default();
        // A stopped task leaves no trace on its worker, so a new placer could conclude that it
        // never ran.
        let once = self
            .jobs
            .get(&id)
            .is_some_and(|job| job.effect == RunEffect::Once);
        for (index, state) in states.into_iter().enumerate() {
            match state {
                TaskState::Unsent => self.never_ran(ctx, id, index),
                _ if once => {}
                TaskState::Running { .. } | TaskState::Offered | TaskState::Delegated => {
                    self.stop_task(ctx, id, index);
                }
                _ => {}
            }
        }
        let all_settled = self
            .jobs
            .get(&id)
            .is_some_and(|job| job.tasks.iter().all(|task| task.state.settled()));
        if all_settled {
            self.settle(ctx, id);
        }
    }

    /// Proposes the end of an attempt without a complete answer.
    fn end_attempt(&mut self, ctx: &mut PlacerContext<'_, '_>, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Owner::Ledger { key, .. } = &job.owner else {
            return;
        };
        let (key, attempt) = (key.clone(), job.attempt);
        let may_have_run = job
            .tasks
            .iter()
            .any(|task| task.state != TaskState::NeverRan);
        job.stage = Stage::Ending;
        job.may_have_run |= may_have_run;
        let command = if may_have_run && job.effect == RunEffect::Once {
            LedgerCommand::Lose { key, attempt }
        } else {
            LedgerCommand::Return { key, attempt }
        };
        self.propose(ctx, command);
    }

    fn finish_direct(&mut self, ctx: &mut PlacerContext<'_, '_>, id: JobId) {
        let Some(job) = self.remove_job(id) else {
            return;
        };
        let answer = joined_answer(job.tasks.iter().map(|task| task.answer.as_ref()));
        if let (Owner::Direct(submitter), Some(answer)) = (job.owner, answer) {
            ctx.answer(submitter, Verdict::Ran(answer));
        }
    }

    /// Queues an idempotent request again, if the scheduler's retry budget allows it.
    fn retry_direct(&mut self, ctx: &mut PlacerContext<'_, '_>, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.may_have_run |= job
            .tasks
            .iter()
            .any(|task| task.state != TaskState::NeverRan);
        let tasks = std::mem::take(&mut job.tasks);
        job.stage = Stage::Queued;
        for task in &tasks {
            self.by_task.remove(&task.id);
        }
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        let refusal = if job.cancelled {
            Some((Reason::Cancelled, RETRY_AFTER_MS))
        } else {
            let queued = self.queue(ctx, &job, false);
            queued.err().map(|r| (r.reason, r.retry_after_ms))
        };
        self.jobs.insert(id, job);
        if let Some((reason, retry_after_ms)) = refusal {
            self.refuse_queued(ctx, id, reason, retry_after_ms);
        }
    }
}
