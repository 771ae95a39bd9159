//! Invariants I1 to I8 of the design page, checked after every event.

use std::collections::BTreeMap;

use acaciareel_node::{OperatorReply, Reply, TablesReply};
use acaciareel_types::{Verdict, WorkerId};

use crate::worker::{FakeWorker, Run};

/// What a caller sent on a connection.
#[derive(Clone, Debug)]
pub struct Sent {
    pub body: String,
}

#[derive(Default)]
struct Key {
    /// Connections whose request was not reported as `NotRun`.
    open: usize,
    runs: Vec<usize>,
}

#[derive(Default)]
pub struct Checks {
    connections: BTreeMap<u64, Sent>,
    keys: BTreeMap<String, Key>,
    seen_runs: usize,
    operations: BTreeMap<u64, String>,
    /// Accepted versions with the operation and the time of the answer.
    accepted: BTreeMap<u64, (String, u64)>,
    pub violations: Vec<String>,
}

impl Checks {
    pub fn require(&mut self, holds: bool, text: String) {
        if !holds {
            self.violations.push(text);
        }
    }

    pub fn sent(&mut self, connection: u64, sent: Sent) {
        self.keys.entry(sent.body.clone()).or_default().open += 1;
        self.connections.insert(connection, sent);
    }

    pub fn applying(&mut self, connection: u64, operation: &str) {
        self.operations.insert(connection, operation.to_owned());
    }

    pub fn last_version(&self) -> u64 {
        self.accepted.keys().next_back().copied().unwrap_or(0)
    }

    /// A connection broke. After a graceful stop no request may be waiting.
    pub fn broken(&mut self, connection: u64, after_stop: bool) {
        let waiting = self.connections.contains_key(&connection);
        let text = format!("I7: {connection} was interrupted by a graceful stop");
        self.require(!(waiting && after_stop), text);
    }

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
                let key = self.keys.get_mut(&sent.body).expect("sent before");
                key.open -= 1;
                let ran = runs.iter().any(|run| run.body == sent.body);
                let text = format!("I4: {sent:?} reported {verdict:?} at {now_ms} but ran");
                let holds = key.open > 0 || !ran;
                self.require(holds, text);
            }
            Verdict::MayHaveRun { .. } => {}
        }
    }

    pub fn check(
        &mut self,
        now_ms: u64,
        runs: &[Run],
        workers: &mut BTreeMap<WorkerId, FakeWorker>,
    ) {
        for index in self.seen_runs..runs.len() {
            self.started(now_ms, index, runs);
        }
        self.seen_runs = runs.len();
        for worker in workers.values_mut() {
            self.violations.append(&mut worker.violations);
        }
    }

    fn started(&mut self, now_ms: u64, index: usize, runs: &[Run]) {
        let run = &runs[index];
        let key = self.keys.entry(run.body.clone()).or_default();
        let earlier = std::mem::take(&mut key.runs);
        let open = key.open;
        let text = format!("I4: {run:?} started after every attempt was reported as not run");
        self.require(open > 0, text);
        if run.exclusive {
            let open = earlier
                .iter()
                .filter(|i| runs[**i].end_ms.is_none_or(|end| end > now_ms));
            let limit = if run.body.contains("gang") { 4 } else { 1 };
            let text = format!("I2: {run:?} while it runs elsewhere");
            self.require(open.count() < limit, text);
        }
        if run.body.contains("once") {
            self.require(earlier.is_empty(), format!("I5: {run:?} ran twice"));
        }
        let key = self.keys.entry(run.body.clone()).or_default();
        key.runs = earlier;
        key.runs.push(index);
    }

    /// Checks accepted changes 6 s after their answer on connected VMs.
    pub fn tables_in_force(&mut self, now_ms: u64, connected: &[(u32, u64)]) {
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
