//! The scheduler of one failure domain.

use std::collections::{BTreeMap, BTreeSet};

use acaciareel_types::{KindName, Millis, Resources, Tables, TaskId, WorkerId, WorkerReport};

use crate::{
    Backoff, CancelOutcome, Decision, DecisionCost, Job, JobId, Placement, PoolSummary, Refusal,
    RetryBudgets, SchedulerSettings, TaskCompletion, TaskKey, WorkerSummary,
    amounts::{Amounts, SLOTS, add, amounts, copies, resources},
    index::WorkerIndex,
    jobs::{Running, Waiting},
    kinds::{Kinds, Tenants},
    pool::Pool,
    registry::Registry,
};

mod ends;
mod pass;
mod preemption;
mod reservations;
mod submission;
mod tables;
mod workers;

/// Delay before the second attempt of an accepted job.
const RETRY_BASE_MS: Millis = Millis(50);
/// Longest delay between attempts of an accepted job.
const RETRY_CAP_MS: Millis = Millis(10_000);

/// Decides where and when work runs on the workers of one failure domain.
#[derive(Debug)]
pub struct Scheduler {
    settings: SchedulerSettings,
    tables: Tables,
    kinds: Kinds,
    tenants: Tenants,
    workers: Registry,
    pools: Vec<Pool>,
    waiting: BTreeMap<JobId, Waiting>,
    running: BTreeMap<JobId, Running>,
    /// Deadlines of waiting jobs.
    deadlines: BTreeSet<(Millis, JobId)>,
    /// Jobs that enter the queue after a backoff.
    delayed: BTreeSet<(Millis, JobId)>,
    /// Times at which a worker's room may change by itself.
    timers: BTreeSet<(Millis, WorkerIndex)>,
    /// Refusals that follow from new tables.
    refused: Vec<(JobId, Refusal)>,
    retries: RetryBudgets,
    sequence: u64,
    cost: DecisionCost,
}

impl Scheduler {
    /// Creates a scheduler without tables and workers.
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

    /// Takes new tables; waiting work follows its route.
    ///
    /// A waiting job whose kind has no route any more is refused by the next `decide`, except
    /// that an accepted job keeps its last route.
    pub fn set_tables(&mut self, now_ms: Millis, tables: &Tables) {
        self.apply_tables(now_ms, tables);
    }

    /// Takes a worker's report: capacity, usage, leaving. Reported tasks that the scheduler did
    /// not place hold room too, until a later report of the worker omits them.
    ///
    /// Reports are ordered by incarnation, then sequence; one that is not newer than the last is
    /// ignored. A task that the scheduler placed or adopted holds its room whether or not a report
    /// lists it, since the report may have been made before the task started: only `task_completed`
    /// and `remove_worker` free it, also after a new incarnation. The scheduler tells its own
    /// tasks from others by [`Scheduler::identify_task`]; a task that is not identified holds its
    /// room twice once a report lists it.
    pub fn report_worker(&mut self, now_ms: Millis, report: &WorkerReport) {
        self.take_report(now_ms, report);
    }

    /// Tells under which identifier a worker's reports list a placed or adopted task.
    pub fn identify_task(&mut self, task: TaskKey, id: &TaskId) {
        self.identify(task, id);
    }

    /// Takes a worker's consent to `PreemptMode::Throttle` and the resources that the task keeps.
    pub fn task_throttled(&mut self, now_ms: Millis, task: TaskKey, reserved: Resources) {
        self.throttled(now_ms, task, reserved);
    }

    /// Stops new work on a worker until it reports that it is not leaving under a new incarnation.
    pub fn drain_worker(&mut self, now_ms: Millis, worker: &WorkerId) {
        self.drain(now_ms, worker);
    }

    /// Forgets a lost worker and returns the tasks that ran there. They have left the scheduler;
    /// `task_completed` need not be called for them.
    ///
    /// The next report of the worker is taken as its whole state, so it must have been made after
    /// the loss: an older one may omit tasks that still run there.
    pub fn remove_worker(&mut self, now_ms: Millis, worker: &WorkerId) -> Vec<TaskKey> {
        self.forget(now_ms, worker)
    }

    /// Admits a job to the queue or refuses it at once.
    ///
    /// A job that waits already stays as it is. A job whose earlier attempt still runs is placed
    /// after all tasks of that attempt have ended.
    ///
    /// # Errors
    ///
    /// Returns the reason and the time after which a resend may succeed.
    pub fn submit(&mut self, now_ms: Millis, job: Job) -> Result<(), Refusal> {
        self.admit(now_ms, job)
    }

    /// Returns whether `submit` would admit a job now, without a change of state. A retry budget
    /// is not checked.
    ///
    /// # Errors
    ///
    /// Returns the reason and the time after which a resend may succeed.
    pub fn check_admission(&mut self, now_ms: Millis, job: &Job) -> Result<(), Refusal> {
        self.check(now_ms, job)
    }

