//! Messages between daemons over QUIC with mutual TLS.
//!
//! Each daemon opens one connection to each other daemon and sends its messages on one stream of
//! it; it receives on the connections that the others open. A stream starts with a hello (the
//! sender's incarnation and the start time of its process, 8 bytes each, little endian), followed
//! by messages, each with its length (4 bytes, little endian) before it. Messages may be lost, but
//! those that arrive on one connection arrive in order.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use acaciareel_node::{Event, PeerMessage};
use acaciareel_types::{Incarnation, SortedVec, VmId};
use error_stack::{Report, ResultExt};
use log::{debug, info, warn};
use metrics::counter;
use quinn::{Connection, Endpoint, RecvStream, SendStream, UdpStats, VarInt};
use tokio::{
    sync::{Notify, mpsc},
    task::JoinSet,
    time,
};

use crate::{config::Config, error::DaemonError, node_task::Input};

mod queue;
mod tls;

use queue::Queue;
use tls::Identity;

/// Largest message. The largest of the protocol is a batch of log entries with request bodies.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// First pause before a connection is tried again; doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// A returning VM is reached after at most this time.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// A connection attempt that takes longer is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which the traffic of a connection is added to the metrics.
const TRAFFIC_INTERVAL: Duration = Duration::from_secs(5);

/// Connections to the other daemons. They end when this value is dropped.
#[derive(Debug)]
pub struct Transport {
    endpoint: Endpoint,
    peers: SortedVec<VmId, Arc<Peer>>,
    /// Aborted on drop.
    _tasks: JoinSet<()>,
}

/// Outgoing side of one peer.
#[derive(Debug)]
struct Peer {
    vm: VmId,
    address: SocketAddr,
    queue: Mutex<Queue>,
    queued: Notify,
    /// Wakes the sender when the peer's process is a new one, since the old connection is dead.
    restarted: Notify,
    /// Start time of the peer's process as its last hello told it.
    started: Mutex<u64>,
}

/// First bytes of a stream.
#[derive(Clone, Copy, Debug)]
struct Hello {
    incarnation: Incarnation,
    started: u64,
}

impl Hello {
    fn to_bytes(self) -> [u8; 16] {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&self.incarnation.0.to_le_bytes());
        bytes[8..].copy_from_slice(&self.started.to_le_bytes());
        bytes
    }

    fn from_bytes(bytes: [u8; 16]) -> Self {
        let (incarnation, started) = bytes.split_at(8);
        let number = |bytes: &[u8]| bytes.iter().rev().fold(0, |n, b| n << 8 | u64::from(*b));
        Self {
            incarnation: Incarnation(number(incarnation)),
            started: number(started),
        }
    }
}

impl Transport {
    /// Opens the endpoint and starts to connect to all peers. Messages that arrive go to `events`.
    ///
    /// # Errors
    ///
    /// Fails if the keys or the address cannot be used.
    pub fn start(
        config: &Config,
        incarnation: Incarnation,
        started: u64,
        events: mpsc::Sender<Input>,
    ) -> Result<Self, Report<DaemonError>> {
        let identity = Identity::load(&config.keys)?;
        let mut endpoint = Endpoint::server(identity.server()?, config.peers_listen)
            .change_context(DaemonError::Start)
            .attach_with(|| format!("peer address {}", config.peers_listen))?;
        endpoint.set_default_client_config(identity.client()?);
        let hello = Hello {
            incarnation,
            started,
        };
        let peers: SortedVec<_, _> = config
            .vms
            .iter()
            .filter(|(vm, _)| **vm != config.vm)
            .map(|(vm, peer)| (*vm, Arc::new(Peer::new(*vm, peer.address))))
            .collect();
        let mut tasks = JoinSet::new();
        for peer in peers.values() {
            tasks.spawn(connect_forever(endpoint.clone(), Arc::clone(peer), hello));
        }
        tasks.spawn(accept_forever(endpoint.clone(), peers.clone(), events));
        Ok(Self {
            endpoint,
            peers,
            _tasks: tasks,
        })
    }

