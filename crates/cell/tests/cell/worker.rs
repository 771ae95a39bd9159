//! A simulated worker with leases, fencing tokens, run numbers and acknowledged completions.

use std::collections::{BTreeMap, BTreeSet};

use acaciareel_cell::{
    ControlRequest, Demand, Deregistration, RenewalReport, ReportedRun, RunCompletion, RunKey,
    RunOutcome, StartRefusal, TaskKey, WorkerRecord, WorkerReply, WorkerRequest,
};

/// Longest lease that the worker grants.
pub const LEASE_MS: u64 = 6_000;
/// Most completions in one report (bound of the platform).
const MAX_LISTED: usize = 500;

/// A run on the worker.
#[derive(Clone, Debug)]
pub struct Running {
    pub demand: Demand,
    /// Whether the processor share does not count against the worker's capacity.
    pub uses_spare_cpu: bool,
    pub remaining_ms: u64,
    pub total_ms: u64,
    /// Work after which the run reports 100 percent; it may have more to do.
    pub reported_ms: u64,
    /// Number of members that must run at the same time to make progress; 1 for a task without a
    /// gang.
    pub gang_size: u32,
    /// Checkpoint that the run reports; empty if it saves none.
    pub checkpoint: String,
    /// Whether the run goes on at 100 percent after its work, the startup, is done.
    pub is_service: bool,
    pub started_ms: u64,
    /// Whether all members of the gang have been running at the same time.
    pub was_complete: bool,
}

impl Running {
    fn percent(&self) -> u32 {
        let done_ms = self.total_ms - self.remaining_ms;
        let left_ms = u128::from(self.reported_ms.saturating_sub(done_ms));
        let left = 100 * left_ms / u128::from(self.reported_ms.max(1));
        u32::try_from(100 - left).unwrap_or(100)
    }
}

/// State and faults of a worker.
#[derive(Debug)]
pub struct Worker {
    pub record: WorkerRecord,
    pub alive: bool,
    /// Fault: every run fails at once.
    pub fails: bool,
    /// Fault: runs make no progress.
    pub stalls: bool,
    /// Work done in a second, in milliseconds of a worker of usual speed.
    pub speed_permille: u64,
    /// Work of less than a millisecond that is carried over, in microseconds.
    carried_us: u64,
    /// Time from the order to stop a run to its end.
    pub stop_ms: u64,
    /// Runs that are being stopped, with the time of their end.
    stopping: BTreeMap<RunKey, u64>,
    /// Fault: starts are refused with this reason and have no effect.
    pub refusal: Option<StartRefusal>,
    clock_offset_ms: u64,
    /// Time of the last restart, from which the clock counts.
    clock_started_ms: u64,
    token: u64,
    pub lease_until_ms: u64,
    pub running: BTreeMap<RunKey, Running>,
    last_ended_run: BTreeMap<TaskKey, u32>,
    completions: Vec<(u64, RunCompletion)>,
    /// Most completions in one report.
    pub max_listed: usize,
    next_completion: u64,
    /// Tasks of which a completion with [`RunOutcome::Done`] was listed in a report, and when first.
    pub listed_done: BTreeMap<TaskKey, u64>,
    /// Tasks whose completion with [`RunOutcome::Done`] was acknowledged to this worker.
    pub acknowledged_done: BTreeSet<TaskKey>,
    /// Earlier capacities, each with the time until which starts may still use it.
    earlier_capacities: Vec<(u64, Demand)>,
}

/// Time after a change of the capacity from which every start must keep to the new one: a heartbeat
/// and `contact_ms` (rule LIMIT of the users).
const CAPACITY_GRACE_MS: u64 = 1_500 + 3_000;
/// Time for which a run waits for the other members of its gang (`gang_timeout_ms` of the users'
/// large deployments).
const GANG_TIMEOUT_MS: u64 = 4_000;

