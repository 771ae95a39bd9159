//! Inputs and outputs of the scheduler.

use acaciareel_types::{KindName, Millis, PoolName, Reason, Resources, TenantName, WorkerId};

/// Identifier of a job, assigned by the node.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobId(pub u64);

/// One task of a job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskKey {
    /// Job.
    pub job: JobId,
    /// Number of the task within the job, from 0.
    pub index: u32,
}

/// Work to place. The route of its kind gives demand, class, pool and number of tasks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Job {
    /// Identifier.
    pub id: JobId,
    /// Kind.
    pub kind: KindName,
    /// Tenant.
    pub tenant: TenantName,
    /// Time by which an answer is due.
    pub deadline_ms: Millis,
    /// Earlier attempts of this job that failed or were refused.
    pub earlier_attempts: u32,
    /// Whether the job is already accepted, so that admission must not refuse it.
    pub accepted: bool,
}

/// Settings of the scheduler.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SchedulerSettings {
    /// Seed of jitter.
    pub seed: u64,
}

/// Why a job was not admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason.
    pub reason: Reason,
    /// Time after which a resend may succeed.
    pub retry_after_ms: Millis,
}

/// Task and the worker chosen for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// Task.
    pub task: TaskKey,
    /// Worker.
    pub worker: WorkerId,
    /// Resources reserved on the worker.
    pub reserved: Resources,
}

/// How a running task makes room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PreemptMode {
    /// Saves its progress and ends.
    Checkpoint,
    /// Goes on with less.
    Throttle,
    /// Ends; it is placed again later.
    Stop,
}

/// Decision for the node to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Places all tasks of a job. Their room is reserved from now on.
    Place {
        /// Job.
        job: JobId,
        /// One placement for each task.
        placements: Vec<Placement>,
    },
    /// A waiting job will not run.
    Refuse {
        /// Job.
        job: JobId,
        /// Why.
        refusal: Refusal,
    },
    /// A running task must make room.
    Preempt {
        /// Task.
        task: TaskKey,
        /// Worker that runs it.
        worker: WorkerId,
        /// How.
        mode: PreemptMode,
    },
}

/// How a task ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TaskOutcome {
    /// The worker reports success.
    Succeeded,
    /// The worker reports failure.
    Failed,
    /// The worker refused the task before it ran.
    Refused,
    /// The task was stopped by a cancellation or a preemption.
    Stopped,
    /// The worker was lost.
    Lost,
}

/// End of a placed task. Its room is free again, and it leaves the scheduler.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskCompletion {
    /// Task.
    pub task: TaskKey,
    /// Worker that ran it.
    pub worker: WorkerId,
    /// How it ended.
    pub outcome: TaskOutcome,
    /// Largest measured usage, where reported.
    pub used: Option<Resources>,
}

/// What became of a cancelled job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CancelOutcome {
    /// It was waiting and is gone.
    Waiting,
    /// It runs on these workers; the node must stop its tasks and report their ends.
    Running(Vec<(TaskKey, WorkerId)>),
    /// The scheduler does not know it.
    Unknown,
}

/// State of one pool in this failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolSummary {
    /// Pool.
    pub pool: PoolName,
    /// Number of workers that take work.
    pub workers: u32,
    /// Sum of their free resources.
    pub free: Resources,
    /// Free slots of workers that have the other resources for the smallest demands too.
    pub usable_slots: u32,
    /// Sum of their capacity.
    pub capacity: Resources,
    /// Number of waiting jobs.
    pub waiting: u32,
    /// Predicted wait of a job that arrives now.
    pub predicted_wait_ms: Millis,
}

/// State of one worker as the scheduler sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerSummary {
    /// Worker.
    pub worker: WorkerId,
    /// Capacity of the last report.
    pub capacity: Resources,
    /// Resources held by tasks.
    pub allocated: Resources,
    /// Whether the worker may get new work at all: it reported, and is neither leaving nor drained.
    pub in_service: bool,
    /// Whether the worker is in quarantine.
    pub quarantined: bool,
    /// Number of tasks that it may run at once.
    pub concurrency_limit: u32,
}

/// Cost of the last call of `decide`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DecisionCost {
    /// Tasks for which a worker was sought.
    pub tasks: u32,
    /// Workers and index nodes looked at.
    pub examined: u32,
    /// Workers and index nodes looked at for the costliest task.
    pub max_examined_per_task: u32,
}
