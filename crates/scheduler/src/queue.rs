//! Order of the waiting jobs of one pool.

use std::collections::BTreeSet;

use acaciareel_types::{Class, Millis, SortedVec};

use crate::{
    JobId,
    kinds::{KindId, TenantId},
};

/// Position of a job among those of its kind and tenant.
pub(crate) type JobOrder = (Millis, u64, JobId);

/// What the queue needs to know of a job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Queued {
    pub(crate) job: JobId,
    pub(crate) kind: KindId,
    pub(crate) tenant: TenantId,
    pub(crate) class: Class,
    pub(crate) deadline_ms: Millis,
    /// Rises with each job that is submitted.
    pub(crate) sequence: u64,
    /// Predicted work, for admission.
    pub(crate) work: u64,
}

/// Waiting jobs of one kind.
#[derive(Debug)]
struct Lane {
    class: Class,
    /// Tenants whose jobs may go next: share level, earliest deadline, tenant.
    flows: BTreeSet<(u64, Millis, TenantId)>,
    jobs: SortedVec<TenantId, BTreeSet<JobOrder>>,
    /// Tenants whose quota has no room for this kind now.
    blocked: SortedVec<TenantId, ()>,
}

impl Lane {
    fn first_deadline(&self, tenant: TenantId) -> Option<Millis> {
        let jobs = self.jobs.get(&tenant)?;
        jobs.first().map(|(deadline_ms, ..)| *deadline_ms)
    }

    fn unlist(&mut self, level: u64, tenant: TenantId) {
        if let Some(deadline_ms) = self.first_deadline(tenant) {
            self.flows.remove(&(level, deadline_ms, tenant));
        }
    }

    fn list(&mut self, level: u64, tenant: TenantId) {
        if let Some(deadline_ms) = self.first_deadline(tenant)
            && !self.blocked.contains_key(&tenant)
        {
            self.flows.insert((level, deadline_ms, tenant));
        }
    }
}

/// Queued work of one class.
#[derive(Debug, Default)]
struct ClassWork {
    total: u64,
    weights: u64,
    by_tenant: SortedVec<TenantId, (u64, u32)>,
}

/// Waiting jobs of one pool.
///
/// Order: class, then tenants by the level of their share, then deadline. A level covers shares
/// that differ by less than half, so that deadlines decide between tenants that are served alike.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    lanes: SortedVec<KindId, Lane>,
    levels: SortedVec<TenantId, u64>,
    arrivals: BTreeSet<(u64, JobId)>,
    work: [ClassWork; 3],
}

/// Returns the level of a share: two levels for each doubling.
pub(crate) fn share_level(share_ppm: u64) -> u64 {
    if share_ppm == 0 {
        return 0;
    }
    let log = share_ppm.ilog2();
    let half = if log > 0 {
        (share_ppm >> (log - 1)) & 1
    } else {
        0
    };
    u64::from(log) * 2 + half + 1
}

impl Queue {
    /// Returns the number of waiting jobs.
    pub(crate) fn len(&self) -> usize {
        self.arrivals.len()
    }

    fn level(&self, tenant: TenantId) -> u64 {
        self.levels.get(&tenant).copied().unwrap_or(0)
    }

    /// Adds a job of a tenant with this weight.
    pub(crate) fn push(&mut self, queued: &Queued, weight: u64) {
        let level = self.level(queued.tenant);
        let lane = self.lanes.get_or_insert_with(queued.kind, || Lane {
            class: queued.class,
            flows: BTreeSet::new(),
            jobs: SortedVec::new(),
            blocked: SortedVec::new(),
        });
        lane.unlist(level, queued.tenant);
        lane.jobs
            .get_or_insert_with(queued.tenant, BTreeSet::new)
            .insert((queued.deadline_ms, queued.sequence, queued.job));
        lane.list(level, queued.tenant);
        self.arrivals.insert((queued.sequence, queued.job));
        let work = &mut self.work[queued.class as usize];
        work.total = work.total.saturating_add(queued.work);
        let of_tenant = work.by_tenant.get_or_insert_with(queued.tenant, || (0, 0));
        if of_tenant.1 == 0 {
            work.weights += weight;
        }
        of_tenant.0 = of_tenant.0.saturating_add(queued.work);
        of_tenant.1 += 1;
    }

    /// Removes a job.
    pub(crate) fn remove(&mut self, queued: &Queued, weight: u64) {
        let level = self.level(queued.tenant);
        if !self.arrivals.remove(&(queued.sequence, queued.job)) {
            return;
        }
        if let Some(lane) = self.lanes.get_mut(&queued.kind) {
            lane.unlist(level, queued.tenant);
            if let Some(jobs) = lane.jobs.get_mut(&queued.tenant) {
                jobs.remove(&(queued.deadline_ms, queued.sequence, queued.job));
                if jobs.is_empty() {
                    lane.jobs.remove(&queued.tenant);
                }
            }
            lane.list(level, queued.tenant);
            if lane.jobs.is_empty() {
                self.lanes.remove(&queued.kind);
            }
        }
        self.remove_work(queued, weight);
    }

