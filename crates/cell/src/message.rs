//! Messages between the VMs of a cell, other than those of consensus.

use serde::{Deserialize, Serialize};

use crate::{JobSpec, WorkerReply, WorkerRequest};

/// What a caller asks an entry VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallerRequest {
    /// Submits a job.
    Submit(JobSpec),
    /// Asks for the state of a job, or for the number of waiting jobs of a queue.
    Status,
    /// Cancels a job.
    Cancel,
}

/// A request of a caller with the place it was sent to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AddressedRequest {
    /// Host that the caller named.
    pub host: String,
    /// Path that the caller named.
    pub path: String,
    /// Request.
    pub request: CallerRequest,
}

/// State of a job as a caller sees it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobView {
    /// Accepted; nothing has started.
    Queued,
    /// Started and not ended.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// Cancelled.
    Cancelled,
}

/// Why a request was refused without effect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RefusalReason {
    /// Work that is ahead takes longer than the job may wait.
    Backlog,
    /// No worker can hold one of the tasks.
    NoWorkerFits,
    /// There is no queue table yet, or no worker.
    NotReady,
    /// No leader is known.
    NoLeader,
    /// The entry VM holds as many requests as it may.
    Busy,
}

/// Reply to a caller's request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallerReply {
    /// The job is accepted and stored.
    Accepted,
    /// State of a job.
    Job(JobView),
    /// Accepted jobs of a queue of which nothing has started.
    Pending(u64),
    /// The job is cancelled or had ended before.
    Cancelled,
    /// No such job.
    UnknownJob,
    /// No such queue.
    UnknownQueue,
    /// The job is malformed.
    Invalid,
    /// Refused without effect.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When it makes sense to ask again.
        retry_after_ms: u64,
    },
    /// The request may have had an effect; its outcome is not known.
    Uncertain,
}

/// A call for advice: which of these workers may run a step.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdviceRequest {
    /// Step in text form.
    pub step: String,
    /// Ids of the workers.
    pub worker_ids: Vec<String>,
}

/// Workers that may run the step, each with a ticket; `None` where the service did not answer.
pub type AdviceResponse = Option<Vec<(String, String)>>;

/// Message between VMs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerMessage {
    /// First message on a connection: who is calling.
    Hello {
        /// Sender.
        vm: u32,
        /// Life of the sender's state.
        incarnation: u64,
        /// Whether the sender takes requests of callers.
        entry: bool,
        /// Failure domain of the sender.
        failure_domain: String,
    },
    /// What a control VM believes; sent at intervals on each connection that it accepted.
    Status {
        /// Term of the control VM.
        term: u64,
        /// Whether it leads and is up to date.
        leads: bool,
        /// VMs of the consensus group.
        members: Vec<u32>,
    },
    /// An entry VM is alive.
    Ping,
    /// A request of a caller.
    Call {
        /// Number that the entry VM gave the request.
        call: u64,
        /// Request.
        request: AddressedRequest,
    },
    /// Reply to `Call`; `None` from a VM that does not lead.
    CallReply {
        /// Number of the call.
        call: u64,
        /// Reply.
        reply: Option<CallerReply>,
    },
    /// The leader asks an entry VM to ask for advice.
    AdviceRequest {
        /// Number that the leader gave the question.
        call: u64,
        /// Question.
        request: AdviceRequest,
    },
    /// The leader asks another control VM to call a worker.
    Relay {
        /// Number that the leader gave the call.
        call: u64,
        /// Address of the worker.
        address: String,
        /// Id of the life that is meant.
        worker_id: String,
        /// Request.
        request: WorkerRequest,
        /// Longest wait for the reply.
        timeout_ms: u64,
    },
    /// Reply to `Relay`.
    RelayReply {
        /// Number of the call.
        call: u64,
        /// Reply of the worker.
        reply: WorkerReply,
    },
    /// Reply to `Ask`.
    AdviceResponse {
        /// Number of the question.
        call: u64,
        /// Answer.
        response: AdviceResponse,
    },
}
