//! Announcements and results of workers that are connected to this entry VM.

use acaciareel_types::{
    Answer, Body, FailureDomain, Incarnation, Millis, Resources, TaskId, VmId, WorkerId,
    WorkerReport,
};

use crate::{ConnectionId, PeerMessage, Reply, WorkerStatus, io::Io, node::Node, owner::TaskOwner};

/// Announcements older than this are not forwarded to a new placer. Four of the longest intervals
/// ensure that some VM has each live worker although a few of its announcements were lost.
const REPORT_MAX_AGE_MS: Millis = Millis(120_000);
const MIN_ANNOUNCEMENT_MS: u64 = 1_000;
/// Longest interval, reached with 300 known workers. With 3,700 workers at 5,000 ms, each of 20 VMs
/// spent 30 KB/s on announcements. Replies to claims show that a worker is alive; a leaving or
/// restarted worker announces itself at once.
const MAX_ANNOUNCEMENT_MS: u64 = 30_000;
/// Interval added per known worker. With 20 ms, 50 workers' reports alone took 3.6 KB/s of the
/// placer's 23 KB/s of control traffic. Changes such as leaving are announced at once.
const ANNOUNCEMENT_MS_PER_WORKER: u64 = 100;
const RESULT_RESEND_MS: Millis = Millis(1_000);
/// Time after which the worker must post the result again; it covers an election.
const RESULT_TIMEOUT_MS: Millis = Millis(5_000);
/// Time since the last contact after which the owner of an idempotent task is abandoned if another
/// VM has replaced it.
const OWNER_REPLACED_MS: Millis = Millis(10_000);

/// Last announcement that a worker has sent to this VM.
#[derive(Debug)]
pub(crate) struct CachedReport {
    pub report: WorkerReport,
    pub received_ms: Millis,
}

/// Result that waits for the acknowledgement of the task's owner.
#[derive(Debug)]
pub(crate) struct PendingResult {
    pub connection: ConnectionId,
    pub worker: WorkerId,
    pub answer: Answer,
    pub used: Resources,
    pub next_send_ms: Millis,
    pub deadline_ms: Millis,
    /// VM to which the result was last sent.
    pub sent_to: Option<VmId>,
}

