//! Reaction of the leader that proposed a ledger command to its commit.

use std::collections::VecDeque;

use acaciareel_scheduler::JobId;
use acaciareel_types::{LogIndex, Millis, Reason, Verdict};

use super::{Job, Location, Owner, Placer, PlacerContext, Stage, TaskState};
use crate::{
    LedgerCommand, LedgerState, PeerMessage, RequestKey, RequestState, ledger_state::LedgerOutcome,
};

/// Time after which an uncommitted proposal is made again. The replica ignores proposals during a
/// transfer of leadership. The state machine rejects a second copy.
const REPROPOSE_MS: Millis = Millis(2_000);
const RETENTION_MS: Millis = Millis(24 * 3_600_000);
const RETENTION_SAMPLE_MS: Millis = Millis(600_000);

/// Log positions sampled over time, to find those that have reached the retention time.
#[derive(Debug, Default)]
pub(crate) struct Retention {
    samples: VecDeque<(Millis, LogIndex)>,
    latest: LogIndex,
}

impl Placer {
    /// Handles a committed command with its outcome.
    pub fn applied(
        &mut self,
        ctx: &mut PlacerContext<'_, '_>,
        index: LogIndex,
        command: &LedgerCommand,
        outcome: LedgerOutcome,
    ) {
        self.retention.latest = index;
        if let Some(position) = self.in_flight.iter().position(|(sent, _)| sent == command) {
            self.in_flight.remove(position);
        }
        let job = key_of(command).and_then(|key| self.by_key.get(key).copied());
        let Some(id) = job else {
            return;
        };
        if let LedgerCommand::Finish { task, .. } = command {
            self.finish_applied(ctx, id, task, outcome);
            return;
        }
        if outcome == LedgerOutcome::Rejected {
            return;
        }
        match command {
            LedgerCommand::Start { .. } => self.start_applied(ctx, id),
            LedgerCommand::Return { .. } => self.return_applied(ctx, id),
            LedgerCommand::Withdraw { .. } => self.withdraw_applied(ctx, id),
            LedgerCommand::Lose { .. } => self.lose_applied(ctx, id),
            LedgerCommand::Cancel { .. } => self.cancel_applied(ctx, id),
            LedgerCommand::Admit { .. }
            | LedgerCommand::Finish { .. }
            | LedgerCommand::Expire { .. } => {}
        }
    }

    fn start_applied(&mut self, ctx: &mut PlacerContext<'_, '_>, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        for task in &mut job.tasks {
            if task.state == TaskState::Committing {
                task.state = TaskState::Unsent;
            }
        }
        self.start_unsent(ctx, id);
    }

    fn finish_applied(
        &mut self,
        ctx: &mut PlacerContext<'_, '_>,
        id: JobId,
        task: &acaciareel_types::TaskId,
        outcome: LedgerOutcome,
    ) {
        let Some(index) = self.index_of(id, task) else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(&id) {
            let task = &mut job.tasks[index];
            task.state = TaskState::Answered;
            send_acks(ctx, task);
        }
        if outcome == LedgerOutcome::Ended {
            self.finished(ctx, id);
        } else {
            self.settle(ctx, id);
        }
    }

    fn finished(&mut self, ctx: &mut PlacerContext<'_, '_>, id: JobId) {
        let key = self.ledger_key(id);
        let record = key.and_then(|key| ctx.ledger?.get(&key));
        let Some(LedgerState::Finished { answer, .. }) = record.map(|record| &record.state) else {
            return;
        };
        let answer = answer.clone();
        let state = RequestState::Finished(answer.clone());
        self.end_ledgered(ctx, id, &Verdict::Ran(answer), &state);
    }

    /// Queues a request again after an attempt that ended without an answer.
    fn return_applied(&mut self, ctx: &mut PlacerContext<'_, '_>, id: JobId) {
        self.drop_tasks(ctx, id);
        let Some(mut job) = self.jobs.remove(&id) else {
            return;
        };
        job.stage = Stage::Queued;
        self.requeue(ctx, job);
    }

