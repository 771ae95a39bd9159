//! Scheduler of one failure domain: its state and public interface.

use std::collections::{BTreeMap, BTreeSet};

use acaciareel_types::{KindName, Millis, Resources, Tables, TaskId, WorkerId, WorkerReport};

use crate::{
    Backoff, CancelOutcome, Decision, DecisionCost, Job, JobId, Placement, PoolSummary, Refusal,
    RetryBudgets, SchedulerSettings, TaskCompletion, TaskKey, WorkerSummary,
    amounts::{Amounts, SLOTS, add, amounts, fitting_tasks, resources},
    index::WorkerIndex,
    jobs::{RunningJob, WaitingJob},
    kinds::{Kinds, Tenants},
    pool::Pool,
    registry::Registry,
};

mod completions;
mod pass;
mod preemption;
mod reservations;
mod submission;
mod tables;
mod workers;

/// Backoff before the second attempt of an accepted job.
const RETRY_BASE_MS: Millis = Millis(50);
/// Upper bound of the backoff between attempts of an accepted job.
const RETRY_CAP_MS: Millis = Millis(10_000);

/// Decides which worker of one failure domain runs which task, and when.
#[derive(Debug)]
pub struct Scheduler {
    settings: SchedulerSettings,
    tables: Tables,
    kinds: Kinds,
    tenants: Tenants,
    workers: Registry,
    pools: Vec<Pool>,
    waiting: BTreeMap<JobId, WaitingJob>,
    running: BTreeMap<JobId, RunningJob>,
    /// Deadlines of all waiting jobs, earliest first.
    deadlines: BTreeSet<(Millis, JobId)>,
    /// Waiting jobs in backoff, by the time at which they enter the queue.
    delayed: BTreeSet<(Millis, JobId)>,
    /// Times at which a worker's available resources change without an event, such as the end of a
    /// pause.
    timers: BTreeSet<(Millis, WorkerIndex)>,
    /// Refusals caused by new tables, returned by the next `decide`.
    refused: Vec<(JobId, Refusal)>,
    retries: RetryBudgets,
    /// Sequence number of the latest submission.
    sequence: u64,
    cost: DecisionCost,
}

impl Scheduler {
    /// Creates a scheduler without tables or workers.
    #[must_use]
    pub fn new(settings: SchedulerSettings) -> Self {
        Self {
            settings,
            tables: Tables::default(),
            kinds: Kinds::default(),
            tenants: Tenants::default(),
            workers: Registry::default(),
            pools: Vec::new(),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            delayed: BTreeSet::new(),
            timers: BTreeSet::new(),
            refused: Vec::new(),
            retries: RetryBudgets::new(),
            sequence: 0,
            cost: DecisionCost::default(),
        }
    }

    /// Replaces the tables and moves waiting jobs to the pools of their new routes.
    ///
    /// If the new tables have no route for the kind of a waiting job, the next `decide` refuses the
    /// job. A job that is already accepted keeps its last route instead.
    pub fn set_tables(&mut self, now_ms: Millis, tables: &Tables) {
        self.apply_tables(now_ms, tables);
    }

    /// Applies a worker's report of its capacity, resource usage and whether it is leaving.
    /// Reported tasks that this scheduler did not place take up resources too, until a later report
    /// of the worker omits them.
    ///
    /// Reports are ordered by incarnation, then by sequence. A report that is not newer than the
    /// last one is ignored. A task that the scheduler placed or adopted keeps its resources whether
    /// or not a report lists it, because the report may predate the start of the task. Only
    /// `task_completed` and `remove_worker` release them, also after a new incarnation.
    ///
    /// The scheduler matches reported tasks with its own by the identifier given to
    /// [`Scheduler::identify_task`]. A task without an identifier is counted twice once a report
    /// lists it.
    pub fn report_worker(&mut self, now_ms: Millis, report: &WorkerReport) {
        self.apply_report(now_ms, report);
    }

    /// Sets the identifier under which a worker's reports list a placed or adopted task.
    pub fn identify_task(&mut self, task: TaskKey, id: &TaskId) {
        self.set_task_id(task, id);
    }

    /// Records that a worker has throttled a task after `PreemptMode::Throttle`. `reserved` is what
    /// the task keeps; the rest becomes free.
    pub fn task_throttled(&mut self, now_ms: Millis, task: TaskKey, reserved: Resources) {
        self.apply_throttle(now_ms, task, reserved);
    }

    /// Stops new placements on a worker until it reports, under a new incarnation, that it is not
    /// leaving.
    pub fn drain_worker(&mut self, now_ms: Millis, worker: &WorkerId) {
        self.drain(now_ms, worker);
    }

    /// Removes a lost worker and returns the tasks that ran on it. The scheduler drops these tasks,
    /// so `task_completed` need not be called for them.
    ///
    /// The next report of the worker is taken as its complete state, so it must have been made
    /// after the loss. An older report may omit tasks that still run on the worker.
    pub fn remove_worker(&mut self, now_ms: Millis, worker: &WorkerId) -> Vec<TaskKey> {
        self.remove_lost_worker(now_ms, worker)
    }

    /// Admits a job to the queue or refuses it immediately.
    ///
    /// Submitting a job that is already waiting has no effect. A job whose earlier attempt still
    /// runs is placed after all tasks of that attempt have completed.
    ///
    /// # Errors
    ///
    /// Returns the reason and the time after which a resend may succeed.
    pub fn submit(&mut self, now_ms: Millis, job: Job) -> Result<(), Refusal> {
        self.admit(now_ms, job)
    }

