//! Events and effects of the reducers of a cell, and the requests and replies that they carry.

use std::sync::Arc;

use acaciareel_consensus::{Message, Record};
use acaciareel_types::{Incarnation, Millis, VmId};
use serde::{Deserialize, Serialize};

use crate::{
    AddressedRequest, AdviceRequest, AdviceResponse, CallerReply, Command, PeerMessage, QueueTable,
    RunCompletion, RunKey, WorkerRecord,
};

/// Severity of a log line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogLevel {
    /// A fault, or a decision that an operator may have to look into.
    Warn,
    /// A decision of normal operation.
    Info,
}

/// Request on the interface for workers and operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ControlRequest {
    /// A worker announces itself.
    Announce {
        /// Latest record of the worker, including whether it is draining.
        worker: WorkerRecord,
        /// Reading of the worker's clock, if the worker sent one.
        clock_ms: Option<u64>,
        /// Number of the announcement in this incarnation. An announcement with a lower number than
        /// the latest one is out of date.
        sequence: u64,
    },
    /// A worker ends and must get no further runs.
    Deregister(Deregistration),
    /// An operator replaces the queue table.
    PutQueues(QueueTable),
    /// An operator reads the queue table.
    GetQueues,
}

/// What a worker says when it ends. It may arrive after the next incarnation has announced itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Deregistration {
    /// Id under which the worker announced itself.
    pub worker_id: String,
    /// Start of the incarnation that ends, in Unix milliseconds of the worker's clock; `None` if the
    /// worker did not tell.
    pub incarnation_started_ms: Option<u64>,
    /// Number from the [`ControlReply::Repeat`] that the sender has read; `None` in a first notice.
    pub repeats: Option<u64>,
}

/// Reply on the interface for workers and operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ControlReply {
    /// The request is handled; its change, if any, is committed.
    Done,
    /// Another VM leads and can handle the request.
    Redirect(VmId),
    /// No leader is known, or this VM leads but does not hold a valid leader lease.
    Unavailable,
    /// The worker is to send its deregistration again, with this number, which shows that it has read
    /// the reply.
    Repeat(u64),
    /// The queue table in force, as the operator sent it.
    Queues(Arc<[u8]>),
}

/// Call to a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WorkerRequest {
    /// Starts a run.
    Start {
        /// Task and number of the run.
        run: RunKey,
        /// Text that is passed to the task unchanged.
        payload: String,
        /// End of the lease on the worker's clock.
        lease_until_ms: u64,
        /// Fencing token; a worker refuses calls with a lower token than the highest it has
        /// received.
        token: u64,
        /// Checkpoint to resume from; empty if there is none.
        checkpoint: String,
        /// Ticket of the policy service, if the queue uses one.
        ticket: Option<String>,
    },
    /// Stops a run.
    Stop {
        /// Task and number of the run.
        run: RunKey,
        /// Fencing token, as in `Start`.
        token: u64,
    },
    /// Renews the lease, acknowledges completions and waits for the next one.
    Renew {
        /// End of the lease on the worker's clock; `None` if the lease is not extended, for example
        /// while the clock is not known.
        lease_until_ms: Option<u64>,
        /// Fencing token, as in `Start`.
        token: u64,
        /// Number of the last completion that is committed.
        acknowledged: u64,
        /// Longest time that the worker waits for a completion before it replies.
        wait_ms: u64,
    },
}

/// Reason why a worker refused a start.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StartRefusal {
    /// The worker has received a higher fencing token.
    Fenced,
    /// This run or a later run of the task was stopped or has ended on the worker.
    Old,
    /// The lease ended before the start arrived.
    Late,
    /// The worker has not enough free capacity.
    Room,
    /// The ticket is missing or not valid any more.
    Ticket,
    /// The worker is unhealthy, or the request was invalid.
    Unwilling,
    /// Another incarnation of the worker, or another worker, is at the address.
    OtherLife,
}

/// A run that a worker reports as running.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportedRun {
    /// Task and number of the run.
    pub run: RunKey,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Progress in percent.
    pub percent: u32,
}

/// Report of a worker in its reply to a renewal.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RenewalReport {
    /// Reading of the worker's clock.
    pub clock_ms: u64,
    /// Start of the worker's incarnation, if the worker sent it.
    pub incarnation_started_ms: Option<u64>,
    /// All runs that are running on the worker.
    pub running: Vec<ReportedRun>,
    /// Completions that are not acknowledged, from the first on, with their numbers in ascending order.
    pub completions: Vec<(u64, RunCompletion)>,
    /// Whether no further completions may wait behind the listed ones. The list is bounded; the rest
    /// follows once the listed ones are acknowledged.
    pub lists_all_completions: bool,
}

