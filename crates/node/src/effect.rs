//! Effects of a node, which the surrounding process carries out.

use std::net::SocketAddr;

use acaciareel_consensus::{Record, Role};
use acaciareel_scheduler::PoolSummary;
use acaciareel_types::{
    Answer, Class, FailureDomain, Incarnation, Millis, Reason, TableVersion, Tables, TenantName,
    Term, Verdict, VmId, WorkerId, WorkerReport,
};

use crate::{CallId, ConnectionId, GroupId, PeerMessage, TablesReply, WorkerCall};

/// State of a request, in reply to an inquiry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestState {
    /// No record of the key exists.
    Unknown,
    /// Accepted, and waiting for a start.
    Waiting,
    /// Started on a worker.
    Running,
    /// Ended with this answer.
    Finished(Answer),
    /// The worker was lost; the request may have run.
    Lost,
    /// It was cancelled before it ran.
    Cancelled,
    /// The home failure domain cannot be reached.
    Unavailable,
}

/// One entry VM, in the view of this one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmStatus {
    /// Identifier of the VM.
    pub vm: VmId,
    /// Failure domain that it belongs to.
    pub failure_domain: FailureDomain,
    /// Incarnation in its last message.
    pub incarnation: Option<Incarnation>,
    /// Whether its messages arrive and it receives those of this VM.
    pub reachable: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Version of the tables in force there, from its last heartbeat.
    pub tables_version: TableVersion,
    /// Whether it is the placer of a failure domain, its own or another one.
    pub placer: bool,
}

/// One worker, in the view of this VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerStatus {
    /// Last report of the worker.
    pub report: WorkerReport,
    /// Time since the last report.
    pub report_age_ms: Millis,
    /// `joining`, `active` or `draining` as its placer sees it; `announced` on other VMs.
    pub state: &'static str,
}

/// One consensus group, in the view of this VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupStatus {
    /// Identifier of the group.
    pub group: GroupId,
    /// Role of this VM in it.
    pub role: Role,
    /// Current term of this VM's replica.
    pub term: Term,
    /// Leader, if known to this VM.
    pub leader: Option<VmId>,
}

/// One pool of a failure domain that this VM is the placer of.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolStatus {
    /// Failure domain that it belongs to.
    pub failure_domain: FailureDomain,
    /// Workers, capacity, free capacity and queue of the pool.
    pub summary: PoolSummary,
}

/// Reply to an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OperatorReply {
    /// Outcome of a change of the tables.
    Applied(TablesReply),
    /// Tables in force.
    Tables {
        /// Version in force.
        version: TableVersion,
        /// Rows in force.
        tables: Tables,
    },
    /// Latest changes: version and operation identifier, oldest first.
    History(Vec<(TableVersion, String)>),
    /// State of each entry VM.
    Vms(Vec<VmStatus>),
    /// State of each worker known to this VM.
    Workers(Vec<WorkerStatus>),
    /// Groups of this VM and pools that it places work in.
    State {
        /// State of each group.
        groups: Vec<GroupStatus>,
        /// Pools, by failure domain and name.
        pools: Vec<PoolStatus>,
    },
    /// Whether a placer has confirmed in time that it has the worker. Without a confirmation the
    /// worker counts as unknown, but each reachable VM drains it if it becomes its placer.
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
    /// The result of a task is recorded; the worker may drop it.
    ResultRecorded,
    /// The owner of the task cannot be reached; the worker must post the result again.
    ResultNotRecorded,
}

/// Severity of a log event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogLevel {
    /// A failure that needs an operator.
    Error,
    /// An unusual event that needs no operator.
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
        /// Tenant of the request.
        tenant: TenantName,
        /// Class of the request.
        class: Class,
        /// `ran`, `not_run` or `may_have_run`.
        verdict: &'static str,
        /// Reason, unless it ran.
        reason: Option<Reason>,
        /// Time from receipt to answer.
        total_ms: Millis,
    },
    /// A worker has confirmed that it has a task.
    Started {
        /// Tenant of the request.
        tenant: TenantName,
        /// Class of the request.
        class: Class,
        /// Time from acceptance to the confirmation.
        waited_ms: Millis,
    },
    /// The result of a task has arrived at the task's placer.
    Ended {
        /// Tenant of the request.
        tenant: TenantName,
        /// Class of the request.
        class: Class,
        /// Time from the placement, or from the recovery by a new placer, to the result.
        ran_ms: Millis,
    },
    /// New tables are in force on this VM.
    TablesInForce(TableVersion),
    /// A line of the log.
    Log {
        /// Severity of the line.
        level: LogLevel,
        /// Name of the event.
        event: &'static str,
        /// Keys and values of the fields, in order.
        fields: Vec<(&'static str, String)>,
    },
}

/// Effect of a node, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Sends a message to another VM; it may be lost.
    Send {
        /// VM to send to.
        to: VmId,
        /// Message to encode and send.
        message: PeerMessage,
    },
    /// Writes and syncs records, then replies with `Event::Synced`. Without a disk the reply comes
    /// at once.
    Persist {
        /// Number that rises with each effect; a sync covers all lower ones.
        ticket: u64,
        /// Group that the records belong to.
        group: GroupId,
        /// Records in the order to write them.
        records: Vec<Record>,
    },
    /// Calls a worker, then replies with `Event::WorkerReplied`.
    CallWorker {
        /// Identifier to return with the reply.
        call: CallId,
        /// Worker to call.
        worker: WorkerId,
        /// Address of the worker.
        address: SocketAddr,
        /// Method, path and body of the call.
        request: WorkerCall,
    },
    /// Replies on a connection and closes it.
    Reply {
        /// Connection to reply on.
        connection: ConnectionId,
        /// Reply to encode and send.
        reply: Reply,
    },
    /// A metric or a log event to record.
    Observe(Observation),
    /// The graceful stop is complete: no request is in flight.
    Stopped,
}
