//! State of one pool in this failure domain.

use std::collections::{BTreeMap, BTreeSet};

use acaciareel_types::{Millis, PoolName, Resources, SortedVec};

use crate::{
    TaskKey,
    amounts::{Amounts, add, amounts, copies, largest_share_ppm, subtract},
    index::{PoolIndex, WorkerIndex},
    jobs::{Reservation, Victims},
    kinds::{KindId, TenantId},
    queue::Queue,
    rate::{CompletionRate, POOL_PPB, Work},
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
    tenants: SortedVec<TenantId, Amounts>,
    pub(crate) victims: Victims,
    /// Tasks that were asked to make room, with the time of asking.
    pub(crate) preempted: Vec<(Millis, TaskKey)>,
    /// Workers in quarantine by the time of their next probe.
    pub(crate) quarantined: BTreeSet<(Millis, WorkerIndex)>,
    pub(crate) reservation: Option<Reservation>,
    pub(crate) rate: CompletionRate,
    /// Number of running jobs.
    pub(crate) running: u32,
    pub(crate) starts: u64,
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
            tenants: SortedVec::new(),
            victims: Victims::new(),
            preempted: Vec::new(),
            quarantined: BTreeSet::new(),
            reservation: None,
            rate: CompletionRate::new(now_ms),
            running: 0,
            starts: 0,
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

    /// Changes what a tenant holds in the pool and returns its share.
    pub(crate) fn change_tenant(
        &mut self,
        tenant: TenantId,
        reserved: &Resources,
        more: bool,
    ) -> u64 {
        let held = self.tenants.get_or_insert_with(tenant, Amounts::default);
        if more {
            add(held, reserved);
        } else {
            subtract(held, reserved);
        }
        let share_ppm = largest_share_ppm(held, &self.capacity);
        if held.iter().all(|amount| *amount == 0) {
            self.tenants.remove(&tenant);
        }
        share_ppm
    }
}
