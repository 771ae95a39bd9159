//! Order of the waiting jobs of one pool.

use std::collections::BTreeSet;

use acaciareel_types::{Class, Millis, SortedVec};

use crate::{
    JobId,
    kinds::{KindId, TenantId},
};

/// Order of a job among those of its kind and tenant: deadline, then sequence.
pub(crate) type JobOrder = (Millis, u64, JobId);

/// Minimum waiting time after which a job counts as aged.
const MIN_AGED_AFTER_MS: Millis = Millis(10_000);
/// A job is aged after `1 / AGED_AFTER_DIVISOR` of its time limit, early enough for ageing to help
/// it meet its deadline. The job that has been aged for longest may start regardless of its class.
const AGED_AFTER_DIVISOR: u64 = 2;

/// Returns the time from which a job counts as aged.
pub(crate) fn aged_ms(submitted_ms: Millis, deadline_ms: Millis) -> Millis {
    let limit_ms = deadline_ms.saturating_sub(submitted_ms);
    submitted_ms.saturating_add(Millis(limit_ms.0 / AGED_AFTER_DIVISOR).max(MIN_AGED_AFTER_MS))
}

/// Part of its time limit, in percent, after which a job is boosted: it goes before others of its
/// class regardless of its tenant's share. It was admitted, so fair sharing must not make it miss
/// its deadline.
const BOOST_AFTER_PERCENT: u64 = 75;
/// Waiting time after which an urgent job is boosted at the latest, because urgent work must start
/// within 2,400 ms.
const URGENT_BOOST_AFTER_MS: Millis = Millis(1_500);

/// Returns the time from which a job is boosted.
pub(crate) fn boosted_ms(queued: &QueueEntry) -> Millis {
    let limit_ms = queued.deadline_ms.saturating_sub(queued.submitted_ms);
    let after_ms = Millis(limit_ms.0 / 100 * BOOST_AFTER_PERCENT);
    let after_ms = match queued.class {
        Class::Urgent => after_ms.min(URGENT_BOOST_AFTER_MS),
        Class::Standard | Class::Batch => after_ms,
    };
    queued.submitted_ms.saturating_add(after_ms)
}

/// Boosted jobs of a kind that are examined to find one whose tenant has quota left.
const MAX_BOOSTED_EXAMINED: usize = 16;

fn boost_entry(queued: &QueueEntry) -> (Millis, JobId, TenantId, Millis) {
    let at_ms = boosted_ms(queued);
    (at_ms, queued.job, queued.tenant, queued.deadline_ms)
}

/// The properties of a job that determine its place in the queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueEntry {
    pub(crate) job: JobId,
    pub(crate) kind: KindId,
    pub(crate) tenant: TenantId,
    pub(crate) class: Class,
    pub(crate) submitted_ms: Millis,
    pub(crate) deadline_ms: Millis,
    /// Time from which the job counts as aged; see [`aged_ms`].
    pub(crate) aged_ms: Millis,
    /// Increases with each submission.
    pub(crate) sequence: u64,
    /// Predicted work, for admission control.
    pub(crate) work: u64,
}

/// Waiting jobs of one kind.
#[derive(Debug)]
struct KindQueue {
    class: Class,
    /// Tenants whose jobs may go next: fair-share level, earliest deadline, tenant.
    eligible_tenants: BTreeSet<(u64, Millis, TenantId)>,
    jobs: SortedVec<TenantId, BTreeSet<JobOrder>>,
    /// All jobs by deadline.
    by_deadline: BTreeSet<(Millis, JobId)>,
    /// All jobs by the time from which they are boosted, with tenant and deadline.
    by_boost: BTreeSet<(Millis, JobId, TenantId, Millis)>,
    work: u64,
    /// Tenants whose quota does not allow another job of this kind now.
    blocked: SortedVec<TenantId, ()>,
}

impl KindQueue {
    fn earliest_deadline(&self, tenant: TenantId) -> Option<Millis> {
        let jobs = self.jobs.get(&tenant)?;
        jobs.first().map(|(deadline_ms, ..)| *deadline_ms)
    }

