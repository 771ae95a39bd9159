//! Messages between nodes and calls to workers.

use std::{fmt, sync::Arc};

use acaciareel_consensus::Message;
use acaciareel_types::{
    Answer, FailureDomain, FencingToken, IdempotencyKey, KindName, Millis, OperationId, PoolName,
    RawTables, Request, Resources, TableVersion, TaskId, TenantName, Term, Verdict, VmId, WorkerId,
    WorkerReport,
};

use crate::{RequestState, TablesChange};

/// Identifier of a consensus group.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum GroupId {
    /// The group that agrees on the tables.
    Tables,
    /// The group that agrees on the requests whose home is this failure domain.
    Ledger(FailureDomain),
}

impl fmt::Display for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Tables => f.write_str("tables"),
            Self::Ledger(domain) => write!(f, "ledger-{domain}"),
        }
    }
}

/// Free capacity of a pool in the sender's failure domain, for the choice of a domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolRoom {
    /// Name of the pool.
    pub pool: PoolName,
    /// Number of workers that accept tasks.
    pub workers: u32,
    /// Free slots of workers whose other free resources suffice for the smallest demands too.
    pub free_slots: u32,
    /// Predicted waiting time of a job that arrives now.
    pub predicted_wait_ms: Millis,
}

/// Placer role that the sender of a heartbeat holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placing {
    /// Failure domain whose workers the sender places work on.
    pub domain: FailureDomain,
    /// Term of the domain's ledger leader; 0 for a placer that serves without a ledger majority.
    pub term: Term,
    /// Free capacity of each pool of the domain.
    pub rooms: Vec<PoolRoom>,
}

/// Reply to a change of the tables.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TablesReply {
    /// The change is committed under this version.
    Accepted(TableVersion),
    /// Another change came first; this version is current.
    Conflict(TableVersion),
    /// The tables are invalid; nothing changed.
    Invalid(String),
    /// The tables leader did not reply in time, or the VM is stopping; the change may be committed
    /// later.
    Unavailable,
}

