//! The policy service of a users' deployment: it handles one call of a VM at a time, takes as long as
//! the queue says, and hands out tickets that expire.

use std::collections::BTreeMap;

use acaciareel_cell::{AdviceCost, AdviceRequest, JobId, QueueRow, StepKey, WorkerRecord};
use acaciareel_types::VmId;

/// Most calls of one VM that wait; the service refuses further ones.
const MAX_WAITING_CALLS: usize = 32;
/// Time after which a VM ends a call without a response.
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

/// Reply to a call of the policy service: its delay, and the rows of allowed workers and tickets.
pub(super) type Response = (u64, Option<Vec<(String, String)>>);

/// State of the policy service.
#[derive(Debug, Default)]
pub struct PolicyService {
    /// Share of the workers that each queue's policy allows, in thousandths.
    allowed_permille: BTreeMap<&'static str, u64>,
    /// Disturbed VMs.
    pub disturbed: BTreeMap<VmId, Disturbance>,
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

    /// Handles a call. `record_of` returns the record of a worker that is up.
    pub(super) fn call<'a>(
        &mut self,
        vm: VmId,
        request: &AdviceRequest,
        now_ms: u64,
        record_of: impl Fn(&str) -> Option<&'a WorkerRecord>,
    ) -> Response {
        let cost = self.costs[self.queue_of(&request.step)];
        let handled = self.handled_ms.entry(vm).or_default();
        handled.retain(|at_ms| *at_ms > now_ms);
        if handled.len() > MAX_WAITING_CALLS {
            return (0, None);
        }
        let workers = request.worker_ids.len() as u64;
        let begin_ms = handled.last().copied().unwrap_or(now_ms);
        let done_ms = begin_ms + (cost.call_us + cost.per_worker_us * workers).div_ceil(1_000);
        handled.push(done_ms);
        let until_ms = done_ms + cost.ticket_valid_ms;
        let response_ms = match self.disturbed.get(&vm) {
            None => Some(done_ms),
            Some(Disturbance::Late { by_ms }) => Some(done_ms + by_ms),
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
    pub(super) fn accepts(
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
