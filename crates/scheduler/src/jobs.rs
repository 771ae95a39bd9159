//! Waiting and running jobs.

use std::{cmp::Reverse, collections::BTreeSet};

use acaciareel_types::{Class, Millis, Resources};

use crate::{
    Job, JobId, PreemptMode, TaskKey,
    index::WorkerIndex,
    kinds::{KindId, TenantId},
    queue::Queued,
};

/// Where a waiting job stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// In the queue of this pool.
    Queued(usize),
    /// Enters the queue at this time, after a backoff.
    Delayed(Millis),
    /// Enters the queue when the tasks of its earlier attempt have ended.
    AfterEarlierAttempt,
    /// Accepted, but its pool does not exist; follows the next tables.
    Unrouted,
}

/// A job that has not been placed.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) job: Job,
    pub(crate) queued: Queued,
    pub(crate) submitted_ms: Millis,
    pub(crate) stage: Stage,
}

/// A placed task.
#[derive(Clone, Debug)]
pub(crate) struct RunningTask {
    pub(crate) key: TaskKey,
    pub(crate) worker: WorkerIndex,
    pub(crate) reserved: Resources,
    pub(crate) started_ms: Millis,
    pub(crate) rack: Option<u32>,
    /// Predicted work, to measure the completion rate in the unit of predictions.
    pub(crate) work: u64,
    pub(crate) preempting: Option<(Millis, PreemptMode)>,
    pub(crate) throttled: bool,
}

/// A job with tasks that run.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) job: Job,
    pub(crate) kind: KindId,
    pub(crate) tenant: TenantId,
    pub(crate) pool: Option<usize>,
    /// Whether its tasks may make room for urgent work, and whether they may be stopped for it.
    pub(crate) yields: Yields,
    pub(crate) tasks: Vec<RunningTask>,
}

/// How a running job may make room for urgent work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Yields {
    /// It may not.
    Never,
    /// By throttling, since it must not run twice.
    Slower,
    /// In any way.
    Fully,
}

/// Preemptible tasks of a pool, latest started first, since these lose the least progress.
pub(crate) type Victims = BTreeSet<(Reverse<Millis>, TaskKey)>;

/// A task that holds room while the rest of its job is placed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tentative {
    pub(crate) key: TaskKey,
    pub(crate) worker: WorkerIndex,
    pub(crate) rack: Option<u32>,
    pub(crate) reserved: Resources,
}

/// Job that alone may keep room free in a pool until all its tasks fit.
#[derive(Debug)]
pub(crate) struct Reservation {
    pub(crate) job: JobId,
    pub(crate) class: Class,
    /// Whether it was made for a job that waited too long, so that nothing displaces it.
    pub(crate) aged: bool,
    /// Tasks that hold room already.
    pub(crate) placed: Vec<Tentative>,
    /// Workers that take no other work.
    pub(crate) workers: Vec<WorkerIndex>,
    pub(crate) checked_ms: Millis,
}
