//! Starting tasks: `Start` is committed first, and only a valid lease starts anything.

use acaciareel_scheduler::{JobId, Placement, PreemptMode, TaskCompletion, TaskKey, TaskOutcome};
use acaciareel_types::{Attempt, Effect as RunEffect, FencingToken, Millis, Resources, WorkerId};

use super::{Job, Location, Mode, Owner, Placer, Site, Stage, Task, TaskState, remote, task_key};
use crate::{
    LedgerCommand, Observation, StartedOn, StartedTask, WorkerCall, WorkerReply,
    calls::{Call, Purpose},
    owner,
};

/// Time for which a committed start waits for a lease before the attempt is given back.
const UNSENT_MS: Millis = Millis(1_000);

impl Placer {
    /// Carries out a placement.
    pub(super) fn place(&mut self, site: &mut Site<'_, '_>, id: JobId, placements: Vec<Placement>) {
        let mut tasks = Vec::new();
        for placement in placements {
            let incarnation = self.incarnation_of(&placement.worker);
            let location = Location::Worker {
                worker: placement.worker,
                incarnation,
            };
            tasks.push(self.new_task(site, id, tasks.len(), location, placement.reserved));
        }
        for (index, task) in tasks.iter_mut().enumerate() {
            task.scheduled = true;
            self.scheduler.identify_task(task_key(id, index), &task.id);
        }
        self.begin_attempt(site, id, tasks);
    }

    fn new_task(
        &mut self,
        site: &Site<'_, '_>,
        job: JobId,
        index: usize,
        location: Location,
        reserved: Resources,
    ) -> Task {
        self.next_task += 1;
        let owner = self.jobs.get(&job).map(|job| &job.owner);
        let id = match owner {
            Some(Owner::Foreign { task, .. }) => task.clone(),
            Some(Owner::Ledger { .. }) => {
                owner::ledger_task(&self.domain, self.mode.term(), self.next_task, index)
                    .unwrap_or_else(|| self.vm_task(site))
            }
            Some(Owner::Direct(_)) | None => self.vm_task(site),
        };
        Task {
            id,
            location,
            state: TaskState::Committing,
            reserved,
            token: FencingToken(0),
            placed_ms: site.now_ms(),
            called_ms: Millis(0),
            scheduled: false,
            stopped: false,
            acks: Vec::new(),
            answer: None,
        }
    }

    fn vm_task(&self, site: &Site<'_, '_>) -> acaciareel_types::TaskId {
        let number = (self.life << 32) | self.next_task;
        owner::vm_task(site.vm, acaciareel_types::Incarnation(site.life), number)
    }

    /// Starts an attempt on another domain.
    pub(super) fn place_remotely(
        &mut self,
        site: &mut Site<'_, '_>,
        id: JobId,
        location: Location,
    ) {
        let task = self.new_task(site, id, 0, location, Resources::default());
        self.begin_attempt(site, id, vec![task]);
    }

