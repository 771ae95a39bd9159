//! Requests of workers that a control VM forwards to the leader.
//!
//! With hundreds of workers, their connections and HTTP requests would take most of what the leader
//! may use. Each control VM therefore serves the workers that call it, and forwards what they say
//! over its connection to the leader.

use acaciareel_types::{Millis, ProcessEpoch, SortedVec, VmId};

use super::Control;
use crate::{
    ControlReply, ControlRequest, Effect, Origin, PeerMessage, WorkerNotice, ids::calls_of_epoch,
    leader::MIN_WORKERS_FOR_RELAY,
};

/// How long a worker waits for the leader's reply. It tries another VM after a second.
const FORWARD_TIMEOUT_MS: u64 = 800;

/// Forwarded requests without a reply.
#[derive(Debug)]
pub(super) struct Forwarding {
    /// Number of the last request.
    next_call: u64,
    /// Connection of each request, and the time until which it waits.
    calls: SortedVec<u64, (u64, Millis)>,
}

impl Forwarding {
    /// Creates an empty list. Replies to an earlier process may still arrive, so the epoch must
    /// differ from those of earlier starts.
    pub fn new(process_epoch: ProcessEpoch) -> Self {
        Self {
            next_call: calls_of_epoch(process_epoch.number()),
            calls: SortedVec::new(),
        }
    }
}

impl Control {
    /// Returns whether this VM forwards requests of workers in place of redirecting them.
    pub(super) fn forwards_workers(&self) -> bool {
        self.state.workers().len() >= MIN_WORKERS_FOR_RELAY
    }

    /// Forwards a worker's request to the leader.
    pub(super) fn forward(
        &mut self,
        now_ms: Millis,
        leader: VmId,
        connection: u64,
        request: WorkerNotice,
        out: &mut Vec<Effect>,
    ) {
        self.forwarding.next_call += 1;
        let call = self.forwarding.next_call;
        let until_ms = now_ms.saturating_add(Millis(FORWARD_TIMEOUT_MS));
        self.forwarding.calls.insert(call, (connection, until_ms));
        out.push(Effect::Send {
            to: leader,
            message: PeerMessage::WorkerCall { call, request },
        });
    }

    /// Handles a request that another control VM has forwarded.
    pub(super) fn handle_forwarded(
        &mut self,
        from: VmId,
        call: u64,
        request: WorkerNotice,
        time: (Millis, u64),
        out: &mut Vec<Effect>,
    ) {
        if self.leader.is_none() {
            let message = PeerMessage::WorkerCallReply { call, done: false };
            return out.push(Effect::Send { to: from, message });
        }
        let origin = Origin::Member { vm: from, call };
        let request = ControlRequest::from(request);
        self.with_leader(time, out, |leader, state, io| {
            leader.control_request(state, origin, request, io);
        });
    }

    /// Passes the leader's reply on to the worker.
    pub(super) fn forwarded_replied(&mut self, call: u64, done: bool, out: &mut Vec<Effect>) {
        if let Some((connection, _)) = self.forwarding.calls.remove(&call) {
            let reply = if done {
                ControlReply::Done
            } else {
                ControlReply::Unavailable
            };
            out.push(Effect::ReplyControl { connection, reply });
        }
    }

    /// Ends forwarded requests that the leader has not replied to in time.
    pub(super) fn expire_forwarded(&mut self, now_ms: Millis, out: &mut Vec<Effect>) {
        let calls = self.forwarding.calls.iter();
        let expired = calls.filter(|(_, (_, until_ms))| now_ms >= *until_ms);
        for call in expired.map(|(call, _)| *call).collect::<Vec<_>>() {
            self.forwarded_replied(call, false, out);
        }
    }
}
