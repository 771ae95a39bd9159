//! Stand-in workers that follow the platform's pages: heartbeats, run-start, run-stop and hold, with leases,
//! fencing tokens, run numbers, gangs, tasks that last, and ends that are listed until they are acknowledged.
//!
//! The text `spec` of a job says what its tasks do: `ms=2000` works for so long and ends `done`, `gang=4`
//! begins once so many members are present, and `lasts` goes on until it is stopped.

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Record,
    http::{self, Request},
    json, unix_ms,
};

/// Longest lease (`hold_max_ms`).
const HOLD_MAX_MS: u64 = 10_000;
/// Longest wait of a hold.
const MAX_WAIT_MS: u64 = 2_000;
/// Time that a stop takes, below `stop_timeout_ms`.
const STOP_MS: u64 = 60;
/// Time for which a member of a gang waits for the others (`gang_timeout_ms`).
const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time after which a task that lasts is at work.
const STARTUP: Duration = Duration::from_millis(400);
/// Interval of heartbeats (`heartbeat_ms`).
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// How late an order without an answer is carried out.
const LATE: Duration = Duration::from_secs(2);
/// Most ends in one list.
const MAX_LISTED: usize = 500;
/// Capacity of a worker.
pub const CPU: u64 = 32_000;
const MEM_MB: u64 = 131_072;

/// A start or an end, as a worker saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: Instant,
    pub task: String,
    pub run: u64,
    /// `start`, or how the run ended.
    pub what: &'static str,
}

/// What the workers of a case share.
pub struct Fleet {
    record: Arc<Record>,
    control: Vec<SocketAddr>,
    seen: Mutex<Vec<Seen>>,
    /// Present members of each run of a gang, and the time at which all were present.
    gangs: Mutex<BTreeMap<(String, u64), (usize, Option<Instant>)>>,
}

struct Run {
    began: Instant,
    /// How long the task works; `None` if it lasts.
    work: Option<Duration>,
    /// Members of the gang; 0 if the task is in none.
    gang: usize,
    stop_at: Option<Instant>,
    /// Set by the case: the task ends by its own fault.
    fails: bool,
}

#[derive(Default)]
struct State {
    token: u64,
    lease_until_ms: u64,
    running: BTreeMap<(String, u64), Run>,
    /// Highest run of each task that was stopped or has ended here.
    ended: BTreeMap<String, u64>,
    finished: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
}

pub struct Worker {
    pub id: String,
    address: SocketAddr,
    zone: String,
    service: String,
    born: u64,
    began: Instant,
    fleet: Arc<Fleet>,
    state: Mutex<State>,
    /// While set, the worker is cut off and runs on: nothing arrives in either direction.
    cut: AtomicBool,
    /// Set once the worker drains, and once its machine is gone.
    draining: AtomicBool,
    gone: AtomicBool,
    /// Number of the latest heartbeat.
    sequence: AtomicU64,
    /// Node that acknowledged the latest heartbeat.
    endpoint: Mutex<Option<SocketAddr>>,
    /// Set once nothing that is sent to the worker arrives any more.
    hears_nothing: AtomicBool,
    /// Number of the next starts that get no answer and are carried out late.
    unanswered: AtomicUsize,
}

/// Returns the value of `key=` in the text of a job.
fn parameter(spec: &str, key: &str) -> Option<u64> {
    let mut parts = spec.split(';');
    parts.find_map(|part| part.strip_prefix(key)?.strip_prefix('=')?.parse().ok())
}

