//! Starts and completions of tasks, and the statistics derived from their outcomes.

use std::cmp::Reverse;

use acaciareel_types::{Class, Effect, Millis, Resources};

use crate::{
    Job, JobId, Placement, TaskCompletion, TaskKey, TaskOutcome,
    index::WorkerIndex,
    jobs::{Preemptibility, RunningJob, RunningTask, Stage},
    kinds::{KindId, TenantId},
    quarantine::{self, Trust},
    scheduler::Scheduler,
};

/// Pause in placements on a worker that refused a task. Within this time its next report usually
/// shows which tasks fill it.
const REFUSED_PAUSE_MS: Millis = Millis(500);

/// A task whose resources were released, with its kind and tenant.
struct CompletedTask {
    task: RunningTask,
    kind: KindId,
    tenant: TenantId,
}

impl Scheduler {
    /// Adds a running job without tasks.
    pub(super) fn add_running_job(&mut self, job: Job, kind: KindId, pool: Option<usize>) {
        let route = self.kinds.get(kind).route.as_ref();
        let class = route.map_or(Class::Standard, |route| route.class);
        let preemptibility = match route {
            Some(route) if class == Class::Batch && route.tasks == 1 => match route.effect {
                Effect::Once => Preemptibility::ThrottleOnly,
                Effect::Idempotent | Effect::Exclusive => Preemptibility::Full,
            },
            _ => Preemptibility::Never,
        };
        let running = RunningJob {
            tenant: self.tenants.intern(&job.tenant),
            job,
            kind,
            pool,
            preemptibility,
            tasks: Vec::new(),
        };
        if let Some(pool) = pool {
            self.pools[pool].running_jobs += 1;
        }
        self.running.insert(running.job.id, running);
    }

    /// Adds a task to a running job. The worker's resources must be allocated already.
    pub(super) fn add_running_task(&mut self, job: JobId, task: RunningTask) {
        let Some(running) = self.running.get_mut(&job) else {
            return;
        };
        self.tenants.allocate(running.tenant, &task.reserved);
        if let Some(pool) = running.pool {
            let pool = &mut self.pools[pool];
            let weight = self.tenants.get(running.tenant).weight();
            pool.shares.add_work_item(running.tenant, weight);
            pool.shares
                .change_allocated(running.tenant, &task.reserved, true);
            pool.update_level(running.tenant);
            if let Some(rack) = task.rack {
                *pool
                    .tasks_by_kind_and_rack
                    .entry((running.kind, rack))
                    .or_default() += 1;
            }
            if running.preemptibility != Preemptibility::Never {
                pool.victims.insert((Reverse(task.started_ms), task.key));
            }
        }
        running.tasks.push(task);
    }

    pub(super) fn adopt_job(&mut self, now_ms: Millis, job: Job, placements: Vec<Placement>) {
        self.remove_waiting(now_ms, job.id);
        let id = job.id;
        let kind = self.kinds.intern(&job.kind);
        if !self.running.contains_key(&id) {
            let pool = self
                .kinds
                .get(kind)
                .route_and_pool(true)
                .map(|(_, pool)| pool);
            self.add_running_job(job, kind, pool);
        }
        for placement in placements {
            if self.task_worker(placement.task).is_some() {
                continue;
            }
            let index = self.workers.intern(&placement.worker);
            if let Some(worker) = self.workers.get_mut(index) {
                worker.allocate(placement.task, placement.reserved);
            }
            let task = RunningTask {
                key: placement.task,
                worker: index,
                reserved: placement.reserved,
                started_ms: now_ms,
                rack: None,
                work: 0,
                preempting: None,
                throttled: false,
            };
            self.add_running_task(id, task);
            self.refresh_worker(now_ms, index);
        }
    }

    pub(super) fn complete_task(&mut self, now_ms: Millis, completion: &TaskCompletion) {
        let Some(completed) = self.release_task(now_ms, completion) else {
            return;
        };
        self.update_statistics(now_ms, completion, &completed);
        self.refresh_worker(now_ms, completed.task.worker);
        self.remove_finished_job(now_ms, completion.task.job);
    }

