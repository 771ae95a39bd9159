//! Events that a node reacts to.

use std::fmt;

use acaciareel_types::{
    Answer, FencingToken, IdempotencyKey, Incarnation, OperationId, RawTables, Request, Resources,
    TableVersion, TaskId, TenantName, VmId, WorkerId, WorkerReport,
};

use crate::PeerMessage;

/// Open exchange with a caller, an operator or a worker that waits for a reply.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ConnectionId(pub u64);

impl fmt::Display for ConnectionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Call to a worker whose reply is awaited.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// Reply of a worker to a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkerReply {
    /// 200 to a lease: the worker's full state and its ended tasks that were not acknowledged.
    Leased {
        /// Report.
        report: WorkerReport,
        /// Ended tasks whose results the worker still holds.
        unacknowledged: Vec<TaskId>,
    },
    /// 200 to a renewal with the token held: since the last full report under this token no task has
    /// started or ended, no result was acknowledged, and leaving has not changed.
    Renewed {
        /// Sequence of that report.
        sequence: u64,
    },
    /// 202: the task was taken, or the stop was carried out.
    Accepted,
    /// 409: the worker holds a higher token. Nothing was done.
    StaleToken(FencingToken),
    /// 410: the worker is leaving. Nothing was done.
    Leaving,
    /// 429: the worker has no room. Nothing was done.
    NoCapacity,
    /// Other refusal with a text. Nothing was done.
    Refused(String),
    /// No connection could be made, so the worker did not receive the call.
    NotSent,
    /// The connection broke after the call was sent: it may have been carried out.
    Lost,
}

/// Event of a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time has passed. Due every 20 ms.
    Tick,
    /// A message arrived from another VM.
    Peer {
        /// Sender.
        from: VmId,
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// Message.
        message: PeerMessage,
    },
    /// All records up to this ticket are synced.
    Synced {
        /// Ticket of `Effect::Persist`.
        ticket: u64,
    },
    /// A caller sends a request.
    Submit {
        /// Connection that waits for the verdict.
        connection: ConnectionId,
        /// Request.
        request: Request,
    },
    /// A caller asks for the state of a request, or cancels it.
    Inquire {
        /// Connection that waits for the state.
        connection: ConnectionId,
        /// Tenant.
        tenant: TenantName,
        /// Key.
        key: IdempotencyKey,
        /// Whether to cancel it.
        cancel: bool,
    },
    /// A waiting connection was closed from the other side.
    ConnectionClosed {
        /// Connection.
        connection: ConnectionId,
    },
    /// An operator changes the tables.
    Apply {
        /// Connection that waits for the outcome.
        connection: ConnectionId,
        /// Identifier of the change, equal in each resend.
        operation: OperationId,
        /// Version that the operator has seen.
        expected_version: TableVersion,
        /// New tables.
        tables: RawTables,
    },
    /// An operator asks for the tables.
    ShowTables {
        /// Connection.
        connection: ConnectionId,
    },
    /// An operator asks for the latest changes of the tables.
    ShowHistory {
        /// Connection.
        connection: ConnectionId,
    },
    /// An operator asks for all VMs.
    ShowVms {
        /// Connection.
        connection: ConnectionId,
    },
    /// An operator asks for the groups of this VM and the pools that it places work in.
    ShowState {
        /// Connection.
        connection: ConnectionId,
    },
    /// An operator asks for the workers known to this VM.
    ShowWorkers {
        /// Connection.
        connection: ConnectionId,
    },
    /// An operator takes a worker out of service.
    Drain {
        /// Connection.
        connection: ConnectionId,
        /// Worker.
        worker: WorkerId,
    },
    /// A worker announces itself.
    Announce {
        /// Connection that waits for the time of the next announcement.
        connection: ConnectionId,
        /// Report.
        report: WorkerReport,
    },
    /// A worker posts the result of a task.
    TaskResult {
        /// Connection that waits for the acknowledgement.
        connection: ConnectionId,
        /// Task.
        task: TaskId,
        /// Worker that ran it.
        worker: WorkerId,
        /// Answer.
        answer: Answer,
        /// Largest measured usage.
        used: Resources,
    },
    /// A worker replied to a call, or the call failed.
    WorkerReplied {
        /// Call.
        call: CallId,
        /// Reply.
        reply: WorkerReply,
    },
    /// A graceful stop was asked for.
    Stop,
}
