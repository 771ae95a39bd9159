//! Placement of waiting jobs.

use acaciareel_types::{Class, Effect, Millis, Reason, Resources};

use crate::{
    Decision, DecisionCost, JobId, Placement, Refusal, TaskKey,
    amounts::times,
    index::WorkerIndex,
    jobs::{RunningTask, Tentative, Waiting},
    kinds::KindId,
    placement,
    scheduler::Scheduler,
};

/// Longest time between two passes over a pool with waiting jobs.
const PASS_INTERVAL_MS: Millis = Millis(100);
/// Delay of a probe beyond which urgent work probes too, since a pool may have no other work.
const PROBE_OVERDUE_MS: Millis = Millis(10_000);

/// Failing workers outside quarantine that one decision looks at.
const SUSPECTS: usize = 32;

/// Workers that a decision on a blamed kind looks at for one that does not fail it.
const UNTRIED: usize = 32;

/// Outcome of an attempt to place a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Attempt {
    Placed,
    NoRoom,
    OverQuota,
    /// The job is not in the queue any more.
    Gone,
}

/// What is placed: a job's tasks with their demand.
struct Wanted {
    job: JobId,
    kind: KindId,
    class: Class,
    effect: Effect,
    tasks: u32,
    demand: Resources,
}

impl Scheduler {
    pub(super) fn decide_all(&mut self, now_ms: Millis, out: &mut Vec<Decision>) {
        self.cost = DecisionCost::default();
        for (job, refusal) in self.refused.drain(..) {
            out.push(Decision::Refuse { job, refusal });
        }
        self.wake(now_ms);
        self.expire(now_ms, out);
        for pool in 0..self.pools.len() {
            let state = &self.pools[pool];
            let due = now_ms.saturating_sub(state.passed_ms) >= PASS_INTERVAL_MS;
            if state.queue.len() > 0 && (state.dirty || due) {
                self.pass(now_ms, pool, out);
            }
        }
    }

    /// Carries out what falls due by time alone.
    fn wake(&mut self, now_ms: Millis) {
        while let Some((at_ms, worker)) = self.timers.first().copied()
            && at_ms <= now_ms
        {
            self.timers.remove(&(at_ms, worker));
            self.refresh_worker(now_ms, worker);
        }
        while let Some((at_ms, job)) = self.delayed.first().copied()
            && at_ms <= now_ms
        {
            self.delayed.remove(&(at_ms, job));
            self.enqueue(now_ms, job);
        }
    }

    /// Refuses waiting jobs whose deadline has passed.
    fn expire(&mut self, now_ms: Millis, out: &mut Vec<Decision>) {
        while let Some((deadline_ms, job)) = self.deadlines.first().copied()
            && deadline_ms <= now_ms
        {
            self.forget_waiting(now_ms, job);
            self.deadlines.remove(&(deadline_ms, job));
            let refusal = Refusal {
                reason: Reason::TimeLimit,
                retry_after_ms: PASS_INTERVAL_MS,
            };
            out.push(Decision::Refuse { job, refusal });
        }
    }

    fn pass(&mut self, now_ms: Millis, pool: usize, out: &mut Vec<Decision>) {
        let mut skip = Vec::new();
        let mut holder_tried = false;
        let mut aged_tried = false;
        loop {
            let aged = self.aged_turn(now_ms, pool).filter(|_| !aged_tried);
            let next = aged.or_else(|| self.pools[pool].queue.next(now_ms, &skip));
            if !holder_tried && self.holder_first(now_ms, pool, next) {
                holder_tried = true;
                self.try_holder(now_ms, pool, &mut skip, out);
                continue;
            }
            let Some((kind, job)) = next else {
                break;
            };
            aged_tried |= aged.is_some();
            let attempt = if aged.is_some() && skip.contains(&kind) {
                Attempt::NoRoom
            } else {
                self.attempt(now_ms, pool, job, out)
            };
            match attempt {
                Attempt::Placed => {
                    aged_tried = false;
                    let state = &mut self.pools[pool];
                    if aged.is_some() {
                        state.aged_credit.spend(state.last_work);
                    } else {
                        state.aged_credit.earn(state.last_work);
                        state.gang_credit.earn(state.last_work);
                    }
                }
                Attempt::NoRoom => {
                    skip.push(kind);
                    self.make_room(now_ms, pool, job, aged.is_some(), out);
                }
                Attempt::OverQuota => {
                    if let Some(waiting) = self.waiting.get(&job) {
                        let tenant = waiting.queued.tenant;
                        self.pools[pool].queue.block(kind, tenant);
                    }
                }
                Attempt::Gone => skip.push(kind),
            }
        }
        self.pools[pool].dirty = false;
        self.pools[pool].passed_ms = now_ms;
    }

