//! Messages between nodes and calls to workers.

use std::{fmt, sync::Arc};

use acaciareel_consensus::Message;
use acaciareel_types::{
    Answer, FailureDomain, FencingToken, IdempotencyKey, KindName, Millis, OperationId, PoolName,
    RawTables, Request, Resources, TableVersion, TaskId, TenantName, Term, Verdict, VmId, WorkerId,
    WorkerReport,
};

use crate::{RequestState, TablesChange};

/// A consensus group.
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

/// Room of a pool in the sender's failure domain, for the choice of a domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolRoom {
    /// Pool.
    pub pool: PoolName,
    /// Number of workers that take work.
    pub workers: u32,
    /// Free slots of workers that have the other resources for the smallest demands too.
    pub free_slots: u32,
    /// Predicted wait of a job that arrives now.
    pub predicted_wait_ms: Millis,
}

/// Placer role that the sender of a heartbeat holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placing {
    /// Failure domain whose workers the sender places work on.
    pub domain: FailureDomain,
    /// Term of the domain's ledger leader; 0 for a placer that serves without a ledger majority.
    pub term: Term,
    /// Room in each pool of the domain.
    pub rooms: Vec<PoolRoom>,
}

/// Answer to a change of the tables.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TablesReply {
    /// The change is committed under this version.
    Accepted(TableVersion),
    /// Another change came first; this version is current.
    Conflict(TableVersion),
    /// The tables are wrong; nothing changed.
    Invalid(String),
    /// The tables group has no leader now; the change may be committed later.
    Unavailable,
}

