//! Tasks that this placer runs for the ledgers of other domains.

use std::collections::VecDeque;

use acaciareel_scheduler::JobId;
use acaciareel_types::{FailureDomain, Millis, Request, SortedVec, TaskId, Term, VmId};

use super::{
    Mode, Owner, Placer, PlacerContext, Stage, TaskState, jobs::new_job, lease::TASKS_ENDED_MS,
    recovery,
};
use crate::{PeerMessage, io::Io, node::Node};

const MAX_TOMBSTONES: usize = 8_192;
const RETRY_AFTER_MS: Millis = Millis(500);

/// Outcome of an ended delegated task, sent again in reply to late messages.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum DelegatedOutcome {
    Refused,
    Lost,
    Answered,
}

/// Outcomes of ended delegated tasks. Beyond `MAX_TOMBSTONES`, the oldest one is dropped.
#[derive(Debug, Default)]
pub(crate) struct Tombstones {
    outcomes: SortedVec<TaskId, DelegatedOutcome>,
    order: VecDeque<TaskId>,
}

impl Tombstones {
    fn record(&mut self, task: TaskId, outcome: DelegatedOutcome) {
        if self.outcomes.insert(task.clone(), outcome).is_none() {
            self.order.push_back(task);
        }
        if self.order.len() > MAX_TOMBSTONES
            && let Some(oldest) = self.order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
    }
}

impl Node {
    /// Handles `Place` of a task of another domain's ledger.
    pub(crate) fn place_received(
        &mut self,
        home: VmId,
        task: TaskId,
        term: Term,
        request: Request,
        io: &mut Io<'_>,
    ) {
        let domain = self.domain_led_in(term);
        let Some(domain) = domain else {
            // `PlaceRefused` would mean that the task never ran, but a copy of it may have been
            // accepted in that term.
            return;
        };
        self.with_placer(&domain, io, |placer, ctx| {
            placer.place_delegated(ctx, home, task, request);
        });
    }

    fn domain_led_in(&self, term: Term) -> Option<FailureDomain> {
        self.placers
            .iter()
            .find(|(_, placer)| placer.mode == Mode::Ledger { term })
            .map(|(domain, _)| domain.clone())
    }

    pub(crate) fn place_checked(&mut self, home: VmId, task: &TaskId, io: &mut Io<'_>) {
        for domain in self.placer_domains() {
            self.with_placer(&domain, io, |placer, ctx| {
                placer.check_delegated(ctx, home, task);
            });
        }
    }

    pub(crate) fn place_stopped(&mut self, task: &TaskId, io: &mut Io<'_>) {
        for domain in self.placer_domains() {
            self.with_placer(&domain, io, |placer, ctx| placer.stop_delegated(ctx, task));
        }
    }
}

impl Placer {
    fn place_delegated(
        &mut self,
        ctx: &mut PlacerContext<'_, '_>,
        home: VmId,
        task: TaskId,
        request: Request,
    ) {
        if self.by_task.contains_key(&task) {
            ctx.io.send(home, PeerMessage::PlaceKnown { task });
            return;
        }
        if self.answer_from_tombstone(ctx, home, &task) {
            return;
        }
        let route = ctx.tables.tables().routes().get(&request.kind).cloned();
        let Some(route) = route else {
            self.refuse_place(ctx, home, task, RETRY_AFTER_MS);
            return;
        };
        let owner = Owner::RemoteLedger {
            home,
            task: task.clone(),
        };
        let mut job = Box::new(new_job(ctx, owner, request, &route));
        if job.effect == acaciareel_types::Effect::Idempotent {
            // The home's ledger limits how often a task may run, whatever this VM's tables say.
            job.effect = acaciareel_types::Effect::Exclusive;
        }
        match self.queue(ctx, &job, false) {
            Ok(()) => {
                self.by_task.insert(task.clone(), job.id);
                self.jobs.insert(job.id, job);
                ctx.io.send(home, PeerMessage::PlaceKnown { task });
            }
            Err(refusal) => self.refuse_place(ctx, home, task, refusal.retry_after_ms),
        }
    }

    fn refuse_place(
        &mut self,
        ctx: &mut PlacerContext<'_, '_>,
        home: VmId,
        task: TaskId,
        retry_after_ms: Millis,
    ) {
        self.ended_delegated
            .record(task.clone(), DelegatedOutcome::Refused);
        let message = PeerMessage::PlaceRefused {
            task,
            retry_after_ms,
        };
        ctx.io.send(home, message);
    }

