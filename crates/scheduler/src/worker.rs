//! State of one worker: its reports, the resources allocated to its tasks, and whether it accepts
//! tasks.

use std::collections::VecDeque;

use acaciareel_types::{
    Incarnation, Millis, RackName, Resources, SortedVec, TaskId, WorkerGroup, WorkerId,
    WorkerReport,
};

use crate::{
    JobId, TaskKey,
    amounts::{Amounts, add, max_per_resource, resources},
    concurrency::ConcurrencyLimit,
    quarantine::Health,
};

/// Number of identifiers of completed tasks that are kept to recognise a report made before the
/// completion. Reports arrive at most a few seconds late, and a worker completes fewer tasks in
/// that time.
const MAX_COMPLETED_IDS: usize = 512;
/// Time after which a completed task no longer appears in a late report.
const COMPLETED_ID_RETENTION_MS: Millis = Millis(60_000);

/// Resources of a task that the scheduler placed or adopted.
#[derive(Clone, Debug)]
pub(crate) struct OwnTask {
    /// Identifier in reports, once the node has set it.
    pub(crate) id: Option<TaskId>,
    pub(crate) reserved: Resources,
    /// Resources measured by the worker, zero before the first report.
    pub(crate) used: Resources,
}

/// Position of a worker in the index of its pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct PoolPosition {
    pub(crate) pool: usize,
    pub(crate) position: u32,
}

/// State of one worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) id: WorkerId,
    /// Incarnation and sequence of the last report. `None` before the first one; until then the
    /// worker has no available resources.
    pub(crate) last_report: Option<(Incarnation, u64)>,
    pub(crate) group: Option<WorkerGroup>,
    pub(crate) rack: Option<RackName>,
    pub(crate) capacity: Resources,
    pub(crate) leaving: bool,
    /// Whether an operator drained the worker.
    drained: bool,
    /// Incarnation that was drained, once it is known.
    drained_incarnation: Option<Incarnation>,
    pub(crate) own_tasks: SortedVec<TaskKey, OwnTask>,
    /// Reported tasks that the scheduler did not place, with their resources.
    other_tasks: Vec<(TaskId, Resources)>,
    /// Identifiers of recently completed tasks, with the time of completion.
    completed_ids: VecDeque<(Millis, TaskId)>,
    pub(crate) allocated: Resources,
    /// End of the pause after the worker refused a task. Until then it gets no tasks.
    pub(crate) paused_until_ms: Millis,
    pub(crate) reserved_for: Option<JobId>,
    pub(crate) concurrency_limit: ConcurrencyLimit,
    pub(crate) health: Health,
    pub(crate) pool_position: Option<PoolPosition>,
    /// Capacity that is included in the sums of the pool.
    pub(crate) counted_capacity: Option<Resources>,
    /// Latest time for which the available resources were computed.
    pub(crate) updated_ms: Millis,
}

impl Worker {
    /// Creates a worker that has not reported yet.
    pub(crate) fn new(id: WorkerId) -> Self {
        Self {
            id,
            last_report: None,
            group: None,
            rack: None,
            capacity: Resources::default(),
            leaving: false,
            drained: false,
            drained_incarnation: None,
            own_tasks: SortedVec::new(),
            other_tasks: Vec::new(),
            completed_ids: VecDeque::new(),
            allocated: Resources::default(),
            paused_until_ms: Millis(0),
            reserved_for: None,
            concurrency_limit: ConcurrencyLimit::default(),
            health: Health::default(),
            pool_position: None,
            counted_capacity: None,
            updated_ms: Millis(0),
        }
    }

    /// Stops new tasks under the current incarnation.
    pub(crate) fn drain(&mut self) {
        self.drained = true;
        self.drained_incarnation = self.last_report.map(|(incarnation, _)| incarnation);
    }

    /// Copies the drain from an earlier record of the same worker.
    pub(crate) fn copy_drain(&mut self, earlier: &Self) {
        self.drained = earlier.drained;
        self.drained_incarnation = earlier.drained_incarnation;
    }

    pub(crate) fn drained(&self) -> bool {
        self.drained
    }

    /// Applies a report and returns whether it was newer than the last one.
    ///
    /// Reports are ordered by incarnation and sequence. For the scheduler's own tasks, a report
    /// only updates the measured usage, because it may predate their placement. Only
    /// `task_completed` and `remove_worker` release their resources. The resources of all other
    /// tasks follow the newest report.
    pub(crate) fn apply_report(&mut self, now_ms: Millis, report: &WorkerReport) -> bool {
        let order = (report.incarnation, report.sequence);
        if self.last_report.is_some_and(|last| order <= last) {
            return false;
        }
        let drained_incarnation = *self.drained_incarnation.get_or_insert(report.incarnation);
        if report.incarnation > drained_incarnation && !report.leaving {
            self.drained = false;
        }
        self.last_report = Some(order);
        self.group = Some(report.group.clone());
        self.rack = Some(report.rack.clone());
        self.capacity = report.capacity;
        self.leaving = report.leaving;
        self.apply_running(now_ms, report);
        self.concurrency_limit.set_max(report.capacity.slots.0);
        true
    }

