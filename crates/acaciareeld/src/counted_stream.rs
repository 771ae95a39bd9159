//! TCP connections that count their bytes, for the metrics of control traffic.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use hyper_util::client::legacy::connect::{Connected, Connection};
use metrics::Counter;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Byte counters that one or more connections share; TCP and IP headers are not counted.
#[derive(Clone, Debug)]
pub struct ByteCounters {
    pub received: Counter,
    pub sent: Counter,
}

/// TCP connection that counts its bytes.
#[derive(Debug)]
pub struct CountedStream {
    stream: TcpStream,
    counters: ByteCounters,
}

impl CountedStream {
    /// Wraps a connection and sets `TCP_NODELAY`, so that small packets are not delayed.
    ///
    /// # Errors
    ///
    /// Fails if the option cannot be set, for example on a closed connection.
    pub fn new(stream: TcpStream, counters: ByteCounters) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self { stream, counters })
    }
}

impl Connection for CountedStream {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let read = buffer.filled().len() - before;
        self.counters.received.increment(read as u64);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, bytes))?;
        self.counters.sent.increment(written as u64);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, parts))?;
        self.counters.sent.increment(written as u64);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
