//! What clients may hold in this process, whichever of its listeners they use: connections, and the
//! memory of their requests and responses.
//!
//! One [`Clients`] serves all listeners of a process. Two limits keep transfers and work apart: what
//! arrives or is being sent makes room for others ([`table`]), and what has arrived completely keeps
//! its memory until it has an answer ([`requests`]).

use std::{
    future::poll_fn,
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use metrics::{Counter, counter, gauge};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{self, Instant},
};

mod body;
mod descriptors;
mod requests;
mod stream;
mod table;

pub use body::{ArrivedBody, BodyError};
pub use descriptors::{ConnectionShares, descriptor_limit};
pub use requests::HeldRequest;
pub use stream::ClientStream;

use requests::RequestMemory;
use table::{Abort, ConnectionNumber, Hold, ListenerNumber, Table, View};

/// Most new connections of a listener that wait until another one has made room.
const MAX_WAITING: usize = 64;
/// Longest wait of a new connection until another one has made room.
const ADMISSION_TIMEOUT: Duration = Duration::from_secs(1);

/// Limits on what all clients together hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientLimits {
    /// Memory of the heads and bodies that arrive and of the responses that are being sent.
    pub transfer_bytes: usize,
    /// Memory of the requests that have arrived completely and have no response yet.
    pub request_bytes: usize,
}

/// Limits on the connections of a listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionLimits {
    /// Most open connections.
    pub connections: usize,
    /// Largest request head.
    pub head_bytes: usize,
    /// Longest time from the first byte of a request head to its end.
    pub head_timeout: Duration,
    /// Longest idle time between requests, and longest time to send a response.
    pub idle_timeout: Duration,
}

/// Connections of a process and the memory of their requests.
#[derive(Debug)]
pub struct Clients {
    table: Mutex<Table>,
    requests: Arc<RequestMemory>,
    listeners: AtomicUsize,
    /// Connections that made room for others or found none.
    aborted: Counter,
}

impl Clients {
    pub fn new(limits: ClientLimits) -> Arc<Self> {
        Arc::new(Self {
            table: Mutex::new(Table::new(limits.transfer_bytes)),
            requests: RequestMemory::new(limits.request_bytes),
            listeners: AtomicUsize::new(0),
            aborted: counter!("acaciareel_clients_aborted_total"),
        })
    }

    /// Adds a listener, whose connections count apart from those of the others.
    pub fn listener(self: &Arc<Self>, limits: ConnectionLimits) -> Listener {
        let number = self.listeners.fetch_add(1, Ordering::Relaxed);
        Listener {
            clients: Arc::clone(self),
            number: ListenerNumber(number),
            limits,
            permits: Arc::new(Semaphore::new(limits.connections)),
            waiting: Semaphore::new(MAX_WAITING),
        }
    }

