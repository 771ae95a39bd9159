//! HTTP calls to workers.

use std::{net::SocketAddr, time::Duration};

use acaciareel_node::{CallBody, WorkerCall, WorkerReply};
use acaciareel_types::FencingToken;
use acaciareel_wire::http::{LeaseReply, StaleToken};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response, StatusCode, body::Incoming, header};
use hyper_util::{
    client::legacy::Client,
    rt::{TokioExecutor, TokioTimer},
};
use serde_json::Value;
use tokio::time;

use crate::config::LimitsConfig;

mod connector;

use connector::Connector;

/// Largest reply of a worker; a full report of 8 slots has a few KiB.
const MAX_REPLY_BYTES: usize = 1 << 20;
/// An unused connection is closed after this time; leases are renewed every second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Client for all workers.
#[derive(Clone, Debug)]
pub struct WorkerClient {
    client: Client<Connector, Full<Bytes>>,
    authorization: String,
    time_limit: Duration,
}

/// How a call that got no usable reply ended.
enum Failure {
    NotSent,
    Lost,
}

impl WorkerClient {
    /// Creates a client that sends this bearer token.
    pub fn new(limits: &LimitsConfig, token: &str) -> Self {
        let connect = Duration::from_millis(limits.worker_connect_ms.0);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(Connector::new(connect));
        Self {
            client,
            authorization: format!("Bearer {token}"),
            // A connection that takes too long must fail as such, because the call was not sent.
            time_limit: connect + Duration::from_millis(limits.worker_reply_ms.0),
        }
    }

    /// Makes a call and tells what is known about it.
    pub async fn call(&self, address: SocketAddr, call: WorkerCall) -> WorkerReply {
        let path = call.path();
        let exchange = self.exchange(address, &path, body(&call));
        match time::timeout(self.time_limit, exchange).await {
            Ok(Ok((status, body))) => reply(&call, status, &body),
            Ok(Err(Failure::NotSent)) => WorkerReply::NotSent,
            Ok(Err(Failure::Lost)) | Err(_) => WorkerReply::Lost,
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let request = Request::post(format!("http://{address}{path}"))
            .header(header::CONTENT_TYPE, "application/json")
            .header(header::AUTHORIZATION, &self.authorization)
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| Failure::NotSent)?;
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                Failure::NotSent
            } else {
                Failure::Lost
            }
        })?;
        read(response).await.ok_or(Failure::Lost)
    }
}

async fn read(response: Response<Incoming>) -> Option<(StatusCode, Bytes)> {
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_REPLY_BYTES);
    Some((status, body.collect().await.ok()?.to_bytes()))
}

fn body(call: &WorkerCall) -> Vec<u8> {
    let body = match call.body() {
        CallBody::Lease(body) => serde_json::to_vec(&body),
        CallBody::Start(body) => serde_json::to_vec(&body),
        CallBody::Command(body) => serde_json::to_vec(&body),
    };
    // Messages of the wire schema have text keys only, so they always have a JSON form.
    body.unwrap_or_default()
}

fn reply(call: &WorkerCall, status: StatusCode, body: &[u8]) -> WorkerReply {
    match status {
        StatusCode::OK if matches!(call, WorkerCall::Lease { .. }) => {
            leased(body).unwrap_or(WorkerReply::Lost)
        }
        StatusCode::OK | StatusCode::ACCEPTED => WorkerReply::Accepted,
        StatusCode::CONFLICT => match serde_json::from_slice::<StaleToken>(body) {
            Ok(stale) => WorkerReply::StaleToken(FencingToken(stale.token)),
            Err(_) => refused(status, body),
        },
        StatusCode::GONE => WorkerReply::Leaving,
        StatusCode::TOO_MANY_REQUESTS => WorkerReply::NoCapacity,
        status if status.is_client_error() => refused(status, body),
        _ => WorkerReply::Lost,
    }
}

fn leased(body: &[u8]) -> Option<WorkerReply> {
    let reply: LeaseReply = serde_json::from_slice(body).ok()?;
    reply.try_into().ok()
}

fn refused(status: StatusCode, body: &[u8]) -> WorkerReply {
    let text = serde_json::from_slice::<Value>(body).ok();
    let text = text.as_ref().and_then(|value| value["error"].as_str());
    WorkerReply::Refused(format!("{status}: {}", text.unwrap_or("no reason given")))
}

#[cfg(test)]
mod tests;
