//! HTTP servers: callers, readiness, workers and operators, metrics.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use acaciareel_cell::{AddressedRequest, CallerReply, ControlReply, ControlRequest, Event};
use acaciareel_platform::{
    http::{self, ControlError},
    jobs, workers,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{self, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{info, warn};
use metrics::counter;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc::Sender, oneshot},
    time,
};

use super::{config::address_of, run::Input};

/// Largest body of a caller (limit that the operator's configuration states).
const MAX_CALLER_BODY_BYTES: usize = 256 << 10;
/// Largest body of a worker or operator: a heartbeat may have 4 MiB.
const MAX_CONTROL_BODY_BYTES: usize = 4 << 20;
/// Largest request head, and the buffer of a connection.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Longest wait for the head of a request, and so also of an idle connection.
const HEAD_LIMIT: Duration = Duration::from_secs(15);
/// Longest wait for a body.
const BODY_LIMIT: Duration = Duration::from_secs(3);
/// Most connections of one server; a process may have 3,900 descriptors.
const MAX_CONNECTIONS: usize = 3_000;
/// Wait of a caller that does not say how long it waits.
const DEFAULT_PATIENCE_MS: u64 = 3_000;
/// Longest wait of a caller; a longer one only holds memory.
const MAX_PATIENCE_MS: u64 = 10_000;
/// Time before a caller's own limit at which it is answered.
const ANSWER_MARGIN_MS: u64 = 100;
/// Longest wait of a worker or operator; they turn to another VM after a second.
const CONTROL_LIMIT: Duration = Duration::from_secs(3);

type Body = Full<Bytes>;

/// What the servers of a VM share.
#[derive(Debug)]
pub struct Shared {
    /// Sender of inputs to the reducer.
    pub inputs: Sender<Input>,
    /// Whether callers should be sent here.
    pub ready: AtomicBool,
    /// Whether connections are closed after their next response.
    pub closing: AtomicBool,
    /// Number of the next request.
    pub next_connection: AtomicU64,
    /// Address of this VM's interface for workers and operators, if it serves one.
    pub control: Option<SocketAddr>,
    /// Port of that interface, the same on all control VMs.
    pub control_port: u16,
    /// Metrics page.
    pub metrics: PrometheusHandle,
}

/// What a server serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Interface {
    /// Requests of callers.
    Callers,
    /// Whether callers should be sent here.
    Readiness,
    /// Workers and operators.
    Control,
    /// The metrics page.
    Metrics,
}

