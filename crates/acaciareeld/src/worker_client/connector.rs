//! Connector that opens the TCP connections to workers.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use gotham::tower_service::Service;
use hyper::Uri;
use hyper_util::rt::TokioIo;
use metrics::counter;
use tokio::{net::TcpStream, time};

use crate::counted_stream::{ByteCounters, CountedStream};

/// Opens connections to socket addresses within a timeout and counts their bytes.
#[derive(Clone, Debug)]
pub struct Connector {
    connect_timeout: Duration,
    counters: ByteCounters,
}

impl Connector {
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            connect_timeout,
            counters: ByteCounters {
                received: counter!("acaciareel_worker_received_bytes_total"),
                sent: counter!("acaciareel_worker_sent_bytes_total"),
            },
        }
    }

    async fn connect(self, uri: Uri) -> io::Result<TokioIo<CountedStream>> {
        let authority = uri.authority().map_or("", |authority| authority.as_str());
        let address: SocketAddr = authority.parse().map_err(io::Error::other)?;
        let stream = time::timeout(self.connect_timeout, TcpStream::connect(address)).await??;
        CountedStream::new(stream, self.counters).map(TokioIo::new)
    }
}

impl Service<Uri> for Connector {
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = io::Result<Self::Response>> + Send>>;
    type Response = TokioIo<CountedStream>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        Box::pin(self.clone().connect(uri))
    }
}
