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
                Ok::<_, Infallible>(reply.unwrap_or_else(|refusal| refused(&refusal)))
            }
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

async fn answer(shared: &Arc<Shared>, request: Request<Incoming>) -> Result<Reply, Refusal> {
    let authorization = request.headers().get(header::AUTHORIZATION);
    if !shared.entries.is_authorized(authorization) {
        return Err(Refusal::Unauthorized);
    }
    let (parts, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let body = body.map_err(|error| Refusal::Wrong(error.to_string()))?;
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
    // The stamp is older than the report, so a change in between causes another full report.
    let stamp = shared.state().stamp();
    let report = shared.report();
    let unacknowledged = shared.state().reported(stamp, report.sequence);
    let reply = LeaseReply {
        report: Some(types::WorkerReport::from(&report)),
        unacknowledged: unacknowledged.iter().map(TaskId::to_string).collect(),
        unchanged_since: 0,
    };
    Ok(json(StatusCode::OK, &reply))
}

/// Serves `POST /v1/tasks/ID/stop`, `checkpoint` and `throttle`. The stand-in saves nothing at a
/// checkpoint, and a throttled task goes on as before.
fn command(shared: &Shared, path: &str, command: TaskCommand) -> Result<Reply, Refusal> {
    const NO_PATH: Refusal = Refusal::NotFound("no such path");
    let rest = path.strip_prefix("/v1/tasks/").ok_or(NO_PATH)?;
    let (task, name) = rest.rsplit_once('/').ok_or(NO_PATH)?;
    let task = task.replace("%2F", "/").parse::<TaskId>();
    let task = task.map_err(|error| Refusal::Wrong(error.to_string()))?;
    let checked = shared.state().check(FencingToken(command.token));
    checked.map_err(Refusal::StaleToken)?;
    let done = match name {
        "stop" | "checkpoint" => tasks::stop(shared, &task, name),
        "throttle" => shared.state().running.contains_key(&task),
        _ => return Err(NO_PATH),
    };
    if done {
        Ok(empty(StatusCode::ACCEPTED))
    } else {
        Err(Refusal::NotFound("the task is not running"))
    }
}

fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|error| Refusal::Wrong(error.to_string()))
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

fn refused(refusal: &Refusal) -> Reply {
    let (status, reason) = match refusal {
        Refusal::StaleToken(held) => {
            return json(StatusCode::CONFLICT, &StaleToken { token: held.0 });
        }
        Refusal::Unauthorized => (StatusCode::UNAUTHORIZED, "the token is not known"),
        Refusal::NotFound(reason) => (StatusCode::NOT_FOUND, *reason),
        Refusal::Wrong(reason) => (StatusCode::BAD_REQUEST, reason.as_str()),
        Refusal::Leaving => (StatusCode::GONE, "the worker is leaving"),
        Refusal::NoRoom => (StatusCode::TOO_MANY_REQUESTS, "no free capacity"),
    };
    let body = ErrorBody {
        error: reason.to_owned(),
        verdict: "not_run".to_owned(),
    };
    json(status, &body)
}
