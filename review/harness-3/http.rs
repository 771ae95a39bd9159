//! A small HTTP/1.1 client and server over TCP.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub location: Option<String>,
    pub body: String,
}

#[derive(Debug)]
pub struct Request {
    pub path: String,
    pub instance: String,
    pub body: String,
}

/// Reads a head and a body. Returns the first line and the headers that matter.
fn read_message(
    reader: &mut BufReader<TcpStream>,
) -> io::Result<(String, Option<String>, String, String)> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let (mut length, mut location, mut instance) = (0, None, String::new());
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            match name.to_ascii_lowercase().as_str() {
                "content-length" => length = value.trim().parse().unwrap_or(0),
                "location" => location = Some(value.trim().to_owned()),
                "expected-instance" => instance = value.trim().to_owned(),
                _ => {}
            }
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok((first, location, instance, body))
}

/// Sends a request on a connection of its own. Returns `None` without a complete response in time.
pub fn call(
    method: &str,
    to: SocketAddr,
    path: &str,
    host: &str,
    body: &str,
    limit: Duration,
) -> Option<Reply> {
    let stream = TcpStream::connect_timeout(&to, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Deadline-Ms: {}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        limit.as_millis(),
        body.len()
    );
    (&stream).write_all(text.as_bytes()).ok()?;
    let (first, location, _, body) = read_message(&mut BufReader::new(stream)).ok()?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some(Reply {
        status,
        location,
        body,
    })
}

/// Serves requests until the process ends. Without a reply the connection is closed.
pub fn serve(
    address: SocketAddr,
    answer: impl Fn(Request) -> Option<(u16, String)> + Send + Sync + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = Arc::clone(&answer);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok((first, _, instance, body)) = read_message(&mut reader) {
                    let path = first.split(' ').nth(1).unwrap_or_default().to_owned();
                    let request = Request {
                        path,
                        instance,
                        body,
                    };
                    let Some((status, body)) = answer(request) else {
                        return;
                    };
                    let text = format!(
                        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n\
                         Content-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if writer.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}
