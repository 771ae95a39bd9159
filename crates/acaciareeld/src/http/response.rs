//! Conversion of the node's replies and of errors to HTTP responses.

use std::{convert::Infallible, fmt, time::Duration};

use acaciareel_node::{
    GroupStatus, OperatorReply, PoolStatus, Reply, RequestState, TablesReply, VmStatus,
    WorkerStatus,
};
use acaciareel_types::{Millis, Reason, Resources, TableVersion, Verdict};
use acaciareel_wire::{headers, http, types};
use bytes::Bytes;
use gotham::helpers::http::Body;
use http_body_util::{BodyExt, Full};
use hyper::{Response, StatusCode, header};
use serde::Serialize;

use crate::http::App;

/// Error response of the daemon. Most requests with an error were refused before they reached the
/// node and so had no effect; for the others the outcome is unknown.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HttpError {
    status: StatusCode,
    reason: String,
    verdict: &'static str,
    retry_after_s: Option<u64>,
}

impl HttpError {
    /// Makes an error for a request that had no effect (verdict `not_run`).
    pub fn new(status: StatusCode, reason: String) -> Self {
        Self {
            status,
            reason,
            verdict: headers::NOT_RUN,
            retry_after_s: None,
        }
    }

    /// Makes an error for a request with a wrong path, header or body.
    pub fn bad_request(reason: impl fmt::Display) -> Self {
        Self::new(StatusCode::BAD_REQUEST, reason.to_string())
    }

    /// Makes the error for announcements and results that exceed the rate in the settings.
    pub fn rate_limited() -> Self {
        Self {
            retry_after_s: Some(1),
            ..Self::new(
                StatusCode::TOO_MANY_REQUESTS,
                "too many announcements and results".to_owned(),
            )
        }
    }

    /// Makes the error for a request for which too little memory is left: those that arrive and those
    /// that wait for a response have limits in the settings (`arriving_bytes`, `waiting_bytes`).
    pub fn memory_exhausted() -> Self {
        Self {
            retry_after_s: Some(1),
            ..Self::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "too little memory for the request".to_owned(),
            )
        }
    }

    /// Makes the error for a request whose outcome is unknown, since the daemon ended before the
    /// reply (verdict `may_have_run`).
    pub fn unknown_outcome() -> Self {
        Self {
            verdict: headers::MAY_HAVE_RUN,
            ..Self::new(
                StatusCode::GATEWAY_TIMEOUT,
                "the daemon ended before the outcome was known".to_owned(),
            )
        }
    }

    /// Makes the response, with the verdict in header and body.
    pub fn into_response(self) -> Response<Body> {
        let body = http::ErrorBody {
            error: self.reason,
            verdict: self.verdict.to_owned(),
        };
        let mut response = json(self.status, &body);
        set_header(&mut response, headers::VERDICT, self.verdict);
        if let Some(seconds) = self.retry_after_s {
            set_header(&mut response, "retry-after", &seconds.to_string());
        }
        response
    }
}

fn full_body(bytes: impl Into<Bytes>) -> Body {
    let never = |never: Infallible| match never {};
    Full::new(bytes.into()).map_err(never).boxed_unsync()
}

fn response(status: StatusCode, content_type: &str, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    set_header(&mut response, header::CONTENT_TYPE.as_str(), content_type);
    response
}

/// Sets a header. All names and values here consist of visible ASCII characters, so none is left
/// out.
fn set_header(response: &mut Response<Body>, name: &'static str, value: &str) {
    let name = header::HeaderName::from_bytes(name.as_bytes());
    if let (Ok(name), Ok(value)) = (name, header::HeaderValue::from_str(value)) {
        response.headers_mut().insert(name, value);
    }
}

fn json(status: StatusCode, body: &impl Serialize) -> Response<Body> {
    // Messages of the wire schema have text keys only, so their encoding cannot fail.
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    response(status, "application/json", full_body(bytes))
}

/// Makes a response with plain text.
pub fn text(status: StatusCode, text: String) -> Response<Body> {
    response(status, "text/plain; charset=utf-8", full_body(text))
}

