//! Forwarding of requests to placers, and their replies.

use acaciareel_types::{
    Effect as RunEffect, FailureDomain, Millis, PoolName, Reason, Term, Verdict, VmId,
};

use super::{Forward, NO_LEADER_MS};
use crate::{PeerMessage, PoolRoom, io::Io, node::Node};

/// First interval after which an unanswered submission is sent again; messages may be lost.
const FIRST_RESEND_MS: Millis = Millis(1_000);
/// Longest interval for requests that have not waited long.
const EARLY_MAX_RESEND_MS: Millis = Millis(8_000);
/// A lost answer may cost a quarter of the time that a request has waited: beyond
/// `EARLY_MAX_RESEND_MS` the interval is the waiting time divided by this.
const RESEND_WAIT_DIVISOR: u64 = 4;
/// Longest interval. With 8 s, the resends for 2,300 running tasks cost their placer 30 KB/s.
const MAX_RESEND_MS: Millis = Millis(60_000);
/// Time for a placer's refusal at the time limit to arrive before the entry VM answers by itself.
const REPLY_MARGIN_MS: Millis = Millis(100);

impl Node {
    /// Forwards a request, or answers it if no placer can be reached.
    pub(super) fn dispatch(&mut self, id: u64, io: &mut Io<'_>) {
        let Some(waiting) = self.entry.waiting.get(&id) else {
            return;
        };
        let (target, home) = if waiting.effect == RunEffect::Idempotent {
            let target = self.idempotent_target(&waiting.request.kind, &waiting.refused_by, io);
            (target, None)
        } else {
            let home = self.entry.home(&waiting.request.key);
            let leader = self.peers.ledger_leader(io.now_ms, &home);
            let target = leader.map(|(vm, term)| (home.clone(), vm, term));
            (target, Some(home))
        };
        match target {
            Some(target) => self.forward(id, target, io),
            None => self.no_target(id, home.as_ref(), io),
        }
    }

    /// Answers at once if no placer can be expected, otherwise lets the request wait.
    fn no_target(&mut self, id: u64, home: Option<&FailureDomain>, io: &mut Io<'_>) {
        let Some(waiting) = self.entry.waiting.get(&id) else {
            return;
        };
        if waiting.may_have_run {
            return;
        }
        let unreachable = match home {
            Some(home) => self.entry.home_unreachable(io.now_ms, home),
            None => io.now_ms.saturating_sub(waiting.received_ms) > NO_LEADER_MS,
        };
        if unreachable {
            let verdict = waiting.unforwarded_verdict(Reason::HomeUnreachable);
            self.answer_caller(id, verdict, io);
        }
    }

    /// Chooses the placer for an idempotent request: that of the VM's own domain if it has free
    /// slots, else the one with the most free slots, else one with workers.
    fn idempotent_target(
        &self,
        kind: &acaciareel_types::KindName,
        refused_by: &[FailureDomain],
        io: &Io<'_>,
    ) -> Option<(FailureDomain, VmId, Term)> {
        let pool = &self.tables.tables().routes().get(kind)?.pool;
        let own = &self.settings.failure_domain;
        self.peers
            .placings(io.now_ms)
            .filter(|(vm, _)| self.peers.get(*vm).is_some_and(|peer| !peer.stopping))
            .filter(|(_, placing)| !refused_by.contains(&placing.domain))
            .max_by_key(|(_, placing)| {
                let capacity = pool_capacity(&placing.rooms, pool);
                let free = capacity.map_or(0, |pool| pool.free_slots);
                let workers = capacity.map_or(0, |pool| pool.workers);
                let is_own = placing.domain == *own;
                (is_own && free > 0, free, workers > 0, is_own, placing.term)
            })
            .map(|(vm, placing)| (placing.domain.clone(), vm, placing.term))
    }

    fn forward(&mut self, id: u64, target: (FailureDomain, VmId, Term), io: &mut Io<'_>) {
        let (domain, to, term) = target;
        let submission = self.entry.number();
        let process_epoch = self.peer_process_epoch(to);
        let Some(waiting) = self.entry.waiting.get_mut(&id) else {
            return;
        };
        waiting.forward = Some(Forward {
            to,
            process_epoch,
            domain,
            term,
            submission,
            next_send_ms: io.now_ms,
            interval_ms: FIRST_RESEND_MS,
        });
        self.entry.by_submission.insert(submission, id);
        self.send_submission(id, io);
    }