    /// Replies with the recorded outcome of an ended task; returns whether there is one. An
    /// answered task needs no reply, since the home gets its result from the entry VM.
    fn answer_from_tombstone(
        &self,
        ctx: &mut PlacerContext<'_, '_>,
        home: VmId,
        task: &TaskId,
    ) -> bool {
        let Some(outcome) = self.ended_delegated.outcomes.get(task) else {
            return false;
        };
        let task = task.clone();
        match outcome {
            DelegatedOutcome::Refused => {
                let retry_after_ms = RETRY_AFTER_MS;
                let message = PeerMessage::PlaceRefused {
                    task,
                    retry_after_ms,
                };
                ctx.io.send(home, message);
            }
            DelegatedOutcome::Lost => ctx.io.send(home, PeerMessage::PlaceLost { task }),
            DelegatedOutcome::Answered => {}
        }
        true
    }

    /// Replies to the home's check of a task.
    fn check_delegated(&mut self, ctx: &mut PlacerContext<'_, '_>, home: VmId, task: &TaskId) {
        let owner = self.by_task.get(task).and_then(|id| self.jobs.get(id));
        if owner.is_some_and(|job| matches!(job.owner, Owner::Ledger { .. })) {
            return;
        }
        if owner.is_some() || recovery::is_listed(self, task) {
            let task = task.clone();
            ctx.io.send(home, PeerMessage::PlaceKnown { task });
            return;
        }
        if self.answer_from_tombstone(ctx, home, task) {
            return;
        }
        if self.unlisted_cannot_run(ctx) {
            // From now on a late copy of `Place` is not accepted either.
            self.ended_delegated
                .record(task.clone(), DelegatedOutcome::Lost);
            let task = task.clone();
            ctx.io.send(home, PeerMessage::PlaceLost { task });
        }
    }

    /// Returns whether a task that no worker lists cannot be running: each worker has either
    /// confirmed this placer's claim or received no placer's call until its task lease ran out.
    fn unlisted_cannot_run(&self, ctx: &PlacerContext<'_, '_>) -> bool {
        let now_ms = ctx.io.now_ms;
        let ended = |since_ms: Millis| now_ms.saturating_sub(since_ms) >= TASKS_ENDED_MS;
        matches!(self.mode, Mode::Ledger { .. })
            && ended(self.ready_ms)
            && self
                .workers
                .values()
                .all(|registered| registered.confirmed || ended(registered.called_ms))
    }

    fn stop_delegated(&mut self, ctx: &mut PlacerContext<'_, '_>, task: &TaskId) {
        let Some(id) = self.by_task.get(task).copied() else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if !matches!(job.owner, Owner::RemoteLedger { .. }) {
            return;
        }
        job.cancelled = true;
        job.may_stop = true;
        if job.stage == Stage::Queued {
            if self.dequeue(ctx.now_ms(), id) {
                self.refuse_delegated(ctx, id, RETRY_AFTER_MS);
            }
        } else if matches!(job.tasks[0].state, TaskState::Running { .. }) {
            self.stop_task(ctx, id, 0);
        }
    }

    /// Ends the job of a task that was not started, and refuses the task.
    pub(super) fn refuse_delegated(
        &mut self,
        ctx: &mut PlacerContext<'_, '_>,
        id: JobId,
        retry_after_ms: Millis,
    ) {
        let Some(job) = self.remove_job(id) else {
            return;
        };
        if let Owner::RemoteLedger { home, task } = job.owner {
            self.by_task.remove(&task);
            self.refuse_place(ctx, home, task, retry_after_ms);
        }
    }

    /// Ends the job of a delegated task and reports to the home if the task gave no answer.
    pub(super) fn end_delegated(&mut self, ctx: &mut PlacerContext<'_, '_>, id: JobId) {
        let Some(job) = self.remove_job(id) else {
            return;
        };
        let Owner::RemoteLedger { home, task } = job.owner else {
            return;
        };
        self.by_task.remove(&task);
        match job.tasks.first().map(|task| task.state) {
            Some(TaskState::NeverRan) => self.refuse_place(ctx, home, task, RETRY_AFTER_MS),
            Some(TaskState::Lost) => {
                self.ended_delegated
                    .record(task.clone(), DelegatedOutcome::Lost);
                ctx.io.send(home, PeerMessage::PlaceLost { task });
            }
            _ => self
                .ended_delegated
                .record(task, DelegatedOutcome::Answered),
        }
    }
}