impl Fleet {
    pub fn new(control: Vec<SocketAddr>, record: Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            record,
            control,
            seen: Mutex::default(),
            gangs: Mutex::default(),
        })
    }

    /// Returns all starts and ends so far.
    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }

    fn note(&self, worker: &str, (task, run): (&str, u64), what: &'static str) {
        self.record
            .line(&format!("{worker}: {task} run {run}: {what}"));
        self.seen.lock().unwrap().push(Seen {
            at: Instant::now(),
            task: task.to_owned(),
            run,
            what,
        });
    }

    /// Starts a worker that listens at the address that it announces.
    pub fn start(
        self: &Arc<Self>,
        id: &str,
        address: SocketAddr,
        place: (&str, &str),
    ) -> std::io::Result<Arc<Worker>> {
        self.start_behind(id, (address, address), place)
    }

    /// Starts a worker that announces an address and listens at another one, behind a proxy.
    pub fn start_behind(
        self: &Arc<Self>,
        id: &str,
        (address, listens_at): (SocketAddr, SocketAddr),
        (zone, service): (&str, &str),
    ) -> std::io::Result<Arc<Worker>> {
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            address,
            zone: zone.to_owned(),
            service: service.to_owned(),
            born: unix_ms(),
            began: Instant::now(),
            fleet: Arc::clone(self),
            state: Mutex::default(),
            cut: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            gone: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            endpoint: Mutex::default(),
            hears_nothing: AtomicBool::new(false),
            unanswered: AtomicUsize::new(0),
        });
        let called = Arc::clone(&worker);
        http::serve(listens_at, move |request| called.answer(&request))?;
        let beating = Arc::clone(&worker);
        thread::spawn(move || beating.send_heartbeats());
        let working = Arc::clone(&worker);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                working.work(&mut working.state());
            }
        });
        Ok(worker)
    }
}

impl Worker {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// The worker's steady clock, which begins anew with each process.
    fn clock_ms(&self) -> u64 {
        100_000 + self.began.elapsed().as_millis() as u64
    }

    /// Cuts the worker off, or no longer.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }

    /// Lets so many starts get no answer, and carries them out late.
    pub fn leave_unanswered(&self, starts: usize) {
        self.unanswered.store(starts, Ordering::SeqCst);
    }

