//! A stand-in worker that follows the platform's pages: heartbeats, run-start, run-stop and hold with
//! leases, fencing tokens, run numbers, and ends that are listed until they are acknowledged. It does
//! not know gangs, checkpoints and tickets; the cases use none.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request, Server},
    json::Json,
    record::{Record, unix_ms},
};

/// Longest lease (`hold_max_ms`).
const HOLD_MAX_MS: u64 = 10_000;
/// Interval of heartbeats (`heartbeat_ms`).
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Time after which a heartbeat goes to the next node.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest wait of a hold.
const MAX_WAIT_MS: u64 = 2_000;
/// Most ends in one report.
const MAX_LISTED: usize = 500;

/// What happened to runs, as the workers saw it, for all workers of a case.
#[derive(Default)]
pub struct Journal {
    /// Task of each start.
    pub starts: Vec<String>,
    /// Runs at work now, by task: run, worker, incarnation.
    pub running: BTreeMap<String, Vec<(u64, String, u64)>>,
    /// Ends by task and how.
    pub ends: Vec<(String, u64, String)>,
    /// Second runs of a task beside a first one: text.
    pub doubles: Vec<String>,
}

#[derive(Clone)]
pub struct Config {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub mem_mb: u64,
    /// Unix milliseconds of the start, as the worker's own clock shows it.
    pub born: u64,
}

struct Run {
    began: Instant,
    work_ms: u64,
    /// How the run ends after this time.
    how: &'static str,
    /// Whether the task lasts: it is at work after a short startup, and does not end by itself.
    lasts: bool,
}

/// Time after which a task that lasts is at work.
const STARTUP_MS: u128 = 400;

struct State {
    /// Whether the process has not ended.
    alive: bool,
    /// Whether it is about to leave.
    draining: bool,
    token: u64,
    lease_until_ms: u64,
    running: BTreeMap<(String, u64), Run>,
    last_ended: BTreeMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
}

/// One life of a worker.
pub struct Worker {
    pub config: Config,
    clock: Instant,
    state: Mutex<State>,
    server: Mutex<Option<Server>>,
    journal: Arc<Mutex<Journal>>,
    record: Arc<Record>,
}

impl Worker {
    /// Starts a life: it serves at its address, and sends heartbeats to the control nodes in turn,
    /// the first one after `first_beat`.
    pub fn start(
        config: Config,
        control: Vec<SocketAddr>,
        first_beat: Duration,
        journal: Arc<Mutex<Journal>>,
        record: Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        let worker = Arc::new(Self {
            config,
            clock: Instant::now(),
            state: Mutex::new(State {
                alive: true,
                draining: false,
                token: 0,
                lease_until_ms: 0,
                running: BTreeMap::new(),
                last_ended: BTreeMap::new(),
                ends: Vec::new(),
                next_end: 1,
            }),
            server: Mutex::new(None),
            journal,
            record,
        });
        let serving = Arc::clone(&worker);
        let server = Server::start(worker.config.address, move |request| {
            serving.respond(request)
        })?;
        *worker.server.lock().unwrap() = Some(server);
        let (beating, working) = (Arc::clone(&worker), Arc::clone(&worker));
        thread::spawn(move || beating.beat_forever(&control, first_beat));
        thread::spawn(move || {
            while working.is_alive() {
                working.end_due();
                thread::sleep(Duration::from_millis(5));
            }
        });
        let Config {
            id,
            address,
            labels,
            born,
            ..
        } = &worker.config;
        worker.record.line(&format!(
            "worker {id} starts at {address}, born {born}, labels {labels:?}"
        ));
        Ok(worker)
    }

    pub fn is_alive(&self) -> bool {
        self.state.lock().unwrap().alive
    }

