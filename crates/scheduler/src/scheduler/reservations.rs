//! Room that is kept free for one job of a pool until all its tasks fit.
//!
//! Only one job at a time holds a reservation in a pool. Two gangs therefore never wait for room
//! that the other one keeps, and the holder starts once the tasks on its workers have ended.

use acaciareel_types::{Class, Millis, Resources};

use crate::{
    Decision, JobId,
    amounts::copies,
    index::WorkerIndex,
    jobs::{Reservation, Stage, Tentative, Waiting},
    kinds::KindId,
    queue::pressing_ms,
    scheduler::{Scheduler, pass::Attempt},
};

/// Workers looked at in one search for room to keep, besides four for each task.
const SEARCHED: u32 = 256;
/// Time between two checks of the workers of a reservation.
const CHECK_MS: Millis = Millis(1_000);
/// Wait after which tasks are preempted for urgent work. Tasks that end by themselves give most
/// urgent work its room sooner, without lost progress.
const PREEMPT_AFTER_MS: Millis = Millis(250);
/// Part of its time limit after which a gang keeps room free, task by task. Up to nine tenths of a
/// pool in use, nearly all gangs find room at once without it, and kept room lies idle. After twice
/// that time a gang keeps whole workers free.
const GANG_GRACE_PART: u64 = 32;
/// Bounds of that time.
const GANG_GRACE_MS: (Millis, Millis) = (Millis(1_000), Millis(30_000));
/// Wait after which urgent work keeps room free; most starts earlier by preemption.
const URGENT_WAIT_MS: Millis = Millis(500);

impl Scheduler {
    /// Tries to place the holder of a pool's reservation.
    pub(super) fn try_holder(
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
        let due = now_ms.saturating_sub(reservation.checked_ms) >= CHECK_MS;
        let Some(waiting) = self.waiting.get(&job) else {
            self.drop_reservation(now_ms, pool);
            return;
        };
        let (kind, tenant) = (waiting.queued.kind, waiting.queued.tenant);
        let waited_ms = now_ms.saturating_sub(waiting.submitted_ms);
        let whole_ms = Millis(gang_grace_ms(waiting).0 * 2);
        match self.attempt(now_ms, pool, job, out) {
            Attempt::Placed => {
                let state = &mut self.pools[pool];
                state.gang_credit.spend(state.last_work);
            }
            Attempt::NoRoom => {
                skip.push(kind);
                if due && waited_ms >= whole_ms {
                    self.keep_more(now_ms, pool, job);
                }
            }
            Attempt::OverQuota => {
                self.drop_reservation(now_ms, pool);
                self.pools[pool].queue.block(kind, tenant);
            }
            Attempt::Gone => self.drop_reservation(now_ms, pool),
        }
    }

    /// Returns whether the holder of a pool's reservation goes before another job: by its class,
    /// its deadline, or the part of work that gangs get in any case.
    pub(super) fn holder_first(
        &self,
        now_ms: Millis,
        pool: usize,
        next: Option<(KindId, JobId)>,
    ) -> bool {
        let Some(held) = &self.pools[pool].reservation else {
            return false;
        };
        let next = next.and_then(|(_, job)| self.waiting.get(&job));
        let (Some(next), Some(holder)) = (next, self.waiting.get(&held.job)) else {
            return true;
        };
        if next.queued.class != held.class {
            return next.queued.class > held.class;
        }
        let order = |waiting: &Waiting| {
            let queued = &waiting.queued;
            (pressing_ms(queued) > now_ms, queued.deadline_ms)
        };
        order(holder) <= order(next)
            || (pressing_ms(&next.queued) > now_ms && self.pools[pool].gang_credit.available())
    }

