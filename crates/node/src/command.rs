//! Commands and states of the replicated state machines.

use acaciareel_types::{
    Answer, Attempt, Body, BodyDigest, FailureDomain, IdempotencyKey, Incarnation, KindName,
    LogIndex, Millis, OperationId, TableVersion, Tables, TaskId, TenantName, WorkerId,
};

use crate::TablesChange;

/// Identity of a ledgered request: a key is scoped to its tenant.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestKey {
    /// Tenant.
    pub tenant: TenantName,
    /// Idempotency key.
    pub key: IdempotencyKey,
}

/// Where a task was started.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StartedOn {
    /// On a worker of the home failure domain.
    Worker {
        /// Worker.
        worker: WorkerId,
        /// Incarnation of the worker when the task was placed.
        incarnation: Incarnation,
    },
    /// By the placer of another failure domain.
    Domain(FailureDomain),
}

/// One task of a started request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartedTask {
    /// Task.
    pub task: TaskId,
    /// Where.
    pub on: StartedOn,
    /// Answer, once the task has ended.
    pub answer: Option<Answer>,
}

/// State of a ledgered request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LedgerState {
    /// Accepted, not started.
    Waiting,
    /// Started; a worker may have heard of it.
    Running(Vec<StartedTask>),
    /// Ended with this answer at this entry of the log.
    Finished {
        /// Answer to the caller.
        answer: Answer,
        /// Entry that finished it, for retention.
        at: LogIndex,
    },
    /// A request of effect `once` whose worker was lost.
    Lost {
        /// Entry that recorded the loss, for retention.
        at: LogIndex,
    },
}

/// Record of a ledgered request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LedgerRecord {
    /// Kind.
    pub kind: KindName,
    /// Digest of kind and body.
    pub digest: BodyDigest,
    /// Body, empty once the request has ended.
    pub body: Body,
    /// Time limit as it was at admission.
    pub time_limit_ms: Millis,
    /// Whether the request may run at most once.
    pub once: bool,
    /// Number of the latest attempt to run it, 0 before the first.
    pub attempt: Attempt,
    /// Whether a caller asked to cancel it.
    pub cancelled: bool,
    /// State.
    pub state: LedgerState,
}

/// Command of a ledger group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LedgerCommand {
    /// Accepts a request, if its key has no record.
    Admit {
        /// Key.
        key: RequestKey,
        /// Kind.
        kind: KindName,
        /// Digest of kind and body.
        digest: BodyDigest,
        /// Body.
        body: Body,
        /// Time limit.
        time_limit_ms: Millis,
        /// Whether the request may run at most once.
        once: bool,
    },
    /// Starts a waiting request; `attempt` is one more than the last.
    Start {
        /// Key.
        key: RequestKey,
        /// Attempt.
        attempt: Attempt,
        /// Tasks, without answers.
        tasks: Vec<StartedTask>,
    },
    /// Records the answer of one task of the running attempt.
    Finish {
        /// Key.
        key: RequestKey,
        /// Attempt.
        attempt: Attempt,
        /// Task.
        task: TaskId,
        /// Answer.
        answer: Answer,
    },
    /// The running attempt has certainly ended without an answer, or never ran: waits again.
    Return {
        /// Key.
        key: RequestKey,
        /// Attempt.
        attempt: Attempt,
    },
    /// Removes a waiting request.
    Withdraw {
        /// Key.
        key: RequestKey,
    },
    /// The fate of the running attempt of a request of effect `once` cannot be learnt.
    Lose {
        /// Key.
        key: RequestKey,
        /// Attempt.
        attempt: Attempt,
    },
    /// Marks a running request as cancelled, so that it is not run again.
    Cancel {
        /// Key.
        key: RequestKey,
    },
    /// Removes ended records up to an entry of the log.
    Expire {
        /// Last entry.
        through: LogIndex,
    },
}

/// State of a ledger group: records sorted by key.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LedgerSnapshot {
    /// Records, sorted by key.
    pub records: Vec<(RequestKey, LedgerRecord)>,
}

/// Command of the tables group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TablesCommand {
    /// Replaces the tables, if the version is current and the operation is new.
    Apply {
        /// Operation.
        operation: OperationId,
        /// Version that the operator has seen.
        expected_version: TableVersion,
        /// New tables.
        tables: Tables,
    },
    /// Changes rows of the tables, if the version is current and the operation is new.
    Change {
        /// Operation.
        operation: OperationId,
        /// Version that the operator has seen and that the change is relative to.
        expected_version: TableVersion,
        /// Change.
        change: TablesChange,
    },
}

impl TablesCommand {
    /// Returns the operation.
    #[must_use]
    pub fn operation(&self) -> &OperationId {
        match self {
            Self::Apply { operation, .. } | Self::Change { operation, .. } => operation,
        }
    }

    /// Returns the version that the operator has seen.
    #[must_use]
    pub fn expected_version(&self) -> TableVersion {
        match self {
            Self::Apply {
                expected_version, ..
            }
            | Self::Change {
                expected_version, ..
            } => *expected_version,
        }
    }
}

/// Outcome of an operation, kept so that a resend gets the first answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OperationOutcome {
    /// Operation.
    pub operation: OperationId,
    /// Whether the change was accepted.
    pub accepted: bool,
    /// Version that the change made, or the current version of a conflict.
    pub version: TableVersion,
}

/// State of the tables group.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TablesSnapshot {
    /// Version.
    pub version: TableVersion,
    /// Tables.
    pub tables: Tables,
    /// Latest outcomes, oldest first.
    pub outcomes: Vec<OperationOutcome>,
}