    /// Ends the process without a word. What ran on it is gone.
    pub fn crash(&self) {
        let ended: Vec<(String, u64)> = {
            let mut state = self.state.lock().unwrap();
            state.alive = false;
            let running = std::mem::take(&mut state.running);
            running.into_keys().collect()
        };
        for (task, run) in &ended {
            self.forget(task, *run);
        }
        if let Some(mut server) = self.server.lock().unwrap().take() {
            server.close();
        }
        self.record.line(&format!(
            "worker {} crashes; gone with it: {ended:?}",
            self.config.id
        ));
    }

    fn state_name(&self) -> &'static str {
        if self.state.lock().unwrap().draining {
            "draining"
        } else {
            "ready"
        }
    }

    /// Announces from the next heartbeat on that the worker drains.
    pub fn drain(&self) {
        self.state.lock().unwrap().draining = true;
        self.record
            .line(&format!("worker {} drains", self.config.id));
    }

    /// Deregisters at one of the control nodes, and ends.
    pub fn leave(&self, control: &[SocketAddr]) {
        let path = format!("/acaciareel/Instances.Deregister/{}", self.config.id);
        let body = format!("{{\"born\":{}}}", self.config.born);
        let acknowledged = control.iter().any(|to| post(*to, &path, &body).is_some());
        self.record.line(&format!(
            "worker {} deregisters: acknowledged {acknowledged}",
            self.config.id
        ));
        self.crash();
    }

    /// Number of tasks at work.
    pub fn running(&self) -> usize {
        self.state.lock().unwrap().running.len()
    }

    /// Number of tasks at work in their `run`-th run or a later one.
    pub fn running_from(&self, run: u64) -> usize {
        let state = self.state.lock().unwrap();
        state.running.keys().filter(|key| key.1 >= run).count()
    }

    /// Returns the time on the worker's clock, which starts anew with each life.
    fn clock_ms(&self) -> u64 {
        1_000 + u64::try_from(self.clock.elapsed().as_millis()).unwrap_or(0)
    }

    fn forget(&self, task: &str, run: u64) {
        let mut journal = self.journal.lock().unwrap();
        if let Some(runs) = journal.running.get_mut(task) {
            runs.retain(|(other, id, born)| {
                (*other, id.as_str(), *born) != (run, self.config.id.as_str(), self.config.born)
            });
        }
    }

    fn end(&self, state: &mut State, task: &str, run: u64, how: &'static str) {
        state.running.remove(&(task.to_owned(), run));
        state.last_ended.insert(task.to_owned(), run);
        state.ends.push((state.next_end, task.to_owned(), run, how));
        state.next_end += 1;
        self.forget(task, run);
        self.journal
            .lock()
            .unwrap()
            .ends
            .push((task.to_owned(), run, how.to_owned()));
        self.record.line(&format!(
            "run {task} {run} ends {how} on {}",
            self.config.id
        ));
    }

    fn end_due(&self) {
        let lapsed = self.clock_ms();
        let mut state = self.state.lock().unwrap();
        let lapsed = lapsed > state.lease_until_ms;
        let due: Vec<_> = state
            .running
            .iter()
            .filter_map(|((task, run), at_work)| {
                let done = at_work.began.elapsed().as_millis() >= u128::from(at_work.work_ms);
                let done = done && !at_work.lasts;
                let how = if lapsed { "lapsed" } else { at_work.how };
                (lapsed || done).then(|| (task.clone(), *run, how))
            })
            .collect();
        for (task, run, how) in due {
            self.end(&mut state, &task, run, how);
        }
    }

    fn respond(&self, request: Request) -> Option<(u16, String)> {
        if !self.is_alive() {
            return None;
        }
        if request
            .instance
            .as_deref()
            .is_some_and(|id| id != self.config.id)
        {
            return Some((421, "{}".to_owned()));
        }
        let body = Json::parse(&request.body)?;
        match request.path.as_str() {
            "/acaciareel/run-start" => Some(self.run_start(&body)),
            "/acaciareel/run-stop" => Some(self.run_stop(&body)),
            "/acaciareel/hold" => self.hold(&body),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn refused(&self, reason: &str) -> (u16, String) {
        let clock_ms = self.clock_ms();
        (
            409,
            format!("{{\"clock_ms\":{clock_ms},\"reason\":\"{reason}\"}}"),
        )
    }

    fn extend(&self, state: &mut State, body: &Json) {
        if let Some(until_ms) = body.get("deadline_ms").number() {
            let until_ms = until_ms.min(self.clock_ms() + HOLD_MAX_MS);
            state.lease_until_ms = state.lease_until_ms.max(until_ms);
        }
    }

    fn run_start(&self, body: &Json) -> (u16, String) {
        let task = body.get("task").text().unwrap_or_default().to_owned();
        let run = body.get("run").number().unwrap_or(0);
        let spec = body.get("spec").text().unwrap_or_default().to_owned();
        let token = body.get("fencing_token").number().unwrap_or(0);
        let deadline_ms = body.get("deadline_ms").number().unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        let id = &self.config.id;
        if token < state.token {
            self.record
                .line(&format!("start {task} {run} on {id}: 409 fence"));
            return self.refused("fence");
        }
        state.token = token;
        let key = (task.clone(), run);
        let reply = format!("{{\"clock_ms\":{}}}", self.clock_ms());
        if deadline_ms <= self.clock_ms() {
            return self.refused("late");
        }
        self.extend(&mut state, body);
        if state.running.contains_key(&key) {
            return (200, reply);
        }
        let is_old = |ended: &u64| *ended >= run;
        let is_later = |other: &&(String, u64)| other.0 == task && other.1 > run;
        if state.last_ended.get(&task).is_some_and(is_old)
            || state.running.keys().any(|k| is_later(&k))
        {
            self.record
                .line(&format!("start {task} {run} on {id}: 409 old"));
            return self.refused("old");
        }
        let work_ms = spec
            .rsplit('=')
            .next()
            .and_then(|text| text.parse().ok())
            .unwrap_or(1_000);
        let lasts = spec == "lasts";
        // The text of a job that can never be done begins with this word.
        let how = if spec.starts_with("hopeless") {
            "failed"
        } else {
            "done"
        };
        state.running.insert(
            key,
            Run {
                began: Instant::now(),
                work_ms,
                how,
                lasts,
            },
        );
        self.record.line(&format!(
            "start {task} {run} on {id} (labels {:?}): 200",
            self.config.labels
        ));
        let mut journal = self.journal.lock().unwrap();
        journal.starts.push(task.clone());
        let at_work = journal.running.entry(task.clone()).or_default();
        at_work.push((run, id.clone(), self.config.born));
        if at_work.len() > 1 {
            let text = format!("task {task} runs at the same time as runs {at_work:?}");
            self.record.line(&text);
            journal.doubles.push(text);
        }
        (200, reply)
    }

    fn run_stop(&self, body: &Json) -> (u16, String) {
        let task = body.get("task").text().unwrap_or_default().to_owned();
        let run = body.get("run").number().unwrap_or(0);
        let token = body.get("fencing_token").number().unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        if token < state.token {
            return self.refused("fence");
        }
        state.token = token;
        self.record
            .line(&format!("stop {task} {run} on {}", self.config.id));
        if state.running.contains_key(&(task.clone(), run)) {
            self.end(&mut state, &task, run, "stopped");
        } else {
            let last = state.last_ended.entry(task).or_default();
            *last = (*last).max(run);
        }
        (200, format!("{{\"clock_ms\":{}}}", self.clock_ms()))
    }

    /// Answers a hold; `None` if the process ends meanwhile.
    fn hold(&self, body: &Json) -> Option<(u16, String)> {
        let token = body.get("fencing_token").number().unwrap_or(0);
        let cursor = body.get("ack_cursor").number().unwrap_or(0);
        let wait_ms = body.get("wait_ms").number().unwrap_or(0).min(MAX_WAIT_MS);
        {
            let mut state = self.state.lock().unwrap();
            if token < state.token {
                return Some(self.refused("fence"));
            }
            state.token = token;
            self.extend(&mut state, body);
            state.ends.retain(|(number, ..)| *number > cursor);
        }
        let began = Instant::now();
        while began.elapsed() < Duration::from_millis(wait_ms) {
            let state = self.state.lock().unwrap();
            if !state.ends.is_empty() || !state.alive {
                break;
            }
            drop(state);
            thread::sleep(Duration::from_millis(5));
        }
        let state = self.state.lock().unwrap();
        if !state.alive {
            return None;
        }
        let running: Vec<String> = state
            .running
            .iter()
            .map(|((task, run), at_work)| {
                let worked_ms = at_work.began.elapsed().as_millis();
                let percent = if at_work.lasts {
                    (worked_ms * 100 / STARTUP_MS).min(100)
                } else {
                    (worked_ms * 100 / u128::from(at_work.work_ms.max(1))).min(99)
                };
                format!("[\"{task}\",{run},\"\",{percent},1000]")
            })
            .collect();
        let ends = state.ends.iter().take(MAX_LISTED);
        let ends: Vec<String> = ends
            .map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"))
            .collect();
        let reply = format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"finished_runs\":[{}]}}",
            self.clock_ms(),
            self.config.born,
            running.join(","),
            ends.join(",")
        );
        Some((200, reply))
    }

    fn beat_forever(&self, control: &[SocketAddr], first_beat: Duration) {
        thread::sleep(first_beat);
        let mut named: Option<SocketAddr> = None;
        let mut next = 0;
        for sequence in 1.. {
            if !self.is_alive() {
                return;
            }
            let body = heartbeat(&self.config, self.state_name(), self.clock_ms(), sequence);
            let began = Instant::now();
            for _ in 0..=control.len() {
                let to = named.take().unwrap_or(control[next % control.len()]);
                match beat(to, &self.config.id, &body) {
                    Some(endpoint) => {
                        named = endpoint.or(Some(to));
                        break;
                    }
                    None => next += 1,
                }
            }
            thread::sleep(HEARTBEAT.saturating_sub(began.elapsed()));
        }
    }
}

