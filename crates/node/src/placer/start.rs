//! Start of tasks: `Start` is committed first, and a task starts only under a valid lease.

use acaciareel_scheduler::{JobId, Placement, PreemptMode, TaskCompletion, TaskKey, TaskOutcome};
use acaciareel_types::{Attempt, Effect as RunEffect, FencingToken, Millis, Resources, WorkerId};

use super::{
    Job, Location, Mode, Owner, Placer, PlacerContext, Stage, Task, TaskState, remote, task_key,
};
use crate::{
    LedgerCommand, Observation, StartedOn, StartedTask, WorkerCall, WorkerReply,
    calls::{Call, Purpose},
    owner,
};

/// Time for which a committed start waits for a lease before its task counts as never run.
const MAX_UNSENT_MS: Millis = Millis(1_000);

impl Placer {
    /// Begins an attempt on the workers that the scheduler has chosen.
    pub(super) fn place(
        &mut self,
        ctx: &mut PlacerContext<'_, '_>,
        id: JobId,
        placements: Vec<Placement>,
    ) {
        let mut tasks = Vec::new();
        for placement in placements {
            let incarnation = self.incarnation_of(&placement.worker);
            let location = Location::Worker {
                worker: placement.worker,
                incarnation,
            };
            tasks.push(self.new_task(ctx, id, tasks.len(), location, placement.reserved));
        }
        for (index, task) in tasks.iter_mut().enumerate() {
            task.scheduled = true;
            self.scheduler.identify_task(task_key(id, index), &task.id);
        }
        self.begin_attempt(ctx, id, tasks);
    }

    fn new_task(
        &mut self,
        ctx: &PlacerContext<'_, '_>,
        job: JobId,
        index: usize,
        location: Location,
        reserved: Resources,
    ) -> Task {
        self.next_task += 1;
        let owner = self.jobs.get(&job).map(|job| &job.owner);
        let id = match owner {
            Some(Owner::RemoteLedger { task, .. }) => task.clone(),
            Some(Owner::Ledger { .. }) => {
                owner::ledger_task(&self.domain, self.mode.term(), self.next_task, index)
                    .unwrap_or_else(|| self.vm_task(ctx))
            }
            Some(Owner::Direct(_)) | None => self.vm_task(ctx),
        };
        Task {
            id,
            location,
            state: TaskState::Committing,
            reserved,
            token: FencingToken(0),
            placed_ms: ctx.now_ms(),
            called_ms: Millis(0),
            scheduled: false,
            stop_requested: false,
            acks: Vec::new(),
            answer: None,
        }
    }

    fn vm_task(&self, ctx: &PlacerContext<'_, '_>) -> acaciareel_types::TaskId {
        let number = (self.role_number << 32) | self.next_task;
        owner::vm_task(
            ctx.vm,
            acaciareel_types::Incarnation(ctx.process_epoch),
            number,
        )
    }

    /// Begins an attempt in another domain.
    pub(super) fn place_remotely(
        &mut self,
        ctx: &mut PlacerContext<'_, '_>,
        id: JobId,
        location: Location,
    ) {
        let task = self.new_task(ctx, id, 0, location, Resources::default());
        self.begin_attempt(ctx, id, vec![task]);
    }

    /// Proposes `Start` for a job with a record in the ledger; starts any other job at once.
    fn begin_attempt(&mut self, ctx: &mut PlacerContext<'_, '_>, id: JobId, tasks: Vec<Task>) {
        for task in &tasks {
            self.by_task.insert(task.id.clone(), id);
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.stage = Stage::Placed;
        job.tries += 1;
        job.tasks = tasks;
        if let Owner::Ledger { key, .. } = &job.owner {
            job.attempt = Attempt(job.attempt.0 + 1);
            let start = LedgerCommand::Start {
                key: key.clone(),
                attempt: job.attempt,
                tasks: job.tasks.iter().map(started).collect(),
            };
            self.propose(ctx, start);
        } else {
            for task in &mut job.tasks {
                task.state = TaskState::Unsent;
            }
            self.start_unsent(ctx, id);
        }
    }

    /// Starts each task of a job that may be started now.
    pub(super) fn start_unsent(&mut self, ctx: &mut PlacerContext<'_, '_>, id: JobId) {
        let count = self.jobs.get(&id).map_or(0, |job| job.tasks.len());
        for index in 0..count {
            self.start_task(ctx, id, index);
        }
        self.settle(ctx, id);
    }

    fn start_task(&mut self, ctx: &mut PlacerContext<'_, '_>, id: JobId, index: usize) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let task = &job.tasks[index];
        if task.state != TaskState::Unsent {
            return;
        }
        if job.cancelled {
            self.never_ran(ctx, id, index);
            return;
        }
        let Location::Worker {
            worker,
            incarnation,
        } = &task.location
        else {
            self.send_place(ctx, id, index);
            return;
        };
        let may_place = ctx.holds_lease || self.mode == Mode::Fallback;
        let permit = self
            .workers
            .get(worker)
            .and_then(|registered| registered.worker.permit(ctx.now_ms()));
        let late = ctx.now_ms().saturating_sub(task.placed_ms) > MAX_UNSENT_MS;
        match permit {
            Some(permit) if permit.incarnation != *incarnation => {
                self.never_ran(ctx, id, index);
            }
            Some(permit) if may_place => self.call_start(ctx, id, index, &permit),
            _ if late => self.never_ran(ctx, id, index),
            _ => {}
        }
    }

