//! Calls to workers that await a reply.

use acaciareel_types::{FailureDomain, FencingToken, Millis, SortedVec, TaskId, WorkerId};

use crate::CallId;

/// A call without a reply counts as lost after this time.
const CALL_TIMEOUT_MS: Millis = Millis(5_000);

/// Purpose of a call, which decides how its reply is handled.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Purpose {
    Lease,
    Start(TaskId),
    /// Stop, checkpoint or throttle: the reply changes nothing.
    TaskCommand,
}

/// A placer's call that awaits its reply.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub domain: FailureDomain,
    /// Number of the placer role that made the call; a later role ignores the reply.
    pub role_number: u64,
    pub worker: WorkerId,
    pub token: FencingToken,
    pub sent_ms: Millis,
    pub purpose: Purpose,
}

/// Calls by identifier.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    calls: SortedVec<CallId, Call>,
    next: u64,
}

impl Calls {
    pub fn add(&mut self, call: Call) -> CallId {
        self.next += 1;
        let id = CallId(self.next);
        self.calls.insert(id, call);
        id
    }

    pub fn take(&mut self, id: CallId) -> Option<Call> {
        self.calls.remove(&id)
    }

    /// Returns the calls that have no reply after `CALL_TIMEOUT_MS`.
    pub fn overdue(&self, now_ms: Millis) -> Vec<CallId> {
        self.calls
            .iter()
            .filter(|(_, call)| now_ms.saturating_sub(call.sent_ms) > CALL_TIMEOUT_MS)
            .map(|(id, _)| *id)
            .collect()
    }
}
