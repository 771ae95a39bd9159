//! Delegation of a ledgered task to another domain's placer, seen from its home.

use acaciareel_scheduler::{JobId, TaskOutcome};
use acaciareel_types::{FailureDomain, KindName, Millis, Reason, SortedVec, TaskId, Term, VmId};

use super::{Job, Location, Owner, Placer, Site, Stage, TaskState, task_key};
use crate::{PeerMessage, io::Io, node::Node};

const RESEND_MS: Millis = Millis(1_000);
/// Interval of inquiries after a task that the other placer has acknowledged.
const CHECK_MS: Millis = Millis(5_000);
/// Time within which a heartbeat shows the room that a task sent to its domain has taken.
const SENT_WINDOW_MS: Millis = Millis(500);
/// Time after which a task placed for another domain is given back.
const FOREIGN_WAIT_MS: Millis = Millis(2_000);
/// Time in the home's queue after which room elsewhere is used.
const WAIT_BEFORE_DELEGATION_MS: Millis = Millis(500);

impl Node {
    /// Handles the messages of delegated tasks.
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
                self.place_answered(&task, TaskState::Delegated, io);
            }
            PeerMessage::PlaceRefused { task, .. } => {
                self.place_answered(&task, TaskState::NeverRan, io);
            }
            PeerMessage::PlaceLost { task } => self.place_answered(&task, TaskState::Gone, io),
            _ => {}
        }
    }

    fn place_answered(&mut self, task: &TaskId, state: TaskState, io: &mut Io<'_>) {
        for domain in self.placer_domains() {
            self.with_placer(&domain, io, |placer, site| {
                placer.remote_news(site, task, state);
            });
        }
    }
}

impl Job {
    /// Remembers that a domain refused the job, so that it is not asked again at once.
    pub(super) fn request_refused_by(&mut self, domain: &FailureDomain) {
        if !self.refused_by.contains(domain) {
            self.refused_by.push(domain.clone());
        }
    }
}

impl Placer {
    /// Chooses another domain with room for a job of one task.
    pub(super) fn remote_target(
        &self,
        site: &Site<'_, '_>,
        job: &Job,
    ) -> Option<(FailureDomain, Term)> {
        let route = site.tables.tables().routes().get(&job.request.kind)?;
        if route.tasks != 1 {
            return None;
        }
        let taken = self.scheduler.slots_per_task(&job.request.kind);
        site.peers
            .placings(site.io.now_ms)
            .filter(|(_, placing)| placing.term > Term(0) && placing.domain != self.domain)
            .filter(|(_, placing)| !job.refused_by.contains(&placing.domain))
            .filter_map(|(_, placing)| {
                let room = placing.rooms.iter().find(|room| room.pool == route.pool)?;
                let sent = self.sent_lately(site.io.now_ms, &placing.domain);
                let free_slots = room.free_slots.saturating_sub(sent);
                (free_slots >= taken).then_some((free_slots, placing))
            })
            .max_by_key(|(free_slots, _)| *free_slots)
            .map(|(_, placing)| (placing.domain.clone(), placing.term))
    }

    /// Returns the slots of tasks sent to a domain that its last heartbeat may not show yet.
    fn sent_lately(&self, now_ms: Millis, domain: &FailureDomain) -> u32 {
        match self.sent_to.get(domain) {
            Some((since_ms, sent)) if now_ms.saturating_sub(*since_ms) < SENT_WINDOW_MS => *sent,
            _ => 0,
        }
    }

    fn count_sent(&mut self, now_ms: Millis, domain: &FailureDomain, slots: u32) {
        let sent = self.sent_lately(now_ms, domain);
        let since_ms = self.sent_to.get(domain).map_or(now_ms, |(since, _)| *since);
        let since_ms = if sent == 0 { now_ms } else { since_ms };
        let sent = sent.saturating_add(slots);
        self.sent_to.insert(domain.clone(), (since_ms, sent));
    }

    /// Starts an attempt on another domain; returns whether one has room.
    pub(super) fn delegate(&mut self, site: &mut Site<'_, '_>, id: JobId) -> bool {
        let target = self
            .jobs
            .get(&id)
            .and_then(|job| self.remote_target(site, job));
        let Some((domain, term)) = target else {
            return false;
        };
        let kind = self.jobs.get(&id).map(|job| &job.request.kind);
        let taken = kind.map_or(1, |kind| self.scheduler.slots_per_task(kind));
        self.count_sent(site.now_ms(), &domain, taken);
        let location = Location::Domain {
            domain,
            term: Some(term),
            next_send_ms: site.now_ms(),
        };
        self.place_remotely(site, id, location);
        true
    }

