//! Sums of the waiting work by service, tenant, class and priority, for admission control.
//!
//! Load: hundreds of submissions per second while hundreds of steps wait. Examining each step for
//! each submission took all of the leader's processor.

use acaciareel_types::{Millis, SortedVec};

use super::{Leader, pass::counted_demand};
use crate::{
    CellState, QueueRow,
    io::Io,
    tenants::{Class, Totals},
};

/// Number of waiting steps for which the sums are used for one millisecond. Examining a step takes
/// about 1.5 us, so the sums take at most 3% of a core, and are always exact in a short backlog.
const STEPS_PER_VALID_MS: usize = 20;

/// Work with the same standing.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Account {
    service: String,
    tenant: Option<String>,
    class: Class,
    priority: u32,
}

/// Waiting work of one account.
#[derive(Clone, Debug, Default)]
struct Work {
    /// Processor work by the mean run times, in millicores times milliseconds.
    millicore_ms: u64,
    /// Demand times the median run time, in units times milliseconds.
    demand_ms: Totals,
    /// Demand of the tasks without a proposed placement, as it counts on workers.
    unplaced: Totals,
    /// Full demand of the same tasks, as it counts for their tenant.
    unplaced_full: Totals,
}

/// Sums of the waiting work at one time.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    made_ms: Millis,
    steps: usize,
    accounts: SortedVec<Account, Work>,
}

impl Backlog {
    /// Returns the work of a service that runs before a new job of this class and priority, in
    /// millicores times milliseconds.
    pub fn work_ahead(&self, queue: &QueueRow, class: Class) -> u64 {
        let ahead = self.accounts.iter().filter(|(account, _)| {
            account.service == queue.service
                && (account.class, account.priority) <= (class, queue.priority)
        });
        let work = ahead.map(|(_, work)| work.millicore_ms);
        work.fold(0, u64::saturating_add)
    }

    /// Returns the work of a tenant that runs before a new job of it, as resources times
    /// milliseconds.
    pub fn own_work_ahead(&self, tenant: &str, queue: &QueueRow, class: Class) -> Totals {
        let ahead = self.accounts.iter().filter(|(account, _)| {
            account.tenant.as_deref() == Some(tenant)
                && account.priority <= queue.priority
                && account.class <= class
        });
        ahead.fold(Totals::default(), |sum, (_, work)| {
            sum.plus(&work.demand_ms)
        })
    }

    /// Returns the demand of the on-time tasks without a placement: of a service, and of a tenant in
    /// all services.
    pub fn unplaced(&self, service: &str, tenant: &str) -> (Totals, Totals) {
        let (mut of_service, mut of_tenant) = (Totals::default(), Totals::default());
        for (account, work) in self.accounts.iter() {
            if account.class > Class::Extra {
                continue;
            }
            if account.service == service {
                of_service.add(&work.unplaced);
            }
            if account.tenant.as_deref() == Some(tenant) {
                of_tenant.add(&work.unplaced_full);
            }
        }
        (of_service, of_tenant)
    }
}

impl Leader {
    /// Sums the waiting work again if the last sums are too old.
    pub(super) fn refresh_backlog(&mut self, state: &CellState, io: &Io<'_>) {
        let age_ms = io.now_ms.saturating_sub(self.backlog.made_ms).0;
        let valid_ms = (self.backlog.steps / STEPS_PER_VALID_MS) as u64;
        if age_ms >= valid_ms {
            self.backlog = self.sum_backlog(state, io);
        }
    }

    fn sum_backlog(&self, state: &CellState, io: &Io<'_>) -> Backlog {
        let mut accounts: SortedVec<Account, Work> = SortedVec::new();
        for (key, step) in self.steps.iter() {
            let Some(job) = state.job(key.job) else {
                continue;
            };
            let Some(spec) = job.step_spec(*key) else {
                continue;
            };
            let account = Account {
                service: job.queue.service.clone(),
                tenant: job.tenant.clone(),
                class: self.class_of(state, job, self.timeliness(job, *key, io)),
                priority: job.queue.priority,
            };
            let forecast = self.forecast(job, *key, io.now_ms);
            let tasks = step.waiting.len() as u64;
            let unplaced = step.waiting.len().saturating_sub(step.proposed.len());
            let unplaced = u32::try_from(unplaced).unwrap_or(u32::MAX);
            let amount =
                |each: u32, ms: u64| u64::from(each).saturating_mul(tasks).saturating_mul(ms);
            let work = accounts.get_or_insert_with(account, Work::default);
            let millicore_ms = amount(spec.demand.cpu_millicores, forecast.task_ms);
            work.millicore_ms = work.millicore_ms.saturating_add(millicore_ms);
            work.demand_ms.add(&Totals {
                cpu_millicores: amount(spec.demand.cpu_millicores, forecast.median_ms),
                memory_mib: amount(spec.demand.memory_mib, forecast.median_ms),
                accelerators: amount(spec.demand.accelerators, forecast.median_ms),
                tasks,
            });
            work.unplaced
                .add(&Totals::of(&counted_demand(spec), unplaced));
            work.unplaced_full.add(&Totals::of(&spec.demand, unplaced));
        }
        Backlog {
            made_ms: io.now_ms,
            steps: self.steps.len(),
            accounts,
        }
    }
}
