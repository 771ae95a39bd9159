//! Stand-in for a worker: leases, capacity, task lease, results kept until acknowledged.

use std::collections::BTreeMap;

use acaciareel_node::{WorkerCall, WorkerReply};
use acaciareel_types::{
    Answer, FencingToken, Incarnation, Resources, RunningTask, TaskId, VmId, WorkerReport,
};

/// Time without a placer after which a worker stops its exclusive tasks.
const TASK_LEASE_MS: u64 = 10_000;

/// One run of a request's body, for the checks.
#[derive(Clone, Debug)]
pub struct Run {
    pub body: String,
    pub worker: String,
    pub exclusive: bool,
    pub start_ms: u64,
    pub end_ms: Option<u64>,
}

struct Task {
    run: usize,
    body: Vec<u8>,
    reserved: Resources,
    end_ms: u64,
    exclusive: bool,
}

#[expect(
    clippy::struct_excessive_bools,
    reason = "independent faults of one stand-in"
)]
pub struct FakeWorker {
    pub report: WorkerReport,
    holder: Option<VmId>,
    lease_until_ms: u64,
    heard_ms: u64,
    running: BTreeMap<TaskId, Task>,
    pub unacknowledged: BTreeMap<TaskId, Answer>,
    pub up: bool,
    /// Time at which some VM has confirmed the announcement of leaving.
    pub leaving_known_ms: Option<u64>,
    pub next_announce_ms: u64,
    pub next_post_ms: u64,
    /// Turn of the next entry VM while results are not recorded.
    pub turn: Option<usize>,
    /// Whether calls arrive but replies are lost.
    pub mute: bool,
    /// Whether its VM has failed: calls get no reply at all.
    pub dead: bool,
    /// Whether it runs on without reaching any VM, or being reached.
    pub isolated: bool,
    /// VM that it announces itself through, instead of any.
    pub announces_through: Option<u32>,
    pub violations: Vec<String>,
    /// What the last full report said, with its sequence.
    told: Option<(Told, u64)>,
}

/// Token, leaving, running tasks, unacknowledged results.
type Told = (FencingToken, bool, Vec<TaskId>, Vec<TaskId>);

impl FakeWorker {
    pub fn new(report: WorkerReport, now_ms: u64) -> Self {
        Self {
            report,
            holder: None,
            lease_until_ms: 0,
            heard_ms: now_ms,
            running: BTreeMap::new(),
            unacknowledged: BTreeMap::new(),
            up: true,
            leaving_known_ms: None,
            next_announce_ms: now_ms,
            next_post_ms: now_ms,
            turn: None,
            mute: false,
            dead: false,
            isolated: false,
            announces_through: None,
            violations: Vec::new(),
            told: None,
        }
    }

    /// Ends all tasks without a trace.
    pub fn crash(&mut self, now_ms: u64, runs: &mut [Run]) {
        for task in std::mem::take(&mut self.running).into_values() {
            runs[task.run].end_ms = Some(now_ms);
        }
        self.up = false;
    }

    pub fn restart(&mut self, now_ms: u64, runs: &mut [Run]) {
        self.crash(now_ms, runs);
        self.unacknowledged.clear();
        self.report.incarnation = Incarnation(self.report.incarnation.0 + 1);
        self.report.token = FencingToken(0);
        self.report.leaving = false;
        self.leaving_known_ms = None;
        (self.holder, self.lease_until_ms) = (None, 0);
        (self.heard_ms, self.next_announce_ms) = (now_ms, now_ms);
        self.up = true;
    }

    pub fn current_report(&mut self) -> WorkerReport {
        self.report.sequence += 1;
        self.report.running = self
            .running
            .iter()
            .map(|(task, running)| RunningTask {
                task: task.clone(),
                reserved: running.reserved,
                used: running.reserved,
            })
            .collect();
        self.report.clone()
    }

    pub fn call(&mut self, now_ms: u64, request: WorkerCall, runs: &mut Vec<Run>) -> WorkerReply {
        match request {
            WorkerCall::Lease {
                token,
                holder,
                ttl_ms,
            } => self.lease(now_ms, token, holder, ttl_ms.0),
            WorkerCall::Start { token, .. } if token != self.report.token => self.stale(),
            WorkerCall::Start { .. } => self.start(now_ms, request, runs),
            WorkerCall::Stop { token, .. } | WorkerCall::Checkpoint { token, .. }
                if token != self.report.token =>
            {
                self.stale()
            }
            WorkerCall::Stop { task, .. } | WorkerCall::Checkpoint { task, .. } => {
                self.heard_ms = now_ms;
                self.stop(now_ms, &task, runs);
                WorkerReply::Accepted
            }
            WorkerCall::Throttle { .. } => WorkerReply::Accepted,
        }
    }

    fn stale(&self) -> WorkerReply {
        WorkerReply::StaleToken(self.report.token)
    }

