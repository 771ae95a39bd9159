//! Reservation of capacity for one job of a pool until all its tasks fit.
//!
//! Each pool has at most one reservation. Two gangs therefore never wait for capacity that is
//! reserved for the other one, and the reserved job starts once the tasks on its workers have
//! completed.

use acaciareel_types::{Class, Millis, Resources};

use crate::{
    Decision, JobId,
    amounts::fitting_tasks,
    index::WorkerIndex,
    jobs::{Reservation, Stage, TentativePlacement, WaitingJob},
    kinds::KindId,
    queue::boosted_ms,
    scheduler::{Scheduler, pass::PlacementOutcome},
};

/// Workers examined in one search for workers to reserve, besides four for each task.
const MAX_WORKERS_SEARCHED: u32 = 256;
/// Time between two checks of the workers of a reservation.
const CHECK_INTERVAL_MS: Millis = Millis(1_000);
/// Waiting time after which tasks are preempted for urgent work. Most urgent work gets capacity
/// from completing tasks sooner, without lost progress.
const PREEMPT_AFTER_MS: Millis = Millis(250);
/// Divisor of a gang's time limit that gives the waiting time after which capacity is reserved for
/// the gang, task by task. While up to nine tenths of a pool are in use, nearly all gangs start
/// without a reservation, and reserved capacity lies idle. After twice that time, whole workers are
/// reserved.
const GANG_RESERVE_AFTER_DIVISOR: u64 = 32;
/// Minimum and maximum of that waiting time.
const GANG_RESERVE_AFTER_BOUNDS_MS: (Millis, Millis) = (Millis(1_000), Millis(30_000));
/// Waiting time after which capacity is reserved for urgent work. Most urgent work starts earlier
/// through preemption.
const URGENT_RESERVE_AFTER_MS: Millis = Millis(500);

impl Scheduler {
    /// Tries to place the job that owns the pool's reservation.
    pub(super) fn try_place_reserved_job(
        &mut self,
        now_ms: Millis,
        pool: usize,
        skip: &mut Vec<KindId>,
        out: &mut Vec<Decision>,
    ) {
        let Some(reservation) = &self.pools[pool].reservation else {
            return;
        };
        let job = reservation.job;
        let due = now_ms.saturating_sub(reservation.checked_ms) >= CHECK_INTERVAL_MS;
        let Some(waiting) = self.waiting.get(&job) else {
            self.drop_reservation(now_ms, pool);
            return;
        };
        let (kind, tenant) = (waiting.queued.kind, waiting.queued.tenant);
        let waited_ms = now_ms.saturating_sub(waiting.submitted_ms);
        let reserve_workers_after_ms = Millis(gang_reserve_after_ms(waiting).0 * 2);
        match self.try_place(now_ms, pool, job, out) {
            PlacementOutcome::Placed => {
                let state = &mut self.pools[pool];
                state.gang_credit.spend(state.last_start_work);
            }
            PlacementOutcome::NoCapacity => {
                skip.push(kind);
                if due && waited_ms >= reserve_workers_after_ms {
                    self.reserve_more_workers(now_ms, pool, job);
                }
            }
            PlacementOutcome::OverQuota => {
                self.drop_reservation(now_ms, pool);
                self.pools[pool].queue.block(kind, tenant);
            }
            PlacementOutcome::NotQueued => self.drop_reservation(now_ms, pool),
        }
    }

    /// Returns whether the owner of the pool's reservation goes before the job `next`. The class
    /// decides first. Within a class, boosted jobs go first, then earlier deadlines. While gang
    /// credit is left, the owner also goes before an earlier deadline, unless `next` is boosted.
    pub(super) fn reserved_job_goes_first(
        &self,
        now_ms: Millis,
        pool: usize,
        next: Option<(KindId, JobId)>,
    ) -> bool {
        let Some(reservation) = &self.pools[pool].reservation else {
            return false;
        };
        let next = next.and_then(|(_, job)| self.waiting.get(&job));
        let (Some(next), Some(owner)) = (next, self.waiting.get(&reservation.job)) else {
            return true;
        };
        if next.queued.class != reservation.class {
            return next.queued.class > reservation.class;
        }
        let order = |waiting: &WaitingJob| {
            let queued = &waiting.queued;
            (boosted_ms(queued) > now_ms, queued.deadline_ms)
        };
        order(owner) <= order(next)
            || (boosted_ms(&next.queued) > now_ms && self.pools[pool].gang_credit.available())
    }

