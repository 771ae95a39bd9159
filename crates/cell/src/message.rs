//! Messages between the VMs of a cell, except consensus messages. They are encoded by position, so
//! fields and variants keep their order.

use serde::{Deserialize, Serialize};

use crate::{ApiKeyDigest, ControlRequest, JobSpec, WorkerRecord, WorkerReply, WorkerRequest};

/// Request of a caller to an entry VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallerRequest {
    /// Submits a job.
    Submit(JobSpec),
    /// Reads the state of a job, or, without a job id, the number of pending jobs of a queue.
    Status,
    /// Cancels a job.
    Cancel,
}

/// A caller's request with the address to which it was sent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AddressedRequest {
    /// Host named by the caller.
    pub host: String,
    /// Path named by the caller.
    pub path: String,
    /// Digest of the caller's API key; `None` if the caller sent none.
    pub api_key: Option<ApiKeyDigest>,
    /// Decoded method and body.
    pub request: CallerRequest,
}

impl AddressedRequest {
    /// Returns the memory that the request takes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let content_bytes = match &self.request {
            CallerRequest::Submit(spec) => spec.memory_bytes(),
            CallerRequest::Status | CallerRequest::Cancel => 0,
        };
        self.host.len() + self.path.len() + content_bytes
    }
}

/// State of a job as reported to callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobView {
    /// Accepted; no worker has begun a task.
    Queued,
    /// A worker has begun a task, and the job has not ended.
    Running,
    /// All tasks are done.
    Completed,
    /// A task or gang failed as often as the queue allows, or crashed too many workers.
    Failed,
    /// Cancelled by its caller.
    Cancelled,
}

/// Reason why a request was refused without effect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RefusalReason {
    /// The work ahead takes longer than the job may wait.
    Backlog,
    /// No worker has the capacity for a task of some step.
    NoWorkerFits,
    /// There is no queue table yet, or no worker of the service is available.
    NotReady,
    /// No leader is known.
    NoLeader,
    /// The VM has as many open requests, or the cell as many jobs, as it has memory for.
    Busy,
    /// A task or gang of the job can never start under its tenant's cap.
    BeyondCap,
    /// The job is beyond its tenant's rate and would have to wait.
    OverRate,
}

/// Reply to a caller's request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallerReply {
    /// The job is accepted and committed.
    Accepted,
    /// State of the job.
    Job(JobView),
    /// Number of accepted jobs of the queue of which no worker has begun a task.
    Pending(u64),
    /// The job is cancelled, or had ended before.
    Cancelled,
    /// No job has this id.
    UnknownJob,
    /// No queue has this host and path.
    UnknownQueue,
    /// The job or its id is malformed.
    Invalid,
    /// The request was refused without effect.
    Refused {
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Time after which the caller should retry.
        retry_after_ms: u64,
    },
    /// The request may have taken effect; its outcome is unknown.
    Uncertain,
    /// The queue requires an API key of a tenant, and the caller sent none or an unknown one.
    UnknownKey,
    /// The job belongs to another tenant.
    ForeignJob,
}

/// Request to the policy service: which of these workers may run a step.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdviceRequest {
    /// Step key in text form.
    pub step: String,
    /// Ids of the workers in question.
    pub worker_ids: Vec<String>,
}

/// Ids of the workers that may run the step, each with a ticket; `None` if the service did not
/// respond.
pub type AdviceResponse = Option<Vec<(String, String)>>;