impl RenewalReport {
    /// Returns whether the report shows that a run is not on the worker: it is not running, and has
    /// not completed without being listed.
    #[must_use]
    pub fn rules_out(&self, run: RunKey) -> bool {
        let is_running = || self.running.iter().any(|running| running.run == run);
        self.lists_all_completions && !is_running()
    }
}

/// Reply of a worker, or its absence.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WorkerReply {
    /// The worker runs the run, because of this start or an earlier one.
    Started {
        /// Reading of the worker's clock, if the worker sent one.
        clock_ms: Option<u64>,
    },
    /// The start was refused and had no effect.
    Refused(StartRefusal),
    /// The worker accepted the stop.
    Stopped,
    /// The worker accepted the renewal and reports its runs.
    Renewed(RenewalReport),
    /// No complete reply arrived. The call may have taken effect or may still do so later.
    NoReply,
    /// The connection was refused: no process listens at the worker's address. Earlier copies of the
    /// call may have taken effect.
    NotListening,
}

/// Receiver of a reply of the leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// A request forwarded by an entry VM.
    Entry {
        /// Entry VM that forwarded the request.
        vm: VmId,
        /// Number that the entry VM gave the request.
        call: u64,
    },
    /// A request of a worker that another control VM forwarded.
    Member {
        /// Control VM that forwarded the request.
        vm: VmId,
        /// Number that the control VM gave the request.
        call: u64,
    },
    /// A connection on the interface for workers and operators.
    Control {
        /// Number of the connection on this VM.
        connection: u64,
    },
}

/// Input of the reducer of a VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// Time has passed. Expected every 10 ms.
    Tick,
    /// Records of earlier [`Effect::Persist`]s are synced to disk.
    Synced {
        /// Ticket of the latest synced `Persist`.
        ticket: u64,
    },
    /// A consensus message arrived.
    Consensus {
        /// VM that sent the message.
        from: VmId,
        /// Incarnation of the sender's stored state.
        incarnation: Incarnation,
        /// Message of the sender's [`Effect::SendConsensus`].
        message: Message,
    },
    /// A message other than a consensus message arrived.
    Peer {
        /// VM that sent the message.
        from: VmId,
        /// Message of the sender's [`Effect::Send`].
        message: PeerMessage,
    },
    /// A connection to or from a VM has ended.
    Disconnected {
        /// VM at the other end.
        vm: VmId,
    },
    /// A request on the interface for workers and operators.
    Control {
        /// Number of the connection that waits for the reply.
        connection: u64,
        /// Request, decoded by the daemon.
        request: ControlRequest,
    },
    /// A request of a caller at an entry VM.
    Caller {
        /// Number of the connection that waits for the reply.
        connection: u64,
        /// Request with the host and path that the caller named.
        request: AddressedRequest,
        /// How long the caller waits for the reply.
        timeout_ms: u64,
    },
    /// The connection of a caller has closed.
    CallerDisconnected {
        /// Number of the connection.
        connection: u64,
    },
    /// A call to a worker has ended.
    WorkerReplied {
        /// Number from the [`Effect::CallWorker`].
        call: u64,
        /// VM for which the call was made; the reply goes there.
        for_vm: VmId,
        /// Reply, or its absence.
        reply: WorkerReply,
    },
    /// A call to the policy service has ended.
    AdviceReceived {
        /// Number from the [`Effect::RequestAdvice`].
        call: u64,
        /// Leader for which the call was made; the response goes there.
        for_vm: VmId,
        /// Response, or its absence.
        response: AdviceResponse,
    },
    /// The settings were reloaded and name these seeds.
    SeedsChanged(Vec<VmId>),
    /// The process received a request to stop.
    Stop,
}

impl Event {
    /// Returns the kind of the event, for metrics and logs.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Tick => "tick",
            Self::Synced { .. } => "synced",
            Self::Consensus { .. } => "consensus",
            Self::Peer { .. } => "peer",
            Self::Disconnected { .. } => "disconnected",
            Self::Control { .. } => "control",
            Self::Caller { .. } => "caller",
            Self::CallerDisconnected { .. } => "caller_disconnected",
            Self::WorkerReplied { .. } => "worker_replied",
            Self::AdviceReceived { .. } => "advice_received",
            Self::SeedsChanged(_) => "seeds_changed",
            Self::Stop => "stop",
        }
    }
}