impl Worker {
    pub fn new(record: WorkerRecord) -> Self {
        Self {
            clock_offset_ms: 1_000 + record.incarnation_started_ms % 977,
            clock_started_ms: 0,
            record,
            alive: true,
            fails: false,
            stalls: false,
            speed_permille: 1_000,
            carried_us: 0,
            stop_ms: 0,
            stopping: BTreeMap::new(),
            refusal: None,
            token: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            last_ended_run: BTreeMap::new(),
            completions: Vec::new(),
            max_listed: MAX_LISTED,
            next_completion: 1,
            listed_done: BTreeMap::new(),
            acknowledged_done: BTreeSet::new(),
            earlier_capacities: Vec::new(),
        }
    }

    /// Changes the capacity, which the next heartbeat announces.
    pub fn set_capacity(&mut self, now_ms: u64, capacity: Demand) {
        let until_ms = now_ms + CAPACITY_GRACE_MS;
        self.earlier_capacities
            .push((until_ms, self.record.capacity));
        self.record.capacity = capacity;
    }

    /// Returns the most of each resource that starts may use now.
    pub fn usable_capacity(&self, now_ms: u64) -> Demand {
        let earlier = self.earlier_capacities.iter();
        let usable = earlier.filter(|(until_ms, _)| now_ms < *until_ms);
        usable.fold(self.record.capacity, |most, (_, earlier)| Demand {
            cpu_millicores: most.cpu_millicores.max(earlier.cpu_millicores),
            memory_mib: most.memory_mib.max(earlier.memory_mib),
            accelerators: most.accelerators.max(earlier.accelerators),
        })
    }

    pub fn clock_ms(&self, now_ms: u64) -> u64 {
        now_ms - self.clock_started_ms + self.clock_offset_ms
    }

    /// Returns the notice that this incarnation ends.
    pub fn deregistration(&self) -> ControlRequest {
        ControlRequest::Deregister(Deregistration {
            worker_id: self.record.id.clone(),
            incarnation_started_ms: Some(self.record.incarnation_started_ms),
            repeats: None,
        })
    }

    /// Starts a new incarnation under the same id, with a clock that starts anew.
    pub fn restart(&mut self, now_ms: u64) {
        let mut record = self.record.clone();
        record.incarnation_started_ms += now_ms + 1;
        *self = Self {
            clock_started_ms: now_ms,
            ..Self::new(record)
        };
    }

    fn complete(&mut self, run: RunKey, outcome: RunOutcome) {
        let ended = self.running.remove(&run);
        self.stopping.remove(&run);
        let highest = self.last_ended_run.entry(run.task).or_default();
        *highest = (*highest).max(run.run);
        let completion = RunCompletion {
            run,
            outcome,
            checkpoint: ended.map_or_else(String::new, |ended| ended.checkpoint),
        };
        self.completions.push((self.next_completion, completion));
        self.next_completion += 1;
    }

