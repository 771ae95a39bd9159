//! Placement leases: claims of workers with fencing tokens, their renewal and their end.
//!
//! A placer claims a worker by a lease call. From the worker's confirmation until the lease runs
//! out, the placer may start tasks there. The task lease is another one: a worker stops its
//! exclusive tasks if no placer has called it for 10,000 ms.

use acaciareel_types::{FencingToken, Millis, TaskId, WorkerId, WorkerReport};

use super::{Location, Mode, Placer, PlacerContext, TaskState};
use crate::{
    CallId, WorkerCall, WorkerReply,
    calls::{Call, Purpose},
    io::Io,
    node::Node,
    worker::AnyWorker,
};

const MIN_RENEW_MS: u64 = 1_000;
/// Renewal interval added per worker. Renewals are rarer with more workers, since each one is an
/// HTTP call, and a full report in its reply takes about 800 bytes with the HTTP headers. The
/// longest interval leaves time for a repeated call within a task lease.
const RENEW_MS_PER_WORKER: u64 = 100;
const MAX_RENEW_MS: u64 = 4_000;
/// Length of a lease in renewal intervals.
const LEASE_INTERVALS: u64 = 3;
/// Time after which a claim without a reply is sent again.
const CLAIM_TIMEOUT_MS: Millis = Millis(500);
/// Consecutive claims without a reply after which nothing is placed on a worker.
const MISSED_CLAIMS_LIMIT: u32 = 2;
/// Time after which a start without a reply makes the placer claim the worker again.
const START_TIMEOUT_MS: Millis = Millis(500);
/// Time since the last contact after which a worker is not called any more, so that its task lease
/// runs out.
const UNRESPONSIVE_MS: Millis = Millis(5_000);
/// Time since the last call after which the tasks of a worker have ended: a worker stops its tasks
/// 10,000 ms after the last call of a placer; 2,000 ms more cover delays.
pub(super) const TASKS_ENDED_MS: Millis = Millis(12_000);

impl Node {
    /// Handles a worker's reply to a call. Replies to calls of an earlier placer role are ignored.
    pub(crate) fn worker_replied(&mut self, id: CallId, reply: WorkerReply, io: &mut Io<'_>) {
        let Some(call) = self.calls.take(id) else {
            return;
        };
        let domain = call.domain.clone();
        self.with_placer(&domain, io, |placer, ctx| {
            if placer.role_number == call.role_number {
                placer.replied(ctx, &call, reply);
            }
        });
    }
}

impl Placer {
    fn replied(&mut self, ctx: &mut PlacerContext<'_, '_>, call: &Call, reply: WorkerReply) {
        match (&call.purpose, reply) {
            (Purpose::Start(task), reply) => {
                let task = task.clone();
                self.start_replied(ctx, call, &task, &reply);
            }
            (
                Purpose::Lease,
                WorkerReply::Leased {
                    report,
                    unacknowledged,
                },
            ) => self.leased(ctx, call, &report, unacknowledged),
            (Purpose::Lease, WorkerReply::Renewed { sequence }) => {
                self.renewed(ctx, call, sequence);
            }
            (Purpose::Lease, WorkerReply::StaleToken(held)) => {
                self.claim_ended(&call.worker);
                self.token_refused(&call.worker, held, ctx.now_ms());
            }
            (Purpose::Lease, WorkerReply::NotSent) => {
                // No task can be started there now, so idempotent work is run on other workers at
                // once.
                self.claim_ended(&call.worker);
                self.suspend(ctx, &call.worker);
            }
            (Purpose::Lease, _) => self.claim_ended(&call.worker),
            (Purpose::TaskCommand, WorkerReply::Accepted) => {
                // The next report shows whether a stopped task has ended without an answer.
                if let Some(registered) = self.workers.get_mut(&call.worker) {
                    registered.next_claim_ms = ctx.now_ms();
                }
            }
            (Purpose::TaskCommand, _) => {}
        }
    }

    fn claim_ended(&mut self, worker: &WorkerId) {
        if let Some(registered) = self.workers.get_mut(worker) {
            registered.claim_sent_ms = None;
        }
    }

    fn renew_ms(&self) -> u64 {
        let workers = u64::try_from(self.workers.len()).unwrap_or(u64::MAX);
        workers
            .saturating_mul(RENEW_MS_PER_WORKER)
            .clamp(MIN_RENEW_MS, MAX_RENEW_MS)
    }

