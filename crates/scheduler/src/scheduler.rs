//! The scheduler of one failure domain.

use acaciareel_types::{Millis, Tables, WorkerId, WorkerReport};

use crate::{
    Cancelled, Decision, Job, JobId, Placement, PoolSummary, Refusal, SchedulerSettings, TaskEnd,
    TaskKey,
};

/// Decides where and when work runs on the workers of one failure domain.
#[derive(Debug)]
pub struct Scheduler {
    settings: SchedulerSettings,
}

impl Scheduler {
    /// Creates a scheduler without tables and workers.
    #[must_use]
    pub fn new(settings: SchedulerSettings) -> Self {
        Self { settings }
    }

    /// Takes new tables; waiting work follows its route.
    pub fn set_tables(&mut self, _now_ms: Millis, _tables: &Tables) {}

    /// Takes a worker's report: capacity, usage, leaving. Reported tasks that the scheduler did
    /// not place hold room too, until a later report of the worker omits them.
    pub fn report_worker(&mut self, _now_ms: Millis, _report: &WorkerReport) {}

    /// Stops new work on a worker until it reports that it is not leaving under a new incarnation.
    pub fn drain_worker(&mut self, _now_ms: Millis, _worker: &WorkerId) {}

    /// Forgets a lost worker and returns the tasks that ran there.
    pub fn forget_worker(&mut self, _now_ms: Millis, _worker: &WorkerId) -> Vec<TaskKey> {
        Vec::new()
    }

    /// Admits a job to the queue or refuses it at once.
    ///
    /// # Errors
    ///
    /// Returns the reason and the time after which a resend may succeed.
    pub fn submit(&mut self, _now_ms: Millis, _job: Job) -> Result<(), Refusal> {
        Ok(())
    }

    /// Takes a job that already runs, known from the ledger and a worker's report.
    pub fn adopt(&mut self, _now_ms: Millis, _job: Job, _placements: Vec<Placement>) {}

    /// Cancels a job.
    pub fn cancel(&mut self, _now_ms: Millis, _job: JobId) -> Cancelled {
        Cancelled::Unknown
    }

    /// Takes the end of a placed task.
    pub fn task_ended(&mut self, _now_ms: Millis, _end: &TaskEnd) {}

    /// Appends the decisions that are due now.
    pub fn decide(&mut self, _now_ms: Millis, _out: &mut Vec<Decision>) {}

    /// Returns the state of each pool.
    #[must_use]
    pub fn pool_summaries(&self) -> Vec<PoolSummary> {
        let _ = &self.settings;
        Vec::new()
    }
}