    /// Returns the tasks of a job that hold kept room and may still start there.
    pub(super) fn take_kept(&mut self, now_ms: Millis, pool: usize, job: JobId) -> Vec<Tentative> {
        let held = self.pools[pool].reservation.as_mut();
        let Some(held) = held.filter(|held| held.job == job) else {
            return Vec::new();
        };
        let placed = std::mem::take(&mut held.placed);
        let (valid, gone): (Vec<_>, Vec<_>) = placed.into_iter().partition(|tentative| {
            self.workers.get(tentative.worker).is_some_and(|worker| {
                worker.in_service()
                    && worker.health.trusted()
                    && worker.place.is_some_and(|place| place.pool == pool)
                    && worker.own.contains_key(&tentative.key)
                    && worker.held.fits_in(&worker.capacity)
            })
        });
        self.undo(now_ms, &gone);
        valid
    }

    /// Keeps the room of placed tasks if their job holds the reservation, and frees it otherwise.
    pub(super) fn keep_or_undo(
        &mut self,
        now_ms: Millis,
        pool: usize,
        job: JobId,
        placed: Vec<Tentative>,
    ) {
        let held = self.pools[pool].reservation.as_mut();
        match held.filter(|held| held.job == job) {
            Some(held) => held.placed = placed,
            None => self.undo(now_ms, &placed),
        }
    }

