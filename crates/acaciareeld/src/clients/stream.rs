//! Socket of a client, with the limits of its connection.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{self, Instant, Sleep},
};

use super::{
    Connection, ConnectionLimits, Slot,
    table::{Abort, Hold, Phase, View},
};

/// Most bytes that are read at once. Reads below 8 KiB keep the HTTP library from enlarging its
/// buffer, which it does after full reads.
const MAX_READ_BYTES: usize = 4 << 10;
/// Bytes that may be read beyond the largest head before a handler starts, so that a head of the
/// largest size is complete and is refused with a reason.
const READ_AHEAD_BYTES: usize = 4 << 10;
/// Size of a head up to which its memory is part of that of the connection.
const SMALL_HEAD_BYTES: usize = 4 << 10;
/// Longest time for which a connection is read after a refusal. Closing it with unread bytes would
/// reset it, and the client might never see the refusal.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Most bytes that are read in that time.
const MAX_LINGER_BYTES: usize = 1 << 20;

/// Socket of a client that enforces the limits of its connection.
#[derive(Debug)]
pub struct ClientStream<S> {
    stream: S,
    slot: Slot,
    limits: ConnectionLimits,
    timer: Pin<Box<Sleep>>,
    /// Bytes read since the last request head.
    read_bytes: usize,
    /// Whether anything was written since the last flush.
    is_written: bool,
    linger: Linger,
}

/// How far the end of a connection is.
#[derive(Clone, Copy, Debug)]
enum Linger {
    NotBegun,
    /// The last response is sent, and what the client still sends is dropped.
    Reading {
        until: Instant,
        read_bytes: usize,
    },
}

impl<S> ClientStream<S> {
    pub(super) fn new(stream: S, slot: Slot, limits: ConnectionLimits) -> Self {
        Self {
            stream,
            slot,
            limits,
            timer: Box::pin(time::sleep(limits.idle_timeout)),
            read_bytes: 0,
            is_written: false,
            linger: Linger::NotBegun,
        }
    }

    /// Returns the connection, for the handlers of its requests.
    pub fn connection(&self) -> &Connection {
        self.slot.connection()
    }

    /// Returns the state of the connection, or an error if it must be closed.
    fn view(&self, context: &Context<'_>) -> io::Result<View> {
        match self.connection().view(context) {
            Some(view) if view.abort != Abort::Close => Ok(view),
            _ => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }

    /// Fails once the client has been idle or slow for too long.
    fn poll_deadline(&mut self, view: View, context: &mut Context<'_>) -> io::Result<()> {
        let limit = match view.phase {
            Phase::Idle | Phase::Responding => self.limits.idle_timeout,
            Phase::Head => self.limits.head_timeout,
            // The body has a time limit of its own, and the request is answered in time.
            Phase::Body | Phase::Processing => return Ok(()),
        };
        self.poll_timer(view.since + limit, context)
            .map_or(Ok(()), |()| Err(io::ErrorKind::TimedOut.into()))
    }

    fn poll_timer(&mut self, deadline: Instant, context: &mut Context<'_>) -> Option<()> {
        if self.timer.deadline() != deadline {
            self.timer.as_mut().reset(deadline);
        }
        self.timer.as_mut().poll(context).is_ready().then_some(())
    }

    /// Returns how many bytes may be read now, or waits. Before a handler starts, the client may
    /// send one request head within the limits of size, memory and time.
    fn poll_read_allowance(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let view = self.view(context)?;
        if view.abort == Abort::Refuse {
            // The handler answers without the rest of the body.
            return Poll::Pending;
        }
        if let Phase::Body | Phase::Processing = view.phase {
            self.read_bytes = 0;
            return Poll::Ready(Ok(MAX_READ_BYTES));
        }
        self.poll_deadline(view, context)?;
        let max_bytes = self.limits.head_bytes + READ_AHEAD_BYTES;
        let allowance = MAX_READ_BYTES.min(max_bytes.saturating_sub(self.read_bytes));
        if allowance == 0 {
            return Poll::Pending;
        }
        if self.read_bytes + allowance > SMALL_HEAD_BYTES {
            // The buffer of the HTTP library doubles when it grows.
            let head_bytes = (self.read_bytes + allowance) * 2;
            let connection = self.connection();
            let now = Instant::now();
            let held = connection
                .table()
                .hold_head(connection.number, head_bytes, now);
            match held {
                Hold::Granted => {}
                Hold::Wait => return Poll::Pending,
                Hold::Refused => {
                    return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
                }
            }
        }
        Poll::Ready(Ok(allowance))
    }

    /// Counts bytes of a request head.
    fn head_read(&mut self, read_bytes: usize, phase_before: Option<Phase>) {
        if read_bytes == 0 || matches!(phase_before, Some(Phase::Body | Phase::Processing)) {
            return;
        }
        self.read_bytes += read_bytes;
        let connection = self.connection();
        let now = Instant::now();
        connection.table().head_started(connection.number, now);
    }

    /// Fails if a response cannot be sent because the client reads too slowly.
    fn check_writing(
        &mut self,
        written: Poll<io::Result<usize>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        self.is_written = true;
        if written.is_pending() {
            let view = self.view(context)?;
            self.poll_deadline(view, context)?;
        }
        written
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ClientStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let allowance = ready!(self.poll_read_allowance(context))?;
        let phase = self.connection().view(context).map(|view| view.phase);
        let length = allowance.min(buffer.remaining());
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(length));
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut part))?;
        let read = part.filled().len();
        buffer.advance(read);
        self.head_read(read, phase);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for ClientStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.check_writing(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.check_writing(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The HTTP library flushes once its own buffer is empty, so the whole response is written by
    /// then.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        if std::mem::take(&mut self.is_written) {
            let next_head_began = self.read_bytes > 0;
            let (connection, now) = (self.connection(), Instant::now());
            connection
                .table()
                .responses_sent(connection.number, next_head_began, now);
        }
        Poll::Ready(Ok(()))
    }

    /// Closes the connection. If the client is still sending a request that was refused, what it
    /// sends is dropped for a while, so that it gets to read the refusal.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let (until, mut read_bytes) = match self.linger {
            Linger::NotBegun => {
                ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
                let view = self.view(context)?;
                if !view.body_unread && self.read_bytes == 0 {
                    return Poll::Ready(Ok(()));
                }
                (Instant::now() + LINGER_TIME, 0)
            }
            Linger::Reading { until, read_bytes } => (until, read_bytes),
        };
        let mut ignored = [0; MAX_READ_BYTES];
        while read_bytes < MAX_LINGER_BYTES && self.view(context).is_ok() {
            let mut part = ReadBuf::new(&mut ignored);
            match Pin::new(&mut self.stream).poll_read(context, &mut part) {
                Poll::Ready(Ok(())) if !part.filled().is_empty() => {
                    read_bytes += part.filled().len();
                }
                Poll::Ready(_) => break,
                Poll::Pending => {
                    self.linger = Linger::Reading { until, read_bytes };
                    if self.poll_timer(until, context).is_some() {
                        break;
                    }
                    return Poll::Pending;
                }
            }
        }
        Poll::Ready(Ok(()))
    }
}