    /// Writes the memory of all clients to the metrics.
    pub fn update_metrics(&self) {
        let transfer_bytes = self.lock().held_bytes();
        let request_bytes = self.requests.held_bytes();
        #[allow(clippy::cast_precision_loss, reason = "far below 2^53")]
        for (kind, bytes) in [("transfer", transfer_bytes), ("request", request_bytes)] {
            gauge!("acaciareel_clients_held_bytes", "kind" => kind).set(bytes as f64);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        // No holder can panic halfway through a change, so a poisoned value is consistent.
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A listener and the limits of its connections.
#[derive(Debug)]
pub struct Listener {
    clients: Arc<Clients>,
    number: ListenerNumber,
    limits: ConnectionLimits,
    /// One permit for each connection that may be open.
    permits: Arc<Semaphore>,
    /// One permit for each new connection that may wait.
    waiting: Semaphore,
}

impl Listener {
    /// Accepts a connection of HTTP; otherwise like [`Listener::admit`].
    pub async fn admit_http<S>(&self, stream: S, client: SocketAddr) -> Option<ClientStream<S>> {
        let slot = self.admit(client).await?;
        Some(ClientStream::new(stream, slot, self.limits))
    }

    /// Accepts a connection. If too many are open, the one that costs the most makes room; `None`
    /// if none can.
    pub async fn admit(&self, client: SocketAddr) -> Option<Slot> {
        let permit = match Arc::clone(&self.permits).try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => self.wait_for_permit().await?,
        };
        let number = self
            .clients
            .lock()
            .insert(self.number, client, Instant::now());
        Some(Slot {
            connection: self.connection(number),
            _permit: permit,
        })
    }

    async fn wait_for_permit(&self) -> Option<OwnedSemaphorePermit> {
        self.clients.aborted.increment(1);
        let _waiting = self.waiting.try_acquire().ok()?;
        if !self.clients.lock().close_one(self.number, Instant::now()) {
            return None;
        }
        let permit = Arc::clone(&self.permits).acquire_owned();
        time::timeout(ADMISSION_TIMEOUT, permit).await.ok()?.ok()
    }

    /// Returns the open connection from an address.
    pub fn find(&self, client: SocketAddr) -> Option<Connection> {
        let number = self.clients.lock().find(self.number, client)?;
        Some(self.connection(number))
    }

    /// Returns whether a request is in flight or a response is not sent yet.
    pub fn is_busy(&self) -> bool {
        self.clients.lock().is_busy(self.number)
    }

    fn connection(&self, number: ConnectionNumber) -> Connection {
        Connection {
            clients: Arc::clone(&self.clients),
            number,
        }
    }
}

/// Place of an open connection; free again when dropped.
#[derive(Debug)]
pub struct Slot {
    connection: Connection,
    _permit: OwnedSemaphorePermit,
}

impl Slot {
    pub fn connection(&self) -> &Connection {
        &self.connection
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.connection.table().remove(self.connection.number);
    }
}

/// A connection, as its socket and its handler see it.
#[derive(Clone, Debug)]
pub struct Connection {
    clients: Arc<Clients>,
    number: ConnectionNumber,
}

impl Connection {
    /// Records that a request head has arrived.
    pub fn request_started(&self, has_body: bool) {
        let now = Instant::now();
        self.table().request_started(self.number, has_body, now);
    }

    /// Records that a request has arrived completely, and takes memory for what it has become. From
    /// here on it makes no room for others. `None` if there is too little memory; the request must
    /// then be refused.
    pub fn request_complete(&self, content_bytes: usize) -> Option<HeldRequest> {
        let held = self.clients.requests.hold(content_bytes);
        if held.is_some() {
            self.table().request_complete(self.number);
        } else {
            self.clients.aborted.increment(1);
        }
        held
    }

    /// Records that a response of so many bytes is being sent.
    pub fn response_started(&self, bytes: u64) {
        let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
        let now = Instant::now();
        self.table().response_started(self.number, bytes, now);
    }

    /// Returns whether the body of the present request was not read to its end, so that the
    /// connection must be closed after the response.
    pub fn is_body_unread(&self) -> bool {
        self.table().is_body_unread(self.number)
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.clients.lock()
    }

    fn view(&self, context: &Context<'_>) -> Option<View> {
        self.table().view(self.number, context.waker())
    }

    /// Waits for a part of a body, unless the body has to make room for others.
    ///
    /// # Errors
    ///
    /// Fails if it has to make room.
    pub async fn unless_refused<F: Future>(&self, part: F) -> Result<F::Output, BodyError> {
        let mut part = pin!(part);
        poll_fn(|context| {
            let view = self.view(context);
            if view.is_none_or(|view| view.abort != Abort::No) {
                return Poll::Ready(Err(BodyError::NoMemory));
            }
            part.as_mut().poll(context).map(Ok)
        })
        .await
    }

    /// Waits until there is memory for a body of so far `bytes` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the connection has to make room itself.
    pub async fn hold_body(&self, bytes: usize) -> Result<(), BodyError> {
        poll_fn(|context| {
            let mut table = self.table();
            table.view(self.number, context.waker());
            match table.hold_body(self.number, bytes, Instant::now()) {
                Hold::Granted => Poll::Ready(Ok(())),
                Hold::Wait => Poll::Pending,
                Hold::Refused => Poll::Ready(Err(BodyError::NoMemory)),
            }
        })
        .await
        .inspect_err(|_| self.clients.aborted.increment(1))
    }

    /// Records that a body has been dropped.
    pub fn release_body(&self) {
        self.table().release_arrived(self.number);
    }

    /// Keeps the connection from making room for others.
    pub fn protect(&self) {
        self.table().request_complete(self.number);
    }
}
