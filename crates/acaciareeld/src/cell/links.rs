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
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use acaciareel_cell::{Event, PeerMessage};
use acaciareel_types::{Incarnation, VmId};
use log::{debug, info, warn};
use metrics::counter;
use tokio::{
    io::{AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
    select,
    sync::mpsc::{self, Receiver, Sender},
    task::AbortHandle,
    time,
};

use super::{config::address_of, frames::Frame, run::Input};

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
/// Most frames that are written at once.
const MAX_WRITE_BATCH_FRAMES: usize = 64;

/// Open connection: its id and the queue of frames to write.
#[derive(Debug)]
struct Link {
    id: u64,
    frames: Sender<Frame>,
}

/// Connections of this VM to the other VMs of the cell.
#[derive(Debug)]
pub struct Links {
    /// First message on each outgoing connection.
    hello: PeerMessage,
    peers_port: u16,
    inputs: Sender<Input>,
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
        let outgoing = lock(&self.outgoing)
            .get(&to)
            .map(|link| link.frames.clone());
        let incoming = || {
            lock(&self.incoming)
                .get(&to)
                .map(|link| link.frames.clone())
        };
        let sender = match frame {
            Frame::Consensus(_) => outgoing,
            Frame::Peer(_) | Frame::KeepAlive => outgoing.or_else(incoming),
        };
        let sent = sender.is_some_and(|sender| sender.try_send(frame).is_ok());
        if !sent {
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
    fn register(&self, links: &Mutex<BTreeMap<VmId, Link>>, vm: VmId) -> (u64, Receiver<Frame>) {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (frames, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
        lock(links).insert(vm, Link { id, frames });
        (id, receiver)
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

    /// Accepts connections until the process ends.
    pub async fn listen(self: Arc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => {
                    let links = Arc::clone(&self);
                    tokio::spawn(async move {
                        if let Err(error) = links.accept(stream).await {
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
    async fn accept(&self, stream: TcpStream) -> io::Result<()> {
        let mut stream = stream;
        let hello = time::timeout(IDLE_TIMEOUT, Frame::read(&mut stream)).await??;
        let Frame::Peer(
            message @ PeerMessage::Hello {
                vm, incarnation, ..
            },
        ) = hello
        else {
            return Err(io::Error::other("the first frame is not a hello message"));
        };
        let vm = VmId(vm);
        let (id, frames) = self.register(&self.incoming, vm);
        self.emit(Event::Peer { from: vm, message }).await;
        let incarnation = Some(Incarnation(incarnation));
        let error = self.serve(vm, incarnation, stream, frames).await;
        self.unregister(&self.incoming, vm, id).await;
        Err(error)
    }

    /// Reads and writes until the connection ends; returns the reason. `incarnation` is that of the
    /// other side of an incoming connection, and `None` on an outgoing one.
    async fn serve(
        &self,
        vm: VmId,
        incarnation: Option<Incarnation>,
        stream: TcpStream,
        frames: Receiver<Frame>,
    ) -> io::Error {
        if let Err(error) = stream.set_nodelay(true) {
            return error;
        }
        let (reader, writer) = stream.into_split();
        let first = incarnation.is_none().then(|| self.hello.clone());
        select! {
            error = write_frames(writer, first, frames) => error,
            error = self.read_frames(vm, incarnation, reader) => error,
        }
    }

    async fn read_frames(
        &self,
        vm: VmId,
        incarnation: Option<Incarnation>,
        reader: OwnedReadHalf,
    ) -> io::Error {
        let mut reader = BufReader::new(reader);
        loop {
            let frame = match time::timeout(IDLE_TIMEOUT, Frame::read(&mut reader)).await {
                Ok(Ok(frame)) => frame,
                Ok(Err(error)) => return error,
                Err(_) => return io::Error::from(io::ErrorKind::TimedOut),
            };
            match (frame, incarnation) {
                (Frame::Consensus(message), Some(incarnation)) => {
                    let event = Event::Consensus {
                        from: vm,
                        incarnation,
                        message,
                    };
                    self.emit(event).await;
                }
                (Frame::Consensus(_), None) => {
                    return io::Error::other(
                        "consensus message received on an outgoing connection",
                    );
                }
                (Frame::Peer(message), _) => self.emit(Event::Peer { from: vm, message }).await,
                (Frame::KeepAlive, _) => {}
            }
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
    mut frames: Receiver<Frame>,
) -> io::Error {
    let mut bytes = Vec::new();
    if let Some(hello) = first {
        match Frame::Peer(hello).encode() {
            Ok(hello) => bytes = hello,
            Err(error) => return error,
        }
    }
    let mut batch = Vec::with_capacity(MAX_WRITE_BATCH_FRAMES);
    loop {
        if !bytes.is_empty() {
            match time::timeout(IDLE_TIMEOUT, writer.write_all(&bytes)).await {
                Ok(Ok(())) => bytes.clear(),
                Ok(Err(error)) => return error,
                Err(_) => return io::Error::from(io::ErrorKind::TimedOut),
            }
        }
        match time::timeout(
            KEEPALIVE_INTERVAL,
            frames.recv_many(&mut batch, MAX_WRITE_BATCH_FRAMES),
        )
        .await
        {
            Ok(0) => return io::Error::other("replaced by another connection"),
            Ok(_) => {}
            Err(_) => batch.push(Frame::KeepAlive),
        }
        for frame in batch.drain(..) {
            match frame.encode() {
                Ok(frame) => bytes.extend(frame),
                Err(error) => warn!(event = "frame_not_encoded", reason:% = error; ""),
            }
        }
    }
}
