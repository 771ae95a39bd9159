//! Order of the waiting jobs of one pool.

use std::collections::BTreeSet;

use acaciareel_types::{Class, Millis, SortedVec};

use crate::{
    JobId,
    kinds::{KindId, TenantId},
};

/// Position of a job among those of its kind and tenant.
pub(crate) type JobOrder = (Millis, u64, JobId);

/// Shortest wait after which a job counts as aged.
const LEAST_AGED_MS: Millis = Millis(10_000);
/// A job is aged once this part of its time limit has passed, so that ageing comes in time for the
/// deadline. The job that has been aged for longest gets its turn whatever its class.
const AGED_PART: u64 = 2;

/// Returns the time from which a job counts as aged.
pub(crate) fn aged_ms(submitted_ms: Millis, deadline_ms: Millis) -> Millis {
    let limit_ms = deadline_ms.saturating_sub(submitted_ms);
    submitted_ms.saturating_add(Millis(limit_ms.0 / AGED_PART).max(LEAST_AGED_MS))
}

/// Part of its time limit, in percent, after which a job goes before others of its class whatever
/// its tenant's share: it was admitted, so it must not miss its deadline for the sake of shares.
const PRESSING_PERCENT: u64 = 75;
/// The same for urgent work, which must start within 2,400 ms.
const URGENT_PRESSING_MS: Millis = Millis(1_500);

/// Returns the time from which a job goes before others of its class.
pub(crate) fn pressing_ms(queued: &Queued) -> Millis {
    let limit_ms = queued.deadline_ms.saturating_sub(queued.submitted_ms);
    let after_ms = Millis(limit_ms.0 / 100 * PRESSING_PERCENT);
    let after_ms = match queued.class {
        Class::Urgent => after_ms.min(URGENT_PRESSING_MS),
        Class::Standard | Class::Batch => after_ms,
    };
    queued.submitted_ms.saturating_add(after_ms)
}

/// Pressing jobs of a kind that are looked at for one whose tenant has quota left.
const PRESSING_SEEN: usize = 16;

fn pressing(queued: &Queued) -> (Millis, JobId, TenantId, Millis) {
    let at_ms = pressing_ms(queued);
    (at_ms, queued.job, queued.tenant, queued.deadline_ms)
}

/// What the queue needs to know of a job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Queued {
    pub(crate) job: JobId,
    pub(crate) kind: KindId,
    pub(crate) tenant: TenantId,
    pub(crate) class: Class,
    pub(crate) submitted_ms: Millis,
    pub(crate) deadline_ms: Millis,
    /// See [`aged_ms`].
    pub(crate) aged_ms: Millis,
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
    /// All jobs by deadline.
    due: BTreeSet<(Millis, JobId)>,
    /// All jobs by the time from which they go first, with deadline.
    pressing: BTreeSet<(Millis, JobId, TenantId, Millis)>,
    work: u64,
    /// Tenants whose quota has no room for this kind now.
    blocked: SortedVec<TenantId, ()>,
}

impl Lane {
    fn first_due(&self, tenant: TenantId) -> Option<Millis> {
        let jobs = self.jobs.get(&tenant)?;
        jobs.first().map(|(deadline_ms, ..)| *deadline_ms)
    }

    fn unlist(&mut self, level: u64, tenant: TenantId) {
        if let Some(deadline_ms) = self.first_due(tenant) {
            self.flows.remove(&(level, deadline_ms, tenant));
        }
    }

    fn list(&mut self, level: u64, tenant: TenantId) {
        if let Some(deadline_ms) = self.first_due(tenant)
            && !self.blocked.contains_key(&tenant)
        {
            self.flows.insert((level, deadline_ms, tenant));
        }
    }
}

