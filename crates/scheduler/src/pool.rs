//! State of one pool in this failure domain.

use std::collections::{BTreeMap, BTreeSet};

use acaciareel_types::{Millis, PoolName, Resources};

use crate::{
    TaskKey,
    amounts::{Amounts, amounts, copies},
    credit::Credit,
    index::{PoolIndex, WorkerIndex},
    jobs::{Reservation, Victims},
    kinds::{KindId, TenantId},
    queue::Queue,
    rate::{CompletionRate, POOL_PPB, Work},
    shares::Shares,
};

/// A pool that the tables name, or named while work ran in it.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) name: PoolName,
    /// `None` once the tables no longer name the pool.
    pub(crate) settings: Option<acaciareel_types::Pool>,
    pub(crate) index: PoolIndex,
    pub(crate) queue: Queue,
    /// Sum of the capacity of workers in service.
    pub(crate) capacity: Amounts,
    /// Number of workers in service.
    pub(crate) workers: usize,
    pub(crate) kinds_by_rack: BTreeMap<(KindId, u32), u32>,
    pub(crate) shares: Shares,
    pub(crate) victims: Victims,
    /// Tasks that were asked to make room, with the time of asking.
    pub(crate) preempted: Vec<(Millis, TaskKey)>,
    /// Workers in quarantine by the time of their next probe.
    pub(crate) quarantined: BTreeSet<(Millis, WorkerIndex)>,
    /// Workers that fail but may not be quarantined, since the cap is reached.
    pub(crate) suspects: BTreeSet<WorkerIndex>,
    pub(crate) reservation: Option<Reservation>,
    pub(crate) rate: CompletionRate,
    /// Number of running jobs.
    pub(crate) running: u32,
    /// Work of the latest start.
    pub(crate) last_work: Work,
    /// Work that aged jobs may start out of order.
    pub(crate) aged_credit: Credit,
    /// Work that gangs may start before earlier deadlines of their class.
    pub(crate) gang_credit: Credit,
    /// Whether something changed since the last pass.
    pub(crate) dirty: bool,
    pub(crate) passed_ms: Millis,
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
            kinds_by_rack: BTreeMap::new(),
            shares: Shares::default(),
            victims: Victims::new(),
            preempted: Vec::new(),
            quarantined: BTreeSet::new(),
            suspects: BTreeSet::new(),
            reservation: None,
            rate: CompletionRate::new(now_ms),
            running: 0,
            last_work: 0,
            aged_credit: Credit::default(),
            gang_credit: Credit::default(),
            dirty: true,
            passed_ms: now_ms,
        }
    }

    /// Returns whether nothing refers to the pool any more.
    pub(crate) fn unused(&self) -> bool {
        self.settings.is_none() && self.running == 0 && self.queue.len() == 0
    }

    /// Returns the predicted work of a job.
    pub(crate) fn work(&self, demand: &Resources, tasks: u32, run_ms: Millis) -> Work {
        let need = amounts(demand);
        let shares = need.iter().zip(&self.capacity).map(|(need, whole)| {
            let ppb = u128::from(*need) * u128::from(POOL_PPB) / u128::from((*whole).max(1));
            u64::try_from(ppb).unwrap_or(u64::MAX).min(POOL_PPB)
        });
        let share = shares.max().unwrap_or(0);
        share.saturating_mul(tasks.into()).saturating_mul(run_ms.0)
    }

    /// Returns whether the workers could hold a job if nothing else ran.
    pub(crate) fn ever_fits(&self, demand: &Resources, tasks: u32) -> bool {
        if tasks == 1 {
            let mut found = Vec::new();
            self.index.find_capable(demand, 1, &mut found);
            return !found.is_empty();
        }
        let mut left = u64::from(tasks);
        self.index.entries().any(|entry| {
            left = left.saturating_sub(copies(demand, &entry.capacity));
            left == 0
        })
    }

    /// Brings the queue up to date with a tenant's share, and with all if the fair one changed.
    pub(crate) fn update_level(&mut self, tenant: TenantId) {
        let level = self.shares.level(tenant, &self.capacity);
        self.queue.set_level(tenant, level);
        for tenant in self.shares.stale() {
            let level = self.shares.level(tenant, &self.capacity);
            self.queue.set_level(tenant, level);
        }
    }
}
