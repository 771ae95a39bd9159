//! A stand-in for a daemon's HTTP server, and runs of the real client against it.

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

/// What the stand-in does with one request.
#[derive(Clone, Debug)]
pub enum Step {
    /// Answers with status, headers and body.
    Answer(u16, Vec<(&'static str, String)>, String),
    /// Closes the connection after the request was read.
    Break,
}

/// Request that the stand-in received.
#[derive(Clone, Debug)]
pub struct Received {
    pub line: String,
    pub headers: hyper::HeaderMap,
    pub body: String,
}

impl Received {
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|value| value.to_str().ok()).unwrap_or("")
    }
}

#[derive(Debug, Default)]
struct Shared {
    steps: VecDeque<Step>,
    received: Vec<Received>,
}

/// Server that takes its steps in order; the last one is repeated.
#[derive(Debug)]
pub struct StandIn {
    pub address: SocketAddr,
    shared: Arc<Mutex<Shared>>,
    _stop: oneshot::Sender<Infallible>,
}

impl StandIn {
    pub fn start(steps: impl IntoIterator<Item = Step>) -> Self {
        let shared = Arc::new(Mutex::new(Shared {
            steps: steps.into_iter().collect(),
            received: Vec::new(),
        }));
        let (started, address) = std::sync::mpsc::channel();
        let (stop, stopped) = oneshot::channel::<Infallible>();
        let serving = Arc::clone(&shared);
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
            shared,
            _stop: stop,
        }
    }

    pub fn received(&self) -> Vec<Received> {
        self.shared.lock().expect("lock").received.clone()
    }
}

async fn accept(listener: TcpListener, shared: Arc<Mutex<Shared>>) {
    loop {
        let (stream, _) = listener.accept().await.expect("connection");
        let shared = Arc::clone(&shared);
        let service = service_fn(move |request| handle(request, Arc::clone(&shared)));
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

async fn handle(
    request: Request<Incoming>,
    shared: Arc<Mutex<Shared>>,
) -> Result<Response<Full<Bytes>>, io::Error> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let mut shared = shared.lock().expect("lock");
    shared.received.push(Received {
        line: format!("{} {}", head.method, head.uri.path()),
        headers: head.headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    });
    let step = match shared.steps.len() {
        0 | 1 => shared.steps.front().cloned(),
        _ => shared.steps.pop_front(),
    };
    match step {
        Some(Step::Answer(status, headers, body)) => {
            let mut response = Response::builder().status(status);
            for (name, value) in headers {
                response = response.header(name, value);
            }
            Ok(response.body(Full::from(body)).expect("response"))
        }
        Some(Step::Break) | None => Err(io::Error::other("the test closes the connection")),
    }
}

/// Result of a run of the client.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    pub code: Option<i32>,
    pub stdout: String,
    pub stderr: String,
}

/// Runs the client with these servers and arguments.
pub fn run(servers: &[SocketAddr], args: &[&str]) -> Run {
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
    Run {
        code: status.code(),
        stdout: text(stdout),
        stderr: text(stderr),
    }
}

/// Address that refuses connections: no stand-in and no usual service listens on port 1.
pub fn closed() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// Answer with a JSON body.
pub fn json(status: u16, body: &str) -> Step {
    Step::Answer(status, Vec::new(), body.into())
}
