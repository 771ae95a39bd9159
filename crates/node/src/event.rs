//! Events that a node reacts to.

use std::fmt;

use acaciareel_types::{
    Answer, FencingToken, IdempotencyKey, Incarnation, OperationId, RawTables, Request, Resources,
    TableVersion, TaskId, TenantName, VmId, WorkerId, WorkerReport,
};

use crate::PeerMessage;

/// Connection of a caller, an operator or a worker that waits for a reply.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ConnectionId(pub u64);

impl fmt::Display for ConnectionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Identifier of a call to a worker that awaits a reply.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// Reply of a worker to a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkerReply {
    /// 200 to a lease: the worker's full state and its ended tasks that were not acknowledged.
    Leased {
        /// State of the worker, with every task that occupies resources.
        report: WorkerReport,
        /// Ended tasks whose results the worker still holds.
        unacknowledged: Vec<TaskId>,
    },
    /// 200 to a renewal with the token that the worker holds: since the last full report under this
    /// token no task has started or ended, no result was acknowledged, and leaving has not changed.
    Renewed {
        /// Sequence of that last full report.
        sequence: u64,
    },
    /// 202: the task was accepted, or the command was carried out.
    Accepted,
    /// 409: the worker holds a higher token. Nothing was done.
    StaleToken(FencingToken),
    /// 410: the worker is leaving. Nothing was done.
    Leaving,
    /// 429: the worker has no free capacity. Nothing was done.
    NoCapacity,
    /// Another refusal, with the worker's text. Nothing was done.
    Refused(String),
    /// No connection could be made, so the worker did not receive the call.
    NotSent,
    /// The connection broke after the call was sent: it may have been carried out.
    Lost,
}

/// Input of a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Periodic event, due every 20 ms.
    Tick,
    /// A message arrived from another VM.
    Peer {
        /// VM that sent the message.
        from: VmId,
        /// Incarnation of the sender's state.
        incarnation: Incarnation,
        /// Message of the sender's `Effect::Send`.
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
        /// Request with the caller's time limit; 0 stands for that of the route.
        request: Request,
    },
    /// A caller queries the state of a request, or cancels it.
    Inquire {
        /// Connection that waits for the state.
        connection: ConnectionId,
        /// Tenant that the key belongs to.
        tenant: TenantName,
        /// Idempotency key of the request.
        key: IdempotencyKey,
        /// Whether to cancel the request.
        cancel: bool,
    },
    /// A waiting connection was closed from the other side.
    ConnectionClosed {
        /// Connection that was closed.
        connection: ConnectionId,
    },
    /// An operator changes the tables.
    Apply {
        /// Connection that waits for the outcome.
        connection: ConnectionId,
        /// Identifier of the change, equal in each resend.
        operation: OperationId,
        /// Version that the change is relative to.
        expected_version: TableVersion,
        /// Tables that replace the present ones.
        tables: RawTables,
    },
    /// An operator queries the tables.
    ShowTables {
        /// Connection that waits for the reply.
        connection: ConnectionId,
    },
    /// An operator queries the latest changes of the tables.
    ShowHistory {
        /// Connection that waits for the reply.
        connection: ConnectionId,
    },
    /// An operator queries all VMs.
    ShowVms {
        /// Connection that waits for the reply.
        connection: ConnectionId,
    },
    /// An operator queries the groups of this VM and the pools that it places work in.
    ShowState {
        /// Connection that waits for the reply.
        connection: ConnectionId,
    },
    /// An operator queries the workers known to this VM.
    ShowWorkers {
        /// Connection that waits for the reply.
        connection: ConnectionId,
    },
    /// An operator drains a worker.
    Drain {
        /// Connection that waits for the reply.
        connection: ConnectionId,
        /// Worker to drain.
        worker: WorkerId,
    },
    /// A worker announces itself.
    Announce {
        /// Connection that waits for the time of the next announcement.
        connection: ConnectionId,
        /// Report of the worker.
        report: WorkerReport,
    },
    /// A worker posts the result of a task.
    TaskResult {
        /// Connection that waits for the acknowledgement.
        connection: ConnectionId,
        /// Task that has ended.
        task: TaskId,
        /// Worker that ran it.
        worker: WorkerId,
        /// Answer of the task.
        answer: Answer,
        /// Largest measured usage.
        used: Resources,
    },
    /// A worker replied to a call, or the call failed.
    WorkerReplied {
        /// Identifier from `Effect::CallWorker`.
        call: CallId,
        /// Reply, or how the call failed.
        reply: WorkerReply,
    },
    /// A graceful stop is requested.
    Stop,
}
