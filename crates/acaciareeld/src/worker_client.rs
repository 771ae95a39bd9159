//! HTTP client for workers.

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

/// Largest response body of a worker; a full report of 8 slots has a few KiB.
const MAX_REPLY_BYTES: usize = 1 << 20;
/// Time after which an unused connection is closed; leases are renewed every second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Client for calls to all workers.
#[derive(Clone, Debug)]
pub struct WorkerClient {
    client: Client<Connector, Full<Bytes>>,
    authorization: String,
    timeout: Duration,
}

/// Outcome of a call without a usable response.
enum CallFailure {
    /// The call was not sent, so it had no effect.
    NotSent,
    /// The call was sent; its effect is unknown.
    Lost,
}

impl WorkerClient {
    /// Creates a client that sends this bearer token with each call.
    pub fn new(limits: &LimitsConfig, token: &str) -> Self {
        let connect = Duration::from_millis(limits.worker_connect_ms.0);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(Connector::new(connect));
        Self {
            client,
            authorization: format!("Bearer {token}"),
            // The connector's own timeout must end first, since it shows that the call was not
            // sent.
            timeout: connect + Duration::from_millis(limits.worker_reply_ms.0),
        }
    }

    /// Makes a call. Returns `NotSent` if no connection could be opened, and `Lost` if the worker
    /// may have carried out the call.
    pub async fn call(&self, address: SocketAddr, call: WorkerCall) -> WorkerReply {
        let path = call.path();
        let exchange = self.post(address, &path, encode_body(&call));
        match time::timeout(self.timeout, exchange).await {
            Ok(Ok((status, body))) => decode_reply(&call, status, &body),
            Ok(Err(CallFailure::NotSent)) => WorkerReply::NotSent,
            Ok(Err(CallFailure::Lost)) | Err(_) => WorkerReply::Lost,
        }
    }

    /// Sends a POST request and returns the status and the body of the response.
    async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(StatusCode, Bytes), CallFailure> {
        let request = Request::post(format!("http://{address}{path}"))
            .header(header::CONTENT_TYPE, "application/json")
            .header(header::AUTHORIZATION, &self.authorization)
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| CallFailure::NotSent)?;
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                CallFailure::NotSent
            } else {
                CallFailure::Lost
            }
        })?;
        read_response(response).await.ok_or(CallFailure::Lost)
    }
}

/// Reads the body of a response; `None` if it is incomplete or too large.
async fn read_response(response: Response<Incoming>) -> Option<(StatusCode, Bytes)> {
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_REPLY_BYTES);
    Some((status, body.collect().await.ok()?.to_bytes()))
}

fn encode_body(call: &WorkerCall) -> Vec<u8> {
    let body = match call.body() {
        CallBody::Lease(body) => serde_json::to_vec(&body),
        CallBody::Start(body) => serde_json::to_vec(&body),
        CallBody::Command(body) => serde_json::to_vec(&body),
    };
    // Messages of the wire schema have text keys only, so their encoding cannot fail.
    body.unwrap_or_default()
}

/// Interprets status and body of a response.
fn decode_reply(call: &WorkerCall, status: StatusCode, body: &[u8]) -> WorkerReply {
    match status {
        StatusCode::OK if matches!(call, WorkerCall::Lease { .. }) => {
            decode_lease_reply(body).unwrap_or(WorkerReply::Lost)
        }
        StatusCode::OK | StatusCode::ACCEPTED => WorkerReply::Accepted,
        StatusCode::CONFLICT => match serde_json::from_slice::<StaleToken>(body) {
            Ok(stale) => WorkerReply::StaleToken(FencingToken(stale.token)),
            Err(_) => refusal(status, body),
        },
        StatusCode::GONE => WorkerReply::Leaving,
        StatusCode::TOO_MANY_REQUESTS => WorkerReply::NoCapacity,
        status if status.is_client_error() => refusal(status, body),
        _ => WorkerReply::Lost,
    }
}

/// Decodes the response to a lease call; `None` if it is malformed.
fn decode_lease_reply(body: &[u8]) -> Option<WorkerReply> {
    let reply: LeaseReply = serde_json::from_slice(body).ok()?;
    reply.try_into().ok()
}

/// Makes the reply for a refused call from the status and the worker's error text.
fn refusal(status: StatusCode, body: &[u8]) -> WorkerReply {
    let text = serde_json::from_slice::<Value>(body).ok();
    let text = text.as_ref().and_then(|value| value["error"].as_str());
    WorkerReply::Refused(format!("{status}: {}", text.unwrap_or("no reason given")))
}

#[cfg(test)]
mod tests;
