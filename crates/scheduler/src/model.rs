//! Inputs and outputs of the scheduler.

use acaciareel_types::{KindName, Millis, PoolName, Reason, Resources, TenantName, WorkerId};

/// Identifier of a job, assigned by the node.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobId(pub u64);

/// Identifier of one task of a job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskKey {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Index of the task within the job, from 0.
    pub index: u32,
}

/// A job to place. The route of its kind determines demand, class, pool and number of tasks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Job {
    /// Unique identifier; a retry of the same job uses it again.
    pub id: JobId,
    /// Kind that selects the route.
    pub kind: KindName,
    /// Tenant whose quota and fair share apply.
    pub tenant: TenantName,
    /// Time by which the caller needs the response. A job that still waits then is refused.
    pub deadline_ms: Millis,
    /// Number of earlier attempts of this job that failed or were refused.
    pub earlier_attempts: u32,
    /// Whether the job was already accepted. Admission control does not apply to accepted jobs.
    pub accepted: bool,
}

/// Settings of a scheduler.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SchedulerSettings {
    /// Seed of all jitter. Schedulers with equal seeds and events make equal decisions.
    pub seed: u64,
}

/// Reason why a job was not admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason that is reported to the caller.
    pub reason: Reason,
    /// Time after which a resend may succeed.
    pub retry_after_ms: Millis,
}

/// Assignment of a task to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// Task to start.
    pub task: TaskKey,
    /// Worker that runs the task.
    pub worker: WorkerId,
    /// Resources reserved on the worker.
    pub reserved: Resources,
}

/// How a running task frees resources.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PreemptMode {
    /// The task saves a checkpoint and ends.
    Checkpoint,
    /// The task continues with fewer processors.
    Throttle,
    /// The task ends without a checkpoint and is placed again later.
    Stop,
}

/// A decision that the node carries out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Start all tasks of a job. Their resources are reserved from now on.
    Place {
        /// Job to start.
        job: JobId,
        /// One placement for each task.
        placements: Vec<Placement>,
    },
    /// Refuse a waiting job; it will not run.
    Refuse {
        /// Job to refuse.
        job: JobId,
        /// Reason and retry-after time.
        refusal: Refusal,
    },
    /// Preempt a running task.
    Preempt {
        /// Task to preempt.
        task: TaskKey,
        /// Worker that runs the task.
        worker: WorkerId,
        /// How the task frees resources.
        mode: PreemptMode,
    },
}

/// How a task ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TaskOutcome {
    /// The worker reported success.
    Succeeded,
    /// The worker reported failure.
    Failed,
    /// The worker refused the task before running it.
    Refused,
    /// The task was stopped by a cancellation or a preemption.
    Stopped,
    /// The worker was lost.
    Lost,
}

/// Completion of a placed task. The scheduler releases its resources and drops the task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskCompletion {
    /// Task that ended.
    pub task: TaskKey,
    /// Worker that ran the task.
    pub worker: WorkerId,
    /// How the task ended.
    pub outcome: TaskOutcome,
    /// Peak resource usage, if reported.
    pub used: Option<Resources>,
}

/// Result of a cancellation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CancelOutcome {
    /// The job was waiting and has been removed.
    Waiting,
    /// The job runs. The node must stop these tasks on these workers and report their completions.
    Running(Vec<(TaskKey, WorkerId)>),
    /// No job with this identifier is waiting or running.
    Unknown,
}

/// Summary of one pool in this failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolSummary {
    /// Name of the pool.
    pub pool: PoolName,
    /// Number of workers in service: they have reported and are neither leaving nor drained.
    pub workers: u32,
    /// Sum of the resources that are available to new tasks.
    pub free: Resources,
    /// Number of free slots on workers that also have the other resources for the pool's smallest
    /// demand.
    pub usable_slots: u32,
    /// Sum of the capacities of the workers in service.
    pub capacity: Resources,
    /// Number of queued jobs.
    pub waiting: u32,
    /// Predicted waiting time of a job that arrives now, behind all queued jobs except batch jobs.
    pub predicted_wait_ms: Millis,
}

/// Summary of one worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerSummary {
    /// Identifier of the worker.
    pub worker: WorkerId,
    /// Capacity according to the last report.
    pub capacity: Resources,
    /// Resources allocated to tasks, including reported tasks that this scheduler did not place.
    pub allocated: Resources,
    /// Whether the worker may get new tasks: it has reported and is neither leaving nor drained.
    pub in_service: bool,
    /// Whether the worker is in quarantine.
    pub quarantined: bool,
    /// Maximum number of tasks that the worker may run at once.
    pub concurrency_limit: u32,
}

/// Search cost of one call of `decide`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DecisionCost {
    /// Number of tasks for which a worker was searched.
    pub tasks: u32,
    /// Number of workers and index nodes examined.
    pub examined: u32,
    /// Number of workers and index nodes examined for the most expensive task.
    pub max_examined_per_task: u32,
}
