//! Stand-in worker after PROTOCOL.md: heartbeats, leases, fencing tokens, run numbers, ends that are
//! acknowledged by a cursor and listed 500 at a time. It does not guard its capacity.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Client, Message, Server},
    json::{Json, quoted},
    record::Record,
    site::site,
};

/// Most ends in one response.
const MAX_LISTED_ENDS: usize = 500;
/// Time between two heartbeats (`heartbeat_ms`).
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Time within which a heartbeat must be acknowledged.
const ACK_LIMIT: Duration = Duration::from_secs(1);

struct Run {
    began: Instant,
    work: Duration,
}

struct State {
    token: u64,
    lease_until_ms: u64,
    running: BTreeMap<(String, u64), Run>,
    /// Highest run of each task that was stopped or has ended here.
    past: HashMap<String, u64>,
    /// Ends that are not acknowledged: number, task, run, outcome.
    ends: VecDeque<(u64, String, u64, &'static str)>,
    last_end: u64,
}

/// How a worker starts.
#[derive(Clone)]
pub struct Setup {
    pub id: String,
    pub service: String,
    /// Address on which the worker listens.
    pub listen: SocketAddr,
    /// Address that the worker announces; that of a proxy, if there is one.
    pub announced: SocketAddr,
    pub zone: String,
    pub labels: Vec<String>,
    /// Time that a call to the worker and its response take on their way, each.
    pub link_delay: Duration,
    /// Addresses of the control VMs as the worker reaches them, each with the real one.
    pub control: Vec<(SocketAddr, SocketAddr)>,
}

/// One life of a worker.
pub struct Worker {
    pub setup: Setup,
    pub born: u64,
    clock: Instant,
    state: Mutex<State>,
    changed: Condvar,
    /// Whether the process has ended.
    ended: AtomicBool,
    draining: AtomicBool,
    /// Whether the latest heartbeat said `draining` and was acknowledged.
    pub drain_acked: AtomicBool,
    server: Mutex<Option<Server>>,
    /// Job of which the next start is held up on its way to the worker, and that start.
    late_start: Mutex<(Option<String>, Option<Message>)>,
    /// Client of the control VM that acknowledged the latest heartbeat.
    home: Mutex<Option<Client>>,
    record: Arc<Record>,
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// Reads `work=MS` and `spread=MS` from a job's text; the spread differs between tasks.
fn work_of(spec: &str, task: &str) -> Duration {
    let field = |name: &str| {
        let value = spec.split(' ').find_map(|word| word.strip_prefix(name));
        value.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0)
    };
    let hash = task.bytes().fold(17_u64, |hash, byte| {
        hash.wrapping_mul(1_099_511_628_211) ^ u64::from(byte)
    });
    let spread = field("spread=");
    Duration::from_millis(field("work=") + if spread > 0 { hash % spread } else { 0 })
}

impl Worker {
    /// Starts a life of a worker: its server, its tasks and its heartbeats.
    pub fn start(setup: Setup, record: &Arc<Record>) -> Arc<Self> {
        let worker = Arc::new(Self {
            born: unix_ms(),
            clock: Instant::now(),
            state: Mutex::new(State {
                token: 0,
                lease_until_ms: 0,
                running: BTreeMap::new(),
                past: HashMap::new(),
                ends: VecDeque::new(),
                last_end: 0,
            }),
            changed: Condvar::new(),
            ended: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            drain_acked: AtomicBool::new(false),
            server: Mutex::new(None),
            late_start: Mutex::default(),
            home: Mutex::new(None),
            record: record.clone(),
            setup,
        });
        record.add("worker", &worker.setup.id, worker.born, "begins");
        let served = worker.clone();
        let handler = move |request| served.respond(&request);
        let mut server = Server::start(worker.setup.listen, handler);
        // A port may be in use for a moment after the life before.
        for _ in 0..50 {
            if server.is_ok() {
                break;
            }
            thread::sleep(Duration::from_millis(20));
            let served = worker.clone();
            server = Server::start(worker.setup.listen, move |request| served.respond(&request));
        }
        *worker.server.lock().unwrap() = Some(server.expect("address of a worker"));
        let working = worker.clone();
        thread::spawn(move || {
            while !working.has_ended() {
                working.work();
                thread::sleep(Duration::from_millis(2));
            }
        });
        let announcing = worker.clone();
        thread::spawn(move || announcing.announce());
        worker
    }

    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    /// Time on the worker's clock, which starts at 5,000 ms.
    fn clock_ms(&self) -> u64 {
        5_000 + self.clock.elapsed().as_millis() as u64
    }