    /// Takes the reserved tasks of a job from the reservation and returns those that can still
    /// start on their workers. The others are released.
    pub(super) fn take_reserved_tasks(
        &mut self,
        now_ms: Millis,
        pool: usize,
        job: JobId,
    ) -> Vec<TentativePlacement> {
        let reservation = self.pools[pool].reservation.as_mut();
        let Some(reservation) = reservation.filter(|reservation| reservation.job == job) else {
            return Vec::new();
        };
        let placed = std::mem::take(&mut reservation.placed);
        let (valid, invalid): (Vec<_>, Vec<_>) = placed.into_iter().partition(|tentative| {
            self.workers.get(tentative.worker).is_some_and(|worker| {
                worker.in_service()
                    && worker.health.trusted()
                    && worker
                        .pool_position
                        .is_some_and(|pool_position| pool_position.pool == pool)
                    && worker.own_tasks.contains_key(&tentative.key)
                    && worker.allocated.fits_in(&worker.capacity)
            })
        });
        self.release_tentative(now_ms, &invalid);
        valid
    }

    /// Stores the placed tasks in the reservation if the job owns it, and releases them otherwise.
    pub(super) fn reserve_or_release(
        &mut self,
        now_ms: Millis,
        pool: usize,
        job: JobId,
        placed: Vec<TentativePlacement>,
    ) {
        let reservation = self.pools[pool].reservation.as_mut();
        match reservation.filter(|reservation| reservation.job == job) {
            Some(reservation) => reservation.placed = placed,
            None => self.release_tentative(now_ms, &placed),
        }
    }

    /// Returns a worker of the job's own reservation with enough available resources for one task.
    pub(super) fn reserved_worker(
        &self,
        now_ms: Millis,
        pool: usize,
        job: JobId,
        demand: &Resources,
        examined: &mut u32,
    ) -> Option<WorkerIndex> {
        let reservation = self.pools[pool].reservation.as_ref()?;
        if reservation.job != job {
            return None;
        }
        reservation.workers.iter().copied().find(|index| {
            *examined += 1;
            let worker = self.workers.get(*index);
            worker.is_some_and(|worker| demand.fits_in(&worker.available(now_ms, Some(job))))
        })
    }

    /// Tries to obtain capacity for a job that does not fit now, by preemption or a reservation.
    pub(super) fn acquire_capacity(
        &mut self,
        now_ms: Millis,
        pool: usize,
        job: JobId,
        aged: bool,
        out: &mut Vec<Decision>,
    ) {
        let Some(waiting) = self.waiting.get(&job) else {
            return;
        };
        if waiting.stage != Stage::Queued(pool) {
            return;
        }
        let class = waiting.queued.class;
        let reserve_after_ms = gang_reserve_after_ms(waiting);
        let waited_ms = now_ms.saturating_sub(waiting.submitted_ms);
        let Some((route, _)) = self.kinds.get(waiting.queued.kind).route_and_pool(true) else {
            return;
        };
        let tasks = route.tasks;
        if class == Class::Urgent
            && tasks == 1
            && self.yield_reserved_task(now_ms, pool, job)
            && self.try_place(now_ms, pool, job, out) == PlacementOutcome::Placed
        {
            return;
        }
        if class == Class::Urgent && tasks == 1 && waited_ms >= PREEMPT_AFTER_MS {
            self.preempt(now_ms, pool, out);
        }
        let urgent_waited = class == Class::Urgent && waited_ms >= URGENT_RESERVE_AFTER_MS;
        let gang_waited = tasks > 1 && waited_ms >= reserve_after_ms;
        if (gang_waited || aged || urgent_waited) && self.may_reserve(pool, job, class, aged) {
            self.drop_reservation(now_ms, pool);
            self.pools[pool].reservation = Some(Reservation {
                job,
                class,
                aged,
                placed: Vec::new(),
                workers: Vec::new(),
                checked_ms: now_ms,
            });
            self.try_place(now_ms, pool, job, out);
            if tasks == 1 {
                self.reserve_more_workers(now_ms, pool, job);
            }
        }
    }

    /// Releases one reserved task of a less urgent job if an urgent task fits in its place.
    fn yield_reserved_task(&mut self, now_ms: Millis, pool: usize, job: JobId) -> bool {
        let Some(waiting) = self.waiting.get(&job) else {
            return false;
        };
        let demand = self.kinds.get(waiting.queued.kind).demand;
        let reservation = self.pools[pool].reservation.as_mut();
        let Some(reservation) = reservation
            .filter(|reservation| reservation.class > Class::Urgent && !reservation.aged)
        else {
            return false;
        };
        let fits = |tentative: &TentativePlacement| {
            let worker = self.workers.get(tentative.worker);
            worker.is_some_and(|worker| {
                let free = worker.free().plus(&tentative.reserved);
                worker.reserved_for.is_none() && demand.fits_in(&free.min(&worker.capacity))
            })
        };
        let Some(position) = reservation.placed.iter().rposition(fits) else {
            return false;
        };
        let yielded = reservation.placed.remove(position);
        self.release_tentative(now_ms, &[yielded]);
        true
    }

    fn may_reserve(&self, pool: usize, job: JobId, class: Class, aged: bool) -> bool {
        let Some(reservation) = &self.pools[pool].reservation else {
            return true;
        };
        reservation.job != job && !reservation.aged && (aged || class < reservation.class)
    }

