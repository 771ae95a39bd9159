//! Calls to workers through other control VMs.
//!
//! An HTTP exchange with a worker takes ten times the processor time of a message to another
//! control VM. With hundreds of workers the leader therefore lets the other control VMs make its
//! calls; each worker has its relay, in its own failure domain where there is one. A relay decides
//! nothing: a call that it makes late meets the same lease and fencing token as any late order.

use acaciareel_types::{Millis, SortedVec, VmId};

use super::Leader;
use crate::{CellState, Effect, PeerMessage, WorkerNumber, WorkerReply, WorkerRequest, io::Io};

/// Workers from which calls are relayed.
const MIN_WORKERS: usize = 120;
/// Wait for a relayed reply beyond that of the call itself.
const RELAY_GRACE_MS: u64 = 150;

/// The control VMs that relay, and the calls given to them.
#[derive(Clone, Debug, Default)]
pub(super) struct Relays {
    /// Failure domain of each VM that can relay now.
    vms: SortedVec<VmId, String>,
    /// Relay of each call under way, and when it is overdue.
    calls: SortedVec<u64, (VmId, Millis)>,
}

impl Relays {
    fn choose(&self, worker: WorkerNumber, failure_domain: &str) -> Option<VmId> {
        let near: Vec<VmId> = self
            .vms
            .iter()
            .filter(|(_, domain)| *domain == failure_domain)
            .map(|(vm, _)| *vm)
            .collect();
        let all: Vec<VmId> = self.vms.keys().copied().collect();
        let usable = if near.is_empty() { &all } else { &near };
        let count = u32::try_from(usable.len())
            .ok()
            .filter(|count| *count > 0)?;
        usable.get((worker.0 % count) as usize).copied()
    }
}

impl Leader {
    /// Notes a control VM that can relay calls.
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

    /// Forgets a control VM that cannot relay any more; its calls get no reply.
    pub fn relay_left(&mut self, vm: VmId, state: &CellState, io: &mut Io<'_>) {
        if self.relays.vms.remove(&vm).is_some() {
            self.fail_relayed(|(relay, _)| *relay == vm, state, io);
        }
    }

    /// Makes a call to a worker, directly or through its relay.
    pub(super) fn call_worker(
        &mut self,
        number: WorkerNumber,
        call: u64,
        request: WorkerRequest,
        timeout_ms: u64,
        io: &mut Io<'_>,
    ) {
        let Some(view) = self.workers.get(&number) else {
            return;
        };
        let record = &view.record;
        let (address, worker_id) = (record.address.clone(), record.id.clone());
        let relay = if self.workers.len() >= MIN_WORKERS {
            self.relays.choose(number, &record.failure_domain)
        } else {
            None
        };
        let Some(relay) = relay else {
            return io.effect(Effect::CallWorker {
                call,
                for_vm: self.me,
                address,
                worker_id,
                request,
                timeout_ms,
            });
        };
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
        };
        io.effect(Effect::Send { to: relay, message });
    }

    /// Notes that a call has a reply.
    pub(super) fn relayed(&mut self, call: u64) {
        self.relays.calls.remove(&call);
    }

    /// Gives up relayed calls that are overdue.
    pub(super) fn expire_relayed(&mut self, state: &CellState, io: &mut Io<'_>) {
        let now_ms = io.now_ms;
        self.fail_relayed(|(_, overdue_ms)| *overdue_ms < now_ms, state, io);
    }

    fn fail_relayed(
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
