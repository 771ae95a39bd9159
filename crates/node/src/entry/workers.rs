//! Announcements and results of workers on the entry VM that they reach.

use acaciareel_types::{
    Answer, Body, FailureDomain, Incarnation, Millis, Resources, TaskId, VmId, WorkerId,
    WorkerReport,
};

use crate::{ConnectionId, PeerMessage, Reply, WorkerStatus, io::Io, node::Node, owner::TaskOwner};

/// Announcements older than this are not passed on to a new placer; four of the longest intervals,
/// so that each live worker is known to some VM although a few of its announcements were lost.
const REPORT_KEPT_MS: Millis = Millis(120_000);
const MIN_ANNOUNCEMENT_MS: u64 = 1_000;
/// Longest interval, reached with 300 known workers. With 3,700 workers at 5,000 ms, each of 20 VMs
/// spent 30 KB/s on announcements. Replies to claims show that a worker lives; a leaving or
/// restarted worker announces itself at once.
const MAX_ANNOUNCEMENT_MS: u64 = 30_000;
/// Interval added per known worker. With 20 ms, 50 workers' reports alone took 3.6 KB/s of the
/// placer's 23 KB/s of control traffic; news such as leaving is announced at once anyway.
const ANNOUNCEMENT_MS_PER_WORKER: u64 = 100;
const RESULT_RESEND_MS: Millis = Millis(1_000);
/// Time after which the worker is told to post the result again; it covers an election.
const RESULT_GIVE_UP_MS: Millis = Millis(5_000);
/// Silence after which the owner of an idempotent task is given up if another VM has replaced it.
const OWNER_GONE_MS: Millis = Millis(10_000);

/// Last announcement of a worker that reached this VM.
#[derive(Debug)]
pub(crate) struct CachedReport {
    pub report: WorkerReport,
    pub heard_ms: Millis,
}

/// Result that waits for its owner's acknowledgement.
#[derive(Debug)]
pub(crate) struct PostedResult {
    pub connection: ConnectionId,
    pub worker: WorkerId,
    pub answer: Answer,
    pub used: Resources,
    pub next_send_ms: Millis,
    pub give_up_ms: Millis,
    /// VM that the result was last sent to.
    pub sent_to: Option<VmId>,
}

impl Node {
    /// Takes a worker's announcement and passes it on to the placer of its domain.
    pub(crate) fn announce(
        &mut self,
        connection: ConnectionId,
        report: WorkerReport,
        io: &mut Io<'_>,
    ) {
        if let Some((placer, _)) = self.peers.placer_of(io.now_ms, &report.failure_domain) {
            let report = without_tasks(&report);
            io.send(placer, PeerMessage::Announce { report });
        }
        self.undrain_restarted(&report.worker, report.incarnation);
        let cached = CachedReport {
            heard_ms: io.now_ms,
            report,
        };
        let worker = cached.report.worker.clone();
        self.entry.reports.insert(worker, cached);
        let known = u64::try_from(self.entry.reports.len()).unwrap_or(u64::MAX);
        let interval = known
            .saturating_mul(ANNOUNCEMENT_MS_PER_WORKER)
            .clamp(MIN_ANNOUNCEMENT_MS, MAX_ANNOUNCEMENT_MS);
        io.reply(connection, Reply::NextAnnouncement(Millis(interval)));
    }

    /// A drain ends with the incarnation that it was meant for.
    fn undrain_restarted(&mut self, worker: &WorkerId, incarnation: Incarnation) {
        match self.entry.drains.get_mut(worker) {
            Some(drained) if drained.is_none() => *drained = Some(incarnation),
            Some(drained) if *drained != Some(incarnation) => {
                self.entry.drains.remove(worker);
            }
            _ => {}
        }
    }

    /// Sends this VM's worker reports to placers that it has not told yet.
    pub(crate) fn placers_changed(&mut self, io: &mut Io<'_>) {
        for domain in self.entry.domains.clone() {
            let Some(placer) = self.peers.placer_of(io.now_ms, &domain) else {
                continue;
            };
            if self.entry.notified.get(&domain) != Some(&placer) {
                self.entry.notified.insert(domain.clone(), placer);
                self.notify_placer(placer.0, &domain, io);
            }
        }
    }

    fn notify_placer(&mut self, placer: VmId, domain: &FailureDomain, io: &mut Io<'_>) {
        let now_ms = io.now_ms;
        self.entry
            .reports
            .retain(|_, cached| now_ms.saturating_sub(cached.heard_ms) <= REPORT_KEPT_MS);
        for (worker, cached) in self.entry.reports.iter() {
            if cached.report.failure_domain != *domain {
                continue;
            }
            let report = without_tasks(&cached.report);
            io.send(placer, PeerMessage::Announce { report });
            if self.entry.drains.contains_key(worker) {
                let worker = worker.clone();
                io.send(placer, PeerMessage::Drain { worker });
            }
        }
    }

    /// Takes a worker's result and passes it on to the owner of the task.
    pub(crate) fn post_result(
        &mut self,
        connection: ConnectionId,
        task: &TaskId,
        worker: WorkerId,
        answer: Answer,
        used: Resources,
        io: &mut Io<'_>,
    ) {
        let posted = PostedResult {
            connection,
            worker,
            answer,
            used,
            next_send_ms: io.now_ms,
            give_up_ms: io.now_ms.saturating_add(RESULT_GIVE_UP_MS),
            sent_to: None,
        };
        if let Some(earlier) = self.entry.results.insert(task.clone(), posted) {
            io.reply(earlier.connection, Reply::ResultNotRecorded);
        }
        self.send_result(task, io);
    }