    /// Advances time by one step and returns the runs that have done all their work. Runs whose
    /// lease is over are interrupted.
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
                self.complete(run, RunOutcome::Interrupted);
            }
        }
        let stopping = self.stopping.iter();
        let stopped = stopping.filter(|(_, end_ms)| now_ms >= **end_ms);
        for run in stopped.map(|(run, _)| *run).collect::<Vec<_>>() {
            self.complete(run, RunOutcome::Interrupted);
        }
        if self.fails {
            self.fail_runs(|_| true);
        }
        self.carried_us += step_ms * self.speed_permille;
        let work_ms = self.carried_us / 1_000;
        self.carried_us %= 1_000;
        let mut finished = Vec::new();
        for (key, run) in &mut self.running {
            if !self.stalls && ready(key) {
                run.remaining_ms = run.remaining_ms.saturating_sub(work_ms);
            }
            if run.remaining_ms == 0 && !run.is_service {
                finished.push(*key);
            }
        }
        finished
    }

    /// Ends the runs that have waited for too long for the other members of their gang, and returns
    /// them.
    pub fn end_lone_members(
        &mut self,
        now_ms: u64,
        is_complete: impl Fn(&RunKey, u32) -> bool,
    ) -> Vec<RunKey> {
        let mut timed_out = Vec::new();
        for (key, run) in &mut self.running {
            run.was_complete |= is_complete(key, run.gang_size);
            if !run.was_complete && now_ms >= run.started_ms + GANG_TIMEOUT_MS {
                timed_out.push(*key);
            }
        }
        for run in &timed_out {
            self.complete(*run, RunOutcome::Interrupted);
        }
        timed_out
    }

    pub fn finish(&mut self, run: RunKey) {
        if self.running.contains_key(&run) {
            self.complete(run, RunOutcome::Done);
        }
    }

    /// Ends a run with a failure of its own.
    pub fn fail(&mut self, run: RunKey) {
        if self.running.contains_key(&run) {
            self.complete(run, RunOutcome::Failed);
        }
    }

    /// Ends the selected runs with failures, and returns them.
    pub fn fail_runs(&mut self, is_selected: impl Fn(&RunKey) -> bool) -> Vec<RunKey> {
        let running = self.running.keys().copied();
        let failing: Vec<RunKey> = running.filter(is_selected).collect();
        for run in &failing {
            self.fail(*run);
        }
        failing
    }

    pub fn has_completions(&self) -> bool {
        !self.completions.is_empty()
    }

    /// Returns what the runs take of the capacity.
    pub fn used(&self) -> Demand {
        let mut left = Demand {
            cpu_millicores: u32::MAX,
            memory_mib: u32::MAX,
            accelerators: u32::MAX,
        };
        for run in self.running.values() {
            let cpu_millicores = if run.uses_spare_cpu {
                0
            } else {
                run.demand.cpu_millicores
            };
            let counted = Demand {
                cpu_millicores,
                ..run.demand
            };
            left = left.minus(&counted, 1);
        }
        Demand {
            cpu_millicores: u32::MAX - left.cpu_millicores,
            memory_mib: u32::MAX - left.memory_mib,
            accelerators: u32::MAX - left.accelerators,
        }
    }

    /// Executes a command. `new_run` describes the run of a start.
    pub fn execute(
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
                if let Some(refusal) = self.refusal {
                    return WorkerReply::Refused(refusal);
                }
                self.token = *token;
                self.lease_until_ms = self.lease_until_ms.max((*lease_until_ms).min(longest_ms));
                if self.running.contains_key(run) {
                    return WorkerReply::Started {
                        clock_ms: Some(clock_ms),
                    };
                }
                if self
                    .last_ended_run
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
                    if self.running.contains_key(run) && self.stop_ms > 0 {
                        let end_ms = now_ms + self.stop_ms;
                        self.stopping.entry(*run).or_insert(end_ms);
                    } else if self.running.contains_key(run) {
                        self.complete(*run, RunOutcome::Interrupted);
                    } else {
                        let highest = self.last_ended_run.entry(run.task).or_default();
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
                for (_, completion) in self
                    .completions
                    .extract_if(.., |(n, _)| *n <= *acknowledged)
                {
                    if completion.outcome == RunOutcome::Done {
                        self.acknowledged_done.insert(completion.run.task);
                    }
                }
                WorkerReply::Renewed(self.report(now_ms))
            }
        }
    }

    pub fn report(&mut self, now_ms: u64) -> RenewalReport {
        let listed: Vec<_> = self
            .completions
            .iter()
            .take(self.max_listed)
            .cloned()
            .collect();
        for (_, completion) in &listed {
            if completion.outcome == RunOutcome::Done {
                let task = completion.run.task;
                self.listed_done.entry(task).or_insert(now_ms);
            }
        }
        let running = self.running.iter().map(|(run, state)| ReportedRun {
            run: *run,
            checkpoint: state.checkpoint.clone(),
            percent: state.percent(),
        });
        RenewalReport {
            clock_ms: self.clock_ms(now_ms),
            incarnation_started_ms: Some(self.record.incarnation_started_ms),
            running: running.collect(),
            lists_all_completions: listed.len() < self.max_listed,
            completions: listed,
        }
    }
}
