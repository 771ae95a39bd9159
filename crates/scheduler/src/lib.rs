//! Placement, admission, limits and retries without I/O.
//!
//! [`Scheduler`] decides for the workers of one failure domain. Every input carries the time, and
//! all state lives in ordered collections, so the same events always give the same decisions.

mod amounts;
mod blame;
mod concurrency;
mod credit;
mod index;
mod jobs;
mod kinds;
mod max_tree;
mod model;
mod placement;
mod pool;
mod quarantine;
mod queue;
mod random;
mod rate;
mod registry;
mod retry;
mod scheduler;
mod shares;
mod sizes;
mod worker;

pub use crate::{
    concurrency::ConcurrencyLimit,
    model::{
        CancelOutcome, Decision, DecisionCost, Job, JobId, Placement, PoolSummary, PreemptMode,
        Refusal, SchedulerSettings, TaskCompletion, TaskKey, TaskOutcome, WorkerSummary,
    },
    retry::{Backoff, RetryBudget, RetryBudgets},
    scheduler::Scheduler,
};
