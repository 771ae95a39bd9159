//! Limits on open connections and on what they may send before a request is complete.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    task::{Context, Poll, Waker, ready},
    time::Duration,
};

use metrics::counter;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{self, Instant, Sleep},
};

use crate::counted_stream::{ByteCounters, CountedStream};

/// Bytes that may be read beyond the largest head before a handler starts, so that a head of the
/// largest size is complete and is refused with a reason.
const READ_AHEAD_BYTES: usize = 4 << 10;

/// Open connections and the limits that apply to each.
#[derive(Debug)]
pub struct ConnectionRegistry {
    by_address: Mutex<BTreeMap<SocketAddr, Weak<TrackedConnection>>>,
    /// One permit for each connection that may be open.
    permits: Arc<Semaphore>,
    counters: ByteCounters,
    /// Largest request head.
    head_bytes: usize,
    /// Longest time from the first byte of a request head to the start of its handler.
    head_timeout: Duration,
    /// Longest idle time between requests.
    idle_timeout: Duration,
}

/// State of a connection that its handler and its socket share.
#[derive(Debug)]
pub struct TrackedConnection {
    state: Mutex<ConnectionState>,
}

#[derive(Debug)]
struct ConnectionState {
    /// Requests whose handler runs.
    in_flight: usize,
    /// Whether the last response may not be sent completely.
    response_unsent: bool,
    /// Whether writing that response has begun.
    response_started: bool,
    /// Bytes read since the last request ended; not counted while a handler runs.
    read_bytes: usize,
    /// Start of the current time limit: start of the connection, end of the last request, or first
    /// byte of a request head.
    timer_start: Instant,
    /// Wakes the reader when a handler starts or ends.
    read_waker: Option<Waker>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // No holder can panic halfway through a change, so a poisoned value is consistent.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ConnectionRegistry {
    pub fn new(
        max_connections: usize,
        head_bytes: usize,
        head_timeout: Duration,
        idle_timeout: Duration,
    ) -> Self {
        Self {
            by_address: Mutex::new(BTreeMap::new()),
            permits: Arc::new(Semaphore::new(max_connections)),
            counters: ByteCounters {
                received: counter!("acaciareel_http_received_bytes_total"),
                sent: counter!("acaciareel_http_sent_bytes_total"),
            },
            head_bytes,
            head_timeout,
            idle_timeout,
        }
    }

    /// Returns the open connection from an address.
    pub fn get(&self, address: SocketAddr) -> Option<Arc<TrackedConnection>> {
        lock(&self.by_address).get(&address)?.upgrade()
    }

    /// Returns whether a request is in flight or a response is not sent yet.
    pub fn is_busy(&self) -> bool {
        let by_address = lock(&self.by_address);
        by_address
            .values()
            .filter_map(Weak::upgrade)
            .any(|connection| {
                let state = lock(&connection.state);
                state.in_flight > 0 || state.response_unsent
            })
    }
}

impl ConnectionState {
    /// Returns the time at which the connection is closed if no handler starts before.
    fn deadline(&self, registry: &ConnectionRegistry) -> Instant {
        let limit = if self.read_bytes > 0 {
            registry.head_timeout
        } else {
            registry.idle_timeout
        };
        self.timer_start + limit
    }
}

impl TrackedConnection {
    fn new() -> Self {
        Self {
            state: Mutex::new(ConnectionState {
                in_flight: 0,
                response_unsent: false,
                response_started: false,
                read_bytes: 0,
                timer_start: Instant::now(),
                read_waker: None,
            }),
        }
    }

    /// Notes that a handler starts, which lifts the limits on reading.
    pub fn request_started(&self) {
        let mut state = lock(&self.state);
        state.in_flight += 1;
        if let Some(waker) = state.read_waker.take() {
            waker.wake();
        }
    }

    /// Notes that a handler has made its response; the limits for the next head apply from now on.
    pub fn request_ended(&self) {
        let mut state = lock(&self.state);
        state.in_flight -= 1;
        state.response_unsent = true;
        state.response_started = false;
        state.read_bytes = 0;
        state.timer_start = Instant::now();
        if let Some(waker) = state.read_waker.take() {
            waker.wake();
        }
    }
}

/// Socket of a caller, an operator or a worker that enforces the limits of its connection.
#[derive(Debug)]
pub struct LimitedStream {
    stream: CountedStream,
    address: SocketAddr,
    connection: Arc<TrackedConnection>,
    registry: Arc<ConnectionRegistry>,
    timer: Pin<Box<Sleep>>,
    /// Counts the connection as open until the socket is dropped.
    _permit: OwnedSemaphorePermit,
}

impl LimitedStream {
    /// Wraps a new connection; `None` if too many connections are open or this one is closed
    /// already.
    pub fn new(stream: TcpStream, registry: &Arc<ConnectionRegistry>) -> Option<Self> {
        let permit = Arc::clone(&registry.permits).try_acquire_owned().ok()?;
        let address = stream.peer_addr().ok()?;
        let stream = CountedStream::new(stream, registry.counters.clone()).ok()?;
        let connection = Arc::new(TrackedConnection::new());
        lock(&registry.by_address).insert(address, Arc::downgrade(&connection));
        Some(Self {
            stream,
            address,
            connection,
            registry: Arc::clone(registry),
            timer: Box::pin(time::sleep(registry.idle_timeout)),
            _permit: permit,
        })
    }

    /// Returns how many bytes may be read now, or waits. While no handler runs, the client may send
    /// one request head within the limits of size and time.
    fn poll_read_allowance(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let (deadline, read_bytes) = {
            let mut state = lock(&self.connection.state);
            state.read_waker = Some(cx.waker().clone());
            if state.in_flight > 0 {
                return Poll::Ready(Ok(usize::MAX));
            }
            (state.deadline(&self.registry), state.read_bytes)
        };
        if self.timer.deadline() != deadline {
            self.timer.as_mut().reset(deadline);
        }
        if self.timer.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        match (self.registry.head_bytes + READ_AHEAD_BYTES).saturating_sub(read_bytes) {
            0 => Poll::Pending,
            allowance => Poll::Ready(Ok(allowance)),
        }
    }
}

impl Drop for LimitedStream {
    fn drop(&mut self) {
        let mut by_address = lock(&self.registry.by_address);
        // A new connection from the same port may have replaced this one.
        let is_own = by_address
            .get(&self.address)
            .is_some_and(|connection| connection.ptr_eq(&Arc::downgrade(&self.connection)));
        if is_own {
            by_address.remove(&self.address);
        }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let allowance = ready!(self.poll_read_allowance(cx))?;
        let length = allowance.min(buffer.remaining());
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(length));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let read = part.filled().len();
        buffer.advance(read);
        let mut state = lock(&self.connection.state);
        if state.in_flight == 0 && read > 0 {
            if state.read_bytes == 0 {
                state.timer_start = Instant::now();
            }
            state.read_bytes += read;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        lock(&self.connection.state).response_started = true;
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        lock(&self.connection.state).response_started = true;
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The server flushes once its own buffer is empty, so the whole response is written by then.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        let mut state = lock(&self.connection.state);
        if state.response_started {
            state.response_unsent = false;
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
