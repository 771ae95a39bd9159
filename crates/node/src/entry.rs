//! Entry role: serves the callers that are connected to this VM and the workers that report to it.

use acaciareel_types::{
    Attempt, Class, Effect as RunEffect, FailureDomain, IdempotencyKey, Incarnation, Millis,
    Reason, Request, SortedVec, TaskId, Term, Verdict, VmId, WorkerId,
};

use crate::{ConnectionId, NodeSettings, Observation, Reply, io::Io, node::Node};

mod forward;
mod inquiry;
mod workers;

pub(crate) use inquiry::Inquiry;
pub(crate) use workers::{CachedReport, PendingResult};

/// Time without a ledger leader after which a home domain counts as unreachable. It covers an
/// election, which takes about 1,200 ms.
pub(crate) const NO_LEADER_MS: Millis = Millis(2_000);
/// Retry-after time of refusals that have no better estimate.
const RETRY_AFTER_MS: Millis = Millis(1_000);
/// Cost of one retry in thousandths. Each success earns `RETRY_GAIN`, so that retries stay below a
/// tenth of the successes.
const RETRY_COST: u32 = 1_000;
const RETRY_GAIN: u32 = 100;
/// Largest retry budget: 200 retries, so that many requests can be retried after the failure of a
/// placer.
const RETRY_BUDGET_MAX: u32 = 200 * RETRY_COST;

/// The placer that a request was forwarded to.
#[derive(Clone, Debug)]
pub(crate) struct Forward {
    pub to: VmId,
    /// Process epoch of the placer, as reported when the request was forwarded.
    pub process_epoch: Option<u64>,
    pub domain: FailureDomain,
    pub term: Term,
    pub submission: u64,
    pub next_send_ms: Millis,
    pub interval_ms: Millis,
}

/// A caller's request that has no verdict yet.
#[derive(Debug)]
pub(crate) struct WaitingRequest {
    pub connection: ConnectionId,
    pub request: Request,
    pub effect: RunEffect,
    pub class: Class,
    pub received_ms: Millis,
    pub deadline_ms: Millis,
    /// Placer that has the request; `None` while no placer is known for it.
    pub forward: Option<Forward>,
    /// Whether an earlier placer may have run it.
    pub may_have_run: bool,
    /// Domains that refused an idempotent request; they are not chosen again.
    pub refused_by: Vec<FailureDomain>,
}

impl WaitingRequest {
    /// Returns the verdict while the request is not forwarded.
    fn unforwarded_verdict(&self, reason: Reason) -> Verdict {
        unforwarded_verdict(Some(self.effect), self.request.attempt, reason)
    }
}

/// State of the entry role.
#[derive(Debug)]
pub(crate) struct Entry {
    /// Number by which peers detect that this VM has restarted, since a restart with an intact disk
    /// keeps the incarnation. It is also the upper half of submission and operation numbers and a
    /// part of the ids of idempotent tasks. The schema calls it `life`.
    pub process_epoch: u64,
    next_number: u64,
    pub waiting: SortedVec<u64, WaitingRequest>,
    by_submission: SortedVec<u64, u64>,
    by_connection: SortedVec<ConnectionId, u64>,
    pub inquiries: SortedVec<u64, Inquiry>,
    pub results: SortedVec<TaskId, PendingResult>,
    pub reports: SortedVec<WorkerId, CachedReport>,
    /// Workers that an operator drains, with the incarnation known at that time.
    pub drains: SortedVec<WorkerId, Option<Incarnation>>,
    /// Placer of each domain to which this VM has sent its worker reports.
    reported_to: SortedVec<FailureDomain, (VmId, Term)>,
    /// When each domain's ledger leader was last known.
    leader_seen_ms: SortedVec<FailureDomain, Millis>,
    retry_budget: u32,
    domains: Vec<FailureDomain>,
}

impl Entry {
    pub fn new(settings: &NodeSettings, _now_ms: Millis) -> Self {
        let mut domains: Vec<_> = settings
            .vms
            .values()
            .map(|peer| peer.failure_domain.clone())
            .collect();
        domains.sort();
        domains.dedup();
        Self {
            process_epoch: settings.process_epoch.number(),
            next_number: 0,
            waiting: SortedVec::new(),
            by_submission: SortedVec::new(),
            by_connection: SortedVec::new(),
            inquiries: SortedVec::new(),
            results: SortedVec::new(),
            reports: SortedVec::new(),
            drains: SortedVec::new(),
            reported_to: SortedVec::new(),
            leader_seen_ms: SortedVec::new(),
            retry_budget: RETRY_BUDGET_MAX / 2,
            domains,
        }
    }