    /// Queues a message. It may be dropped, as any message may be lost.
    pub fn send(&self, to: VmId, message: &PeerMessage) {
        let Some(peer) = self.peers.get(&to) else {
            return;
        };
        let heartbeat = matches!(message, PeerMessage::Heartbeat { .. });
        let bytes = message.to_bytes();
        if bytes.len() > MAX_MESSAGE_BYTES {
            warn!(event = "peer_message_too_large", to:% = to, bytes = bytes.len(); "dropped");
            return;
        }
        let dropped = lock(&peer.queue).push(bytes, heartbeat, Instant::now());
        if dropped > 0 {
            counter!("acaciareel_peer_dropped_total", "peer" => to.to_string()).increment(dropped);
        }
        peer.queued.notify_one();
    }

    /// Sends what is queued, for at most `limit`, and closes all connections.
    pub async fn close(&self, limit: Duration) {
        let deadline = Instant::now() + limit;
        while self
            .peers
            .values()
            .any(|peer| !lock(&peer.queue).is_empty())
            && Instant::now() < deadline
        {
            time::sleep(Duration::from_millis(10)).await;
        }
        self.endpoint.close(VarInt::from_u32(0), b"stopping");
        let _ = time::timeout(limit, self.endpoint.wait_idle()).await;
    }
}

impl Peer {
    fn new(vm: VmId, address: SocketAddr) -> Self {
        Self {
            vm,
            address,
            queue: Mutex::new(Queue::default()),
            queued: Notify::new(),
            restarted: Notify::new(),
            started: Mutex::new(0),
        }
    }

    /// Notes the start time that a hello told and wakes the sender if the process is a new one.
    fn heard_hello(&self, hello: Hello) {
        let mut started = lock(&self.started);
        if *started != hello.started {
            if *started != 0 {
                self.restarted.notify_one();
            }
            *started = hello.started;
        }
    }
}