/// Returns the body of a heartbeat.
pub fn heartbeat(config: &Config, state: &str, clock_ms: u64, sequence: u64) -> String {
    let labels: Vec<String> = config
        .labels
        .iter()
        .map(|label| format!("\"{label}\""))
        .collect();
    format!(
        "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
         \"state\":\"{state}\",\"cold_remaining_ms\":0,\
         \"capacity\":{{\"cpu\":{},\"mem_mb\":{},\"gpu\":0}},\"labels\":[{}],\
         \"clock_ms\":{clock_ms},\"sequence\":{sequence},\"born\":{}}}",
        config.service,
        config.address,
        config.zone,
        config.cpu,
        config.mem_mb,
        labels.join(","),
        config.born
    )
}

/// Sends a heartbeat to a node. Returns the endpoint that the acknowledgement names, or `None` without
/// an acknowledgement.
pub fn beat(to: SocketAddr, id: &str, body: &str) -> Option<Option<SocketAddr>> {
    let body = post(to, &format!("/acaciareel/Instances.Heartbeat/{id}"), body)?;
    let named = Json::parse(&body)?;
    Some(
        named
            .get("heartbeat_endpoint")
            .text()
            .and_then(|text| text.parse().ok()),
    )
}

/// Posts to a node, and follows a redirect twice. Returns the body of an acknowledgement.
fn post(to: SocketAddr, path: &str, body: &str) -> Option<String> {
    let mut to = to;
    for _ in 0..3 {
        let reply = http::call("POST", to, path, "control", body, HEARTBEAT_TIMEOUT)?;
        match (reply.status, reply.location) {
            (200..=299, _) => return Some(reply.body),
            (307, Some(location)) => {
                let address = location.strip_prefix("http://")?.split('/').next()?;
                to = address.parse().ok()?;
            }
            _ => return None,
        }
    }
    None
}

/// Returns a birth time: now.
pub fn born_now() -> u64 {
    unix_ms()
}