    /// Ends the process: everything that runs ends with it, and nothing is told.
    pub fn crash(&self) {
        if self.ended.swap(true, Ordering::Relaxed) {
            return;
        }
        if let Some(server) = self.server.lock().unwrap().take() {
            server.stop();
        }
        let mut state = self.state.lock().unwrap();
        for ((task, run), _) in std::mem::take(&mut state.running) {
            self.record
                .add("end", &task, run, &format!("lost {}", self.setup.id));
        }
        self.record
            .add("worker", &self.setup.id, self.born, "is gone");
        self.changed.notify_all();
    }

    /// Announces from now on that the worker drains.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Returns the tasks that run.
    pub fn running(&self) -> Vec<String> {
        let state = self.state.lock().unwrap();
        state.running.keys().map(|(task, _)| task.clone()).collect()
    }

    // ---- tasks ----

    fn end(&self, state: &mut State, task: &str, run: u64, how: &'static str) {
        state.running.remove(&(task.to_owned(), run));
        let past = state.past.entry(task.to_owned()).or_default();
        *past = run.max(*past);
        state.last_end += 1;
        state
            .ends
            .push_back((state.last_end, task.to_owned(), run, how));
        self.record
            .add("end", task, run, &format!("{how} {}", self.setup.id));
        self.changed.notify_all();
    }

    /// Ends the runs that are done, or all if the lease is over.
    fn work(&self) {
        let mut state = self.state.lock().unwrap();
        let lapsed = self.clock_ms() > state.lease_until_ms;
        let due: Vec<(String, u64)> = state
            .running
            .iter()
            .filter(|(_, run)| lapsed || run.began.elapsed() >= run.work)
            .map(|(key, _)| key.clone())
            .collect();
        for (task, run) in due {
            self.end(
                &mut state,
                &task,
                run,
                if lapsed { "lapsed" } else { "done" },
            );
        }
    }

    // ---- calls to the worker ----

    fn respond(&self, request: &Message) -> (u16, String) {
        thread::sleep(self.setup.link_delay);
        if self.is_held_up(request) {
            thread::sleep(Duration::from_secs(5));
            return (0, String::new());
        }
        let response = self.carry_out(request);
        thread::sleep(self.setup.link_delay);
        response
    }

    /// Holds the next start of a job's task up on its way: it gets no response, and is carried out late.
    pub fn hold_start_up(&self, job: &str) {
        self.late_start.lock().unwrap().0 = Some(job.to_owned());
    }

    /// Returns the start that was held up.
    pub fn held_up_start(&self) -> Option<Message> {
        self.late_start.lock().unwrap().1.clone()
    }

    fn is_held_up(&self, request: &Message) -> bool {
        let mut late_start = self.late_start.lock().unwrap();
        let is_chosen = request.path == "/acaciareel/run-start"
            && late_start
                .0
                .as_ref()
                .is_some_and(|job| request.body.contains(job));
        if is_chosen {
            self.record.add("held up", &self.setup.id, 0, &request.body);
            *late_start = (None, Some(request.clone()));
        }
        is_chosen
    }