    /// Returns whether `submit` would admit a job now, without admitting it. Retry budgets are not
    /// checked.
    ///
    /// # Errors
    ///
    /// Returns the reason and the time after which a resend may succeed.
    pub fn check_admission(&mut self, now_ms: Millis, job: &Job) -> Result<(), Refusal> {
        self.check(now_ms, job)
    }

    /// Adds a job that already runs, as found in the ledger and in the reports of workers.
    pub fn adopt(&mut self, now_ms: Millis, job: Job, placements: Vec<Placement>) {
        self.adopt_job(now_ms, job, placements);
    }

    /// Cancels a job. A waiting job is removed. Tasks of a running job are returned for the node to
    /// stop.
    pub fn cancel(&mut self, now_ms: Millis, job: JobId) -> CancelOutcome {
        self.cancel_job(now_ms, job)
    }

    /// Records the completion of a placed task, whatever its outcome, and releases its resources.
    /// An unknown task is ignored.
    pub fn task_completed(&mut self, now_ms: Millis, completion: &TaskCompletion) {
        self.complete_task(now_ms, completion);
    }

    /// Appends the decisions that are due now to `out`.
    ///
    /// Call this after each event, and at least every 100 ms while jobs wait, because deadlines,
    /// backoffs and probes become due without an event.
    pub fn decide(&mut self, now_ms: Millis, out: &mut Vec<Decision>) {
        self.decide_all(now_ms, out);
    }

    /// Returns the search cost of the last call of `decide`.
    #[must_use]
    pub fn last_cost(&self) -> DecisionCost {
        self.cost
    }

    /// Returns a summary of each pool that the tables name, sorted by name.
    #[must_use]
    pub fn pool_summaries(&self) -> Vec<PoolSummary> {
        let mut summaries: Vec<PoolSummary> = self
            .pools
            .iter()
            .enumerate()
            .filter(|(_, pool)| pool.settings.is_some())
            .map(|(number, pool)| summary(pool, &self.min_demand(number)))
            .collect();
        summaries.sort_by(|a, b| a.pool.cmp(&b.pool));
        summaries
    }

    /// Returns whether a worker has enough free capacity now for one task of this kind. Returns
    /// false for a kind without a route or pool.
    #[must_use]
    pub fn has_free_capacity(&self, kind: &KindName) -> bool {
        let kind = self.kinds.id(kind).map(|id| self.kinds.get(id));
        let routed = kind.and_then(|kind| Some((kind, kind.route_and_pool(true)?.1)));
        routed.is_some_and(|(kind, pool)| {
            let mut entries = self.pools[pool].index.entries();
            entries.any(|entry| kind.demand.fits_in(&entry.available))
        })
    }

    /// Returns the number of worker slots that one task of this kind is equivalent to, at least 1.
    /// The task's scarcest resource decides: its share of the pool's capacity is converted to
    /// slots. If the pool has no workers, shares are undefined and the task's declared slots are
    /// returned. A kind without a route or pool gives 1.
    #[must_use]
    pub fn slots_per_task(&self, kind: &KindName) -> u32 {
        let kind = self.kinds.id(kind).map(|id| self.kinds.get(id));
        let Some((kind, (_, pool))) =
            kind.and_then(|kind| Some((kind, kind.route_and_pool(true)?)))
        else {
            return 1;
        };
        let capacity = self.pools[pool].capacity;
        let slots = capacity[SLOTS];
        let shares = amounts(&kind.demand).into_iter().zip(capacity);
        let max_slots = shares
            .filter(|(_, whole)| *whole > 0)
            .map(|(need, whole)| need.saturating_mul(slots).div_ceil(whole))
            .max();
        let equivalent_slots = max_slots.unwrap_or_else(|| kind.demand.slots.0.into());
        u32::try_from(equivalent_slots.max(1)).unwrap_or(u32::MAX)
    }

    /// Returns the smallest demand for each resource among the kinds routed to a pool.
    fn min_demand(&self, pool: usize) -> Resources {
        let demands = self.kinds.ids().filter_map(|id| {
            let kind = self.kinds.get(id);
            let (_, routed) = kind.route_and_pool(false)?;
            (routed == pool).then_some(kind.demand)
        });
        demands.reduce(|a, b| a.min(&b)).unwrap_or_default()
    }

    /// Returns a summary of each known worker.
    #[must_use]
    pub fn worker_summaries(&self) -> Vec<WorkerSummary> {
        let workers = self.workers.indices().into_iter();
        workers
            .filter_map(|index| self.workers.get(index))
            .map(|worker| WorkerSummary {
                worker: worker.id.clone(),
                capacity: worker.capacity,
                allocated: worker.allocated,
                in_service: worker.in_service(),
                quarantined: worker.health.quarantined(),
                concurrency_limit: worker.concurrency_limit.current(),
            })
            .collect()
    }

    fn retry_backoff(&self) -> Backoff {
        Backoff::new(self.settings.seed, RETRY_BASE_MS, RETRY_CAP_MS)
    }
}

fn summary(pool: &Pool, min_demand: &Resources) -> PoolSummary {
    let mut free = Amounts::default();
    let mut workers = 0;
    let mut usable = 0_u64;
    for entry in pool.index.entries() {
        add(&mut free, &entry.available);
        workers += u32::from(entry.capacity != Resources::default());
        usable += fitting_tasks(min_demand, &entry.available).min(entry.available.slots.0.into());
    }
    PoolSummary {
        pool: pool.name.clone(),
        workers,
        free: resources(&free),
        usable_slots: u32::try_from(usable).unwrap_or(u32::MAX),
        capacity: resources(&pool.capacity),
        waiting: u32::try_from(pool.queue.len()).unwrap_or(u32::MAX),
        predicted_wait_ms: Scheduler::pool_wait_ms(pool),
    }
}
