//! HTTP servers for callers, readiness checks, workers and operators, and metrics.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use acaciareel_cell::{
    AddressedRequest, CallerReply, ControlReply, ControlRequest, Event, RefusalReason,
};
use acaciareel_platform::{
    http::{self, ControlError},
    jobs, keys, workers,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Body as _, Incoming},
    header::{self, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use log::{info, warn};
use metrics::counter;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc::Sender, oneshot},
    time,
};

use super::{
    config::address_of,
    run::{Input, Waiting},
};
use crate::clients::{BodyError, ClientStream, Clients, Connection, ConnectionLimits, Listener};

/// Largest request body of a caller; the limit that the operator's configuration states.
const MAX_CALLER_BODY_BYTES: usize = 256 << 10;
/// Largest request body of a worker or operator; a heartbeat may have 4 MiB.
const MAX_CONTROL_BODY_BYTES: usize = 4 << 20;
/// Largest request head, and size of the read buffer of a connection.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Longest wait for the head of a request, longest idle time of a connection, and longest time to send
/// a response.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest wait for a complete request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a caller that was refused for want of memory should retry.
const BUSY_RETRY_AFTER_MS: u64 = 1_000;
/// Memory of a decoded request of a worker or operator, in times its body: the queue table keeps the
/// body beside the rows.
const CONTROL_MEMORY_FACTOR: usize = 2;
/// Timeout of a caller that sends none.
const DEFAULT_TIMEOUT_MS: u64 = 3_000;
/// Longest timeout of a caller; longer ones are lowered to it, since they only hold memory.
const MAX_TIMEOUT_MS: u64 = 10_000;
/// Time by which the response precedes the end of the caller's timeout.
const RESPONSE_MARGIN_MS: u64 = 100;
/// Longest wait for the reducer's reply to a worker or operator; they try another VM after a
/// second.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(3);

type Body = Full<Bytes>;

/// State that the servers of a VM share.
#[derive(Debug)]
pub struct ServerState {
    /// Inputs of the reducer's loop.
    pub inputs: Sender<Input>,
    /// Whether the VM can serve callers, as reported by the readiness check.
    pub ready: AtomicBool,
    /// Whether each connection is closed after its next response, since the VM stops.
    pub closing: AtomicBool,
    /// Id of the next request; the reducer calls it the connection.
    pub next_connection: AtomicU64,
    /// Address of this VM's interface for workers and operators, if it serves one.
    pub control: Option<SocketAddr>,
    /// Port of that interface; the same on all control VMs.
    pub control_port: u16,
    /// Renders the metrics page.
    pub metrics: PrometheusHandle,
    pub clients: Arc<Clients>,
}

/// Interface that a server offers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Interface {
    /// Submissions, status queries and cancellations of callers.
    Callers,
    /// Whether the VM can serve callers.
    Readiness,
    /// Announcements of workers and requests of operators.
    Control,
    /// Metrics page, for any path.
    Metrics,
}

/// Returns the limits of a connection to a server that may have `connections` of them.
pub fn connection_limits(connections: usize) -> ConnectionLimits {
    ConnectionLimits {
        connections,
        head_bytes: MAX_HEAD_BYTES,
        head_timeout: HEAD_TIMEOUT,
        idle_timeout: HEAD_TIMEOUT,
    }
}

