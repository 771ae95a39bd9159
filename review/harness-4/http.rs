//! HTTP/1.1 with `Content-Length` bodies over blocking sockets.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request or a response: its first line, its headers with names in lower case, and its body.
pub struct Message {
    pub first_line: String,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

impl Message {
    pub fn status(&self) -> u16 {
        let word = self.first_line.split(' ').nth(1).unwrap_or("");
        word.parse().unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads one message; `None` if the connection has ended before it.
pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut first_line = String::new();
    if reader.read_line(&mut first_line)? == 0 {
        return Ok(None);
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers.get("content-length").map_or("0", String::as_str);
    let mut body = vec![0; length.parse().unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(Some(Message {
        first_line: first_line.trim_end().to_owned(),
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    }))
}

/// Connects from any port and sends one request. Returns the response, or why there is none.
pub fn call(
    method: &str,
    to: SocketAddr,
    path: &str,
    headers: &str,
    body: &str,
    limit: Duration,
) -> io::Result<Message> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&to, limit)?;
    stream.set_nodelay(true)?;
    let left = until.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\n{headers}Content-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )?;
    read(&mut BufReader::new(stream))?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// A connection that stays open between requests.
pub struct Open {
    reader: BufReader<TcpStream>,
}

impl Open {
    pub fn new(to: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, limit)?;
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        body: &str,
        limit: Duration,
    ) -> io::Result<Message> {
        let stream = self.reader.get_mut();
        stream.set_read_timeout(Some(limit))?;
        let length = body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
             Content-Length: {length}\r\n\r\n{body}"
        );
        stream.write_all(head.as_bytes())?;
        read(&mut self.reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}
