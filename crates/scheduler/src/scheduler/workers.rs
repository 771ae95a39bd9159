//! Reports, drains and losses of workers.

use acaciareel_types::{Millis, Resources, TaskId, WorkerId, WorkerReport};

use crate::{
    TaskCompletion, TaskKey, TaskOutcome,
    amounts::{add, subtract},
    index::WorkerIndex,
    quarantine::Trust,
    scheduler::Scheduler,
    worker::PoolPosition,
};

impl Scheduler {
    pub(super) fn apply_report(&mut self, now_ms: Millis, report: &WorkerReport) {
        let index = self.workers.intern(&report.worker);
        let Some(worker) = self.workers.get_mut(index) else {
            return;
        };
        let before = (worker.rack.clone(), worker.capacity);
        if !worker.apply_report(now_ms, report) {
            return;
        }
        if before.0.is_some_and(|rack| rack != report.rack) {
            self.remove_from_pool(index);
        }
        self.assign_pool(now_ms, index);
        if before.1 != report.capacity {
            self.refresh_demands();
        }
    }

    pub(super) fn set_task_id(&mut self, task: TaskKey, id: &TaskId) {
        let Some(index) = self.task_worker(task) else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(index) {
            worker.set_task_id(task, id);
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

    pub(super) fn remove_lost_worker(&mut self, now_ms: Millis, worker: &WorkerId) -> Vec<TaskKey> {
        let Some(index) = self.workers.index(worker) else {
            return Vec::new();
        };
        let tasks: Vec<TaskKey> = match self.workers.get(index) {
            Some(worker) => worker.own_tasks.keys().copied().collect(),
            None => Vec::new(),
        };
        // Allocations of a reservation are not running tasks yet.
        let listed = tasks.into_iter();
        let tasks: Vec<TaskKey> = listed
            .filter(|task| self.task_worker(*task).is_some())
            .collect();
        for task in &tasks {
            let completion = TaskCompletion {
                task: *task,
                worker: worker.clone(),
                outcome: TaskOutcome::Lost,
                used: None,
            };
            self.complete_task(now_ms, &completion);
        }
        self.remove_from_pool(index);
        self.remove_worker_record(index);
        tasks
    }

    /// Removes a worker. If it was drained, a new record keeps the drain.
    fn remove_worker_record(&mut self, index: WorkerIndex) {
        self.timers.retain(|(_, worker)| *worker != index);
        if let Some(worker) = self.workers.remove(index)
            && worker.drained()
        {
            let index = self.workers.intern(&worker.id);
            if let Some(new_record) = self.workers.get_mut(index) {
                new_record.copy_drain(&worker);
            }
        }
    }

    /// Assigns a worker to the pool of its group and updates the index.
    pub(super) fn assign_pool(&mut self, now_ms: Millis, index: WorkerIndex) {
        let Some(worker) = self.workers.get(index) else {
            return;
        };
        let group = worker.group.as_ref();
        let name = group.and_then(|group| self.tables.pool_of_group(group));
        let pool = name.and_then(|name| self.pool_id(name));
        if worker.pool_position.map(|pool_position| pool_position.pool) != pool {
            self.remove_from_pool(index);
            if let Some(pool) = pool {
                self.add_to_pool(index, pool);
            }
        }
        self.refresh_worker(now_ms, index);
    }

    fn add_to_pool(&mut self, index: WorkerIndex, pool: usize) {
        let Some(worker) = self.workers.get_mut(index) else {
            return;
        };
        let Some(rack) = worker.rack.clone() else {
            return;
        };
        let position = self.pools[pool].index.add(index, &rack);
        worker.pool_position = Some(PoolPosition { pool, position });
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

    /// Removes a worker from its pool. Its tasks keep running.
    fn remove_from_pool(&mut self, index: WorkerIndex) {
        let Some(worker) = self.workers.get_mut(index) else {
            return;
        };
        let Some(pool_position) = worker.pool_position.take() else {
            return;
        };
        worker.reserved_for = None;
        let pool = &mut self.pools[pool_position.pool];
        pool.index.remove(pool_position.position);
        pool.quarantined.retain(|(_, worker)| *worker != index);
        pool.suspects.remove(&index);
        pool.dirty = true;
        if let Some(counted_capacity) = worker.counted_capacity.take() {
            subtract(&mut pool.capacity, &counted_capacity);
            pool.workers -= 1;
        }
        if let Some(reservation) = &mut pool.reservation {
            reservation.workers.retain(|worker| *worker != index);
        }
    }

    /// Updates the pool's index and capacity from the state of a worker.
    pub(super) fn refresh_worker(&mut self, now_ms: Millis, index: WorkerIndex) {
        let Some(worker) = self.workers.get_mut(index) else {
            return;
        };
        let Some(pool_position) = worker.pool_position else {
            return;
        };
        let now_ms = now_ms.max(worker.updated_ms);
        worker.updated_ms = now_ms;
        let pool = &mut self.pools[pool_position.pool];
        let capacity = worker.in_service().then_some(worker.capacity);
        if worker.counted_capacity != capacity {
            if let Some(counted_capacity) = worker.counted_capacity.take() {
                subtract(&mut pool.capacity, &counted_capacity);
                pool.workers -= 1;
            }
            if let Some(capacity) = &capacity {
                add(&mut pool.capacity, capacity);
                pool.workers += 1;
            }
            worker.counted_capacity = capacity;
        }
        let available = worker.available(now_ms, None);
        let capacity: Resources = capacity.unwrap_or_default();
        pool.dirty |= pool.index.set(pool_position.position, available, capacity);
    }
}