    /// Sends a claim, which also renews the lease, to a worker if one is due.
    pub(super) fn claim_if_due(&mut self, ctx: &mut PlacerContext<'_, '_>, worker: &WorkerId) {
        let may_place = ctx.holds_lease || self.mode == Mode::Fallback;
        let interval = self.renew_ms();
        let Some(registered) = self.workers.get_mut(worker) else {
            return;
        };
        let now_ms = ctx.io.now_ms;
        let outstanding = registered
            .claim_sent_ms
            .is_some_and(|sent_ms| now_ms.saturating_sub(sent_ms) < CLAIM_TIMEOUT_MS);
        let unresponsive = now_ms.saturating_sub(registered.last_contact_ms) > UNRESPONSIVE_MS;
        let missed = registered.claim_sent_ms.is_some() && !outstanding;
        if !may_place
            || outstanding
            || unresponsive
            || (!missed && now_ms < registered.next_claim_ms)
        {
            return;
        }
        registered.missed_claims += u32::from(missed);
        let unreachable = registered.missed_claims >= MISSED_CLAIMS_LIMIT;
        if unreachable && registered.scheduled {
            self.suspend(ctx, worker);
        }
        let Some(registered) = self.workers.get_mut(worker) else {
            return;
        };
        registered.next_claim_ms = now_ms.saturating_add(Millis(interval));
        registered.claim_sent_ms = Some(now_ms);
        registered.called_ms = now_ms;
        let request = WorkerCall::Lease {
            token: registered.token,
            holder: ctx.vm,
            ttl_ms: Millis(interval * LEASE_INTERVALS),
        };
        let address = registered.worker.report().address;
        let call = ctx.calls.add(Call {
            domain: self.domain.clone(),
            role_number: self.role_number,
            worker: worker.clone(),
            token: registered.token,
            sent_ms: now_ms,
            purpose: Purpose::Lease,
        });
        ctx.io.call(call, worker, address, request);
    }

    /// Handles a worker's full report, which confirms a claim.
    fn leased(
        &mut self,
        ctx: &mut PlacerContext<'_, '_>,
        call: &Call,
        report: &WorkerReport,
        unacknowledged: Vec<TaskId>,
    ) {
        let now_ms = ctx.now_ms();
        let valid_ms = Millis(self.renew_ms() * LEASE_INTERVALS);
        let valid_until_ms = call.sent_ms.saturating_add(valid_ms);
        let Some(registered) = self.workers.get_mut(&call.worker) else {
            return;
        };
        registered.claim_sent_ms = None;
        let known = registered.worker.report();
        let stale = call.sent_ms < registered.confirmed_sent_ms
            || (report.incarnation == known.incarnation && report.sequence < known.sequence);
        if call.token < registered.token || stale {
            registered.next_claim_ms = now_ms;
            return;
        }
        let restarted = report.incarnation != known.incarnation;
        if restarted {
            self.suspend(ctx, &call.worker);
        }
        let leaving = report.leaving || Self::is_drained(ctx.drains, report);
        let Some(registered) = self.workers.remove(&call.worker) else {
            return;
        };
        let mut listed: Vec<TaskId> = report.running.iter().map(|r| r.task.clone()).collect();
        listed.extend(unacknowledged);
        let active =
            registered
                .worker
                .joining()
                .confirm(report.clone(), call.token, valid_until_ms);
        let registered = super::RegisteredWorker {
            worker: AnyWorker::Active(active),
            last_contact_ms: now_ms,
            confirmed_sent_ms: call.sent_ms,
            confirmed_sequence: report.sequence,
            missed_claims: 0,
            listed,
            confirmed: true,
            ..registered
        };
        self.workers.insert(call.worker.clone(), registered);
        self.reconcile(ctx, call, report);
        self.report_to_scheduler(ctx, report);
        if leaving {
            self.worker_leaving(ctx, &call.worker);
        }
        self.decision_due = true;
    }

    /// Handles a renewal that refers to an earlier full report instead of repeating it.
    fn renewed(&mut self, ctx: &PlacerContext<'_, '_>, call: &Call, sequence: u64) {
        let now_ms = ctx.now_ms();
        let valid_ms = Millis(self.renew_ms() * LEASE_INTERVALS);
        let Some(registered) = self.workers.get_mut(&call.worker) else {
            return;
        };
        registered.claim_sent_ms = None;
        if call.token < registered.token || call.sent_ms < registered.confirmed_sent_ms {
            registered.next_claim_ms = now_ms;
            return;
        }
        let confirmed = registered.worker.token() == Some(call.token);
        if !confirmed || registered.confirmed_sequence != sequence {
            // That report did not arrive. The reply to a claim with a higher token is a full
            // report.
            self.claim_with_higher_token(&call.worker, now_ms);
            return;
        }
        registered.last_contact_ms = now_ms;
        registered.confirmed_sent_ms = call.sent_ms;
        registered.missed_claims = 0;
        registered
            .worker
            .renew(call.sent_ms.saturating_add(valid_ms));
    }

