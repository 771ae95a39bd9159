//! HTTP/1.1 over TCP, as far as the stand-ins need it: one request after the other on a connection,
//! bodies with a length.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// A response, and the `Location` header if there is one.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub body: String,
    pub location: Option<String>,
}

/// A request that a stand-in received.
#[derive(Clone, Debug)]
pub struct Request {
    pub path: String,
    pub body: String,
    /// Value of `Expected-Instance`.
    pub instance: Option<String>,
}

struct Head {
    first_line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

fn read_message(reader: &mut impl BufRead) -> Option<(Head, String)> {
    let mut first_line = String::new();
    if reader.read_line(&mut first_line).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (key, value) = line.split_once(':')?;
        headers.push((key.to_owned(), value.trim().to_owned()));
    }
    let head = Head {
        first_line: first_line.trim_end().to_owned(),
        headers,
    };
    let length = head
        .header("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((head, String::from_utf8_lossy(&body).into_owned()))
}

/// Sends a request on a connection of its own. Returns `None` without a complete response in time.
pub fn call(
    method: &str,
    to: SocketAddr,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> Option<Reply> {
    let stream = TcpStream::connect_timeout(&to, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let timeout_ms = timeout.as_millis();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nDeadline-Ms: {timeout_ms}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    (&stream).write_all(text.as_bytes()).ok()?;
    let (head, body) = read_message(&mut BufReader::new(&stream))?;
    let status = head.first_line.split(' ').nth(1)?.parse().ok()?;
    let location = head.header("location").map(str::to_owned);
    Some(Reply {
        status,
        body,
        location,
    })
}

/// A server that can be closed as the end of its process would: it stops to listen, and its
/// connections break.
pub struct Server {
    closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    accepting: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Serves an address with a handler, which may wait; `None` breaks the connection.
    pub fn start(
        address: SocketAddr,
        handler: impl Fn(Request) -> Option<(u16, String)> + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let closed = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let handler = Arc::new(handler);
        let (is_closed, open) = (Arc::clone(&closed), Arc::clone(&streams));
        let accepting = thread::spawn(move || {
            while !is_closed.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().push(copy);
                }
                let (handler, is_closed) = (Arc::clone(&handler), Arc::clone(&is_closed));
                thread::spawn(move || serve(&stream, handler.as_ref(), &is_closed));
            }
        });
        Ok(Self {
            closed,
            streams,
            accepting: Some(accepting),
        })
    }

    /// Closes the listening socket and all connections.
    pub fn close(&mut self) {
        self.closed.store(true, Ordering::SeqCst);
        if let Some(accepting) = self.accepting.take() {
            let _ = accepting.join();
        }
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn serve(
    stream: &TcpStream,
    handler: &(impl Fn(Request) -> Option<(u16, String)> + ?Sized),
    closed: &AtomicBool,
) {
    let mut reader = BufReader::new(stream);
    while let Some((head, body)) = read_message(&mut reader) {
        let mut words = head.first_line.split(' ');
        let path = words.nth(1).unwrap_or_default().to_owned();
        let instance = head.header("expected-instance").map(str::to_owned);
        let reply = handler(Request {
            path,
            body,
            instance,
        });
        if closed.load(Ordering::SeqCst) {
            break;
        }
        let Some((status, body)) = reply else { break };
        let text = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut writer = stream;
        if writer.write_all(text.as_bytes()).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
}