/// Accepts connections for as long as the process runs.
pub async fn serve(listener: TcpListener, interface: Interface, shared: Arc<Shared>) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                if open.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
                    warn!(event = "connection_refused", peer:% = peer, open = MAX_CONNECTIONS; "");
                    continue;
                }
                let (shared, open) = (Arc::clone(&shared), Arc::clone(&open));
                open.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(async move {
                    serve_connection(stream, interface, shared).await;
                    open.fetch_sub(1, Ordering::Relaxed);
                });
            }
            Err(error) => {
                warn!(event = "accept_failed", reason:% = error; "");
                time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, interface: Interface, shared: Arc<Shared>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(move |request| {
        let shared = Arc::clone(&shared);
        async move {
            let mut response = respond(request, interface, &shared).await;
            if shared.closing.load(Ordering::Relaxed) {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_LIMIT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if served.is_err() {
        counter!("acaciareel_cell_connections_broken_total").increment(1);
    }
}

async fn respond(
    request: Request<Incoming>,
    interface: Interface,
    shared: &Arc<Shared>,
) -> Response<Body> {
    match interface {
        Interface::Callers => respond_to_caller(request, shared).await,
        Interface::Control => respond_to_control(request, shared).await,
        Interface::Readiness => {
            let ready = shared.ready.load(Ordering::Relaxed);
            let wanted = request.uri().path() == http::READINESS_PATH;
            empty(match (wanted, ready) {
                (false, _) => StatusCode::NOT_FOUND,
                (true, true) => StatusCode::OK,
                (true, false) => StatusCode::SERVICE_UNAVAILABLE,
            })
        }
        Interface::Metrics => Response::new(Full::new(Bytes::from(shared.metrics.render()))),
    }
}

// ---- callers ----

/// Tells the reducer that a caller is gone, when the response is dropped before it is complete.
struct Waiting {
    connection: u64,
    inputs: Sender<Input>,
    answered: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if !self.answered {
            let connection = self.connection;
            // A full queue only leaves the request to its own time limit.
            let _ = self
                .inputs
                .try_send(Input::Event(Event::CallerDisconnected { connection }));
        }
    }
}

async fn respond_to_caller(request: Request<Incoming>, shared: &Arc<Shared>) -> Response<Body> {
    let host = header_text(&request, header::HOST.as_str());
    let host = host.split(':').next().unwrap_or_default().to_owned();
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    let timeout_ms = header_text(&request, http::TIMEOUT_HEADER)
        .parse::<f64>()
        .map_or(DEFAULT_PATIENCE_MS, whole_ms);
    let body = match read_body(request, MAX_CALLER_BODY_BYTES).await {
        Ok(body) => body,
        Err(status) => return empty(status),
    };
    let request = match jobs::decode_request(method.as_str(), &body) {
        Ok(Some(request)) => request,
        Ok(None) => return empty(StatusCode::METHOD_NOT_ALLOWED),
        Err(error) => {
            info!(event = "job_invalid", path, reason:% = error; "");
            return from_platform(jobs::encode_reply(&CallerReply::Invalid));
        }
    };
    let connection = shared.next_connection.fetch_add(1, Ordering::Relaxed);
    let (reply, answer) = oneshot::channel();
    let input = Input::Caller {
        connection,
        request: AddressedRequest {
            host,
            path,
            request,
        },
        timeout_ms: timeout_ms.saturating_sub(ANSWER_MARGIN_MS),
        reply,
    };
    if shared.inputs.send(input).await.is_err() {
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    let mut waiting = Waiting {
        connection,
        inputs: shared.inputs.clone(),
        answered: false,
    };
    let reply = answer.await.unwrap_or(CallerReply::Uncertain);
    waiting.answered = true;
    from_platform(jobs::encode_reply(&reply))
}

fn whole_ms(value_ms: f64) -> u64 {
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "the value is clamped to a small range"
    )]
    let whole_ms = value_ms.clamp(0.0, MAX_PATIENCE_MS as f64) as u64;
    whole_ms
}

// ---- workers and operators ----

async fn respond_to_control(request: Request<Incoming>, shared: &Arc<Shared>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    let body = if method == Method::GET {
        Bytes::new()
    } else {
        match read_body(request, MAX_CONTROL_BODY_BYTES).await {
            Ok(body) => body,
            Err(status) => return empty(status),
        }
    };
    let request = match http::decode_control_request(method.as_str(), &path, &body) {
        Ok(request) => request,
        Err(ControlError::UnknownCall) => return empty(StatusCode::NOT_FOUND),
        Err(ControlError::Invalid(error)) => {
            info!(event = "control_body_invalid", path, reason:% = error; "");
            return empty(StatusCode::BAD_REQUEST);
        }
    };
    let quiet = matches!(request, ControlRequest::Announce { .. });
    let connection = shared.next_connection.fetch_add(1, Ordering::Relaxed);
    let (reply, answer) = oneshot::channel();
    let input = Input::Control {
        connection,
        request,
        reply,
    };
    if shared.inputs.send(input).await.is_err() {
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    let reply = match time::timeout(CONTROL_LIMIT, answer).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(_)) | Err(_) => ControlReply::Unavailable,
    };
    if !quiet {
        info!(event = "control_request", method:% = method, path, reply = reply_name(&reply); "");
    }
    match reply {
        ControlReply::Done if quiet => acknowledge(shared.control),
        ControlReply::Done => empty(StatusCode::OK),
        ControlReply::Unavailable => empty(StatusCode::SERVICE_UNAVAILABLE),
        ControlReply::Queues(source) => json(StatusCode::OK, Bytes::from(source)),
        ControlReply::Redirect(vm) => {
            let leader = SocketAddr::from((address_of(vm), shared.control_port));
            let mut response = empty(StatusCode::TEMPORARY_REDIRECT);
            if let Ok(location) = HeaderValue::try_from(format!("http://{leader}{path}")) {
                response.headers_mut().insert(header::LOCATION, location);
            }
            response
        }
    }
}

/// Acknowledges an announcement. Only the leader does, so it names itself for the next ones, which
/// saves the redirection by other VMs.
fn acknowledge(leader: Option<SocketAddr>) -> Response<Body> {
    let body = leader.map(workers::encode_acknowledgement);
    match body {
        Some(Ok(body)) => json(StatusCode::OK, Bytes::from(body)),
        Some(Err(error)) => {
            warn!(event = "acknowledgement_not_encoded", reason:% = error; "");
            empty(StatusCode::OK)
        }
        None => empty(StatusCode::OK),
    }
}

fn reply_name(reply: &ControlReply) -> &'static str {
    match reply {
        ControlReply::Done => "done",
        ControlReply::Redirect(_) => "redirect",
        ControlReply::Unavailable => "unavailable",
        ControlReply::Queues(_) => "queues",
    }
}

// ---- bodies ----

fn header_text(request: &Request<Incoming>, name: &str) -> String {
    let value = request.headers().get(name);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().trim().to_owned()
}

async fn read_body(request: Request<Incoming>, limit_bytes: usize) -> Result<Bytes, StatusCode> {
    let body = Limited::new(request.into_body(), limit_bytes).collect();
    match time::timeout(BODY_LIMIT, body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(StatusCode::PAYLOAD_TOO_LARGE)
        }
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

fn json(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(http::CONTENT_TYPE);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

fn empty(status: StatusCode) -> Response<Body> {
    json(status, Bytes::from_static(b"{}"))
}

fn from_platform(response: http::Response) -> Response<Body> {
    let status = StatusCode::from_u16(response.status);
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut out = json(status, Bytes::from(response.body));
    if let Some(seconds) = response.retry_after_s {
        let seconds = HeaderValue::from(seconds);
        out.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    out
}
