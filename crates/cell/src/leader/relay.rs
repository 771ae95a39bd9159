//! Calls to workers through other control VMs.
//!
//! An HTTP exchange with a worker takes ten times the processor time of a message to another
//! control VM. With hundreds of workers the leader therefore has the other control VMs make its
//! calls. Each worker has one relay, in its own failure domain if a control VM is there. A relay
//! makes no decisions, except that it drops a start that has waited for too long on its way or at the
//! relay: meanwhile the task may have completed elsewhere. Other late calls are checked by the worker
//! against the same lease and fencing token as any late command.

use acaciareel_types::{Millis, SortedVec, VmId};

use super::Leader;
use crate::{
    CellState, Effect, PeerMessage, WorkerNumber, WorkerRecord, WorkerReply, WorkerRequest, io::Io,
};

/// Number of workers from which on calls are relayed.
pub(crate) const MIN_WORKERS_FOR_RELAY: usize = 120;
/// Added to the time limit of a call if it is relayed.
const RELAY_GRACE_MS: u64 = 150;

/// Control VMs that relay calls, and the calls sent to them.
#[derive(Clone, Debug, Default)]
pub(super) struct Relays {
    /// Failure domain of each control VM that is reachable as a relay.
    vms: SortedVec<VmId, String>,
    /// Relay and deadline of each call under way.
    calls: SortedVec<u64, (VmId, Millis)>,
}

impl Relays {
    fn choose(&self, target: &CallTarget) -> Option<VmId> {
        let same_domain: Vec<VmId> = self
            .vms
            .iter()
            .filter(|(_, domain)| **domain == target.failure_domain)
            .map(|(vm, _)| *vm)
            .collect();
        let all: Vec<VmId> = self.vms.keys().copied().collect();
        let usable = if same_domain.is_empty() {
            &all
        } else {
            &same_domain
        };
        let chosen = target.spread.checked_rem(usable.len() as u64)?;
        usable.get(usize::try_from(chosen).ok()?).copied()
    }
}

/// The process that a call is meant for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct CallTarget {
    address: String,
    worker_id: String,
    failure_domain: String,
    /// Spreads targets over the relays of a failure domain.
    spread: u64,
}

impl CallTarget {
    pub fn new(record: &WorkerRecord, spread: u64) -> Self {
        Self {
            address: record.address.clone(),
            worker_id: record.id.clone(),
            failure_domain: record.failure_domain.clone(),
            spread,
        }
    }
}

impl Leader {
    /// Adds a control VM as a relay, or updates its failure domain.
    pub fn relay_joined(&mut self, vm: VmId, failure_domain: &str) {
        if self
            .relays
            .vms
            .get(&vm)
            .is_none_or(|known| known != failure_domain)
        {
            self.relays.vms.insert(vm, failure_domain.to_owned());
        }
    }

    /// Removes a control VM as a relay. Its open calls end without a reply.
    pub fn relay_left(&mut self, vm: VmId, state: &CellState, io: &mut Io<'_>) {
        if self.relays.vms.remove(&vm).is_some() {
            self.fail_relay_calls(|(relay, _)| *relay == vm, state, io);
        }
    }

    /// Calls a worker, directly or through its relay.
    pub(super) fn call_worker(
        &mut self,
        number: WorkerNumber,
        call: u64,
        request: WorkerRequest,
        timeout_ms: u64,
        io: &mut Io<'_>,
    ) {
        let Some(view) = self.workers.get_mut(&number) else {
            return;
        };
        view.last_call_ms = io.now_ms;
        let target = CallTarget::new(&view.record, u64::from(number.0));
        self.call_target(target, call, request, timeout_ms, io);
    }

    /// Calls a process at the address of a worker, directly or through a relay.
    pub(super) fn call_target(
        &mut self,
        target: CallTarget,
        call: u64,
        request: WorkerRequest,
        timeout_ms: u64,
        io: &mut Io<'_>,
    ) {
        let may_relay = self.workers.len() >= MIN_WORKERS_FOR_RELAY;
        let relay = may_relay.then(|| self.relays.choose(&target)).flatten();
        let Some(relay) = relay else {
            return self.call_directly(target, call, request, timeout_ms, io);
        };
        let CallTarget {
            address, worker_id, ..
        } = target;
        let overdue_ms = io
            .now_ms
            .saturating_add(Millis(timeout_ms + RELAY_GRACE_MS));
        self.relays.calls.insert(call, (relay, overdue_ms));
        let message = PeerMessage::Relay {
            call,
            address,
            worker_id,
            request,
            timeout_ms,
            sent_ms: io.now_ms.0,
        };
        io.effect(Effect::Send { to: relay, message });
    }

    /// Calls a process from this VM, whatever the number of workers.
    pub(super) fn call_directly(
        &self,
        target: CallTarget,
        call: u64,
        request: WorkerRequest,
        timeout_ms: u64,
        io: &mut Io<'_>,
    ) {
        io.effect(Effect::CallWorker {
            call,
            for_vm: self.me,
            address: target.address,
            worker_id: target.worker_id,
            request,
            timeout_ms,
        });
    }

    /// Removes a call whose reply has arrived.
    pub(super) fn relay_completed(&mut self, call: u64) {
        self.relays.calls.remove(&call);
    }

    /// Ends relayed calls past their deadline as calls without a reply.
    pub(super) fn expire_relay_calls(&mut self, state: &CellState, io: &mut Io<'_>) {
        let now_ms = io.now_ms;
        self.fail_relay_calls(|(_, overdue_ms)| *overdue_ms < now_ms, state, io);
    }

    fn fail_relay_calls(
        &mut self,
        failed: impl Fn(&(VmId, Millis)) -> bool,
        state: &CellState,
        io: &mut Io<'_>,
    ) {
        let calls = self.relays.calls.iter();
        let failed = calls
            .filter(|(_, sent)| failed(sent))
            .map(|(call, _)| *call);
        for call in failed.collect::<Vec<_>>() {
            self.worker_replied(state, call, &WorkerReply::NoReply, io);
        }
    }
}
