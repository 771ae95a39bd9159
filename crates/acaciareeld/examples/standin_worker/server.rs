//! HTTP server for the calls of placers.

use std::{convert::Infallible, sync::Arc};

use acaciareel_types::{FencingToken, Millis, TaskId};
use acaciareel_wire::{
    http::{ErrorBody, LeaseReply, LeaseRequest, StaleToken, StartTask, TaskCommand},
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

/// Serves all connections.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let shared = Arc::clone(&shared);
        let service = service_fn(move |request| {
            let shared = Arc::clone(&shared);
            async move {
                let reply = answer(&shared, request).await;
                Ok::<_, Infallible>(reply.unwrap_or_else(|refused| refused))
            }
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

async fn answer(shared: &Arc<Shared>, request: Request<Incoming>) -> Result<Reply, Reply> {
    let authorization = request.headers().get(header::AUTHORIZATION);
    if !shared.entries.is_authorized(authorization) {
        return Err(error(StatusCode::UNAUTHORIZED, &"the token is not known"));
    }
    let (parts, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let body = body.map_err(|e| error(StatusCode::BAD_REQUEST, &e))?;
    let body = body.to_bytes();
    let path = parts.uri.path();
    match (&parts.method, path) {
        (&Method::GET, "/v1/report") => {
            let report = types::WorkerReport::from(&shared.report());
            Ok(json(StatusCode::OK, &report))
        }
        (&Method::POST, "/v1/lease") => lease(shared, &parse(&body)?),
        (&Method::POST, "/v1/tasks") => start(shared, parse(&body)?),
        (&Method::POST, path) => command(shared, path, &parse(&body)?),
        _ => Err(error(StatusCode::NOT_FOUND, &"no such path")),
    }
}

fn lease(shared: &Shared, request: &LeaseRequest) -> Result<Reply, Reply> {
    let token = FencingToken(request.token);
    let claimed = shared
        .state()
        .claim(token, &request.holder, Millis(request.ttl_ms));
    claimed.map_err(stale)?;
    let report = types::WorkerReport::from(&shared.report());
    let unacknowledged = shared.state().ended.keys().map(TaskId::to_string).collect();
    let reply = LeaseReply {
        report: Some(report),
        unacknowledged,
    };
    Ok(json(StatusCode::OK, &reply))
}

fn start(shared: &Arc<Shared>, call: StartTask) -> Result<Reply, Reply> {
    match tasks::start(shared, call) {
        Ok(()) => Ok(empty(StatusCode::ACCEPTED)),
        Err(Refusal::Wrong(reason)) => Err(error(StatusCode::BAD_REQUEST, &reason)),
        Err(Refusal::StaleToken(held)) => Err(stale(held)),
        Err(Refusal::Leaving) => Err(error(StatusCode::GONE, &"the worker is leaving")),
        Err(Refusal::NoRoom) => {
            let reason = "no free capacity for the task";
            Err(error(StatusCode::TOO_MANY_REQUESTS, &reason))
        }
    }
}

/// Serves `POST /v1/tasks/ID/stop`, `checkpoint` and `throttle`. The stand-in saves nothing at a
/// checkpoint, and a throttled task goes on as before.
fn command(shared: &Shared, path: &str, command: &TaskCommand) -> Result<Reply, Reply> {
    let not_found = || error(StatusCode::NOT_FOUND, &"no such path");
    let rest = path.strip_prefix("/v1/tasks/").ok_or_else(not_found)?;
    let (task, name) = rest.rsplit_once('/').ok_or_else(not_found)?;
    let task: Result<TaskId, _> = task.replace("%2F", "/").parse();
    let task = task.map_err(|e| error(StatusCode::BAD_REQUEST, &e))?;
    let checked = shared.state().check(FencingToken(command.token));
    checked.map_err(stale)?;
    let done = match name {
        "stop" | "checkpoint" => tasks::stop(shared, &task, name),
        "throttle" => shared.state().running.contains_key(&task),
        _ => return Err(not_found()),
    };
    if done {
        Ok(empty(StatusCode::ACCEPTED))
    } else {
        Err(error(StatusCode::NOT_FOUND, &"the task is not running"))
    }
}

fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T, Reply> {
    serde_json::from_slice(body).map_err(|e| error(StatusCode::BAD_REQUEST, &e))
}

fn empty(status: StatusCode) -> Reply {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = status;
    reply
}

fn json(status: StatusCode, body: &impl Serialize) -> Reply {
    let mut reply = empty(status);
    // Messages of the wire schema have text keys only, so they always have a JSON form.
    *reply.body_mut() = Full::new(serde_json::to_vec(body).unwrap_or_default().into());
    reply
}

fn stale(held: FencingToken) -> Reply {
    json(StatusCode::CONFLICT, &StaleToken { token: held.0 })
}

fn error(status: StatusCode, reason: &dyn std::fmt::Display) -> Reply {
    let body = ErrorBody {
        error: reason.to_string(),
        verdict: "not_run".to_owned(),
    };
    json(status, &body)
}