    /// Removes a tenant from the eligible ones. Must precede a change of its jobs or its level,
    /// which are part of the key.
    fn remove_eligible(&mut self, level: u64, tenant: TenantId) {
        if let Some(deadline_ms) = self.earliest_deadline(tenant) {
            self.eligible_tenants.remove(&(level, deadline_ms, tenant));
        }
    }

    /// Adds a tenant to the eligible ones, unless it has no job or is blocked.
    fn add_eligible(&mut self, level: u64, tenant: TenantId) {
        if let Some(deadline_ms) = self.earliest_deadline(tenant)
            && !self.blocked.contains_key(&tenant)
        {
            self.eligible_tenants.insert((level, deadline_ms, tenant));
        }
    }
}

impl KindQueue {
    /// Returns the first job and its order among the kinds of a class. A boosted job has the lowest
    /// level.
    fn head(&self, now_ms: Millis) -> Option<((u64, Millis), JobId)> {
        let boosted = self.by_boost.iter().take(MAX_BOOSTED_EXAMINED);
        let mut due = boosted.take_while(|(at_ms, ..)| *at_ms <= now_ms);
        let allowed = due.find(|(_, _, tenant, _)| !self.blocked.contains_key(tenant));
        if let Some((_, job, _, deadline_ms)) = allowed {
            return Some(((0, *deadline_ms), *job));
        }
        let (level, deadline_ms, tenant) = self.eligible_tenants.first()?;
        let (.., job) = self.jobs.get(tenant)?.first()?;
        Some(((level + 1, *deadline_ms), *job))
    }
}

/// Predicted work of the queued jobs of one class.
#[derive(Debug, Default)]
struct ClassWork {
    total: u64,
    /// Sum of the weights of the tenants in `by_tenant`.
    weight_sum: u64,
    /// Work and number of the queued jobs of each tenant.
    by_tenant: SortedVec<TenantId, (u64, u32)>,
}

