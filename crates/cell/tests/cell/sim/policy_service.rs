//! Policy service whose calls take time for each worker named, and whose tickets expire.

use std::collections::BTreeMap;

use acaciareel_cell::{AdviceCost, AdviceRequest, AdviceResponse, Event, PeerMessage};
use acaciareel_types::VmId;

use super::{CallOrigin, LINK_MS, Sim, may_run};

/// Share of the workers that [`may_run`] names which the service allows, in percent.
const ALLOWED_PERCENT: u64 = 60;
/// Most workers named in one call (bound of the platform).
const MAX_WORKERS: usize = 100;
/// Most calls of one VM that wait (bound of the platform).
const MAX_WAITING_CALLS: usize = 32;
/// Time after which a VM ends a call, as in the daemon.
const CALL_TIMEOUT_MS: u64 = 3_500;

/// State and faults of the service.
#[derive(Debug, Default)]
pub struct PolicyService {
    /// Time of a call and validity of its tickets; `None` if each call takes [`Sim::advice_ms`] and
    /// tickets do not expire.
    pub cost: Option<AdviceCost>,
    /// Fault: percentage of requests and responses between VMs that are lost while their connections
    /// stay open.
    pub lost_percent: u64,
    /// Ends of the calls of each VM.
    call_ends_ms: BTreeMap<VmId, Vec<u64>>,
    /// Calls that were refused because they named too many workers.
    pub oversized_calls: u64,
}

impl PolicyService {
    /// Handles a call that arrives at `now_ms`. Returns the response with the time at which the VM
    /// has it, or `None` if calls have no cost.
    pub(super) fn call(
        &mut self,
        now_ms: u64,
        vm: VmId,
        request: &AdviceRequest,
        incarnation_of: impl Fn(&str) -> Option<u64>,
    ) -> Option<(u64, AdviceResponse)> {
        let cost = self.cost?;
        let open_until_ms = self.call_ends_ms.entry(vm).or_default();
        open_until_ms.retain(|end_ms| *end_ms > now_ms);
        self.oversized_calls += u64::from(request.worker_ids.len() > MAX_WORKERS);
        if open_until_ms.len() > MAX_WAITING_CALLS || request.worker_ids.len() > MAX_WORKERS {
            return Some((now_ms + LINK_MS, None));
        }
        let call_us = cost.call_us + cost.per_worker_us * request.worker_ids.len() as u64;
        let begin_ms = open_until_ms.last().copied().unwrap_or(0).max(now_ms);
        let end_ms = begin_ms + call_us / 1_000;
        open_until_ms.push(end_ms);
        if end_ms > now_ms + CALL_TIMEOUT_MS {
            return Some((now_ms + CALL_TIMEOUT_MS, None));
        }
        let valid_until_ms = end_ms + cost.ticket_valid_ms;
        let allowed = request.worker_ids.iter();
        let allowed = allowed.filter(|id| is_allowed(&request.step, id));
        let rows = allowed.filter_map(|id| {
            let incarnation = incarnation_of(id)?;
            Some((id.clone(), format!("{incarnation} {valid_until_ms}")))
        });
        Some((end_ms + LINK_MS, Some(rows.collect())))
    }

    /// Returns whether a worker of this incarnation accepts a ticket; queues without a service have
    /// none.
    pub(super) fn accepts(&self, now_ms: u64, ticket: Option<&str>, incarnation: u64) -> bool {
        let ticket = ticket.filter(|_| self.cost.is_some());
        ticket.is_none_or(|ticket| {
            let fields = ticket.split_once(' ');
            fields.is_some_and(|(of_incarnation, valid_until_ms)| {
                of_incarnation == incarnation.to_string()
                    && valid_until_ms
                        .parse()
                        .is_ok_and(|until_ms| now_ms <= until_ms)
            })
        })
    }
}

/// Returns whether the service allows a step on a worker.
pub fn is_allowed(step: &str, worker_id: &str) -> bool {
    let bytes = worker_id.bytes().chain(step.bytes());
    let hash = bytes.fold(0x9E37_79B9_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    may_run(step, worker_id) && hash / 11 % 100 < ALLOWED_PERCENT
}

impl Sim {
    /// Calls the policy service from a VM.
    pub(super) fn request_advice(
        &mut self,
        vm: VmId,
        (call, for_vm): CallOrigin,
        request: &AdviceRequest,
    ) {
        self.advice_requests_sent += 1;
        self.open_advice_requests = self.open_advice_requests.saturating_sub(1);
        let sent_ms = self.now_ms + self.turns.effects_delay_ms;
        let incarnation_of = |id: &str| {
            let worker = self.workers.get(id).filter(|worker| worker.alive);
            worker.map(|worker| worker.record.incarnation_started_ms)
        };
        let timed = self
            .policy_service
            .call(sent_ms, vm, request, incarnation_of);
        let (at_ms, response) = timed.unwrap_or_else(|| {
            let busy_ms = self.advice_busy_ms.entry(vm).or_default();
            *busy_ms = (*busy_ms).max(self.now_ms) + self.advice_ms;
            let allowed = request.worker_ids.iter();
            let allowed = allowed.filter(|id| may_run(&request.step, id));
            let rows = allowed.map(|id| (id.clone(), format!("ticket-{id}")));
            (sent_ms + *busy_ms - self.now_ms, Some(rows.collect()))
        });
        let event = Event::AdviceReceived {
            call,
            for_vm,
            response,
        };
        self.post(at_ms - sent_ms, vm, event);
    }

    /// Returns whether a message is lost by a fault of the exchange about advice.
    pub(super) fn is_advice_lost(&mut self, message: &PeerMessage) -> bool {
        let about_advice = matches!(
            message,
            PeerMessage::AdviceRequest { .. } | PeerMessage::AdviceResponse { .. }
        );
        let percent = self.policy_service.lost_percent;
        about_advice && percent > 0 && self.random(100) < percent
    }
}