    /// Carries out a call, in time or late.
    pub fn carry_out(&self, request: &Message) -> (u16, String) {
        let wanted = request.header("expected-instance");
        if !wanted.is_empty() && wanted != self.setup.id {
            return (421, "{}".to_owned());
        }
        let Some(body) = Json::parse(&request.body) else {
            return (400, "{}".to_owned());
        };
        match request.path.as_str() {
            "/acaciareel/run-start" => self.run_start(&body),
            "/acaciareel/run-stop" => self.run_stop(&body),
            "/acaciareel/hold" => self.hold(&body),
            "/healthz" => (200, "{}".to_owned()),
            _ => (404, "{}".to_owned()),
        }
    }

    fn refuse(&self, reason: &str) -> (u16, String) {
        let clock_ms = self.clock_ms();
        let body = format!("{{\"clock_ms\":{clock_ms},\"reason\":\"{reason}\"}}");
        (409, body)
    }

    fn confirm(&self) -> (u16, String) {
        (200, format!("{{\"clock_ms\":{}}}", self.clock_ms()))
    }

    /// Takes the fencing token; returns whether it is high enough.
    fn take_token(state: &mut State, body: &Json) -> bool {
        let token = body.get("fencing_token").number().unwrap_or(0);
        let enough = token >= state.token;
        state.token = token.max(state.token);
        enough
    }

    fn take_lease(&self, state: &mut State, body: &Json) {
        if let Some(until_ms) = body.get("deadline_ms").number() {
            let until_ms = until_ms.min(self.clock_ms() + site().hold_max_ms);
            state.lease_until_ms = until_ms.max(state.lease_until_ms);
        }
    }

    fn run_start(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        if !Self::take_token(&mut state, body) {
            return self.refuse("fence");
        }
        let task = body.get("task").text().to_owned();
        let run = body.get("run").number().unwrap_or(0);
        if task.is_empty() || run == 0 {
            return (400, "{}".to_owned());
        }
        self.take_lease(&mut state, body);
        if state.running.contains_key(&(task.clone(), run)) {
            return self.confirm();
        }
        if state.past.get(&task).is_some_and(|past| *past >= run) {
            return self.refuse("old");
        }
        if self.clock_ms() >= state.lease_until_ms {
            return self.refuse("late");
        }
        if self.has_ended() {
            return (503, "{}".to_owned());
        }
        let work = work_of(body.get("spec").text(), &task);
        self.record.add("start", &task, run, &self.setup.id);
        let began = Instant::now();
        state.running.insert((task, run), Run { began, work });
        self.confirm()
    }

    fn run_stop(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        if !Self::take_token(&mut state, body) {
            return self.refuse("fence");
        }
        let task = body.get("task").text().to_owned();
        let run = body.get("run").number().unwrap_or(0);
        if state.running.contains_key(&(task.clone(), run)) {
            self.end(&mut state, &task, run, "stopped");
        } else {
            let past = state.past.entry(task).or_default();
            *past = run.max(*past);
        }
        self.confirm()
    }

    fn hold(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        if !Self::take_token(&mut state, body) {
            return self.refuse("fence");
        }
        self.take_lease(&mut state, body);
        let cursor = body.get("ack_cursor").number().unwrap_or(0);
        while let Some((number, task, run, how)) = state.ends.front().cloned() {
            if number > cursor {
                break;
            }
            self.record
                .add("noted", &task, run, &format!("{how} {}", self.setup.id));
            state.ends.pop_front();
        }
        let wait_ms = body.get("wait_ms").number().unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        while state.ends.is_empty() && !self.has_ended() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let running = state.running.iter().map(|((task, run), state)| {
            let percent = state.began.elapsed().as_millis() * 100 / state.work.as_millis().max(1);
            format!("[{},{run},\"\",{},100]", quoted(task), percent.min(100))
        });
        let running: Vec<String> = running.collect();
        let ends = state.ends.iter().take(MAX_LISTED_ENDS);
        let ends = ends.map(|(number, task, run, how)| {
            format!("[{number},{},{run},\"{how}\",\"\"]", quoted(task))
        });
        let ends: Vec<String> = ends.collect();
        if state.ends.len() > MAX_LISTED_ENDS {
            let id = &self.setup.id;
            self.record.add(
                "listed",
                id,
                ends.len() as u64,
                &format!("of {}", state.ends.len()),
            );
        }
        let body = format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"finished_runs\":[{}]}}",
            self.clock_ms(),
            self.born,
            running.join(","),
            ends.join(",")
        );
        (200, body)
    }