    /// Handles the refusal of a token by a worker that holds the higher token `held`.
    pub(super) fn token_refused(&mut self, worker: &WorkerId, held: FencingToken, now_ms: Millis) {
        let mode = self.mode;
        let Some(registered) = self.workers.get_mut(worker) else {
            return;
        };
        let next = FencingToken(held.0.saturating_add(1));
        match mode {
            // A token of a later term belongs to another leader; the role of this placer is about
            // to end.
            Mode::Ledger { term } if held.0 >> 16 > term.0 => {
                registered.next_claim_ms = now_ms.saturating_add(Millis(MIN_RENEW_MS));
            }
            Mode::Ledger { .. } | Mode::Fallback => {
                registered.token = registered.token.max(next);
                registered.next_claim_ms = registered
                    .next_claim_ms
                    .min(now_ms.saturating_add(Millis(200)));
            }
        }
    }

    /// Claims a worker again with a higher token, which fences off calls with unknown outcome.
    pub(super) fn claim_with_higher_token(&mut self, worker: &WorkerId, now_ms: Millis) {
        if let Some(registered) = self.workers.get_mut(worker) {
            registered.token = FencingToken(registered.token.0.saturating_add(1));
            registered.claim_sent_ms = None;
            registered.next_claim_ms = now_ms;
        }
    }

    /// Claims the workers again that have not replied to a start in time.
    fn check_overdue_starts(&mut self, ctx: &PlacerContext<'_, '_>) {
        let now_ms = ctx.io.now_ms;
        let overdue = self
            .jobs
            .values()
            .flat_map(|job| &job.tasks)
            .filter(|task| {
                task.state == TaskState::Calling
                    && now_ms.saturating_sub(task.called_ms) >= START_TIMEOUT_MS
            });
        for task in overdue {
            if let Location::Worker { worker, .. } = &task.location
                && let Some(registered) = self.workers.get_mut(worker)
                && registered.claim_sent_ms.is_none()
                && registered.confirmed_sent_ms < task.called_ms.saturating_add(START_TIMEOUT_MS)
            {
                registered.next_claim_ms = now_ms;
            }
        }
    }

    /// Renews leases, ends those that ran out, and removes lost workers.
    pub(super) fn tick_leases(&mut self, ctx: &mut PlacerContext<'_, '_>) {
        self.check_overdue_starts(ctx);
        let now_ms = ctx.now_ms();
        let workers: Vec<WorkerId> = self.workers.keys().cloned().collect();
        for worker in workers {
            let Some(registered) = self.workers.get(&worker) else {
                continue;
            };
            let confirmed = registered.worker.token().is_some();
            let since_contact_ms = now_ms.saturating_sub(registered.last_contact_ms);
            let since_call_ms = now_ms.saturating_sub(registered.called_ms.max(self.ready_ms));
            if confirmed && now_ms >= registered.worker.valid_until_ms() {
                self.suspend(ctx, &worker);
            }
            if since_contact_ms > UNRESPONSIVE_MS && since_call_ms >= TASKS_ENDED_MS {
                self.worker_lost(ctx, &worker);
            } else {
                self.claim_if_due(ctx, &worker);
            }
        }
        self.tick_recovering(ctx);
    }

    /// Ends a worker's claim: its free capacity is unknown until a claim is confirmed again.
    pub(super) fn suspend(&mut self, ctx: &mut PlacerContext<'_, '_>, worker: &WorkerId) {
        let Some(registered) = self.workers.remove(worker) else {
            return;
        };
        let scheduled = registered.scheduled;
        let registered = super::RegisteredWorker {
            worker: AnyWorker::Joining(registered.worker.joining()),
            scheduled: false,
            ..registered
        };
        self.workers.insert(worker.clone(), registered);
        if scheduled {
            self.scheduler.remove_worker(ctx.now_ms(), worker);
        }
        self.tasks_unreachable(ctx, worker);
    }
}
