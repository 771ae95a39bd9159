//! Waiting and running jobs.

use std::{cmp::Reverse, collections::BTreeSet};

use acaciareel_types::{Class, Millis, Resources};

use crate::{
    Job, JobId, PreemptMode, TaskKey,
    index::WorkerIndex,
    kinds::{KindId, TenantId},
    queue::QueueEntry,
};

/// State of a job that has not been placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// In the queue of the pool with this index.
    Queued(usize),
    /// In backoff; enters the queue at this time.
    Delayed(Millis),
    /// Enters the queue once the tasks of its earlier attempt have completed.
    AfterEarlierAttempt,
    /// Accepted, but the pool of its route does not exist. Enters the queue when new tables name
    /// it.
    Unrouted,
}

/// A job that has not been placed.
#[derive(Clone, Debug)]
pub(crate) struct WaitingJob {
    pub(crate) job: Job,
    pub(crate) queued: QueueEntry,
    pub(crate) submitted_ms: Millis,
    pub(crate) stage: Stage,
}

/// A task that holds reserved resources on a worker.
#[derive(Clone, Debug)]
pub(crate) struct RunningTask {
    pub(crate) key: TaskKey,
    pub(crate) worker: WorkerIndex,
    pub(crate) reserved: Resources,
    pub(crate) started_ms: Millis,
    pub(crate) rack: Option<u32>,
    /// Predicted work of the task. The completion rate is measured in this unit.
    pub(crate) work: u64,
    /// Time and mode of the latest preemption request.
    pub(crate) preempting: Option<(Millis, PreemptMode)>,
    pub(crate) throttled: bool,
}

/// A job with placed tasks.
#[derive(Debug)]
pub(crate) struct RunningJob {
    pub(crate) job: Job,
    pub(crate) kind: KindId,
    pub(crate) tenant: TenantId,
    pub(crate) pool: Option<usize>,
    pub(crate) preemptibility: Preemptibility,
    pub(crate) tasks: Vec<RunningTask>,
}

/// How a running job may be preempted for urgent work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Preemptibility {
    /// It may not be preempted.
    Never,
    /// Only by throttling, because it must not run twice.
    ThrottleOnly,
    /// In any mode.
    Full,
}

/// Preemptible tasks of a pool, the latest started first, because they lose the least progress.
pub(crate) type Victims = BTreeSet<(Reverse<Millis>, TaskKey)>;

/// A task with allocated resources whose job is not completely placed yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TentativePlacement {
    pub(crate) key: TaskKey,
    pub(crate) worker: WorkerIndex,
    pub(crate) rack: Option<u32>,
    pub(crate) reserved: Resources,
}

/// Capacity that is reserved for one job of a pool until all its tasks fit.
#[derive(Debug)]
pub(crate) struct Reservation {
    pub(crate) job: JobId,
    pub(crate) class: Class,
    /// Whether the job is aged. A reservation for an aged job is never displaced.
    pub(crate) aged: bool,
    /// Tasks whose resources are already allocated.
    pub(crate) placed: Vec<TentativePlacement>,
    /// Workers that accept no other tasks.
    pub(crate) workers: Vec<WorkerIndex>,
    /// Time of the last search for more workers.
    pub(crate) checked_ms: Millis,
}
