//! Fate of running tasks after a change of placer, a worker's restart or its loss.

use acaciareel_scheduler::{Job as QueuedJob, JobId, Placement, TaskOutcome};
use acaciareel_types::{
    FencingToken, Incarnation, Millis, Resources, TaskId, WorkerId, WorkerReport,
};

use super::{
    Location, Owner, Placer, Site, Stage, Task, TaskState, jobs::recorded_job,
    lease::TASKS_ENDED_MS, task_key,
};
use crate::{LedgerRecord, LedgerState, RequestKey, StartedOn, calls::Call};

/// Time without a placer in which no worker stops its tasks: the task lease of 10,000 ms less the
/// longest renewal interval, and less 2,000 ms in which a lost leader still seems to be there.
const ALONE_MS: Millis = Millis(4_000);

impl Placer {
    /// Takes over the records of the ledger.
    pub(super) fn recover_records(&mut self, site: &mut Site<'_, '_>) {
        let Some(ledger) = site.ledger else {
            return;
        };
        if self.mode == super::Mode::Fallback {
            return;
        }
        for (key, record) in ledger.iter() {
            match &record.state {
                LedgerState::Waiting | LedgerState::Running(_) => {
                    self.recover_record(site, key, record);
                }
                LedgerState::Finished { .. } | LedgerState::Lost { .. } => {}
            }
        }
    }

    fn recover_record(&mut self, site: &mut Site<'_, '_>, key: &RequestKey, record: &LedgerRecord) {
        let mut job = Box::new(recorded_job(site, key, record));
        let id = job.id;
        self.by_key.insert(key.clone(), id);
        if let LedgerState::Running(tasks) = &record.state {
            job.stage = Stage::Placed;
            job.tasks = tasks
                .iter()
                .map(|started| recovering_task(site, started))
                .collect();
            for task in &job.tasks {
                self.by_task.insert(task.id.clone(), id);
            }
            self.jobs.insert(id, job);
            return;
        }
        self.requeue(site, job);
    }

    /// Returns the unsettled tasks that run on a worker.
    fn tasks_on(&self, worker: &WorkerId) -> Vec<(JobId, usize, Incarnation)> {
        let mut found = Vec::new();
        for (id, job) in self.jobs.iter() {
            for (index, task) in job.tasks.iter().enumerate() {
                if let Location::Worker {
                    worker: on,
                    incarnation,
                } = &task.location
                    && on == worker
                    && !task.state.settled()
                {
                    found.push((*id, index, *incarnation));
                }
            }
        }
        found
    }

    /// Compares the recorded tasks with a worker's reply to a claim.
    pub(super) fn reconcile(
        &mut self,
        site: &mut Site<'_, '_>,
        call: &Call,
        report: &WorkerReport,
    ) {
        for (id, index, incarnation) in self.tasks_on(&call.worker) {
            // A new incarnation lists the tasks that it has kept.
            if incarnation == report.incarnation || self.lists(&call.worker, id, index) {
                self.reconcile_task(site, call, report, id, index);
            } else {
                // The worker has restarted: what it ran has ended.
                self.fate_unknown(site, id, index);
            }
        }
    }

    fn lists(&self, worker: &WorkerId, id: JobId, index: usize) -> bool {
        let task = self.jobs.get(&id).map(|job| &job.tasks[index].id);
        let listed = self
            .workers
            .get(worker)
            .map(|registered| &registered.listed);
        matches!((task, listed), (Some(task), Some(listed)) if listed.contains(task))
    }

    fn reconcile_task(
        &mut self,
        site: &mut Site<'_, '_>,
        call: &Call,
        report: &WorkerReport,
        id: JobId,
        index: usize,
    ) {
        let Some(registered) = self.workers.get(&call.worker) else {
            return;
        };
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let may_stop = job.may_stop;
        let task = &job.tasks[index];
        let listed = registered.listed.contains(&task.id);
        let fenced = task.token < call.token;
        match task.state {
            TaskState::Recovering | TaskState::Uncertain if listed => {
                self.set_running(site, id, index, call);
                self.adopt(site, id, index, report);
                self.stop_if_cancelled(site, id, index);
            }
            // The worker keeps each result until it is acknowledged, and each acknowledged result
            // is in the ledger. So it never had this task, and refuses it from now on.
            TaskState::Uncertain if fenced => {
                self.never_ran(site, id, index);
                self.settle(site, id);
            }
            TaskState::Recovering if fenced && !may_stop && self.claimed_in_time(call) => {
                self.never_ran(site, id, index);
                self.settle(site, id);
            }
            TaskState::Recovering if fenced => self.fate_unknown(site, id, index),
            TaskState::Running { .. } if listed => {
                self.adopt(site, id, index, report);
            }
            TaskState::Running { accepted_ms } if accepted_ms < call.sent_ms => {
                self.fate_unknown(site, id, index);
            }
            _ => {}
        }
    }

    /// Returns whether a worker cannot have stopped tasks for want of a placer before this claim.
    fn claimed_in_time(&self, call: &Call) -> bool {
        let claimed_ms = call.sent_ms.saturating_sub(self.ready_ms);
        let alone_ms = self.gap_ms.map(|gap_ms| gap_ms.saturating_add(claimed_ms));
        alone_ms.is_some_and(|alone_ms| alone_ms < ALONE_MS)
    }

    fn set_running(&mut self, site: &Site<'_, '_>, id: JobId, index: usize, call: &Call) {
        let accepted_ms = site.now_ms();
        if let Some(task) = self.task_mut(task_key(id, index)) {
            task.state = TaskState::Running { accepted_ms };
            task.token = call.token;
        }
    }

