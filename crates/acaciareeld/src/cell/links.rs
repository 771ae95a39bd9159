//! TCP connections between the VMs of a cell.
//!
//! A VM opens connections to the control VMs that its reducer names; the other side replies on the
//! same connection. Each side sends a frame at least every [`KEEPALIVE_INTERVAL`], so a connection
//! that delivers nothing is detected even without a reset, closed and opened again. Messages for a
//! VM without a connection are dropped: their senders repeat every message that must arrive.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use acaciareel_cell::{Event, PeerMessage};
use acaciareel_types::{Incarnation, VmId};
use log::{debug, info, warn};
use metrics::counter;
use tokio::{
    io::{AsyncBufReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
    select,
    sync::{
        Semaphore,
        mpsc::{self, Receiver, Sender},
    },
    task::AbortHandle,
    time,
};

use super::{
    config::address_of,
    frames::{Frame, MAX_FRAME_BYTES, MAX_HELLO_BYTES},
    run::Input,
};
use crate::clients::{ClientLimits, Clients, Connection, ConnectionLimits, Slot};

/// Longest time between two frames in one direction.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(400);
/// Time without a received frame after which a connection is closed, and longest time of a write.
/// Two keepalives may be late, since machines can be slowed down to a sixth.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest wait for a connection; the longest round trip is about 30 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause before a connection is opened again, and after an error of the listening socket.
const RECONNECT_PAUSE: Duration = Duration::from_millis(150);
/// Most frames that wait for one connection; further ones are dropped.
const MAX_QUEUED_FRAMES: usize = 8_192;
/// Most memory of frames that wait for one connection; further frames are dropped, unless none waits.
const MAX_QUEUED_BYTES: usize = 8 << 20;
/// Bytes of frames that are written at once, unless the first one is larger.
const MAX_WRITE_BATCH_BYTES: usize = 64 << 10;
/// Largest buffer of written frames that a connection keeps.
const MAX_KEPT_BATCH_BYTES: usize = 256 << 10;
/// Memory of the frames that arrive on all connections that other VMs have opened. It must hold the
/// largest frame beside those of all other VMs.
const MAX_ARRIVING_BYTES: usize = MAX_FRAME_BYTES + (8 << 20);
/// Memory of received messages that wait for the reducer; further ones are not read meanwhile.
const MAX_RECEIVED_BYTES: usize = 16 << 20;
/// Size up to which messages wait for the reducer without being counted.
const SMALL_MESSAGE_BYTES: usize = 1 << 10;

/// Open connection: its id and the queue of frames to write.
#[derive(Clone, Debug)]
struct Link {
    id: u64,
    frames: Sender<Frame>,
    queued_bytes: Arc<AtomicUsize>,
}

impl Link {
    /// Queues a frame; returns whether there is room for it.
    fn push(&self, frame: Frame) -> bool {
        let bytes = frame.memory_bytes();
        let queued_bytes = self.queued_bytes.fetch_add(bytes, Ordering::Relaxed);
        let has_room = queued_bytes == 0 || queued_bytes + bytes <= MAX_QUEUED_BYTES;
        let is_queued = has_room && self.frames.try_send(frame).is_ok();
        if !is_queued {
            self.queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
        }
        is_queued
    }
}

/// Frames that wait to be written to a connection.
#[derive(Debug)]
struct QueuedFrames {
    frames: Receiver<Frame>,
    queued_bytes: Arc<AtomicUsize>,
}

impl QueuedFrames {
    /// Waits for a frame and encodes it into `batch`, with those behind it up to
    /// [`MAX_WRITE_BATCH_BYTES`]. Returns false if the connection has been replaced. The frames are
    /// encoded here and not when they are queued, because the leader paces its scheduling passes by the
    /// time that they take.
    async fn pop(&mut self, batch: &mut Vec<u8>) -> bool {
        let mut next = self.frames.recv().await;
        if next.is_none() {
            return false;
        }
        while let Some(frame) = next {
            let bytes = frame.memory_bytes();
            self.queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
            match frame.encode() {
                Ok(frame) => batch.extend(frame),
                Err(error) => warn!(event = "frame_not_encoded", reason:% = error; ""),
            }
            next = if batch.len() < MAX_WRITE_BATCH_BYTES {
                self.frames.try_recv().ok()
            } else {
                None
            };
        }
        true
    }
}

/// Connections of this VM to the other VMs of the cell.
#[derive(Debug)]
pub struct Links {
    /// First message on each outgoing connection.
    hello: PeerMessage,
    peers_port: u16,
    inputs: Sender<Input>,
    /// Connections that other VMs have opened, and the memory of what arrives on them.
    incoming_clients: Arc<Clients>,
    /// One permit for each byte of a received message that waits for the reducer.
    received_bytes: Arc<Semaphore>,
    next_id: AtomicU64,
    outgoing: Mutex<BTreeMap<VmId, Link>>,
    incoming: Mutex<BTreeMap<VmId, Link>>,
    connect_tasks: Mutex<BTreeMap<VmId, AbortHandle>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Links {
    /// Creates the set of connections, without any connection.
    pub fn new(hello: PeerMessage, peers_port: u16, inputs: Sender<Input>) -> Arc<Self> {
        Arc::new(Self {
            hello,
            peers_port,
            inputs,
            incoming_clients: Clients::new(ClientLimits {
                transfer_bytes: MAX_ARRIVING_BYTES,
                request_bytes: 0,
            }),
            received_bytes: Arc::new(Semaphore::new(MAX_RECEIVED_BYTES)),
            next_id: AtomicU64::new(1),
            outgoing: Mutex::default(),
            incoming: Mutex::default(),
            connect_tasks: Mutex::default(),
        })
    }

    /// Queues a frame for a VM; drops it if there is no connection or the queue is full. Consensus
    /// messages use outgoing connections only, since the receiver takes the sender's incarnation
    /// from the hello that starts such a connection, and from nothing else.
    pub fn send(&self, to: VmId, frame: Frame) {
        let outgoing = lock(&self.outgoing).get(&to).cloned();
        let incoming = || lock(&self.incoming).get(&to).cloned();
        let link = match frame {
            Frame::Consensus(_) => outgoing,
            Frame::Peer(_) | Frame::KeepAlive => outgoing.or_else(incoming),
        };
        let is_sent = link.is_some_and(|link| link.push(frame));
        if !is_sent {
            counter!("acaciareel_cell_frames_dropped_total").increment(1);
        }
    }

    /// Opens and maintains connections to exactly these VMs; closes all other outgoing ones.
    pub fn connect(self: &Arc<Self>, vms: &[VmId]) {
        let mut connect_tasks = lock(&self.connect_tasks);
        connect_tasks.retain(|vm, task| {
            let keep = vms.contains(vm);
            if !keep {
                task.abort();
                lock(&self.outgoing).remove(vm);
            }
            keep
        });
        for vm in vms {
            connect_tasks.entry(*vm).or_insert_with(|| {
                let links = Arc::clone(self);
                tokio::spawn(links.keep_connected(*vm)).abort_handle()
            });
        }
    }

    /// Closes all connections; those that this VM opened are opened again.
    pub fn close_all(&self) {
        lock(&self.outgoing).clear();
        lock(&self.incoming).clear();
    }

    /// Opens the connection to a VM, and again each time it ends; runs until aborted.
    async fn keep_connected(self: Arc<Self>, vm: VmId) {
        let address = SocketAddr::from((address_of(vm), self.peers_port));
        loop {
            match time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
                Ok(Ok(stream)) => {
                    let error = self.serve_outgoing(vm, stream).await;
                    info!(event = "link_lost", vm:% = address.ip(), reason:% = error; "");
                }
                Ok(Err(error)) => {
                    debug!(event = "link_refused", vm:% = address.ip(), reason:% = error; "");
                }
                Err(_) => debug!(event = "link_timeout", vm:% = address.ip(); ""),
            }
            time::sleep(RECONNECT_PAUSE).await;
        }
    }

    async fn serve_outgoing(&self, vm: VmId, stream: TcpStream) -> io::Error {
        let (id, frames) = self.register(&self.outgoing, vm);
        // The queue takes frames before the hello is sent; `write_frames` sends the hello before
        // them.
        let error = self.serve(vm, None, stream, frames).await;
        self.unregister(&self.outgoing, vm, id).await;
        error
    }

    /// Creates the queue of a new connection, which replaces an earlier connection of the same VM.
    fn register(&self, links: &Mutex<BTreeMap<VmId, Link>>, vm: VmId) -> (u64, QueuedFrames) {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (frames, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
        let queued_bytes = Arc::default();
        let queue = QueuedFrames {
            frames: receiver,
            queued_bytes: Arc::clone(&queued_bytes),
        };
        let link = Link {
            id,
            frames,
            queued_bytes,
        };
        lock(links).insert(vm, link);
        (id, queue)
    }

    /// Removes a connection and reports the VM as disconnected, unless the connection was removed
    /// before or another one has replaced it.
    async fn unregister(&self, links: &Mutex<BTreeMap<VmId, Link>>, vm: VmId, id: u64) {
        {
            let mut links = lock(links);
            if links.get(&vm).is_none_or(|link| link.id != id) {
                return;
            }
            links.remove(&vm);
        }
        self.emit(Event::Disconnected { vm }).await;
    }

    /// Accepts up to `max_connections` connections until the process ends. Beyond them, those that
    /// have sent no hello make room.
    pub async fn listen(self: Arc<Self>, socket: TcpListener, max_connections: usize) {
        let listener = self.incoming_clients.listener(ConnectionLimits {
            connections: max_connections,
            head_bytes: MAX_HELLO_BYTES,
            head_timeout: IDLE_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
        });
        loop {
            match socket.accept().await {
                Ok((stream, peer)) => {
                    let Some(slot) = listener.admit(peer).await else {
                        continue;
                    };
                    let links = Arc::clone(&self);
                    tokio::spawn(async move {
                        if let Err(error) = links.accept(stream, &slot).await {
                            debug!(event = "peer_gone", peer:% = peer, reason:% = error; "");
                        }
                    });
                }
                Err(error) => {
                    warn!(event = "accept_failed", reason:% = error; "");
                    time::sleep(RECONNECT_PAUSE).await;
                }
            }
        }
    }

    /// Reads the hello of an incoming connection and serves the connection until it ends.
    async fn accept(&self, stream: TcpStream, slot: &Slot) -> io::Result<()> {
        let mut stream = stream;
        let connection = slot.connection();
        let hello = Frame::read(&mut stream, None, MAX_HELLO_BYTES);
        let hello = connection.unless_refused(time::timeout(IDLE_TIMEOUT, hello));
        let (hello, _) = hello
            .await
            .map_err(|_| io::ErrorKind::ConnectionAborted)???;
        let Frame::Peer(
            message @ PeerMessage::Hello {
                vm, incarnation, ..
            },
        ) = hello
        else {
            return Err(io::Error::other("the first frame is not a hello message"));
        };
        let vm = VmId(vm);
        connection.protect();
        let (id, frames) = self.register(&self.incoming, vm);
        self.emit(Event::Peer { from: vm, message }).await;
        let sender = Some((Incarnation(incarnation), connection));
        let error = self.serve(vm, sender, stream, frames).await;
        self.unregister(&self.incoming, vm, id).await;
        Err(error)
    }

    /// Reads and writes until the connection ends; returns the reason. `sender` is the incarnation of
    /// the other side of an incoming connection, and that connection; `None` on an outgoing one.
    async fn serve(
        &self,
        vm: VmId,
        sender: Option<(Incarnation, &Connection)>,
        stream: TcpStream,
        frames: QueuedFrames,
    ) -> io::Error {
        if let Err(error) = stream.set_nodelay(true) {
            return error;
        }
        let (reader, writer) = stream.into_split();
        let first = sender.is_none().then(|| self.hello.clone());
        select! {
            error = write_frames(writer, first, frames) => error,
            error = self.read_frames(vm, sender, reader) => error,
        }
    }

    async fn read_frames(
        &self,
        vm: VmId,
        sender: Option<(Incarnation, &Connection)>,
        reader: OwnedReadHalf,
    ) -> io::Error {
        let (incarnation, connection) = sender.unzip();
        let mut reader = BufReader::new(reader);
        loop {
            let frame = self.read_frame(&mut reader, connection).await;
            let (frame, bytes) = match frame {
                Ok(read) => read,
                Err(error) => return error,
            };
            match (frame, incarnation) {
                (Frame::Consensus(message), Some(incarnation)) => {
                    let event = Event::Consensus {
                        from: vm,
                        incarnation,
                        message,
                    };
                    self.emit_received(event, bytes).await;
                }
                (Frame::Consensus(_), None) => {
                    return io::Error::other(
                        "consensus message received on an outgoing connection",
                    );
                }
                (Frame::Peer(message), _) => {
                    let event = Event::Peer { from: vm, message };
                    self.emit_received(event, bytes).await;
                }
                (Frame::KeepAlive, _) => {}
            }
        }
    }

    /// Reads a frame. While a frame arrives on an incoming connection, it may have to make room for
    /// the frames of others.
    async fn read_frame(
        &self,
        reader: &mut BufReader<OwnedReadHalf>,
        connection: Option<&Connection>,
    ) -> io::Result<(Frame, usize)> {
        // A connection without a frame keeps its place.
        let begun = time::timeout(IDLE_TIMEOUT, reader.fill_buf()).await;
        begun.map_err(|_| io::ErrorKind::TimedOut)??;
        if let Some(connection) = connection {
            connection.request_started(true);
        }
        let frame = Frame::read(reader, connection, MAX_FRAME_BYTES);
        let frame = time::timeout(IDLE_TIMEOUT, frame).await;
        if let Some(connection) = connection {
            connection.release_body();
            connection.protect();
        }
        frame.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }

    /// Sends an event that takes so many bytes to the loop of the reducer. Further messages of this
    /// connection are not read while too many wait.
    async fn emit_received(&self, event: Event, bytes: usize) {
        if bytes <= SMALL_MESSAGE_BYTES {
            return self.emit(event).await;
        }
        let permits = u32::try_from(bytes.min(MAX_RECEIVED_BYTES)).unwrap_or(u32::MAX);
        let memory = Arc::clone(&self.received_bytes)
            .acquire_many_owned(permits)
            .await;
        // The semaphore is never closed, and the receiver is dropped only while the process ends.
        if let Ok(memory) = memory {
            let _ = self.inputs.send(Input::Received { event, memory }).await;
        }
    }

    /// Sends an event to the loop of the reducer.
    async fn emit(&self, event: Event) {
        // The receiver is dropped only while the process ends.
        let _ = self.inputs.send(Input::Event(event)).await;
    }
}

/// Writes `first` and then the queued frames, or a keepalive when none is queued in time; returns
/// the reason for the end.
async fn write_frames(
    mut writer: OwnedWriteHalf,
    first: Option<PeerMessage>,
    mut frames: QueuedFrames,
) -> io::Error {
    let mut bytes = Vec::new();
    if let Some(hello) = first {
        match Frame::Peer(hello).encode() {
            Ok(hello) => bytes = hello,
            Err(error) => return error,
        }
    }
    loop {
        if !bytes.is_empty() {
            match time::timeout(IDLE_TIMEOUT, writer.write_all(&bytes)).await {
                Ok(Ok(())) if bytes.capacity() > MAX_KEPT_BATCH_BYTES => bytes = Vec::new(),
                Ok(Ok(())) => bytes.clear(),
                Ok(Err(error)) => return error,
                Err(_) => return io::Error::from(io::ErrorKind::TimedOut),
            }
        }
        match time::timeout(KEEPALIVE_INTERVAL, frames.pop(&mut bytes)).await {
            Ok(true) => {}
            Ok(false) => return io::Error::other("replaced by another connection"),
            Err(_) => match Frame::KeepAlive.encode() {
                Ok(frame) => bytes.extend(frame),
                Err(error) => return error,
            },
        }
    }
}
