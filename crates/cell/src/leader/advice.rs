//! Load of the VMs that call the policy service, and the workers it allows for each step.
//!
//! The service handles the calls of one VM one after the other, so each call goes to the VM that is
//! expected to be free first. Long calls leave part of the VMs free for short ones.

use acaciareel_types::{Millis, SortedVec, VmId};

use crate::{AdviceCost, StepKey, WorkerIncarnation, WorkerNumber};

/// A call that takes longer than this is a long one. Work of urgent queues starts within some
/// hundred milliseconds, and a call ahead of it must not use up that time.
const LONG_CALL_MS: u64 = 60;
/// A VM whose earlier calls take longer than this gets no further one. Calls queued at a VM cannot
/// be reordered by urgency any more, and after an outage hundreds of steps request advice at once:
/// their calls would wait longer than the response timeout, and all of them would be sent again.
const MAX_BACKLOG_MS: u64 = 250;
/// Weight of the latest response in the mean overhead of a VM, in thousandths.
const OVERHEAD_WEIGHT_PERMILLE: u64 = 200;
/// Delay beyond the expected time after which a response is overdue and the step may use another
/// VM.
pub(super) const RESPONSE_GRACE_MS: u64 = 1_000;
/// Time after which a call counts as having no response. A VM ends a call after 3.5 s.
pub(super) const RESPONSE_TIMEOUT_MS: u64 = 4_000;
/// Backoff of a step after a call without a response.
pub(super) const RETRY_MS: u64 = 150;
/// A ticket is used only if it stays valid for at least this long. The placement is committed
/// before the start is sent, which takes two round trips and two syncs.
pub(super) const TICKET_MARGIN_MS: u64 = 250;
/// Shortest validity that is assumed of tickets at their arrival. Without it, no step would start while
/// all VMs pass requests on more than two seconds late.
const MIN_VALIDITY_MS: u64 = 500;

/// Permission of the policy service to start the tasks of a step on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Ticket {
    pub text: String,
    pub valid_until_ms: Millis,
}

/// Responses of the policy service for one step.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct StepAdvice {
    /// Workers that were named in requests, sorted.
    pub requested: Vec<WorkerNumber>,
    /// Workers that may run the step. The service does not change its decision about a worker, but
    /// tickets expire.
    pub allowed: SortedVec<WorkerNumber, Ticket>,
    /// Number of the call under way.
    pub call: Option<u64>,
    /// Time before which the step makes no further call.
    pub not_before_ms: Millis,
    /// Time before which the step makes no request about further workers.
    pub next_widening_ms: Millis,
    /// Number of calls so far.
    pub calls: u32,
}

impl StepAdvice {
    /// Returns the ticket for a worker if it stays valid for more than [`TICKET_MARGIN_MS`].
    pub fn ticket(&self, worker: WorkerNumber, now_ms: Millis) -> Option<&Ticket> {
        let least_ms = now_ms.saturating_add(Millis(TICKET_MARGIN_MS));
        let ticket = self.allowed.get(&worker);
        ticket.filter(|ticket| ticket.valid_until_ms > least_ms)
    }

    /// Ends the validity of the ticket for a worker.
    pub fn expire_ticket(&mut self, worker: WorkerNumber) {
        if let Some(ticket) = self.allowed.get_mut(&worker) {
            ticket.valid_until_ms = Millis(0);
        }
    }
}

/// A call to the policy service that is under way.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct AdviceCall {
    pub step: StepKey,
    /// Workers in question. A ticket is valid for the incarnation of the request.
    pub workers: Vec<WorkerIncarnation>,
    pub vm: VmId,
    pub sent_ms: Millis,
    /// Time that the service takes for the call.
    pub cost_ms: u64,
    /// Expected time of the response, without the overhead of the VM.
    pub expected_ms: Millis,
    pub ticket_valid_ms: u64,
    /// Whether the step is a gang.
    pub gang: bool,
    /// Whether the response is so late that the step may use another VM. The service still handles
    /// the call, and its response is still used.
    pub overdue: bool,
}

impl AdviceCall {
    /// Returns until when the tickets of a response that arrives now are used. They count from when
    /// the service is expected to have issued them: the VM or this leader may have been slow to pass
    /// the response on, and a start with an expired ticket is refused. The service may also have
    /// issued them later, so they are used for a short time in any case.
    pub fn tickets_valid_until(&self, now_ms: Millis) -> Millis {
        let expected_end_ms = self
            .expected_ms
            .min(now_ms)
            .saturating_add(Millis(self.ticket_valid_ms));
        let shortest_ms = MIN_VALIDITY_MS.min(self.ticket_valid_ms);
        expected_end_ms.max(now_ms.saturating_add(Millis(shortest_ms)))
    }
}

