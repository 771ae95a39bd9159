//! HTTP calls to workers and to the policy service.

use std::{net::SocketAddr, time::Duration};

use acaciareel_cell::{AdviceRequest, AdviceResponse, WorkerReply, WorkerRequest};
use acaciareel_platform::{advice, http, workers};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, header};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use log::{debug, warn};
use tokio::time;

/// Largest reply; 500 ends and 40 runs have some 100 KiB.
const MAX_REPLY_BYTES: usize = 1 << 20;
/// An unused connection is closed after this time. A worker allows 64 connections.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Unused connections that are kept for each worker: one for the renewal that waits, others for
/// starts.
const IDLE_PER_WORKER: usize = 4;
/// Longest wait for a connection; the longest round trip is some 30 ms.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Longest wait for advice. The service answers the calls of one VM in turn, each within 0.8 s.
const ADVICE_LIMIT: Duration = Duration::from_millis(3_500);

/// Client for workers and the policy service.
#[derive(Clone, Debug)]
pub struct Outbound {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Outbound {
    /// Creates a client without connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_LIMIT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(IDLE_PER_WORKER)
            .build(connector);
        Self { client }
    }

    /// Calls a worker. A call without a complete reply may have had its effect.
    pub async fn call_worker(
        &self,
        address: &str,
        worker_id: &str,
        request: &WorkerRequest,
        limit: Duration,
    ) -> WorkerReply {
        let (path, body) = match workers::encode_request(request) {
            Ok(encoded) => encoded,
            Err(error) => {
                warn!(event = "order_not_encoded", reason:% = error; "");
                return WorkerReply::NoReply;
            }
        };
        let exchange = self.exchange(address, path, Some(worker_id), body);
        let reply = match time::timeout(limit, exchange).await {
            Ok(Ok((status, body))) => {
                workers::decode_reply(request, status, &body).map_err(|error| error.to_string())
            }
            Ok(Err(error)) => Err(error),
            Err(_) => Err("no reply in time".to_owned()),
        };
        reply.unwrap_or_else(|reason| {
            debug!(event = "worker_call_failed", worker = worker_id, path, reason; "");
            WorkerReply::NoReply
        })
    }

    /// Asks the policy service.
    pub async fn advise(&self, service: SocketAddr, request: &AdviceRequest) -> AdviceResponse {
        let answer = async {
            let body = advice::encode(request).map_err(|error| error.to_string())?;
            let service = service.to_string();
            let exchange = self.exchange(&service, advice::PATH, None, body);
            let (status, body) = time::timeout(ADVICE_LIMIT, exchange)
                .await
                .map_err(|_| "no answer in time".to_owned())??;
            if status != 200 {
                return Err(format!("status {status}"));
            }
            advice::decode(&body).map_err(|error| error.to_string())
        };
        match answer.await {
            Ok(rows) => Some(rows),
            Err(reason) => {
                warn!(event = "advice_failed", step = request.step, reason; "");
                None
            }
        }
    }

    async fn exchange(
        &self,
        address: &str,
        path: &str,
        worker_id: Option<&str>,
        body: Vec<u8>,
    ) -> Result<(u16, Bytes), String> {
        let mut request = Request::post(format!("http://{address}{path}"))
            .header(header::CONTENT_TYPE, http::CONTENT_TYPE);
        if let Some(id) = worker_id {
            request = request.header(http::WORKER_ID_HEADER, id);
        }
        let request = request
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| error.to_string())?;
        let response = self.client.request(request).await;
        let response = response.map_err(|error| error.to_string())?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_REPLY_BYTES);
        let body = body.collect().await.map_err(|error| error.to_string())?;
        Ok((status, body.to_bytes()))
    }
}
