//! Results of tasks: recording at the owner, release of capacity at the placer.

use acaciareel_scheduler::{JobId, TaskOutcome};
use acaciareel_types::{Answer, Resources, TaskId, Verdict, VmId, WorkerId};

use super::{Mode, Owner, Placer, PlacerContext, Stage, TaskState, task_key};
use crate::{LedgerCommand, Observation, PeerMessage, io::Io, node::Node, owner::TaskOwner};

impl Node {
    /// Handles a result as the owner of its task, or as the placer whose capacity it releases.
    pub(crate) fn result_received(
        &mut self,
        from: VmId,
        task: &TaskId,
        _worker: &WorkerId,
        answer: &Answer,
        used: Resources,
        io: &mut Io<'_>,
    ) {
        let ledger = match TaskOwner::of(task) {
            Some(TaskOwner::Ledger(domain)) => Some(domain),
            _ => None,
        };
        for domain in self.placer_domains() {
            self.with_placer(&domain, io, |placer, ctx| {
                placer.task_result(ctx, from, task, answer, used);
            });
        }
        let owned = if let Some(domain) = &ledger {
            // The ledger has no such running task: its attempt has ended.
            self.placers.get(domain).is_some_and(|placer| {
                matches!(placer.mode, Mode::Ledger { .. }) && !placer.owns(task)
            })
        } else {
            self.orphan_ended(task, answer, io);
            true
        };
        if owned {
            io.send(from, PeerMessage::ResultAck { task: task.clone() });
        }
    }

    /// Answers an idempotent request whose task outlived this VM's placer role.
    fn orphan_ended(&mut self, task: &TaskId, answer: &Answer, io: &mut Io<'_>) {
        let Some(submitter) = self.orphans.remove(task) else {
            return;
        };
        let verdict = Verdict::Ran(answer.clone());
        self.submissions.done(submitter, Some(&verdict));
        let submission = submitter.submission;
        let message = PeerMessage::SubmitReply {
            submission,
            verdict,
        };
        io.send(submitter.vm, message);
    }
}

impl Placer {
    /// Returns whether a task belongs to an unfinished job of this placer's own ledger.
    fn owns(&self, task: &TaskId) -> bool {
        let job = self.by_task.get(task).and_then(|id| self.jobs.get(id));
        job.is_some_and(|job| matches!(job.owner, Owner::Ledger { .. }))
    }

    fn task_result(
        &mut self,
        ctx: &mut PlacerContext<'_, '_>,
        from: VmId,
        task: &TaskId,
        answer: &Answer,
        used: Resources,
    ) {
        let Some(id) = self.by_task.get(task).copied() else {
            return;
        };
        let Some(index) = self.index_of(id, task) else {
            return;
        };
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let now_ms = ctx.io.now_ms;
        if matches!(
            job.tasks[index].state,
            TaskState::Calling | TaskState::Uncertain
        ) {
            self.observe_start(ctx, id);
        }
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let task = &job.tasks[index];
        if !task.state.settled() && task.state != TaskState::Finishing {
            ctx.io.observe(Observation::Ended {
                tenant: job.request.tenant.clone(),
                class: job.class,
                ran_ms: now_ms.saturating_sub(task.placed_ms),
            });
        }
        let outcome = match (answer.ok, task.stop_requested) {
            (true, _) => TaskOutcome::Succeeded,
            (false, true) => TaskOutcome::Stopped,
            (false, false) => TaskOutcome::Failed,
        };
        self.release_capacity(ctx, task_key(id, index), outcome, Some(used));
        self.record_result(ctx, id, index, from, answer);
    }

    fn record_result(
        &mut self,
        ctx: &mut PlacerContext<'_, '_>,
        id: JobId,
        index: usize,
        from: VmId,
        answer: &Answer,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let task = &mut job.tasks[index];
        let Owner::Ledger { key, .. } = &job.owner else {
            task.state = TaskState::Answered;
            task.answer = Some(answer.clone());
            self.settle(ctx, id);
            return;
        };
        if task.state == TaskState::Answered {
            let task = task.id.clone();
            ctx.io.send(from, PeerMessage::ResultAck { task });
            return;
        }
        task.acks.push(from);
        if task.state == TaskState::Finishing || job.stage != Stage::Placed {
            return;
        }
        // The failure of a task that was stopped to free capacity is not an answer. For a cancelled
        // job it is.
        if task.stop_requested && !answer.ok && !job.cancelled {
            task.state = TaskState::Lost;
            self.settle(ctx, id);
            return;
        }
        task.state = TaskState::Finishing;
        let finish = LedgerCommand::Finish {
            key: key.clone(),
            attempt: job.attempt,
            task: task.id.clone(),
            answer: answer.clone(),
        };
        self.propose(ctx, finish);
    }
}
