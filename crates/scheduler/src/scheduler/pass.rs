//! Scheduling passes: placement of the waiting jobs of each pool.

use acaciareel_types::{Class, Effect, Millis, Reason, Resources};

use crate::{
    Decision, DecisionCost, JobId, Placement, Refusal, TaskKey,
    amounts::multiplied,
    index::WorkerIndex,
    jobs::{RunningTask, TentativePlacement, WaitingJob},
    kinds::KindId,
    placement,
    scheduler::Scheduler,
};

/// Maximum time between two passes over a pool with waiting jobs.
const PASS_INTERVAL_MS: Millis = Millis(100);
/// Delay of a due probe after which urgent tasks may serve as probes too, because a pool may run
/// urgent work only.
const PROBE_OVERDUE_MS: Millis = Millis(10_000);

/// Suspect workers examined for one task.
const MAX_SUSPECTS_EXAMINED: usize = 32;

/// Workers examined to find one on which a kind at fault does not fail.
const MAX_EXAMINED_FOR_KIND_AT_FAULT: usize = 32;

/// Outcome of one call of [`Scheduler::try_place`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PlacementOutcome {
    Placed,
    NoCapacity,
    OverQuota,
    /// The job is no longer in the queue.
    NotQueued,
}

/// The tasks of a job to place, with their demand.
struct PlacementRequest {
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
        self.apply_due_timers(now_ms);
        self.refuse_expired(now_ms, out);
        for pool in 0..self.pools.len() {
            let state = &self.pools[pool];
            let due = now_ms.saturating_sub(state.last_pass_ms) >= PASS_INTERVAL_MS;
            if state.queue.len() > 0 && (state.dirty || due) {
                self.run_pass(now_ms, pool, out);
            }
        }
    }

    /// Refreshes workers and enqueues delayed jobs whose time has come.
    fn apply_due_timers(&mut self, now_ms: Millis) {
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
    fn refuse_expired(&mut self, now_ms: Millis, out: &mut Vec<Decision>) {
        while let Some((deadline_ms, job)) = self.deadlines.first().copied()
            && deadline_ms <= now_ms
        {
            self.remove_waiting(now_ms, job);
            self.deadlines.remove(&(deadline_ms, job));
            let refusal = Refusal {
                reason: Reason::TimeLimit,
                retry_after_ms: PASS_INTERVAL_MS,
            };
            out.push(Decision::Refuse { job, refusal });
        }
    }

    /// Tries to place waiting jobs of a pool in order until no further job fits. After a job that
    /// does not fit, other jobs of its kind are skipped, except for the job that has been aged for
    /// longest, for which capacity may still be reserved.
    fn run_pass(&mut self, now_ms: Millis, pool: usize, out: &mut Vec<Decision>) {
        let mut skip = Vec::new();
        let mut reserved_job_tried = false;
        let mut aged_tried = false;
        loop {
            let aged = self.aged_candidate(now_ms, pool).filter(|_| !aged_tried);
            let next = aged.or_else(|| self.pools[pool].queue.next_job(now_ms, &skip));
            if !reserved_job_tried && self.reserved_job_goes_first(now_ms, pool, next) {
                reserved_job_tried = true;
                self.try_place_reserved_job(now_ms, pool, &mut skip, out);
                continue;
            }
            let Some((kind, job)) = next else {
                break;
            };
            aged_tried |= aged.is_some();
            let outcome = if aged.is_some() && skip.contains(&kind) {
                PlacementOutcome::NoCapacity
            } else {
                self.try_place(now_ms, pool, job, out)
            };
            match outcome {
                PlacementOutcome::Placed => {
                    aged_tried = false;
                    let state = &mut self.pools[pool];
                    if aged.is_some() {
                        state.aged_credit.spend(state.last_start_work);
                    } else {
                        state.aged_credit.earn(state.last_start_work);
                        state.gang_credit.earn(state.last_start_work);
                    }
                }
                PlacementOutcome::NoCapacity => {
                    skip.push(kind);
                    self.acquire_capacity(now_ms, pool, job, aged.is_some(), out);
                }
                PlacementOutcome::OverQuota => {
                    if let Some(waiting) = self.waiting.get(&job) {
                        let tenant = waiting.queued.tenant;
                        self.pools[pool].queue.block(kind, tenant);
                    }
                }
                PlacementOutcome::NotQueued => skip.push(kind),
            }
        }
        self.pools[pool].dirty = false;
        self.pools[pool].last_pass_ms = now_ms;
    }

    /// Returns the job that has been aged for longest, if the credit for aged jobs allows its
    /// start.
    fn aged_candidate(&self, now_ms: Millis, pool: usize) -> Option<(KindId, JobId)> {
        let pool = &self.pools[pool];
        if !pool.aged_credit.available() {
            return None;
        }
        let job = pool.queue.oldest_aged(now_ms)?;
        let waiting = self.waiting.get(&job)?;
        Some((waiting.queued.kind, job))
    }

    fn placement_request(&self, job: JobId) -> Option<PlacementRequest> {
        let waiting = self.waiting.get(&job)?;
        let kind = self.kinds.get(waiting.queued.kind);
        let (route, _) = kind.route_and_pool(waiting.job.accepted)?;
        Some(PlacementRequest {
            job,
            kind: waiting.queued.kind,
            class: route.class,
            effect: route.effect,
            tasks: route.tasks,
            demand: kind.demand,
        })
    }

    /// Places either all tasks of a job or none.
    pub(super) fn try_place(
        &mut self,
        now_ms: Millis,
        pool: usize,
        job: JobId,
        out: &mut Vec<Decision>,
    ) -> PlacementOutcome {
        let (Some(request), Some(waiting)) = (self.placement_request(job), self.waiting.get(&job))
        else {
            return PlacementOutcome::NotQueued;
        };
        let tenant = self.tenants.get(waiting.queued.tenant);
        if !tenant.allows(&multiplied(&request.demand, request.tasks)) {
            return PlacementOutcome::OverQuota;
        }
        if let Some(probe) = self.place_probe(now_ms, pool, &request) {
            self.update_trust(probe.worker, crate::quarantine::Health::probe_started);
            self.start_job(now_ms, pool, &request, &[probe], out);
            return PlacementOutcome::Placed;
        }
        let mut placed = self.take_reserved_tasks(now_ms, pool, job);
        for index in 0..request.tasks {
            let key = TaskKey { job, index };
            if placed.iter().any(|tentative| tentative.key == key) {
                continue;
            }
            let Some(tentative) = self.place_task(now_ms, pool, &request, key) else {
                self.reserve_or_release(now_ms, pool, job, placed);
                return PlacementOutcome::NoCapacity;
            };
            placed.push(tentative);
        }
        self.start_job(now_ms, pool, &request, &placed, out);
        PlacementOutcome::Placed
    }

    /// Chooses a worker for one task and allocates its resources there.
    fn place_task(
        &mut self,
        now_ms: Millis,
        pool: usize,
        request: &PlacementRequest,
        key: TaskKey,
    ) -> Option<TentativePlacement> {
        let mut examined = 0;
        let state = &self.pools[pool];
        let reserved =
            self.reserved_worker(now_ms, pool, request.job, &request.demand, &mut examined);
        let non_failing =
            reserved.or_else(|| self.non_failing_worker(pool, request, &mut examined));
        let chosen = non_failing.or_else(|| {
            let position =
                placement::choose_worker(state, request.kind, &request.demand, &mut examined)?;
            state.index.entry(position).map(|entry| entry.worker)
        });
        let chosen = chosen.or_else(|| self.suspect_worker(now_ms, pool, request, &mut examined));
        self.cost.tasks += 1;
        self.cost.examined += examined;
        self.cost.max_examined_per_task = self.cost.max_examined_per_task.max(examined);
        let worker = chosen?;
        self.allocate(now_ms, worker, key, request.demand)
    }

    fn allocate(
        &mut self,
        now_ms: Millis,
        index: WorkerIndex,
        key: TaskKey,
        demand: Resources,
    ) -> Option<TentativePlacement> {
        let worker = self.workers.get_mut(index)?;
        let pool_position = worker.pool_position?;
        worker.allocate(key, demand);
        self.refresh_worker(now_ms, index);
        let entry = self.pools[pool_position.pool]
            .index
            .entry(pool_position.position);
        Some(TentativePlacement {
            key,
            worker: index,
            rack: entry.map(|entry| entry.rack),
            reserved: demand,
        })
    }

    pub(super) fn release_tentative(&mut self, now_ms: Millis, placed: &[TentativePlacement]) {
        for tentative in placed {
            if let Some(worker) = self.workers.get_mut(tentative.worker) {
                worker.release(now_ms, tentative.key, false);
            }
            self.refresh_worker(now_ms, tentative.worker);
        }
    }

    /// Returns a worker on which a kind at fault does not fail, if there is one. Only outcomes on
    /// other workers can show whether the kind or a few workers are at fault.
    fn non_failing_worker(
        &self,
        pool: usize,
        request: &PlacementRequest,
        examined: &mut u32,
    ) -> Option<WorkerIndex> {
        let health = &self.kinds.get(request.kind).health;
        if !health.at_fault() {
            return None;
        }
        let index = &self.pools[pool].index;
        let entries = index
            .emptiest()
            .filter_map(|position| index.entry(position));
        let mut entries = entries
            .take(MAX_EXAMINED_FOR_KIND_AT_FAULT)
            .inspect(|_| *examined += 1);
        let non_failing = entries.find(|entry| {
            request.demand.fits_in(&entry.available) && !health.fails_on(entry.worker)
        });
        non_failing.map(|entry| entry.worker)
    }

    /// Returns a suspect worker with enough resources, as the last resort. Suspect workers fail
    /// tasks but must stay out of quarantine because of its cap.
    fn suspect_worker(
        &self,
        now_ms: Millis,
        pool: usize,
        request: &PlacementRequest,
        examined: &mut u32,
    ) -> Option<WorkerIndex> {
        let suspects = self.pools[pool].suspects.iter().take(MAX_SUSPECTS_EXAMINED);
        let mut suspects = suspects.copied();
        suspects.find(|index| {
            *examined += 1;
            let worker = self.workers.get(*index);
            worker.is_some_and(|worker| {
                request
                    .demand
                    .fits_in(&worker.available_as_last_resort(now_ms))
            })
        })
    }

    /// Allocates a job's single task as a probe on a worker in quarantine whose probe is due.
    ///
    /// Tasks that may run only once are never probes, because their failure would be final.
    fn place_probe(
        &mut self,
        now_ms: Millis,
        pool: usize,
        request: &PlacementRequest,
    ) -> Option<TentativePlacement> {
        let (due_ms, index) = self.pools[pool].quarantined.first().copied()?;
        let delay_ms = if request.class == Class::Urgent {
            PROBE_OVERDUE_MS
        } else {
            Millis(0)
        };
        let worker = self.workers.get(index)?;
        let fits = request.tasks == 1
            && request.effect != Effect::Once
            && due_ms.saturating_add(delay_ms) <= now_ms
            && worker.own_tasks.is_empty()
            && worker.in_service()
            && worker.paused_until_ms <= now_ms
            && request.demand.fits_in(&worker.free());
        let key = TaskKey {
            job: request.job,
            index: 0,
        };
        fits.then(|| self.allocate(now_ms, index, key, request.demand))?
    }

    /// Moves a job from waiting to running and appends its placements to `out`.
    fn start_job(
        &mut self,
        now_ms: Millis,
        pool: usize,
        request: &PlacementRequest,
        placed: &[TentativePlacement],
        out: &mut Vec<Decision>,
    ) {
        let Some(WaitingJob { job, queued, .. }) = self.remove_waiting(now_ms, request.job) else {
            self.release_tentative(now_ms, placed);
            return;
        };
        self.add_running_job(job, request.kind, Some(pool));
        let mut placements = Vec::with_capacity(placed.len());
        for tentative in placed {
            let task = RunningTask {
                key: tentative.key,
                worker: tentative.worker,
                reserved: tentative.reserved,
                started_ms: now_ms,
                rack: tentative.rack,
                work: queued.work / u64::from(request.tasks),
                preempting: None,
                throttled: false,
            };
            self.add_running_task(request.job, task);
            if let Some(worker) = self.workers.get(tentative.worker) {
                placements.push(Placement {
                    task: tentative.key,
                    worker: worker.id.clone(),
                    reserved: tentative.reserved,
                });
            }
        }
        self.pools[pool].last_start_work = queued.work;
        out.push(Decision::Place {
            job: request.job,
            placements,
        });
    }
}