    /// Returns the next number of a waiting request, submission or inquiry: the process epoch and a
    /// counter that begins again at each start. No other start of this VM uses the number.
    fn number(&mut self) -> u64 {
        self.next_number += 1;
        (self.process_epoch << 32) | self.next_number
    }

    /// Returns the home of a key: the domain that it names, or one chosen by its hash.
    pub fn home(&self, key: &IdempotencyKey) -> FailureDomain {
        home_domain(&self.domains, key)
    }

    fn take_retry(&mut self) -> bool {
        let allowed = self.retry_budget >= RETRY_COST;
        if allowed {
            self.retry_budget -= RETRY_COST;
        }
        allowed
    }

    fn earn_retry(&mut self) {
        self.retry_budget = (self.retry_budget + RETRY_GAIN).min(RETRY_BUDGET_MAX);
    }

    /// Returns the time since a domain's ledger leader was last known.
    pub fn leaderless_ms(&self, now_ms: Millis, domain: &FailureDomain) -> Option<Millis> {
        let seen_ms = self.leader_seen_ms.get(domain)?;
        Some(now_ms.saturating_sub(*seen_ms))
    }

    /// Returns whether a domain has had no ledger leader for longer than an election takes.
    pub(crate) fn home_unreachable(&self, now_ms: Millis, home: &FailureDomain) -> bool {
        let seen_ms = self.leader_seen_ms.get(home);
        seen_ms.is_none_or(|seen_ms| now_ms.saturating_sub(*seen_ms) > NO_LEADER_MS)
    }
}

/// Returns the home of a key in a sorted list of domains.
pub(crate) fn home_domain(domains: &[FailureDomain], key: &IdempotencyKey) -> FailureDomain {
    let named = domains.iter().find(|domain| {
        key.as_str()
            .strip_prefix(domain.as_str())
            .is_some_and(|rest| rest.starts_with('/'))
    });
    if let Some(domain) = named {
        return domain.clone();
    }
    let count = u64::try_from(domains.len()).unwrap_or(u64::MAX).max(1);
    let chosen = usize::try_from(key.stable_hash() % count).unwrap_or(0);
    domains[chosen].clone()
}

fn not_run(reason: Reason) -> Verdict {
    Verdict::NotRun {
        reason,
        retry_after_ms: RETRY_AFTER_MS,
    }
}

impl Node {
    /// Handles a caller's request.
    pub(crate) fn submit(
        &mut self,
        connection: ConnectionId,
        mut request: Request,
        io: &mut Io<'_>,
    ) {
        let refusal = if self.stop.stopping() {
            Some(Reason::Stopping)
        } else if self.tables.version().0 == 0 {
            Some(Reason::TablesUnavailable)
        } else {
            None
        };
        let route = self.tables.tables().routes().get(&request.kind);
        let refusal = refusal.or(route.is_none().then_some(Reason::UnknownKind));
        let (Some(route), None) = (route, refusal) else {
            let reason = refusal.unwrap_or(Reason::UnknownKind);
            let verdict = unforwarded_verdict(route.map(|r| r.effect), request.attempt, reason);
            io.reply(connection, Reply::Verdict(verdict));
            return;
        };
        if request.time_limit_ms == Millis(0) || request.time_limit_ms > route.time_limit_ms {
            request.time_limit_ms = route.time_limit_ms;
        }
        let waiting = WaitingRequest {
            connection,
            effect: route.effect,
            class: route.class,
            received_ms: io.now_ms,
            deadline_ms: io.now_ms.saturating_add(request.time_limit_ms),
            forward: None,
            may_have_run: false,
            refused_by: Vec::new(),
            request,
        };
        let id = self.entry.number();
        self.entry.waiting.insert(id, waiting);
        self.entry.by_connection.insert(connection, id);
        self.dispatch(id, io);
    }