    /// Reserves more workers until the job would fit on them once the tasks that are expected to
    /// complete soon have done so.
    fn reserve_more_workers(&mut self, now_ms: Millis, pool: usize, job: JobId) {
        let Some(waiting) = self.waiting.get(&job) else {
            return;
        };
        let kind = self.kinds.get(waiting.queued.kind);
        let tasks = kind.route.as_ref().map_or(1, |route| route.tasks);
        let demand = kind.demand;
        let waited_ms = now_ms.saturating_sub(waiting.submitted_ms);
        let Some(mut reservation) = self.pools[pool].reservation.take() else {
            return;
        };
        reservation.checked_ms = now_ms;
        let fits = |index: WorkerIndex| {
            self.workers.get(index).map_or(0, |worker| {
                let accepts_tasks = worker.in_service() && worker.health.trusted();
                let available = self.expected_available(now_ms, index, waited_ms);
                if accepts_tasks {
                    fitting_tasks(&demand, &available)
                } else {
                    0
                }
            })
        };
        let reserved: u64 = reservation.workers.iter().map(|index| fits(*index)).sum();
        let placed = u64::try_from(reservation.placed.len()).unwrap_or(u64::MAX);
        let mut remaining = u64::from(tasks).saturating_sub(reserved.saturating_add(placed));
        let mut more = Vec::new();
        let max_examined = MAX_WORKERS_SEARCHED + 4 * tasks;
        let mut examined = 0;
        for index in self.workers_by_free_capacity(pool, now_ms) {
            if remaining == 0 || examined >= max_examined {
                break;
            }
            examined += 1;
            let fitting = fits(index);
            if fitting > 0 && !reservation.workers.contains(&index) {
                more.push(index);
                remaining = remaining.saturating_sub(fitting);
            }
        }
        self.cost.examined += examined;
        reservation.workers.extend(&more);
        self.pools[pool].reservation = Some(reservation);
        for index in more {
            if let Some(worker) = self.workers.get_mut(index) {
                worker.reserved_for = Some(job);
            }
            self.refresh_worker(now_ms, index);
        }
    }

    /// Returns the workers of a pool, those with the most free capacity first. Fully used workers
    /// follow, from an offset that advances with time, so that repeated searches cover all of them.
    fn workers_by_free_capacity(
        &self,
        pool: usize,
        now_ms: Millis,
    ) -> impl Iterator<Item = WorkerIndex> {
        let index = &self.pools[pool].index;
        let with_capacity = index.emptiest().take(MAX_WORKERS_SEARCHED as usize / 2);
        let with_capacity = with_capacity.filter_map(|position| index.entry(position));
        let offset = usize::try_from(now_ms.0 / CHECK_INTERVAL_MS.0).unwrap_or(0)
            * MAX_WORKERS_SEARCHED as usize
            / 2;
        let full = index.entries_from(offset);
        let full = full.filter(|entry| entry.available == Resources::default());
        with_capacity.chain(full).map(|entry| entry.worker)
    }

    /// Returns the resources that a worker has free once the tasks expected to complete soon have
    /// done so.
    ///
    /// Soon means within the time for which the job has waited, and at least one minute. Reserving
    /// a worker that is full of long-running services would be useless.
    fn expected_available(
        &self,
        now_ms: Millis,
        index: WorkerIndex,
        waited_ms: Millis,
    ) -> Resources {
        let Some(worker) = self.workers.get(index) else {
            return Resources::default();
        };
        let horizon_ms = now_ms.saturating_add(waited_ms.max(Millis(60_000)));
        let mut available = worker.free();
        for (key, task) in worker.own_tasks.iter() {
            let Some(running) = self.running.get(&key.job) else {
                continue;
            };
            let started_ms = running.tasks.iter().find(|t| t.key == *key);
            let started_ms = started_ms.map_or(now_ms, |task| task.started_ms);
            let run_ms = self.kinds.get(running.kind).usual_run_ms();
            if started_ms.saturating_add(run_ms) <= horizon_ms {
                available = available.plus(&task.reserved);
            }
        }
        available.min(&worker.capacity)
    }

    pub(super) fn drop_reservation(&mut self, now_ms: Millis, pool: usize) {
        let Some(reservation) = self.pools[pool].reservation.take() else {
            return;
        };
        self.release_tentative(now_ms, &reservation.placed);
        for index in reservation.workers {
            if let Some(worker) = self.workers.get_mut(index) {
                worker.reserved_for = None;
            }
            self.refresh_worker(now_ms, index);
        }
    }
}

/// Returns the waiting time after which capacity is reserved for a gang.
fn gang_reserve_after_ms(gang: &WaitingJob) -> Millis {
    let limit_ms = gang.job.deadline_ms.saturating_sub(gang.submitted_ms);
    let (min_ms, max_ms) = GANG_RESERVE_AFTER_BOUNDS_MS;
    Millis(limit_ms.0 / GANG_RESERVE_AFTER_DIVISOR).clamp(min_ms, max_ms)
}
