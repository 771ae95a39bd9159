//! Proxies of TCP connections. What goes into a place can be held up or, when it opens a connection,
//! refused; the other direction is not touched.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

const POLL: Duration = Duration::from_millis(2);

/// What happens to what goes into one place.
#[derive(Default)]
pub struct Inbound {
    /// It is held up, and arrives once it is held up no more. A connection cannot be opened meanwhile.
    pub held: AtomicBool,
    /// New connections into the place are refused.
    pub refused: AtomicBool,
}

/// The two directions of the connections through a proxy.
#[derive(Clone)]
pub struct Way {
    /// What the side sends that opens a connection.
    pub requests: Arc<Inbound>,
    /// What the other side sends.
    pub replies: Arc<Inbound>,
}

impl Way {
    fn is_held(&self) -> bool {
        is_set(&self.requests.held) || is_set(&self.replies.held)
    }
}

fn is_set(flag: &AtomicBool) -> bool {
    flag.load(Ordering::Relaxed)
}

/// Forwards connections from one address to another until the process ends.
pub fn start(listen: SocketAddr, to: SocketAddr, way: Way) -> std::io::Result<()> {
    let mut listener = Some(bind(listen)?);
    thread::spawn(move || {
        loop {
            if is_set(&way.requests.refused) {
                listener = None;
            } else if listener.is_none() {
                listener = bind(listen).ok();
            }
            match listener.as_ref().map(TcpListener::accept) {
                Some(Ok((stream, _))) => {
                    let way = way.clone();
                    thread::spawn(move || forward(stream, to, &way));
                }
                _ => thread::sleep(POLL),
            }
        }
    });
    Ok(())
}

fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

fn forward(client: TcpStream, to: SocketAddr, way: &Way) {
    while way.is_held() {
        thread::sleep(POLL);
    }
    let Ok(server) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
        return;
    };
    let _ = client.set_nonblocking(false);
    let (Ok(from_client), Ok(from_server)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    let replies = Arc::clone(&way.replies);
    thread::spawn(move || copy(from_server, client, &replies));
    copy(from_client, server, &way.requests);
}

fn copy(mut from: TcpStream, mut to: TcpStream, into: &Inbound) {
    let _ = to.set_nodelay(true);
    let mut bytes = vec![0; 64 << 10];
    loop {
        let read = match from.read(&mut bytes) {
            Ok(read) => read,
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            Err(_) => 0,
        };
        while is_set(&into.held) {
            thread::sleep(POLL);
        }
        if read == 0 || to.write_all(&bytes[..read]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}