    /// Returns the oldest job, if it is its turn.
    fn aged_turn(&self, now_ms: Millis, pool: usize) -> Option<(KindId, JobId)> {
        let pool = &self.pools[pool];
        if !pool.aged_credit.available() {
            return None;
        }
        let job = pool.queue.aged(now_ms)?;
        let waiting = self.waiting.get(&job)?;
        Some((waiting.queued.kind, job))
    }

    fn wanted(&self, job: JobId) -> Option<Wanted> {
        let waiting = self.waiting.get(&job)?;
        let kind = self.kinds.get(waiting.queued.kind);
        let (route, _) = kind.routed(waiting.job.accepted)?;
        Some(Wanted {
            job,
            kind: waiting.queued.kind,
            class: route.class,
            effect: route.effect,
            tasks: route.tasks,
            demand: kind.demand,
        })
    }

    /// Places all tasks of a job or none.
    pub(super) fn attempt(
        &mut self,
        now_ms: Millis,
        pool: usize,
        job: JobId,
        out: &mut Vec<Decision>,
    ) -> Attempt {
        let (Some(wanted), Some(waiting)) = (self.wanted(job), self.waiting.get(&job)) else {
            return Attempt::Gone;
        };
        let tenant = self.tenants.get(waiting.queued.tenant);
        if !tenant.allows(&times(&wanted.demand, wanted.tasks)) {
            return Attempt::OverQuota;
        }
        if let Some(probe) = self.probe(now_ms, pool, &wanted) {
            self.update_trust(probe.worker, crate::quarantine::Health::probe_started);
            self.start(now_ms, pool, &wanted, &[probe], out);
            return Attempt::Placed;
        }
        let mut placed = self.take_kept(now_ms, pool, job);
        for index in 0..wanted.tasks {
            let key = TaskKey { job, index };
            if placed.iter().any(|tentative| tentative.key == key) {
                continue;
            }
            let Some(tentative) = self.place_one(now_ms, pool, &wanted, key) else {
                self.keep_or_undo(now_ms, pool, job, placed);
                return Attempt::NoRoom;
            };
            placed.push(tentative);
        }
        self.start(now_ms, pool, &wanted, &placed, out);
        Attempt::Placed
    }

    /// Holds room for one task.
    fn place_one(
        &mut self,
        now_ms: Millis,
        pool: usize,
        wanted: &Wanted,
        key: TaskKey,
    ) -> Option<Tentative> {
        let mut examined = 0;
        let state = &self.pools[pool];
        let kept = self.kept_worker(now_ms, pool, wanted.job, &wanted.demand, &mut examined);
        let untried = kept.or_else(|| self.untried(pool, wanted, &mut examined));
        let chosen = untried.or_else(|| {
            let slot = placement::choose(state, wanted.kind, &wanted.demand, &mut examined)?;
            state.index.entry(slot).map(|entry| entry.worker)
        });
        let chosen = chosen.or_else(|| self.suspect(now_ms, pool, wanted, &mut examined));
        self.cost.tasks += 1;
        self.cost.examined += examined;
        self.cost.max_examined_per_task = self.cost.max_examined_per_task.max(examined);
        let worker = chosen?;
        self.hold(now_ms, worker, key, wanted.demand)
    }

    fn hold(
        &mut self,
        now_ms: Millis,
        index: WorkerIndex,
        key: TaskKey,
        demand: Resources,
    ) -> Option<Tentative> {
        let worker = self.workers.get_mut(index)?;
        let place = worker.place?;
        worker.hold(key, demand);
        self.refresh_worker(now_ms, index);
        let entry = self.pools[place.pool].index.entry(place.slot);
        Some(Tentative {
            key,
            worker: index,
            rack: entry.map(|entry| entry.rack),
            reserved: demand,
        })
    }

