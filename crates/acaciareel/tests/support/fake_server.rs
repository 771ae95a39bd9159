//! A fake of the daemon's HTTP server, and runs of the client program against it.

use std::{
    collections::VecDeque,
    convert::Infallible,
    io,
    net::SocketAddr,
    process::{Command, Output},
    sync::{Arc, Mutex},
    thread,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, runtime, sync::oneshot};

/// What the server does after it has read a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Responds with status, headers and body.
    Respond(u16, Vec<(&'static str, String)>, String),
    /// Closes the connection without a response.
    CloseConnection,
}

/// Request that the server has received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Method and path.
    pub request_line: String,
    pub headers: hyper::HeaderMap,
    pub body: String,
}

impl ReceivedRequest {
    /// Returns the value of a header, empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|value| value.to_str().ok()).unwrap_or("")
    }
}

#[derive(Debug, Default)]
struct ServerState {
    replies: VecDeque<Reply>,
    received: Vec<ReceivedRequest>,
}

/// Server that uses its replies in order and repeats the last one.
///
/// Runs on a thread of its own until the value is dropped.
#[derive(Debug)]
pub struct FakeServer {
    pub address: SocketAddr,
    state: Arc<Mutex<ServerState>>,
    _stop: oneshot::Sender<Infallible>,
}

impl FakeServer {
    pub fn start(replies: impl IntoIterator<Item = Reply>) -> Self {
        let state = Arc::new(Mutex::new(ServerState {
            replies: replies.into_iter().collect(),
            received: Vec::new(),
        }));
        let (started, address) = std::sync::mpsc::channel();
        let (stop, stopped) = oneshot::channel::<Infallible>();
        let serving = Arc::clone(&state);
        thread::spawn(move || {
            let runtime = runtime::Builder::new_current_thread().enable_all().build();
            runtime.expect("runtime").block_on(async move {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
                let address = listener.local_addr().expect("address");
                started.send(address).expect("waiting test");
                tokio::select! {
                    () = accept(listener, serving) => {}
                    _ = stopped => {}
                }
            });
        });
        Self {
            address: address.recv().expect("started server"),
            state,
            _stop: stop,
        }
    }

    /// Returns the requests in the order in which they were received.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.state.lock().expect("lock").received.clone()
    }
}

async fn accept(listener: TcpListener, state: Arc<Mutex<ServerState>>) {
    loop {
        let (stream, _) = listener.accept().await.expect("connection");
        let state = Arc::clone(&state);
        let service = service_fn(move |request| handle(request, Arc::clone(&state)));
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

async fn handle(
    request: Request<Incoming>,
    state: Arc<Mutex<ServerState>>,
) -> Result<Response<Full<Bytes>>, io::Error> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let mut state = state.lock().expect("lock");
    state.received.push(ReceivedRequest {
        request_line: format!("{} {}", head.method, head.uri.path()),
        headers: head.headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    });
    let reply = match state.replies.len() {
        0 | 1 => state.replies.front().cloned(),
        _ => state.replies.pop_front(),
    };
    match reply {
        Some(Reply::Respond(status, headers, body)) => {
            let mut response = Response::builder().status(status);
            for (name, value) in headers {
                response = response.header(name, value);
            }
            Ok(response.body(Full::from(body)).expect("response"))
        }
        Some(Reply::CloseConnection) | None => {
            Err(io::Error::other("the test closes the connection"))
        }
    }
}

/// Exit code and output of a run of the client.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClientRun {
    pub code: Option<i32>,
    pub stdout: String,
    pub stderr: String,
}

/// Runs the client with these servers and arguments.
pub fn run_client(servers: &[SocketAddr], args: &[&str]) -> ClientRun {
    let mut command = Command::new(env!("CARGO_BIN_EXE_acaciareel"));
    for server in servers {
        command.arg("--server").arg(server.to_string());
    }
    let output = command.args(args).output().expect("client");
    let Output {
        status,
        stdout,
        stderr,
    } = output;
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("UTF-8");
    ClientRun {
        code: status.code(),
        stdout: text(stdout),
        stderr: text(stderr),
    }
}

/// Returns an address that refuses connections: no fake server and no usual service listens on
/// port 1.
pub fn refusing_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// Returns a reply with a JSON body.
pub fn json_reply(status: u16, body: &str) -> Reply {
    Reply::Respond(status, Vec::new(), body.into())
}
