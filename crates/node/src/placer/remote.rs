//! Delegation of a ledgered task to another domain's placer, on the home's side.

use acaciareel_scheduler::{JobId, TaskOutcome};
use acaciareel_types::{FailureDomain, KindName, Millis, Reason, SortedVec, TaskId, Term, VmId};

use super::{Job, Location, Owner, Placer, PlacerContext, Stage, TaskState, task_key};
use crate::{PeerMessage, io::Io, node::Node};

const RESEND_MS: Millis = Millis(1_000);
/// Interval between checks of a task that the other placer has acknowledged.
const CHECK_MS: Millis = Millis(5_000);
/// Time until a domain's heartbeat includes the capacity that a task sent there takes.
const HEARTBEAT_DELAY_MS: Millis = Millis(500);
/// Time in the queue after which a task delegated by another domain is refused.
const DELEGATED_QUEUE_LIMIT_MS: Millis = Millis(2_000);
/// Time in the home's queue after which free capacity of another domain is used.
const WAIT_BEFORE_DELEGATION_MS: Millis = Millis(500);

impl Node {
    /// Handles the messages about delegated tasks.
    pub(crate) fn place_message(&mut self, vm: VmId, message: PeerMessage, io: &mut Io<'_>) {
        match message {
            PeerMessage::Place {
                task,
                term,
                request,
            } => self.place_received(vm, task, term, request, io),
            PeerMessage::PlaceCheck { task } => self.place_checked(vm, &task, io),
            PeerMessage::PlaceStop { task } => self.place_stopped(&task, io),
            PeerMessage::PlaceKnown { task } => {
                self.place_replied(&task, TaskState::Delegated, io);
            }
            PeerMessage::PlaceRefused { task, .. } => {
                self.place_replied(&task, TaskState::NeverRan, io);
            }
            PeerMessage::PlaceLost { task } => self.place_replied(&task, TaskState::Lost, io),
            _ => {}
        }
    }

    fn place_replied(&mut self, task: &TaskId, state: TaskState, io: &mut Io<'_>) {
        for domain in self.placer_domains() {
            self.with_placer(&domain, io, |placer, ctx| {
                placer.remote_state_received(ctx, task, state);
            });
        }
    }
}

impl Job {
    /// Records that a domain refused the job, so that it is not chosen again.
    pub(super) fn record_refusal_by(&mut self, domain: &FailureDomain) {
        if !self.refused_by.contains(domain) {
            self.refused_by.push(domain.clone());
        }
    }
}

impl Placer {
    /// Chooses the domain with the most free slots, other than the home, for a job of one task.
    /// `None` if no domain has enough.
    pub(super) fn remote_target(
        &self,
        ctx: &PlacerContext<'_, '_>,
        job: &Job,
    ) -> Option<(FailureDomain, Term)> {
        let route = ctx.tables.tables().routes().get(&job.request.kind)?;
        if route.tasks != 1 {
            return None;
        }
        let slots = self.scheduler.slots_per_task(&job.request.kind);
        ctx.peers
            .placings(ctx.io.now_ms)
            .filter(|(_, placing)| placing.term > Term(0) && placing.domain != self.domain)
            .filter(|(_, placing)| !job.refused_by.contains(&placing.domain))
            .filter_map(|(_, placing)| {
                let capacity = placing.rooms.iter().find(|pool| pool.pool == route.pool)?;
                let sent = self.recently_sent_slots(ctx.io.now_ms, &placing.domain);
                let free_slots = capacity.free_slots.saturating_sub(sent);
                (free_slots >= slots).then_some((free_slots, placing))
            })
            .max_by_key(|(free_slots, _)| *free_slots)
            .map(|(_, placing)| (placing.domain.clone(), placing.term))
    }

    /// Returns the slots of tasks sent to a domain that its last heartbeat may not include yet.
    fn recently_sent_slots(&self, now_ms: Millis, domain: &FailureDomain) -> u32 {
        match self.recently_sent.get(domain) {
            Some((since_ms, sent)) if now_ms.saturating_sub(*since_ms) < HEARTBEAT_DELAY_MS => {
                *sent
            }
            _ => 0,
        }
    }