    /// Removes a completed task and releases its resources. Returns `None` for an unknown task.
    fn release_task(
        &mut self,
        now_ms: Millis,
        completion: &TaskCompletion,
    ) -> Option<CompletedTask> {
        let worker = self.workers.index(&completion.worker)?;
        let running = self.running.get_mut(&completion.task.job)?;
        let mut tasks = running.tasks.iter();
        let position =
            tasks.position(|task| task.key == completion.task && task.worker == worker)?;
        let task = running.tasks.remove(position);
        self.tenants.release(running.tenant, &task.reserved);
        if let Some(pool) = running.pool {
            let pool = &mut self.pools[pool];
            pool.shares
                .change_allocated(running.tenant, &task.reserved, false);
            pool.shares.remove_work_item(running.tenant);
            pool.update_level(running.tenant);
            pool.victims.remove(&(Reverse(task.started_ms), task.key));
            pool.preempted.retain(|(_, key)| *key != task.key);
            pool.rate
                .record_completion(now_ms, task.work, pool.queue.len() > 0);
            pool.dirty = true;
            if let Some(rack) = task.rack {
                let count = pool
                    .tasks_by_kind_and_rack
                    .entry((running.kind, rack))
                    .or_default();
                *count = count.saturating_sub(1);
                if *count == 0 {
                    pool.tasks_by_kind_and_rack.remove(&(running.kind, rack));
                }
            }
        }
        for pool in &mut self.pools {
            pool.dirty |= pool.queue.unblock(running.tenant);
        }
        let (kind, tenant) = (running.kind, running.tenant);
        // A lost task may still run. If a later report lists it, its resources count as in use.
        let certain = completion.outcome != TaskOutcome::Lost;
        self.workers
            .get_mut(worker)?
            .release(now_ms, task.key, certain);
        Some(CompletedTask { task, kind, tenant })
    }

    /// Removes a running job after its last task and enqueues the next attempt if one waits for it.
    fn remove_finished_job(&mut self, now_ms: Millis, job: JobId) {
        if self.running.get(&job).is_none_or(|r| !r.tasks.is_empty()) {
            return;
        }
        if let Some(running) = self.running.remove(&job)
            && let Some(pool) = running.pool
        {
            self.pools[pool].running_jobs -= 1;
        }
        let waiting = self.waiting.get(&job);
        if waiting.is_some_and(|waiting| waiting.stage == Stage::AfterEarlierAttempt) {
            self.enqueue(now_ms, job);
        }
    }

    fn update_statistics(
        &mut self,
        now_ms: Millis,
        completion: &TaskCompletion,
        completed: &CompletedTask,
    ) {
        if let Some(used) = &completion.used {
            self.kinds.get_mut(completed.kind).sizes.record(used);
            self.refresh_demand(completed.kind);
        }
        let worker = completed.task.worker;
        match completion.outcome {
            TaskOutcome::Succeeded => {
                self.record_run_time(now_ms, completed);
                let kind = &self.kinds.get(completed.kind).name;
                let tenant = &self.tenants.get(completed.tenant).name;
                self.retries.record_success(kind, tenant);
                self.record_outcome(now_ms, worker, completed, true);
            }
            TaskOutcome::Failed => self.record_outcome(now_ms, worker, completed, false),
            TaskOutcome::Refused => self.pause_worker(now_ms, worker),
            TaskOutcome::Stopped | TaskOutcome::Lost => {}
        }
        self.update_trust(worker, |health| health.allow_probe(now_ms));
    }

    fn record_run_time(&mut self, now_ms: Millis, completed: &CompletedTask) {
        let run_ms = now_ms.saturating_sub(completed.task.started_ms);
        let kind = self.kinds.get_mut(completed.kind);
        if let Some(usual_ms) = kind.run_time.median_ms()
            && !completed.task.throttled
            && let Some(worker) = self.workers.get_mut(completed.task.worker)
        {
            worker
                .concurrency_limit
                .record(run_ms.0 * 100 / usual_ms.0.max(1));
        }
        kind.run_time.record(run_ms);
    }

    fn pause_worker(&mut self, now_ms: Millis, index: WorkerIndex) {
        let until_ms = now_ms.saturating_add(REFUSED_PAUSE_MS);
        if let Some(worker) = self.workers.get_mut(index) {
            worker.paused_until_ms = until_ms;
            self.timers.insert((until_ms, index));
        }
    }

    /// Attributes the outcome of a task to its worker and its kind, and updates the worker's
    /// quarantine.
    fn record_outcome(
        &mut self,
        now_ms: Millis,
        index: WorkerIndex,
        completed: &CompletedTask,
        ok: bool,
    ) {
        let newly_at_fault = self.kinds.get_mut(completed.kind).health.record(index, ok);
        if newly_at_fault {
            self.release_wrongly_quarantined();
        }
        let at_fault = self.kinds.get(completed.kind).health.at_fault();
        let Some(worker) = self.workers.get_mut(index) else {
            return;
        };
        if worker.health.quarantined() {
            if ok {
                self.update_trust(index, |health| health.probe_succeeded(now_ms));
            } else if !at_fault {
                self.quarantine(now_ms, index);
            }
            return;
        }
        worker.health.record(completed.kind, ok);
        let kinds = &self.kinds;
        let at_fault = |kind| kinds.get(kind).health.at_fault();
        let failing = worker.health.failing(at_fault);
        if failing && !ok && self.may_quarantine(index) {
            self.quarantine(now_ms, index);
        } else {
            self.update_trust(index, |health| health.set_suspect(failing));
        }
    }

