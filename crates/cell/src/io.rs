//! Events and effects of the reducers of a cell.

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
    /// Needs attention.
    Warn,
    /// Ordinary decision.
    Info,
}

/// Request on the interface for workers and operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ControlRequest {
    /// A worker announces itself.
    Announce {
        /// Record; draining included.
        worker: WorkerRecord,
        /// Reading of the worker's clock, if it gave one.
        clock_ms: Option<u64>,
        /// Count of the worker's announcements in this life.
        sequence: u64,
    },
    /// A worker has ended.
    Deregister {
        /// Id of the worker.
        worker_id: String,
    },
    /// An operator sends a queue table.
    PutQueues(QueueTable),
    /// An operator reads the queue table.
    GetQueues,
}

/// Reply on the interface for workers and operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ControlReply {
    /// Done and stored.
    Done,
    /// Another VM leads.
    Redirect(VmId),
    /// No leader is known, or this one cannot be sure that it still leads.
    Unavailable,
    /// The queue table in force, in the operator's form.
    Queues(Vec<u8>),
}

/// Call to a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WorkerRequest {
    /// Starts a run.
    Start {
        /// Run.
        run: RunKey,
        /// Text for the task.
        payload: String,
        /// End of the lease on the worker's clock.
        lease_until_ms: u64,
        /// Fencing token.
        token: u64,
        /// Checkpoint to resume from; empty if there is none.
        checkpoint: String,
        /// Ticket of the policy service, if the queue has one.
        ticket: Option<String>,
    },
    /// Stops a run.
    Stop {
        /// Run.
        run: RunKey,
        /// Fencing token.
        token: u64,
    },
    /// Renews the lease, acknowledges ends and waits for the next end.
    Renew {
        /// End of the lease on the worker's clock; `None` while the clock is not known.
        lease_until_ms: Option<u64>,
        /// Fencing token.
        token: u64,
        /// Number of the last end that is committed.
        acknowledged: u64,
        /// Longest wait for an end.
        wait_ms: u64,
    },
}

/// Why a worker refused a start.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StartRefusal {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// This or a later run was stopped or has ended there.
    Old,
    /// The lease is over.
    Late,
    /// The worker has no room.
    Room,
    /// The ticket is missing or no longer valid.
    Ticket,
    /// The worker is not healthy, or the request was not valid.
    Unwilling,
    /// Another life of the worker answers.
    OtherLife,
}

/// A run that a worker reports as running.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportedRun {
    /// Run.
    pub run: RunKey,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Progress in percent.
    pub percent: u32,
}

/// What a worker replies to a renewal.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RenewalReport {
    /// Reading of the worker's clock.
    pub clock_ms: u64,
    /// Start of this life of the worker, if it says so.
    pub incarnation_started_ms: Option<u64>,
    /// Runs under way.
    pub running: Vec<ReportedRun>,
    /// Ends by their numbers, ascending.
    pub completions: Vec<(u64, RunCompletion)>,
}

/// Reply of a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WorkerReply {
    /// The run is there.
    Started {
        /// Reading of the worker's clock.
        clock_ms: Option<u64>,
    },
    /// The start was refused and did nothing.
    Refused(StartRefusal),
    /// The order to stop is taken.
    Stopped,
    /// Reply to a renewal.
    Renewed(RenewalReport),
    /// No complete reply; the call may have had its effect, or may have it later.
    NoReply,
}

/// Who waits for a reply of the leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// A call of an entry VM.
    Entry {
        /// Entry VM.
        vm: VmId,
        /// Number of the call.
        call: u64,
    },
    /// A connection on the interface for workers and operators.
    Control {
        /// Connection.
        connection: u64,
    },
}

