//! Recovery of running tasks after a change of placer, or after the restart or loss of a worker.

use acaciareel_scheduler::{Job as QueuedJob, JobId, Placement, TaskOutcome};
use acaciareel_types::{
    FencingToken, Incarnation, Millis, Resources, TaskId, WorkerId, WorkerReport,
};

use super::{
    Location, Owner, Placer, PlacerContext, Stage, Task, TaskState, jobs::recorded_job,
    lease::TASKS_ENDED_MS, task_key,
};
use crate::{LedgerRecord, LedgerState, RequestKey, StartedOn, calls::Call};

/// Longest time without a placer in which certainly no worker stops its tasks: the task lease of
/// 10,000 ms less the longest renewal interval, and less 2,000 ms in which a lost leader still
/// counts as present.
const TASKS_SURVIVE_MS: Millis = Millis(4_000);

impl Placer {
    /// Creates jobs for the waiting and running records of the ledger.
    pub(super) fn recover_records(&mut self, ctx: &mut PlacerContext<'_, '_>) {
        let Some(ledger) = ctx.ledger else {
            return;
        };
        if self.mode == super::Mode::Fallback {
            return;
        }
        for (key, record) in ledger.iter() {
            match &record.state {
                LedgerState::Waiting | LedgerState::Running(_) => {
                    self.recover_record(ctx, key, record);
                }
                LedgerState::Finished { .. } | LedgerState::Lost { .. } => {}
            }
        }
    }

    fn recover_record(
        &mut self,
        ctx: &mut PlacerContext<'_, '_>,
        key: &RequestKey,
        record: &LedgerRecord,
    ) {
        let mut job = Box::new(recorded_job(ctx, key, record));
        let id = job.id;
        self.by_key.insert(key.clone(), id);
        if let LedgerState::Running(tasks) = &record.state {
            job.stage = Stage::Placed;
            job.tasks = tasks
                .iter()
                .map(|started| recovering_task(ctx, started))
                .collect();
            for task in &job.tasks {
                self.by_task.insert(task.id.clone(), id);
            }
            self.jobs.insert(id, job);
            return;
        }
        self.requeue(ctx, job);
    }

    /// Returns the tasks on a worker that have not ended, with the incarnation that each was placed
    /// on.
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

    /// Compares the tasks on a worker with the worker's reply to a claim.
    pub(super) fn reconcile(
        &mut self,
        ctx: &mut PlacerContext<'_, '_>,
        call: &Call,
        report: &WorkerReport,
    ) {
        for (id, index, incarnation) in self.tasks_on(&call.worker) {
            // A new incarnation lists the tasks that it still has.
            if incarnation == report.incarnation || self.lists(&call.worker, id, index) {
                self.reconcile_task(ctx, call, report, id, index);
            } else {
                // The worker has restarted, so the task that it ran has ended.
                self.end_without_answer(ctx, id, index);
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
        ctx: &mut PlacerContext<'_, '_>,
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
                // The placer that started a recovering task has observed its start.
                if task.state == TaskState::Uncertain {
                    self.observe_start(ctx, id);
                }
                self.set_running(ctx, id, index, call);
                self.adopt(ctx, id, index, report);
                self.stop_if_cancelled(ctx, id, index);
            }
            // The worker keeps each result until it is acknowledged, and each acknowledged result
            // is in the ledger. So it never had this task, and it refuses the task from now on.
            TaskState::Uncertain if fenced => {
                self.never_ran(ctx, id, index);
                self.settle(ctx, id);
            }
            TaskState::Recovering if fenced && !may_stop && self.claimed_in_time(call) => {
                self.never_ran(ctx, id, index);
                self.settle(ctx, id);
            }
            TaskState::Recovering if fenced => self.end_without_answer(ctx, id, index),
            TaskState::Running { .. } if listed => {
                self.adopt(ctx, id, index, report);
            }
            TaskState::Running { accepted_ms } if accepted_ms < call.sent_ms => {
                self.end_without_answer(ctx, id, index);
            }
            _ => {}
        }
    }

    /// Returns whether the claim was sent before a worker without a placer may have stopped its
    /// tasks.
    fn claimed_in_time(&self, call: &Call) -> bool {
        let claimed_ms = call.sent_ms.saturating_sub(self.ready_ms);
        let without_placer_ms = self
            .leaderless_ms
            .map(|leaderless_ms| leaderless_ms.saturating_add(claimed_ms));
        without_placer_ms.is_some_and(|without_placer_ms| without_placer_ms < TASKS_SURVIVE_MS)
    }

