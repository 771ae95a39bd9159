//! Inquiries, which query or cancel a request, at the placer of its home.

use acaciareel_scheduler::JobId;
use acaciareel_types::{FailureDomain, Millis, Reason, VmId};

use super::{Mode, Owner, Placer, PlacerContext, Stage, TaskState};
use crate::{
    LedgerCommand, LedgerState, RequestKey, RequestState,
    io::Io,
    node::Node,
    submissions::{SubmissionState, Submitter},
};

impl Node {
    /// Answers an inquiry as the placer of a domain. Other VMs do not reply: the sender repeats it.
    pub(crate) fn inquiry_received(
        &mut self,
        (vm, inquiry): (VmId, u64),
        domain: &FailureDomain,
        key: &RequestKey,
        cancel: bool,
        io: &mut Io<'_>,
    ) {
        let submitter = Submitter {
            vm,
            submission: inquiry,
        };
        // An entry VM abandons an idempotent request by an inquiry with the submission's number.
        if let SubmissionState::Pending(domain, job) = self.submissions.look_up(submitter) {
            self.with_placer(&domain, io, |placer, ctx| placer.abandon(ctx, job));
            return;
        }
        self.with_placer(domain, io, |placer, ctx| {
            if matches!(placer.mode, Mode::Ledger { .. }) {
                placer.inquired(ctx, (vm, inquiry), key, cancel);
            }
        });
    }
}

impl Placer {
    fn inquired(
        &mut self,
        ctx: &mut PlacerContext<'_, '_>,
        inquirer: (VmId, u64),
        key: &RequestKey,
        cancel: bool,
    ) {
        let record = ctx.ledger.and_then(|ledger| ledger.get(key));
        let job = self.by_key.get(key).copied();
        let state = match record.map(|record| &record.state) {
            Some(LedgerState::Finished { answer, .. }) => RequestState::Finished(answer.clone()),
            Some(LedgerState::Lost { .. }) => RequestState::Lost,
            Some(LedgerState::Running(_)) => RequestState::Running,
            Some(LedgerState::Waiting) => RequestState::Waiting,
            None if job.is_some() => RequestState::Waiting,
            None => RequestState::Unknown,
        };
        match job.filter(|_| cancel) {
            Some(job) => self.cancel_ledgered(ctx, inquirer, job),
            None => ctx.answer_inquiry(inquirer, state),
        }
    }

    fn cancel_ledgered(
        &mut self,
        ctx: &mut PlacerContext<'_, '_>,
        inquirer: (VmId, u64),
        id: JobId,
    ) {
        let now_ms = ctx.now_ms();
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Owner::Ledger { key, inquirers, .. } = &mut job.owner else {
            return;
        };
        if !inquirers.contains(&inquirer) {
            inquirers.push(inquirer);
        }
        let key = key.clone();
        if job.cancelled {
            return;
        }
        job.cancelled = true;
        match job.stage {
            Stage::Queued => {
                if self.dequeue(now_ms, id) {
                    self.refuse_queued(ctx, id, Reason::Cancelled, Millis(0));
                }
            }
            // The commit of any of these ends with an answer: `Return` leads to `Withdraw`, and
            // `Withdraw` and `Lose` end the job.
            Stage::Ending => {}
            Stage::Placed => {
                let sent = job.tasks.iter().any(|task| {
                    !matches!(
                        task.state,
                        TaskState::Committing | TaskState::Unsent | TaskState::NeverRan
                    )
                });
                if sent {
                    self.propose(ctx, LedgerCommand::Cancel { key });
                }
            }
        }
    }

    pub(super) fn stop_running(&mut self, ctx: &mut PlacerContext<'_, '_>, id: JobId) {
        let count = self.jobs.get(&id).map_or(0, |job| job.tasks.len());
        for index in 0..count {
            let state = self.jobs.get(&id).map(|job| job.tasks[index].state);
            if matches!(
                state,
                Some(TaskState::Running { .. } | TaskState::Offered | TaskState::Delegated)
            ) {
                self.stop_task(ctx, id, index);
            }
        }
    }

    /// Drops an idempotent request whose caller has disconnected: a queued one need not run, and a
    /// running one is stopped.
    fn abandon(&mut self, ctx: &mut PlacerContext<'_, '_>, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if !matches!(job.owner, Owner::Direct(_)) {
            return;
        }
        job.cancelled = true;
        job.may_stop = true;
        if job.stage == Stage::Queued && self.dequeue(ctx.now_ms(), id) {
            self.refuse_queued(ctx, id, Reason::Cancelled, Millis(0));
        } else {
            self.stop_running(ctx, id);
        }
    }
}
