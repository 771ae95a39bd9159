//! Stand-ins for workers: leases, running tasks, results kept until acknowledged.

use std::collections::BTreeMap;

use acaciareel_node::{WorkerCall, WorkerReply};
use acaciareel_types::{
    FailureDomain, FencingToken, Incarnation, Resources, RunningTask, TaskId, VmId, WorkerReport,
};

/// A worker that obeys each call at once.
#[derive(Debug)]
pub struct FakeWorker {
    report: WorkerReport,
    holder: Option<VmId>,
    lease_until_ms: u64,
    running: BTreeMap<TaskId, Resources>,
    /// Ended tasks whose results are not acknowledged.
    pub unacknowledged: Vec<TaskId>,
    /// Token, tasks and results of the last full report, with its sequence.
    told: Option<(FencingToken, Vec<TaskId>, Vec<TaskId>, u64)>,
    renewals: u32,
}

/// Every so many renewals, a full report renews the usage of tasks that run for long.
const FULL_REPORT_EVERY: u32 = 15;

/// Returns the name of a failure domain.
pub fn domain(index: u32) -> FailureDomain {
    format!("region-{}-{index}", index % 4)
        .parse()
        .expect("valid domain")
}

impl FakeWorker {
    /// Creates an idle worker; eight share a rack.
    pub fn new(of: u32, number: u32, slots: u32) -> Self {
        let mut capacity = Resources::default();
        capacity.slots.0 = slots;
        capacity.connections.0 = 60;
        capacity.cpu_millicores.0 = 30_000;
        capacity.memory_bytes.0 = 130 << 30;
        capacity.accelerators.0 = 1;
        let report = WorkerReport {
            worker: format!("worker-{of}-{number:04}").parse().expect("worker"),
            incarnation: Incarnation(1),
            sequence: 0,
            address: format!("10.{of}.{}.{}:7100", number / 250, number % 250 + 1)
                .parse()
                .expect("address"),
            failure_domain: domain(of),
            rack: format!("rack-{of}-{}", number / 8).parse().expect("rack"),
            group: "general".parse().expect("group"),
            capacity,
            running: Vec::new(),
            token: FencingToken(0),
            leaving: false,
        };
        Self {
            report,
            holder: None,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            unacknowledged: Vec::new(),
            told: None,
            renewals: number % FULL_REPORT_EVERY,
        }
    }

    /// Returns the report that the worker sends now.
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

    /// Carries out a call.
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
                self.told = None;
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

    fn lease(&mut self, now_ms: u64, token: FencingToken, holder: VmId, ttl: u64) -> WorkerReply {
        let held = self.report.token;
        let free = now_ms >= self.lease_until_ms || self.holder == Some(holder);
        let renewed = token == held && self.holder == Some(holder);
        if !(token.0 >> 16 > held.0 >> 16 || (token > held && free) || renewed) {
            return WorkerReply::StaleToken(held);
        }
        self.report.token = token;
        self.holder = Some(holder);
        self.lease_until_ms = now_ms + ttl;
        self.renewals += 1;
        if let Some((told, running, results, sequence)) = &self.told
            && *told == token
            && running.iter().eq(self.running.keys())
            && *results == self.unacknowledged
            && !self.renewals.is_multiple_of(FULL_REPORT_EVERY)
        {
            return WorkerReply::Renewed {
                sequence: *sequence,
            };
        }
        let report = self.report();
        let running = self.running.keys().cloned().collect();
        let results = self.unacknowledged.clone();
        self.told = Some((token, running, results, report.sequence));
        WorkerReply::Leased {
            report,
            unacknowledged: self.unacknowledged.clone(),
        }
    }

    /// Ends a task; returns whether it ran.
    pub fn end(&mut self, task: &TaskId) -> bool {
        let ran = self.running.remove(task).is_some();
        if ran {
            self.told = None;
            self.unacknowledged.push(task.clone());
        }
        ran
    }
}
