//! A proxy that delays what it passes on, holds it up while its link is cut, and can let open
//! connections go silent.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

/// Shortest retransmission timeout of TCP; it doubles with each further attempt.
const RETRANSMISSION: Duration = Duration::from_millis(200);
const POLL: Duration = Duration::from_millis(2);

/// State of a link, shared by its connections.
#[derive(Default)]
pub struct Link {
    /// While set, nothing passes. What connections hold is passed on later, as TCP sends it again.
    cut: AtomicBool,
    /// While set, what passes back to the caller is lost, and is sent again once it is unset.
    losing_responses: AtomicBool,
    /// Connections opened before this number are silent for good; later ones work.
    silent_before: AtomicU64,
    /// Connections opened so far.
    opened: AtomicU64,
}

impl Link {
    pub fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
    }

    pub fn heal(&self) {
        self.cut.store(false, Ordering::SeqCst);
    }

    /// Loses responses until they are sent again, which the caller of this function times.
    pub fn lose_responses(&self, lose: bool) {
        self.losing_responses.store(lose, Ordering::SeqCst);
    }

    /// Lets all open connections go silent, without a reset.
    pub fn silence_open_connections(&self) {
        let opened = self.opened.load(Ordering::SeqCst);
        self.silent_before.store(opened + 1, Ordering::SeqCst);
    }

    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }

    fn is_silent(&self, number: u64) -> bool {
        number < self.silent_before.load(Ordering::SeqCst)
    }
}

/// Passes connections to `from` on to `to`, each direction `delay` late.
pub fn start(from: SocketAddr, to: SocketAddr, delay: Duration, link: Arc<Link>) {
    let listener = TcpListener::bind(from).expect("address of a proxy");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let link = link.clone();
            thread::spawn(move || pass_connection(stream, to, delay, &link));
        }
    });
}

fn pass_connection(stream: TcpStream, to: SocketAddr, delay: Duration, link: &Arc<Link>) {
    // A connection that is opened in a cut gets no further, unless its client still waits later.
    let _ = stream.set_nonblocking(true);
    while link.is_cut() {
        if matches!(stream.peek(&mut [0]), Ok(0)) {
            return;
        }
        thread::sleep(POLL);
    }
    if matches!(stream.peek(&mut [0]), Ok(0)) {
        return;
    }
    let _ = stream.set_nonblocking(false);
    let number = link.opened.fetch_add(1, Ordering::SeqCst) + 1;
    let Ok(target) = TcpStream::connect(to) else {
        let _ = stream.shutdown(Shutdown::Both);
        return;
    };
    let _ = (stream.set_nodelay(true), target.set_nodelay(true));
    let copies = (stream.try_clone(), target.try_clone());
    let (Ok(stream_copy), Ok(target_copy)) = copies else {
        return;
    };
    let back = link.clone();
    thread::spawn(move || pass((target_copy, stream_copy), true, delay, number, &back));
    pass((stream, target), false, delay, number, link);
}

/// Passes one direction of a connection on, its end included; `back` is that of the responses.
fn pass(
    (from, mut to): (TcpStream, TcpStream),
    back: bool,
    delay: Duration,
    number: u64,
    link: &Arc<Link>,
) {
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut from = from;
        let mut bytes = vec![0; 64 << 10];
        loop {
            let count = from.read(&mut bytes).unwrap_or(0);
            if sender
                .send((Instant::now(), bytes[..count].to_vec()))
                .is_err()
                || count == 0
            {
                return;
            }
        }
    });
    let mut held = false;
    while let Ok((sent, bytes)) = receiver.recv() {
        thread::sleep(delay.saturating_sub(sent.elapsed()));
        while back && link.losing_responses.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_micros(200));
        }
        if link.is_cut() {
            // Lost on its way; sent again after a time that doubles.
            let (mut timeout, mut next) = (RETRANSMISSION, sent + RETRANSMISSION);
            while link.is_cut() || Instant::now() < next {
                if Instant::now() >= next {
                    timeout *= 2;
                    next += timeout;
                }
                thread::sleep(POLL);
            }
            held = true;
        } else if held {
            // TCP sends the next segment once the one that was sent again is acknowledged.
            thread::sleep(delay * 2);
            held = false;
        }
        if link.is_silent(number) {
            // Neither data nor the end of the connection arrives any more.
            while receiver.recv().is_ok() {}
            loop {
                thread::sleep(Duration::from_secs(60));
            }
        }
        if bytes.is_empty() || to.write_all(&bytes).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
    }
}
