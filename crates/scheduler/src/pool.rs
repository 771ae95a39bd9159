//! State of one pool in this failure domain.

use std::collections::{BTreeMap, BTreeSet};

use acaciareel_types::{Millis, PoolName, Resources};

use crate::{
    TaskKey,
    amounts::{Amounts, amounts, fitting_tasks},
    credit::Credit,
    index::{PoolIndex, WorkerIndex},
    jobs::{Reservation, Victims},
    kinds::{KindId, TenantId},
    queue::Queue,
    rate::{CompletionRate, WHOLE_POOL_PPB, Work},
    shares::Shares,
};

/// A pool that the tables name, or that they named earlier and that still has jobs.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) name: PoolName,
    /// `None` once the tables no longer name the pool.
    pub(crate) settings: Option<acaciareel_types::Pool>,
    pub(crate) index: PoolIndex,
    pub(crate) queue: Queue,
    /// Sum of the capacities of the workers in service.
    pub(crate) capacity: Amounts,
    /// Number of workers in service.
    pub(crate) workers: usize,
    /// Number of running tasks by kind and rack.
    pub(crate) tasks_by_kind_and_rack: BTreeMap<(KindId, u32), u32>,
    pub(crate) shares: Shares,
    pub(crate) victims: Victims,
    /// Tasks with a pending preemption, with the time of the request.
    pub(crate) preempted: Vec<(Millis, TaskKey)>,
    /// Workers in quarantine, by the time of their next probe; `u64::MAX` while a probe runs.
    pub(crate) quarantined: BTreeSet<(Millis, WorkerIndex)>,
    /// Workers that fail tasks but cannot be quarantined, because the cap is reached.
    pub(crate) suspects: BTreeSet<WorkerIndex>,
    pub(crate) reservation: Option<Reservation>,
    pub(crate) rate: CompletionRate,
    pub(crate) running_jobs: u32,
    /// Predicted work of the latest job started.
    pub(crate) last_start_work: Work,
    /// Work of aged jobs that may start out of order.
    pub(crate) aged_credit: Credit,
    /// Work of gangs that may start before jobs of their class with earlier deadlines.
    pub(crate) gang_credit: Credit,
    /// Whether the state has changed since the last pass.
    pub(crate) dirty: bool,
    pub(crate) last_pass_ms: Millis,
}

impl Pool {
    pub(crate) fn new(now_ms: Millis, name: PoolName) -> Self {
        Self {
            name,
            settings: None,
            index: PoolIndex::default(),
            queue: Queue::default(),
            capacity: Amounts::default(),
            workers: 0,
            tasks_by_kind_and_rack: BTreeMap::new(),
            shares: Shares::default(),
            victims: Victims::new(),
            preempted: Vec::new(),
            quarantined: BTreeSet::new(),
            suspects: BTreeSet::new(),
            reservation: None,
            rate: CompletionRate::new(now_ms),
            running_jobs: 0,
            last_start_work: 0,
            aged_credit: Credit::default(),
            gang_credit: Credit::default(),
            dirty: true,
            last_pass_ms: now_ms,
        }
    }

    /// Returns whether nothing refers to the pool any more, so that its entry may be reused.
    pub(crate) fn is_unused(&self) -> bool {
        self.settings.is_none() && self.running_jobs == 0 && self.queue.len() == 0
    }

    /// Returns the predicted work of a job: the pool share of one task's scarcest resource, times
    /// tasks, times run time.
    pub(crate) fn work(&self, demand: &Resources, tasks: u32, run_ms: Millis) -> Work {
        let need = amounts(demand);
        let shares = need.iter().zip(&self.capacity).map(|(need, whole)| {
            let ppb = u128::from(*need) * u128::from(WHOLE_POOL_PPB) / u128::from((*whole).max(1));
            u64::try_from(ppb).unwrap_or(u64::MAX).min(WHOLE_POOL_PPB)
        });
        let share = shares.max().unwrap_or(0);
        share.saturating_mul(tasks.into()).saturating_mul(run_ms.0)
    }

    /// Returns whether a job would fit on the workers if nothing else ran.
    pub(crate) fn ever_fits(&self, demand: &Resources, tasks: u32) -> bool {
        if tasks == 1 {
            let mut found = Vec::new();
            self.index.find_capable(demand, 1, &mut found);
            return !found.is_empty();
        }
        let mut left = u64::from(tasks);
        self.index.entries().any(|entry| {
            left = left.saturating_sub(fitting_tasks(demand, &entry.capacity));
            left == 0
        })
    }

    /// Updates the queue after a change of a tenant's share. If the fair share itself has changed,
    /// all tenants are updated.
    pub(crate) fn update_level(&mut self, tenant: TenantId) {
        let level = self.shares.level(tenant, &self.capacity);
        self.queue.set_level(tenant, level);
        for tenant in self.shares.tenants_if_stale() {
            let level = self.shares.level(tenant, &self.capacity);
            self.queue.set_level(tenant, level);
        }
    }
}
