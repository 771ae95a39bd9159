//! Acceptance of jobs: refuses at once what would wait longer than its objective allows.
//!
//! The load it answers: bursts of one or all kinds of job at 1.5 to 2.2 times the usual rate, on
//! workers that are four fifths full before.

use crate::RefusalReason;

/// What is known of the load when a job arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// Processor capacity of the service's workers.
    pub capacity_millicores: u64,
    /// Work that waits and goes before the job, millicores times milliseconds.
    pub ahead_millicore_ms: u64,
    /// Longest that the job may wait and still meet its objective.
    pub wait_budget_ms: u64,
}

/// Shortest time to come back after a refusal, so that callers do not ask in step.
const MIN_RETRY_AFTER_MS: u64 = 1_000;
/// Longest time to come back; the backlog is known too roughly beyond.
const MAX_RETRY_AFTER_MS: u64 = 10_000;

/// A refusal with what decided it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// When to come back.
    pub retry_after_ms: u64,
    /// How long the work ahead takes.
    pub wait_ms: u64,
    /// Longest that the job may wait and still meet its objective.
    pub wait_budget_ms: u64,
}

impl AdmissionRefusal {
    /// Makes a refusal that does not depend on the load.
    #[must_use]
    pub fn regardless_of_load(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after_ms: MIN_RETRY_AFTER_MS,
            wait_ms: 0,
            wait_budget_ms: 0,
        }
    }
}

/// Decides whether a job is accepted.
///
/// # Errors
///
/// Returns the reason of the refusal and when to come back: once the measured backlog will have
/// shrunk to what the job can wait for.
pub fn admit(load: &Load) -> Result<(), AdmissionRefusal> {
    if load.capacity_millicores == 0 {
        return Err(AdmissionRefusal::regardless_of_load(
            RefusalReason::NotReady,
        ));
    }
    let wait_ms = load.ahead_millicore_ms / load.capacity_millicores;
    let wait_budget_ms = load.wait_budget_ms;
    if wait_ms <= wait_budget_ms {
        return Ok(());
    }
    let excess_ms = wait_ms - wait_budget_ms;
    Err(AdmissionRefusal {
        reason: RefusalReason::Backlog,
        retry_after_ms: excess_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS),
        wait_ms,
        wait_budget_ms,
    })
}