    /// Says in the next heartbeats that the worker drains.
    pub fn drain(&self) {
        self.fleet.record.line(&format!("{} drains", self.id));
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Sends a heartbeat to the node that acknowledges them, on a connection that stays open.
    pub fn open_connection(&self) -> Option<TcpStream> {
        let to = (*self.endpoint.lock().unwrap())?;
        let stream = TcpStream::connect(to).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        let body = self.heartbeat();
        self.post(&stream, "Heartbeat", &body)?;
        let acknowledged = (&stream).read(&mut [0; 4_096]).ok()? > 0;
        acknowledged.then_some(stream)
    }

    /// Sends the deregistration on an open connection. What comes back is lost, and so is all that is
    /// sent to the worker from here on; it goes on.
    pub fn deregister_unheard(&self, connection: &TcpStream) -> bool {
        self.hears_nothing.store(true, Ordering::SeqCst);
        let body = format!("{{\"born\":{}}}", self.born);
        let sent = self.post(connection, "Deregister", &body).is_some();
        let text = format!(
            "{} has sent its deregistration, and gets no answer",
            self.id
        );
        self.fleet.record.line(&text);
        sent
    }

    fn post(&self, mut connection: &TcpStream, call: &str, body: &str) -> Option<()> {
        let text = format!(
            "POST /acaciareel/Instances.{call}/{} HTTP/1.1\r\nHost: control\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        );
        connection.write_all(text.as_bytes()).ok()
    }

    /// Ends the worker with all that runs on it.
    pub fn end(&self) {
        self.gone.store(true, Ordering::SeqCst);
        self.fleet.record.line(&format!("{} is gone", self.id));
        let mut state = self.state();
        for ((task, run), _) in std::mem::take(&mut state.running) {
            self.fleet
                .note(&self.id, (&task, run), "gone with its worker");
        }
    }

    /// Deregisters the worker, and ends it with all that runs on it; its machine is taken away, so that
    /// nothing answers at its address. Returns whether the deregistration was acknowledged.
    pub fn leave(&self) -> bool {
        let path = format!("/acaciareel/Instances.Deregister/{}", self.id);
        let body = format!("{{\"born\":{}}}", self.born);
        let mut nodes = self.fleet.control.iter();
        let acknowledged = nodes.any(|node| beat(*node, &path, &body).is_some());
        let text = format!("{} has deregistered, acknowledged {acknowledged}", self.id);
        self.fleet.record.line(&text);
        self.end();
        acknowledged
    }

    /// Returns whether a run of a task is here.
    pub fn runs(&self, task: &str) -> bool {
        self.state().running.keys().any(|(t, _)| t == task)
    }

    /// Lets the runs of a task end by its own fault.
    pub fn fail(&self, task: &str) -> bool {
        let mut state = self.state();
        let mut runs = state.running.iter_mut().filter(|((t, _), _)| t == task);
        runs.next().is_some_and(|(_, run)| {
            run.fails = true;
            true
        })
    }

    // ---- heartbeats ----

    /// Returns the next heartbeat.
    fn heartbeat(&self) -> String {
        let draining = self.draining.load(Ordering::SeqCst);
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"{}\",\"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":{CPU},\"mem_mb\":{MEM_MB},\
             \"gpu\":0}},\"labels\":[\"a\",\"r1-1\"],\"clock_ms\":{},\"sequence\":{},\"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            if draining { "draining" } else { "ready" },
            self.clock_ms(),
            self.sequence.fetch_add(1, Ordering::SeqCst) + 1,
            self.born
        )
    }

    fn send_heartbeats(&self) {
        let mut next_node = 0;
        while !self.gone.load(Ordering::SeqCst) {
            let began = Instant::now();
            let body = self.heartbeat();
            let path = format!("/acaciareel/Instances.Heartbeat/{}", self.id);
            // Behind a cut each attempt fails; the worker goes on with the next node.
            for _ in 0..self.fleet.control.len() {
                let order = Ordering::SeqCst;
                if self.cut.load(order) || self.hears_nothing.load(order) {
                    *self.endpoint.lock().unwrap() = None;
                    break;
                }
                let endpoint = *self.endpoint.lock().unwrap();
                let node = self.fleet.control[next_node % self.fleet.control.len()];
                if let Some(named) = beat(endpoint.unwrap_or(node), &path, &body) {
                    *self.endpoint.lock().unwrap() = named.or(endpoint);
                    break;
                }
                *self.endpoint.lock().unwrap() = None;
                next_node += 1;
            }
            thread::sleep(HEARTBEAT.saturating_sub(began.elapsed()));
        }
    }

    // ---- calls ----

    fn answer(&self, request: &Request) -> Option<(u16, String)> {
        if !request.instance.is_empty() && request.instance != self.id {
            return Some((421, "{}".to_owned()));
        }
        self.stay_if_gone();
        if self.cut.load(Ordering::SeqCst) {
            // Lost: the caller has closed the connection long before the end of the cut.
            let began = Instant::now();
            while self.cut.load(Ordering::SeqCst) && began.elapsed() < Duration::from_secs(5) {
                thread::sleep(Duration::from_millis(20));
            }
            return None;
        }
        let is_start = request.path == "/acaciareel/run-start";
        let take_one = |left: usize| left.checked_sub(1);
        let order = Ordering::SeqCst;
        if is_start && self.unanswered.fetch_update(order, order, take_one).is_ok() {
            self.fleet
                .record
                .line(&format!("{}: a start gets no answer", self.id));
            thread::sleep(LATE);
            self.run_start(&request.body);
            return None;
        }
        let reply = match request.path.as_str() {
            "/acaciareel/run-start" => self.run_start(&request.body),
            "/acaciareel/run-stop" => self.run_stop(&request.body),
            "/acaciareel/hold" => self.hold(&request.body),
            _ => (404, "{}".to_owned()),
        };
        self.stay_if_gone();
        Some(reply)
    }

    /// Answers nothing any more once the machine is gone.
    fn stay_if_gone(&self) {
        while self.gone.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_secs(60));
        }
    }

    /// Takes the fencing token of a call. Returns whether the call may do anything.
    fn take_token(state: &mut State, body: &str) -> bool {
        let token = json::number(body, "fencing_token").unwrap_or(0);
        let valid = token >= state.token;
        state.token = state.token.max(token);
        valid
    }

    /// Extends the lease; it never shortens.
    fn take_deadline(&self, state: &mut State, body: &str) {
        let until_ms = json::number(body, "deadline_ms").unwrap_or(0);
        let until_ms = until_ms.min(self.clock_ms() + HOLD_MAX_MS);
        state.lease_until_ms = state.lease_until_ms.max(until_ms);
    }

    fn refuse(&self, task: &str, run: u64, reason: &str) -> (u16, String) {
        let text = format!("{}: {task} run {run}: start refused, {reason}", self.id);
        self.fleet.record.line(&text);
        let clock_ms = self.clock_ms();
        (
            409,
            format!("{{\"clock_ms\":{clock_ms},\"reason\":\"{reason}\"}}"),
        )
    }

    fn run_start(&self, body: &str) -> (u16, String) {
        let (Some(task), Some(run)) = (json::text(body, "task"), json::number(body, "run")) else {
            return (400, "{}".to_owned());
        };
        let spec = json::text(body, "spec").unwrap_or_default();
        let mut state = self.state();
        self.work(&mut state);
        if !Self::take_token(&mut state, body) {
            return self.refuse(task, run, "fence");
        }
        let deadline_ms = json::number(body, "deadline_ms").unwrap_or(0);
        if deadline_ms <= self.clock_ms() {
            return self.refuse(task, run, "late");
        }
        self.take_deadline(&mut state, body);
        if state.ended.get(task).is_some_and(|ended| run <= *ended) {
            return self.refuse(task, run, "old");
        }
        if !state.running.contains_key(&(task.to_owned(), run)) {
            let work = parameter(spec, "ms").map(Duration::from_millis);
            let gang = parameter(spec, "gang").unwrap_or(0) as usize;
            if gang > 0 {
                let mut gangs = self.fleet.gangs.lock().unwrap();
                let present = gangs.entry((step_of(task), run)).or_default();
                present.0 += 1;
                if present.0 == gang {
                    present.1 = Some(Instant::now());
                }
            }
            let begun = Run {
                began: Instant::now(),
                work,
                gang,
                stop_at: None,
                fails: false,
            };
            state.running.insert((task.to_owned(), run), begun);
            self.fleet.note(&self.id, (task, run), "start");
        }
        (200, format!("{{\"clock_ms\":{}}}", self.clock_ms()))
    }

    fn run_stop(&self, body: &str) -> (u16, String) {
        let (Some(task), Some(run)) = (json::text(body, "task"), json::number(body, "run")) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.state();
        if Self::take_token(&mut state, body) {
            let ended = state.ended.entry(task.to_owned()).or_default();
            *ended = run.max(*ended);
            if let Some(run) = state.running.get_mut(&(task.to_owned(), run)) {
                let at = Instant::now() + Duration::from_millis(STOP_MS);
                run.stop_at.get_or_insert(at);
            }
        }
        (200, format!("{{\"clock_ms\":{}}}", self.clock_ms()))
    }

    fn hold(&self, body: &str) -> (u16, String) {
        let wait_ms = json::number(body, "wait_ms").unwrap_or(0).min(MAX_WAIT_MS);
        let mut state = self.state();
        // A lower token changes nothing; the lists are returned nevertheless.
        if Self::take_token(&mut state, body) {
            self.take_deadline(&mut state, body);
            let acknowledged = json::number(body, "ack_cursor").unwrap_or(0);
            state.finished.retain(|(number, ..)| *number > acknowledged);
        }
        drop(state);
        let began = Instant::now();
        let mut state = self.state();
        self.work(&mut state);
        while state.finished.is_empty() && (began.elapsed().as_millis() as u64) < wait_ms {
            drop(state);
            thread::sleep(Duration::from_millis(4));
            state = self.state();
        }
        let running: Vec<String> = state
            .running
            .iter()
            .map(|((task, number), run)| {
                let percent = run.percent();
                format!("[\"{task}\",{number},\"\",{percent},0]")
            })
            .collect();
        let finished = state.finished.iter().take(MAX_LISTED);
        let finished: Vec<String> = finished
            .map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"))
            .collect();
        let text = format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"finished_runs\":[{}]}}",
            self.clock_ms(),
            self.born,
            running.join(","),
            finished.join(",")
        );
        (200, text)
    }

    // ---- runs ----

    /// Ends the runs that are over.
    fn work(&self, state: &mut State) {
        let lapsed = self.clock_ms() > state.lease_until_ms;
        let now = Instant::now();
        let mut ends = Vec::new();
        for ((task, number), run) in &state.running {
            let mut since = Some(run.began);
            let mut how = None;
            if run.gang > 0 {
                let gangs = self.fleet.gangs.lock().unwrap();
                let present = gangs.get(&(step_of(task), *number)).copied();
                since = present.and_then(|(_, all)| all);
                if present.is_none_or(|(count, _)| count < run.gang) {
                    if since.is_some() {
                        how = Some("broken");
                    } else if run.began.elapsed() > GANG_TIMEOUT {
                        how = Some("alone");
                    }
                }
            }
            if let (Some(work), Some(since)) = (run.work, since)
                && since.elapsed() >= work
            {
                how = Some("done");
            }
            if run.fails {
                how = Some("failed");
            }
            if run.stop_at.is_some_and(|at| now >= at) {
                how = Some("stopped");
            }
            if lapsed {
                how = Some("lapsed");
            }
            if let Some(how) = how {
                ends.push((task.clone(), *number, how));
            }
        }
        for (task, run, how) in ends {
            if let Some(ended) = state.running.remove(&(task.clone(), run))
                && ended.gang > 0
                && how != "done"
            {
                let mut gangs = self.fleet.gangs.lock().unwrap();
                if let Some(present) = gangs.get_mut(&(step_of(&task), run)) {
                    present.0 -= 1;
                }
            }
            let last = state.ended.entry(task.clone()).or_default();
            *last = run.max(*last);
            state.next_end += 1;
            let number = state.next_end;
            self.fleet.note(&self.id, (&task, run), how);
            state.finished.push((number, task, run, how));
        }
    }
}

impl Run {
    fn percent(&self) -> u128 {
        let elapsed = self.began.elapsed();
        match self.work {
            Some(work) => (elapsed.as_millis() * 100 / work.as_millis().max(1)).min(100),
            None if elapsed < STARTUP => 0,
            None => 100,
        }
    }
}

/// Returns the name of a task without its position in the step.
fn step_of(task: &str) -> String {
    task.rsplit_once('.')
        .map_or(task, |(step, _)| step)
        .to_owned()
}

/// Sends a heartbeat, and follows two redirects. Returns the endpoint for the next ones, if it was
/// acknowledged within a second.
fn beat(to: SocketAddr, path: &str, body: &str) -> Option<Option<SocketAddr>> {
    let mut to = to;
    for _ in 0..3 {
        let reply = http::call("POST", to, path, "control", body, Duration::from_secs(1))?;
        match (reply.status, reply.location) {
            (307, Some(location)) => {
                to = location
                    .strip_prefix("http://")?
                    .split('/')
                    .next()?
                    .parse()
                    .ok()?;
            }
            (200..300, _) => {
                let named = json::text(&reply.body, "heartbeat_endpoint");
                return Some(named.and_then(|named| named.parse().ok()));
            }
            _ => return None,
        }
    }
    None
}
