//! Messages between daemons over QUIC with mutual TLS.
//!
//! Each daemon opens one connection to each other daemon and sends its messages on one stream of
//! that connection; it receives messages on the connections that the others open. A stream starts
//! with a hello: the sender's incarnation and the start time of its process, 8 bytes each, little
//! endian. Messages follow, each after its length (4 bytes, little endian). Messages may be lost,
//! but those that arrive on one connection arrive in order.

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
    sync::{Notify, Semaphore, mpsc},
    task::JoinSet,
    time,
};

use crate::{config::Config, error::DaemonError, node_task::Input};

mod queue;
mod tls;

use queue::Queue;
use tls::Identity;

/// Largest message. The largest one of the protocol is a batch of log entries with request bodies.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// First pause before a connection is opened again; it doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Longest pause, and so the longest time after which a returning VM is connected again.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Time after which a connection attempt is abandoned.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Most handshakes of other daemons that are under way.
const MAX_HANDSHAKES: usize = 256;
/// Number of handshakes from which further senders must show that they receive at their address, so
/// that datagrams with invented addresses do not keep the other daemons out.
const MAX_UNVALIDATED_HANDSHAKES: usize = 32;
/// Interval at which the traffic of a connection is added to the metrics.
const TRAFFIC_INTERVAL: Duration = Duration::from_secs(5);

/// Connections to the other daemons. They are closed when this value is dropped.
#[derive(Debug)]
pub struct Transport {
    endpoint: Endpoint,
    peers: SortedVec<VmId, Arc<Peer>>,
    /// Tasks of the connections; aborted on drop.
    _tasks: JoinSet<()>,
}

/// Queue of messages to one peer, and what is known about its process.
#[derive(Debug)]
struct Peer {
    vm: VmId,
    address: SocketAddr,
    queue: Mutex<Queue>,
    /// Wakes the sender when a message is queued.
    message_queued: Notify,
    /// Wakes the sender when the peer has restarted, since the connection to the old process is
    /// useless.
    restarted: Notify,
    /// Start time of the peer's process from its last hello, in microseconds; 0 before the first
    /// one.
    process_started_us: Mutex<u64>,
}

/// First bytes of a stream; identifies the sender's process.
#[derive(Clone, Copy, Debug)]
struct Hello {
    incarnation: Incarnation,
    process_started_us: u64,
}

impl Hello {
    fn to_bytes(self) -> [u8; 16] {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&self.incarnation.0.to_le_bytes());
        bytes[8..].copy_from_slice(&self.process_started_us.to_le_bytes());
        bytes
    }

    fn from_bytes(bytes: [u8; 16]) -> Self {
        let (incarnation, process_started_us) = bytes.split_at(8);
        let number = |bytes: &[u8]| bytes.iter().rev().fold(0, |n, b| n << 8 | u64::from(*b));
        Self {
            incarnation: Incarnation(number(incarnation)),
            process_started_us: number(process_started_us),
        }
    }
}

impl Transport {
    /// Opens the endpoint and starts to connect to all peers. Received messages are sent to
    /// `inputs`. `process_started_us` must differ from that of earlier processes of this VM.
    ///
    /// # Errors
    ///
    /// Fails if a key file or the address cannot be used.
    pub fn start(
        config: &Config,
        incarnation: Incarnation,
        process_started_us: u64,
        inputs: mpsc::Sender<Input>,
    ) -> Result<Self, Report<DaemonError>> {
        let identity = Identity::load(&config.keys)?;
        let mut endpoint = Endpoint::server(identity.server()?, config.peers_listen)
            .change_context(DaemonError::Start)
            .attach_with(|| format!("peer address {}", config.peers_listen))?;
        endpoint.set_default_client_config(identity.client()?);
        let hello = Hello {
            incarnation,
            process_started_us,
        };
        let peers: SortedVec<_, _> = config
            .vms
            .iter()
            .filter(|(vm, _)| **vm != config.vm)
            .map(|(vm, peer)| (*vm, Arc::new(Peer::new(*vm, peer.address))))
            .collect();
        let mut tasks = JoinSet::new();
        for peer in peers.values() {
            tasks.spawn(maintain_connection(
                endpoint.clone(),
                Arc::clone(peer),
                hello,
            ));
        }
        tasks.spawn(accept_connections(endpoint.clone(), peers.clone(), inputs));
        Ok(Self {
            endpoint,
            peers,
            _tasks: tasks,
        })
    }

