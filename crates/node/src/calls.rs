//! Calls to workers whose replies are awaited.

use acaciareel_types::{FailureDomain, FencingToken, Millis, SortedVec, TaskId, WorkerId};

use crate::CallId;

/// A call without a reply counts as lost after this time.
const CALL_TIMEOUT_MS: Millis = Millis(5_000);

/// Why a worker was called.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Purpose {
    Lease,
    Start(TaskId),
    /// Stop, checkpoint or throttle: the reply changes nothing.
    Other,
}

/// Call that a placer made.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub domain: FailureDomain,
    /// Number of the placer's life on this VM, so that a later one ignores the reply.
    pub life: u64,
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

    /// Returns the calls that have waited too long.
    pub fn overdue(&self, now_ms: Millis) -> Vec<CallId> {
        self.calls
            .iter()
            .filter(|(_, call)| now_ms.saturating_sub(call.sent_ms) > CALL_TIMEOUT_MS)
            .map(|(id, _)| *id)
            .collect()
    }
}