/// Message between nodes.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// Sent to each peer every 250 ms.
    Heartbeat {
        /// Version of the tables in force at the sender.
        tables_version: TableVersion,
        /// Whether the sender is stopping and wants no new requests.
        stopping: bool,
        /// Placer roles of the sender.
        placing: Vec<Placing>,
        /// VMs that the sender heard before and does not hear any more. A VM that finds itself
        /// here learns of a cut in its own direction, which it cannot see otherwise.
        suspects: Vec<VmId>,
        /// Number of this life of the sender's process. A restart with an intact disk keeps the
        /// incarnation, but forgets the requests in memory.
        life: u64,
    },
    /// Message of a consensus group.
    Group {
        /// Group.
        group: GroupId,
        /// Message.
        message: Message,
    },
    /// An entry VM passes on a request to the placer of its home or of the chosen domain.
    Submit {
        /// Number chosen by the sender, echoed in the reply.
        submission: u64,
        /// Failure domain that is to serve the request.
        domain: FailureDomain,
        /// Term of the placer that the sender has chosen. A placer of another term does nothing
        /// with the request, so that a late copy cannot run after a refusal by a later placer.
        term: Term,
        /// Request with the time that is left.
        request: Request,
    },
    /// Final answer to `Submit`.
    SubmitReply {
        /// Echo.
        submission: u64,
        /// Verdict.
        verdict: Verdict,
    },
    /// The receiver of `Submit` is not the placer that was meant, and has done nothing with the
    /// submission in this life.
    NotPlacer {
        /// Echo.
        submission: u64,
        /// Placer, if the receiver knows it.
        placer: Option<VmId>,
        /// Number of this life of the receiver's process.
        life: u64,
    },
    /// Asks for the state of a request, or cancels it.
    Inquire {
        /// Number chosen by the sender, echoed in the reply.
        inquiry: u64,
        /// Home failure domain.
        domain: FailureDomain,
        /// Tenant.
        tenant: TenantName,
        /// Key.
        key: IdempotencyKey,
        /// Whether to cancel it.
        cancel: bool,
    },
    /// Answer to `Inquire`.
    InquireReply {
        /// Echo.
        inquiry: u64,
        /// State after the inquiry.
        state: RequestState,
    },
    /// The home of a request asks another domain's placer to place one task.
    Place {
        /// Task, unique to the attempt.
        task: TaskId,
        /// Term of the placer that the sender has chosen; another one refuses.
        term: Term,
        /// Request.
        request: Request,
    },
    /// Answer to `Place`: the task was refused and did not run.
    PlaceRefused {
        /// Task.
        task: TaskId,
        /// Time after which another attempt may succeed.
        retry_after_ms: Millis,
    },
    /// Answer to `Place` and `PlaceCheck`: the task is queued or running.
    PlaceKnown {
        /// Task.
        task: TaskId,
    },
    /// The home asks the present placer of a domain for the fate of a task placed there.
    PlaceCheck {
        /// Task.
        task: TaskId,
    },
    /// Answer to `PlaceCheck`: the task does not run and will not run; it may have run.
    PlaceLost {
        /// Task.
        task: TaskId,
    },
    /// The home asks the placer of a domain to stop a task placed there.
    PlaceStop {
        /// Task.
        task: TaskId,
    },
    /// An entry VM passes on a worker's announcement to the placer of the worker's domain. Also
    /// the answer to `Drain` from a placer that knows the worker.
    Announce {
        /// Report.
        report: WorkerReport,
    },
    /// An entry VM passes on a result to the owner of the task.
    TaskResult {
        /// Task.
        task: TaskId,
        /// Worker that ran it.
        worker: WorkerId,
        /// Answer.
        answer: Answer,
        /// Largest measured usage.
        used: Resources,
    },
    /// The owner of a task has recorded its result.
    ResultAck {
        /// Task.
        task: TaskId,
    },
    /// A change of the tables on its way to the tables leader.
    Apply {
        /// Number chosen by the sender, echoed in the reply.
        submission: u64,
        /// Identifier of the change.
        operation: OperationId,
        /// Version that the operator has seen.
        expected_version: TableVersion,
        /// New tables.
        tables: RawTables,
    },
    /// A change of rows of the tables on its way to the tables leader.
    Change {
        /// Number chosen by the sender, echoed in the reply.
        submission: u64,
        /// Identifier of the change.
        operation: OperationId,
        /// Version that the operator has seen and that the change is relative to.
        expected_version: TableVersion,
        /// Change.
        change: TablesChange,
    },
    /// Answer to `Apply` and `Change`.
    ApplyReply {
        /// Echo.
        submission: u64,
        /// Outcome.
        reply: TablesReply,
    },
    /// Asks a peer whose heartbeats show a higher version for the tables in force there.
    TablesWanted {
        /// Version at the sender.
        version: TableVersion,
    },
    /// Answer to `TablesWanted`.
    TablesState {
        /// Encoded state of the tables group.
        state: Arc<[u8]>,
    },
    /// Takes a worker out of service; passed on to the placer of its domain.
    Drain {
        /// Worker.
        worker: WorkerId,
    },
}

/// HTTP call to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkerCall {
    /// `POST /v1/lease`: claims or renews the right to place tasks.
    Lease {
        /// Token.
        token: FencingToken,
        /// This VM.
        holder: VmId,
        /// Length of the lease from receipt.
        ttl_ms: Millis,
    },
    /// `POST /v1/tasks`: starts a task.
    Start {
        /// Task.
        task: TaskId,
        /// Token.
        token: FencingToken,
        /// Kind of the request.
        kind: KindName,
        /// Tenant.
        tenant: TenantName,
        /// Resources reserved.
        reserved: Resources,
        /// Time left until the answer is due.
        remaining_ms: Millis,
        /// Whether the worker must stop the task when its task lease runs out.
        exclusive: bool,
        /// Body.
        body: acaciareel_types::Body,
    },
    /// `POST /v1/tasks/ID/stop`: stops a task.
    Stop {
        /// Task.
        task: TaskId,
        /// Token.
        token: FencingToken,
    },
    /// `POST /v1/tasks/ID/checkpoint`: saves progress and stops a task.
    Checkpoint {
        /// Task.
        task: TaskId,
        /// Token.
        token: FencingToken,
    },
    /// `POST /v1/tasks/ID/throttle`: lets a task go on with less.
    Throttle {
        /// Task.
        task: TaskId,
        /// Token.
        token: FencingToken,
    },
}