    // ---- calls of the worker ----

    fn about(&self, sequence: u64) -> String {
        let setup = &self.setup;
        let state = if self.draining.load(Ordering::Relaxed) {
            "draining"
        } else {
            "ready"
        };
        let labels: Vec<String> = setup.labels.iter().map(|label| quoted(label)).collect();
        format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\
             \"capacity\":{{\"cpu\":32000,\"mem_mb\":131072,\"gpu\":0}},\"labels\":[{}],\
             \"clock_ms\":{},\"sequence\":{sequence},\"born\":{}}}",
            quoted(&setup.service),
            setup.announced,
            quoted(&setup.zone),
            labels.join(","),
            self.clock_ms(),
            self.born
        )
    }

    /// Returns the address by which the worker reaches a control VM.
    fn reach(&self, real: SocketAddr) -> SocketAddr {
        let known = self.setup.control.iter().find(|(_, other)| *other == real);
        known.map_or(real, |(reached, _)| *reached)
    }

    /// Makes a call: on the open connection first, then to each control VM in turn; follows a
    /// redirection twice. Returns whether it was acknowledged.
    fn say(&self, path: &str, body: &str) -> bool {
        let mut targets: Vec<Option<SocketAddr>> = vec![None];
        targets.extend(self.setup.control.iter().map(|(reached, _)| Some(*reached)));
        for target in targets {
            let kept = self.home.lock().unwrap().take();
            let mut client = match (target, kept) {
                (None, Some(client)) => client,
                (None, None) => continue,
                (Some(address), _) => Client::new(address),
            };
            for _ in 0..3 {
                if self.has_ended() {
                    return false;
                }
                let response = client.call("POST", path, "", body, ACK_LIMIT);
                let Some(response) = response else { break };
                if response.status == 307 {
                    let location = response.header("location").to_owned();
                    let host = location.trim_start_matches("http://").split('/').next();
                    let real = host.and_then(|host| host.parse().ok());
                    let Some(real) = real else { break };
                    client = Client::new(self.reach(real));
                    continue;
                }
                if (200..300).contains(&response.status) {
                    *self.home.lock().unwrap() = Some(client);
                    return true;
                }
                break;
            }
        }
        false
    }

    fn announce(&self) {
        for sequence in 1.. {
            if self.has_ended() {
                return;
            }
            let draining = self.draining.load(Ordering::Relaxed);
            let path = format!("/acaciareel/Instances.Heartbeat/{}", self.setup.id);
            let acked = self.say(&path, &self.about(sequence));
            let state = if draining { "draining" } else { "ready" };
            let text = format!("{state} {}", if acked { "acked" } else { "not acked" });
            self.record
                .add("heartbeat", &self.setup.id, sequence, &text);
            if acked && draining {
                self.drain_acked.store(true, Ordering::Relaxed);
                return;
            }
            let began = Instant::now();
            while began.elapsed() < HEARTBEAT {
                if self.has_ended() || self.draining.load(Ordering::Relaxed) != draining {
                    break;
                }
                thread::sleep(Duration::from_millis(20));
            }
        }
    }

    /// Says that the worker ends. Returns whether that was acknowledged.
    pub fn deregister(&self) -> bool {
        let path = format!("/acaciareel/Instances.Deregister/{}", self.setup.id);
        self.record
            .add("deregister", &self.setup.id, self.born, "is sent");
        let acked = self.say(&path, &self.about(1_000_000));
        let text = if acked {
            "is acknowledged"
        } else {
            "has no acknowledgement"
        };
        self.record
            .add("deregister", &self.setup.id, self.born, text);
        acked
    }
}
