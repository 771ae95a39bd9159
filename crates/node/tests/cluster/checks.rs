//! Checks of the invariants I1 to I8 of the design page, after every event.

use std::collections::BTreeMap;

use acaciareel_node::{OperatorReply, Reply, TablesReply};
use acaciareel_types::{Verdict, WorkerId};

use crate::worker::{FakeWorker, Run};

/// Request that a caller sent on a connection.
#[derive(Clone, Debug)]
pub struct SentRequest {
    pub body: String,
}

/// Attempts and runs of the requests with one body.
#[derive(Default)]
struct RequestHistory {
    /// Number of attempts that have not been reported as `NotRun`.
    open_attempts: usize,
    /// Indexes of their runs.
    runs: Vec<usize>,
}

#[derive(Default)]
pub struct Checks {
    /// Requests without a verdict, by connection.
    connections: BTreeMap<u64, SentRequest>,
    /// Open attempts and runs of each request, by its body.
    histories: BTreeMap<String, RequestHistory>,
    checked_runs: usize,
    /// Operations of the operators, by connection.
    operations: BTreeMap<u64, String>,
    /// Accepted versions with their operation and the time of the reply in ms.
    accepted: BTreeMap<u64, (String, u64)>,
    pub violations: Vec<String>,
}

impl Checks {
    /// Records a violation unless the condition holds.
    pub fn require(&mut self, holds: bool, text: String) {
        if !holds {
            self.violations.push(text);
        }
    }

    pub fn sent(&mut self, connection: u64, sent: SentRequest) {
        self.histories
            .entry(sent.body.clone())
            .or_default()
            .open_attempts += 1;
        self.connections.insert(connection, sent);
    }

    pub fn operation_sent(&mut self, connection: u64, operation: &str) {
        self.operations.insert(connection, operation.to_owned());
    }

    /// Returns the last accepted version of the tables, or 0.
    pub fn last_version(&self) -> u64 {
        self.accepted.keys().next_back().copied().unwrap_or(0)
    }

    /// Records that a connection broke. After a graceful stop no request may still be open on it
    /// (I7).
    pub fn connection_broken(&mut self, connection: u64, after_stop: bool) {
        let is_open = self.connections.contains_key(&connection);
        let text = format!("I7: {connection} was interrupted by a graceful stop");
        self.require(!(is_open && after_stop), text);
    }

    /// Checks a reply: one operation per accepted version (I8), the answer to the right request
    /// (I3), no run of a request that was reported as `NotRun` (I4).
    pub fn replied(&mut self, now_ms: u64, connection: u64, reply: &Reply, runs: &[Run]) {
        if let Reply::Operator(OperatorReply::Applied(TablesReply::Accepted(version))) = reply {
            let operation = self.operations[&connection].clone();
            let accepted = (operation.clone(), now_ms);
            let first = self.accepted.entry(version.0).or_insert(accepted).clone();
            let text = format!("I8: {operation} and {first:?} are both version {version}");
            self.require(first.0 == operation, text);
        }
        let (Reply::Verdict(verdict), Some(sent)) = (reply, self.connections.remove(&connection))
        else {
            return;
        };
        match verdict {
            Verdict::Ran(answer) => {
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                let expected = format!("answer to {}", sent.body);
                let text = format!("I3: {connection} got {body:?} for {:?}", sent.body);
                let complete = body.lines().all(|line| line == expected) && !body.is_empty();
                self.require(complete || !answer.ok, text);
            }
            Verdict::NotRun { .. } => {
                let history = self.histories.get_mut(&sent.body).expect("sent before");
                history.open_attempts -= 1;
                let ran = runs.iter().any(|run| run.body == sent.body);
                let text = format!("I4: {sent:?} reported {verdict:?} at {now_ms} but ran");
                let holds = history.open_attempts > 0 || !ran;
                self.require(holds, text);
            }
            Verdict::MayHaveRun { .. } => {}
        }
    }

    /// Checks the runs that have started since the last call and collects the workers' violations.
    pub fn check(
        &mut self,
        now_ms: u64,
        runs: &[Run],
        workers: &mut BTreeMap<WorkerId, FakeWorker>,
    ) {
        for index in self.checked_runs..runs.len() {
            self.started(now_ms, index, runs);
        }
        self.checked_runs = runs.len();
        for worker in workers.values_mut() {
            self.violations.append(&mut worker.violations);
        }
    }

    /// Checks a started run: an attempt is open (I4), an exclusive request has no other run at the
    /// same time (I2; a gang has four tasks), a `once` request has no earlier run (I5).
    fn started(&mut self, now_ms: u64, index: usize, runs: &[Run]) {
        let run = &runs[index];
        let history = self.histories.entry(run.body.clone()).or_default();
        let earlier = std::mem::take(&mut history.runs);
        let open_attempts = history.open_attempts;
        let text = format!("I4: {run:?} started after every attempt was reported as not run");
        self.require(open_attempts > 0, text);
        if run.exclusive {
            let running = earlier
                .iter()
                .filter(|i| runs[**i].end_ms.is_none_or(|end| end > now_ms));
            let limit = if run.body.contains("gang") { 4 } else { 1 };
            let text = format!("I2: {run:?} started while another run continues");
            self.require(running.count() < limit, text);
        }
        if run.body.contains("once") {
            self.require(earlier.is_empty(), format!("I5: {run:?} ran twice"));
        }
        let history = self.histories.entry(run.body.clone()).or_default();
        history.runs = earlier;
        history.runs.push(index);
    }

    /// Checks that accepted changes are in force on connected VMs 6 s after the reply (I8).
    pub fn check_tables_in_force(&mut self, now_ms: u64, connected: &[(u32, u64)]) {
        let due: Vec<u64> = self
            .accepted
            .iter()
            .filter(|(_, (_, at_ms))| now_ms >= at_ms + 6_000 && now_ms < at_ms + 6_010)
            .map(|(version, _)| *version)
            .collect();
        for version in due {
            for (vm, in_force) in connected {
                let text = format!("I8: {vm} has version {in_force} 6 s after {version}");
                self.require(*in_force >= version, text);
            }
        }
    }
}