    fn remove_work(&mut self, queued: &Queued, weight: u64) {
        let work = &mut self.work[queued.class as usize];
        work.total = work.total.saturating_sub(queued.work);
        if let Some(of_tenant) = work.by_tenant.get_mut(&queued.tenant) {
            of_tenant.0 = of_tenant.0.saturating_sub(queued.work);
            of_tenant.1 -= 1;
            if of_tenant.1 == 0 {
                work.by_tenant.remove(&queued.tenant);
                work.weights = work.weights.saturating_sub(weight);
            }
        }
    }

    /// Returns the job that goes next, other than those of the kinds to skip.
    pub(crate) fn next(&self, skip: &[KindId]) -> Option<(KindId, JobId)> {
        let heads = self.lanes.iter().filter(|(kind, _)| !skip.contains(kind));
        let heads = heads.filter_map(|(kind, lane)| {
            let (level, deadline_ms, tenant) = lane.flows.first()?;
            Some(((lane.class, *level, *deadline_ms), *kind, lane, *tenant))
        });
        let (_, kind, lane, tenant) = heads.min_by_key(|(order, kind, ..)| (*order, *kind))?;
        let (.., job) = lane.jobs.get(&tenant)?.first()?;
        Some((kind, *job))
    }

    /// Returns the first urgent jobs, by lane.
    pub(crate) fn urgent(&self, most: usize) -> Vec<(KindId, JobId)> {
        let lanes = self.lanes.iter();
        let urgent = lanes.filter(|(_, lane)| lane.class == Class::Urgent);
        let jobs = urgent.flat_map(|(kind, lane)| {
            let tenants = lane.flows.iter();
            let jobs = tenants.filter_map(|(.., tenant)| lane.jobs.get(tenant));
            jobs.flatten().map(|(.., job)| (*kind, *job))
        });
        jobs.take(most).collect()
    }

    /// Returns the job that arrived first.
    pub(crate) fn oldest(&self) -> Option<JobId> {
        self.arrivals.first().map(|(_, job)| *job)
    }

    /// Sets a tenant's share of the pool, divided by its weight.
    pub(crate) fn set_share(&mut self, tenant: TenantId, share_ppm: u64) {
        let new = share_level(share_ppm);
        let old = self.level(tenant);
        if new == old {
            return;
        }
        for (_, lane) in self.lanes.iter_mut() {
            if lane.jobs.contains_key(&tenant) {
                lane.unlist(old, tenant);
                lane.list(new, tenant);
            }
        }
        if new == 0 {
            self.levels.remove(&tenant);
        } else {
            self.levels.insert(tenant, new);
        }
    }

    /// Sets a tenant's jobs of a kind aside until [`Queue::unblock`].
    pub(crate) fn block(&mut self, kind: KindId, tenant: TenantId) {
        let level = self.level(tenant);
        if let Some(lane) = self.lanes.get_mut(&kind) {
            lane.unlist(level, tenant);
            lane.blocked.insert(tenant, ());
        }
    }

    /// Lets a tenant's jobs go again and returns whether there were any.
    pub(crate) fn unblock(&mut self, tenant: TenantId) -> bool {
        let level = self.level(tenant);
        let mut any = false;
        for (_, lane) in self.lanes.iter_mut() {
            if lane.blocked.remove(&tenant).is_some() {
                lane.list(level, tenant);
                any = true;
            }
        }
        any
    }

    /// Returns the predicted work that goes before the end of a new job's turn.
    ///
    /// Tenants of one class take turns by weight, so a tenant waits for its own work times the
    /// number of turns that others take, and never for more than all work of the class.
    pub(crate) fn work_ahead(&self, class: Class, tenant: TenantId, weight: u64, work: u64) -> u64 {
        let higher = self.work[..class as usize].iter();
        let higher: u64 = higher.map(|work| work.total).sum();
        let queued = &self.work[class as usize];
        let own = queued.by_tenant.get(&tenant);
        let own_work = own.map_or(0, |(own, _)| *own).saturating_add(work);
        let weights = queued.weights + if own.is_none() { weight } else { 0 };
        let turns = u128::from(own_work) * u128::from(weights) / u128::from(weight.max(1));
        let turns = u64::try_from(turns).unwrap_or(u64::MAX);
        higher.saturating_add(turns.min(queued.total))
    }

    /// Returns the predicted work of a tenant's waiting jobs of a class.
    pub(crate) fn work_of(&self, class: Class, tenant: TenantId) -> u64 {
        let by_tenant = &self.work[class as usize].by_tenant;
        by_tenant.get(&tenant).map_or(0, |(work, _)| *work)
    }

    /// Returns all predicted work up to a class.
    pub(crate) fn work_through(&self, class: Class) -> u64 {
        let through = self.work[..=class as usize].iter();
        through.map(|work| work.total).sum()
    }
}