    fn record_sent_slots(&mut self, now_ms: Millis, domain: &FailureDomain, slots: u32) {
        let sent = self.recently_sent_slots(now_ms, domain);
        let since_ms = self
            .recently_sent
            .get(domain)
            .map_or(now_ms, |(since, _)| *since);
        let since_ms = if sent == 0 { now_ms } else { since_ms };
        let sent = sent.saturating_add(slots);
        self.recently_sent.insert(domain.clone(), (since_ms, sent));
    }

    /// Starts an attempt in another domain; returns whether one has free capacity.
    pub(super) fn delegate(&mut self, ctx: &mut PlacerContext<'_, '_>, id: JobId) -> bool {
        let target = self
            .jobs
            .get(&id)
            .and_then(|job| self.remote_target(ctx, job));
        let Some((domain, term)) = target else {
            return false;
        };
        let kind = self.jobs.get(&id).map(|job| &job.request.kind);
        let slots = kind.map_or(1, |kind| self.scheduler.slots_per_task(kind));
        self.record_sent_slots(ctx.now_ms(), &domain, slots);
        let location = Location::Domain {
            domain,
            term: Some(term),
            next_send_ms: ctx.now_ms(),
        };
        self.place_remotely(ctx, id, location);
        true
    }

    /// Refuses delegated tasks that have not found free capacity here in time.
    fn refuse_overdue_delegated(&mut self, ctx: &mut PlacerContext<'_, '_>) {
        let now_ms = ctx.now_ms();
        let waiting: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| {
                job.stage == Stage::Queued
                    && matches!(job.owner, Owner::RemoteLedger { .. })
                    && now_ms.saturating_sub(job.accepted_ms) >= DELEGATED_QUEUE_LIMIT_MS
            })
            .map(|(id, _)| *id)
            .collect();
        for id in waiting {
            if self.dequeue(now_ms, id) {
                self.refuse_delegated(ctx, id, RESEND_MS);
            }
        }
    }

    /// Moves queued jobs to other domains if this one has no free capacity for them: ledgered ones
    /// are delegated, idempotent ones go back to their entry VM, which chooses another domain.
    pub(super) fn delegate_waiting(&mut self, ctx: &mut PlacerContext<'_, '_>) {
        let now_ms = ctx.now_ms();
        let mut free_by_kind: SortedVec<KindName, bool> = SortedVec::new();
        let mut waiting = Vec::new();
        for (id, job) in self.jobs.iter() {
            if !may_run_remotely(now_ms, job) {
                continue;
            }
            let kind = &job.request.kind;
            let home_has_free_capacity = free_by_kind
                .get_or_insert_with(kind.clone(), || self.scheduler.has_free_capacity(kind));
            if !*home_has_free_capacity {
                waiting.push(*id);
            }
        }
        for id in waiting {
            // Each task sent takes capacity, so there may be no target left for the next one.
            let has_target = self.jobs.get(&id).is_some_and(|job| {
                may_run_remotely(now_ms, job) && self.remote_target(ctx, job).is_some()
            });
            if !has_target || !self.dequeue(now_ms, id) {
                continue;
            }
            let owner = self.jobs.get(&id).map(|job| &job.owner);
            if matches!(owner, Some(Owner::Direct(_))) {
                self.refuse_queued(ctx, id, Reason::QueueFull, RESEND_MS);
            } else {
                self.delegate(ctx, id);
            }
        }
    }

    /// Sends a task to the placer of its domain, or checks a task sent before.
    pub(super) fn send_place(&mut self, ctx: &mut PlacerContext<'_, '_>, id: JobId, index: usize) {
        let now_ms = ctx.now_ms();
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let mut request = job.request.clone();
        request.time_limit_ms = job.deadline_ms.saturating_sub(now_ms).max(Millis(1));
        let task = &mut job.tasks[index];
        let Location::Domain {
            domain,
            term,
            next_send_ms,
        } = &mut task.location
        else {
            return;
        };
        if now_ms < *next_send_ms {
            return;
        }
        *next_send_ms = now_ms.saturating_add(RESEND_MS);
        let placer = ctx.peers.ledger_leader(now_ms, domain);
        let is_offered = task.state != TaskState::Unsent;
        let Some((vm, current_term)) =
            placer.filter(|(_, current)| is_offered || *term == Some(*current))
        else {
            if !is_offered {
                // The chosen placer was replaced or became unreachable before the task was sent.
                self.never_ran(ctx, id, index);
            }
            return;
        };
        let id = task.id.clone();
        let is_new = matches!(task.state, TaskState::Unsent | TaskState::Offered);
        let message = if *term == Some(current_term) && is_new {
            // From now on only the other placer's reply shows whether the task ran.
            task.state = TaskState::Offered;
            PeerMessage::Place {
                task: id,
                term: current_term,
                request,
            }
        } else {
            PeerMessage::PlaceCheck { task: id }
        };
        ctx.io.send(vm, message);
    }

    /// Moves jobs that wait too long, resends offered tasks and checks delegated ones.
    pub(super) fn tick_remote(&mut self, ctx: &mut PlacerContext<'_, '_>) {
        self.delegate_waiting(ctx);
        self.refuse_overdue_delegated(ctx);
        let delegated: Vec<(JobId, usize)> = self
            .jobs
            .iter()
            .flat_map(|(id, job)| job.tasks.iter().enumerate().map(|(i, t)| (*id, i, t)))
            .filter(|(_, _, task)| {
                matches!(task.state, TaskState::Offered | TaskState::Delegated)
                    && matches!(task.location, Location::Domain { .. })
            })
            .map(|(id, index, _)| (id, index))
            .collect();
        for (id, index) in delegated {
            self.send_place(ctx, id, index);
        }
    }

    /// Handles the state of a task that the other placer has reported.
    fn remote_state_received(
        &mut self,
        ctx: &mut PlacerContext<'_, '_>,
        task: &TaskId,
        reported: TaskState,
    ) {
        let Some(id) = self.by_task.get(task).copied() else {
            return;
        };
        let Some(index) = self.index_of(id, task) else {
            return;
        };
        let now_ms = ctx.now_ms();
        let Some(task) = self.task_mut(task_key(id, index)) else {
            return;
        };
        let Location::Domain { next_send_ms, .. } = &mut task.location else {
            return;
        };
        if !matches!(task.state, TaskState::Offered | TaskState::Delegated) {
            return;
        }
        match reported {
            TaskState::Delegated => {
                *next_send_ms = now_ms.saturating_add(CHECK_MS);
                task.state = TaskState::Delegated;
                // An earlier stop request may have arrived before the task, or may be lost.
                task.stop_requested = false;
                self.stop_if_cancelled(ctx, id, index);
            }
            TaskState::NeverRan => self.never_ran(ctx, id, index),
            _ => self.end_task(ctx, id, index, TaskState::Lost, TaskOutcome::Lost),
        }
        self.settle(ctx, id);
    }
}

/// Sends a request to stop a task to the placer of its domain.
pub(super) fn stop_remote(ctx: &mut PlacerContext<'_, '_>, domain: &FailureDomain, task: TaskId) {
    if let Some((vm, _)) = ctx.peers.ledger_leader(ctx.io.now_ms, domain) {
        ctx.io.send(vm, PeerMessage::PlaceStop { task });
    }
}

/// Returns whether a job has waited long enough in the home's queue to run in another domain.
fn may_run_remotely(now_ms: Millis, job: &Job) -> bool {
    let waited_ms = now_ms.saturating_sub(job.accepted_ms);
    job.stage == Stage::Queued
        && matches!(job.owner, Owner::Ledger { .. } | Owner::Direct(_))
        && waited_ms >= WAIT_BEFORE_DELEGATION_MS
}