/// Waiting jobs of one pool.
///
/// Jobs are ordered by class, then boosted jobs near their deadline come first, then jobs by the
/// fair-share level of their tenant, then by deadline.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    kind_queues: SortedVec<KindId, KindQueue>,
    /// Fair-share level of each tenant; 0 if absent.
    levels: SortedVec<TenantId, u64>,
    /// All jobs by the time from which they count as aged.
    by_aged_time: BTreeSet<(Millis, u64, JobId)>,
    work: [ClassWork; 3],
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.by_aged_time.len()
    }

    fn level(&self, tenant: TenantId) -> u64 {
        self.levels.get(&tenant).copied().unwrap_or(0)
    }

    /// Adds a job. `weight` is the fair-share weight of its tenant.
    pub(crate) fn push(&mut self, queued: &QueueEntry, weight: u64) {
        let level = self.level(queued.tenant);
        let kind_queue = self
            .kind_queues
            .get_or_insert_with(queued.kind, || KindQueue {
                class: queued.class,
                eligible_tenants: BTreeSet::new(),
                jobs: SortedVec::new(),
                by_deadline: BTreeSet::new(),
                by_boost: BTreeSet::new(),
                work: 0,
                blocked: SortedVec::new(),
            });
        kind_queue.remove_eligible(level, queued.tenant);
        kind_queue
            .jobs
            .get_or_insert_with(queued.tenant, BTreeSet::new)
            .insert((queued.deadline_ms, queued.sequence, queued.job));
        kind_queue
            .by_deadline
            .insert((queued.deadline_ms, queued.job));
        kind_queue.by_boost.insert(boost_entry(queued));
        kind_queue.work = kind_queue.work.saturating_add(queued.work);
        kind_queue.add_eligible(level, queued.tenant);
        self.by_aged_time
            .insert((queued.aged_ms, queued.sequence, queued.job));
        let work = &mut self.work[queued.class as usize];
        work.total = work.total.saturating_add(queued.work);
        let of_tenant = work.by_tenant.get_or_insert_with(queued.tenant, || (0, 0));
        if of_tenant.1 == 0 {
            work.weight_sum += weight;
        }
        of_tenant.0 = of_tenant.0.saturating_add(queued.work);
        of_tenant.1 += 1;
    }

    /// Removes a job, if present. `weight` must be the weight with which it was added.
    pub(crate) fn remove(&mut self, queued: &QueueEntry, weight: u64) {
        let level = self.level(queued.tenant);
        let aged_key = (queued.aged_ms, queued.sequence, queued.job);
        if !self.by_aged_time.remove(&aged_key) {
            return;
        }
        if let Some(kind_queue) = self.kind_queues.get_mut(&queued.kind) {
            kind_queue.remove_eligible(level, queued.tenant);
            kind_queue
                .by_deadline
                .remove(&(queued.deadline_ms, queued.job));
            kind_queue.by_boost.remove(&boost_entry(queued));
            kind_queue.work = kind_queue.work.saturating_sub(queued.work);
            if let Some(jobs) = kind_queue.jobs.get_mut(&queued.tenant) {
                jobs.remove(&(queued.deadline_ms, queued.sequence, queued.job));
                if jobs.is_empty() {
                    kind_queue.jobs.remove(&queued.tenant);
                }
            }
            kind_queue.add_eligible(level, queued.tenant);
            if kind_queue.jobs.is_empty() {
                self.kind_queues.remove(&queued.kind);
            }
        }
        self.remove_work(queued, weight);
    }

    fn remove_work(&mut self, queued: &QueueEntry, weight: u64) {
        let work = &mut self.work[queued.class as usize];
        work.total = work.total.saturating_sub(queued.work);
        if let Some(of_tenant) = work.by_tenant.get_mut(&queued.tenant) {
            of_tenant.0 = of_tenant.0.saturating_sub(queued.work);
            of_tenant.1 -= 1;
            if of_tenant.1 == 0 {
                work.by_tenant.remove(&queued.tenant);
                work.weight_sum = work.weight_sum.saturating_sub(weight);
            }
        }
    }

    /// Returns the next job, ignoring the kinds in `skip`.
    pub(crate) fn next_job(&self, now_ms: Millis, skip: &[KindId]) -> Option<(KindId, JobId)> {
        let kind_queues = self
            .kind_queues
            .iter()
            .filter(|(kind, _)| !skip.contains(kind));
        let heads = kind_queues.filter_map(|(kind, kind_queue)| {
            let (order, job) = kind_queue.head(now_ms)?;
            Some(((kind_queue.class, order), *kind, job))
        });
        let first = heads.min_by_key(|(order, kind, _)| (*order, *kind));
        first.map(|(_, kind, job)| (kind, job))
    }

    /// Returns the first urgent jobs, grouped by kind.
    pub(crate) fn urgent_jobs(&self, max_jobs: usize) -> Vec<(KindId, JobId)> {
        let kind_queues = self.kind_queues.iter();
        let urgent = kind_queues.filter(|(_, kind_queue)| kind_queue.class == Class::Urgent);
        let jobs = urgent.flat_map(|(kind, kind_queue)| {
            let tenants = kind_queue.eligible_tenants.iter();
            let jobs = tenants.filter_map(|(.., tenant)| kind_queue.jobs.get(tenant));
            jobs.flatten().map(|(.., job)| (*kind, *job))
        });
        jobs.take(max_jobs).collect()
    }

    /// Returns the job that has been aged for longest, if any is aged.
    pub(crate) fn oldest_aged(&self, now_ms: Millis) -> Option<JobId> {
        let first = self.by_aged_time.first();
        first
            .filter(|(aged_ms, ..)| *aged_ms <= now_ms)
            .map(|(.., job)| *job)
    }

    /// Sets the fair-share level of a tenant.
    pub(crate) fn set_level(&mut self, tenant: TenantId, new: u64) {
        let old = self.level(tenant);
        if new == old {
            return;
        }
        for (_, kind_queue) in self.kind_queues.iter_mut() {
            if kind_queue.jobs.contains_key(&tenant) {
                kind_queue.remove_eligible(old, tenant);
                kind_queue.add_eligible(new, tenant);
            }
        }
        if new == 0 {
            self.levels.remove(&tenant);
        } else {
            self.levels.insert(tenant, new);
        }
    }

    /// Excludes a tenant's jobs of a kind from [`Queue::next_job`] until [`Queue::unblock`],
    /// because the tenant's quota does not allow another one.
    pub(crate) fn block(&mut self, kind: KindId, tenant: TenantId) {
        let level = self.level(tenant);
        if let Some(kind_queue) = self.kind_queues.get_mut(&kind) {
            kind_queue.remove_eligible(level, tenant);
            kind_queue.blocked.insert(tenant, ());
        }
    }

    /// Makes a tenant's blocked jobs eligible again and returns whether there were any.
    pub(crate) fn unblock(&mut self, tenant: TenantId) -> bool {
        let level = self.level(tenant);
        let mut any = false;
        for (_, kind_queue) in self.kind_queues.iter_mut() {
            if kind_queue.blocked.remove(&tenant).is_some() {
                kind_queue.add_eligible(level, tenant);
                any = true;
            }
        }
        any
    }

    /// Returns the predicted work that goes before a new job has had its turn, including the job's
    /// own.
    ///
    /// Tenants of one class take turns by weight. A tenant therefore waits for its own work times
    /// the number of turns of the others, but never for more than the work of the class with
    /// earlier deadlines.
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
        let weight_sum = queued.weight_sum + if own.is_none() { weight } else { 0 };
        let turns = u128::from(own_work) * u128::from(weight_sum) / u128::from(weight.max(1));
        let turns = u64::try_from(turns).unwrap_or(u64::MAX);
        higher.saturating_add(turns.min(earlier))
    }

    /// Returns the predicted work of a class with deadlines before `deadline_ms`. Within a kind,
    /// deadlines are assumed to be evenly distributed.
    fn earlier_work(&self, class: Class, deadline_ms: Millis) -> u64 {
        let kind_queues = self
            .kind_queues
            .iter()
            .filter(|(_, kind_queue)| kind_queue.class == class);
        let earlier = kind_queues.map(|(_, kind_queue)| {
            let (Some(first), Some(last)) = (
                kind_queue.by_deadline.first(),
                kind_queue.by_deadline.last(),
            ) else {
                return 0;
            };
            let (first_ms, last_ms) = (first.0.0, last.0.0);
            if deadline_ms.0 >= last_ms {
                return kind_queue.work;
            }
            let passed_ms = deadline_ms.0.saturating_sub(first_ms);
            let part = u128::from(kind_queue.work) * u128::from(passed_ms);
            u64::try_from(part / u128::from((last_ms - first_ms).max(1))).unwrap_or(u64::MAX)
        });
        earlier.sum()
    }

    /// Returns whether a new job with this work may go before the jobs of its class with later
    /// deadlines. `in_time(kind, deadline, work)` returns whether a job of the kind still meets its
    /// deadline behind that work. Of each kind, only the job with the latest deadline is checked.
    pub(crate) fn may_overtake(
        &self,
        class: Class,
        deadline_ms: Millis,
        work: u64,
        in_time: impl Fn(KindId, Millis, u64) -> bool,
    ) -> bool {
        let higher = self.work[..class as usize].iter();
        let higher: u64 = higher.map(|work| work.total).sum();
        let kind_queues = self
            .kind_queues
            .iter()
            .filter(|(_, kind_queue)| kind_queue.class == class);
        let mut last = kind_queues
            .filter_map(|(kind, kind_queue)| Some((*kind, kind_queue.by_deadline.last()?.0)));
        last.all(|(kind, last_ms)| {
            let ahead = self.earlier_work(class, last_ms);
            let ahead = higher.saturating_add(ahead).saturating_add(work);
            last_ms <= deadline_ms || in_time(kind, last_ms, ahead)
        })
    }

    /// Returns the predicted work of a tenant's waiting jobs of a class.
    pub(crate) fn tenant_work(&self, class: Class, tenant: TenantId) -> u64 {
        let by_tenant = &self.work[class as usize].by_tenant;
        by_tenant.get(&tenant).map_or(0, |(work, _)| *work)
    }

    /// Returns the predicted work of all waiting jobs of this class and higher ones.
    pub(crate) fn work_through(&self, class: Class) -> u64 {
        let through = self.work[..=class as usize].iter();
        through.map(|work| work.total).sum()
    }
}
