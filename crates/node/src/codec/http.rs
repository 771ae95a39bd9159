//! Conversions of calls to workers and of operators' and callers' bodies to and from JSON bodies.

use acaciareel_types::{TableVersion, TaskId, WorkerReport};
use acaciareel_wire::{DecodeError, Field, Fields, http, types};

use crate::{
    ConnectionId, Event, RequestState, TablesReply, VmStatus, WorkerCall, WorkerReply, WorkerStatus,
};

/// Body of a call to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum CallBody {
    /// Body of `POST /v1/lease`.
    Lease(http::LeaseRequest),
    /// Body of `POST /v1/tasks`.
    Start(http::StartTask),
    /// Body of `stop`, `checkpoint` and `throttle` calls.
    Command(http::TaskCommand),
}

impl WorkerCall {
    /// Returns the path that the call is posted to.
    #[must_use]
    pub fn path(&self) -> String {
        match self {
            Self::Lease { .. } => "/v1/lease".into(),
            Self::Start { .. } => "/v1/tasks".into(),
            Self::Stop { task, .. } => task_path(task, "stop"),
            Self::Checkpoint { task, .. } => task_path(task, "checkpoint"),
            Self::Throttle { task, .. } => task_path(task, "throttle"),
        }
    }

    /// Returns the JSON body of the call.
    #[must_use]
    pub fn body(&self) -> CallBody {
        match self {
            Self::Lease {
                token,
                holder,
                ttl_ms,
            } => CallBody::Lease(http::LeaseRequest {
                token: token.0,
                holder: holder.to_string(),
                ttl_ms: ttl_ms.0,
            }),
            Self::Start {
                task,
                token,
                kind,
                tenant,
                reserved,
                remaining_ms,
                exclusive,
                body,
            } => CallBody::Start(http::StartTask {
                task_id: task.to_string(),
                token: token.0,
                kind: kind.to_string(),
                tenant: tenant.to_string(),
                body: body.to_vec(),
                resources: reserved.to_wire(),
                remaining_ms: remaining_ms.0,
                exclusive: *exclusive,
            }),
            Self::Stop { token, .. }
            | Self::Checkpoint { token, .. }
            | Self::Throttle { token, .. } => {
                CallBody::Command(http::TaskCommand { token: token.0 })
            }
        }
    }
}

/// Returns the path of a call about one task. Of the characters of an identifier only `/`, which
/// separates path segments, is encoded.
fn task_path(task: &TaskId, command: &str) -> String {
    format!("/v1/tasks/{}/{command}", task.as_str().replace('/', "%2F"))
}

impl TryFrom<http::LeaseReply> for WorkerReply {
    type Error = DecodeError;

    fn try_from(wire: http::LeaseReply) -> Result<Self, DecodeError> {
        let fields = Fields::of("LeaseReply");
        if wire.report.is_none() && wire.unchanged_since > 0 {
            let sequence = wire.unchanged_since;
            return Ok(Self::Renewed { sequence });
        }
        Ok(Self::Leased {
            report: Field::from_wire(fields, "report", wire.report)?,
            unacknowledged: Field::from_wire(fields, "unacknowledged", wire.unacknowledged)?,
        })
    }
}

impl Event {
    /// Creates the event of a worker's announcement.
    ///
    /// # Errors
    ///
    /// Fails if a field is missing or invalid.
    pub fn announce(
        connection: ConnectionId,
        body: types::WorkerReport,
    ) -> Result<Self, DecodeError> {
        WorkerReport::try_from(body).map(|report| Self::Announce { connection, report })
    }

    /// Creates the event of a task's result.
    ///
    /// # Errors
    ///
    /// Fails if a field is missing or invalid.
    pub fn task_result(
        connection: ConnectionId,
        task: TaskId,
        body: http::TaskResult,
    ) -> Result<Self, DecodeError> {
        let fields = Fields::of("TaskResult");
        Ok(Self::TaskResult {
            connection,
            task,
            worker: Field::from_wire(fields, "worker", body.worker)?,
            answer: Field::from_wire(fields, "answer", body.answer)?,
            // A worker need not measure usage.
            used: Field::from_wire(fields, "used", Some(body.used.unwrap_or_default()))?,
        })
    }

    /// Creates the event of a change of the tables.
    ///
    /// # Errors
    ///
    /// Fails if a field is missing or invalid; the tables themselves are checked later.
    pub fn apply(connection: ConnectionId, body: http::ApplyRequest) -> Result<Self, DecodeError> {
        let fields = Fields::of("ApplyRequest");
        Ok(Self::Apply {
            connection,
            operation: Field::from_wire(fields, "operation_id", body.operation_id)?,
            expected_version: TableVersion(body.expected_version),
            tables: Field::from_wire(fields, "tables", body.tables)?,
        })
    }
}

impl From<&RequestState> for http::RequestState {
    fn from(state: &RequestState) -> Self {
        let (state, answer) = match state {
            RequestState::Unknown => ("unknown", None),
            RequestState::Waiting => ("waiting", None),
            RequestState::Running => ("running", None),
            RequestState::Finished(answer) => ("finished", answer.to_wire()),
            RequestState::Lost => ("lost", None),
            RequestState::Cancelled => ("cancelled", None),
            RequestState::Unavailable => ("unavailable", None),
        };
        Self {
            state: state.into(),
            answer,
        }
    }
}

impl From<&TablesReply> for http::ApplyOutcome {
    fn from(reply: &TablesReply) -> Self {
        let (outcome, version, reason) = match reply {
            TablesReply::Accepted(version) => ("accepted", Some(version.0), None),
            TablesReply::Conflict(version) => ("conflict", Some(version.0), None),
            TablesReply::Invalid(reason) => ("invalid", None, Some(reason.clone())),
            TablesReply::Unavailable => ("unavailable", None, None),
        };
        Self {
            outcome: outcome.into(),
            version,
            reason,
        }
    }
}

impl From<&VmStatus> for http::Vm {
    fn from(status: &VmStatus) -> Self {
        Self {
            vm: status.vm.to_string(),
            failure_domain: status.failure_domain.to_string(),
            incarnation: status.incarnation.to_wire(),
            reachable: status.reachable,
            stopping: status.stopping,
            tables_version: status.tables_version.0,
            placer: status.placer,
        }
    }
}

impl From<&WorkerStatus> for http::Worker {
    fn from(status: &WorkerStatus) -> Self {
        Self {
            report: status.report.to_wire(),
            report_age_ms: status.report_age_ms.0,
            state: status.state.into(),
        }
    }
}
