//! Simulated worker: it grants leases to placers, checks its capacity, enforces the task lease and
//! keeps results until they are acknowledged.

use std::collections::BTreeMap;

use acaciareel_node::{WorkerCall, WorkerReply};
use acaciareel_types::{
    Answer, FencingToken, Incarnation, Resources, RunningTask, TaskId, VmId, WorkerReport,
};

/// Time after which a process that a task has crashed starts again.
const RESTART_MS: u64 = 2_000;
/// Time since the last contact with a placer after which a worker stops its exclusive tasks.
const TASK_LEASE_MS: u64 = 10_000;

/// One execution of a request's body, recorded for the checks.
#[derive(Clone, Debug)]
pub struct Run {
    pub body: String,
    pub worker: String,
    pub exclusive: bool,
    pub start_ms: u64,
    /// `None` while it runs.
    pub end_ms: Option<u64>,
}

struct Task {
    /// Index into the recorded runs.
    run_index: usize,
    body: Vec<u8>,
    reserved: Resources,
    end_ms: u64,
    exclusive: bool,
}

#[expect(
    clippy::struct_excessive_bools,
    reason = "independent faults of one simulated worker"
)]
pub struct FakeWorker {
    pub report: WorkerReport,
    /// VM that last took the lease.
    lease_holder: Option<VmId>,
    lease_until_ms: u64,
    /// Time of the last accepted lease, start, stop or checkpoint call.
    last_contact_ms: u64,
    running: BTreeMap<TaskId, Task>,
    /// Results that no VM has confirmed as recorded.
    pub unacknowledged: BTreeMap<TaskId, Answer>,
    /// Whether the process is running.
    pub up: bool,
    /// When the process starts again after a task has crashed it.
    pub restart_at_ms: Option<u64>,
    /// Time at which a VM first confirmed an announcement with `leaving`.
    pub leaving_confirmed_ms: Option<u64>,
    pub next_announce_ms: u64,
    pub next_post_ms: u64,
    /// Index of the VM to use next, while results are being retried.
    pub retry_vm_index: Option<usize>,
    /// Whether calls arrive but their replies are lost.
    pub loses_replies: bool,
    /// Whether its machine has failed: calls get neither a reply nor an error.
    pub unresponsive: bool,
    /// Whether it keeps running without a connection to any VM in either direction.
    pub isolated: bool,
    /// VM through which it sends announcements and results, instead of a random one.
    pub announces_through: Option<u32>,
    pub violations: Vec<String>,
    /// State in the last full report, with its sequence number; `None` after each change of the
    /// tasks.
    last_full_report: Option<(ReportedState, u64)>,
}

/// Token, `leaving`, running tasks, unacknowledged results.
type ReportedState = (FencingToken, bool, Vec<TaskId>, Vec<TaskId>);

impl FakeWorker {
    pub fn new(report: WorkerReport, now_ms: u64) -> Self {
        Self {
            report,
            lease_holder: None,
            lease_until_ms: 0,
            last_contact_ms: now_ms,
            running: BTreeMap::new(),
            unacknowledged: BTreeMap::new(),
            up: true,
            restart_at_ms: None,
            leaving_confirmed_ms: None,
            next_announce_ms: now_ms,
            next_post_ms: now_ms,
            retry_vm_index: None,
            loses_replies: false,
            unresponsive: false,
            isolated: false,
            announces_through: None,
            violations: Vec::new(),
            last_full_report: None,
        }
    }

    /// Stops the worker; its running tasks end without results.
    pub fn crash(&mut self, now_ms: u64, runs: &mut [Run]) {
        for task in std::mem::take(&mut self.running).into_values() {
            runs[task.run_index].end_ms = Some(now_ms);
        }
        self.up = false;
    }

    /// Restarts the worker with a new incarnation, without tasks, results and lease.
    pub fn restart(&mut self, now_ms: u64, runs: &mut [Run]) {
        self.crash(now_ms, runs);
        self.unacknowledged.clear();
        self.report.incarnation = Incarnation(self.report.incarnation.0 + 1);
        self.report.token = FencingToken(0);
        self.report.leaving = false;
        self.leaving_confirmed_ms = None;
        (self.lease_holder, self.lease_until_ms) = (None, 0);
        (self.last_contact_ms, self.next_announce_ms) = (now_ms, now_ms);
        self.up = true;
        self.restart_at_ms = None;
    }

    /// Returns a full report with the next sequence number.
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

