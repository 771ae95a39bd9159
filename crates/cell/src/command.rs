//! Commands of the replicated log. They are encoded by position, so fields and variants keep their
//! order.

use serde::{Deserialize, Serialize};

use crate::{
    JobId, JobSpec, QueueRow, QueueTable, RunKey, WorkerIncarnation, WorkerNumber, WorkerRecord,
};

/// Outcome of a run as its worker reports it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RunOutcome {
    /// The task succeeded and needs no further run.
    Done,
    /// The run failed; the cause may be the task or the worker.
    Failed,
    /// The run was stopped, its lease ended, another member broke up its gang, or the other members
    /// of its gang never joined.
    Interrupted,
}

/// Completion of one run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunCompletion {
    /// Task and number of the run.
    pub run: RunKey,
    /// Outcome that the worker reported.
    pub outcome: RunOutcome,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// A change of the replicated state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// Replaces the queue table if the version is higher than that in force.
    Queues(QueueTable),
    /// Adds a worker, starts a new incarnation of it, or changes its record.
    Worker(WorkerRecord),
    /// Removes a worker, unless a later incarnation of it has joined. Runs that were placed on it since
    /// the removal was proposed wait again.
    RemoveWorker(WorkerIncarnation),
    /// Accepts a job.
    Accept {
        /// Id chosen by the caller; a job that is already stored under it stays.
        id: JobId,
        /// Row of the queue at the time of acceptance.
        queue: QueueRow,
        /// What to run.
        spec: JobSpec,
        /// Name of the tenant whose key the caller sent; `None` on queues that need no key.
        tenant: Option<String>,
        /// Whether the tenant has exceeded its rate of jobs.
        over_rate: bool,
        /// Time of acceptance on the leader's clock, in Unix milliseconds.
        at_unix_ms: u64,
    },
    /// Cancels a job that has not ended.
    Cancel {
        /// Id of the job.
        id: JobId,
        /// Time on the leader's clock, in Unix milliseconds.
        at_unix_ms: u64,
    },
    /// Places runs on a worker. They are sent to the worker only after the commit.
    Place {
        /// Runs to place. A run that is out of date is refused without affecting the others.
        runs: Vec<RunKey>,
        /// Worker that is to run them. A later incarnation may have other labels and no tickets, so the
        /// runs are refused if one has joined.
        worker: WorkerIncarnation,
    },
    /// Records completions that a worker reported.
    Completions {
        /// Worker that reported them.
        worker: WorkerIncarnation,
        /// Number of the last completion in the count of this incarnation.
        through: u64,
        /// Completions in the worker's order.
        completions: Vec<RunCompletion>,
        /// Time on the leader's clock, in Unix milliseconds.
        at_unix_ms: u64,
    },
    /// Records runs that are certainly not running any more, and ended without a report or never
    /// started.
    Lost {
        /// Worker on which the runs were placed.
        worker: WorkerNumber,
        /// Runs, each with its last known checkpoint.
        runs: Vec<(RunKey, String)>,
    },
    /// Removes ended jobs whose status need not be available any longer; a job with a run that may
    /// still be running stays. The ids are sorted.
    RemoveJobs(Vec<JobId>),
    /// Records that a worker has begun a run of a job. Sent for the first run that is confirmed.
    Started(JobId),
    /// Records that a worker has begun a run of a task that has a crash.
    Confirmed(RunKey),
    /// Records runs whose lease is over without contact to their worker, like `Lost`. If the worker
    /// turns out to have crashed, the crash counts for them.
    LeaseExpired {
        /// Worker on which the runs were placed.
        worker: WorkerIncarnation,
        /// Runs, each with its last known checkpoint and whether the worker had confirmed it.
        runs: Vec<(RunKey, String, bool)>,
    },
    /// Forgets the runs of such a worker: if it has crashed, it may have done so after their leases.
    ForgetExpired(WorkerIncarnation),
    /// Fails a job of which a task has crashed too many workers.
    GiveUp {
        /// Id of the job.
        id: JobId,
        /// Time on the leader's clock, in Unix milliseconds.
        at_unix_ms: u64,
    },
    /// Replaces the saved run times. Only leaders decode them.
    SaveRunTimes(Vec<u8>),
}