/// Input of the reducer of a VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Records are synced.
    Synced {
        /// Ticket of the last of them.
        ticket: u64,
    },
    /// A consensus message arrived.
    Consensus {
        /// Sender.
        from: VmId,
        /// Life of the sender's state.
        incarnation: Incarnation,
        /// Message.
        message: Message,
    },
    /// Another message arrived.
    Peer {
        /// Sender.
        from: VmId,
        /// Message.
        message: PeerMessage,
    },
    /// A connection to or from a VM has ended.
    Disconnected {
        /// VM.
        vm: VmId,
    },
    /// A request on the interface for workers and operators.
    Control {
        /// Connection that waits.
        connection: u64,
        /// Request.
        request: ControlRequest,
    },
    /// A request of a caller at an entry VM.
    Caller {
        /// Connection that waits.
        connection: u64,
        /// Request.
        request: AddressedRequest,
        /// How long the caller waits.
        timeout_ms: u64,
    },
    /// The connection of a caller has closed.
    CallerDisconnected {
        /// Connection.
        connection: u64,
    },
    /// A worker replied.
    WorkerReplied {
        /// Call.
        call: u64,
        /// VM that made the call.
        for_vm: VmId,
        /// Reply.
        reply: WorkerReply,
    },
    /// The policy service answered.
    AdviceReceived {
        /// Call.
        call: u64,
        /// VM that asked on behalf of the leader.
        for_vm: VmId,
        /// Answer.
        response: AdviceResponse,
    },
    /// The settings name other seeds.
    SeedsChanged(Vec<VmId>),
    /// The process is asked to stop.
    Stop,
}

/// Output of the reducer of a VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Sends a consensus message.
    SendConsensus {
        /// Receiver.
        to: VmId,
        /// Message.
        message: Message,
    },
    /// Sends another message.
    Send {
        /// Receiver.
        to: VmId,
        /// Message.
        message: PeerMessage,
    },
    /// Syncs records, then gives `Synced` with the ticket.
    Persist {
        /// Ticket.
        ticket: u64,
        /// Records.
        records: Vec<Record>,
    },
    /// Calls a worker.
    CallWorker {
        /// Call.
        call: u64,
        /// VM that the reply is for.
        for_vm: VmId,
        /// Address of the worker.
        address: String,
        /// Id of the life that is meant.
        worker_id: String,
        /// Request.
        request: WorkerRequest,
        /// Longest wait for the reply.
        timeout_ms: u64,
    },
    /// Asks the policy service.
    RequestAdvice {
        /// Call.
        call: u64,
        /// VM that the answer is for.
        for_vm: VmId,
        /// Question.
        request: AdviceRequest,
    },
    /// Replies to a worker or operator.
    ReplyControl {
        /// Connection.
        connection: u64,
        /// Reply.
        reply: ControlReply,
    },
    /// Replies to a caller.
    ReplyCaller {
        /// Connection.
        connection: u64,
        /// Reply.
        reply: CallerReply,
    },
    /// Keeps connections to these control VMs.
    Connect {
        /// Control VMs, sorted.
        vms: Vec<VmId>,
    },
    /// Writes a log line.
    Log {
        /// Severity.
        level: LogLevel,
        /// What happened.
        event: &'static str,
        /// Details.
        fields: Vec<(&'static str, String)>,
    },
    /// Adds to a latency histogram.
    Measure {
        /// Histogram.
        name: &'static str,
        /// Queue or other label.
        label: String,
        /// Value.
        value_ms: u64,
    },
    /// Sets a gauge.
    Gauge {
        /// Gauge.
        name: &'static str,
        /// Value.
        value: u64,
    },
    /// The VM may end its process.
    Stopped,
}

/// What one reduction reads and writes.
#[derive(Debug)]
pub(crate) struct Io<'a> {
    /// Time on this VM's steady clock.
    pub now_ms: Millis,
    /// Time of day, Unix milliseconds.
    pub unix_ms: u64,
    /// Whether no other leader can exist now.
    pub leads: bool,
    pub effects: &'a mut Vec<Effect>,
    /// Commands to commit.
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
        if let Origin::Control { connection } = origin {
            self.effect(Effect::ReplyControl { connection, reply });
        }
    }
}
