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

/// Bytes that may be read beyond the head before the handler starts, so that a head of the largest
/// size is complete and is refused with a reason.
const READ_AHEAD_BYTES: usize = 4 << 10;

/// All open connections.
#[derive(Debug)]
pub struct Gates {
    by_address: Mutex<BTreeMap<SocketAddr, Weak<Gate>>>,
    permits: Arc<Semaphore>,
    counters: ByteCounters,
    head_bytes: usize,
    head_limit: Duration,
    idle_limit: Duration,
}

/// State that the handler and the socket of a connection share.
#[derive(Debug)]
pub struct Gate {
    state: Mutex<GateState>,
}

#[derive(Debug)]
struct GateState {
    /// Requests whose handler runs.
    in_flight: usize,
    /// Whether a response is not known to be sent completely.
    unsent: bool,
    /// Whether a part of that response was written.
    written: bool,
    /// Bytes read since the last request ended, unless a handler runs.
    read_bytes: usize,
    /// End of the last request, start of the connection, or first byte of a request head.
    since: Instant,
    /// Reader that waits for a handler to start.
    reader: Option<Waker>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // No holder can panic halfway through a change.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Gates {
    pub fn new(
        connections: usize,
        head_bytes: usize,
        head_limit: Duration,
        idle_limit: Duration,
    ) -> Self {
        Self {
            by_address: Mutex::new(BTreeMap::new()),
            permits: Arc::new(Semaphore::new(connections)),
            counters: ByteCounters {
                received: counter!("acaciareel_http_received_bytes_total"),
                sent: counter!("acaciareel_http_sent_bytes_total"),
            },
            head_bytes,
            head_limit,
            idle_limit,
        }
    }

    /// Returns the gate of the connection from an address.
    pub fn get(&self, address: SocketAddr) -> Option<Arc<Gate>> {
        lock(&self.by_address).get(&address)?.upgrade()
    }

    /// Returns whether a request is in flight or an answer is not sent yet.
    pub fn busy(&self) -> bool {
        let gates = lock(&self.by_address);
        gates.values().filter_map(Weak::upgrade).any(|gate| {
            let state = lock(&gate.state);
            state.in_flight > 0 || state.unsent
        })
    }
}

impl GateState {
    /// Returns when a connection without a handler is closed.
    fn deadline(&self, gates: &Gates) -> Instant {
        let limit = if self.read_bytes > 0 {
            gates.head_limit
        } else {
            gates.idle_limit
        };
        self.since + limit
    }
}

impl Gate {
    fn new() -> Self {
        Self {
            state: Mutex::new(GateState {
                in_flight: 0,
                unsent: false,
                written: false,
                read_bytes: 0,
                since: Instant::now(),
                reader: None,
            }),
        }
    }

    /// A handler starts.
    pub fn request_started(&self) {
        let mut state = lock(&self.state);
        state.in_flight += 1;
        if let Some(reader) = state.reader.take() {
            reader.wake();
        }
    }

    /// A handler has made its response.
    pub fn request_ended(&self) {
        let mut state = lock(&self.state);
        state.in_flight -= 1;
        state.unsent = true;
        state.written = false;
        state.read_bytes = 0;
        state.since = Instant::now();
        if let Some(reader) = state.reader.take() {
            reader.wake();
        }
    }
}

/// Socket of a caller, an operator or a worker.
#[derive(Debug)]
pub struct GuardedStream {
    stream: CountedStream,
    address: SocketAddr,
    gate: Arc<Gate>,
    gates: Arc<Gates>,
    timer: Pin<Box<Sleep>>,
    /// Held while the connection is open.
    _permit: OwnedSemaphorePermit,
}

impl GuardedStream {
    /// Wraps a new connection; `None` if too many are open.
    pub fn new(stream: TcpStream, gates: &Arc<Gates>) -> Option<Self> {
        let permit = Arc::clone(&gates.permits).try_acquire_owned().ok()?;
        let address = stream.peer_addr().ok()?;
        let stream = CountedStream::new(stream, gates.counters.clone()).ok()?;
        let gate = Arc::new(Gate::new());
        lock(&gates.by_address).insert(address, Arc::downgrade(&gate));
        Some(Self {
            stream,
            address,
            gate,
            gates: Arc::clone(gates),
            timer: Box::pin(time::sleep(gates.idle_limit)),
            _permit: permit,
        })
    }

    /// Returns how many bytes may be read now, or waits. A connection without a handler may send
    /// one request head within the limits of size and time.
    fn poll_allowance(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let (deadline, read_bytes) = {
            let mut state = lock(&self.gate.state);
            state.reader = Some(cx.waker().clone());
            if state.in_flight > 0 {
                return Poll::Ready(Ok(usize::MAX));
            }
            (state.deadline(&self.gates), state.read_bytes)
        };
        if self.timer.deadline() != deadline {
            self.timer.as_mut().reset(deadline);
        }
        if self.timer.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        match (self.gates.head_bytes + READ_AHEAD_BYTES).saturating_sub(read_bytes) {
            0 => Poll::Pending,
            allowance => Poll::Ready(Ok(allowance)),
        }
    }
}

impl Drop for GuardedStream {
    fn drop(&mut self) {
        let mut gates = lock(&self.gates.by_address);
        // A new connection from the same port may have taken the place.
        let mine = gates
            .get(&self.address)
            .is_some_and(|gate| gate.ptr_eq(&Arc::downgrade(&self.gate)));
        if mine {
            gates.remove(&self.address);
        }
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let allowance = ready!(self.poll_allowance(cx))?;
        let length = allowance.min(buffer.remaining());
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(length));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let read = part.filled().len();
        buffer.advance(read);
        let mut state = lock(&self.gate.state);
        if state.in_flight == 0 && read > 0 {
            if state.read_bytes == 0 {
                state.since = Instant::now();
            }
            state.read_bytes += read;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        lock(&self.gate.state).written = true;
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        lock(&self.gate.state).written = true;
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The server flushes once its own buffer is empty, so all of a response is then written.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        let mut state = lock(&self.gate.state);
        if state.written {
            state.unsent = false;
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
