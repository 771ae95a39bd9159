//! The policy service of a users' deployment: it handles one call of a VM at a time, takes as long as
//! the queue says, and hands out tickets that expire.

use std::collections::BTreeMap;

use acaciareel_cell::{
    AdviceCost, AdviceRequest, AdviceResponse, Event, JobId, PeerMessage, QueueRow, StepKey,
    WorkerRecord, WorkerRequest,
};
use acaciareel_types::VmId;

use super::{CallOrigin, LINK_MS, Sim, may_run};

/// Most workers named in one call (bound of the platform); the service refuses larger calls.
const MAX_WORKERS: usize = 100;
/// Most calls of one VM that wait (bound of the platform); the service refuses further ones.
const MAX_WAITING_CALLS: usize = 32;
/// Time after which a VM ends a call without a response, as in the daemon.
const CALL_TIMEOUT_MS: u64 = 3_500;

/// How the responses to a VM are disturbed.
#[derive(Clone, Copy, Debug)]
pub enum Disturbance {
    /// The VM hands responses on this much later.
    Late { by_ms: u64 },
    /// Responses are lost.
    Lost,
}

/// Calls about one step so far.
#[derive(Clone, Debug, Default)]
pub struct StepCalls {
    /// Times of the responses, or of their absence, that are still to come.
    pub open_until_ms: Vec<u64>,
    /// Workers that were allowed in a response, with the end of the ticket.
    pub tickets_until_ms: BTreeMap<String, u64>,
}

/// Reply to a call: its delay, and the rows of allowed workers and tickets.
type Response = (u64, AdviceResponse);

/// State and faults of the policy service.
#[derive(Debug, Default)]
pub struct PolicyService {
    /// Share of the workers that each queue's policy allows, in thousandths.
    allowed_permille: BTreeMap<&'static str, u64>,
    /// Disturbed VMs.
    pub disturbed: BTreeMap<VmId, Disturbance>,
    /// Fault: percentage of requests and responses between VMs that are lost while their connections
    /// stay open.
    pub lost_percent: u64,
    /// Calls that were refused because they named too many workers.
    pub oversized_calls: u64,
    /// Calls about each step, by the name of the step.
    pub calls: BTreeMap<String, StepCalls>,
    costs: BTreeMap<String, AdviceCost>,
    queue_of_job: BTreeMap<JobId, String>,
    /// Times at which the service has handled the calls of each VM.
    handled_ms: BTreeMap<VmId, Vec<u64>>,
}

impl PolicyService {
    /// Creates a service with the share of the workers that each queue's policy allows, in
    /// thousandths.
    pub fn new(allowed_permille: BTreeMap<&'static str, u64>) -> Self {
        Self {
            allowed_permille,
            ..Self::default()
        }
    }

    /// Takes the costs of calls from a queue table.
    pub(super) fn set_costs(&mut self, rows: &[QueueRow]) {
        let costs = rows
            .iter()
            .filter_map(|row| Some((row.name.clone(), row.advice?)));
        self.costs = costs.collect();
    }

    pub(super) fn job_submitted(&mut self, job: JobId, queue: &str) {
        self.queue_of_job.insert(job, queue.to_owned());
    }

    fn queue_of(&self, step: &str) -> &str {
        let job = step.split('.').next().expect("job id");
        let job = JobId(u64::from_str_radix(job, 16).expect("job id"));
        &self.queue_of_job[&job]
    }

    /// Returns whether the policy of a step's queue allows a worker.
    pub fn allows(&self, step: &str, worker_id: &str) -> bool {
        let permille = self.allowed_permille.get(self.queue_of(step));
        let permille = permille.copied().unwrap_or(1_000);
        let hash = step.bytes().chain(worker_id.bytes());
        let hash = hash.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        (hash ^ (hash >> 31)).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32 & 0xffff
            < permille * 0x1_0000 / 1_000
    }