    fn send_result(&mut self, task: &TaskId, io: &mut Io<'_>) {
        let owner = match TaskOwner::of(task) {
            Some(TaskOwner::Ledger(domain)) => {
                if self.entry.home_unreachable(io.now_ms, &domain) {
                    return self.result_not_recorded(task, io);
                }
                self.peers.ledger_leader(io.now_ms, &domain)
            }
            Some(TaskOwner::Vm(vm, _)) if self.owner_replaced(vm, task, io.now_ms) => {
                return self.result_recorded(task, io);
            }
            Some(TaskOwner::Vm(vm, _)) if self.peers.suspected(io.now_ms, vm) => {
                return self.result_not_recorded(task, io);
            }
            Some(TaskOwner::Vm(vm, _)) => Some((vm, acaciareel_types::Term(0))),
            // No owner can be named, so nobody waits for the result.
            None => return self.result_recorded(task, io),
        };
        let Some(posted) = self.entry.results.get_mut(task) else {
            return;
        };
        let Some((vm, _)) = owner else {
            return;
        };
        posted.next_send_ms = io.now_ms.saturating_add(RESULT_RESEND_MS);
        posted.sent_to = Some(vm);
        let message = PeerMessage::TaskResult {
            task: task.clone(),
            worker: posted.worker.clone(),
            answer: posted.answer.clone(),
            used: posted.used,
        };
        io.send(vm, message);
    }

    /// Returns whether another VM has taken over the placement on the task's worker while the owner
    /// was silent. Silence alone proves nothing: a VM that is cut off may still wait for the result.
    fn owner_replaced(&self, owner: VmId, task: &TaskId, now_ms: Millis) -> bool {
        let silent = self
            .peers
            .silent_ms(now_ms, owner)
            .is_none_or(|silent_ms| silent_ms > OWNER_GONE_MS);
        if owner == self.settings.vm || !silent {
            return false;
        }
        let worker = self.entry.results.get(task).map(|posted| &posted.worker);
        worker
            .and_then(|worker| self.entry.reports.get(worker))
            .and_then(|cached| {
                let domain = &cached.report.failure_domain;
                self.peers.placer_of(now_ms, domain)
            })
            .is_some_and(|(placer, _)| placer != owner)
    }

    /// The owner cannot be reached from this VM: the worker tries another entry VM.
    fn result_not_recorded(&mut self, task: &TaskId, io: &mut Io<'_>) {
        if let Some(posted) = self.entry.results.remove(task) {
            io.reply(posted.connection, Reply::ResultNotRecorded);
        }
    }

    /// The owner has recorded a result: the worker may forget it, and its placer frees the room.
    pub(crate) fn result_recorded(&mut self, task: &TaskId, io: &mut Io<'_>) {
        let Some(posted) = self.entry.results.remove(task) else {
            return;
        };
        io.reply(posted.connection, Reply::ResultRecorded);
        let domain = self
            .entry
            .reports
            .get(&posted.worker)
            .map(|cached| &cached.report.failure_domain);
        let placer = domain.and_then(|domain| self.peers.placer_of(io.now_ms, domain));
        if let Some((placer, _)) = placer.filter(|(vm, _)| Some(*vm) != posted.sent_to) {
            let message = PeerMessage::TaskResult {
                task: task.clone(),
                worker: posted.worker,
                answer: Answer {
                    ok: posted.answer.ok,
                    body: Body::default(),
                },
                used: posted.used,
            };
            io.send(placer, message);
        }
    }

    pub(super) fn tick_results(&mut self, io: &mut Io<'_>) {
        let now_ms = io.now_ms;
        let due: Vec<TaskId> = self
            .entry
            .results
            .iter()
            .filter(|(_, posted)| now_ms >= posted.next_send_ms)
            .map(|(task, _)| task.clone())
            .collect();
        for task in due {
            let posted = self.entry.results.get(&task);
            if posted.is_some_and(|posted| now_ms >= posted.give_up_ms) {
                self.result_not_recorded(&task, io);
            } else {
                self.send_result(&task, io);
            }
        }
    }

    /// Returns the workers that this VM knows, as the placer sees them where this VM is one.
    pub(crate) fn worker_statuses(&self, now_ms: Millis) -> Vec<WorkerStatus> {
        let mut known = acaciareel_types::SortedVec::new();
        for (worker, cached) in self.entry.reports.iter() {
            let status = WorkerStatus {
                report: cached.report.clone(),
                report_age_ms: now_ms.saturating_sub(cached.heard_ms),
                state: "announced",
            };
            known.insert(worker.clone(), status);
        }
        for placer in self.placers.values() {
            for status in placer.worker_statuses(now_ms) {
                known.insert(status.report.worker.clone(), status);
            }
        }
        known.into_iter().map(|(_, status)| status).collect()
    }
}

/// Returns a report without its running tasks, which took 80 % of a message. A placer learns of
/// tasks from the reply to its claim only, since an announcement may be late.
fn without_tasks(report: &WorkerReport) -> WorkerReport {
    WorkerReport {
        running: Vec::new(),
        worker: report.worker.clone(),
        failure_domain: report.failure_domain.clone(),
        rack: report.rack.clone(),
        group: report.group.clone(),
        ..*report
    }
}
