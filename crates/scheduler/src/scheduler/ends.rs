//! Starts and ends of tasks, and what is learnt from them.

use std::cmp::Reverse;

use acaciareel_types::{Class, Effect, Millis, Resources};

use crate::{
    Job, JobId, Placement, TaskCompletion, TaskKey, TaskOutcome,
    index::WorkerIndex,
    jobs::{Running, RunningTask, Stage, Yields},
    kinds::{KindId, TenantId},
    quarantine::{self, Trust},
    scheduler::Scheduler,
};

/// Time during which a worker that refused a task gets no other; by then its next report has
/// usually shown what fills it.
const REFUSED_PAUSE_MS: Millis = Millis(500);

/// A task that holds nothing any more, with its kind.
struct Ended {
    task: RunningTask,
    kind: KindId,
    tenant: TenantId,
}

impl Scheduler {
    /// Adds a running job without tasks.
    pub(super) fn open_job(&mut self, job: Job, kind: KindId, pool: Option<usize>) {
        let route = self.kinds.get(kind).route.as_ref();
        let class = route.map_or(Class::Standard, |route| route.class);
        let yields = match route {
            Some(route) if class == Class::Batch && route.tasks == 1 => match route.effect {
                Effect::Once => Yields::Slower,
                Effect::Idempotent | Effect::Exclusive => Yields::Fully,
            },
            _ => Yields::Never,
        };
        let running = Running {
            tenant: self.tenants.intern(&job.tenant),
            job,
            kind,
            pool,
            yields,
            tasks: Vec::new(),
        };
        if let Some(pool) = pool {
            self.pools[pool].running += 1;
        }
        self.running.insert(running.job.id, running);
    }

    /// Adds a task to a running job; its worker holds room for it already.
    pub(super) fn open_task(&mut self, job: JobId, task: RunningTask) {
        let Some(running) = self.running.get_mut(&job) else {
            return;
        };
        self.tenants.hold(running.tenant, &task.reserved);
        if let Some(pool) = running.pool {
            let pool = &mut self.pools[pool];
            let weight = self.tenants.get(running.tenant).weight();
            pool.shares.enter(running.tenant, weight);
            pool.shares.change(running.tenant, &task.reserved, true);
            pool.update_level(running.tenant);
            if let Some(rack) = task.rack {
                *pool.kinds_by_rack.entry((running.kind, rack)).or_default() += 1;
            }
            if running.yields != Yields::Never {
                pool.victims.insert((Reverse(task.started_ms), task.key));
            }
        }
        running.tasks.push(task);
    }