/// Makes a response without a body.
pub fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Makes the response to a reply of the node. `waited` is the time since the request was received.
pub fn reply_response(reply: Reply, waited: Duration) -> Result<Response<Body>, HttpError> {
    Ok(match reply {
        Reply::Verdict(verdict) => {
            let mut response = verdict_response(&verdict);
            let waited_ms = waited.as_millis().to_string();
            set_header(&mut response, headers::WAITED_MS, &waited_ms);
            response
        }
        Reply::State(state) => state_response(&state),
        Reply::Operator(reply) => operator_response(reply),
        Reply::NextAnnouncement(next) => json(
            StatusCode::OK,
            &http::AnnounceReply {
                next_announcement_ms: next.0,
            },
        ),
        Reply::ResultRecorded => empty(StatusCode::NO_CONTENT),
        Reply::ResultNotRecorded => {
            let reason = "the owner of the task cannot be reached; post the result again";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(HttpError::new(status, reason.to_owned()));
        }
    })
}

fn verdict_response(verdict: &Verdict) -> Response<Body> {
    let (status, name) = match verdict {
        Verdict::Ran(answer) => {
            let body = full_body(answer.body.to_vec());
            let mut response = response(StatusCode::OK, "application/octet-stream", body);
            set_header(&mut response, headers::VERDICT, headers::RAN);
            let ok = if answer.ok { "true" } else { "false" };
            set_header(&mut response, headers::ANSWER_OK, ok);
            return response;
        }
        Verdict::NotRun {
            reason: Reason::KeyReused,
            ..
        } => (StatusCode::CONFLICT, headers::NOT_RUN),
        Verdict::NotRun { .. } => (StatusCode::SERVICE_UNAVAILABLE, headers::NOT_RUN),
        Verdict::MayHaveRun { .. } => (StatusCode::GATEWAY_TIMEOUT, headers::MAY_HAVE_RUN),
    };
    let mut response = json(status, &http::VerdictBody::from(verdict));
    set_header(&mut response, headers::VERDICT, name);
    let (Verdict::NotRun { reason, .. } | Verdict::MayHaveRun { reason }) = verdict else {
        return response;
    };
    set_header(&mut response, headers::REASON, reason.as_str());
    if let Verdict::NotRun { retry_after_ms, .. } = verdict {
        let seconds = retry_after_ms.0.div_ceil(1_000).max(1);
        set_header(&mut response, "retry-after", &seconds.to_string());
    }
    response
}

fn state_response(state: &RequestState) -> Response<Body> {
    let (status, name) = match state {
        RequestState::Unknown => (StatusCode::NOT_FOUND, "unknown"),
        RequestState::Waiting => (StatusCode::OK, "waiting"),
        RequestState::Running => (StatusCode::OK, "running"),
        RequestState::Finished(_) => (StatusCode::OK, "finished"),
        RequestState::Lost => (StatusCode::OK, "lost"),
        RequestState::Cancelled => (StatusCode::OK, "cancelled"),
        RequestState::Unavailable => (StatusCode::SERVICE_UNAVAILABLE, "unavailable"),
    };
    let answer = match state {
        RequestState::Finished(answer) => Some(answer.into()),
        _ => None,
    };
    let body = http::RequestState {
        state: name.to_owned(),
        answer,
    };
    json(status, &body)
}

fn operator_response(reply: OperatorReply) -> Response<Body> {
    match reply {
        OperatorReply::Applied(outcome) => tables_response(outcome),
        OperatorReply::Tables { version, tables } => {
            let body = http::TablesBody {
                version: version.0,
                tables: Some((&tables).into()),
            };
            json(StatusCode::OK, &body)
        }
        OperatorReply::History(changes) => {
            let change = |(version, operation_id): (TableVersion, String)| http::Change {
                version: version.0,
                operation_id,
            };
            let changes = changes.into_iter().map(change).collect();
            json(StatusCode::OK, &http::History { changes })
        }
        OperatorReply::Vms(vms) => {
            let vms = vms.iter().map(vm).collect();
            json(StatusCode::OK, &http::VmList { vms })
        }
        OperatorReply::Workers(workers) => {
            let workers = workers.iter().map(worker).collect();
            json(StatusCode::OK, &http::WorkerList { workers })
        }
        // Part of the status; no endpoint returns it alone.
        OperatorReply::State { .. } => HttpError::unknown_outcome().into_response(),
        OperatorReply::Drained(true) => empty(StatusCode::NO_CONTENT),
        OperatorReply::Drained(false) => {
            let reason = "the worker is not known here".to_owned();
            HttpError::new(StatusCode::NOT_FOUND, reason).into_response()
        }
    }
}

