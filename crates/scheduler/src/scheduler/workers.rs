//! Reports, drains and losses of workers.

use acaciareel_types::{Millis, Resources, TaskId, WorkerId, WorkerReport};

use crate::{
    TaskCompletion, TaskKey, TaskOutcome,
    amounts::{add, subtract},
    index::WorkerIndex,
    quarantine::Trust,
    scheduler::Scheduler,
    worker::PoolSlot,
};

impl Scheduler {
    pub(super) fn take_report(&mut self, now_ms: Millis, report: &WorkerReport) {
        let index = self.workers.intern(&report.worker);
        let Some(worker) = self.workers.get_mut(index) else {
            return;
        };
        let before = (worker.rack.clone(), worker.capacity);
        if !worker.take_report(now_ms, report) {
            return;
        }
        if before.0.is_some_and(|rack| rack != report.rack) {
            self.unplace_worker(index);
        }
        self.settle_worker(now_ms, index);
        if before.1 != report.capacity {
            self.refresh_demands();
        }
    }

    pub(super) fn identify(&mut self, task: TaskKey, id: &TaskId) {
        let Some(index) = self.task_worker(task) else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(index) {
            worker.identify(task, id);
        }
        self.refresh_worker(Millis(0), index);
    }

    pub(super) fn task_worker(&self, task: TaskKey) -> Option<WorkerIndex> {
        let running = self.running.get(&task.job)?;
        let placed = running.tasks.iter().find(|placed| placed.key == task)?;
        Some(placed.worker)
    }

    pub(super) fn drain(&mut self, now_ms: Millis, worker: &WorkerId) {
        let index = self.workers.intern(worker);
        if let Some(worker) = self.workers.get_mut(index) {
            worker.drain();
        }
        self.refresh_worker(now_ms, index);
    }

    pub(super) fn forget(&mut self, now_ms: Millis, worker: &WorkerId) -> Vec<TaskKey> {
        let Some(index) = self.workers.index(worker) else {
            return Vec::new();
        };
        let tasks: Vec<TaskKey> = match self.workers.get(index) {
            Some(worker) => worker.own.keys().copied().collect(),
            None => Vec::new(),
        };
        // Room that a reservation keeps is no task yet.
        let started = tasks.into_iter();
        let tasks: Vec<TaskKey> = started
            .filter(|task| self.task_worker(*task).is_some())
            .collect();
        for task in &tasks {
            let end = TaskCompletion {
                task: *task,
                worker: worker.clone(),
                outcome: TaskOutcome::Lost,
                used: None,
            };
            self.end_task(now_ms, &end);
        }
        self.unplace_worker(index);
        self.remove_worker_record(index);
        tasks
    }

    /// Removes a worker; a drain outlasts it.
    fn remove_worker_record(&mut self, index: WorkerIndex) {
        self.timers.retain(|(_, worker)| *worker != index);
        if let Some(worker) = self.workers.remove(index)
            && worker.drained()
        {
            let again = self.workers.intern(&worker.id);
            if let Some(kept) = self.workers.get_mut(again) {
                kept.keep_drain(&worker);
            }
        }
    }

    /// Assigns a worker to the pool of its group and brings the index up to date.
    pub(super) fn settle_worker(&mut self, now_ms: Millis, index: WorkerIndex) {
        let Some(worker) = self.workers.get(index) else {
            return;
        };
        let group = worker.group.as_ref();
        let name = group.and_then(|group| self.tables.pool_of_group(group));
        let pool = name.and_then(|name| self.pool_id(name));
        if worker.place.map(|place| place.pool) != pool {
            self.unplace_worker(index);
            if let Some(pool) = pool {
                self.place_worker(index, pool);
            }
        }
        self.refresh_worker(now_ms, index);
    }

    fn place_worker(&mut self, index: WorkerIndex, pool: usize) {
        let Some(worker) = self.workers.get_mut(index) else {
            return;
        };
        let Some(rack) = worker.rack.clone() else {
            return;
        };
        let slot = self.pools[pool].index.add(index, &rack);
        worker.place = Some(PoolSlot { pool, slot });
        match worker.health.trust() {
            Trust::Trusted => {}
            Trust::Suspect => {
                self.pools[pool].suspects.insert(index);
            }
            Trust::Quarantined { until_ms } => {
                self.pools[pool].quarantined.insert((until_ms, index));
            }
            Trust::Probing => {
                self.pools[pool]
                    .quarantined
                    .insert((Millis(u64::MAX), index));
            }
        }
    }

    /// Takes a worker out of its pool. Its tasks stay.
    fn unplace_worker(&mut self, index: WorkerIndex) {
        let Some(worker) = self.workers.get_mut(index) else {
            return;
        };
        let Some(place) = worker.place.take() else {
            return;
        };
        worker.reserved_for = None;
        let pool = &mut self.pools[place.pool];
        pool.index.remove(place.slot);
        pool.quarantined.retain(|(_, worker)| *worker != index);
        pool.suspects.remove(&index);
        pool.dirty = true;
        if let Some(counted) = worker.counted.take() {
            subtract(&mut pool.capacity, &counted);
            pool.workers -= 1;
        }
        if let Some(reservation) = &mut pool.reservation {
            reservation.workers.retain(|worker| *worker != index);
        }
    }

    /// Brings the index up to date with a worker's room.
    pub(super) fn refresh_worker(&mut self, now_ms: Millis, index: WorkerIndex) {
        let Some(worker) = self.workers.get_mut(index) else {
            return;
        };
        let Some(place) = worker.place else {
            return;
        };
        let now_ms = now_ms.max(worker.seen_ms);
        worker.seen_ms = now_ms;
        let pool = &mut self.pools[place.pool];
        let capacity = worker.in_service().then_some(worker.capacity);
        if worker.counted != capacity {
            if let Some(counted) = worker.counted.take() {
                subtract(&mut pool.capacity, &counted);
                pool.workers -= 1;
            }
            if let Some(capacity) = &capacity {
                add(&mut pool.capacity, capacity);
                pool.workers += 1;
            }
            worker.counted = capacity;
        }
        let room = worker.room(now_ms, None);
        let capacity: Resources = capacity.unwrap_or_default();
        pool.dirty |= pool.index.set(place.slot, room, capacity);
    }
}