    /// Queues a message. It is dropped without an error if the peer is unknown, or if it is too
    /// large or waits too long.
    pub fn send(&self, to: VmId, message: &PeerMessage) {
        let Some(peer) = self.peers.get(&to) else {
            return;
        };
        let is_heartbeat = matches!(message, PeerMessage::Heartbeat { .. });
        let bytes = message.to_bytes();
        if bytes.len() > MAX_MESSAGE_BYTES {
            warn!(event = "peer_message_too_large", to:% = to, bytes = bytes.len(); "dropped");
            return;
        }
        let dropped = lock(&peer.queue).push(bytes, is_heartbeat, Instant::now());
        if dropped > 0 {
            counter!("acaciareel_peer_dropped_total", "peer" => to.to_string()).increment(dropped);
        }
        peer.message_queued.notify_one();
    }

    /// Waits at most `timeout` until the queues are empty, then closes all connections and waits at
    /// most `timeout` again until the peers have confirmed it.
    pub async fn close(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        while self
            .peers
            .values()
            .any(|peer| !lock(&peer.queue).is_empty())
            && Instant::now() < deadline
        {
            time::sleep(Duration::from_millis(10)).await;
        }
        self.endpoint.close(VarInt::from_u32(0), b"stopping");
        let _ = time::timeout(timeout, self.endpoint.wait_idle()).await;
    }
}

impl Peer {
    fn new(vm: VmId, address: SocketAddr) -> Self {
        Self {
            vm,
            address,
            queue: Mutex::new(Queue::default()),
            message_queued: Notify::new(),
            restarted: Notify::new(),
            process_started_us: Mutex::new(0),
        }
    }

    /// Records the start time in a hello and wakes the sender if the peer has restarted.
    fn record_hello(&self, hello: Hello) {
        let mut known_us = lock(&self.process_started_us);
        if *known_us != hello.process_started_us {
            if *known_us != 0 {
                self.restarted.notify_one();
            }
            *known_us = hello.process_started_us;
        }
    }
}

/// Locks a mutex, also a poisoned one: a panic of a holder cannot leave these values half changed.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Maintains the connection to one peer and sends the queued messages on it.
async fn maintain_connection(endpoint: Endpoint, peer: Arc<Peer>, hello: Hello) {
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

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Opens a connection and a stream, and sends the hello.
async fn connect(
    endpoint: &Endpoint,
    peer: &Peer,
    hello: Hello,
) -> Result<(Connection, SendStream), BoxError> {
    let name = peer.vm.to_string();
    let connection = endpoint.connect(peer.address, &name)?.await?;
    let mut stream = connection.open_uni().await?;
    stream.write_all(&hello.to_bytes()).await?;
    Ok((connection, stream))
}

/// Sends the queued messages until the connection fails or the peer has restarted; returns the
/// reason.
async fn send_messages(connection: &Connection, mut stream: SendStream, peer: &Peer) -> String {
    let mut traffic = TrafficCounter::new(peer.vm);
    let mut interval = time::interval(TRAFFIC_INTERVAL);
    loop {
        let batch = lock(&peer.queue).take_batch(Instant::now());
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
            () = peer.message_queued.notified() => {}
            () = peer.restarted.notified() => return "the peer has restarted".into(),
            error = connection.closed() => return error.to_string(),
            _ = interval.tick() => traffic.add_new_traffic(connection),
        }
    }
}