/// Output of the reducer of a VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Sends a consensus message.
    SendConsensus {
        /// VM that receives the message.
        to: VmId,
        /// Content of the message.
        message: Message,
    },
    /// Sends a message other than a consensus message.
    Send {
        /// VM that receives the message.
        to: VmId,
        /// Content of the message.
        message: PeerMessage,
    },
    /// Writes and syncs records, then reports [`Event::Synced`] with the ticket.
    Persist {
        /// Number that identifies the sync.
        ticket: u64,
        /// Records to append, in order.
        records: Vec<Record>,
    },
    /// Calls a worker and reports [`Event::WorkerReplied`].
    CallWorker {
        /// Number that the VM named by `for_vm` gave the call.
        call: u64,
        /// VM for which the call is made.
        for_vm: VmId,
        /// Address of the worker.
        address: String,
        /// Id of the worker that is meant; another worker at the address refuses the call.
        worker_id: String,
        /// Content of the call.
        request: WorkerRequest,
        /// Longest wait for the reply.
        timeout_ms: u64,
    },
    /// Calls the policy service and reports [`Event::AdviceReceived`].
    RequestAdvice {
        /// Number that the VM named by `for_vm` gave the call.
        call: u64,
        /// Leader for which the call is made.
        for_vm: VmId,
        /// Step and workers in question.
        request: AdviceRequest,
    },
    /// Replies to a worker or operator.
    ReplyControl {
        /// Number of the connection from [`Event::Control`].
        connection: u64,
        /// Reply to encode.
        reply: ControlReply,
    },
    /// Replies to a caller.
    ReplyCaller {
        /// Number of the connection from [`Event::Caller`].
        connection: u64,
        /// Reply to encode.
        reply: CallerReply,
    },
    /// Keeps connections to exactly these control VMs.
    Connect {
        /// Control VMs, sorted.
        vms: Vec<VmId>,
    },
    /// Writes a log line.
    Log {
        /// Severity of the line.
        level: LogLevel,
        /// Event name; also the label of the event counter.
        event: &'static str,
        /// Keys and values in the order in which they are written.
        fields: Vec<(&'static str, String)>,
    },
    /// Adds a value to a latency histogram.
    Measure {
        /// Name of the histogram, ending in `_ms`, or in `_permille` for a ratio.
        name: &'static str,
        /// Value of the histogram's label, such as a queue name; may be empty.
        label: String,
        /// Measured duration, exported in seconds, or ratio in thousandths, exported as a fraction.
        value_ms: u64,
    },
    /// Adds 1 to a counter.
    Count {
        /// Name of the counter, without the prefix `acaciareel_cell_` of the metrics page.
        name: &'static str,
        /// Names and values of the labels. Values come from the queue table, which bounds their
        /// number.
        labels: Vec<(&'static str, String)>,
    },
    /// Sets a gauge.
    Gauge {
        /// Name of the gauge, without the prefix `acaciareel_cell_` of the metrics page.
        name: &'static str,
        /// Value that replaces the gauge's previous one.
        value: u64,
    },
    /// Sets a gauge of one tenant.
    LabeledGauge {
        /// Name of the gauge, as in [`Effect::Gauge`].
        name: &'static str,
        /// Name of the tenant.
        label: String,
        /// Value that replaces the gauge's previous one.
        value: u64,
    },
    /// The VM has stopped and its process may end.
    Stopped,
}

/// Inputs and outputs of the leader while it handles one event.
#[derive(Debug)]
pub(crate) struct Io<'a> {
    /// Time on this VM's monotonic clock.
    pub now_ms: Millis,
    /// Time of day, in Unix milliseconds.
    pub unix_ms: u64,
    /// Whether this VM holds the leader lease, so that no other VM can be leading.
    pub holds_lease: bool,
    pub effects: &'a mut Vec<Effect>,
    /// Commands to propose, in order.
    pub commands: &'a mut Vec<Command>,
}

impl Io<'_> {
    pub fn effect(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    pub fn log(&mut self, event: &'static str, fields: Vec<(&'static str, String)>) {
        let level = LogLevel::Info;
        self.effect(Effect::Log {
            level,
            event,
            fields,
        });
    }

    pub fn warn(&mut self, event: &'static str, fields: Vec<(&'static str, String)>) {
        let level = LogLevel::Warn;
        self.effect(Effect::Log {
            level,
            event,
            fields,
        });
    }

    pub fn reply_caller(&mut self, origin: Origin, reply: CallerReply) {
        if let Origin::Entry { vm, call } = origin {
            let message = PeerMessage::CallReply {
                call,
                reply: Some(reply),
            };
            self.effect(Effect::Send { to: vm, message });
        }
    }

    pub fn reply_control(&mut self, origin: Origin, reply: ControlReply) {
        match origin {
            Origin::Control { connection } => {
                self.effect(Effect::ReplyControl { connection, reply });
            }
            Origin::Member { vm, call } => {
                let done = reply == ControlReply::Done;
                let message = PeerMessage::WorkerCallReply { call, done };
                self.effect(Effect::Send { to: vm, message });
            }
            Origin::Entry { .. } => {}
        }
    }
}
