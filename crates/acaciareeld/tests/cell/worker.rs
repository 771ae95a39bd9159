//! A stand-in worker that implements leases, fencing tokens, run numbers, gangs of three tasks, and
//! completions that are acknowledged by a cursor.

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

/// Run time of each task; for a gang, since its last member started.
const RUN_TIME: Duration = Duration::from_millis(200);
/// Most completions in one report (bound of the platform).
const MAX_LISTED: usize = 500;
/// Number of tasks of the gang in the job of these tests.
const GANG_SIZE: usize = 3;
/// Processor capacity of each worker.
const CAPACITY_MILLICORES: u64 = 16_000;

/// Runs and violations recorded by all workers of a cell.
#[derive(Default)]
pub struct Checks {
    /// Run number of each running task.
    running: BTreeMap<String, u64>,
    /// Number of running members of each run of a gang, and the time at which the last one started.
    gangs: BTreeMap<(String, u64), (usize, Instant)>,
    /// Tasks that are done.
    done: BTreeSet<String>,
    pub violations: Vec<String>,
}

struct Run {
    started: Instant,
    /// Reserved processor time in thousandths of a core.
    cpu: u64,
}

struct WorkerState {
    /// Start of the worker's clock.
    clock: Instant,
    /// Highest fencing token received.
    token: u64,
    lease_until_ms: u64,
    /// Running runs by task and run number.
    running: BTreeMap<(String, u64), Run>,
    /// Number of the last ended run of each task.
    last_ended_runs: BTreeMap<String, u64>,
    /// Completions that are not acknowledged: number, task, run, outcome.
    completions: Vec<(u64, String, u64, &'static str)>,
    next_completion: u64,
    checks: Arc<Mutex<Checks>>,
}

/// Returns the gang of a task: the task without its index. Only step 1 is a gang.
fn gang_key(task: &str) -> Option<String> {
    let (step, _) = task.rsplit_once('.')?;
    step.ends_with(".1").then(|| step.to_owned())
}

impl WorkerState {
    /// Returns the time on the worker's clock, which starts at 5,000 ms.
    fn clock_ms(&self) -> u64 {
        5_000 + u64::try_from(self.clock.elapsed().as_millis()).expect("fits into 64 bits")
    }

    /// Ends a run and records its completion.
    fn complete_run(&mut self, task: &str, run: u64, outcome: &'static str) {
        self.running.remove(&(task.to_owned(), run));
        let mut checks = self.checks.lock().expect("checks");
        checks.running.remove(task);
        if let Some(gang) = gang_key(task)
            && let Some((members, _)) = checks.gangs.get_mut(&(gang, run))
            && outcome != "done"
        {
            *members -= 1;
        }
        if outcome == "done" {
            checks.done.insert(task.to_owned());
        }
        self.last_ended_runs.insert(task.to_owned(), run);
        self.completions
            .push((self.next_completion, task.to_owned(), run, outcome));
        self.next_completion += 1;
    }