    fn may_quarantine(&self, index: WorkerIndex) -> bool {
        let Some(pool_position) = self
            .workers
            .get(index)
            .and_then(|worker| worker.pool_position)
        else {
            return false;
        };
        let pool = &self.pools[pool_position.pool];
        let cap = pool
            .settings
            .as_ref()
            .map_or(0, |pool| pool.quarantine_percent);
        quarantine::within_cap(pool.quarantined.len(), pool.workers, cap)
    }

    fn quarantine(&mut self, now_ms: Millis, index: WorkerIndex) {
        let backoff = quarantine::probe_backoff(self.settings.seed);
        self.update_trust(index, |health| {
            health.quarantine(now_ms, backoff, index.into());
        });
    }

    /// Restores trust in workers whose failures are now attributed to kinds rather than to the
    /// workers.
    fn release_wrongly_quarantined(&mut self) {
        for pool in 0..self.pools.len() {
            let quarantined = self.pools[pool].quarantined.iter().map(|(_, index)| *index);
            let suspects = self.pools[pool].suspects.iter().copied();
            let listed: Vec<_> = quarantined.chain(suspects).collect();
            for index in listed {
                let kinds = &self.kinds;
                let worker = self.workers.get(index);
                let explained = worker.is_some_and(|worker| {
                    !worker
                        .health
                        .failing(|kind| kinds.get(kind).health.at_fault())
                });
                if explained {
                    self.update_trust(index, crate::quarantine::Health::release);
                    self.refresh_worker(Millis(0), index);
                }
            }
        }
    }

    /// Changes the trust in a worker and updates the lists of its pool.
    pub(super) fn update_trust(
        &mut self,
        index: WorkerIndex,
        change: impl FnOnce(&mut quarantine::Health),
    ) {
        let Some(worker) = self.workers.get_mut(index) else {
            return;
        };
        let before = worker.health.trust();
        change(&mut worker.health);
        let after = worker.health.trust();
        let Some(pool_position) = worker.pool_position.filter(|_| before != after) else {
            return;
        };
        let pool = &mut self.pools[pool_position.pool];
        if let Some(until_ms) = quarantine_key(before) {
            pool.quarantined.remove(&(until_ms, index));
        }
        if let Some(until_ms) = quarantine_key(after) {
            pool.quarantined.insert((until_ms, index));
        }
        if after == Trust::Suspect {
            pool.suspects.insert(index);
        } else {
            pool.suspects.remove(&index);
        }
    }

    /// Recomputes the demand of a kind from its route and the measured usage of its tasks.
    fn refresh_demand(&mut self, id: KindId) {
        let kind = self.kinds.get_mut(id);
        let (Some(route), Some(pool)) = (&kind.route, kind.pool) else {
            return;
        };
        let index = &self.pools[pool].index;
        let corrected = kind.sizes.corrected(&route.demand, &index.max_capacity());
        let mut found = Vec::new();
        index.find_capable(&corrected, 1, &mut found);
        if found.is_empty() {
            // No worker can provide the corrected demand. Cap it at the largest capacity among up
            // to 8 workers that fit the declared demand.
            index.find_capable(&route.demand, 8, &mut found);
            let capacities = found.iter().filter_map(|position| index.entry(*position));
            let largest = capacities
                .map(|entry| entry.capacity)
                .max_by_key(|capacity| (capacity.memory_bytes, capacity.cpu_millicores));
            kind.demand = largest.map_or(route.demand, |capacity| corrected.min(&capacity));
        } else {
            kind.demand = corrected;
        }
    }

    pub(super) fn refresh_demands(&mut self) {
        for id in self.kinds.ids() {
            self.refresh_demand(id);
        }
    }

    pub(super) fn apply_throttle(&mut self, now_ms: Millis, key: TaskKey, reserved: Resources) {
        let Some(running) = self.running.get_mut(&key.job) else {
            return;
        };
        let Some(task) = running.tasks.iter_mut().find(|task| task.key == key) else {
            return;
        };
        let reserved = reserved.min(&task.reserved);
        let freed = task.reserved.minus(&reserved);
        task.reserved = reserved;
        task.throttled = true;
        task.preempting = None;
        let (tenant, pool, index) = (running.tenant, running.pool, task.worker);
        self.tenants.release(tenant, &freed);
        if let Some(pool) = pool {
            let pool = &mut self.pools[pool];
            pool.preempted.retain(|(_, preempted)| *preempted != key);
            pool.shares.change_allocated(tenant, &freed, false);
            pool.update_level(tenant);
        }
        if let Some(worker) = self.workers.get_mut(index) {
            worker.resize(key, reserved);
        }
        self.refresh_worker(now_ms, index);
    }
}

/// Returns the time under which a pool lists a worker in quarantine. While a probe runs, the time
/// is never due, so the worker gets no second probe.
fn quarantine_key(trust: Trust) -> Option<Millis> {
    match trust {
        Trust::Trusted | Trust::Suspect => None,
        Trust::Quarantined { until_ms } => Some(until_ms),
        Trust::Probing => Some(Millis(u64::MAX)),
    }
}