    /// Lets the scheduler hold room for a task that a worker lists as running.
    fn adopt(&mut self, site: &Site<'_, '_>, id: JobId, index: usize, report: &WorkerReport) {
        let key = task_key(id, index);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        // The scheduler adopts whole jobs. The tasks of a gang hold room as reported ones.
        let single = job.tasks.len() == 1;
        let task = &mut job.tasks[index];
        if let Location::Worker { incarnation, .. } = &mut task.location {
            *incarnation = report.incarnation;
        }
        let running = report.running.iter().find(|run| run.task == task.id);
        let Some(running) = running.filter(|_| !task.scheduled && single) else {
            return;
        };
        task.scheduled = true;
        task.reserved = running.reserved;
        let placement = Placement {
            task: key,
            worker: report.worker.clone(),
            reserved: running.reserved,
        };
        let queued = QueuedJob {
            id,
            kind: job.request.kind.clone(),
            tenant: job.request.tenant.clone(),
            deadline_ms: job.deadline_ms,
            earlier_attempts: job.tries,
            accepted: true,
        };
        let id = task.id.clone();
        self.scheduler.adopt(site.now_ms(), queued, vec![placement]);
        self.scheduler.identify_task(key, &id);
    }

    /// Tells the scheduler of a worker. The scheduler knows its own tasks by their identifiers; the
    /// others hold room as the report lists them.
    pub(super) fn report_to_scheduler(&mut self, site: &Site<'_, '_>, report: &WorkerReport) {
        self.scheduler.report_worker(site.now_ms(), report);
        if let Some(registered) = self.workers.get_mut(&report.worker) {
            registered.scheduled = true;
        }
    }

    /// A worker's task lease has run out: what it ran has ended.
    pub(super) fn worker_lost(&mut self, site: &mut Site<'_, '_>, worker: &WorkerId) {
        self.suspend(site, worker);
        self.workers.remove(worker);
        for (id, index, _) in self.tasks_on(worker) {
            self.fate_unknown(site, id, index);
        }
    }

    /// A task has certainly ended, without an answer, and may have run.
    fn fate_unknown(&mut self, site: &mut Site<'_, '_>, id: JobId, index: usize) {
        let state = self.jobs.get(&id).map(|job| job.tasks[index].state);
        match state {
            Some(TaskState::Finishing | TaskState::Committing) | None => return,
            Some(TaskState::Unsent) => self.never_ran(site, id, index),
            Some(_) => {
                let stopped = self
                    .jobs
                    .get(&id)
                    .is_some_and(|job| job.tasks[index].stopped);
                let kind = if stopped {
                    TaskOutcome::Stopped
                } else {
                    TaskOutcome::Lost
                };
                self.end_task(site, id, index, TaskState::Gone, kind);
            }
        }
        self.settle(site, id);
    }

    /// A worker cannot be reached now: idempotent work is run elsewhere at once.
    pub(super) fn tasks_unreachable(&mut self, site: &mut Site<'_, '_>, worker: &WorkerId) {
        for (id, index, _) in self.tasks_on(worker) {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            // The scheduler has forgotten the worker with all its tasks.
            job.tasks[index].scheduled = false;
            if matches!(job.owner, Owner::Direct(_)) {
                self.fate_unknown(site, id, index);
            }
        }
    }

    /// Gives up recorded tasks on workers that never announced themselves to this placer.
    pub(super) fn tick_recovering(&mut self, site: &mut Site<'_, '_>) {
        if site.now_ms().saturating_sub(self.ready_ms) < TASKS_ENDED_MS {
            return;
        }
        let unknown: Vec<(JobId, usize)> = self
            .jobs
            .iter()
            .flat_map(|(id, job)| job.tasks.iter().enumerate().map(|(i, t)| (*id, i, t)))
            .filter(|(_, _, task)| self.is_unclaimed(task))
            .map(|(id, index, _)| (id, index))
            .collect();
        for (id, index) in unknown {
            self.fate_unknown(site, id, index);
        }
    }

    fn is_unclaimed(&self, task: &Task) -> bool {
        match &task.location {
            Location::Worker { worker, .. } => {
                task.state == TaskState::Recovering && !self.workers.contains_key(worker)
            }
            Location::Domain { .. } => false,
        }
    }

    pub(super) fn stop_if_cancelled(&mut self, site: &mut Site<'_, '_>, id: JobId, index: usize) {
        if self.jobs.get(&id).is_some_and(|job| job.may_stop) {
            self.stop_task(site, id, index);
        }
    }
}

fn recovering_task(site: &Site<'_, '_>, started: &crate::StartedTask) -> Task {
    let location = match &started.on {
        StartedOn::Worker {
            worker,
            incarnation,
        } => Location::Worker {
            worker: worker.clone(),
            incarnation: *incarnation,
        },
        StartedOn::Domain(domain) => Location::Domain {
            domain: domain.clone(),
            term: None,
            next_send_ms: site.now_ms(),
        },
    };
    let state = match (&started.answer, &location) {
        (Some(_), _) => TaskState::Answered,
        (None, Location::Worker { .. }) => TaskState::Recovering,
        (None, Location::Domain { .. }) => TaskState::Delegated,
    };
    Task {
        id: started.task.clone(),
        location,
        state,
        reserved: Resources::default(),
        token: FencingToken(0),
        placed_ms: site.now_ms(),
        called_ms: Millis(0),
        scheduled: false,
        stopped: false,
        acks: Vec::new(),
        answer: started.answer.clone(),
    }
}

/// Returns whether a task is listed by some confirmed worker.
pub(super) fn is_listed(placer: &Placer, task: &TaskId) -> bool {
    placer
        .workers
        .values()
        .any(|registered| registered.listed.contains(task))
}
