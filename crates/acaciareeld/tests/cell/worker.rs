//! A stand-in worker: leases, fencing, run numbers, gangs of three, ends with a cursor.

use std::{
    collections::{BTreeMap, BTreeSet},
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    client::legacy::Client,
    rt::{TokioExecutor, TokioIo},
};
use serde_json::{Value, json};
use tokio::net::TcpListener;

/// Run time of each task.
const RUN: Duration = Duration::from_millis(200);
/// Members of the gang in the job of these tests.
const GANG: usize = 3;
const CPU: u64 = 16_000;

/// What all workers see together.
#[derive(Default)]
pub struct Checks {
    /// Runs under way by task.
    running: BTreeMap<String, u64>,
    /// Members of each run of a gang that are present, with the time at which the last one came.
    gangs: BTreeMap<(String, u64), (usize, Instant)>,
    done: BTreeSet<String>,
    pub violations: Vec<String>,
}

struct Run {
    began: Instant,
    cpu: u64,
}

struct State {
    clock: Instant,
    token: u64,
    lease_until_ms: u64,
    running: BTreeMap<(String, u64), Run>,
    ended: BTreeMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    checks: Arc<Mutex<Checks>>,
}

/// Name of a gang: the task without its index. Step 1 is the gang.
fn gang_of(task: &str) -> Option<String> {
    let (step, _) = task.rsplit_once('.')?;
    step.ends_with(".1").then(|| step.to_owned())
}

impl State {
    fn clock_ms(&self) -> u64 {
        5_000 + u64::try_from(self.clock.elapsed().as_millis()).expect("small")
    }

    fn end(&mut self, task: &str, run: u64, how: &'static str) {
        self.running.remove(&(task.to_owned(), run));
        let mut checks = self.checks.lock().expect("checks");
        checks.running.remove(task);
        if let Some(gang) = gang_of(task)
            && let Some((present, _)) = checks.gangs.get_mut(&(gang, run))
            && how != "done"
        {
            *present -= 1;
        }
        if how == "done" {
            checks.done.insert(task.to_owned());
        }
        self.ended.insert(task.to_owned(), run);
        self.ends.push((self.next_end, task.to_owned(), run, how));
        self.next_end += 1;
    }

    /// Ends what is due.
    fn advance(&mut self) {
        let lapsed = self.clock_ms() > self.lease_until_ms;
        let mut due = Vec::new();
        for ((task, run), state) in &self.running {
            let began = match gang_of(task) {
                None => Some(state.began),
                Some(gang) => {
                    let checks = self.checks.lock().expect("checks");
                    let present = checks.gangs.get(&(gang, *run)).copied();
                    present.filter(|(n, _)| *n >= GANG).map(|(_, at)| at)
                }
            };
            if lapsed {
                due.push((task.clone(), *run, "lapsed"));
            } else if began.is_some_and(|at| at.elapsed() >= RUN) {
                due.push((task.clone(), *run, "done"));
            }
        }
        for (task, run, how) in due {
            self.end(&task, run, how);
        }
    }

    fn start(&mut self, body: &Value) -> (u16, Value) {
        let clock_ms = self.clock_ms();
        let refuse = |reason: &str| (409, json!({"clock_ms": clock_ms, "reason": reason}));
        let token = body["fencing_token"].as_u64().unwrap_or(0);
        if token < self.token {
            return refuse("fence");
        }
        self.token = token;
        let until_ms = body["deadline_ms"].as_u64().unwrap_or(0);
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        if self.running.contains_key(&(task.clone(), run)) {
            return (200, json!({"clock_ms": clock_ms}));
        }
        if self.ended.get(&task).is_some_and(|last| *last >= run) {
            return refuse("old");
        }
        let cpu = if gang_of(&task).is_some() {
            2_000
        } else {
            1_000
        };
        let used: u64 = self.running.values().map(|run| run.cpu).sum();
        let mut checks = self.checks.lock().expect("checks");
        if let Some(other) = checks.running.insert(task.clone(), run) {
            let text = format!("{task} runs as {other} and {run}");
            checks.violations.push(text);
        }
        if checks.done.contains(&task) {
            checks
                .violations
                .push(format!("{task} starts after it was done"));
        }
        if used + cpu > CPU {
            checks.violations.push(format!("{task} does not fit"));
        }
        if body["spec"] != "text" {
            checks
                .violations
                .push(format!("{task} has another payload"));
        }
        if let Some(gang) = gang_of(&task) {
            let present = checks
                .gangs
                .entry((gang, run))
                .or_insert((0, Instant::now()));
            *present = (present.0 + 1, Instant::now());
        }
        drop(checks);
        let began = Instant::now();
        self.running.insert((task, run), Run { began, cpu });
        (200, json!({"clock_ms": clock_ms}))
    }

