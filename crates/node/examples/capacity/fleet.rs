//! Simulated workers: they grant leases, run tasks and keep results until they are acknowledged.

use std::collections::BTreeMap;

use acaciareel_node::{WorkerCall, WorkerReply};
use acaciareel_types::{
    FailureDomain, FencingToken, Incarnation, Resources, RunningTask, TaskId, VmId, WorkerReport,
};

/// Simulated worker that executes each call without delay.
#[derive(Debug)]
pub struct FakeWorker {
    report: WorkerReport,
    /// VM that last took the lease.
    lease_holder: Option<VmId>,
    lease_until_ms: u64,
    running: BTreeMap<TaskId, Resources>,
    /// Completed tasks whose results are not acknowledged.
    pub unacknowledged: Vec<TaskId>,
    /// Token, running tasks, unacknowledged results and sequence number of the last full report;
    /// `None` after each change of the tasks.
    last_full_report: Option<(FencingToken, Vec<TaskId>, Vec<TaskId>, u64)>,
    renewals: u32,
}

/// A full report after this many renewals refreshes the usage of long-running tasks.
const RENEWALS_PER_FULL_REPORT: u32 = 15;

/// Returns the name of a failure domain.
pub fn domain(index: u32) -> FailureDomain {
    format!("region-{}-{index}", index % 4)
        .parse()
        .expect("valid domain")
}

impl FakeWorker {
    /// Creates an idle worker; eight workers of a domain share a rack.
    pub fn new(domain_index: u32, number: u32, slots: u32) -> Self {
        let mut capacity = Resources::default();
        capacity.slots.0 = slots;
        capacity.connections.0 = 60;
        capacity.cpu_millicores.0 = 30_000;
        capacity.memory_bytes.0 = 130 << 30;
        capacity.accelerators.0 = 1;
        let report = WorkerReport {
            worker: format!("worker-{domain_index}-{number:04}")
                .parse()
                .expect("worker"),
            incarnation: Incarnation(1),
            sequence: 0,
            address: format!(
                "10.{domain_index}.{}.{}:7100",
                number / 250,
                number % 250 + 1
            )
            .parse()
            .expect("address"),
            failure_domain: domain(domain_index),
            rack: format!("rack-{domain_index}-{}", number / 8)
                .parse()
                .expect("rack"),
            group: "general".parse().expect("group"),
            capacity,
            running: Vec::new(),
            token: FencingToken(0),
            leaving: false,
        };
        Self {
            report,
            lease_holder: None,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            unacknowledged: Vec::new(),
            last_full_report: None,
            renewals: number % RENEWALS_PER_FULL_REPORT,
        }
    }

    /// Returns a full report with the next sequence number.
    pub fn report(&mut self) -> WorkerReport {
        self.report.sequence += 1;
        self.report.running = self
            .running
            .iter()
            .map(|(task, reserved)| RunningTask {
                task: task.clone(),
                reserved: *reserved,
                used: *reserved,
            })
            .collect();
        self.report.clone()
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Executes a call. Starts need the current token.
    pub fn call(&mut self, now_ms: u64, call: WorkerCall) -> WorkerReply {
        match call {
            WorkerCall::Lease {
                token,
                holder,
                ttl_ms,
            } => self.lease(now_ms, token, holder, ttl_ms.0),
            WorkerCall::Start { token, .. } if token != self.report.token => {
                WorkerReply::StaleToken(self.report.token)
            }
            WorkerCall::Start { task, reserved, .. } => {
                self.last_full_report = None;
                self.running.insert(task, reserved);
                WorkerReply::Accepted
            }
            WorkerCall::Stop { task, .. } | WorkerCall::Checkpoint { task, .. } => {
                self.end(&task);
                WorkerReply::Accepted
            }
            WorkerCall::Throttle { .. } => WorkerReply::Accepted,
        }
    }

    /// Grants or renews a lease. A token with a higher term wins at once; otherwise a newer token
    /// needs the same holder or an expired lease. Most renewals without changes get no report.
    fn lease(&mut self, now_ms: u64, token: FencingToken, holder: VmId, ttl: u64) -> WorkerReply {
        let current = self.report.token;
        let free = now_ms >= self.lease_until_ms || self.lease_holder == Some(holder);
        let renewed = token == current && self.lease_holder == Some(holder);
        if !(token.0 >> 16 > current.0 >> 16 || (token > current && free) || renewed) {
            return WorkerReply::StaleToken(current);
        }
        self.report.token = token;
        self.lease_holder = Some(holder);
        self.lease_until_ms = now_ms + ttl;
        self.renewals += 1;
        if let Some((reported_token, running, results, sequence)) = &self.last_full_report
            && *reported_token == token
            && running.iter().eq(self.running.keys())
            && *results == self.unacknowledged
            && !self.renewals.is_multiple_of(RENEWALS_PER_FULL_REPORT)
        {
            return WorkerReply::Renewed {
                sequence: *sequence,
            };
        }
        let report = self.report();
        let running = self.running.keys().cloned().collect();
        let results = self.unacknowledged.clone();
        self.last_full_report = Some((token, running, results, report.sequence));
        WorkerReply::Leased {
            report,
            unacknowledged: self.unacknowledged.clone(),
        }
    }

    /// Completes a task; returns false if it was not running.
    pub fn end(&mut self, task: &TaskId) -> bool {
        let ran = self.running.remove(task).is_some();
        if ran {
            self.last_full_report = None;
            self.unacknowledged.push(task.clone());
        }
        ran
    }
}
