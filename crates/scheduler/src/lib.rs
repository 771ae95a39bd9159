//! Placement, admission, limits and retries without I/O.
//!
//! [`Scheduler`] makes the decisions for the workers of one failure domain. Every input carries the
//! current time, and all state is in ordered collections, so equal sequences of events give equal
//! decisions.

mod amounts;
mod concurrency;
mod credit;
mod failure_attribution;
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
