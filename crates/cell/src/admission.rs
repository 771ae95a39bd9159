//! Admission control: refuses a job at once if it would wait longer than its objective allows.
//!
//! The load it is built for: bursts of one or all kinds of jobs at 1.5 to 2.2 times the usual rate,
//! on workers that were four fifths full before; and single tenants at 6 to 7 times their rate for 5
//! to 7 s, on workers that the others fill to four fifths.

use crate::RefusalReason;

/// Load of a service when a job arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// Processor capacity of the service's workers.
    pub capacity_millicores: u64,
    /// Waiting work that runs before the job, in millicores times milliseconds.
    pub queued_ahead_millicore_ms: u64,
    /// Longest time that the job may wait and still meet its objective.
    pub wait_budget_ms: u64,
}

/// Shortest retry time after a refusal, so that callers do not retry in lockstep.
const MIN_RETRY_AFTER_MS: u64 = 1_000;
/// Longest retry time after a refusal; the estimate of the backlog is too rough for longer times.
const MAX_RETRY_AFTER_MS: u64 = 10_000;

/// A job beyond its tenant's rate may wait for this part of the time that the job may wait. While the
/// backlog is short, it takes capacity that others do not need; behind a longer one, what it starts
/// would keep them waiting.
const EXTRA_WAIT_DIVISOR: u64 = 4;

/// Refusal of a job with the figures that led to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionRefusal {
    /// Reason that the caller receives.
    pub reason: RefusalReason,
    /// Time after which the caller should retry.
    pub retry_after_ms: u64,
    /// Time that the work ahead of the job takes; 0 if the refusal does not depend on the load.
    pub wait_ms: u64,
    /// Longest time that the job may wait and still meet its objective; 0 if the refusal does not
    /// depend on the load.
    pub wait_budget_ms: u64,
}

impl AdmissionRefusal {
    /// Creates a refusal that does not depend on the load.
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

/// Load of a tenant when one of its jobs arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TenantLoad {
    /// Whether the job is beyond the tenant's rate.
    pub over_rate: bool,
    /// Whether the job's first tasks could start at once, without waiting behind others.
    pub starts_at_once: bool,
    /// Time in which the tenant's own waiting work that runs before the job is done under its cap.
    pub cap_wait_ms: u64,
    /// The same with the capacity that the tenant is entitled to; `None` if the tenant already holds
    /// that much, so that others go first.
    pub share_wait_ms: Option<u64>,
    /// Time until the tenant's own backlog is done and its rate allows a further job.
    pub own_backlog_ms: u64,
}

/// Decides whether a job without a tenant is accepted.
///
/// # Errors
///
/// Returns the refusal if the service has no capacity, or if the work ahead takes longer than the
/// job may wait. The retry time is the time in which the measured backlog shrinks to what the job
/// can wait for.
pub fn admit(load: &Load) -> Result<(), AdmissionRefusal> {
    if load.capacity_millicores == 0 {
        return Err(AdmissionRefusal::regardless_of_load(
            RefusalReason::NotReady,
        ));
    }
    check_wait(
        load,
        load.queued_ahead_millicore_ms / load.capacity_millicores,
    )
}

/// Decides whether a job of a tenant is accepted.
///
/// A tenant below its entitlement gets at least that share of the capacity that becomes free, so its
/// job waits no longer than for the tenant's own work at that share. Under its cap it never waits
/// less than the cap allows.
///
/// # Errors
///
/// Returns the refusal as [`admit`] does, or if the job is beyond the tenant's rate and would have
/// to wait.
pub fn admit_for_tenant(load: &Load, tenant: &TenantLoad) -> Result<(), AdmissionRefusal> {
    if load.capacity_millicores == 0 {
        return admit(load);
    }
    let wait_ms = load.queued_ahead_millicore_ms / load.capacity_millicores;
    let extra_budget_ms = load.wait_budget_ms / EXTRA_WAIT_DIVISOR;
    if tenant.over_rate && !tenant.starts_at_once && wait_ms > extra_budget_ms {
        let retry_ms = tenant.own_backlog_ms;
        return Err(AdmissionRefusal {
            reason: RefusalReason::OverRate,
            retry_after_ms: retry_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS),
            wait_ms,
            wait_budget_ms: extra_budget_ms,
        });
    }
    let wait_ms = tenant.share_wait_ms.map_or(wait_ms, |own| own.min(wait_ms));
    check_wait(load, wait_ms.max(tenant.cap_wait_ms))
}

fn check_wait(load: &Load, wait_ms: u64) -> Result<(), AdmissionRefusal> {
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
