//! A proxy that passes each direction of a connection on with a delay, which can change.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

/// Delay of one direction in milliseconds, shared by the connections of a link.
pub type Delay = Arc<AtomicU64>;

/// Passes connections to `from` on to `to`.
pub fn start(from: SocketAddr, to: SocketAddr, delay: &Delay) -> std::io::Result<()> {
    let listener = TcpListener::bind(from)?;
    let delay = Arc::clone(delay);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let delay = Arc::clone(&delay);
            thread::spawn(move || {
                let Ok(target) = TcpStream::connect(to) else {
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                };
                let _ = (stream.set_nodelay(true), target.set_nodelay(true));
                if let (Ok(stream_copy), Ok(target_copy)) = (stream.try_clone(), target.try_clone())
                {
                    pass(stream, target_copy, Arc::clone(&delay));
                    pass(target, stream_copy, delay);
                }
            });
        }
    });
    Ok(())
}

/// Passes one direction on, in order, its end included.
fn pass(mut from: TcpStream, mut to: TcpStream, delay: Delay) {
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut bytes = vec![0; 64 << 10];
        loop {
            let count = from.read(&mut bytes).unwrap_or(0);
            let wait = Duration::from_millis(delay.load(Ordering::SeqCst));
            let due = Instant::now() + wait;
            if sender.send((due, bytes[..count].to_vec())).is_err() || count == 0 {
                return;
            }
        }
    });
    thread::spawn(move || {
        while let Ok((due, bytes)) = receiver.recv() {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
    });
}

/// Passes connections on until it refuses them, as behind a cut that refuses.
pub struct Gate {
    refuses: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl Gate {
    /// Passes connections to `from` on to `to`.
    pub fn start(from: SocketAddr, to: SocketAddr) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(from)?;
        listener.set_nonblocking(true)?;
        let gate = Arc::new(Self {
            refuses: AtomicBool::new(false),
            open: Mutex::default(),
        });
        let serving = Arc::clone(&gate);
        thread::spawn(move || serving.serve(&listener, to));
        Ok(gate)
    }

    /// Refuses new connections from now on, and ends the open ones.
    pub fn refuse(&self) {
        self.refuses.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, listener: &TcpListener, to: SocketAddr) {
        let usual: Delay = Arc::default();
        while !self.refuses.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
            let Ok(target) = TcpStream::connect(to) else {
                continue;
            };
            let _ = target.set_nodelay(true);
            let copies = [&stream, &target].map(TcpStream::try_clone);
            let ends = [&stream, &target].map(TcpStream::try_clone);
            if let ([Ok(stream_copy), Ok(target_copy)], [Ok(stream_end), Ok(target_end)]) =
                (copies, ends)
            {
                self.open.lock().unwrap().extend([stream_end, target_end]);
                pass(stream, target_copy, Arc::clone(&usual));
                pass(target, stream_copy, Arc::clone(&usual));
            }
        }
        // The listener is closed here.
    }
}
