//! Commands of the replicated log.

use serde::{Deserialize, Serialize};

use crate::{JobId, JobSpec, QueueRow, QueueTable, RunKey, WorkerNumber, WorkerRecord};

/// How a run ended, as its worker reports it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RunOutcome {
    /// Done.
    Done,
    /// Failed, through its own fault or the worker's.
    Failed,
    /// Stopped on order, out of lease, broken by another member of its gang, or never joined by
    /// the others.
    Interrupted,
}

/// End of one run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunCompletion {
    /// Run.
    pub run: RunKey,
    /// How it ended.
    pub outcome: RunOutcome,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// A committed change of the cell.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Command {
    /// Replaces the queue table by one of a higher version.
    Queues(QueueTable),
    /// A worker joins, starts a new life, or changes what it announces.
    Worker(WorkerRecord),
    /// A worker without runs is forgotten.
    RemoveWorker(WorkerNumber),
    /// A job is accepted.
    Accept {
        /// Job.
        id: JobId,
        /// Queue at that time.
        queue: QueueRow,
        /// What to run.
        spec: JobSpec,
        /// Time of acceptance on the leader's clock.
        at_unix_ms: u64,
    },
    /// A job is cancelled.
    Cancel {
        /// Job.
        id: JobId,
        /// Time on the leader's clock.
        at_unix_ms: u64,
    },
    /// Runs may start on a worker; sent to the worker only after the commit.
    Place {
        /// Runs.
        runs: Vec<RunKey>,
        /// Worker.
        worker: WorkerNumber,
    },
    /// Ends that a worker listed.
    Completions {
        /// Worker.
        worker: WorkerNumber,
        /// Number of the last end in the worker's own count.
        through: u64,
        /// Ends in order.
        completions: Vec<RunCompletion>,
        /// Time on the leader's clock.
        at_unix_ms: u64,
    },
    /// Runs that certainly run no more, and ended without a report or never started.
    Lost {
        /// Worker.
        worker: WorkerNumber,
        /// Runs with the last checkpoint known of each.
        runs: Vec<(RunKey, String)>,
    },
    /// Ended jobs whose state need not be kept any longer.
    RemoveJobs(Vec<JobId>),
}