    /// Calls a worker to start a task. The permit proves that the worker's lease is valid.
    fn call_start(
        &mut self,
        ctx: &mut PlacerContext<'_, '_>,
        id: JobId,
        index: usize,
        permit: &crate::worker::StartPermit,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let task = &mut job.tasks[index];
        task.state = TaskState::Calling;
        task.token = permit.token;
        task.called_ms = ctx.io.now_ms;
        let request = WorkerCall::Start {
            task: task.id.clone(),
            token: permit.token,
            kind: job.request.kind.clone(),
            tenant: job.request.tenant.clone(),
            reserved: task.reserved,
            remaining_ms: job.deadline_ms.saturating_sub(ctx.io.now_ms),
            exclusive: job.effect != RunEffect::Idempotent,
            body: job.request.body.clone(),
        };
        let call = ctx.calls.add(Call {
            domain: self.domain.clone(),
            role_number: self.role_number,
            worker: permit.worker.clone(),
            token: permit.token,
            sent_ms: ctx.io.now_ms,
            purpose: Purpose::Start(task.id.clone()),
        });
        if let Some(registered) = self.workers.get_mut(&permit.worker) {
            registered.called_ms = ctx.io.now_ms;
        }
        ctx.io.call(call, &permit.worker, permit.address, request);
    }

    /// Handles a worker's reply to a start call.
    pub(super) fn start_replied(
        &mut self,
        ctx: &mut PlacerContext<'_, '_>,
        call: &Call,
        task: &acaciareel_types::TaskId,
        reply: &WorkerReply,
    ) {
        let Some(id) = self.by_task.get(task).copied() else {
            return;
        };
        let Some(index) = self.index_of(id, task) else {
            return;
        };
        let now_ms = ctx.now_ms();
        let Some(state) = self
            .task_mut(task_key(id, index))
            .map(|task| &mut task.state)
        else {
            return;
        };
        if *state != TaskState::Calling {
            return;
        }
        match reply {
            WorkerReply::Accepted => {
                *state = TaskState::Running {
                    accepted_ms: now_ms,
                };
                self.observe_start(ctx, id);
                self.stop_if_cancelled(ctx, id, index);
                return;
            }
            WorkerReply::Lost | WorkerReply::Leased { .. } | WorkerReply::Renewed { .. } => {
                // The reply to a claim with a higher token shows whether the worker has the task;
                // after it, the worker refuses a late copy of the start call.
                *state = TaskState::Uncertain;
                self.claim_with_higher_token(&call.worker, now_ms);
                return;
            }
            WorkerReply::StaleToken(held) => self.token_refused(&call.worker, *held, now_ms),
            WorkerReply::Leaving => self.worker_leaving(ctx, &call.worker),
            WorkerReply::NoCapacity | WorkerReply::Refused(_) | WorkerReply::NotSent => {}
        }
        self.never_ran(ctx, id, index);
        self.settle(ctx, id);
    }

    /// Observes the waiting time of a job, a task of which a worker has confirmed.
    pub(super) fn observe_start(&self, ctx: &mut PlacerContext<'_, '_>, id: JobId) {
        if let Some(job) = self.jobs.get(&id) {
            ctx.io.observe(Observation::Started {
                tenant: job.request.tenant.clone(),
                class: job.class,
                waited_ms: ctx.io.now_ms.saturating_sub(job.accepted_ms),
            });
        }
    }

    /// Records that a task did not run and never will.
    pub(super) fn never_ran(&mut self, ctx: &mut PlacerContext<'_, '_>, id: JobId, index: usize) {
        self.end_task(ctx, id, index, TaskState::NeverRan, TaskOutcome::Refused);
    }

