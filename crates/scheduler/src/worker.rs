//! One worker: its reports, the room that its tasks hold, and whether it takes work.

use std::collections::VecDeque;

use acaciareel_types::{
    Incarnation, Millis, RackName, Resources, SortedVec, TaskId, WorkerGroup, WorkerId,
    WorkerReport,
};

use crate::{
    JobId, TaskKey,
    amounts::{Amounts, add, larger, resources},
    concurrency::ConcurrencyLimit,
    quarantine::Health,
};

/// Identifiers of ended tasks that are kept to recognise a report made before the end. Reports
/// arrive at most a few seconds late; in that time a worker ends fewer tasks than this.
const MAX_ENDED: usize = 512;
/// Age at which an ended task is no longer expected in a late report.
const ENDED_KEPT_MS: Millis = Millis(60_000);

/// Room that a task placed or adopted by the scheduler holds.
#[derive(Clone, Debug)]
pub(crate) struct OwnTask {
    /// Identifier in reports, once the node has told it.
    pub(crate) id: Option<TaskId>,
    /// Resources reserved.
    pub(crate) reserved: Resources,
    /// Resources measured, zero before the first report.
    pub(crate) used: Resources,
}

/// Where a worker stands in the index of its pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct PoolSlot {
    pub(crate) pool: usize,
    pub(crate) slot: u32,
}

/// State of a worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) id: WorkerId,
    /// `None` before the first report: the worker has no room until then.
    pub(crate) identity: Option<(Incarnation, u64)>,
    pub(crate) group: Option<WorkerGroup>,
    pub(crate) rack: Option<RackName>,
    pub(crate) capacity: Resources,
    pub(crate) leaving: bool,
    /// Whether an operator drained the worker.
    drained: bool,
    /// Incarnation that was drained, once it is known.
    drained_incarnation: Option<Incarnation>,
    pub(crate) own: SortedVec<TaskKey, OwnTask>,
    foreign: Vec<(TaskId, Resources)>,
    ended: VecDeque<(Millis, TaskId)>,
    pub(crate) held: Resources,
    /// Until then the worker takes nothing, since it refused a task.
    pub(crate) refused_until_ms: Millis,
    pub(crate) reserved_for: Option<JobId>,
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) health: Health,
    pub(crate) place: Option<PoolSlot>,
    /// Capacity that is counted in the sums of the pool.
    pub(crate) counted: Option<Resources>,
    /// Time of the last change.
    pub(crate) seen_ms: Millis,
}

impl Worker {
    /// Creates a worker that has not reported yet.
    pub(crate) fn new(id: WorkerId) -> Self {
        Self {
            id,
            identity: None,
            group: None,
            rack: None,
            capacity: Resources::default(),
            leaving: false,
            drained: false,
            drained_incarnation: None,
            own: SortedVec::new(),
            foreign: Vec::new(),
            ended: VecDeque::new(),
            held: Resources::default(),
            refused_until_ms: Millis(0),
            reserved_for: None,
            limit: ConcurrencyLimit::default(),
            health: Health::default(),
            place: None,
            counted: None,
            seen_ms: Millis(0),
        }
    }

    /// Stops new work under the present incarnation.
    pub(crate) fn drain(&mut self) {
        self.drained = true;
        self.drained_incarnation = self.identity.map(|(incarnation, _)| incarnation);
    }

    /// Takes over the drain of an earlier record of the same worker.
    pub(crate) fn keep_drain(&mut self, earlier: &Self) {
        self.drained = earlier.drained;
        self.drained_incarnation = earlier.drained_incarnation;
    }

    pub(crate) fn drained(&self) -> bool {
        self.drained
    }

    /// Takes a report and returns whether it was newer than the last one.
    ///
    /// Reports are ordered by incarnation and sequence. A report says nothing about the room of
    /// the scheduler's own tasks except for what they use, since it may have been made before a
    /// task was placed; that room is freed by `task_completed` and `remove_worker` only. The room of
    /// all other tasks follows the newest report.
    pub(crate) fn take_report(&mut self, now_ms: Millis, report: &WorkerReport) -> bool {
        let identity = (report.incarnation, report.sequence);
        if self.identity.is_some_and(|last| identity <= last) {
            return false;
        }
        let drained = *self.drained_incarnation.get_or_insert(report.incarnation);
        if report.incarnation > drained && !report.leaving {
            self.drained = false;
        }
        self.identity = Some(identity);
        self.group = Some(report.group.clone());
        self.rack = Some(report.rack.clone());
        self.capacity = report.capacity;
        self.leaving = report.leaving;
        self.take_running(now_ms, report);
        self.limit.set_max(report.capacity.slots.0);
        true
    }