/// Message from one node to another.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// Sent to a peer after a change, and otherwise when no message was sent to it for 250 ms,
    /// among many VMs 320 ms, or no heartbeat for 1,000 ms.
    Heartbeat {
        /// Version of the tables in force at the sender.
        tables_version: TableVersion,
        /// Whether the sender is stopping and refuses new requests.
        stopping: bool,
        /// Placer roles of the sender.
        placing: Vec<Placing>,
        /// VMs whose messages have stopped arriving at the sender. From this list a VM detects that
        /// its own messages are lost, which it cannot detect otherwise.
        suspects: Vec<VmId>,
        /// Process epoch of the sender. A restart with an intact disk keeps the incarnation but
        /// loses the requests in memory.
        life: u64,
    },
    /// Message of a consensus group.
    Group {
        /// Group of the sender's replica.
        group: GroupId,
        /// Message of the sender's replica.
        message: Message,
    },
    /// An entry VM forwards a request to the placer of its home or of the chosen domain.
    Submit {
        /// Number chosen by the sender, echoed in the reply.
        submission: u64,
        /// Failure domain that is to serve the request.
        domain: FailureDomain,
        /// Term of the placer that the sender has chosen. A placer of another term does nothing
        /// with the request, so that a late copy cannot run after a refusal by a later placer.
        term: Term,
        /// Request with the remaining time limit.
        request: Request,
    },
    /// Final reply to `Submit`.
    SubmitReply {
        /// Number of the message that this one replies to.
        submission: u64,
        /// Verdict on the request.
        verdict: Verdict,
    },
    /// Reply to `Submit` by a VM that is not the chosen placer. Its current process has done
    /// nothing with the submission.
    NotPlacer {
        /// Number of the message that this one replies to.
        submission: u64,
        /// Current placer, if known to the sender of this reply.
        placer: Option<VmId>,
        /// Process epoch of the sender of this reply.
        life: u64,
    },
    /// Queries the state of a request, or cancels it.
    Inquire {
        /// Number chosen by the sender, echoed in the reply.
        inquiry: u64,
        /// Home failure domain of the request.
        domain: FailureDomain,
        /// Tenant that the key belongs to.
        tenant: TenantName,
        /// Idempotency key of the request.
        key: IdempotencyKey,
        /// Whether to cancel the request.
        cancel: bool,
    },
    /// Reply to `Inquire`.
    InquireReply {
        /// Number of the message that this one replies to.
        inquiry: u64,
        /// State after the inquiry.
        state: RequestState,
    },
    /// The home of a request delegates one task to the placer of another domain.
    Place {
        /// Identifier of the task, unique to the attempt.
        task: TaskId,
        /// Term of the placer that the sender has chosen; a placer of another term does not accept
        /// the task.
        term: Term,
        /// Request that the task belongs to, with the remaining time limit.
        request: Request,
    },
    /// Reply to `Place` and `PlaceCheck`: the task was refused and did not run.
    PlaceRefused {
        /// Task of the message that this one replies to.
        task: TaskId,
        /// Time after which another attempt may succeed.
        retry_after_ms: Millis,
    },
    /// Reply to `Place` and `PlaceCheck`: the task is queued or running.
    PlaceKnown {
        /// Task of the message that this one replies to.
        task: TaskId,
    },
    /// The home queries the current placer of a domain about a task delegated there.
    PlaceCheck {
        /// Task of an earlier `Place`.
        task: TaskId,
    },
    /// Reply to `Place` and `PlaceCheck`: the task does not run and will not run; it may have run.
    PlaceLost {
        /// Task of the message that this one replies to.
        task: TaskId,
    },
    /// The home requests that the placer of a domain stop a task delegated there.
    PlaceStop {
        /// Task of an earlier `Place`.
        task: TaskId,
    },
    /// An entry VM forwards a worker's announcement to the placer of the worker's domain. Also the
    /// reply to `Drain` by a placer that has the worker.
    Announce {
        /// Report of the worker.
        report: WorkerReport,
    },
    /// An entry VM forwards a result to the owner of the task.
    TaskResult {
        /// Ended task; its identifier names the owner.
        task: TaskId,
        /// Worker that ran it.
        worker: WorkerId,
        /// Answer of the task.
        answer: Answer,
        /// Largest measured usage.
        used: Resources,
    },
    /// The owner of a task has recorded its result.
    ResultAck {
        /// Task whose result the worker may drop.
        task: TaskId,
    },
    /// A change of the tables, sent to the tables leader.
    Apply {
        /// Number chosen by the sender, echoed in the reply.
        submission: u64,
        /// Identifier of the change, equal in each resend.
        operation: OperationId,
        /// Version that the operator expects to be current.
        expected_version: TableVersion,
        /// Tables that replace the present ones.
        tables: RawTables,
    },
    /// A change of rows of the tables, sent to the tables leader.
    Change {
        /// Number chosen by the sender, echoed in the reply.
        submission: u64,
        /// Identifier of the change, equal in each resend.
        operation: OperationId,
        /// Version that the operator expects to be current; the change is relative to it.
        expected_version: TableVersion,
        /// Rows to set and to remove.
        change: TablesChange,
    },
    /// Reply to `Apply` and `Change`.
    ApplyReply {
        /// Number of the message that this one replies to.
        submission: u64,
        /// Outcome of the change.
        reply: TablesReply,
    },
    /// Requests the tables in force from a peer whose heartbeats show a higher version.
    TablesWanted {
        /// Version in force at the sender.
        version: TableVersion,
    },
    /// Reply to `TablesWanted`.
    TablesState {
        /// Encoded state of the tables group.
        state: Arc<[u8]>,
    },
    /// Drains a worker; sent to every VM, since each may become the placer of its domain.
    Drain {
        /// Worker to drain.
        worker: WorkerId,
    },
}

/// HTTP call to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkerCall {
    /// `POST /v1/lease`: claims or renews the right to place tasks.
    Lease {
        /// Fencing token of the claim; a worker that holds a higher one refuses the call.
        token: FencingToken,
        /// VM of the placer that claims the worker.
        holder: VmId,
        /// Length of the lease from receipt.
        ttl_ms: Millis,
    },
    /// `POST /v1/tasks`: starts a task.
    Start {
        /// Identifier that the worker's reports and results use.
        task: TaskId,
        /// Token of the confirmed claim; a worker that holds a higher one refuses the call.
        token: FencingToken,
        /// Kind of the request.
        kind: KindName,
        /// Tenant of the request.
        tenant: TenantName,
        /// Resources reserved for the task.
        reserved: Resources,
        /// Time left until the deadline of the request.
        remaining_ms: Millis,
        /// Whether the worker must stop the task when its task lease runs out.
        exclusive: bool,
        /// Body of the request.
        body: acaciareel_types::Body,
    },
    /// `POST /v1/tasks/ID/stop`: stops a task.
    Stop {
        /// Running task to stop.
        task: TaskId,
        /// Token of the confirmed claim; a worker that holds a higher one refuses the call.
        token: FencingToken,
    },
    /// `POST /v1/tasks/ID/checkpoint`: saves the progress of a task and stops it.
    Checkpoint {
        /// Running task to save and stop.
        task: TaskId,
        /// Token of the confirmed claim; a worker that holds a higher one refuses the call.
        token: FencingToken,
    },
    /// `POST /v1/tasks/ID/throttle`: continues a task with fewer resources.
    Throttle {
        /// Running task to throttle.
        task: TaskId,
        /// Token of the confirmed claim; a worker that holds a higher one refuses the call.
        token: FencingToken,
    },
}
