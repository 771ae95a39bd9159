//! HTTP server for the calls of placers.

use std::{convert::Infallible, sync::Arc};

use acaciareel_types::{FencingToken, Millis, TaskId};
use acaciareel_wire::{
    http::{ErrorBody, LeaseReply, LeaseRequest, StaleToken, TaskCommand},
    types,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, header, server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use tokio::net::TcpListener;

use crate::{
    state::Shared,
    tasks::{self, Refusal},
};

const MAX_BODY_BYTES: usize = 1 << 20;

type Reply = Response<Full<Bytes>>;

/// Accepts connections and serves each in its own task. Does not return.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let shared = Arc::clone(&shared);
        let service = service_fn(move |request| {
            let shared = Arc::clone(&shared);
            async move {
                let reply = handle(&shared, request).await;
                Ok::<_, Infallible>(reply.unwrap_or_else(|refusal| refusal_reply(&refusal)))
            }
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

async fn handle(shared: &Arc<Shared>, request: Request<Incoming>) -> Result<Reply, Refusal> {
    let authorization = request.headers().get(header::AUTHORIZATION);
    if !shared.entry_client.is_authorized(authorization) {
        return Err(Refusal::Unauthorized);
    }
    let (parts, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let body = body.map_err(|error| Refusal::Invalid(error.to_string()))?;
    let body = body.to_bytes();
    match (&parts.method, parts.uri.path()) {
        (&Method::GET, "/v1/report") => {
            let report = types::WorkerReport::from(&shared.report());
            Ok(json(StatusCode::OK, &report))
        }
        (&Method::POST, "/v1/lease") => lease(shared, &parse(&body)?),
        (&Method::POST, "/v1/tasks") => {
            tasks::start(shared, parse(&body)?)?;
            Ok(empty(StatusCode::ACCEPTED))
        }
        (&Method::POST, path) => command(shared, path, parse(&body)?),
        _ => Err(Refusal::NotFound("no such path")),
    }
}

fn lease(shared: &Shared, request: &LeaseRequest) -> Result<Reply, Refusal> {
    let token = FencingToken(request.token);
    shared
        .state()
        .claim(token, &request.holder, Millis(request.ttl_ms))
        .map_err(Refusal::StaleToken)?;
    let unchanged_since = shared.state().unchanged_since();
    if let Some(unchanged_since) = unchanged_since {
        let reply = LeaseReply {
            unchanged_since,
            ..LeaseReply::default()
        };
        return Ok(json(StatusCode::OK, &reply));
    }
    // The state is read before the report is made: a change in between then causes another full
    // report.
    let state = shared.state().reported_state();
    let report = shared.report();
    let unacknowledged = shared.state().record_full_report(state, report.sequence);
    let reply = LeaseReply {
        report: Some(types::WorkerReport::from(&report)),
        unacknowledged: unacknowledged.iter().map(TaskId::to_string).collect(),
        unchanged_since: 0,
    };
    Ok(json(StatusCode::OK, &reply))
}

/// Handles `POST /v1/tasks/ID/stop`, `checkpoint` and `throttle`. A checkpoint stops the task
/// without saving anything; a throttle has no effect on the task.
fn command(shared: &Shared, path: &str, command: TaskCommand) -> Result<Reply, Refusal> {
    const NO_PATH: Refusal = Refusal::NotFound("no such path");
    let rest = path.strip_prefix("/v1/tasks/").ok_or(NO_PATH)?;
    let (task, name) = rest.rsplit_once('/').ok_or(NO_PATH)?;
    let task = task.replace("%2F", "/").parse::<TaskId>();
    let task = task.map_err(|error| Refusal::Invalid(error.to_string()))?;
    let token_check = shared.state().check_token(FencingToken(command.token));
    token_check.map_err(Refusal::StaleToken)?;
    let found = match name {
        "stop" | "checkpoint" => tasks::stop(shared, &task, name),
        "throttle" => shared.state().running.contains_key(&task),
        _ => return Err(NO_PATH),
    };
    if found {
        Ok(empty(StatusCode::ACCEPTED))
    } else {
        Err(Refusal::NotFound("the task is not running"))
    }
}

fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|error| Refusal::Invalid(error.to_string()))
}

fn empty(status: StatusCode) -> Reply {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = status;
    reply
}

fn json(status: StatusCode, body: &impl Serialize) -> Reply {
    let mut reply = empty(status);
    // Serialization cannot fail: messages of the wire schema have string keys only.
    *reply.body_mut() = Full::new(serde_json::to_vec(body).unwrap_or_default().into());
    reply
}

fn refusal_reply(refusal: &Refusal) -> Reply {
    let (status, reason) = match refusal {
        Refusal::StaleToken(current) => {
            return json(StatusCode::CONFLICT, &StaleToken { token: current.0 });
        }
        Refusal::Unauthorized => (StatusCode::UNAUTHORIZED, "the token is not known"),
        Refusal::NotFound(reason) => (StatusCode::NOT_FOUND, *reason),
        Refusal::Invalid(reason) => (StatusCode::BAD_REQUEST, reason.as_str()),
        Refusal::Leaving => (StatusCode::GONE, "the worker is leaving"),
        Refusal::NoCapacity => (StatusCode::TOO_MANY_REQUESTS, "no free capacity"),
    };
    let body = ErrorBody {
        error: reason.to_owned(),
        verdict: "not_run".to_owned(),
    };
    json(status, &body)
}