    fn set_running(&mut self, ctx: &PlacerContext<'_, '_>, id: JobId, index: usize, call: &Call) {
        let accepted_ms = ctx.now_ms();
        if let Some(task) = self.task_mut(task_key(id, index)) {
            task.state = TaskState::Running { accepted_ms };
            task.token = call.token;
        }
    }

    /// Makes the scheduler reserve capacity for a task that a worker lists as running.
    fn adopt(
        &mut self,
        ctx: &PlacerContext<'_, '_>,
        id: JobId,
        index: usize,
        report: &WorkerReport,
    ) {
        let key = task_key(id, index);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        // The scheduler adopts whole jobs only. The capacity of a gang's tasks is taken from the
        // report.
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
        self.scheduler.adopt(ctx.now_ms(), queued, vec![placement]);
        self.scheduler.identify_task(key, &id);
    }

    /// Passes a worker's report to the scheduler, which matches its own tasks by their identifiers
    /// and reserves capacity for the other ones as reported.
    pub(super) fn report_to_scheduler(
        &mut self,
        ctx: &PlacerContext<'_, '_>,
        report: &WorkerReport,
    ) {
        self.scheduler.report_worker(ctx.now_ms(), report);
        if let Some(registered) = self.workers.get_mut(&report.worker) {
            registered.scheduled = true;
        }
    }

    /// Removes a worker whose task lease has run out: all tasks that it ran have ended.
    pub(super) fn worker_lost(&mut self, ctx: &mut PlacerContext<'_, '_>, worker: &WorkerId) {
        self.suspend(ctx, worker);
        self.workers.remove(worker);
        for (id, index, _) in self.tasks_on(worker) {
            self.end_without_answer(ctx, id, index);
        }
    }

    /// Ends a task that has certainly ended without an answer and may have run.
    fn end_without_answer(&mut self, ctx: &mut PlacerContext<'_, '_>, id: JobId, index: usize) {
        let state = self.jobs.get(&id).map(|job| job.tasks[index].state);
        match state {
            Some(TaskState::Finishing | TaskState::Committing) | None => return,
            Some(TaskState::Unsent) => self.never_ran(ctx, id, index),
            Some(_) => {
                let stop_requested = self
                    .jobs
                    .get(&id)
                    .is_some_and(|job| job.tasks[index].stop_requested);
                let outcome = if stop_requested {
                    TaskOutcome::Stopped
                } else {
                    TaskOutcome::Lost
                };
                self.end_task(ctx, id, index, TaskState::Lost, outcome);
            }
        }
        self.settle(ctx, id);
    }

    /// Handles the tasks on an unreachable worker: idempotent work is run on another worker at
    /// once.
    pub(super) fn tasks_unreachable(&mut self, ctx: &mut PlacerContext<'_, '_>, worker: &WorkerId) {
        for (id, index, _) in self.tasks_on(worker) {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            // The scheduler has removed the worker with all its tasks.
            job.tasks[index].scheduled = false;
            if matches!(job.owner, Owner::Direct(_)) {
                self.end_without_answer(ctx, id, index);
            }
        }
    }

    /// Ends recorded tasks on workers that have not announced themselves to this placer in time.
    pub(super) fn tick_recovering(&mut self, ctx: &mut PlacerContext<'_, '_>) {
        if ctx.now_ms().saturating_sub(self.ready_ms) < TASKS_ENDED_MS {
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
            self.end_without_answer(ctx, id, index);
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

    pub(super) fn stop_if_cancelled(
        &mut self,
        ctx: &mut PlacerContext<'_, '_>,
        id: JobId,
        index: usize,
    ) {
        if self.jobs.get(&id).is_some_and(|job| job.may_stop) {
            self.stop_task(ctx, id, index);
        }
    }
}

fn recovering_task(ctx: &PlacerContext<'_, '_>, started: &crate::StartedTask) -> Task {
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
            next_send_ms: ctx.now_ms(),
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
        placed_ms: ctx.now_ms(),
        called_ms: Millis(0),
        scheduled: false,
        stop_requested: false,
        acks: Vec::new(),
        answer: started.answer.clone(),
    }
}

/// Returns whether any worker lists a task in its last reply to a claim.
pub(super) fn is_listed(placer: &Placer, task: &TaskId) -> bool {
    placer
        .workers
        .values()
        .any(|registered| registered.listed.contains(task))
}