/// Locks a mutex. A panic of another holder cannot leave these values half changed.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Keeps a connection to one peer and sends its messages.
async fn connect_forever(endpoint: Endpoint, peer: Arc<Peer>, hello: Hello) {
    let mut backoff = MIN_BACKOFF;
    loop {
        match time::timeout(CONNECT_TIMEOUT, connect(&endpoint, &peer, hello)).await {
            Ok(Ok((connection, stream))) => {
                info!(event = "peer_connected", peer:% = peer.vm; "");
                backoff = MIN_BACKOFF;
                let reason = send_messages(&connection, stream, &peer).await;
                connection.close(VarInt::from_u32(0), b"");
                info!(event = "peer_disconnected", peer:% = peer.vm, reason:% = reason; "");
            }
            Ok(Err(reason)) => {
                debug!(event = "peer_unreachable", peer:% = peer.vm, reason:% = reason; "");
            }
            Err(_) => debug!(event = "peer_unreachable", peer:% = peer.vm; "timeout"),
        }
        time::sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

type AnyError = Box<dyn std::error::Error + Send + Sync>;

async fn connect(
    endpoint: &Endpoint,
    peer: &Peer,
    hello: Hello,
) -> Result<(Connection, SendStream), AnyError> {
    let name = peer.vm.to_string();
    let connection = endpoint.connect(peer.address, &name)?.await?;
    let mut stream = connection.open_uni().await?;
    stream.write_all(&hello.to_bytes()).await?;
    Ok((connection, stream))
}

/// Sends messages until the connection breaks; returns the reason.
async fn send_messages(connection: &Connection, mut stream: SendStream, peer: &Peer) -> String {
    let mut traffic = Traffic::new(peer.vm);
    let mut interval = time::interval(TRAFFIC_INTERVAL);
    loop {
        let batch = lock(&peer.queue).take(Instant::now());
        if !batch.is_empty() {
            tokio::select! {
                written = stream.write_all(&batch) => match written {
                    Ok(()) => continue,
                    Err(error) => return error.to_string(),
                },
                () = peer.restarted.notified() => return "the peer has restarted".into(),
            }
        }
        tokio::select! {
            () = peer.queued.notified() => {}
            () = peer.restarted.notified() => return "the peer has restarted".into(),
            error = connection.closed() => return error.to_string(),
            _ = interval.tick() => traffic.add(connection),
        }
    }
}

/// Accepts the connections of the other daemons.
async fn accept_forever(
    endpoint: Endpoint,
    peers: SortedVec<VmId, Arc<Peer>>,
    events: mpsc::Sender<Input>,
) {
    let peers = Arc::new(peers);
    while let Some(incoming) = endpoint.accept().await {
        let (peers, events) = (Arc::clone(&peers), events.clone());
        tokio::spawn(async move {
            let from = incoming.remote_address();
            let Ok(connection) = incoming.await else {
                debug!(event = "peer_refused", address:% = from; "handshake failed");
                return;
            };
            let Some(peer) = peers.values().find(|p| tls::is_peer(&connection, p.vm)) else {
                warn!(event = "peer_refused", address:% = from; "certificate names no known VM");
                connection.close(VarInt::from_u32(1), b"unknown VM");
                return;
            };
            if let Err(reason) = receive_messages(&connection, peer, &events).await {
                debug!(event = "peer_stream_ended", peer:% = peer.vm, reason:% = reason; "");
            }
            connection.close(VarInt::from_u32(0), b"");
        });
    }
}

/// Receives the messages of one connection until it breaks.
async fn receive_messages(
    connection: &Connection,
    peer: &Peer,
    events: &mpsc::Sender<Input>,
) -> Result<(), AnyError> {
    let mut stream = connection.accept_uni().await?;
    let mut hello = [0; 16];
    stream.read_exact(&mut hello).await?;
    let hello = Hello::from_bytes(hello);
    peer.heard_hello(hello);
    let mut traffic = Traffic::new(peer.vm);
    let mut counted = Instant::now();
    loop {
        let bytes = read_message(&mut stream).await?;
        let message = PeerMessage::from_bytes(&bytes)?;
        let event = Event::Peer {
            from: peer.vm,
            incarnation: hello.incarnation,
            message,
        };
        events.send(Input::Event(event)).await?;
        if counted.elapsed() >= TRAFFIC_INTERVAL {
            counted = Instant::now();
            traffic.add(connection);
        }
    }
}

async fn read_message(stream: &mut RecvStream) -> Result<Vec<u8>, AnyError> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await?;
    let length = u32::from_le_bytes(length) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(format!("message of {length} bytes").into());
    }
    // The buffer grows with what arrives, so that a length alone allocates nothing.
    let mut bytes = Vec::new();
    while bytes.len() < length {
        let chunk = stream.read_chunk(length - bytes.len(), true).await?;
        bytes.extend_from_slice(&chunk.ok_or("stream ended within a message")?.bytes);
    }
    Ok(bytes)
}

/// IPv4 and UDP headers of each datagram.
const HEADER_BYTES: u64 = 28;

/// Bytes of one connection that are already in the metrics.
#[derive(Debug)]
struct Traffic {
    peer: String,
    sent_bytes: u64,
    received_bytes: u64,
}

impl Traffic {
    fn new(vm: VmId) -> Self {
        Self {
            peer: vm.to_string(),
            sent_bytes: 0,
            received_bytes: 0,
        }
    }

    fn add(&mut self, connection: &Connection) {
        let stats = connection.stats();
        let bytes = |udp: &UdpStats| udp.bytes + HEADER_BYTES * udp.datagrams;
        let (sent, received) = (bytes(&stats.udp_tx), bytes(&stats.udp_rx));
        counter!("acaciareel_peer_sent_bytes_total", "peer" => self.peer.clone())
            .increment(sent.saturating_sub(self.sent_bytes));
        counter!("acaciareel_peer_received_bytes_total", "peer" => self.peer.clone())
            .increment(received.saturating_sub(self.received_bytes));
        (self.sent_bytes, self.received_bytes) = (sent, received);
    }
}

#[cfg(test)]
mod tests;
