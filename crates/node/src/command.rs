//! Commands and states of the replicated state machines.

use acaciareel_types::{
    Answer, Attempt, Body, BodyDigest, FailureDomain, IdempotencyKey, Incarnation, KindName,
    LogIndex, Millis, OperationId, TableVersion, Tables, TaskId, TenantName, WorkerId,
};

use crate::TablesChange;

/// Identity of a ledgered request: a key is scoped to its tenant.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestKey {
    /// Tenant that the key belongs to.
    pub tenant: TenantName,
    /// Idempotency key that the caller has chosen.
    pub key: IdempotencyKey,
}

/// Placement of a started task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StartedOn {
    /// On a worker of the home failure domain.
    Worker {
        /// Worker that the task was placed on.
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
    /// Identifier that the worker's reports and results use.
    pub task: TaskId,
    /// Where it was started.
    pub on: StartedOn,
    /// Answer, once the task has ended.
    pub answer: Option<Answer>,
}

/// State of a ledgered request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LedgerState {
    /// Accepted, not started.
    Waiting,
    /// Started; a worker may have received a task of it.
    Running(Vec<StartedTask>),
    /// Ended with an answer.
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
    /// Kind of the request.
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
    /// Whether a caller has cancelled it.
    pub cancelled: bool,
    /// Progress of the request.
    pub state: LedgerState,
}

/// Command of a ledger group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LedgerCommand {
    /// Accepts a request, if its key has no record.
    Admit {
        /// Key under which the request is recorded.
        key: RequestKey,
        /// Kind of the request.
        kind: KindName,
        /// Digest of kind and body.
        digest: BodyDigest,
        /// Body, kept until the request has ended.
        body: Body,
        /// Time limit at admission.
        time_limit_ms: Millis,
        /// Whether the request may run at most once.
        once: bool,
    },
    /// Starts a waiting request; `attempt` is one more than the last.
    Start {
        /// Key of the waiting request.
        key: RequestKey,
        /// Number of the new attempt.
        attempt: Attempt,
        /// Tasks, without answers.
        tasks: Vec<StartedTask>,
    },
    /// Records the answer of one task of the running attempt.
    Finish {
        /// Key of the running request.
        key: RequestKey,
        /// Running attempt; with any other number the command changes nothing.
        attempt: Attempt,
        /// Task of this attempt that has ended.
        task: TaskId,
        /// Answer of the task.
        answer: Answer,
    },
    /// Puts a request back to waiting, because the running attempt has certainly ended without an
    /// answer or never ran.
    Return {
        /// Key of the running request.
        key: RequestKey,
        /// Running attempt; with any other number the command changes nothing.
        attempt: Attempt,
    },
    /// Removes a waiting request.
    Withdraw {
        /// Key of the waiting request.
        key: RequestKey,
    },
    /// Ends a request of effect `once` whose running attempt has an unknown outcome.
    Lose {
        /// Key of the running request.
        key: RequestKey,
        /// Running attempt; with any other number the command changes nothing.
        attempt: Attempt,
    },
    /// Marks a running request as cancelled, so that it is not run again.
    Cancel {
        /// Key of the running request.
        key: RequestKey,
    },
    /// Removes ended records up to an entry of the log.
    Expire {
        /// Last entry whose records are removed.
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
        /// Identifier of the operation, equal in each resend.
        operation: OperationId,
        /// Version that the operator expects to be current.
        expected_version: TableVersion,
        /// Tables that replace the present ones.
        tables: Tables,
    },
    /// Changes rows of the tables, if the version is current and the operation is new.
    Change {
        /// Identifier of the operation, equal in each resend.
        operation: OperationId,
        /// Version that the operator expects to be current; the change is relative to it.
        expected_version: TableVersion,
        /// Rows to set and to remove.
        change: TablesChange,
    },
}

impl TablesCommand {
    /// Returns the identifier of the operation.
    #[must_use]
    pub fn operation(&self) -> &OperationId {
        match self {
            Self::Apply { operation, .. } | Self::Change { operation, .. } => operation,
        }
    }

    /// Returns the version that the operator expects to be current.
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

/// Outcome of an operation, kept so that a resend gets the first reply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OperationOutcome {
    /// Identifier of the operation, equal in each resend.
    pub operation: OperationId,
    /// Whether the change was accepted.
    pub accepted: bool,
    /// Version that the change made, or the current version of a conflict.
    pub version: TableVersion,
}

/// State of the tables group.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TablesSnapshot {
    /// Version in force.
    pub version: TableVersion,
    /// Tables in force.
    pub tables: Tables,
    /// Latest outcomes, oldest first.
    pub outcomes: Vec<OperationOutcome>,
}