    /// Handles a call that arrives at `now_ms`. `record_of` returns the record of a worker that is up.
    fn call<'a>(
        &mut self,
        vm: VmId,
        request: &AdviceRequest,
        now_ms: u64,
        record_of: impl Fn(&str) -> Option<&'a WorkerRecord>,
    ) -> Response {
        let cost = self.costs[self.queue_of(&request.step)];
        let is_oversized = request.worker_ids.len() > MAX_WORKERS;
        self.oversized_calls += u64::from(is_oversized);
        let handled = self.handled_ms.entry(vm).or_default();
        handled.retain(|at_ms| *at_ms > now_ms);
        if is_oversized || handled.len() > MAX_WAITING_CALLS {
            return (LINK_MS, None);
        }
        let workers = request.worker_ids.len() as u64;
        let begin_ms = handled.last().copied().unwrap_or(now_ms);
        let done_ms = begin_ms + (cost.call_us + cost.per_worker_us * workers).div_ceil(1_000);
        handled.push(done_ms);
        let until_ms = done_ms + cost.ticket_valid_ms;
        let response_ms = match self.disturbed.get(&vm) {
            None => Some(done_ms + LINK_MS),
            Some(Disturbance::Late { by_ms }) => Some(done_ms + LINK_MS + by_ms),
            Some(Disturbance::Lost) => None,
        };
        let response_ms = response_ms.filter(|at_ms| *at_ms <= now_ms + CALL_TIMEOUT_MS);
        let allowed = request.worker_ids.iter();
        let allowed: Vec<&String> = allowed
            .filter(|id| self.allows(&request.step, id))
            .collect();
        let calls = self.calls.entry(request.step.clone()).or_default();
        calls.open_until_ms.retain(|at_ms| *at_ms > now_ms);
        calls
            .open_until_ms
            .push(response_ms.unwrap_or(now_ms + CALL_TIMEOUT_MS));
        let Some(response_ms) = response_ms else {
            return (CALL_TIMEOUT_MS, None);
        };
        let rows = allowed.into_iter().filter_map(|id| {
            calls.tickets_until_ms.insert(id.clone(), until_ms);
            let incarnation = record_of(id)?.incarnation_started_ms;
            Some((
                id.clone(),
                format!("{}/{until_ms}/{incarnation}", request.step),
            ))
        });
        (response_ms - now_ms, Some(rows.collect()))
    }

    /// Returns whether a worker accepts a ticket for a step, or needs none.
    fn accepts(
        &self,
        step: StepKey,
        ticket: Option<&str>,
        record: &WorkerRecord,
        now_ms: u64,
    ) -> bool {
        if !self.costs.contains_key(&self.queue_of_job[&step.job]) {
            return true;
        }
        let mut parts = ticket.unwrap_or_default().split('/');
        let mut next = || parts.next().unwrap_or_default();
        let (of_step, until_ms, incarnation) = (next(), next(), next());
        of_step == step.to_string()
            && until_ms
                .parse::<u64>()
                .is_ok_and(|until_ms| now_ms <= until_ms)
            && incarnation == record.incarnation_started_ms.to_string()
    }
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
        let (delay_ms, response) = if let Some(policy) = &mut self.policy {
            let record_of = |id: &str| {
                let worker = self.workers.get(id).filter(|worker| worker.alive);
                worker.map(|worker| &worker.record)
            };
            policy.call(vm, request, sent_ms, record_of)
        } else {
            let busy_ms = self.advice_busy_ms.entry(vm).or_default();
            *busy_ms = (*busy_ms).max(self.now_ms) + self.advice_ms;
            let allowed = request.worker_ids.iter();
            let allowed = allowed.filter(|id| may_run(&request.step, id));
            let rows = allowed.map(|id| (id.clone(), format!("ticket-{id}")));
            (*busy_ms - self.now_ms, Some(rows.collect()))
        };
        let event = Event::AdviceReceived {
            call,
            for_vm,
            response,
        };
        self.post(delay_ms, vm, event);
    }

    /// Returns whether a live worker refuses a request to start a new run because of its ticket.
    pub(super) fn refuses_ticket(&self, worker_id: &str, request: &WorkerRequest) -> bool {
        let WorkerRequest::Start { run, ticket, .. } = request else {
            return false;
        };
        let worker = self.workers.get(worker_id).filter(|worker| worker.alive);
        let (Some(policy), Some(worker)) = (&self.policy, worker) else {
            return false;
        };
        !worker.running.contains_key(run)
            && !policy.accepts(
                run.task.step,
                ticket.as_deref(),
                &worker.record,
                self.now_ms,
            )
    }

    /// Returns whether a message is lost by a fault of the exchange about advice.
    pub(super) fn is_advice_lost(&mut self, message: &PeerMessage) -> bool {
        let about_advice = matches!(
            message,
            PeerMessage::AdviceRequest { .. } | PeerMessage::AdviceResponse { .. }
        );
        let percent = self.policy.as_ref().map_or(0, |policy| policy.lost_percent);
        about_advice && percent > 0 && self.random(100) < percent
    }
}