impl Node {
    /// Handles a worker's announcement and forwards it to the placer of the worker's domain.
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
        self.end_drain_after_restart(&report.worker, report.incarnation);
        let cached = CachedReport {
            received_ms: io.now_ms,
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

    /// Ends a drain when the worker announces an incarnation other than the drained one.
    fn end_drain_after_restart(&mut self, worker: &WorkerId, incarnation: Incarnation) {
        match self.entry.drains.get_mut(worker) {
            Some(drained) if drained.is_none() => *drained = Some(incarnation),
            Some(drained) if *drained != Some(incarnation) => {
                self.entry.drains.remove(worker);
            }
            _ => {}
        }
    }

    /// Sends this VM's worker reports to placers that have not received them yet.
    pub(crate) fn announce_to_new_placers(&mut self, io: &mut Io<'_>) {
        for domain in self.entry.domains.clone() {
            let Some(placer) = self.peers.placer_of(io.now_ms, &domain) else {
                continue;
            };
            if self.entry.reported_to.get(&domain) != Some(&placer) {
                self.entry.reported_to.insert(domain.clone(), placer);
                self.send_reports(placer.0, &domain, io);
            }
        }
    }

    fn send_reports(&mut self, placer: VmId, domain: &FailureDomain, io: &mut Io<'_>) {
        let now_ms = io.now_ms;
        self.entry
            .reports
            .retain(|_, cached| now_ms.saturating_sub(cached.received_ms) <= REPORT_MAX_AGE_MS);
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

    /// Handles a worker's result and forwards it to the owner of the task.
    pub(crate) fn post_result(
        &mut self,
        connection: ConnectionId,
        task: &TaskId,
        worker: WorkerId,
        answer: Answer,
        used: Resources,
        io: &mut Io<'_>,
    ) {
        let pending = PendingResult {
            connection,
            worker,
            answer,
            used,
            next_send_ms: io.now_ms,
            deadline_ms: io.now_ms.saturating_add(RESULT_TIMEOUT_MS),
            sent_to: None,
        };
        if let Some(earlier) = self.entry.results.insert(task.clone(), pending) {
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
            // The identifier names no owner, so no VM waits for the result.
            None => return self.result_recorded(task, io),
        };
        let Some(pending) = self.entry.results.get_mut(task) else {
            return;
        };
        let Some((vm, _)) = owner else {
            return;
        };
        pending.next_send_ms = io.now_ms.saturating_add(RESULT_RESEND_MS);
        pending.sent_to = Some(vm);
        let message = PeerMessage::TaskResult {
            task: task.clone(),
            worker: pending.worker.clone(),
            answer: pending.answer.clone(),
            used: pending.used,
        };
        io.send(vm, message);
    }

    /// Returns whether another VM has taken over the placement on the task's worker while the owner
    /// was unresponsive. A lack of contact alone is not enough: an isolated owner may still wait
    /// for the result.
    fn owner_replaced(&self, owner: VmId, task: &TaskId, now_ms: Millis) -> bool {
        let unresponsive = self
            .peers
            .since_contact_ms(now_ms, owner)
            .is_none_or(|since_contact_ms| since_contact_ms > OWNER_REPLACED_MS);
        if owner == self.settings.vm || !unresponsive {
            return false;
        }
        let worker = self.entry.results.get(task).map(|pending| &pending.worker);
        worker
            .and_then(|worker| self.entry.reports.get(worker))
            .and_then(|cached| {
                let domain = &cached.report.failure_domain;
                self.peers.placer_of(now_ms, domain)
            })
            .is_some_and(|(placer, _)| placer != owner)
    }

    /// Ends the wait for an owner that this VM cannot reach: the worker posts the result to another
    /// entry VM.
    fn result_not_recorded(&mut self, task: &TaskId, io: &mut Io<'_>) {
        if let Some(pending) = self.entry.results.remove(task) {
            io.reply(pending.connection, Reply::ResultNotRecorded);
        }
    }

    /// Handles the owner's acknowledgement: the worker may drop the result, and its placer releases
    /// the capacity.
    pub(crate) fn result_recorded(&mut self, task: &TaskId, io: &mut Io<'_>) {
        let Some(pending) = self.entry.results.remove(task) else {
            return;
        };
        io.reply(pending.connection, Reply::ResultRecorded);
        let domain = self
            .entry
            .reports
            .get(&pending.worker)
            .map(|cached| &cached.report.failure_domain);
        let placer = domain.and_then(|domain| self.peers.placer_of(io.now_ms, domain));
        if let Some((placer, _)) = placer.filter(|(vm, _)| Some(*vm) != pending.sent_to) {
            let message = PeerMessage::TaskResult {
                task: task.clone(),
                worker: pending.worker,
                answer: Answer {
                    ok: pending.answer.ok,
                    body: Body::default(),
                },
                used: pending.used,
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
            .filter(|(_, pending)| now_ms >= pending.next_send_ms)
            .map(|(task, _)| task.clone())
            .collect();
        for task in due {
            let pending = self.entry.results.get(&task);
            if pending.is_some_and(|pending| now_ms >= pending.deadline_ms) {
                self.result_not_recorded(&task, io);
            } else {
                self.send_result(&task, io);
            }
        }
    }

    /// Returns the workers that have announced themselves to this VM, and those of the domains that
    /// it is the placer of, in the state that the placer has.
    pub(crate) fn worker_statuses(&self, now_ms: Millis) -> Vec<WorkerStatus> {
        let mut known = acaciareel_types::SortedVec::new();
        for (worker, cached) in self.entry.reports.iter() {
            let status = WorkerStatus {
                report: cached.report.clone(),
                report_age_ms: now_ms.saturating_sub(cached.received_ms),
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

/// Returns a report without its running tasks, which took 80 % of a message. A placer takes tasks
/// only from the reply to its claim, since an announcement may be late.
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
