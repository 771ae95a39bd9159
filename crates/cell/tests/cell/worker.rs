//! A stand-in worker: leases, fencing, run numbers, ends with a cursor.

use std::collections::{BTreeMap, BTreeSet};

use acaciareel_cell::{
    Demand, RenewalReport, ReportedRun, RunCompletion, RunKey, RunOutcome, StartRefusal, TaskKey,
    WorkerRecord, WorkerReply, WorkerRequest,
};

/// Longest lease.
pub const LEASE_MS: u64 = 6_000;

/// A run under way.
#[derive(Clone, Debug)]
pub struct Running {
    pub demand: Demand,
    pub left_ms: u64,
    pub total_ms: u64,
    /// Members that must be present; 1 for a task by itself.
    pub gang: u32,
}

/// A worker.
#[derive(Debug)]
pub struct Worker {
    pub record: WorkerRecord,
    pub alive: bool,
    /// Whether every run fails at once.
    pub fails: bool,
    /// Whether runs make no progress.
    pub stalls: bool,
    clock_offset_ms: u64,
    token: u64,
    pub lease_until_ms: u64,
    pub running: BTreeMap<RunKey, Running>,
    ended: BTreeMap<TaskKey, u32>,
    ends: Vec<(u64, RunCompletion)>,
    next_end: u64,
    /// Tasks whose end `done` was acknowledged here.
    pub done_noted: BTreeSet<TaskKey>,
}

impl Worker {
    pub fn new(record: WorkerRecord) -> Self {
        Self {
            clock_offset_ms: 1_000 + record.incarnation_started_ms % 977,
            record,
            alive: true,
            fails: false,
            stalls: false,
            token: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            ends: Vec::new(),
            next_end: 1,
            done_noted: BTreeSet::new(),
        }
    }

    pub fn clock_ms(&self, now_ms: u64) -> u64 {
        now_ms + self.clock_offset_ms
    }

    /// Starts a new life under the same id.
    pub fn restart(&mut self, now_ms: u64) {
        let mut record = self.record.clone();
        record.incarnation_started_ms += now_ms + 1;
        *self = Self::new(record);
    }

    fn end(&mut self, run: RunKey, outcome: RunOutcome) {
        self.running.remove(&run);
        let highest = self.ended.entry(run.task).or_default();
        *highest = (*highest).max(run.run);
        let end = RunCompletion {
            run,
            outcome,
            checkpoint: String::new(),
        };
        self.ends.push((self.next_end, end));
        self.next_end += 1;
    }

    /// Lets time pass; returns the runs that have worked to their end.
    pub fn advance(
        &mut self,
        now_ms: u64,
        step_ms: u64,
        ready: impl Fn(&RunKey) -> bool,
    ) -> Vec<RunKey> {
        if !self.alive {
            return Vec::new();
        }
        if self.clock_ms(now_ms) > self.lease_until_ms {
            for run in self.running.keys().copied().collect::<Vec<_>>() {
                self.end(run, RunOutcome::Interrupted);
            }
        }
        if self.fails {
            for run in self.running.keys().copied().collect::<Vec<_>>() {
                self.end(run, RunOutcome::Failed);
            }
        }
        let mut over = Vec::new();
        for (key, run) in &mut self.running {
            if !self.stalls && ready(key) {
                run.left_ms = run.left_ms.saturating_sub(step_ms);
            }
            if run.left_ms == 0 {
                over.push(*key);
            }
        }
        over
    }

    pub fn finish(&mut self, run: RunKey) {
        if self.running.contains_key(&run) {
            self.end(run, RunOutcome::Done);
        }
    }

    pub fn has_ends(&self) -> bool {
        !self.ends.is_empty()
    }

    pub fn used(&self) -> Demand {
        let mut left = Demand {
            cpu_millicores: u32::MAX,
            memory_mib: u32::MAX,
            accelerators: u32::MAX,
        };
        for run in self.running.values() {
            left = left.minus(&run.demand, 1);
        }
        Demand {
            cpu_millicores: u32::MAX - left.cpu_millicores,
            memory_mib: u32::MAX - left.memory_mib,
            accelerators: u32::MAX - left.accelerators,
        }
    }

    /// Carries out an order. `new_run` describes the run of a start.
    pub fn order(
        &mut self,
        now_ms: u64,
        request: &WorkerRequest,
        new_run: Option<Running>,
    ) -> WorkerReply {
        let clock_ms = self.clock_ms(now_ms);
        let longest_ms = clock_ms + LEASE_MS;
        match request {
            WorkerRequest::Start {
                run,
                lease_until_ms,
                token,
                ..
            } => {
                if *token < self.token {
                    return WorkerReply::Refused(StartRefusal::Fenced);
                }
                self.token = *token;
                self.lease_until_ms = self.lease_until_ms.max((*lease_until_ms).min(longest_ms));
                if self.running.contains_key(run) {
                    return WorkerReply::Started {
                        clock_ms: Some(clock_ms),
                    };
                }
                if self
                    .ended
                    .get(&run.task)
                    .is_some_and(|last| *last >= run.run)
                {
                    return WorkerReply::Refused(StartRefusal::Old);
                }
                if *lease_until_ms <= clock_ms {
                    return WorkerReply::Refused(StartRefusal::Late);
                }
                if let Some(new) = new_run {
                    self.running.insert(*run, new);
                }
                WorkerReply::Started {
                    clock_ms: Some(clock_ms),
                }
            }
            WorkerRequest::Stop { run, token } => {
                if *token >= self.token {
                    self.token = *token;
                    if self.running.contains_key(run) {
                        self.end(*run, RunOutcome::Interrupted);
                    } else {
                        let highest = self.ended.entry(run.task).or_default();
                        *highest = (*highest).max(run.run);
                    }
                }
                WorkerReply::Stopped
            }
            WorkerRequest::Renew {
                lease_until_ms,
                token,
                acknowledged,
                ..
            } => {
                if *token < self.token {
                    return WorkerReply::NoReply;
                }
                self.token = *token;
                if let Some(until_ms) = lease_until_ms {
                    self.lease_until_ms = self.lease_until_ms.max((*until_ms).min(longest_ms));
                }
                for (_, end) in self.ends.extract_if(.., |(n, _)| *n <= *acknowledged) {
                    if end.outcome == RunOutcome::Done {
                        self.done_noted.insert(end.run.task);
                    }
                }
                WorkerReply::Renewed(self.report(now_ms))
            }
        }
    }

    pub fn report(&self, now_ms: u64) -> RenewalReport {
        let running = self.running.iter().map(|(run, state)| ReportedRun {
            run: *run,
            checkpoint: String::new(),
            percent: u32::try_from(100 - 100 * state.left_ms / state.total_ms.max(1))
                .unwrap_or(100),
        });
        RenewalReport {
            clock_ms: self.clock_ms(now_ms),
            incarnation_started_ms: Some(self.record.incarnation_started_ms),
            running: running.collect(),
            completions: self.ends.clone(),
        }
    }
}