    /// Executes a call. Starts, stops and checkpoints need the current token.
    pub fn call(&mut self, now_ms: u64, request: WorkerCall, runs: &mut Vec<Run>) -> WorkerReply {
        match request {
            WorkerCall::Lease {
                token,
                holder,
                ttl_ms,
            } => self.lease(now_ms, token, holder, ttl_ms.0),
            WorkerCall::Start { token, .. } if token != self.report.token => self.stale_token(),
            WorkerCall::Start { .. } => self.start(now_ms, request, runs),
            WorkerCall::Stop { token, .. } | WorkerCall::Checkpoint { token, .. }
                if token != self.report.token =>
            {
                self.stale_token()
            }
            WorkerCall::Stop { task, .. } | WorkerCall::Checkpoint { task, .. } => {
                self.last_contact_ms = now_ms;
                self.stop(now_ms, &task, runs);
                WorkerReply::Accepted
            }
            WorkerCall::Throttle { .. } => WorkerReply::Accepted,
        }
    }

    fn stale_token(&self) -> WorkerReply {
        WorkerReply::StaleToken(self.report.token)
    }

    /// Grants or renews a lease. A token with a higher term wins at once; otherwise a new token
    /// needs the same holder or an expired lease. A renewal without changes gets no report.
    fn lease(&mut self, now_ms: u64, token: FencingToken, holder: VmId, ttl: u64) -> WorkerReply {
        let current = self.report.token;
        let renewed = token == current && self.lease_holder == Some(holder);
        let free = now_ms >= self.lease_until_ms || self.lease_holder == Some(holder);
        if !(token.0 >> 16 > current.0 >> 16 || (token > current && free) || renewed) {
            return self.stale_token();
        }
        self.report.token = token;
        self.lease_holder = Some(holder);
        self.lease_until_ms = now_ms + ttl;
        self.last_contact_ms = now_ms;
        let state = (
            token,
            self.report.leaving,
            self.running.keys().cloned().collect(),
            self.unacknowledged.keys().cloned().collect(),
        );
        if let Some((reported, sequence)) = &self.last_full_report
            && renewed
            && *reported == state
        {
            return WorkerReply::Renewed {
                sequence: *sequence,
            };
        }
        let report = self.current_report();
        let unacknowledged = state.3.clone();
        self.last_full_report = Some((state, report.sequence));
        WorkerReply::Leased {
            report,
            unacknowledged,
        }
    }

    /// Starts a task. Reports a violation if the worker is full (I1) or if a VM has confirmed for
    /// more than 2 s that the worker is leaving (I6).
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
        self.last_contact_ms = now_ms;
        if self
            .leaving_confirmed_ms
            .is_some_and(|at| now_ms > at + 2_000)
        {
            let text = format!("I6: {task} sent at {now_ms} to a leaving worker");
            self.violations.push(text);
        }
        if self.report.leaving {
            return WorkerReply::Leaving;
        }
        if self.running.contains_key(&task) || self.unacknowledged.contains_key(&task) {
            return WorkerReply::Accepted;
        }
        let reserved_by_tasks = self.running.values().map(|running| running.reserved);
        let required = reserved_by_tasks.fold(reserved, |sum, task| sum.plus(&task));
        if !required.fits_in(&self.report.capacity) {
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
            run_index: runs.len() - 1,
            body: body.to_vec(),
            reserved,
            end_ms: now_ms + run_ms,
            exclusive,
        };
        self.last_full_report = None;
        self.running.insert(task, running);
        WorkerReply::Accepted
    }

    /// Stops a task without a result.
    fn stop(&mut self, now_ms: u64, task: &TaskId, runs: &mut [Run]) {
        self.last_full_report = None;
        if let Some(ended) = self.running.remove(task) {
            runs[ended.run_index].end_ms = Some(now_ms);
        }
    }

    /// Completes a task; its result is due for posting at once.
    fn end(&mut self, now_ms: u64, task: &TaskId, ok: bool, body: &[u8], runs: &mut [Run]) {
        let Some(ended) = self.running.remove(task) else {
            return;
        };
        runs[ended.run_index].end_ms = Some(now_ms);
        let body = body.into();
        self.unacknowledged
            .insert(task.clone(), Answer { ok, body });
        self.next_post_ms = now_ms;
    }

    /// Completes the tasks whose run time has passed; one with `crash` in its body ends the process
    /// instead, which starts again later. If the task lease has expired, stops
    /// exclusive tasks and begins a new incarnation: in the old one, a placer would conclude from
    /// their absence that they never ran.
    pub fn tick(&mut self, now_ms: u64, runs: &mut [Run]) {
        let done = self
            .running
            .iter()
            .filter(|(_, task)| now_ms >= task.end_ms);
        for task in done.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            let body = self.running[&task].body.clone();
            if String::from_utf8_lossy(&body).contains("crash") {
                self.crash(now_ms, runs);
                self.restart_at_ms = Some(now_ms + RESTART_MS);
                return;
            }
            let answer = [b"answer to ".as_slice(), &body].concat();
            self.end(now_ms, &task, true, &answer, runs);
        }
        if now_ms < self.last_contact_ms + TASK_LEASE_MS {
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
