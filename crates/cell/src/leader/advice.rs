//! Calls to the policy service, spread over the entry VMs.
//!
//! The service handles the calls of one VM one after the other, so each call goes to the VM that
//! is expected to be free first. Long calls leave part of the VMs free for short ones.

use acaciareel_types::{Millis, SortedVec, VmId};

use crate::{AdviceCost, StepKey, WorkerNumber};

/// A call that takes longer is a long one: the work of urgent queues starts within some hundred
/// milliseconds, which a call before it must not use up.
const LONG_CALL_MS: u64 = 60;
/// A VM whose earlier calls take longer than this gets no further one. Calls that wait at the VM
/// cannot be put in order of urgency any more, and after an outage hundreds of steps ask at once:
/// they would wait longer than an answer is waited for, and all be asked again.
const MAX_BACKLOG_MS: u64 = 250;
/// Weight of the latest answer in the usual overhead of a VM, in thousandths.
const OVERHEAD_WEIGHT_PERMILLE: u64 = 200;
/// Wait for an answer beyond the expected time after which the step asks elsewhere.
pub(super) const ANSWER_GRACE_MS: u64 = 1_000;
/// Wait for an answer after which none comes any more: a VM gives a call up after 3.5 s.
pub(super) const ANSWER_LIMIT_MS: u64 = 4_000;
/// Pause before a step asks again after a call without an answer.
pub(super) const RETRY_MS: u64 = 150;
/// A ticket is used only if it stays valid this long: the placement is committed before the start
/// is sent, which takes two round trips and two syncs.
pub(super) const TICKET_MARGIN_MS: u64 = 250;

/// A permission to start the tasks of a step on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Ticket {
    pub text: String,
    pub valid_until_ms: Millis,
}

/// What is known of the workers that may run a step.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct StepAdvice {
    /// Workers that were asked about, sorted.
    pub asked: Vec<WorkerNumber>,
    /// Workers that may run the step. Which they are does not change; their tickets run out.
    pub allowed: SortedVec<WorkerNumber, Ticket>,
    /// Call under way.
    pub call: Option<u64>,
    /// Time before which no further call is made.
    pub not_before_ms: Millis,
    /// Time before which no further workers are asked about.
    pub widen_ms: Millis,
}

impl StepAdvice {
    /// Returns the ticket for a worker, if it stays valid long enough.
    pub fn ticket(&self, worker: WorkerNumber, now_ms: Millis) -> Option<&Ticket> {
        let least_ms = now_ms.saturating_add(Millis(TICKET_MARGIN_MS));
        let ticket = self.allowed.get(&worker);
        ticket.filter(|ticket| ticket.valid_until_ms > least_ms)
    }
}

/// A call under way.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct AdviceCall {
    pub step: StepKey,
    pub workers: Vec<WorkerNumber>,
    pub vm: VmId,
    pub sent_ms: Millis,
    /// How long the service takes for the call.
    pub cost_ms: u64,
    /// Time at which the service should be done.
    pub expected_ms: Millis,
    pub valid_ms: u64,
    /// Whether the step is a gang.
    pub gang: bool,
    /// Whether the answer is so late that the step may ask elsewhere. The service still works on
    /// the call, and its answer is still used.
    pub overdue: bool,
}

/// Returns how long the service takes for a call.
pub(super) fn call_ms(cost: &AdviceCost, workers: usize) -> u64 {
    let workers = u64::try_from(workers).unwrap_or(u64::MAX);
    (cost.call_us + cost.per_worker_us.saturating_mul(workers)).div_ceil(1_000)
}

/// A VM that asks.
#[derive(Clone, Copy, Debug, Default)]
struct Caller {
    /// Time at which the calls given to it should be answered.
    busy_until_ms: Millis,
    /// Time that the service takes for the calls that are not answered.
    pending_ms: u64,
    /// Calls whose answers are overdue.
    overdue_calls: u32,
    /// Usual time of an answer beyond that of the service itself.
    overhead_ms: u64,
}

impl Caller {
    /// Returns whether the VM can begin a further call by this time.
    fn is_free(&self, latest_ms: Millis) -> bool {
        self.overdue_calls == 0 && self.busy_until_ms <= latest_ms
    }
}

/// The VMs that ask.
#[derive(Clone, Debug, Default)]
pub(super) struct Callers {
    callers: SortedVec<VmId, Caller>,
}

impl Callers {
    pub fn add(&mut self, vm: VmId) {
        self.callers.get_or_insert_with(vm, Caller::default);
    }

    pub fn remove(&mut self, vm: VmId) {
        self.callers.remove(&vm);
    }

    /// Notes that an answer is overdue. Its VM gets no further call before it has answered: the
    /// call would wait behind this one, be overdue as well, and keep the queue long for good.
    pub fn overdue(&mut self, call: &AdviceCall) {
        if let Some(caller) = self.callers.get_mut(&call.vm) {
            caller.overdue_calls += 1;
        }
    }

    /// Notes that a call is over, with an answer or without one. The service now works on the
    /// other calls of the VM.
    pub fn answered(&mut self, call: &AdviceCall, now_ms: Millis) {
        let Some(caller) = self.callers.get_mut(&call.vm) else {
            return;
        };
        let late_ms = now_ms.saturating_sub(call.expected_ms).0;
        let weight = OVERHEAD_WEIGHT_PERMILLE;
        caller.overhead_ms = (caller.overhead_ms * (1_000 - weight) + late_ms * weight) / 1_000;
        caller.pending_ms = caller.pending_ms.saturating_sub(call.cost_ms);
        caller.busy_until_ms = now_ms.saturating_add(Millis(caller.pending_ms));
        caller.overdue_calls -= u32::from(call.overdue).min(caller.overdue_calls);
    }

    /// Returns how many VMs, from the first on, take calls of this length.
    fn usable(&self, call_ms: u64) -> usize {
        let count = self.callers.len();
        if call_ms > LONG_CALL_MS {
            count - count / 3
        } else {
            count
        }
    }

    /// Returns whether a call about at least one worker would find a VM.
    pub fn can_take(&self, cost: &AdviceCost, now_ms: Millis) -> bool {
        let latest_ms = now_ms.saturating_add(Millis(MAX_BACKLOG_MS));
        let mut usable = self.callers.values().take(self.usable(call_ms(cost, 1)));
        usable.any(|caller| caller.is_free(latest_ms))
    }

    /// Chooses the VM for a call; returns it with the time at which the service should be done.
    pub fn choose(
        &mut self,
        cost: &AdviceCost,
        workers: usize,
        now_ms: Millis,
    ) -> Option<(VmId, Millis)> {
        let call_ms = call_ms(cost, workers);
        let usable = self.usable(call_ms);
        let latest_ms = now_ms.saturating_add(Millis(MAX_BACKLOG_MS));
        // Short calls look at the VMs without long calls first.
        let (vm, caller) = self
            .callers
            .iter_mut()
            .enumerate()
            .take(usable)
            .filter(|(_, (_, caller))| caller.is_free(latest_ms))
            .min_by_key(|(position, (_, caller))| {
                let free_ms = caller.busy_until_ms.max(now_ms).0;
                (free_ms + caller.overhead_ms, usize::MAX - position)
            })
            .map(|(_, entry)| entry)?;
        caller.busy_until_ms = caller
            .busy_until_ms
            .max(now_ms)
            .saturating_add(Millis(call_ms));
        caller.pending_ms += call_ms;
        Some((*vm, caller.busy_until_ms))
    }
}