    fn apply_running(&mut self, now_ms: Millis, report: &WorkerReport) {
        let expired_ms = now_ms.saturating_sub(COMPLETED_ID_RETENTION_MS);
        self.completed_ids.retain(|(at_ms, _)| *at_ms >= expired_ms);
        let own: SortedVec<TaskId, TaskKey> = self
            .own_tasks
            .iter()
            .filter_map(|(key, task)| Some((task.id.clone()?, *key)))
            .collect();
        let completed: SortedVec<&TaskId, ()> =
            self.completed_ids.iter().map(|(_, id)| (id, ())).collect();
        self.other_tasks.clear();
        for running in &report.running {
            if let Some(task) = own
                .get(&running.task)
                .and_then(|key| self.own_tasks.get_mut(key))
            {
                task.used = running.used;
            } else if !completed.contains_key(&&running.task) {
                let allocated = max_per_resource(&running.reserved, &running.used);
                self.other_tasks.push((running.task.clone(), allocated));
            }
        }
        self.update_allocated();
    }

    /// Allocates resources to a task.
    pub(crate) fn allocate(&mut self, key: TaskKey, reserved: Resources) {
        let task = OwnTask {
            id: None,
            reserved,
            used: Resources::default(),
        };
        self.own_tasks.insert(key, task);
        self.update_allocated();
    }

    /// Replaces the resources reserved for a task.
    pub(crate) fn resize(&mut self, key: TaskKey, reserved: Resources) {
        if let Some(task) = self.own_tasks.get_mut(&key) {
            task.reserved = reserved;
            task.used = task.used.min(&reserved);
            self.update_allocated();
        }
    }

    /// Releases the resources of a task and returns whether it was known. `certain` means that the
    /// task has ended, so a report that still lists it is late.
    pub(crate) fn release(&mut self, now_ms: Millis, key: TaskKey, certain: bool) -> bool {
        let Some(task) = self.own_tasks.remove(&key) else {
            return false;
        };
        if let Some(id) = task.id.filter(|_| certain) {
            if self.completed_ids.len() >= MAX_COMPLETED_IDS {
                self.completed_ids.pop_front();
            }
            self.completed_ids.push_back((now_ms, id));
        }
        self.update_allocated();
        true
    }

    /// Sets the identifier under which reports list a task.
    pub(crate) fn set_task_id(&mut self, key: TaskKey, id: &TaskId) {
        if let Some(task) = self.own_tasks.get_mut(&key) {
            task.id = Some(id.clone());
            self.other_tasks.retain(|(other, _)| other != id);
            self.update_allocated();
        }
    }

    fn update_allocated(&mut self) {
        let mut sums = Amounts::default();
        for task in self.own_tasks.values() {
            add(&mut sums, &max_per_resource(&task.reserved, &task.used));
        }
        for (_, allocated) in &self.other_tasks {
            add(&mut sums, allocated);
        }
        self.allocated = resources(&sums);
    }

    /// Returns the unallocated resources, whether or not the worker accepts tasks.
    pub(crate) fn free(&self) -> Resources {
        self.capacity.minus(&self.allocated)
    }

    /// Returns whether the worker may get new tasks: it has reported and is neither leaving nor
    /// drained.
    pub(crate) fn in_service(&self) -> bool {
        self.last_report.is_some() && !self.leaving && !self.drained
    }

    /// Returns whether the worker could start a task now, regardless of its health and free
    /// resources.
    fn accepts_tasks(&self, now_ms: Millis) -> bool {
        let running = self.own_tasks.len() + self.other_tasks.len();
        self.in_service()
            && now_ms >= self.paused_until_ms
            && self.concurrency_limit.allows(running)
    }

    /// Returns the resources available to new tasks of `job`, or of any job without a reservation
    /// if `None`. They are zero while another job has reserved the worker.
    pub(crate) fn available(&self, now_ms: Millis, job: Option<JobId>) -> Resources {
        let reserved = self.reserved_for.is_some() && self.reserved_for != job;
        if self.health.trusted() && self.accepts_tasks(now_ms) && !reserved {
            self.free()
        } else {
            Resources::default()
        }
    }

    /// Returns the resources available if the worker is used as a last resort, regardless of its
    /// health.
    pub(crate) fn available_as_last_resort(&self, now_ms: Millis) -> Resources {
        if self.accepts_tasks(now_ms) && self.reserved_for.is_none() {
            self.free()
        } else {
            Resources::default()
        }
    }
}