    /// Ends a task and releases its capacity.
    pub(super) fn end_task(
        &mut self,
        ctx: &mut PlacerContext<'_, '_>,
        id: JobId,
        index: usize,
        state: TaskState,
        outcome: TaskOutcome,
    ) {
        let key = task_key(id, index);
        let Some(task) = self.task_mut(key) else {
            return;
        };
        task.state = state;
        self.release_capacity(ctx, key, outcome, None);
    }

    /// Reports the end of a task to the scheduler, once, so that its capacity is free again.
    pub(super) fn release_capacity(
        &mut self,
        ctx: &PlacerContext<'_, '_>,
        key: TaskKey,
        outcome: TaskOutcome,
        used: Option<Resources>,
    ) {
        let Some(task) = self.task_mut(key) else {
            return;
        };
        if !task.scheduled {
            return;
        }
        task.scheduled = false;
        if let Location::Worker { worker, .. } = &task.location {
            let completion = TaskCompletion {
                task: key,
                worker: worker.clone(),
                outcome,
                used,
            };
            self.scheduler.task_completed(ctx.now_ms(), &completion);
        }
        self.decision_due = true;
    }

    /// Starts tasks that are committed but could not be sent before.
    pub(super) fn tick_unsent(&mut self, ctx: &mut PlacerContext<'_, '_>) {
        let unsent: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| has_unsent(job))
            .map(|(id, _)| *id)
            .collect();
        for id in unsent {
            self.start_unsent(ctx, id);
        }
    }

    /// Stops, checkpoints or throttles a running task to free capacity.
    pub(super) fn preempt(
        &mut self,
        ctx: &mut PlacerContext<'_, '_>,
        key: TaskKey,
        worker: &WorkerId,
        mode: PreemptMode,
    ) {
        let once = self
            .jobs
            .get(&key.job)
            .is_some_and(|job| job.effect == RunEffect::Once);
        if once && mode != PreemptMode::Throttle {
            // A `once` task that was stopped could not run again.
            return;
        }
        let Some(task) = self.task_mut(key) else {
            return;
        };
        let id = task.id.clone();
        task.stop_requested |= mode != PreemptMode::Throttle;
        self.send_task_command(ctx, worker, |token| match mode {
            PreemptMode::Checkpoint => WorkerCall::Checkpoint { task: id, token },
            PreemptMode::Throttle => WorkerCall::Throttle { task: id, token },
            PreemptMode::Stop => WorkerCall::Stop { task: id, token },
        });
    }

    /// Sends a stop request for a running task to its worker, or to the placer of its domain.
    pub(super) fn stop_task(&mut self, ctx: &mut PlacerContext<'_, '_>, id: JobId, index: usize) {
        let Some(task) = self.task_mut(task_key(id, index)) else {
            return;
        };
        if task.stop_requested {
            return;
        }
        task.stop_requested = true;
        let task_id = task.id.clone();
        match task.location.clone() {
            Location::Worker { worker, .. } => {
                self.send_task_command(ctx, &worker, |token| WorkerCall::Stop {
                    task: task_id,
                    token,
                });
            }
            Location::Domain { domain, .. } => remote::stop_remote(ctx, &domain, task_id),
        }
    }

    fn send_task_command(
        &mut self,
        ctx: &mut PlacerContext<'_, '_>,
        worker: &WorkerId,
        request: impl FnOnce(FencingToken) -> WorkerCall,
    ) {
        let Some(registered) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(token) = registered.worker.token() else {
            return;
        };
        registered.called_ms = ctx.io.now_ms;
        let address = registered.worker.report().address;
        let call = ctx.calls.add(Call {
            domain: self.domain.clone(),
            role_number: self.role_number,
            worker: worker.clone(),
            token,
            sent_ms: ctx.io.now_ms,
            purpose: Purpose::TaskCommand,
        });
        ctx.io.call(call, worker, address, request(token));
    }
}

fn has_unsent(job: &Job) -> bool {
    job.tasks.iter().any(|task| task.state == TaskState::Unsent)
}

fn started(task: &Task) -> StartedTask {
    let on = match &task.location {
        Location::Worker {
            worker,
            incarnation,
        } => StartedOn::Worker {
            worker: worker.clone(),
            incarnation: *incarnation,
        },
        Location::Domain { domain, .. } => StartedOn::Domain(domain.clone()),
    };
    StartedTask {
        task: task.id.clone(),
        on,
        answer: None,
    }
}