    /// Records the attempt in the ledger where the job has a record; otherwise starts at once.
    fn begin_attempt(&mut self, site: &mut Site<'_, '_>, id: JobId, tasks: Vec<Task>) {
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
            self.propose(site, start);
        } else {
            for task in &mut job.tasks {
                task.state = TaskState::Unsent;
            }
            self.start_unsent(site, id);
        }
    }

    /// Sends each task of a job that may be sent now.
    pub(super) fn start_unsent(&mut self, site: &mut Site<'_, '_>, id: JobId) {
        let count = self.jobs.get(&id).map_or(0, |job| job.tasks.len());
        for index in 0..count {
            self.start_task(site, id, index);
        }
        self.settle(site, id);
    }

    fn start_task(&mut self, site: &mut Site<'_, '_>, id: JobId, index: usize) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let task = &job.tasks[index];
        if task.state != TaskState::Unsent {
            return;
        }
        if job.cancelled {
            self.never_ran(site, id, index);
            return;
        }
        let Location::Worker {
            worker,
            incarnation,
        } = &task.location
        else {
            self.send_place(site, id, index);
            return;
        };
        let leads = site.holds_lease || self.mode == Mode::Fallback;
        let permit = self
            .workers
            .get(worker)
            .and_then(|registered| registered.worker.permit(site.now_ms()));
        let late = site.now_ms().saturating_sub(task.placed_ms) > UNSENT_MS;
        match permit {
            Some(permit) if permit.incarnation != *incarnation => {
                self.never_ran(site, id, index);
            }
            Some(permit) if leads => self.call_start(site, id, index, &permit),
            _ if late => self.never_ran(site, id, index),
            _ => {}
        }
    }

    /// Tells a worker to start a task. The permit proves that its lease is valid.
    fn call_start(
        &mut self,
        site: &mut Site<'_, '_>,
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
        task.called_ms = site.io.now_ms;
        let request = WorkerCall::Start {
            task: task.id.clone(),
            token: permit.token,
            kind: job.request.kind.clone(),
            tenant: job.request.tenant.clone(),
            reserved: task.reserved,
            remaining_ms: job.deadline_ms.saturating_sub(site.io.now_ms),
            exclusive: job.effect != RunEffect::Idempotent,
            body: job.request.body.clone(),
        };
        site.io.observe(Observation::Placed {
            tenant: job.request.tenant.clone(),
            class: job.class,
            waited_ms: site.io.now_ms.saturating_sub(job.accepted_ms),
        });
        let call = site.calls.add(Call {
            domain: self.domain.clone(),
            life: self.life,
            worker: permit.worker.clone(),
            token: permit.token,
            sent_ms: site.io.now_ms,
            purpose: Purpose::Start(task.id.clone()),
        });
        if let Some(registered) = self.workers.get_mut(&permit.worker) {
            registered.called_ms = site.io.now_ms;
        }
        site.io.call(call, &permit.worker, permit.address, request);
    }

    /// Takes a worker's reply to a start.
    pub(super) fn start_replied(
        &mut self,
        site: &mut Site<'_, '_>,
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
        let now_ms = site.now_ms();
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
                self.stop_if_cancelled(site, id, index);
                return;
            }
            WorkerReply::Lost | WorkerReply::Leased { .. } | WorkerReply::Renewed { .. } => {
                // A claim with a higher token settles whether the worker has the task: from then
                // on the worker refuses a late copy of the call.
                *state = TaskState::Uncertain;
                self.reclaim(&call.worker, now_ms);
                return;
            }
            WorkerReply::StaleToken(held) => self.token_refused(&call.worker, *held, now_ms),
            WorkerReply::Leaving => self.worker_leaving(site, &call.worker),
            WorkerReply::NoCapacity | WorkerReply::Refused(_) | WorkerReply::NotSent => {}
        }
        self.never_ran(site, id, index);
        self.settle(site, id);
    }

    /// Notes that a task did not run and never will.
    pub(super) fn never_ran(&mut self, site: &mut Site<'_, '_>, id: JobId, index: usize) {
        self.end_task(site, id, index, TaskState::NeverRan, TaskOutcome::Refused);
    }

    /// Ends a task and frees its room.
    pub(super) fn end_task(
        &mut self,
        site: &mut Site<'_, '_>,
        id: JobId,
        index: usize,
        state: TaskState,
        kind: TaskOutcome,
    ) {
        let key = task_key(id, index);
        let Some(task) = self.task_mut(key) else {
            return;
        };
        task.state = state;
        self.free_room(site, key, kind, None);
    }

    /// Tells the scheduler that a task's room is free, once.
    pub(super) fn free_room(
        &mut self,
        site: &Site<'_, '_>,
        key: TaskKey,
        kind: TaskOutcome,
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
            let end = TaskCompletion {
                task: key,
                worker: worker.clone(),
                outcome: kind,
                used,
            };
            self.scheduler.task_completed(site.now_ms(), &end);
        }
        self.due = true;
    }

    /// Retries tasks that are committed but could not be sent yet.
    pub(super) fn tick_unsent(&mut self, site: &mut Site<'_, '_>) {
        let unsent: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| has_unsent(job))
            .map(|(id, _)| *id)
            .collect();
        for id in unsent {
            self.start_unsent(site, id);
        }
    }

    /// Makes a running task give room.
    pub(super) fn preempt(
        &mut self,
        site: &mut Site<'_, '_>,
        key: TaskKey,
        worker: &WorkerId,
        mode: PreemptMode,
    ) {
        let once = self
            .jobs
            .get(&key.job)
            .is_some_and(|job| job.effect == RunEffect::Once);
        if once && mode != PreemptMode::Throttle {
            // It could not run again.
            return;
        }
        let Some(task) = self.task_mut(key) else {
            return;
        };
        let id = task.id.clone();
        task.stopped |= mode != PreemptMode::Throttle;
        self.call_other(site, worker, |token| match mode {
            PreemptMode::Checkpoint => WorkerCall::Checkpoint { task: id, token },
            PreemptMode::Throttle => WorkerCall::Throttle { task: id, token },
            PreemptMode::Stop => WorkerCall::Stop { task: id, token },
        });
    }

    /// Asks a worker to stop a running task, or the placer that runs it to do so.
    pub(super) fn stop_task(&mut self, site: &mut Site<'_, '_>, id: JobId, index: usize) {
        let Some(task) = self.task_mut(task_key(id, index)) else {
            return;
        };
        if task.stopped {
            return;
        }
        task.stopped = true;
        let task_id = task.id.clone();
        match task.location.clone() {
            Location::Worker { worker, .. } => {
                self.call_other(site, &worker, |token| WorkerCall::Stop {
                    task: task_id,
                    token,
                });
            }
            Location::Domain { domain, .. } => remote::stop_remote(site, &domain, task_id),
        }
    }

    fn call_other(
        &mut self,
        site: &mut Site<'_, '_>,
        worker: &WorkerId,
        request: impl FnOnce(FencingToken) -> WorkerCall,
    ) {
        let Some(registered) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(token) = registered.worker.token() else {
            return;
        };
        registered.called_ms = site.io.now_ms;
        let address = registered.worker.report().address;
        let call = site.calls.add(Call {
            domain: self.domain.clone(),
            life: self.life,
            worker: worker.clone(),
            token,
            sent_ms: site.io.now_ms,
            purpose: Purpose::Other,
        });
        site.io.call(call, worker, address, request(token));
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
