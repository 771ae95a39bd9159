//! Placement, admission, limits and retries without I/O.

mod model;
mod scheduler;

pub use crate::{
    model::{
        Cancelled, Decision, EndKind, Job, JobId, Placement, PoolSummary, PreemptMode, Refusal,
        SchedulerSettings, TaskEnd, TaskKey,
    },
    scheduler::Scheduler,
};
