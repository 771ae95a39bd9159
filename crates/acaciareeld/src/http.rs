//! HTTP server for callers, operators and workers.

use std::{
    net::SocketAddr,
    panic::RefUnwindSafe,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use acaciareel_node::{ConnectionId, Event, Reply};
use acaciareel_types::{FailureDomain, Incarnation, VmId};
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use flexi_logger::LoggerHandle;
use gotham::{
    anyhow,
    handler::{Handler, HandlerFuture, NewHandler},
    helpers::http::Body,
    state::{FromState, State, client_addr},
};
use hyper::{HeaderMap, Method, Response, StatusCode, Uri, body::Body as _, header};
use metrics::counter;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot},
    task::JoinHandle,
    time,
};

use crate::{
    clients::{
        ArrivedBody, BodyError, ClientLimits, Clients, Connection, ConnectionLimits, HeldRequest,
        Listener, descriptor_limit,
    },
    config::LimitsConfig,
    counted_stream::{ByteCounters, CountedStream},
    error::DaemonError,
    logging, metering,
    node_task::Input,
};

mod auth;
mod endpoint;
mod rate_limit;
mod request;
mod response;

pub use auth::Tokens;
use endpoint::Endpoint;
use rate_limit::RateLimit;
use response::HttpError;

/// Parts of the daemon that the HTTP handlers use.
pub struct App {
    pub vm: VmId,
    /// Failure domain of this VM.
    pub failure_domain: FailureDomain,
    /// Incarnation of this VM.
    pub incarnation: Incarnation,
    pub limits: LimitsConfig,
    /// Valid bearer tokens.
    pub tokens: Tokens,
    pub inputs: mpsc::Sender<Input>,
    /// Renders the metrics page.
    pub metrics: PrometheusHandle,
    /// Changes the log level.
    pub logger: LoggerHandle,
    /// Whether tables are in force on this VM; without tables it refuses every request.
    pub tables_in_force: Arc<AtomicBool>,
    /// Whether the graceful stop has begun.
    pub stopping: AtomicBool,
}

/// State that the handlers of all connections share.
struct ServerState {
    app: Arc<App>,
    clients: Arc<Clients>,
    listener: Arc<Listener>,
    next_connection: AtomicU64,
    announcement_limit: RateLimit,
}

/// Running HTTP server.
#[derive(Debug)]
pub struct Server {
    /// Address that the server listens on.
    pub address: SocketAddr,
    listener: Arc<Listener>,
    accept_task: JoinHandle<()>,
}

