//! Tasks that this placer runs for the ledgers of other domains.

use std::collections::VecDeque;

use acaciareel_scheduler::JobId;
use acaciareel_types::{FailureDomain, Millis, Request, SortedVec, TaskId, Term, VmId};

use super::{
    Mode, Owner, Placer, Site, Stage, TaskState, jobs::new_job, lease::TASKS_ENDED_MS, recovery,
};
use crate::{PeerMessage, io::Io, node::Node};

const KEPT_TOMBSTONES: usize = 8_192;
const RETRY_AFTER_MS: Millis = Millis(500);

/// What became of an ended task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    Refused,
    Lost,
    Answered,
}

/// Ended tasks of other ledgers, oldest dropped first.
#[derive(Debug, Default)]
pub(crate) struct Tombstones {
    fates: SortedVec<TaskId, Fate>,
    order: VecDeque<TaskId>,
}

impl Tombstones {
    fn record(&mut self, task: TaskId, fate: Fate) {
        if self.fates.insert(task.clone(), fate).is_none() {
            self.order.push_back(task);
        }
        if self.order.len() > KEPT_TOMBSTONES
            && let Some(oldest) = self.order.pop_front()
        {
            self.fates.remove(&oldest);
        }
    }
}

impl Node {
    /// Takes a task of another domain's ledger.
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
            // Not refused as "never ran": an earlier copy may have been taken in that term.
            return;
        };
        self.with_placer(&domain, io, |placer, site| {
            placer.place_foreign(site, home, task, request);
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
            self.with_placer(&domain, io, |placer, site| {
                placer.check_foreign(site, home, task);
            });
        }
    }

    pub(crate) fn place_stopped(&mut self, task: &TaskId, io: &mut Io<'_>) {
        for domain in self.placer_domains() {
            self.with_placer(&domain, io, |placer, site| placer.stop_foreign(site, task));
        }
    }
}

impl Placer {
    fn place_foreign(
        &mut self,
        site: &mut Site<'_, '_>,
        home: VmId,
        task: TaskId,
        request: Request,
    ) {
        if self.by_task.contains_key(&task) {
            site.io.send(home, PeerMessage::PlaceKnown { task });
            return;
        }
        if self.answer_from_tombstone(site, home, &task) {
            return;
        }
        let route = site.tables.tables().routes().get(&request.kind).cloned();
        let Some(route) = route else {
            self.refuse_place(site, home, task, RETRY_AFTER_MS);
            return;
        };
        let owner = Owner::Foreign {
            home,
            task: task.clone(),
        };
        let mut job = Box::new(new_job(site, owner, request, &route));
        if job.effect == acaciareel_types::Effect::Idempotent {
            // The home's ledger decides how often a task may run, whatever this VM's tables say.
            job.effect = acaciareel_types::Effect::Exclusive;
        }
        match self.queue(site, &job, false) {
            Ok(()) => {
                self.by_task.insert(task.clone(), job.id);
                self.jobs.insert(job.id, job);
                site.io.send(home, PeerMessage::PlaceKnown { task });
            }
            Err(refusal) => self.refuse_place(site, home, task, refusal.retry_after_ms),
        }
    }

    fn refuse_place(
        &mut self,
        site: &mut Site<'_, '_>,
        home: VmId,
        task: TaskId,
        retry_after_ms: Millis,
    ) {
        self.foreign_ended.record(task.clone(), Fate::Refused);
        let message = PeerMessage::PlaceRefused {
            task,
            retry_after_ms,
        };
        site.io.send(home, message);
    }

    fn answer_from_tombstone(&self, site: &mut Site<'_, '_>, home: VmId, task: &TaskId) -> bool {
        let Some(fate) = self.foreign_ended.fates.get(task) else {
            return false;
        };
        let task = task.clone();
        match fate {
            Fate::Refused => {
                let retry_after_ms = RETRY_AFTER_MS;
                let message = PeerMessage::PlaceRefused {
                    task,
                    retry_after_ms,
                };
                site.io.send(home, message);
            }
            Fate::Lost => site.io.send(home, PeerMessage::PlaceLost { task }),
            Fate::Answered => {}
        }
        true
    }

    /// Answers the home's inquiry after a task.
    fn check_foreign(&mut self, site: &mut Site<'_, '_>, home: VmId, task: &TaskId) {
        let owner = self.by_task.get(task).and_then(|id| self.jobs.get(id));
        if owner.is_some_and(|job| matches!(job.owner, Owner::Ledger { .. })) {
            return;
        }
        if owner.is_some() || recovery::is_listed(self, task) {
            let task = task.clone();
            site.io.send(home, PeerMessage::PlaceKnown { task });
            return;
        }
        if self.answer_from_tombstone(site, home, task) {
            return;
        }
        if self.accounted_for(site) {
            // From now on a late copy of `Place` is refused as well.
            self.foreign_ended.record(task.clone(), Fate::Lost);
            let task = task.clone();
            site.io.send(home, PeerMessage::PlaceLost { task });
        }
    }

    /// Returns whether a task that no worker lists cannot be running: each worker has either
    /// confirmed this placer's claim or has heard from no placer until its task lease ran out.
    fn accounted_for(&self, site: &Site<'_, '_>) -> bool {
        let now_ms = site.io.now_ms;
        let ended = |since_ms: Millis| now_ms.saturating_sub(since_ms) >= TASKS_ENDED_MS;
        matches!(self.mode, Mode::Ledger { .. })
            && ended(self.ready_ms)
            && self
                .workers
                .values()
                .all(|registered| registered.confirmed || ended(registered.called_ms))
    }

    fn stop_foreign(&mut self, site: &mut Site<'_, '_>, task: &TaskId) {
        let Some(id) = self.by_task.get(task).copied() else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if !matches!(job.owner, Owner::Foreign { .. }) {
            return;
        }
        job.cancelled = true;
        job.may_stop = true;
        if job.stage == Stage::Queued {
            if self.dequeue(site.now_ms(), id) {
                self.refuse_foreign(site, id, RETRY_AFTER_MS);
            }
        } else if matches!(job.tasks[0].state, TaskState::Running { .. }) {
            self.stop_task(site, id, 0);
        }
    }

    /// Ends a job that was not started.
    pub(super) fn refuse_foreign(
        &mut self,
        site: &mut Site<'_, '_>,
        id: JobId,
        retry_after_ms: Millis,
    ) {
        let Some(job) = self.remove_job(id) else {
            return;
        };
        if let Owner::Foreign { home, task } = job.owner {
            self.by_task.remove(&task);
            self.refuse_place(site, home, task, retry_after_ms);
        }
    }

    /// Tells the home how a task ended that gave no answer.
    pub(super) fn end_foreign(&mut self, site: &mut Site<'_, '_>, id: JobId) {
        let Some(job) = self.remove_job(id) else {
            return;
        };
        let Owner::Foreign { home, task } = job.owner else {
            return;
        };
        self.by_task.remove(&task);
        match job.tasks.first().map(|task| task.state) {
            Some(TaskState::NeverRan) => self.refuse_place(site, home, task, RETRY_AFTER_MS),
            Some(TaskState::Gone) => {
                self.foreign_ended.record(task.clone(), Fate::Lost);
                site.io.send(home, PeerMessage::PlaceLost { task });
            }
            _ => self.foreign_ended.record(task, Fate::Answered),
        }
    }
}