    /// Answers a caller and removes the request.
    pub(crate) fn answer_caller(&mut self, id: u64, verdict: Verdict, io: &mut Io<'_>) {
        let Some(waiting) = self.entry.waiting.remove(&id) else {
            return;
        };
        self.entry.by_connection.remove(&waiting.connection);
        if let Some(forward) = &waiting.forward {
            self.entry.by_submission.remove(&forward.submission);
        }
        let (name, reason) = match &verdict {
            Verdict::Ran(_) => {
                self.entry.earn_retry();
                ("ran", None)
            }
            Verdict::NotRun { reason, .. } => ("not_run", Some(*reason)),
            Verdict::MayHaveRun { reason } => ("may_have_run", Some(*reason)),
        };
        io.observe(Observation::Answered {
            tenant: waiting.request.tenant,
            class: waiting.class,
            verdict: name,
            reason,
            total_ms: io.now_ms.saturating_sub(waiting.received_ms),
        });
        io.reply(waiting.connection, Reply::Verdict(verdict));
    }

    /// Removes what waits on a connection that the other side has closed.
    pub(crate) fn connection_closed(&mut self, connection: ConnectionId, io: &mut Io<'_>) {
        self.entry
            .inquiries
            .retain(|_, inquiry| inquiry.connection != connection);
        self.entry
            .results
            .retain(|_, result| result.connection != connection);
        self.operators.connection_closed(connection);
        let Some(id) = self.entry.by_connection.remove(&connection) else {
            return;
        };
        let Some(waiting) = self.entry.waiting.remove(&id) else {
            return;
        };
        if let Some(forward) = waiting.forward {
            self.entry.by_submission.remove(&forward.submission);
            if waiting.effect == RunEffect::Idempotent {
                // No caller waits for the answer any more, so a queued request need not run.
                let message = crate::PeerMessage::Inquire {
                    inquiry: forward.submission,
                    domain: forward.domain,
                    tenant: waiting.request.tenant,
                    key: waiting.request.key,
                    cancel: true,
                };
                io.send(forward.to, message);
            }
        }
    }

    /// Resends and retries requests, and answers them at the time limit.
    pub(crate) fn tick_entry(&mut self, io: &mut Io<'_>) {
        let mut leaders = SortedVec::new();
        for domain in self.entry.domains.clone() {
            if let Some(leader) = self.peers.ledger_leader(io.now_ms, &domain) {
                self.entry.leader_seen_ms.insert(domain.clone(), io.now_ms);
                leaders.insert(domain, leader);
            }
        }
        let due: Vec<u64> = self
            .entry
            .waiting
            .iter()
            .filter(|(_, waiting)| self.needs_action(io.now_ms, waiting, &leaders))
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            self.tick_waiting(id, io);
        }
        self.tick_inquiries(io);
        self.tick_results(io);
    }

    /// Returns whether anything is due for a waiting request: the verdict at its time limit, a
    /// resend, or the search for another placer. The leaders are found once per tick: 1,150
    /// searches for them, one per request, took 3 % of a core.
    fn needs_action(
        &self,
        now_ms: Millis,
        waiting: &WaitingRequest,
        leaders: &SortedVec<FailureDomain, (VmId, Term)>,
    ) -> bool {
        let Some(forward) = &waiting.forward else {
            return true;
        };
        let leader = leaders.get(&forward.domain);
        let replaced = waiting.effect != RunEffect::Idempotent
            && leader.is_some_and(|leader| *leader != (forward.to, forward.term));
        now_ms >= waiting.deadline_ms
            || now_ms >= forward.next_send_ms
            || replaced
            || self.is_forward_lost(now_ms, forward)
    }

    fn tick_waiting(&mut self, id: u64, io: &mut Io<'_>) {
        let Some(waiting) = self.entry.waiting.get(&id) else {
            return;
        };
        if io.now_ms >= waiting.deadline_ms {
            let verdict = overdue_verdict(waiting);
            self.answer_caller(id, verdict, io);
        } else if waiting.forward.is_some() {
            self.check_forward(id, io);
        } else {
            self.dispatch(id, io);
        }
    }
}

/// Returns the verdict on a request whose time limit has run out on its entry VM.
fn overdue_verdict(waiting: &WaitingRequest) -> Verdict {
    if waiting.forward.is_some() || waiting.may_have_run {
        let reason = Reason::TimeLimit;
        return Verdict::MayHaveRun { reason };
    }
    waiting.unforwarded_verdict(Reason::TimeLimit)
}

/// Returns the verdict on an attempt that was not forwarded. An earlier attempt of the caller may
/// have run. `effect` is `None` if this VM has no route for the request.
fn unforwarded_verdict(effect: Option<RunEffect>, attempt: Attempt, reason: Reason) -> Verdict {
    if effect != Some(RunEffect::Idempotent) && attempt.0 > 1 {
        Verdict::MayHaveRun { reason }
    } else {
        not_run(reason)
    }
}