    pub(super) fn undo(&mut self, now_ms: Millis, placed: &[Tentative]) {
        for tentative in placed {
            if let Some(worker) = self.workers.get_mut(tentative.worker) {
                worker.release(now_ms, tentative.key, false);
            }
            self.refresh_worker(now_ms, tentative.worker);
        }
    }

    /// Chooses a worker that does not fail a blamed kind, if there is one. Whether the kind or a
    /// few workers are at fault shows only if other workers run it too.
    fn untried(&self, pool: usize, wanted: &Wanted, examined: &mut u32) -> Option<WorkerIndex> {
        let health = &self.kinds.get(wanted.kind).health;
        if !health.blamed() {
            return None;
        }
        let index = &self.pools[pool].index;
        let entries = index.emptiest().filter_map(|slot| index.entry(slot));
        let mut entries = entries.take(UNTRIED).inspect(|_| *examined += 1);
        let untried = entries
            .find(|entry| wanted.demand.fits_in(&entry.room) && !health.fails_on(entry.worker));
        untried.map(|entry| entry.worker)
    }

    /// Chooses among the workers that fail but may not be quarantined; they are the last resort.
    fn suspect(
        &self,
        now_ms: Millis,
        pool: usize,
        wanted: &Wanted,
        examined: &mut u32,
    ) -> Option<WorkerIndex> {
        let suspects = self.pools[pool].suspects.iter().take(SUSPECTS);
        let mut suspects = suspects.copied();
        suspects.find(|index| {
            *examined += 1;
            let worker = self.workers.get(*index);
            worker.is_some_and(|worker| wanted.demand.fits_in(&worker.last_room(now_ms)))
        })
    }

    /// Chooses a worker in quarantine whose probe is due.
    ///
    /// Work that may run only once is no probe, since a failure would be final.
    fn probe(&mut self, now_ms: Millis, pool: usize, wanted: &Wanted) -> Option<Tentative> {
        let (due_ms, index) = self.pools[pool].quarantined.first().copied()?;
        let delay_ms = if wanted.class == Class::Urgent {
            PROBE_OVERDUE_MS
        } else {
            Millis(0)
        };
        let worker = self.workers.get(index)?;
        let fit = wanted.tasks == 1
            && wanted.effect != Effect::Once
            && due_ms.saturating_add(delay_ms) <= now_ms
            && worker.own.is_empty()
            && worker.in_service()
            && worker.refused_until_ms <= now_ms
            && wanted.demand.fits_in(&worker.free());
        let key = TaskKey {
            job: wanted.job,
            index: 0,
        };
        fit.then(|| self.hold(now_ms, index, key, wanted.demand))?
    }

    /// Turns a waiting job into a running one.
    fn start(
        &mut self,
        now_ms: Millis,
        pool: usize,
        wanted: &Wanted,
        placed: &[Tentative],
        out: &mut Vec<Decision>,
    ) {
        let Some(Waiting { job, queued, .. }) = self.forget_waiting(now_ms, wanted.job) else {
            self.undo(now_ms, placed);
            return;
        };
        self.open_job(job, wanted.kind, Some(pool));
        let mut placements = Vec::with_capacity(placed.len());
        for tentative in placed {
            let task = RunningTask {
                key: tentative.key,
                worker: tentative.worker,
                reserved: tentative.reserved,
                started_ms: now_ms,
                rack: tentative.rack,
                work: queued.work / u64::from(wanted.tasks),
                preempting: None,
                throttled: false,
            };
            self.open_task(wanted.job, task);
            if let Some(worker) = self.workers.get(tentative.worker) {
                placements.push(Placement {
                    task: tentative.key,
                    worker: worker.id.clone(),
                    reserved: tentative.reserved,
                });
            }
        }
        self.pools[pool].last_work = queued.work;
        out.push(Decision::Place {
            job: wanted.job,
            placements,
        });
    }
}
