//! Effects that a node asks its shell to carry out.

use std::net::SocketAddr;

use acaciareel_consensus::{Record, Role};
use acaciareel_scheduler::PoolSummary;
use acaciareel_types::{
    Answer, Class, FailureDomain, Incarnation, Millis, Reason, TableVersion, Tables, TenantName,
    Term, Verdict, VmId, WorkerId, WorkerReport,
};

use crate::{CallId, ConnectionId, GroupId, PeerMessage, TablesReply, WorkerCall};

/// State of a request as an inquiry finds it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestState {
    /// No record of the key exists.
    Unknown,
    /// Accepted and waiting.
    Waiting,
    /// Started on a worker.
    Running,
    /// Ended with this answer.
    Finished(Answer),
    /// The worker was lost: it may have run.
    Lost,
    /// It was cancelled before it ran.
    Cancelled,
    /// The home failure domain cannot be reached.
    Unavailable,
}

/// One entry VM as seen from this one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmStatus {
    /// VM.
    pub vm: VmId,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Last incarnation heard of.
    pub incarnation: Option<Incarnation>,
    /// Whether its heartbeats arrive.
    pub reachable: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Version of the tables in force there, as last heard.
    pub tables_version: TableVersion,
    /// Whether it places work on its domain's workers.
    pub placer: bool,
}

/// One worker as seen from this VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerStatus {
    /// Last report.
    pub report: WorkerReport,
    /// Time since the last report.
    pub report_age_ms: Millis,
    /// `joining`, `active` or `draining` as its placer sees it; `announced` on other VMs.
    pub state: &'static str,
}

/// One consensus group as seen from this VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupStatus {
    /// Group.
    pub group: GroupId,
    /// Role of this VM in it.
    pub role: Role,
    /// Term.
    pub term: Term,
    /// Leader, as far as this VM knows.
    pub leader: Option<VmId>,
}

/// One pool of a failure domain that this VM is the placer of.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolStatus {
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Workers, capacity, free capacity and queue.
    pub summary: PoolSummary,
}

/// Reply to an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OperatorReply {
    /// Outcome of a change of the tables.
    Applied(TablesReply),
    /// Tables in force.
    Tables {
        /// Version.
        version: TableVersion,
        /// Tables.
        tables: Tables,
    },
    /// Latest changes: version and operation identifier, oldest first.
    History(Vec<(TableVersion, String)>),
    /// Entry VMs.
    Vms(Vec<VmStatus>),
    /// Workers.
    Workers(Vec<WorkerStatus>),
    /// Groups of this VM and pools that it places work in.
    State {
        /// Groups.
        groups: Vec<GroupStatus>,
        /// Pools, by failure domain and name.
        pools: Vec<PoolStatus>,
    },
    /// The drain was passed on, or the worker is not known.
    Drained(bool),
}

/// Reply on an open connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// Verdict on a request.
    Verdict(Verdict),
    /// State of a request.
    State(RequestState),
    /// Reply to an operator.
    Operator(OperatorReply),
    /// Reply to an announcement: time until the next one.
    NextAnnouncement(Millis),
    /// The result of a task is recorded; the worker may forget it.
    ResultRecorded,
    /// The owner of the task cannot be reached; the worker must post the result again.
    ResultNotRecorded,
}

/// Severity of a log event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogLevel {
    /// Something failed that needs an operator.
    Error,
    /// Something unusual that the system copes with.
    Warn,
    /// A rare change of state.
    Info,
    /// Detail of single requests.
    Debug,
}

/// Metric or log event as data.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A request got its verdict on this entry VM.
    Answered {
        /// Tenant.
        tenant: TenantName,
        /// Class.
        class: Class,
        /// Whether it ran, was refused or is unknown.
        verdict: &'static str,
        /// Reason unless it ran.
        reason: Option<Reason>,
        /// Time from receipt to answer.
        total_ms: Millis,
    },
    /// A task was placed by this placer.
    Placed {
        /// Tenant.
        tenant: TenantName,
        /// Class.
        class: Class,
        /// Time from acceptance to start.
        waited_ms: Millis,
    },
    /// A task ended.
    Ended {
        /// Tenant.
        tenant: TenantName,
        /// Class.
        class: Class,
        /// Time from start to end.
        ran_ms: Millis,
    },
    /// New tables are in force on this VM.
    TablesInForce(TableVersion),
    /// Log event.
    Log {
        /// Severity.
        level: LogLevel,
        /// Name of the event.
        event: &'static str,
        /// Fields.
        fields: Vec<(&'static str, String)>,
    },
}

/// Effect of a node, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Sends a message to another VM; it may be lost.
    Send {
        /// Receiver.
        to: VmId,
        /// Message.
        message: PeerMessage,
    },
    /// Syncs records, then answers `Event::Synced`. Without a disk the answer comes at once.
    Persist {
        /// Rises with each effect.
        ticket: u64,
        /// Records of one group in order.
        group: GroupId,
        /// Records.
        records: Vec<Record>,
    },
    /// Calls a worker, then answers `Event::WorkerReplied`.
    CallWorker {
        /// Call.
        call: CallId,
        /// Worker.
        worker: WorkerId,
        /// Address.
        address: SocketAddr,
        /// Request.
        request: WorkerCall,
    },
    /// Replies on a connection and closes it.
    Reply {
        /// Connection.
        connection: ConnectionId,
        /// Reply.
        reply: Reply,
    },
    /// Metric or log event.
    Observe(Observation),
    /// The graceful stop is complete: no request is in flight.
    Stopped,
}