    /// Returns the process epoch of a VM, if known.
    fn peer_process_epoch(&self, vm: VmId) -> Option<u64> {
        if vm == self.settings.vm {
            return Some(self.entry.process_epoch);
        }
        self.peers.get(vm).and_then(|peer| peer.process_epoch)
    }

    fn send_submission(&mut self, id: u64, io: &mut Io<'_>) {
        let Some(waiting) = self.entry.waiting.get_mut(&id) else {
            return;
        };
        let Some(forward) = &mut waiting.forward else {
            return;
        };
        forward.next_send_ms = io.now_ms.saturating_add(forward.interval_ms);
        let waited_ms = io.now_ms.saturating_sub(waiting.received_ms);
        let longest_ms =
            Millis(waited_ms.0 / RESEND_WAIT_DIVISOR).clamp(EARLY_MAX_RESEND_MS, MAX_RESEND_MS);
        forward.interval_ms = Millis(forward.interval_ms.0 * 2).min(longest_ms);
        let left = waiting.deadline_ms.saturating_sub(io.now_ms);
        let margin = REPLY_MARGIN_MS.min(Millis(left.0 / 10));
        let mut request = waiting.request.clone();
        request.time_limit_ms = left.saturating_sub(margin).max(Millis(1));
        let message = PeerMessage::Submit {
            submission: forward.submission,
            domain: forward.domain.clone(),
            term: forward.term,
            request,
        };
        io.send(forward.to, message);
    }

    /// Resends a submission, or dispatches the request again if its placer is lost or replaced.
    pub(super) fn check_forward(&mut self, id: u64, io: &mut Io<'_>) {
        let Some(waiting) = self.entry.waiting.get(&id) else {
            return;
        };
        let Some(forward) = &waiting.forward else {
            return;
        };
        let lost = self.is_forward_lost(io.now_ms, forward);
        if waiting.effect == RunEffect::Idempotent {
            if lost {
                self.retry_idempotent(id, Reason::OwnerLost, io);
            } else if io.now_ms >= forward.next_send_ms {
                self.send_submission(id, io);
            }
            return;
        }
        let leader = self.peers.ledger_leader(io.now_ms, &forward.domain);
        let replaced = leader.is_some_and(|leader| leader != (forward.to, forward.term));
        if lost || replaced {
            self.clear_forward(id, true);
            self.dispatch(id, io);
        } else if io.now_ms >= forward.next_send_ms {
            self.send_submission(id, io);
        }
    }

    /// Returns whether the VM that a request was forwarded to has restarted or is suspected.
    pub(super) fn is_forward_lost(&self, now_ms: Millis, forward: &Forward) -> bool {
        let restarted = self.peer_process_epoch(forward.to) != forward.process_epoch;
        restarted || self.peers.suspected(now_ms, forward.to)
    }

    /// Detaches a request from its placer, which may have run it if `may_have_run` is set.
    fn clear_forward(&mut self, id: u64, may_have_run: bool) {
        let Some(waiting) = self.entry.waiting.get_mut(&id) else {
            return;
        };
        waiting.may_have_run |= may_have_run;
        if let Some(forward) = waiting.forward.take() {
            self.entry.by_submission.remove(&forward.submission);
        }
    }

    /// Dispatches an idempotent request again, within the retry budget.
    fn retry_idempotent(&mut self, id: u64, reason: Reason, io: &mut Io<'_>) {
        self.clear_forward(id, true);
        if self.entry.take_retry() {
            self.dispatch(id, io);
        } else {
            self.answer_caller(id, Verdict::MayHaveRun { reason }, io);
        }
    }

