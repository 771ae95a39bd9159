//! HTTP/1.1 over TCP: a client that keeps its connection open, and a server with a thread for each
//! connection.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Path of a request.
    pub path: String,
    /// Status of a response.
    pub status: u16,
    /// Headers; the names are in lower case.
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }
}

/// Reads a message; `None` if the connection ends or fails.
fn read(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = String::new();
    reader
        .read_line(&mut line)
        .ok()
        .filter(|count| *count > 0)?;
    let mut parts = line.split_whitespace();
    let (first, second) = (parts.next()?.to_owned(), parts.next()?.to_owned());
    let mut message = if first.starts_with("HTTP/") {
        Message {
            status: second.parse().ok()?,
            ..Message::default()
        }
    } else {
        Message {
            path: second,
            ..Message::default()
        }
    };
    loop {
        let mut line = String::new();
        reader
            .read_line(&mut line)
            .ok()
            .filter(|count| *count > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        let header = (name.to_ascii_lowercase(), value.trim().to_owned());
        message.headers.push(header);
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    message.body = String::from_utf8(body).ok()?;
    Some(message)
}

/// Client of one address.
pub struct Client {
    pub address: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// Sends a request on the open connection or on a new one. Returns `None` without a complete
    /// response in time; the connection is closed then.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &str,
        body: &str,
        limit: Duration,
    ) -> Option<Message> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => {
                let stream = TcpStream::connect_timeout(&self.address, limit).ok()?;
                stream.set_nodelay(true).ok()?;
                BufReader::new(stream)
            }
        };
        connection.get_ref().set_read_timeout(Some(limit)).ok()?;
        let request = format!(
            "{method} {path} HTTP/1.1\r\n{headers}Content-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        connection.get_mut().write_all(request.as_bytes()).ok()?;
        let response = read(&mut connection)?;
        if !response.header("connection").eq_ignore_ascii_case("close") {
            self.connection = Some(connection);
        }
        Some(response)
    }
}

/// Server that can be stopped, which closes its connections.
pub struct Server {
    stopped: Arc<AtomicBool>,
    address: SocketAddr,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves an address. The handler returns status and body; 0 is no response.
    pub fn start(
        address: SocketAddr,
        handler: impl Fn(Message) -> (u16, String) + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let stopped = Arc::new(AtomicBool::new(false));
        let connections = Arc::new(Mutex::new(Vec::new()));
        let (ends, open, handler) = (stopped.clone(), connections.clone(), Arc::new(handler));
        thread::spawn(move || {
            for stream in listener.incoming() {
                if ends.load(Ordering::Relaxed) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    let mut open = open.lock().unwrap();
                    open.push(copy);
                }
                let (handler, ends) = (handler.clone(), ends.clone());
                let serve = move || serve(stream, &*handler, &ends);
                let _ = thread::Builder::new().stack_size(128 << 10).spawn(serve);
            }
        });
        Ok(Self {
            stopped,
            address,
            connections,
        })
    }

    /// Stops the server and closes its connections, as when its process ends.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn serve(stream: TcpStream, handler: &dyn Fn(Message) -> (u16, String), ends: &AtomicBool) {
    let mut reader = BufReader::new(stream);
    while let Some(request) = read(&mut reader) {
        let (status, body) = handler(request);
        if ends.load(Ordering::Relaxed) || status == 0 {
            return;
        }
        let response = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if reader.get_mut().write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}