/// Message between VMs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerMessage {
    /// First message on a connection: identifies the VM that opened it.
    Hello {
        /// Number of the sender's VM id.
        vm: u32,
        /// Incarnation of the sender's stored state.
        incarnation: u64,
        /// Whether the sender is an entry VM, which takes requests of callers.
        entry: bool,
        /// Failure domain of the sender.
        failure_domain: String,
    },
    /// Status of a control VM, sent at intervals to the entry VMs that connected to it.
    Status {
        /// Current term of the control VM.
        term: u64,
        /// Whether it leads and its state is up to date.
        leads: bool,
        /// Members of the consensus group and seeds.
        members: Vec<u32>,
    },
    /// Shows that an entry VM is alive.
    Ping,
    /// A caller's request, forwarded to the leader.
    Call {
        /// Number that the entry VM gave the request.
        call: u64,
        /// Request with the address to which it was sent.
        request: AddressedRequest,
    },
    /// Reply to `Call`; `None` from a VM that does not lead.
    CallReply {
        /// Number from the `Call`.
        call: u64,
        /// Reply for the caller.
        reply: Option<CallerReply>,
    },
    /// The leader has another VM call the policy service.
    AdviceRequest {
        /// Number that the leader gave the call.
        call: u64,
        /// Request for the policy service.
        request: AdviceRequest,
    },
    /// The leader has another control VM call a worker.
    Relay {
        /// Number that the leader gave the call.
        call: u64,
        /// Address of the worker.
        address: String,
        /// Id of the worker that is meant; another worker at the address refuses the call.
        worker_id: String,
        /// Content of the call.
        request: WorkerRequest,
        /// Longest wait for the reply.
        timeout_ms: u64,
        /// Time at which the leader sent the message, on its own clock.
        sent_ms: u64,
    },
    /// Reply to `Relay`.
    RelayReply {
        /// Number from the `Relay`.
        call: u64,
        /// Reply of the worker, or its absence.
        reply: WorkerReply,
    },
    /// Reply to `AdviceRequest`.
    AdviceResponse {
        /// Number from the `AdviceRequest`.
        call: u64,
        /// Response of the policy service, or its absence.
        response: AdviceResponse,
    },
    /// A control VM forwards the request of a worker to the leader.
    WorkerCall {
        /// Number that the sender gave the request.
        call: u64,
        /// Request of the worker.
        request: WorkerNotice,
    },
    /// Reply to `WorkerCall`.
    WorkerCallReply {
        /// Number from the `WorkerCall`.
        call: u64,
        /// Whether the request is handled and committed. Otherwise the receiver does not lead.
        done: bool,
    },
    /// A control VM tells the leader, until it ends, that it is to end.
    Stopping,
    /// Reply to `Stopping`.
    StoppingAnswer {
        /// What becomes of the VM's place in the consensus group.
        replacement: Replacement,
    },
}

/// What becomes of the place in the consensus group of a VM that is to end.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Replacement {
    /// Nobody can take it, or the VM is no voter.
    None,
    /// A learner takes it, and the VM stays meanwhile.
    UnderWay,
    /// The VM has been removed from the group.
    Done,
}

/// Request of a worker that a control VM forwards to the leader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WorkerNotice {
    /// A worker announces itself.
    Announce {
        /// Latest record of the worker.
        worker: WorkerRecord,
        /// Reading of the worker's clock, if the worker sent one.
        clock_ms: Option<u64>,
        /// Number of the announcement in this incarnation.
        sequence: u64,
    },
}

impl WorkerNotice {
    /// Returns the notice in a request; `None` if the leader itself has to talk to the sender, an operator
    /// or a worker that leaves.
    pub(crate) fn from_request(request: ControlRequest) -> Option<Self> {
        match request {
            ControlRequest::Announce {
                worker,
                clock_ms,
                sequence,
            } => Some(Self::Announce {
                worker,
                clock_ms,
                sequence,
            }),
            ControlRequest::Deregister(_)
            | ControlRequest::PutQueues(_)
            | ControlRequest::GetQueues => None,
        }
    }
}

impl From<WorkerNotice> for ControlRequest {
    fn from(notice: WorkerNotice) -> Self {
        match notice {
            WorkerNotice::Announce {
                worker,
                clock_ms,
                sequence,
            } => Self::Announce {
                worker,
                clock_ms,
                sequence,
            },
        }
    }
}