impl Lane {
    /// Returns the first job with its order among the lanes of a class: a pressing job has the
    /// lowest level.
    fn head(&self, now_ms: Millis) -> Option<((u64, Millis), JobId)> {
        let pressing = self.pressing.iter().take(PRESSING_SEEN);
        let mut due = pressing.take_while(|(at_ms, ..)| *at_ms <= now_ms);
        let allowed = due.find(|(_, _, tenant, _)| !self.blocked.contains_key(tenant));
        if let Some((_, job, _, deadline_ms)) = allowed {
            return Some(((0, *deadline_ms), *job));
        }
        let (level, deadline_ms, tenant) = self.flows.first()?;
        let (.., job) = self.jobs.get(tenant)?.first()?;
        Some(((level + 1, *deadline_ms), *job))
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
/// Order: class, then jobs close to their deadline, then tenants by the level of their share, then
/// deadline.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    lanes: SortedVec<KindId, Lane>,
    levels: SortedVec<TenantId, u64>,
    /// All jobs by the time at which they are aged.
    ageing: BTreeSet<(Millis, u64, JobId)>,
    work: [ClassWork; 3],
}

impl Queue {
    /// Returns the number of waiting jobs.
    pub(crate) fn len(&self) -> usize {
        self.ageing.len()
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
            due: BTreeSet::new(),
            pressing: BTreeSet::new(),
            work: 0,
            blocked: SortedVec::new(),
        });
        lane.unlist(level, queued.tenant);
        lane.jobs
            .get_or_insert_with(queued.tenant, BTreeSet::new)
            .insert((queued.deadline_ms, queued.sequence, queued.job));
        lane.due.insert((queued.deadline_ms, queued.job));
        lane.pressing.insert(pressing(queued));
        lane.work = lane.work.saturating_add(queued.work);
        lane.list(level, queued.tenant);
        self.ageing
            .insert((queued.aged_ms, queued.sequence, queued.job));
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
        let ageing = (queued.aged_ms, queued.sequence, queued.job);
        if !self.ageing.remove(&ageing) {
            return;
        }
        if let Some(lane) = self.lanes.get_mut(&queued.kind) {
            lane.unlist(level, queued.tenant);
            lane.due.remove(&(queued.deadline_ms, queued.job));
            lane.pressing.remove(&pressing(queued));
            lane.work = lane.work.saturating_sub(queued.work);
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
    pub(crate) fn next(&self, now_ms: Millis, skip: &[KindId]) -> Option<(KindId, JobId)> {
        let lanes = self.lanes.iter().filter(|(kind, _)| !skip.contains(kind));
        let heads = lanes.filter_map(|(kind, lane)| {
            let (order, job) = lane.head(now_ms)?;
            Some(((lane.class, order), *kind, job))
        });
        let first = heads.min_by_key(|(order, kind, _)| (*order, *kind));
        first.map(|(_, kind, job)| (kind, job))
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

    /// Returns the job that has been aged for longest.
    pub(crate) fn aged(&self, now_ms: Millis) -> Option<JobId> {
        let first = self.ageing.first();
        first
            .filter(|(aged_ms, ..)| *aged_ms <= now_ms)
            .map(|(.., job)| *job)
    }

    /// Sets the level of a tenant's share.
    pub(crate) fn set_level(&mut self, tenant: TenantId, new: u64) {
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
    /// number of turns that others take, and never for more than the work of the class that is
    /// due earlier.
    pub(crate) fn work_ahead(
        &self,
        class: Class,
        deadline_ms: Millis,
        tenant: TenantId,
        weight: u64,
        work: u64,
    ) -> u64 {
        let higher = self.work[..class as usize].iter();
        let higher: u64 = higher.map(|work| work.total).sum();
        let earlier = self.earlier_work(class, deadline_ms);
        let queued = &self.work[class as usize];
        let own = queued.by_tenant.get(&tenant);
        let own_work = own.map_or(0, |(own, _)| *own).saturating_add(work);
        let weights = queued.weights + if own.is_none() { weight } else { 0 };
        let turns = u128::from(own_work) * u128::from(weights) / u128::from(weight.max(1));
        let turns = u64::try_from(turns).unwrap_or(u64::MAX);
        higher.saturating_add(turns.min(earlier))
    }

    /// Returns the predicted work of a class that goes before a deadline. Within a kind,
    /// deadlines are taken as evenly spread.
    fn earlier_work(&self, class: Class, deadline_ms: Millis) -> u64 {
        let lanes = self.lanes.iter().filter(|(_, lane)| lane.class == class);
        let earlier = lanes.map(|(_, lane)| {
            let (Some(first), Some(last)) = (lane.due.first(), lane.due.last()) else {
                return 0;
            };
            let (first_ms, last_ms) = (first.0.0, last.0.0);
            if deadline_ms.0 >= last_ms {
                return lane.work;
            }
            let passed_ms = deadline_ms.0.saturating_sub(first_ms);
            let part = u128::from(lane.work) * u128::from(passed_ms);
            u64::try_from(part / u128::from((last_ms - first_ms).max(1))).unwrap_or(u64::MAX)
        });
        earlier.sum()
    }

    /// Returns whether a new job with this work may go before the jobs of its class with later
    /// deadlines. `in_time` tells whether a job of a kind that is due at a time is still in time
    /// behind some work; per kind, the job that is due last is looked at.
    pub(crate) fn may_overtake(
        &self,
        class: Class,
        deadline_ms: Millis,
        work: u64,
        in_time: impl Fn(KindId, Millis, u64) -> bool,
    ) -> bool {
        let higher = self.work[..class as usize].iter();
        let higher: u64 = higher.map(|work| work.total).sum();
        let lanes = self.lanes.iter().filter(|(_, lane)| lane.class == class);
        let mut last = lanes.filter_map(|(kind, lane)| Some((*kind, lane.due.last()?.0)));
        last.all(|(kind, last_ms)| {
            let ahead = self.earlier_work(class, last_ms);
            let ahead = higher.saturating_add(ahead).saturating_add(work);
            last_ms <= deadline_ms || in_time(kind, last_ms, ahead)
        })
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
