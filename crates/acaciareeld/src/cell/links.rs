//! TCP connections between the VMs of a cell.
//!
//! A VM dials the control VMs it is told to; the other side answers on the same connection. Each
//! side sends a frame at least every [`KEEPALIVE`], so a connection that has gone silent without a
//! reset is noticed and dialled again. Messages for a VM without a connection are dropped: their
//! senders repeat what matters.

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

/// Longest pause between two frames in one direction.
const KEEPALIVE: Duration = Duration::from_millis(400);
/// Silence after which a connection is given up: two keepalives may be late, since machines can be
/// slowed down to a sixth.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);
/// Longest wait for a connection; the longest round trip is some 30 ms.
const CONNECT_LIMIT: Duration = Duration::from_millis(700);
/// Pause before a VM is dialled again.
const REDIAL_PAUSE: Duration = Duration::from_millis(150);
/// Messages that may wait for one connection.
const QUEUE: usize = 8_192;
/// Frames that are written at once.
const WRITE_BATCH: usize = 64;

/// A connection in use.
#[derive(Debug)]
struct Link {
    id: u64,
    frames: Sender<Frame>,
}

/// Connections of this VM.
#[derive(Debug)]
pub struct Links {
    hello: PeerMessage,
    peers_port: u16,
    inputs: Sender<Input>,
    next_id: AtomicU64,
    dialled: Mutex<BTreeMap<VmId, Link>>,
    accepted: Mutex<BTreeMap<VmId, Link>>,
    dialers: Mutex<BTreeMap<VmId, AbortHandle>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Links {
    /// Creates the connections of a VM; none is open yet.
    pub fn new(hello: PeerMessage, peers_port: u16, inputs: Sender<Input>) -> Arc<Self> {
        Arc::new(Self {
            hello,
            peers_port,
            inputs,
            next_id: AtomicU64::new(1),
            dialled: Mutex::default(),
            accepted: Mutex::default(),
            dialers: Mutex::default(),
        })
    }

    /// Sends a frame to a VM, if there is a connection. Messages of consensus go over connections
    /// that this VM dialled only, since the other side knows its incarnation on these alone.
    pub fn send(&self, to: VmId, frame: Frame) {
        let dialled = lock(&self.dialled).get(&to).map(|link| link.frames.clone());
        let accepted = || {
            lock(&self.accepted)
                .get(&to)
                .map(|link| link.frames.clone())
        };
        let sender = match frame {
            Frame::Consensus(_) => dialled,
            Frame::Peer(_) | Frame::KeepAlive => dialled.or_else(accepted),
        };
        let sent = sender.is_some_and(|sender| sender.try_send(frame).is_ok());
        if !sent {
            counter!("acaciareel_cell_frames_dropped_total").increment(1);
        }
    }

    /// Keeps connections to exactly these VMs.
    pub fn connect(self: &Arc<Self>, vms: &[VmId]) {
        let mut dialers = lock(&self.dialers);
        dialers.retain(|vm, dialer| {
            let keep = vms.contains(vm);
            if !keep {
                dialer.abort();
                lock(&self.dialled).remove(vm);
            }
            keep
        });
        for vm in vms {
            dialers.entry(*vm).or_insert_with(|| {
                let links = Arc::clone(self);
                tokio::spawn(links.dial(*vm)).abort_handle()
            });
        }
    }

    async fn dial(self: Arc<Self>, vm: VmId) {
        let address = SocketAddr::from((address_of(vm), self.peers_port));
        loop {
            match time::timeout(CONNECT_LIMIT, TcpStream::connect(address)).await {
                Ok(Ok(stream)) => {
                    let error = self.serve_dialled(vm, stream).await;
                    info!(event = "link_lost", vm:% = address.ip(), reason:% = error; "");
                }
                Ok(Err(error)) => {
                    debug!(event = "link_refused", vm:% = address.ip(), reason:% = error; "");
                }
                Err(_) => debug!(event = "link_timeout", vm:% = address.ip(); ""),
            }
            time::sleep(REDIAL_PAUSE).await;
        }
    }

    async fn serve_dialled(&self, vm: VmId, stream: TcpStream) -> io::Error {
        let (id, frames) = self.register(&self.dialled, vm);
        // An open connection is queued first, so that the hello comes before any other frame.
        let error = self.serve(vm, None, stream, frames).await;
        self.unregister(&self.dialled, vm, id).await;
        error
    }

    fn register(&self, links: &Mutex<BTreeMap<VmId, Link>>, vm: VmId) -> (u64, Receiver<Frame>) {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (frames, receiver) = mpsc::channel(QUEUE);
        lock(links).insert(vm, Link { id, frames });
        (id, receiver)
    }

    async fn unregister(&self, links: &Mutex<BTreeMap<VmId, Link>>, vm: VmId, id: u64) {
        {
            let mut links = lock(links);
            if links.get(&vm).is_none_or(|link| link.id != id) {
                return;
            }
            links.remove(&vm);
        }
        self.input(Event::Disconnected { vm }).await;
    }

    /// Accepts connections for as long as the process runs.
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
                    time::sleep(REDIAL_PAUSE).await;
                }
            }
        }
    }

    async fn accept(&self, stream: TcpStream) -> io::Result<()> {
        let mut stream = stream;
        let hello = time::timeout(SILENCE_LIMIT, Frame::read(&mut stream)).await??;
        let Frame::Peer(
            message @ PeerMessage::Hello {
                vm, incarnation, ..
            },
        ) = hello
        else {
            return Err(io::Error::other("the first frame is not a hello"));
        };
        let vm = VmId(vm);
        let (id, frames) = self.register(&self.accepted, vm);
        self.input(Event::Peer { from: vm, message }).await;
        let incarnation = Some(Incarnation(incarnation));
        let error = self.serve(vm, incarnation, stream, frames).await;
        self.unregister(&self.accepted, vm, id).await;
        Err(error)
    }

    /// Reads and writes until the connection ends.
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
            let frame = match time::timeout(SILENCE_LIMIT, Frame::read(&mut reader)).await {
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
                    self.input(event).await;
                }
                (Frame::Consensus(_), None) => {
                    return io::Error::other("consensus message on a dialled connection");
                }
                (Frame::Peer(message), _) => self.input(Event::Peer { from: vm, message }).await,
                (Frame::KeepAlive, _) => {}
            }
        }
    }

    async fn input(&self, event: Event) {
        // The receiver is gone only while the process ends.
        let _ = self.inputs.send(Input::Event(event)).await;
    }
}

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
    let mut batch = Vec::with_capacity(WRITE_BATCH);
    loop {
        if !bytes.is_empty() {
            match time::timeout(SILENCE_LIMIT, writer.write_all(&bytes)).await {
                Ok(Ok(())) => bytes.clear(),
                Ok(Err(error)) => return error,
                Err(_) => return io::Error::from(io::ErrorKind::TimedOut),
            }
        }
        match time::timeout(KEEPALIVE, frames.recv_many(&mut batch, WRITE_BATCH)).await {
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