impl Server {
    /// Binds the address and starts to serve requests.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(address: SocketAddr, app: Arc<App>) -> Result<Self, Report<DaemonError>> {
        let socket = TcpListener::bind(address)
            .await
            .change_context(DaemonError::Start)
            .attach_with(|| format!("HTTP address {address}"))?;
        let address = socket.local_addr().change_context(DaemonError::Start)?;
        let limits = &app.limits;
        let clients = Clients::new(ClientLimits {
            transfer_bytes: limits.arriving_bytes,
            request_bytes: limits.waiting_bytes,
        });
        let listener = Arc::new(clients.listener(ConnectionLimits {
            // The other half is for files and for connections to workers.
            connections: limits.connections.min(descriptor_limit() / 2),
            head_bytes: limits.header_bytes,
            head_timeout: Duration::from_millis(limits.header_timeout_ms.0),
            idle_timeout: Duration::from_millis(limits.idle_timeout_ms.0),
        }));
        let shared = ServerState {
            announcement_limit: RateLimit::new(limits.announcements, Instant::now()),
            clients,
            listener: Arc::clone(&listener),
            next_connection: AtomicU64::new(1),
            app,
        };
        let handler = HttpHandler(Arc::new(shared));
        let counters = ByteCounters {
            received: counter!("acaciareel_http_received_bytes_total"),
            sent: counter!("acaciareel_http_sent_bytes_total"),
        };
        let admitting = Arc::clone(&listener);
        let accept_task = tokio::spawn(async move {
            let admit = move |stream: TcpStream| {
                let (listener, counters) = (Arc::clone(&admitting), counters.clone());
                Box::pin(async move {
                    let client = stream.peer_addr().map_err(|_| ())?;
                    let stream = CountedStream::new(stream, counters).map_err(|_| ())?;
                    listener.admit_http(stream, client).await.ok_or(())
                })
            };
            gotham::bind_server(socket, handler, admit).await;
        });
        Ok(Self {
            address,
            listener,
            accept_task,
        })
    }

    /// Closes the listening socket. Open connections stay open.
    pub fn stop_accepting(&self) {
        self.accept_task.abort();
    }

    /// Waits until no request is in flight and every response has been sent.
    pub async fn wait_until_idle(&self) {
        while self.listener.is_busy() {
            time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Handler of requests; cloned for each of them.
#[derive(Clone)]
struct HttpHandler(Arc<ServerState>);

/// A panic of a handler cannot leave the shared state half changed.
impl RefUnwindSafe for HttpHandler {}

impl NewHandler for HttpHandler {
    type Instance = Self;

    fn new_handler(&self) -> anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl Handler for HttpHandler {
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        let connection = client_addr(&state).and_then(|address| self.0.listener.find(address));
        let received = ReceivedRequest::take(&mut state);
        // The request counts as in flight from here on, even if the future is never polled.
        if let Some(connection) = &connection {
            connection.request_started(!received.body.is_end_stream());
        }
        Box::pin(async move {
            let result = match &connection {
                Some(connection) => self.0.serve(received, connection).await,
                // The connection was closed meanwhile.
                None => Err(HttpError::memory_exhausted()),
            };
            let mut response = result.unwrap_or_else(HttpError::into_response);
            let is_unread = connection.as_ref().is_some_and(Connection::is_body_unread);
            if is_unread || self.0.app.stopping.load(Ordering::Relaxed) {
                let close = header::HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            if let Some(connection) = &connection {
                connection.response_started(response.body().size_hint().lower());
            }
            Ok((state, response))
        })
    }
}

/// Parts of a request whose head has arrived.
struct ReceivedRequest {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Body,
    received_at: Instant,
}

impl ReceivedRequest {
    fn take(state: &mut State) -> Self {
        Self {
            method: Method::take_from(state),
            uri: Uri::take_from(state),
            headers: HeaderMap::take_from(state),
            body: Body::take_from(state),
            received_at: Instant::now(),
        }
    }

    /// Returns the size of the request's path, query and header lines. Method, version and optional
    /// spaces are not counted.
    fn head_bytes(&self) -> usize {
        let line = self.uri.path().len() + self.uri.query().map_or(0, str::len);
        let headers = self.headers.iter();
        line + headers
            .map(|(name, value)| name.as_str().len() + value.len() + 4)
            .sum::<usize>()
    }
}

impl ServerState {
    async fn serve(
        &self,
        received: ReceivedRequest,
        client: &Connection,
    ) -> Result<Response<Body>, HttpError> {
        let limits = &self.app.limits;
        if received.head_bytes() > limits.header_bytes {
            let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
            let reason = format!("headers exceed {} bytes", limits.header_bytes);
            return Err(HttpError::new(status, reason));
        }
        let endpoint = Endpoint::find(&received.method, received.uri.path())?;
        if matches!(endpoint, Endpoint::Health) {
            return Ok(self.health());
        }
        let access = self.app.tokens.check(&received.headers, endpoint.role())?;
        if let Endpoint::Announce | Endpoint::TaskResult(_) = endpoint
            && !self.announcement_limit.take(Instant::now())
        {
            return Err(HttpError::rate_limited());
        }
        let limit_bytes = match endpoint {
            Endpoint::Apply => limits.tables_bytes,
            _ => limits.body_bytes,
        };
        let body = self.read_body(received.body, limit_bytes, client).await?;
        let memory = client
            .request_complete(body.bytes.len())
            .ok_or_else(HttpError::memory_exhausted)?;
        match endpoint {
            Endpoint::Metrics => {
                metering::update_process_metrics();
                self.clients.update_metrics();
                Ok(response::text(StatusCode::OK, self.app.metrics.render()))
            }
            Endpoint::Status => self.status().await,
            Endpoint::LogLevel => self.set_log_level(&body.bytes),
            endpoint => {
                let connection = self.next_connection_id();
                let parts = request::RequestParts {
                    headers: &received.headers,
                    body: &body.bytes,
                    access: &access,
                };
                let event = request::event(endpoint, connection, &parts)?;
                // The event has a copy, which waits for the reply.
                drop(body);
                let reply = self.call_node(connection, event, Some(memory)).await?;
                response::reply_response(reply, received.received_at.elapsed())
            }
        }
    }

    /// Reads a body within the limits of size, memory and time.
    async fn read_body<'a>(
        &self,
        body: Body,
        limit_bytes: usize,
        client: &'a Connection,
    ) -> Result<ArrivedBody<'a>, HttpError> {
        let limits = &self.app.limits;
        let timeout = Duration::from_millis(limits.header_timeout_ms.0);
        let body = client.read_body(body, limit_bytes, timeout).await;
        body.map_err(|error| match error {
            BodyError::TooLarge => {
                let reason = format!("body exceeds {limit_bytes} bytes");
                HttpError::new(StatusCode::PAYLOAD_TOO_LARGE, reason)
            }
            BodyError::NoMemory => HttpError::memory_exhausted(),
            BodyError::Broken(error) => HttpError::bad_request(format!("body: {error}")),
            BodyError::TooSlow => {
                let reason = format!("body did not arrive within {}", limits.header_timeout_ms);
                HttpError::new(StatusCode::REQUEST_TIMEOUT, reason)
            }
        })
    }

    /// Returns a new id for a request; the node calls it a connection.
    fn next_connection_id(&self) -> ConnectionId {
        ConnectionId(self.next_connection.fetch_add(1, Ordering::Relaxed))
    }

    /// Sends an event to the node and waits for the reply. If this future is dropped because the
    /// connection was closed, the node receives `Event::ConnectionClosed`.
    async fn call_node(
        &self,
        connection: ConnectionId,
        event: Event,
        memory: Option<HeldRequest>,
    ) -> Result<Reply, HttpError> {
        let (sender, receiver) = oneshot::channel();
        let input = Input::Request {
            connection,
            event,
            reply: sender,
            memory,
        };
        let unavailable = || {
            let reason = "the daemon is stopping";
            HttpError::new(StatusCode::SERVICE_UNAVAILABLE, reason.to_owned())
        };
        self.app
            .inputs
            .send(input)
            .await
            .map_err(|_| unavailable())?;
        let mut guard = DisconnectGuard {
            connection,
            inputs: Some(&self.app.inputs),
        };
        let reply = receiver.await;
        guard.inputs = None;
        reply.map_err(|_| HttpError::unknown_outcome())
    }

    async fn status(&self) -> Result<Response<Body>, HttpError> {
        let connection = self.next_connection_id();
        let vms = self
            .call_node(connection, Event::ShowVms { connection }, None)
            .await?;
        let connection = self.next_connection_id();
        let workers = self
            .call_node(connection, Event::ShowWorkers { connection }, None)
            .await?;
        let connection = self.next_connection_id();
        let state = self
            .call_node(connection, Event::ShowState { connection }, None)
            .await?;
        response::status_response(&self.app, &vms, &workers, state)
    }

    fn health(&self) -> Response<Body> {
        if self.app.stopping.load(Ordering::Relaxed) {
            response::text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n".to_owned())
        } else if !self.app.tables_in_force.load(Ordering::Relaxed) {
            response::text(StatusCode::SERVICE_UNAVAILABLE, "no tables\n".to_owned())
        } else {
            response::text(StatusCode::OK, "ok\n".to_owned())
        }
    }

    fn set_log_level(&self, body: &Bytes) -> Result<Response<Body>, HttpError> {
        let text = std::str::from_utf8(body)
            .map_err(|_| HttpError::bad_request("the level is not text".to_owned()))?;
        let level = logging::parse_level(text.trim())
            .map_err(|error| HttpError::bad_request(format!("level: {error}")))?;
        self.app.logger.set_new_spec(level);
        log::info!(event = "log_level_changed", level = text.trim(); "");
        Ok(response::empty(StatusCode::NO_CONTENT))
    }
}

/// Reports to the node that a connection was closed, if dropped before the reply arrived.
struct DisconnectGuard<'a> {
    connection: ConnectionId,
    /// `None` once the reply has arrived.
    inputs: Option<&'a mpsc::Sender<Input>>,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        let Some(inputs) = self.inputs else {
            return;
        };
        let event = Event::ConnectionClosed {
            connection: self.connection,
        };
        if let Err(mpsc::error::TrySendError::Full(input)) = inputs.try_send(Input::Event(event)) {
            let inputs = inputs.clone();
            tokio::spawn(async move { inputs.send(input).await });
        }
    }
}

#[cfg(test)]
mod tests;