fn tables_response(outcome: TablesReply) -> Response<Body> {
    let (status, outcome, version, reason) = match outcome {
        TablesReply::Accepted(version) => (StatusCode::OK, "accepted", Some(version), None),
        TablesReply::Conflict(version) => (StatusCode::CONFLICT, "conflict", Some(version), None),
        TablesReply::Invalid(reason) => (StatusCode::BAD_REQUEST, "invalid", None, Some(reason)),
        TablesReply::Unavailable => (StatusCode::SERVICE_UNAVAILABLE, "unavailable", None, None),
    };
    let body = http::ApplyOutcome {
        outcome: outcome.to_owned(),
        version: version.map(|version| version.0),
        reason,
    };
    json(status, &body)
}

fn vm(status: &VmStatus) -> http::Vm {
    http::Vm {
        vm: status.vm.to_string(),
        failure_domain: status.failure_domain.to_string(),
        incarnation: status.incarnation.map(|incarnation| incarnation.0),
        reachable: status.reachable,
        stopping: status.stopping,
        tables_version: status.tables_version.0,
        placer: status.placer,
    }
}

fn worker(status: &WorkerStatus) -> http::Worker {
    let Millis(report_age_ms) = status.report_age_ms;
    http::Worker {
        report: Some((&status.report).into()),
        report_age_ms,
        state: status.state.to_owned(),
    }
}

fn group(status: &GroupStatus) -> http::GroupStatus {
    http::GroupStatus {
        group: status.group.to_string(),
        role: format!("{:?}", status.role).to_lowercase(),
        term: status.term.0,
        leader: status.leader.map(|vm| vm.to_string()),
    }
}

fn pool(status: &PoolStatus) -> http::PoolStatus {
    let resources = |amount: Resources| types::Resources {
        cpu_millicores: amount.cpu_millicores.0,
        memory_bytes: amount.memory_bytes.0,
        accelerators: amount.accelerators.0,
        slots: amount.slots.0,
        connections: amount.connections.0,
    };
    http::PoolStatus {
        failure_domain: status.failure_domain.to_string(),
        pool: status.summary.pool.to_string(),
        workers: status.summary.workers,
        waiting: status.summary.waiting,
        predicted_wait_ms: status.summary.predicted_wait_ms.0,
        capacity: Some(resources(status.summary.capacity)),
        free: Some(resources(status.summary.free)),
    }
}

/// Makes the response to `GET /v1/status` from three replies of the node.
pub fn status_response(
    app: &App,
    vms: &Reply,
    workers: &Reply,
    state: Reply,
) -> Result<Response<Body>, HttpError> {
    let (
        Reply::Operator(OperatorReply::Vms(vms)),
        Reply::Operator(OperatorReply::Workers(workers)),
        Reply::Operator(OperatorReply::State { groups, pools }),
    ) = (vms, workers, state)
    else {
        return Err(HttpError::unknown_outcome());
    };
    let me = vms.iter().find(|status| status.vm == app.vm);
    let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
    let reachable = vms.iter().filter(|vm| vm.reachable || vm.vm == app.vm);
    let active = workers.iter().filter(|worker| worker.state == "active");
    let body = http::Status {
        vm: app.vm.to_string(),
        failure_domain: app.failure_domain.to_string(),
        incarnation: app.incarnation.0,
        tables_version: me.map_or(0, |me| me.tables_version.0),
        stopping: me.is_some_and(|me| me.stopping),
        placer: me.is_some_and(|me| me.placer),
        vms: count(vms.len()),
        reachable_vms: count(reachable.count()),
        workers: count(workers.len()),
        active_workers: count(active.count()),
        groups: groups.iter().map(group).collect(),
        pools: pools.iter().map(pool).collect(),
    };
    Ok(json(StatusCode::OK, &body))
}
