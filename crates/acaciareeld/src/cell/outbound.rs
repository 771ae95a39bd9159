//! HTTP calls to workers and to the policy service.

use std::{error::Error, fmt, io, iter, net::SocketAddr, pin::pin, time::Duration};

use acaciareel_cell::{AdviceRequest, AdviceResponse, WorkerReply, WorkerRequest};
use acaciareel_platform::{advice, http, workers};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, header};
use hyper_util::{
    client::legacy::{self, Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use log::{debug, warn};
use tokio::time;

#[cfg(test)]
mod tests;

/// Largest response body; a renewal with 500 completions and 40 runs has about 100 KiB.
const MAX_REPLY_BYTES: usize = 1 << 20;
/// Time after which an unused connection is closed. A busy worker gets starts more often; a relay of
/// hundreds of workers would run out of file descriptors if each kept its connections for long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Unused connections that stay open for each worker: one for the waiting renewal, the others for
/// starts.
const MAX_IDLE_PER_WORKER: usize = 4;
/// Longest wait for a connection; the longest round trip is about 30 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for the reply to a renewal beyond its time limit.
const LATE_REPLY_WAIT: Duration = Duration::from_secs(3);
/// Longest wait for a response of the policy service. The service processes the calls of one VM one
/// after the other, each within 0.8 s.
const ADVICE_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Why a call has no reply.
#[derive(Debug)]
enum CallError {
    /// No process listens at the address.
    ConnectionRefused,
    Failed(String),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConnectionRefused => write!(f, "connection refused"),
            Self::Failed(reason) => write!(f, "{reason}"),
        }
    }
}

impl From<legacy::Error> for CallError {
    fn from(error: legacy::Error) -> Self {
        let sources = iter::successors(error.source(), |error| (*error).source());
        let mut io_errors = sources.filter_map(|source| source.downcast_ref::<io::Error>());
        let is_refused = |error: &io::Error| error.kind() == io::ErrorKind::ConnectionRefused;
        if error.is_connect() && io_errors.any(is_refused) {
            Self::ConnectionRefused
        } else {
            Self::Failed(error.to_string())
        }
    }
}

/// HTTP client for workers and the policy service.
#[derive(Clone, Debug)]
pub struct Outbound {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Outbound {
    /// Creates a client; connections are opened by the first calls.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_PER_WORKER)
            .build(connector);
        Self { client }
    }

    /// Calls a worker and passes its reply on, or [`WorkerReply::NoReply`] if no complete reply arrives
    /// within `timeout`; the worker may have carried out the command nevertheless. A reply to a renewal
    /// that arrives later is passed on as well, because the worker takes the completions that it has
    /// listed there as known.
    pub async fn call_worker<F: Future<Output = ()>>(
        &self,
        address: &str,
        worker_id: &str,
        request: &WorkerRequest,
        timeout: Duration,
        on_reply: impl Fn(WorkerReply) -> F,
    ) {
        let (path, body) = match workers::encode_request(request) {
            Ok(encoded) => encoded,
            Err(error) => {
                warn!(event = "order_not_encoded", reason:% = error; "");
                return on_reply(WorkerReply::NoReply).await;
            }
        };
        let exchange = async {
            let (status, body) = self.post(address, path, Some(worker_id), body).await?;
            workers::decode_reply(request, status, &body)
                .map_err(|error| CallError::Failed(error.to_string()))
        };
        let mut exchange = pin!(exchange);
        let failed = |error: CallError| {
            let reason = error.to_string();
            debug!(event = "worker_call_failed", worker = worker_id, path, reason; "");
            match error {
                CallError::ConnectionRefused => WorkerReply::NotListening,
                CallError::Failed(_) => WorkerReply::NoReply,
            }
        };
        if let Ok(reply) = time::timeout(timeout, &mut exchange).await {
            return on_reply(reply.unwrap_or_else(failed)).await;
        }
        on_reply(failed(CallError::Failed("no reply in time".to_owned()))).await;
        if matches!(request, WorkerRequest::Renew { .. })
            && let Ok(Ok(reply)) = time::timeout(LATE_REPLY_WAIT, exchange).await
        {
            on_reply(reply).await;
        }
    }

    /// Requests advice from the policy service. Returns `None` if the call fails.
    pub async fn request_advice(
        &self,
        service: SocketAddr,
        request: &AdviceRequest,
    ) -> AdviceResponse {
        let response = async {
            let body = advice::encode(request).map_err(|error| error.to_string())?;
            let service = service.to_string();
            let exchange = self.post(&service, advice::PATH, None, body);
            let (status, body) = time::timeout(ADVICE_TIMEOUT, exchange)
                .await
                .map_err(|_| "no answer in time".to_owned())?
                .map_err(|error| error.to_string())?;
            if status != 200 {
                return Err(format!("status {status}"));
            }
            advice::decode(&body).map_err(|error| error.to_string())
        };
        match response.await {
            Ok(rows) => Some(rows),
            Err(reason) => {
                warn!(event = "advice_failed", step = request.step, reason; "");
                None
            }
        }
    }

    /// Sends a POST request and returns the status and the body of the response.
    async fn post(
        &self,
        address: &str,
        path: &str,
        worker_id: Option<&str>,
        body: Vec<u8>,
    ) -> Result<(u16, Bytes), CallError> {
        let mut request = Request::post(format!("http://{address}{path}"))
            .header(header::CONTENT_TYPE, http::CONTENT_TYPE);
        if let Some(id) = worker_id {
            request = request.header(http::WORKER_ID_HEADER, id);
        }
        let request = request
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| CallError::Failed(error.to_string()))?;
        let response = self.client.request(request).await?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_REPLY_BYTES);
        let body = body.collect().await;
        let body = body.map_err(|error| CallError::Failed(error.to_string()))?;
        Ok((status, body.to_bytes()))
    }
}