    fn lease(&mut self, now_ms: u64, token: FencingToken, holder: VmId, ttl: u64) -> WorkerReply {
        let held = self.report.token;
        let renewed = token == held && self.holder == Some(holder);
        let free = now_ms >= self.lease_until_ms || self.holder == Some(holder);
        if !(token.0 >> 16 > held.0 >> 16 || (token > held && free) || renewed) {
            return self.stale();
        }
        self.report.token = token;
        self.holder = Some(holder);
        self.lease_until_ms = now_ms + ttl;
        self.heard_ms = now_ms;
        let state = (
            token,
            self.report.leaving,
            self.running.keys().cloned().collect(),
            self.unacknowledged.keys().cloned().collect(),
        );
        if let Some((told, sequence)) = &self.told
            && renewed
            && *told == state
        {
            return WorkerReply::Renewed {
                sequence: *sequence,
            };
        }
        let report = self.current_report();
        let unacknowledged = state.3.clone();
        self.told = Some((state, report.sequence));
        WorkerReply::Leased {
            report,
            unacknowledged,
        }
    }

    fn start(&mut self, now_ms: u64, request: WorkerCall, runs: &mut Vec<Run>) -> WorkerReply {
        let WorkerCall::Start {
            task,
            reserved,
            exclusive,
            body,
            ..
        } = request
        else {
            unreachable!("only starts arrive here");
        };
        self.heard_ms = now_ms;
        if self.leaving_known_ms.is_some_and(|at| now_ms > at + 2_000) {
            let text = format!("I6: {task} sent at {now_ms} to a leaving worker");
            self.violations.push(text);
        }
        if self.report.leaving {
            return WorkerReply::Leaving;
        }
        if self.running.contains_key(&task) || self.unacknowledged.contains_key(&task) {
            return WorkerReply::Accepted;
        }
        let held = self.running.values().map(|running| running.reserved);
        let wanted = held.fold(reserved, |sum, held| sum.plus(&held));
        if !wanted.fits_in(&self.report.capacity) {
            let worker = &self.report.worker;
            let text = format!("I1: {task} assigned to full {worker} at {now_ms}");
            self.violations.push(text);
            return WorkerReply::NoCapacity;
        }
        let text = String::from_utf8_lossy(&body).into_owned();
        let run_ms = run_time_ms(&text);
        runs.push(Run {
            body: text,
            worker: self.report.worker.to_string(),
            exclusive,
            start_ms: now_ms,
            end_ms: None,
        });
        let running = Task {
            run: runs.len() - 1,
            body: body.to_vec(),
            reserved,
            end_ms: now_ms + run_ms,
            exclusive,
        };
        self.told = None;
        self.running.insert(task, running);
        WorkerReply::Accepted
    }

    /// Ends a task without an answer.
    fn stop(&mut self, now_ms: u64, task: &TaskId, runs: &mut [Run]) {
        self.told = None;
        if let Some(ended) = self.running.remove(task) {
            runs[ended.run].end_ms = Some(now_ms);
        }
    }

    fn end(&mut self, now_ms: u64, task: &TaskId, ok: bool, body: &[u8], runs: &mut [Run]) {
        let Some(ended) = self.running.remove(task) else {
            return;
        };
        runs[ended.run].end_ms = Some(now_ms);
        let body = body.into();
        self.unacknowledged
            .insert(task.clone(), Answer { ok, body });
        self.next_post_ms = now_ms;
    }

    /// Ends tasks that are done. When no placer was heard for too long, exclusive ones are stopped
    /// and a new incarnation begins, so that no placer takes them for tasks that never ran.
    pub fn tick(&mut self, now_ms: u64, runs: &mut [Run]) {
        let done = self
            .running
            .iter()
            .filter(|(_, task)| now_ms >= task.end_ms);
        for task in done.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            let body = self.running[&task].body.clone();
            let answer = [b"answer to ".as_slice(), &body].concat();
            self.end(now_ms, &task, true, &answer, runs);
        }
        if now_ms < self.heard_ms + TASK_LEASE_MS {
            return;
        }
        let exclusive = self.running.iter().filter(|(_, task)| task.exclusive);
        let stopped: Vec<TaskId> = exclusive.map(|(id, _)| id.clone()).collect();
        for task in &stopped {
            self.stop(now_ms, task, runs);
        }
        if !stopped.is_empty() {
            self.report.incarnation = Incarnation(self.report.incarnation.0 + 1);
            self.next_announce_ms = now_ms;
        }
    }

    pub fn running(&self) -> usize {
        self.running.len()
    }
}

/// Reads the run time from a body such as `key-7 run=250`.
fn run_time_ms(body: &str) -> u64 {
    let (_, run) = body.rsplit_once("run=").unwrap_or(("", "50"));
    run.parse().unwrap_or(50)
}