/// Accepts the connections of the other daemons; closes those whose certificate names no known VM.
async fn accept_connections(
    endpoint: Endpoint,
    peers: SortedVec<VmId, Arc<Peer>>,
    inputs: mpsc::Sender<Input>,
) {
    let peers = Arc::new(peers);
    let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    while let Some(incoming) = endpoint.accept().await {
        if handshakes.available_permits() <= MAX_HANDSHAKES - MAX_UNVALIDATED_HANDSHAKES
            && incoming.may_retry()
        {
            // It was checked that a retry is possible.
            let _ = incoming.retry();
            continue;
        }
        let Ok(permit) = Arc::clone(&handshakes).try_acquire_owned() else {
            incoming.refuse();
            continue;
        };
        let (peers, inputs) = (Arc::clone(&peers), inputs.clone());
        tokio::spawn(async move {
            let from = incoming.remote_address();
            let handshake = incoming.await;
            drop(permit);
            let Ok(connection) = handshake else {
                debug!(event = "peer_refused", address:% = from; "handshake failed");
                return;
            };
            let Some(peer) = peers.values().find(|p| tls::is_peer(&connection, p.vm)) else {
                warn!(event = "peer_refused", address:% = from; "certificate names no known VM");
                connection.close(VarInt::from_u32(1), b"unknown VM");
                return;
            };
            if let Err(reason) = receive_messages(&connection, peer, &inputs).await {
                debug!(event = "peer_stream_ended", peer:% = peer.vm, reason:% = reason; "");
            }
            connection.close(VarInt::from_u32(0), b"");
        });
    }
}

/// Receives the messages of one connection until it fails or a message is malformed.
async fn receive_messages(
    connection: &Connection,
    peer: &Peer,
    inputs: &mpsc::Sender<Input>,
) -> Result<(), BoxError> {
    let mut stream = connection.accept_uni().await?;
    let mut hello = [0; 16];
    stream.read_exact(&mut hello).await?;
    let hello = Hello::from_bytes(hello);
    peer.record_hello(hello);
    let mut traffic = TrafficCounter::new(peer.vm);
    let mut last_counted = Instant::now();
    loop {
        let bytes = read_message(&mut stream).await?;
        let message = PeerMessage::from_bytes(&bytes)?;
        let event = Event::Peer {
            from: peer.vm,
            incarnation: hello.incarnation,
            message,
        };
        inputs.send(Input::Event(event)).await?;
        if last_counted.elapsed() >= TRAFFIC_INTERVAL {
            last_counted = Instant::now();
            traffic.add_new_traffic(connection);
        }
    }
}

/// Reads one message after its length.
async fn read_message(stream: &mut RecvStream) -> Result<Vec<u8>, BoxError> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await?;
    let length = u32::from_le_bytes(length) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(format!("message of {length} bytes").into());
    }
    // The buffer grows with the received bytes, so a wrong length alone allocates nothing.
    let mut bytes = Vec::new();
    while bytes.len() < length {
        let chunk = stream.read_chunk(length - bytes.len(), true).await?;
        bytes.extend_from_slice(&chunk.ok_or("stream ended within a message")?.bytes);
    }
    Ok(bytes)
}

/// Size of the IPv4 and UDP headers of a datagram.
const IP_UDP_HEADER_BYTES: u64 = 28;

/// Adds the traffic of one connection to the metrics; holds the totals that were already added.
#[derive(Debug)]
struct TrafficCounter {
    peer: String,
    sent_bytes: u64,
    received_bytes: u64,
}

impl TrafficCounter {
    fn new(vm: VmId) -> Self {
        Self {
            peer: vm.to_string(),
            sent_bytes: 0,
            received_bytes: 0,
        }
    }

    /// Adds the traffic since the last call.
    fn add_new_traffic(&mut self, connection: &Connection) {
        let stats = connection.stats();
        let bytes = |udp: &UdpStats| udp.bytes + IP_UDP_HEADER_BYTES * udp.datagrams;
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