    /// Takes a job that already runs, known from the ledger and a worker's report.
    pub fn adopt(&mut self, now_ms: Millis, job: Job, placements: Vec<Placement>) {
        self.take_running(now_ms, job, placements);
    }

    /// Cancels a job.
    pub fn cancel(&mut self, now_ms: Millis, job: JobId) -> CancelOutcome {
        self.cancel_job(now_ms, job)
    }

    /// Takes the end of a placed task. An unknown task is ignored.
    pub fn task_completed(&mut self, now_ms: Millis, end: &TaskCompletion) {
        self.end_task(now_ms, end);
    }

    /// Appends the decisions that are due now.
    ///
    /// Besides after events, it must be called at least every 100 ms while jobs wait, since
    /// deadlines, backoffs and probes fall due by time alone.
    pub fn decide(&mut self, now_ms: Millis, out: &mut Vec<Decision>) {
        self.decide_all(now_ms, out);
    }

    /// Returns the cost of the last call of `decide`.
    #[must_use]
    pub fn last_cost(&self) -> DecisionCost {
        self.cost
    }

    /// Returns the state of each pool.
    #[must_use]
    pub fn pool_summaries(&self) -> Vec<PoolSummary> {
        let mut summaries: Vec<PoolSummary> = self
            .pools
            .iter()
            .enumerate()
            .filter(|(_, pool)| pool.settings.is_some())
            .map(|(number, pool)| summary(pool, &self.least_demand(number)))
            .collect();
        summaries.sort_by(|a, b| a.pool.cmp(&b.pool));
        summaries
    }

    /// Returns whether a worker has room now for a task of this kind.
    #[must_use]
    pub fn has_free_capacity(&self, kind: &KindName) -> bool {
        let kind = self.kinds.id(kind).map(|id| self.kinds.get(id));
        let routed = kind.and_then(|kind| Some((kind, kind.routed(true)?.1)));
        routed.is_some_and(|(kind, pool)| {
            let mut entries = self.pools[pool].index.entries();
            entries.any(|entry| kind.demand.fits_in(&entry.room))
        })
    }

    /// Returns how many slots' share of a worker a task of this kind takes, by its scarcest
    /// resource. A pool without workers gives no shares; then only the slots of the task count.
    #[must_use]
    pub fn slots_per_task(&self, kind: &KindName) -> u32 {
        let kind = self.kinds.id(kind).map(|id| self.kinds.get(id));
        let Some((kind, (_, pool))) = kind.and_then(|kind| Some((kind, kind.routed(true)?))) else {
            return 1;
        };
        let capacity = self.pools[pool].capacity;
        let slots = capacity[SLOTS];
        let shares = amounts(&kind.demand).into_iter().zip(capacity);
        let most = shares
            .filter(|(_, whole)| *whole > 0)
            .map(|(need, whole)| need.saturating_mul(slots).div_ceil(whole))
            .max();
        let taken = most.unwrap_or_else(|| kind.demand.slots.0.into());
        u32::try_from(taken.max(1)).unwrap_or(u32::MAX)
    }

    /// Returns the smallest demand of each resource among the kinds of a pool.
    fn least_demand(&self, pool: usize) -> Resources {
        let demands = self.kinds.ids().filter_map(|id| {
            let kind = self.kinds.get(id);
            let (_, routed) = kind.routed(false)?;
            (routed == pool).then_some(kind.demand)
        });
        demands.reduce(|a, b| a.min(&b)).unwrap_or_default()
    }

    /// Returns the state of each worker.
    #[must_use]
    pub fn worker_summaries(&self) -> Vec<WorkerSummary> {
        let workers = self.workers.indices().into_iter();
        workers
            .filter_map(|index| self.workers.get(index))
            .map(|worker| WorkerSummary {
                worker: worker.id.clone(),
                capacity: worker.capacity,
                allocated: worker.held,
                in_service: worker.in_service(),
                quarantined: worker.health.quarantined(),
                concurrency_limit: worker.limit.current(),
            })
            .collect()
    }

    fn retry_backoff(&self) -> Backoff {
        Backoff::new(self.settings.seed, RETRY_BASE_MS, RETRY_CAP_MS)
    }
}

fn summary(pool: &Pool, least: &Resources) -> PoolSummary {
    let mut free = Amounts::default();
    let mut workers = 0;
    let mut usable = 0_u64;
    for entry in pool.index.entries() {
        add(&mut free, &entry.room);
        workers += u32::from(entry.capacity != Resources::default());
        usable += copies(least, &entry.room).min(entry.room.slots.0.into());
    }
    PoolSummary {
        pool: pool.name.clone(),
        workers,
        free: resources(&free),
        usable_slots: u32::try_from(usable).unwrap_or(u32::MAX),
        capacity: resources(&pool.capacity),
        waiting: u32::try_from(pool.queue.len()).unwrap_or(u32::MAX),
        predicted_wait_ms: Scheduler::general_wait_ms(pool),
    }
}