    fn take_running(&mut self, now_ms: Millis, report: &WorkerReport) {
        let forgotten_ms = now_ms.saturating_sub(ENDED_KEPT_MS);
        self.ended.retain(|(at_ms, _)| *at_ms >= forgotten_ms);
        let own: SortedVec<TaskId, TaskKey> = self
            .own
            .iter()
            .filter_map(|(key, task)| Some((task.id.clone()?, *key)))
            .collect();
        let ended: SortedVec<&TaskId, ()> = self.ended.iter().map(|(_, id)| (id, ())).collect();
        self.foreign.clear();
        for running in &report.running {
            if let Some(task) = own.get(&running.task).and_then(|key| self.own.get_mut(key)) {
                task.used = running.used;
            } else if !ended.contains_key(&&running.task) {
                let held = larger(&running.reserved, &running.used);
                self.foreign.push((running.task.clone(), held));
            }
        }
        self.sum_held();
    }

    /// Holds room for a task.
    pub(crate) fn hold(&mut self, key: TaskKey, reserved: Resources) {
        let task = OwnTask {
            id: None,
            reserved,
            used: Resources::default(),
        };
        self.own.insert(key, task);
        self.sum_held();
    }

    /// Replaces the room of a task.
    pub(crate) fn resize(&mut self, key: TaskKey, reserved: Resources) {
        if let Some(task) = self.own.get_mut(&key) {
            task.reserved = reserved;
            task.used = task.used.min(&reserved);
            self.sum_held();
        }
    }

    /// Frees the room of a task. With `certain`, a report that still lists it is late.
    pub(crate) fn release(&mut self, now_ms: Millis, key: TaskKey, certain: bool) -> bool {
        let Some(task) = self.own.remove(&key) else {
            return false;
        };
        if let Some(id) = task.id.filter(|_| certain) {
            if self.ended.len() >= MAX_ENDED {
                self.ended.pop_front();
            }
            self.ended.push_back((now_ms, id));
        }
        self.sum_held();
        true
    }

    /// Learns the identifier of a task in reports.
    pub(crate) fn identify(&mut self, key: TaskKey, id: &TaskId) {
        if let Some(task) = self.own.get_mut(&key) {
            task.id = Some(id.clone());
            self.foreign.retain(|(foreign, _)| foreign != id);
            self.sum_held();
        }
    }

    fn sum_held(&mut self) {
        let mut sums = Amounts::default();
        for task in self.own.values() {
            add(&mut sums, &larger(&task.reserved, &task.used));
        }
        for (_, held) in &self.foreign {
            add(&mut sums, held);
        }
        self.held = resources(&sums);
    }

    /// Returns what is free, whether or not the worker takes work.
    pub(crate) fn free(&self) -> Resources {
        self.capacity.minus(&self.held)
    }

    /// Returns whether the worker may get new work at all.
    pub(crate) fn in_service(&self) -> bool {
        self.identity.is_some() && !self.leaving && !self.drained
    }

    /// Returns whether the worker could take a task now, apart from its health and room.
    fn open(&self, now_ms: Millis) -> bool {
        let running = self.own.len() + self.foreign.len();
        self.in_service() && now_ms >= self.refused_until_ms && self.limit.allows(running)
    }

    /// Returns the room for new tasks of `job`, or of any job that holds no reservation here.
    pub(crate) fn room(&self, now_ms: Millis, job: Option<JobId>) -> Resources {
        let reserved = self.reserved_for.is_some() && self.reserved_for != job;
        if self.health.trusted() && self.open(now_ms) && !reserved {
            self.free()
        } else {
            Resources::default()
        }
    }

    /// Returns the room of a worker that is used as the last resort.
    pub(crate) fn last_room(&self, now_ms: Millis) -> Resources {
        if self.open(now_ms) && self.reserved_for.is_none() {
            self.free()
        } else {
            Resources::default()
        }
    }
}