    fn stop(&mut self, body: &Value) -> (u16, Value) {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        if self.running.contains_key(&(task.clone(), run)) {
            self.end(&task, run, "stopped");
        }
        (200, json!({"clock_ms": self.clock_ms()}))
    }

    fn hold(&mut self, body: &Value) -> Option<(u16, Value)> {
        let token = body["fencing_token"].as_u64().unwrap_or(0);
        if token < self.token {
            return Some((409, json!({"reason": "fence", "clock_ms": self.clock_ms()})));
        }
        self.token = token;
        let until_ms = body["deadline_ms"].as_u64().unwrap_or(0);
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
        let cursor = body["ack_cursor"].as_u64().unwrap_or(0);
        self.ends.retain(|(number, ..)| *number > cursor);
        let waits = body["wait_ms"].as_u64().unwrap_or(0) > 0;
        (!waits || !self.ends.is_empty()).then(|| (200, self.lists()))
    }

    fn lists(&self) -> Value {
        let running = self.running.iter();
        let running: Vec<Value> = running
            .map(|((task, run), state)| {
                let percent = state.began.elapsed().as_millis() * 100 / RUN.as_millis();
                json!([task, run, "", u64::try_from(percent.min(99)).unwrap_or(99)])
            })
            .collect();
        let ends = self.ends.iter();
        let ends: Vec<Value> = ends
            .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
            .collect();
        json!({"clock_ms": self.clock_ms(), "born": 1, "running": running, "finished_runs": ends})
    }
}

/// Starts a worker; it ends with the test.
pub async fn start(
    address: SocketAddr,
    id: String,
    controls: Vec<SocketAddr>,
    checks: Arc<Mutex<Checks>>,
) {
    let state = Arc::new(Mutex::new(State {
        clock: Instant::now(),
        token: 0,
        lease_until_ms: 0,
        running: BTreeMap::new(),
        ended: BTreeMap::new(),
        ends: Vec::new(),
        next_end: 1,
        checks,
    }));
    let listener = TcpListener::bind(address).await.expect("worker address");
    let serving = Arc::clone(&state);
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                return;
            };
            let state = Arc::clone(&serving);
            let service = service_fn(move |request| respond(request, Arc::clone(&state)));
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    tokio::spawn(announce(address, id, controls, state));
}

async fn respond(
    request: Request<Incoming>,
    state: Arc<Mutex<State>>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let path = request.uri().path().to_owned();
    let body = request.into_body().collect().await;
    let body: Value = body
        .ok()
        .and_then(|body| serde_json::from_slice(&body.to_bytes()).ok())
        .unwrap_or_default();
    let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0));
    let began = Instant::now();
    let (status, reply) = loop {
        let reply = {
            let mut state = state.lock().expect("worker");
            state.advance();
            match path.as_str() {
                "/acaciareel/run-start" => Some(state.start(&body)),
                "/acaciareel/run-stop" => Some(state.stop(&body)),
                _ => {
                    let over = began.elapsed() >= wait;
                    let reply = state.hold(&body);
                    reply.or_else(|| over.then(|| (200, state.lists())))
                }
            }
        };
        if let Some(reply) = reply {
            break reply;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    };
    let mut response = Response::new(Full::new(Bytes::from(reply.to_string())));
    *response.status_mut() = status.try_into().expect("status");
    Ok(response)
}

async fn announce(
    address: SocketAddr,
    id: String,
    controls: Vec<SocketAddr>,
    state: Arc<Mutex<State>>,
) {
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    for sequence in 0_u64.. {
        let clock_ms = state.lock().expect("worker").clock_ms();
        let body = json!({
            "service": "s", "address": address.to_string(), "zone": "a", "state": "ready",
            "capacity": {"cpu": CPU, "mem_mb": 1_000, "gpu": 0}, "labels": ["k", "r1"],
            "clock_ms": clock_ms, "sequence": sequence, "born": 1,
        });
        // Only the leader acknowledges; the others redirect.
        for control in &controls {
            let request = Request::post(format!(
                "http://{control}/acaciareel/Instances.Heartbeat/{id}"
            ))
            .body(Full::new(Bytes::from(body.to_string())))
            .expect("request");
            let call = tokio::time::timeout(Duration::from_secs(1), client.request(request));
            if matches!(call.await, Ok(Ok(response)) if response.status() == 200) {
                break;
            }
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}
