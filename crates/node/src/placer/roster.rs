//! Registry of the workers of a placer's domain.

use acaciareel_types::{
    FencingToken, Incarnation, Millis, SortedVec, TaskId, WorkerId, WorkerReport,
};

use super::{Mode, Placer, Site};
use crate::{
    WorkerStatus,
    io::Io,
    node::Node,
    worker::{AnyWorker, Worker},
};

/// Silence after which an announcement of a lower incarnation counts too.
const REPLACED_MS: Millis = Millis(5_000);

/// A worker with what the placer needs to claim it.
#[derive(Debug)]
pub(crate) struct Registered {
    pub worker: AnyWorker,
    /// Last reply to a claim or announcement.
    pub heard_ms: Millis,
    /// Last call of any kind; the worker's task lease may have been renewed by it.
    pub called_ms: Millis,
    /// Token of the next claim.
    pub token: FencingToken,
    /// When the claim without a reply was sent.
    pub claim_sent_ms: Option<Millis>,
    /// When the latest confirmed claim was sent; replies to earlier ones are stale.
    pub confirmed_sent_ms: Millis,
    /// Sequence of the last full report in a reply to a claim.
    pub confirmed_sequence: u64,
    pub next_claim_ms: Millis,
    /// Claims in a row that got no reply.
    pub missed_claims: u32,
    /// Whether the scheduler knows the worker.
    pub scheduled: bool,
    /// Tasks that the last reply listed.
    pub listed: Vec<TaskId>,
    /// Whether the reply to a claim has arrived since this placer began.
    pub confirmed: bool,
}

impl Node {
    /// Takes an announcement that some entry VM has passed on.
    pub(crate) fn announcement_received(&mut self, report: WorkerReport, io: &mut Io<'_>) {
        self.worker_known(&report.worker, io);
        let domain = report.failure_domain.clone();
        self.with_placer(&domain, io, |placer, site| placer.announced(site, report));
    }
}

impl Placer {
    pub fn report_of(&self, worker: &WorkerId) -> Option<&WorkerReport> {
        let registered = self.workers.get(worker)?;
        Some(registered.worker.report())
    }

    pub(super) fn incarnation_of(&self, worker: &WorkerId) -> Incarnation {
        self.workers
            .get(worker)
            .map_or(Incarnation(0), |registered| {
                registered.worker.report().incarnation
            })
    }

    /// Registers a worker, or takes news of a registered one.
    fn announced(&mut self, site: &mut Site<'_, '_>, report: WorkerReport) {
        let now_ms = site.now_ms();
        let worker = report.worker.clone();
        let token = self.first_token(&report);
        let Some(registered) = self.workers.get_mut(&worker) else {
            let registered = Registered {
                worker: AnyWorker::Joining(Worker::announced(report)),
                heard_ms: now_ms,
                called_ms: Millis(0),
                token,
                claim_sent_ms: None,
                confirmed_sent_ms: Millis(0),
                confirmed_sequence: 0,
                next_claim_ms: now_ms,
                missed_claims: 0,
                scheduled: false,
                listed: Vec::new(),
                confirmed: false,
            };
            self.workers.insert(worker.clone(), registered);
            self.claim_if_due(site, &worker);
            return;
        };
        let known = registered.worker.report();
        if report.incarnation != known.incarnation {
            self.announced_anew(site, report, token);
            return;
        }
        if report.sequence < known.sequence {
            return;
        }
        registered.heard_ms = now_ms;
        if self.mode == Mode::Fallback {
            registered.token = registered.token.max(token);
        }
        let leaving = report.leaving;
        registered.worker.set_announced(report);
        if leaving {
            self.worker_leaving(site, &worker);
        }
    }

    /// Takes an announcement of another incarnation.
    ///
    /// It may be an old one that some entry VM has kept, so it decides on no task: only the
    /// worker's own reply to a claim does. Higher incarnations are tried first.
    fn announced_anew(
        &mut self,
        site: &mut Site<'_, '_>,
        report: WorkerReport,
        token: FencingToken,
    ) {
        let now_ms = site.now_ms();
        let worker = report.worker.clone();
        let Some(registered) = self.workers.get(&worker) else {
            return;
        };
        let is_newer = report.incarnation > registered.worker.report().incarnation;
        let silent = now_ms.saturating_sub(registered.heard_ms) > REPLACED_MS;
        if !is_newer && !silent {
            return;
        }
        self.suspend(site, &worker);
        if let Some(registered) = self.workers.get_mut(&worker) {
            registered.worker.set_report(report);
            registered.heard_ms = now_ms;
            registered.next_claim_ms = now_ms;
            registered.claim_sent_ms = None;
            registered.token = registered.token.max(token);
        }
        self.claim_if_due(site, &worker);
    }

    /// Returns the token of the first claim of a worker.
    fn first_token(&self, report: &WorkerReport) -> FencingToken {
        match self.mode {
            Mode::Ledger { term } => {
                let first = (term.0 << 16) | 1;
                // A token of a later term belongs to the next leader and must not be exceeded.
                if report.token.0 >> 16 == term.0 {
                    FencingToken(report.token.0.saturating_add(1))
                } else {
                    FencingToken(first)
                }
            }
            Mode::Fallback => FencingToken(report.token.0.saturating_add(1)),
        }
    }

    /// Moves a worker to draining, if its claim is confirmed.
    pub(super) fn worker_leaving(&mut self, site: &mut Site<'_, '_>, worker: &WorkerId) {
        let Some(registered) = self.workers.remove(worker) else {
            return;
        };
        let registered = Registered {
            worker: registered.worker.drained(),
            ..registered
        };
        self.workers.insert(worker.clone(), registered);
        self.scheduler.drain_worker(site.now_ms(), worker);
    }

    /// Drains a worker that an operator takes out of service.
    pub fn drain(&mut self, site: &mut Site<'_, '_>, worker: &WorkerId) {
        if self.workers.contains_key(worker) {
            self.worker_leaving(site, worker);
        }
    }

    /// Returns whether an operator has drained this life of a worker.
    pub(super) fn is_drained(
        drains: &SortedVec<WorkerId, Option<Incarnation>>,
        report: &WorkerReport,
    ) -> bool {
        drains
            .get(&report.worker)
            .is_some_and(|drained| drained.is_none_or(|inc| inc == report.incarnation))
    }

    pub fn worker_statuses(&self, now_ms: Millis) -> Vec<WorkerStatus> {
        let statuses = self.workers.values().map(|registered| WorkerStatus {
            report: registered.worker.report().clone(),
            report_age_ms: now_ms.saturating_sub(registered.heard_ms),
            state: registered.worker.name(),
        });
        statuses.collect()
    }
}