    pub(super) fn take_running(&mut self, now_ms: Millis, job: Job, placements: Vec<Placement>) {
        self.forget_waiting(now_ms, job.id);
        let id = job.id;
        let kind = self.kinds.intern(&job.kind);
        if !self.running.contains_key(&id) {
            let pool = self.kinds.get(kind).routed(true).map(|(_, pool)| pool);
            self.open_job(job, kind, pool);
        }
        for placement in placements {
            if self.task_worker(placement.task).is_some() {
                continue;
            }
            let index = self.workers.intern(&placement.worker);
            if let Some(worker) = self.workers.get_mut(index) {
                worker.hold(placement.task, placement.reserved);
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
            self.open_task(id, task);
            self.refresh_worker(now_ms, index);
        }
    }

    pub(super) fn end_task(&mut self, now_ms: Millis, end: &TaskCompletion) {
        let Some(ended) = self.close_task(now_ms, end) else {
            return;
        };
        self.learn(now_ms, end, &ended);
        self.refresh_worker(now_ms, ended.task.worker);
        self.close_job(now_ms, end.task.job);
    }

    /// Frees what a task holds.
    fn close_task(&mut self, now_ms: Millis, end: &TaskCompletion) -> Option<Ended> {
        let worker = self.workers.index(&end.worker)?;
        let running = self.running.get_mut(&end.task.job)?;
        let mut tasks = running.tasks.iter();
        let place = tasks.position(|task| task.key == end.task && task.worker == worker)?;
        let task = running.tasks.remove(place);
        self.tenants.release(running.tenant, &task.reserved);
        if let Some(pool) = running.pool {
            let pool = &mut self.pools[pool];
            pool.shares.change(running.tenant, &task.reserved, false);
            pool.shares.leave(running.tenant);
            pool.update_level(running.tenant);
            pool.victims.remove(&(Reverse(task.started_ms), task.key));
            pool.preempted.retain(|(_, key)| *key != task.key);
            pool.rate.ended(now_ms, task.work, pool.queue.len() > 0);
            pool.dirty = true;
            if let Some(rack) = task.rack {
                let count = pool.kinds_by_rack.entry((running.kind, rack)).or_default();
                *count = count.saturating_sub(1);
                if *count == 0 {
                    pool.kinds_by_rack.remove(&(running.kind, rack));
                }
            }
        }
        for pool in &mut self.pools {
            pool.dirty |= pool.queue.unblock(running.tenant);
        }
        let (kind, tenant) = (running.kind, running.tenant);
        // A task that was given up as lost may still run, so a report that lists it is believed.
        let certain = end.outcome != TaskOutcome::Lost;
        self.workers
            .get_mut(worker)?
            .release(now_ms, task.key, certain);
        Some(Ended { task, kind, tenant })
    }

    /// Removes a job whose last task has ended.
    fn close_job(&mut self, now_ms: Millis, job: JobId) {
        if self.running.get(&job).is_none_or(|r| !r.tasks.is_empty()) {
            return;
        }
        if let Some(running) = self.running.remove(&job)
            && let Some(pool) = running.pool
        {
            self.pools[pool].running -= 1;
        }
        let again = self.waiting.get(&job);
        if again.is_some_and(|waiting| waiting.stage == Stage::AfterEarlierAttempt) {
            self.enqueue(now_ms, job);
        }
    }

    fn learn(&mut self, now_ms: Millis, end: &TaskCompletion, ended: &Ended) {
        if let Some(used) = &end.used {
            self.kinds.get_mut(ended.kind).sizes.record(used);
            self.refresh_demand(ended.kind);
        }
        let worker = ended.task.worker;
        match end.outcome {
            TaskOutcome::Succeeded => {
                self.learn_run_time(now_ms, ended);
                let kind = &self.kinds.get(ended.kind).name;
                let tenant = &self.tenants.get(ended.tenant).name;
                self.retries.record_success(kind, tenant);
                self.judge(now_ms, worker, ended, true);
            }
            TaskOutcome::Failed => self.judge(now_ms, worker, ended, false),
            TaskOutcome::Refused => self.pause(now_ms, worker),
            TaskOutcome::Stopped | TaskOutcome::Lost => {}
        }
        self.update_trust(worker, |health| health.probe_again(now_ms));
    }

    fn learn_run_time(&mut self, now_ms: Millis, ended: &Ended) {
        let run_ms = now_ms.saturating_sub(ended.task.started_ms);
        let kind = self.kinds.get_mut(ended.kind);
        if let Some(usual_ms) = kind.run_time.median_ms()
            && !ended.task.throttled
            && let Some(worker) = self.workers.get_mut(ended.task.worker)
        {
            worker.limit.record(run_ms.0 * 100 / usual_ms.0.max(1));
        }
        kind.run_time.record(run_ms);
    }

    fn pause(&mut self, now_ms: Millis, index: WorkerIndex) {
        let until_ms = now_ms.saturating_add(REFUSED_PAUSE_MS);
        if let Some(worker) = self.workers.get_mut(index) {
            worker.refused_until_ms = until_ms;
            self.timers.insert((until_ms, index));
        }
    }

    /// Judges a worker and a kind by the outcome of a task.
    fn judge(&mut self, now_ms: Millis, index: WorkerIndex, ended: &Ended, ok: bool) {
        let newly_blamed = self.kinds.get_mut(ended.kind).health.record(index, ok);
        if newly_blamed {
            self.release_unjustly_quarantined();
        }
        let blamed = self.kinds.get(ended.kind).health.blamed();
        let Some(worker) = self.workers.get_mut(index) else {
            return;
        };
        if worker.health.quarantined() {
            if ok {
                self.update_trust(index, |health| health.probe_succeeded(now_ms));
            } else if !blamed {
                self.quarantine(now_ms, index);
            }
            return;
        }
        worker.health.record(ended.kind, ok);
        let kinds = &self.kinds;
        let blamed = |kind| kinds.get(kind).health.blamed();
        let failing = worker.health.failing(blamed);
        if failing && !ok && self.may_quarantine(index) {
            self.quarantine(now_ms, index);
        } else {
            self.update_trust(index, |health| health.suspect(failing));
        }
    }

    fn may_quarantine(&self, index: WorkerIndex) -> bool {
        let Some(place) = self.workers.get(index).and_then(|worker| worker.place) else {
            return false;
        };
        let pool = &self.pools[place.pool];
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

    /// Trusts workers again whose failures are explained by kinds that are blamed now.
    fn release_unjustly_quarantined(&mut self) {
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
                        .failing(|kind| kinds.get(kind).health.blamed())
                });
                if explained {
                    self.update_trust(index, crate::quarantine::Health::release);
                    self.refresh_worker(Millis(0), index);
                }
            }
        }
    }

    /// Changes the trust in a worker and keeps the list of its pool up to date.
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
        let Some(place) = worker.place.filter(|_| before != after) else {
            return;
        };
        let pool = &mut self.pools[place.pool];
        if let Some(until_ms) = probe_time(before) {
            pool.quarantined.remove(&(until_ms, index));
        }
        if let Some(until_ms) = probe_time(after) {
            pool.quarantined.insert((until_ms, index));
        }
        if after == Trust::Suspect {
            pool.suspects.insert(index);
        } else {
            pool.suspects.remove(&index);
        }
    }

    /// Updates the demand of a kind from its route and what its tasks used.
    fn refresh_demand(&mut self, id: KindId) {
        let kind = self.kinds.get_mut(id);
        let (Some(route), Some(pool)) = (&kind.route, kind.pool) else {
            return;
        };
        let index = &self.pools[pool].index;
        let corrected = kind.sizes.corrected(&route.demand, &index.most());
        let mut found = Vec::new();
        index.find_capable(&corrected, 1, &mut found);
        if found.is_empty() {
            // No single worker is as large: reserve the largest of some that are declared to do.
            index.find_capable(&route.demand, 8, &mut found);
            let capacities = found.iter().filter_map(|slot| index.entry(*slot));
            let largest = capacities
                .map(|entry| entry.capacity)
                .max_by_key(|capacity| (capacity.memory_bytes, capacity.cpu_millicores));
            kind.demand = largest.map_or(route.demand, |most| corrected.min(&most));
        } else {
            kind.demand = corrected;
        }
    }

    pub(super) fn refresh_demands(&mut self) {
        for id in self.kinds.ids() {
            self.refresh_demand(id);
        }
    }

    pub(super) fn throttled(&mut self, now_ms: Millis, key: TaskKey, reserved: Resources) {
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
            pool.shares.change(tenant, &freed, false);
            pool.update_level(tenant);
        }
        if let Some(worker) = self.workers.get_mut(index) {
            worker.resize(key, reserved);
        }
        self.refresh_worker(now_ms, index);
    }
}

/// Returns the key under which a pool lists a worker in quarantine.
fn probe_time(trust: Trust) -> Option<Millis> {
    match trust {
        Trust::Trusted | Trust::Suspect => None,
        Trust::Quarantined { until_ms } => Some(until_ms),
        Trust::Probing => Some(Millis(u64::MAX)),
    }
}