    /// Handles a placer's verdict.
    pub(crate) fn submit_answered(&mut self, submission: u64, verdict: Verdict, io: &mut Io<'_>) {
        let Some(id) = self.entry.by_submission.get(&submission).copied() else {
            return;
        };
        let Some(waiting) = self.entry.waiting.get(&id) else {
            return;
        };
        let idempotent = waiting.effect == RunEffect::Idempotent;
        match verdict {
            Verdict::MayHaveRun { reason } if idempotent && reason != Reason::Cancelled => {
                self.retry_idempotent(id, reason, io);
            }
            Verdict::NotRun { reason, .. } if idempotent && other_domain_may_accept(reason) => {
                self.try_other_domain(id, verdict, io);
            }
            // The ledger of a later leader contains each earlier `Admit` that will ever be
            // committed, so a refused `once` request did not run. An `exclusive` one may have ended
            // without an answer and been withdrawn by the earlier leader.
            Verdict::NotRun { reason, .. }
                if waiting.may_have_run && waiting.effect != RunEffect::Once =>
            {
                self.answer_caller(id, Verdict::MayHaveRun { reason }, io);
            }
            verdict => self.answer_caller(id, verdict, io),
        }
    }

    /// Forwards a refused request to another domain with free slots; each domain is tried once.
    fn try_other_domain(&mut self, id: u64, verdict: Verdict, io: &mut Io<'_>) {
        let Some(waiting) = self.entry.waiting.get_mut(&id) else {
            return;
        };
        if let Some(forward) = &waiting.forward {
            waiting.refused_by.push(forward.domain.clone());
        }
        let kind = waiting.request.kind.clone();
        let refused_by = waiting.refused_by.clone();
        let may_have_run = waiting.may_have_run;
        let pool = self.tables.tables().routes().get(&kind).map(|r| &r.pool);
        let other_domain =
            self.idempotent_target(&kind, &refused_by, io)
                .filter(|(domain, vm, _)| {
                    pool.is_some_and(|pool| self.has_free_slots(*vm, domain, pool))
                });
        match (other_domain, verdict) {
            (Some(target), _) => {
                self.clear_forward(id, false);
                self.forward(id, target, io);
            }
            (None, Verdict::NotRun { reason, .. }) if may_have_run => {
                self.answer_caller(id, Verdict::MayHaveRun { reason }, io);
            }
            (None, verdict) => self.answer_caller(id, verdict, io),
        }
    }

    fn has_free_slots(&self, vm: VmId, domain: &FailureDomain, pool: &PoolName) -> bool {
        let placing = self.peers.get(vm).map(|peer| &peer.placing);
        placing
            .and_then(|placing| placing.iter().find(|p| p.domain == *domain))
            .and_then(|placing| pool_capacity(&placing.rooms, pool))
            .is_some_and(|pool| pool.free_slots > 0)
    }

    /// Handles the reply of a VM that is not the chosen placer. In the process in which it was
    /// chosen, the VM has done nothing with the submission; an earlier process may have run it.
    pub(crate) fn not_placer(
        &mut self,
        from: VmId,
        submission: u64,
        process_epoch: u64,
        io: &mut Io<'_>,
    ) {
        let Some(id) = self.entry.by_submission.get(&submission).copied() else {
            return;
        };
        let Some(forward) = self
            .entry
            .waiting
            .get(&id)
            .and_then(|waiting| waiting.forward.clone())
            .filter(|forward| forward.to == from)
        else {
            return;
        };
        if let Some(peer) = self.peers.get_mut(from) {
            peer.placing
                .retain(|p| p.domain != forward.domain || p.term != forward.term);
        }
        self.clear_forward(id, forward.process_epoch != Some(process_epoch));
        self.dispatch(id, io);
    }

    /// Refuses every waiting request that is not forwarded and that no earlier placer may have run.
    pub(crate) fn refuse_unforwarded(&mut self, reason: Reason, io: &mut Io<'_>) {
        let verdicts: Vec<(u64, Verdict)> = self
            .entry
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.forward.is_none() && !waiting.may_have_run)
            .map(|(id, waiting)| (*id, waiting.unforwarded_verdict(reason)))
            .collect();
        for (id, verdict) in verdicts {
            self.answer_caller(id, verdict, io);
        }
    }
}

/// Returns whether another domain may accept a request that was refused for this reason.
fn other_domain_may_accept(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::NoWorkers
            | Reason::QueueFull
            | Reason::PredictedWait
            | Reason::NeverFits
            | Reason::WorkerRefused
            | Reason::Stopping
    )
}

fn pool_capacity<'a>(pools: &'a [PoolRoom], name: &PoolName) -> Option<&'a PoolRoom> {
    pools.iter().find(|pool| pool.pool == *name)
}