    /// Puts an accepted job into the queue, or refuses it if it is cancelled, overdue or refused by
    /// the scheduler.
    pub(super) fn requeue(&mut self, ctx: &mut PlacerContext<'_, '_>, job: Box<Job>) {
        let id = job.id;
        let refusal = if job.cancelled {
            Some((Reason::Cancelled, Millis(0)))
        } else if ctx.now_ms() >= job.deadline_ms {
            Some((Reason::TimeLimit, Millis(0)))
        } else {
            let queued = self.queue(ctx, &job, true);
            queued.err().map(|r| (r.reason, r.retry_after_ms))
        };
        self.jobs.insert(id, job);
        if let Some((reason, retry_after_ms)) = refusal {
            self.refuse_queued(ctx, id, reason, retry_after_ms);
        }
    }

    fn withdraw_applied(&mut self, ctx: &mut PlacerContext<'_, '_>, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let (reason, retry_after_ms) = job.refusal.unwrap_or((Reason::Cancelled, Millis(0)));
        let verdict = super::jobs::verdict_without_answer(job.may_have_run, reason, retry_after_ms);
        self.end_ledgered(ctx, id, &verdict, &RequestState::Cancelled);
    }

    fn lose_applied(&mut self, ctx: &mut PlacerContext<'_, '_>, id: JobId) {
        self.drop_tasks(ctx, id);
        let reason = Reason::WorkerLost;
        let verdict = Verdict::MayHaveRun { reason };
        self.end_ledgered(ctx, id, &verdict, &RequestState::Lost);
    }

    fn cancel_applied(&mut self, ctx: &mut PlacerContext<'_, '_>, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.may_stop = true;
        if let Owner::Ledger { inquirers, .. } = &mut job.owner {
            for inquirer in std::mem::take(inquirers) {
                ctx.answer_inquiry(inquirer, RequestState::Running);
            }
        }
        self.stop_running(ctx, id);
    }

    /// Removes the tasks of an ended attempt and acknowledges results that arrived too late.
    fn drop_tasks(&mut self, ctx: &mut PlacerContext<'_, '_>, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        for mut task in std::mem::take(&mut job.tasks) {
            self.by_task.remove(&task.id);
            send_acks(ctx, &mut task);
            if let Location::Domain { domain, .. } = &task.location
                && task.state == TaskState::NeverRan
            {
                job.record_refusal_by(domain);
            }
        }
    }

    pub(super) fn ledger_key(&self, id: JobId) -> Option<RequestKey> {
        match &self.jobs.get(&id)?.owner {
            Owner::Ledger { key, .. } => Some(key.clone()),
            Owner::Direct(_) | Owner::RemoteLedger { .. } => None,
        }
    }

    /// Proposes commands again that were not committed in time.
    pub(super) fn tick_proposals(&mut self, ctx: &mut PlacerContext<'_, '_>) {
        let now_ms = ctx.now_ms();
        while let Some((_, sent_ms)) = self.in_flight.front()
            && now_ms.saturating_sub(*sent_ms) > REPROPOSE_MS
            && let Some((command, _)) = self.in_flight.pop_front()
        {
            self.propose(ctx, command);
        }
    }

    /// Expires ended records after the retention time, which starts anew with each leader.
    pub(super) fn tick_retention(&mut self, ctx: &mut PlacerContext<'_, '_>) {
        let now_ms = ctx.now_ms();
        let samples = &mut self.retention.samples;
        let sampled_ms = samples.back().map(|(at_ms, _)| *at_ms);
        let due = sampled_ms.is_none_or(|at| now_ms.saturating_sub(at) >= RETENTION_SAMPLE_MS);
        if due {
            samples.push_back((now_ms, self.retention.latest));
        }
        let Some((at_ms, through)) = samples.front().copied() else {
            return;
        };
        if now_ms.saturating_sub(at_ms) >= RETENTION_MS {
            samples.pop_front();
            self.propose(ctx, LedgerCommand::Expire { through });
        }
    }
}

fn send_acks(ctx: &mut PlacerContext<'_, '_>, task: &mut super::Task) {
    for vm in std::mem::take(&mut task.acks) {
        let task = task.id.clone();
        ctx.io.send(vm, PeerMessage::ResultAck { task });
    }
}

fn key_of(command: &LedgerCommand) -> Option<&RequestKey> {
    match command {
        LedgerCommand::Admit { key, .. }
        | LedgerCommand::Start { key, .. }
        | LedgerCommand::Finish { key, .. }
        | LedgerCommand::Return { key, .. }
        | LedgerCommand::Withdraw { key }
        | LedgerCommand::Lose { key, .. }
        | LedgerCommand::Cancel { key } => Some(key),
        LedgerCommand::Expire { .. } => None,
    }
}