    /// Ends the runs whose run time is over, or all runs if the lease has expired.
    fn complete_due_runs(&mut self) {
        let lease_expired = self.clock_ms() > self.lease_until_ms;
        let mut due = Vec::new();
        for ((task, run), state) in &self.running {
            let started = match gang_key(task) {
                None => Some(state.started),
                Some(gang) => {
                    let checks = self.checks.lock().expect("checks");
                    let members = checks.gangs.get(&(gang, *run)).copied();
                    members.filter(|(n, _)| *n >= GANG_SIZE).map(|(_, at)| at)
                }
            };
            if lease_expired {
                due.push((task.clone(), *run, "lapsed"));
            } else if started.is_some_and(|at| at.elapsed() >= RUN_TIME) {
                due.push((task.clone(), *run, "done"));
            }
        }
        for (task, run, outcome) in due {
            self.complete_run(&task, run, outcome);
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
        if self
            .last_ended_runs
            .get(&task)
            .is_some_and(|last| *last >= run)
        {
            return refuse("old");
        }
        let cpu = if gang_key(&task).is_some() {
            2_000
        } else {
            1_000
        };
        let used: u64 = self.running.values().map(|run| run.cpu).sum();
        let mut checks = self.checks.lock().expect("checks");
        if let Some(other) = checks.running.insert(task.clone(), run) {
            let text = format!("{task} runs twice, as run {other} and run {run}");
            checks.violations.push(text);
        }
        if checks.done.contains(&task) {
            checks
                .violations
                .push(format!("{task} starts although it is done"));
        }
        if used + cpu > CAPACITY_MILLICORES {
            checks
                .violations
                .push(format!("{task} exceeds the capacity of the worker"));
        }
        if body["spec"] != "text" {
            checks
                .violations
                .push(format!("{task} has another payload"));
        }
        if let Some(gang) = gang_key(&task) {
            let members = checks
                .gangs
                .entry((gang, run))
                .or_insert((0, Instant::now()));
            *members = (members.0 + 1, Instant::now());
        }
        drop(checks);
        let started = Instant::now();
        self.running.insert((task, run), Run { started, cpu });
        (200, json!({"clock_ms": clock_ms}))
    }

    fn stop(&mut self, body: &Value) -> (u16, Value) {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        if self.running.contains_key(&(task.clone(), run)) {
            self.complete_run(&task, run, "stopped");
        }
        (200, json!({"clock_ms": self.clock_ms()}))
    }

    /// Renews the lease. Returns `None` while the caller must wait for a completion.
    fn renew(&mut self, body: &Value) -> Option<(u16, Value)> {
        let token = body["fencing_token"].as_u64().unwrap_or(0);
        if token < self.token {
            return Some((409, json!({"reason": "fence", "clock_ms": self.clock_ms()})));
        }
        self.token = token;
        let until_ms = body["deadline_ms"].as_u64().unwrap_or(0);
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
        let cursor = body["ack_cursor"].as_u64().unwrap_or(0);
        self.completions.retain(|(number, ..)| *number > cursor);
        let waits = body["wait_ms"].as_u64().unwrap_or(0) > 0;
        (!waits || !self.completions.is_empty()).then(|| (200, self.renewal_report()))
    }

    fn renewal_report(&self) -> Value {
        let running = self.running.iter();
        let running: Vec<Value> = running
            .map(|((task, run), state)| {
                let percent = state.started.elapsed().as_millis() * 100 / RUN_TIME.as_millis();
                json!([task, run, "", u64::try_from(percent.min(99)).unwrap_or(99)])
            })
            .collect();
        let completions = self.completions.iter();
        let completions: Vec<Value> = completions
            .take(MAX_LISTED)
            .map(|(number, task, run, outcome)| json!([number, task, run, outcome, ""]))
            .collect();
        json!({
            "clock_ms": self.clock_ms(), "born": 1, "running": running,
            "finished_runs": completions,
        })
    }
}

/// Starts a worker, which runs until the runtime of the test ends.
pub async fn start(
    address: SocketAddr,
    id: String,
    control_addresses: Vec<SocketAddr>,
    checks: Arc<Mutex<Checks>>,
) {
    let state = Arc::new(Mutex::new(WorkerState {
        clock: Instant::now(),
        token: 0,
        lease_until_ms: 0,
        running: BTreeMap::new(),
        last_ended_runs: BTreeMap::new(),
        completions: Vec::new(),
        next_completion: 1,
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
    tokio::spawn(announce(address, id, control_addresses, state));
}

async fn respond(
    request: Request<Incoming>,
    state: Arc<Mutex<WorkerState>>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let path = request.uri().path().to_owned();
    let body = request.into_body().collect().await;
    let body: Value = body
        .ok()
        .and_then(|body| serde_json::from_slice(&body.to_bytes()).ok())
        .unwrap_or_default();
    let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0));
    let started = Instant::now();
    let (status, reply) = loop {
        let reply = {
            let mut state = state.lock().expect("worker");
            state.complete_due_runs();
            match path.as_str() {
                "/acaciareel/run-start" => Some(state.start(&body)),
                "/acaciareel/run-stop" => Some(state.stop(&body)),
                _ => {
                    let waited = started.elapsed() >= wait;
                    let reply = state.renew(&body);
                    reply.or_else(|| waited.then(|| (200, state.renewal_report())))
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
    control_addresses: Vec<SocketAddr>,
    state: Arc<Mutex<WorkerState>>,
) {
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    for sequence in 0_u64.. {
        let clock_ms = state.lock().expect("worker").clock_ms();
        let body = json!({
            "service": "s", "address": address.to_string(), "zone": "a", "state": "ready",
            "version": "v1", "slots": 8, "cold_remaining_ms": 0,
            "capacity": {"cpu": CAPACITY_MILLICORES, "mem_mb": 1_000, "gpu": 0},
            "labels": ["k", "r1"],
            "clock_ms": clock_ms, "sequence": sequence, "born": 1,
        });
        // Only the leader acknowledges; the other control VMs redirect.
        for control in &control_addresses {
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