/// Accepts connections until the process ends.
pub async fn serve(
    socket: TcpListener,
    listener: Listener,
    interface: Interface,
    shared: Arc<ServerState>,
) {
    loop {
        match socket.accept().await {
            Ok((stream, client)) => {
                if stream.set_nodelay(true).is_err() {
                    continue;
                }
                if let Some(stream) = listener.admit_http(stream, client).await {
                    tokio::spawn(serve_connection(stream, interface, Arc::clone(&shared)));
                }
            }
            Err(error) => {
                warn!(event = "accept_failed", reason:% = error; "");
                time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_connection(
    stream: ClientStream<TcpStream>,
    interface: Interface,
    shared: Arc<ServerState>,
) {
    let connection = stream.connection().clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (shared, connection) = (Arc::clone(&shared), connection.clone());
        async move {
            connection.request_started(!request.body().is_end_stream());
            let mut response = respond(request, interface, &connection, &shared).await;
            connection.response_started(response.body().size_hint().lower());
            if shared.closing.load(Ordering::Relaxed) || connection.is_body_unread() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let served = http1::Builder::new()
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
    connection: &Connection,
    shared: &Arc<ServerState>,
) -> Response<Body> {
    match interface {
        Interface::Callers => respond_to_caller(request, connection, shared).await,
        Interface::Control => respond_to_control(request, connection, shared).await,
        Interface::Readiness => {
            let ready = shared.ready.load(Ordering::Relaxed);
            let path_matches = request.uri().path() == http::READINESS_PATH;
            empty(match (path_matches, ready) {
                (false, _) => StatusCode::NOT_FOUND,
                (true, true) => StatusCode::OK,
                (true, false) => StatusCode::SERVICE_UNAVAILABLE,
            })
        }
        Interface::Metrics => {
            shared.clients.update_metrics();
            Response::new(Full::new(Bytes::from(shared.metrics.render())))
        }
    }
}

// ---- callers ----

/// Reports to the reducer that a caller has disconnected, if dropped before the reply arrived.
struct DisconnectGuard {
    connection: u64,
    inputs: Sender<Input>,
    answered: bool,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if !self.answered {
            let connection = self.connection;
            // If the queue is full, the request ends with its own timeout instead.
            let _ = self
                .inputs
                .try_send(Input::Event(Event::CallerDisconnected { connection }));
        }
    }
}

async fn respond_to_caller(
    request: Request<Incoming>,
    client: &Connection,
    shared: &Arc<ServerState>,
) -> Response<Body> {
    let host = header_text(&request, header::HOST.as_str());
    let host = host.split(':').next().unwrap_or_default().to_owned();
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    let timeout_ms = header_text(&request, http::TIMEOUT_HEADER)
        .parse::<f64>()
        .map_or(DEFAULT_TIMEOUT_MS, clamp_timeout_ms);
    let api_key = request.headers().get(keys::AUTHORIZATION_HEADER);
    let api_key = api_key.and_then(|value| keys::from_header(value.as_bytes()));
    let body = client.read_body(request.into_body(), MAX_CALLER_BODY_BYTES, BODY_TIMEOUT);
    let body = match body.await {
        Ok(body) => body,
        Err(BodyError::NoMemory) => return busy(),
        Err(error) => return empty(status_of(&error)),
    };
    let request = match jobs::decode_request(method.as_str(), &body.bytes) {
        Ok(Some(request)) => request,
        Ok(None) => return empty(StatusCode::METHOD_NOT_ALLOWED),
        Err(error) => {
            info!(event = "job_invalid", path, reason:% = error; "");
            return platform_response(jobs::encode_invalid(&error));
        }
    };
    let request = AddressedRequest {
        host,
        path,
        api_key,
        request,
    };
    let Some(memory) = client.request_complete(request.memory_bytes()) else {
        return busy();
    };
    drop(body);
    let connection = shared.next_connection.fetch_add(1, Ordering::Relaxed);
    let (reply, answer) = oneshot::channel();
    let input = Input::Caller {
        connection,
        request,
        timeout_ms: timeout_ms.saturating_sub(RESPONSE_MARGIN_MS),
        waiting: Waiting { reply, memory },
    };
    if shared.inputs.send(input).await.is_err() {
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    let mut guard = DisconnectGuard {
        connection,
        inputs: shared.inputs.clone(),
        answered: false,
    };
    let reply = answer.await.unwrap_or(CallerReply::Uncertain);
    guard.answered = true;
    platform_response(jobs::encode_reply(&reply))
}

/// Refuses a caller's request for want of memory; it has no effect.
fn busy() -> Response<Body> {
    platform_response(jobs::encode_reply(&CallerReply::Refused {
        reason: RefusalReason::Busy,
        retry_after_ms: BUSY_RETRY_AFTER_MS,
    }))
}

/// Rounds a timeout down to whole milliseconds, between 0 and [`MAX_TIMEOUT_MS`].
fn clamp_timeout_ms(timeout_ms: f64) -> u64 {
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "the value is clamped to a small range"
    )]
    let whole_ms = timeout_ms.clamp(0.0, MAX_TIMEOUT_MS as f64) as u64;
    whole_ms
}

// ---- workers and operators ----

async fn respond_to_control(
    request: Request<Incoming>,
    client: &Connection,
    shared: &Arc<ServerState>,
) -> Response<Body> {
    let uri = request.uri();
    let path = uri.path_and_query().map_or("", |path| path.as_str());
    let path = path.to_owned();
    let method = request.method().clone();
    // The body of a read is ignored.
    let body = if method == Method::GET {
        None
    } else {
        let body = client.read_body(request.into_body(), MAX_CONTROL_BODY_BYTES, BODY_TIMEOUT);
        match body.await {
            Ok(body) => Some(body),
            Err(error) => return empty(status_of(&error)),
        }
    };
    let bytes = body.as_ref().map_or(&[][..], |body| &body.bytes);
    let request = match http::decode_control_request(method.as_str(), &path, bytes) {
        Ok(request) => request,
        Err(ControlError::UnknownCall) => return empty(StatusCode::NOT_FOUND),
        Err(ControlError::Invalid(error)) => {
            info!(event = "control_body_invalid", path, reason:% = error; "");
            return platform_response(jobs::encode_invalid(&error));
        }
    };
    let content_bytes = bytes.len() * CONTROL_MEMORY_FACTOR + path.len();
    let Some(memory) = client.request_complete(content_bytes) else {
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    };
    drop(body);
    let is_announcement = matches!(request, ControlRequest::Announce { .. });
    let connection = shared.next_connection.fetch_add(1, Ordering::Relaxed);
    let (reply, answer) = oneshot::channel();
    let input = Input::Control {
        connection,
        request,
        waiting: Waiting { reply, memory },
    };
    if shared.inputs.send(input).await.is_err() {
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    let reply = match time::timeout(CONTROL_TIMEOUT, answer).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(_)) | Err(_) => ControlReply::Unavailable,
    };
    if !is_announcement {
        info!(event = "control_request", method:% = method, path, reply = reply_name(&reply); "");
    }
    match reply {
        ControlReply::Done if is_announcement => acknowledge(shared.control),
        ControlReply::Done => empty(StatusCode::OK),
        ControlReply::Unavailable => empty(StatusCode::SERVICE_UNAVAILABLE),
        ControlReply::Queues(source) => json(StatusCode::OK, Bytes::from_owner(source)),
        ControlReply::Redirect(vm) => {
            let leader = SocketAddr::from((address_of(vm), shared.control_port));
            redirect(leader, &path)
        }
        ControlReply::Repeat(number) => match shared.control {
            Some(own) => redirect(own, &http::repeat_path(&path, number)),
            None => empty(StatusCode::SERVICE_UNAVAILABLE),
        },
    }
}

/// Sends the caller to another address or path, with the same request.
fn redirect(to: SocketAddr, path: &str) -> Response<Body> {
    let mut response = empty(StatusCode::TEMPORARY_REDIRECT);
    if let Ok(location) = HeaderValue::try_from(format!("http://{to}{path}")) {
        response.headers_mut().insert(header::LOCATION, location);
    }
    response
}

/// Acknowledges an announcement. Only the leader does so; it sends its own address for the next
/// announcements, which saves redirects by other VMs.
fn acknowledge(leader_address: Option<SocketAddr>) -> Response<Body> {
    let body = leader_address.map(workers::encode_acknowledgement);
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
        ControlReply::Repeat(_) => "repeat",
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

/// Returns the status of the refusal of a request whose body was not read.
fn status_of(error: &BodyError) -> StatusCode {
    match error {
        BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::TooSlow => StatusCode::REQUEST_TIMEOUT,
        BodyError::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        BodyError::Broken(_) => StatusCode::BAD_REQUEST,
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

/// Makes a response with an empty JSON object.
fn empty(status: StatusCode) -> Response<Body> {
    json(status, Bytes::from_static(b"{}"))
}

fn platform_response(response: http::Response) -> Response<Body> {
    let status = StatusCode::from_u16(response.status);
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut out = json(status, Bytes::from(response.body));
    if let Some(seconds) = response.retry_after_s {
        let seconds = HeaderValue::from(seconds);
        out.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    if let Some(challenge) = response.challenge {
        let challenge = HeaderValue::from_static(challenge);
        out.headers_mut()
            .insert(header::WWW_AUTHENTICATE, challenge);
    }
    out
}