    /// Returns a worker with room that is kept for a job.
    pub(super) fn kept_worker(
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
            worker.is_some_and(|worker| demand.fits_in(&worker.room(now_ms, Some(job))))
        })
    }

    /// Makes room for a job that does not fit now.
    pub(super) fn make_room(
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
        let grace_ms = gang_grace_ms(waiting);
        let waited_ms = now_ms.saturating_sub(waiting.submitted_ms);
        let Some((route, _)) = self.kinds.get(waiting.queued.kind).routed(true) else {
            return;
        };
        let tasks = route.tasks;
        if class == Class::Urgent
            && tasks == 1
            && self.yield_kept(now_ms, pool, job)
            && self.attempt(now_ms, pool, job, out) == Attempt::Placed
        {
            return;
        }
        if class == Class::Urgent && tasks == 1 && waited_ms >= PREEMPT_AFTER_MS {
            self.preempt(now_ms, pool, out);
        }
        let urgent = class == Class::Urgent && waited_ms >= URGENT_WAIT_MS;
        let gang = tasks > 1 && waited_ms >= grace_ms;
        if (gang || aged || urgent) && self.may_reserve(pool, job, class, aged) {
            self.drop_reservation(now_ms, pool);
            self.pools[pool].reservation = Some(Reservation {
                job,
                class,
                aged,
                placed: Vec::new(),
                workers: Vec::new(),
                checked_ms: now_ms,
            });
            self.attempt(now_ms, pool, job, out);
            if tasks == 1 {
                self.keep_more(now_ms, pool, job);
            }
        }
    }

    /// Frees the kept room of one task of a less urgent job if an urgent task fits there.
    fn yield_kept(&mut self, now_ms: Millis, pool: usize, job: JobId) -> bool {
        let Some(waiting) = self.waiting.get(&job) else {
            return false;
        };
        let demand = self.kinds.get(waiting.queued.kind).demand;
        let held = self.pools[pool].reservation.as_mut();
        let Some(held) = held.filter(|held| held.class > Class::Urgent && !held.aged) else {
            return false;
        };
        let fits = |tentative: &Tentative| {
            let worker = self.workers.get(tentative.worker);
            worker.is_some_and(|worker| {
                let free = worker.free().plus(&tentative.reserved);
                worker.reserved_for.is_none() && demand.fits_in(&free.min(&worker.capacity))
            })
        };
        let Some(place) = held.placed.iter().rposition(fits) else {
            return false;
        };
        let yielded = held.placed.remove(place);
        self.undo(now_ms, &[yielded]);
        true
    }

    fn may_reserve(&self, pool: usize, job: JobId, class: Class, aged: bool) -> bool {
        let Some(held) = &self.pools[pool].reservation else {
            return true;
        };
        held.job != job && !held.aged && (aged || class < held.class)
    }

    /// Keeps the room of more workers free, until the job would fit on them if all work there
    /// that ends soon had ended.
    fn keep_more(&mut self, now_ms: Millis, pool: usize, job: JobId) {
        let Some(waiting) = self.waiting.get(&job) else {
            return;
        };
        let kind = self.kinds.get(waiting.queued.kind);
        let tasks = kind.route.as_ref().map_or(1, |route| route.tasks);
        let demand = kind.demand;
        let waited_ms = now_ms.saturating_sub(waiting.submitted_ms);
        let Some(mut held) = self.pools[pool].reservation.take() else {
            return;
        };
        held.checked_ms = now_ms;
        let fits = |index: WorkerIndex| {
            self.workers.get(index).map_or(0, |worker| {
                let open = worker.in_service() && worker.health.trusted();
                let room = self.room_soon(now_ms, index, waited_ms);
                if open { copies(&demand, &room) } else { 0 }
            })
        };
        let kept: u64 = held.workers.iter().map(|index| fits(*index)).sum();
        let placed = u64::try_from(held.placed.len()).unwrap_or(u64::MAX);
        let mut left = u64::from(tasks).saturating_sub(kept.saturating_add(placed));
        let mut more = Vec::new();
        let bound = SEARCHED + 4 * tasks;
        let mut examined = 0;
        for index in self.by_room(pool, now_ms) {
            if left == 0 || examined >= bound {
                break;
            }
            examined += 1;
            let copies = fits(index);
            if copies > 0 && !held.workers.contains(&index) {
                more.push(index);
                left = left.saturating_sub(copies);
            }
        }
        self.cost.examined += examined;
        held.workers.extend(&more);
        self.pools[pool].reservation = Some(held);
        for index in more {
            if let Some(worker) = self.workers.get_mut(index) {
                worker.reserved_for = Some(job);
            }
            self.refresh_worker(now_ms, index);
        }
    }

    /// Returns the workers of a pool, those with most room first, then those without room from a
    /// place that moves on, so that repeated searches see all of them.
    fn by_room(&self, pool: usize, now_ms: Millis) -> impl Iterator<Item = WorkerIndex> {
        let index = &self.pools[pool].index;
        let open = index.emptiest().take(SEARCHED as usize / 2);
        let open = open.filter_map(|slot| index.entry(slot));
        let turn = usize::try_from(now_ms.0 / CHECK_MS.0).unwrap_or(0) * SEARCHED as usize / 2;
        let full = index.entries_from(turn);
        let full = full.filter(|entry| entry.room == Resources::default());
        open.chain(full).map(|entry| entry.worker)
    }

    /// Returns the room of a worker once the tasks have ended that are expected to end soon.
    ///
    /// Soon means within the time that the job has waited, at least a minute: a worker full of
    /// long-running services is no use to keep.
    fn room_soon(&self, now_ms: Millis, index: WorkerIndex, waited_ms: Millis) -> Resources {
        let Some(worker) = self.workers.get(index) else {
            return Resources::default();
        };
        let horizon_ms = now_ms.saturating_add(waited_ms.max(Millis(60_000)));
        let mut room = worker.free();
        for (key, task) in worker.own.iter() {
            let Some(running) = self.running.get(&key.job) else {
                continue;
            };
            let started_ms = running.tasks.iter().find(|t| t.key == *key);
            let started_ms = started_ms.map_or(now_ms, |task| task.started_ms);
            let run_ms = self.kinds.get(running.kind).usual_run_ms();
            if started_ms.saturating_add(run_ms) <= horizon_ms {
                room = room.plus(&task.reserved);
            }
        }
        room.min(&worker.capacity)
    }

    pub(super) fn drop_reservation(&mut self, now_ms: Millis, pool: usize) {
        let Some(held) = self.pools[pool].reservation.take() else {
            return;
        };
        self.undo(now_ms, &held.placed);
        for index in held.workers {
            if let Some(worker) = self.workers.get_mut(index) {
                worker.reserved_for = None;
            }
            self.refresh_worker(now_ms, index);
        }
    }
}

/// Returns the wait after which a gang keeps room free.
fn gang_grace_ms(gang: &Waiting) -> Millis {
    let limit_ms = gang.job.deadline_ms.saturating_sub(gang.submitted_ms);
    let (least_ms, most_ms) = GANG_GRACE_MS;
    Millis(limit_ms.0 / GANG_GRACE_PART).clamp(least_ms, most_ms)
}