    /// Gives other domains' tasks back that have found no room here.
    fn return_waiting(&mut self, site: &mut Site<'_, '_>) {
        let now_ms = site.now_ms();
        let waiting: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| {
                job.stage == Stage::Queued
                    && matches!(job.owner, Owner::Foreign { .. })
                    && now_ms.saturating_sub(job.accepted_ms) >= FOREIGN_WAIT_MS
            })
            .map(|(id, _)| *id)
            .collect();
        for id in waiting {
            if self.dequeue(now_ms, id) {
                self.refuse_foreign(site, id, RESEND_MS);
            }
        }
    }

    /// Lets queued jobs run elsewhere that this domain has no room for: ledgered ones are
    /// delegated, idempotent ones go back to their entry VM, which chooses another domain.
    pub(super) fn delegate_waiting(&mut self, site: &mut Site<'_, '_>) {
        let now_ms = site.now_ms();
        let mut rooms: SortedVec<KindName, bool> = SortedVec::new();
        let mut waiting = Vec::new();
        for (id, job) in self.jobs.iter() {
            if !may_go_elsewhere(now_ms, job) {
                continue;
            }
            let kind = &job.request.kind;
            let home_has_room =
                rooms.get_or_insert_with(kind.clone(), || self.scheduler.has_free_capacity(kind));
            if !*home_has_room {
                waiting.push(*id);
            }
        }
        for id in waiting {
            // Each task sent takes room that the next one may have counted on.
            let has_target = self.jobs.get(&id).is_some_and(|job| {
                may_go_elsewhere(now_ms, job) && self.remote_target(site, job).is_some()
            });
            if !has_target || !self.dequeue(now_ms, id) {
                continue;
            }
            let owner = self.jobs.get(&id).map(|job| &job.owner);
            if matches!(owner, Some(Owner::Direct(_))) {
                self.refuse_queued(site, id, Reason::QueueFull, RESEND_MS);
            } else {
                self.delegate(site, id);
            }
        }
    }

    /// Sends a task to the placer of its domain, or asks after it.
    pub(super) fn send_place(&mut self, site: &mut Site<'_, '_>, id: JobId, index: usize) {
        let now_ms = site.now_ms();
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
        let placer = site.peers.ledger_leader(now_ms, domain);
        let is_offered = task.state != TaskState::Unsent;
        let Some((vm, present)) = placer.filter(|(_, now)| is_offered || *term == Some(*now))
        else {
            if !is_offered {
                // The placer that was chosen has gone before it was told.
                self.never_ran(site, id, index);
            }
            return;
        };
        let id = task.id.clone();
        let is_new = matches!(task.state, TaskState::Unsent | TaskState::Offered);
        let message = if *term == Some(present) && is_new {
            // From now on only the other placer knows whether the task ran.
            task.state = TaskState::Offered;
            PeerMessage::Place {
                task: id,
                term: present,
                request,
            }
        } else {
            PeerMessage::PlaceCheck { task: id }
        };
        site.io.send(vm, message);
    }

    /// Resends and inquires after delegated tasks.
    pub(super) fn tick_remote(&mut self, site: &mut Site<'_, '_>) {
        self.delegate_waiting(site);
        self.return_waiting(site);
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
            self.send_place(site, id, index);
        }
    }

    /// Takes the other placer's word on a task.
    fn remote_news(&mut self, site: &mut Site<'_, '_>, task: &TaskId, news: TaskState) {
        let Some(id) = self.by_task.get(task).copied() else {
            return;
        };
        let Some(index) = self.index_of(id, task) else {
            return;
        };
        let now_ms = site.now_ms();
        let Some(task) = self.task_mut(task_key(id, index)) else {
            return;
        };
        let Location::Domain { next_send_ms, .. } = &mut task.location else {
            return;
        };
        if !matches!(task.state, TaskState::Offered | TaskState::Delegated) {
            return;
        }
        match news {
            TaskState::Delegated => {
                *next_send_ms = now_ms.saturating_add(CHECK_MS);
                task.state = TaskState::Delegated;
                // An earlier request to stop may have overtaken the task, or was lost.
                task.stopped = false;
                self.stop_if_cancelled(site, id, index);
            }
            TaskState::NeverRan => self.never_ran(site, id, index),
            _ => self.end_task(site, id, index, TaskState::Gone, TaskOutcome::Lost),
        }
        self.settle(site, id);
    }
}

/// Asks the placer of a domain to stop a task.
pub(super) fn stop_remote(site: &mut Site<'_, '_>, domain: &FailureDomain, task: TaskId) {
    if let Some((vm, _)) = site.peers.ledger_leader(site.io.now_ms, domain) {
        site.io.send(vm, PeerMessage::PlaceStop { task });
    }
}

/// Returns whether a job has waited long enough at home.
fn may_go_elsewhere(now_ms: Millis, job: &Job) -> bool {
    let waited_ms = now_ms.saturating_sub(job.accepted_ms);
    job.stage == Stage::Queued
        && matches!(job.owner, Owner::Ledger { .. } | Owner::Direct(_))
        && waited_ms >= WAIT_BEFORE_DELEGATION_MS
}
