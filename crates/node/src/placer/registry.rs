//! Registry of the workers of a placer's domain.

use acaciareel_types::{
    FencingToken, Incarnation, Millis, SortedVec, TaskId, WorkerId, WorkerReport,
};

use super::{Mode, Placer, PlacerContext};
use crate::{
    WorkerStatus,
    io::Io,
    node::Node,
    worker::{AnyWorker, Worker},
};

/// Time since the last contact after which an announcement of a lower incarnation is accepted too.
const LOWER_INCARNATION_AFTER_MS: Millis = Millis(5_000);

/// A worker and the state of this placer's claim on it.
#[derive(Debug)]
pub(crate) struct RegisteredWorker {
    pub worker: AnyWorker,
    /// Time of the last reply to a claim or the last announcement.
    pub last_contact_ms: Millis,
    /// Time of the last call of any kind. The call may have renewed the worker's task lease.
    pub called_ms: Millis,
    /// Token of the next claim.
    pub token: FencingToken,
    /// When the claim that awaits a reply was sent.
    pub claim_sent_ms: Option<Millis>,
    /// When the latest confirmed claim was sent. Replies to earlier claims are stale.
    pub confirmed_sent_ms: Millis,
    /// Sequence of the last full report in a reply to a claim.
    pub confirmed_sequence: u64,
    pub next_claim_ms: Millis,
    /// Consecutive claims without a reply.
    pub missed_claims: u32,
    /// Whether the worker is registered with the scheduler.
    pub scheduled: bool,
    /// Running tasks, and ended tasks with unacknowledged results, in the last full report.
    pub listed: Vec<TaskId>,
    /// Whether the worker has replied to a claim since this placer role began.
    pub confirmed: bool,
}

impl Node {
    /// Handles an announcement that an entry VM has forwarded.
    pub(crate) fn announcement_received(&mut self, report: WorkerReport, io: &mut Io<'_>) {
        self.confirm_drains(&report.worker, io);
        let domain = report.failure_domain.clone();
        self.with_placer(&domain, io, |placer, ctx| placer.announced(ctx, report));
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

    /// Registers a worker, or updates a registered one.
    fn announced(&mut self, ctx: &mut PlacerContext<'_, '_>, report: WorkerReport) {
        let now_ms = ctx.now_ms();
        let worker = report.worker.clone();
        let token = self.first_token(&report);
        let Some(registered) = self.workers.get_mut(&worker) else {
            let registered = RegisteredWorker {
                worker: AnyWorker::Joining(Worker::announced(report)),
                last_contact_ms: now_ms,
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
            self.claim_if_due(ctx, &worker);
            return;
        };
        let known = registered.worker.report();
        if report.incarnation != known.incarnation {
            self.other_incarnation_announced(ctx, report, token);
            return;
        }
        if report.sequence < known.sequence {
            return;
        }
        registered.last_contact_ms = now_ms;
        if self.mode == Mode::Fallback {
            registered.token = registered.token.max(token);
        }
        let leaving = report.leaving;
        registered.worker.set_announced(report);
        if leaving {
            self.worker_leaving(ctx, &worker);
        }
    }

    /// Handles an announcement of another incarnation.
    ///
    /// It may be an old one that an entry VM has cached, so it changes the state of no task; only
    /// the worker's own reply to a claim does. Higher incarnations are tried first.
    fn other_incarnation_announced(
        &mut self,
        ctx: &mut PlacerContext<'_, '_>,
        report: WorkerReport,
        token: FencingToken,
    ) {
        let now_ms = ctx.now_ms();
        let worker = report.worker.clone();
        let Some(registered) = self.workers.get(&worker) else {
            return;
        };
        let is_newer = report.incarnation > registered.worker.report().incarnation;
        let unresponsive =
            now_ms.saturating_sub(registered.last_contact_ms) > LOWER_INCARNATION_AFTER_MS;
        if !is_newer && !unresponsive {
            return;
        }
        self.suspend(ctx, &worker);
        if let Some(registered) = self.workers.get_mut(&worker) {
            registered.worker.set_report(report);
            registered.last_contact_ms = now_ms;
            registered.next_claim_ms = now_ms;
            registered.claim_sent_ms = None;
            registered.token = registered.token.max(token);
        }
        self.claim_if_due(ctx, &worker);
    }

    /// Returns the token of the first claim of a worker. The bits from 16 on are the ledger's term,
    /// so that the claims of a later leader have higher tokens. A fallback placer exceeds the token
    /// in the worker's report by one.
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
    pub(super) fn worker_leaving(&mut self, ctx: &mut PlacerContext<'_, '_>, worker: &WorkerId) {
        let Some(registered) = self.workers.remove(worker) else {
            return;
        };
        let registered = RegisteredWorker {
            worker: registered.worker.drained(),
            ..registered
        };
        self.workers.insert(worker.clone(), registered);
        self.scheduler.drain_worker(ctx.now_ms(), worker);
    }

    /// Drains a worker at the request of an operator.
    pub fn drain(&mut self, ctx: &mut PlacerContext<'_, '_>, worker: &WorkerId) {
        if self.workers.contains_key(worker) {
            self.worker_leaving(ctx, worker);
        }
    }

    /// Returns whether an operator has drained this incarnation of a worker.
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
            report_age_ms: now_ms.saturating_sub(registered.last_contact_ms),
            state: registered.worker.name(),
        });
        statuses.collect()
    }
}