/// Returns the time that the service takes for a call about a number of workers.
pub(super) fn call_ms(cost: &AdviceCost, workers: usize) -> u64 {
    let workers = u64::try_from(workers).unwrap_or(u64::MAX);
    (cost.call_us + cost.per_worker_us.saturating_mul(workers)).div_ceil(1_000)
}

/// Returns whether a call of this length may delay work of urgent queues.
pub(super) fn is_long_call(call_ms: u64) -> bool {
    call_ms > LONG_CALL_MS
}

/// Load of one VM that calls the policy service.
#[derive(Clone, Copy, Debug, Default)]
struct AdviceVm {
    /// Expected time at which the service has handled all calls of the VM.
    busy_until_ms: Millis,
    /// Time that the service takes for the open calls of the VM.
    pending_ms: u64,
    /// Open calls whose responses are overdue.
    overdue_calls: u32,
    /// Mean delay of a response beyond the time of the service itself.
    overhead_ms: u64,
}

impl AdviceVm {
    /// Returns whether the VM can begin a further call by this time.
    fn is_free(&self, latest_ms: Millis) -> bool {
        self.overdue_calls == 0 && self.busy_until_ms <= latest_ms
    }
}

/// The VMs that call the policy service.
#[derive(Clone, Debug, Default)]
pub(super) struct AdviceVms {
    vms: SortedVec<VmId, AdviceVm>,
}

impl AdviceVms {
    pub fn add(&mut self, vm: VmId) {
        self.vms.get_or_insert_with(vm, AdviceVm::default);
    }

    pub fn remove(&mut self, vm: VmId) {
        self.vms.remove(&vm);
    }

    /// Marks a response as overdue. Its VM gets no further call before it has responded: the call
    /// would wait behind this one, become overdue as well, and the queue at the VM would never
    /// shrink.
    pub fn mark_overdue(&mut self, call: &AdviceCall) {
        if let Some(state) = self.vms.get_mut(&call.vm) {
            state.overdue_calls += 1;
        }
    }

    /// Handles the end of a call, with or without a response. The service now handles the other
    /// calls of the VM.
    pub fn completed(&mut self, call: &AdviceCall, now_ms: Millis) {
        let Some(state) = self.vms.get_mut(&call.vm) else {
            return;
        };
        let late_ms = now_ms.saturating_sub(call.expected_ms).0;
        let weight = OVERHEAD_WEIGHT_PERMILLE;
        state.overhead_ms = (state.overhead_ms * (1_000 - weight) + late_ms * weight) / 1_000;
        state.pending_ms = state.pending_ms.saturating_sub(call.cost_ms);
        state.busy_until_ms = now_ms.saturating_add(Millis(state.pending_ms));
        state.overdue_calls -= u32::from(call.overdue).min(state.overdue_calls);
    }

    /// Returns how many VMs, from the first on, take calls of this length.
    fn usable(&self, call_ms: u64) -> usize {
        let count = self.vms.len();
        if is_long_call(call_ms) {
            count - count / 3
        } else {
            count
        }
    }

    /// Returns whether a VM has capacity for a call about one worker.
    pub fn can_take(&self, cost: &AdviceCost, now_ms: Millis) -> bool {
        let latest_ms = now_ms.saturating_add(Millis(MAX_BACKLOG_MS));
        let mut usable = self.vms.values().take(self.usable(call_ms(cost, 1)));
        usable.any(|state| state.is_free(latest_ms))
    }

    /// Returns how many VMs can begin a call now.
    pub fn free(&self, now_ms: Millis) -> usize {
        let vms = self.vms.values();
        vms.filter(|vm| vm.is_free(now_ms)).count()
    }

    /// Chooses the VM for a call. Returns it with the expected time of the response.
    pub fn choose(
        &mut self,
        cost: &AdviceCost,
        workers: usize,
        now_ms: Millis,
    ) -> Option<(VmId, Millis)> {
        let call_ms = call_ms(cost, workers);
        let usable = self.usable(call_ms);
        let latest_ms = now_ms.saturating_add(Millis(MAX_BACKLOG_MS));
        // Short calls prefer the VMs that take no long calls.
        let (vm, state) = self
            .vms
            .iter_mut()
            .enumerate()
            .take(usable)
            .filter(|(_, (_, state))| state.is_free(latest_ms))
            .min_by_key(|(position, (_, state))| {
                let free_ms = state.busy_until_ms.max(now_ms).0;
                (free_ms + state.overhead_ms, usize::MAX - position)
            })
            .map(|(_, entry)| entry)?;
        state.busy_until_ms = state
            .busy_until_ms
            .max(now_ms)
            .saturating_add(Millis(call_ms));
        state.pending_ms += call_ms;
        Some((*vm, state.busy_until_ms))
    }
}

#[cfg(test)]
mod tests;
