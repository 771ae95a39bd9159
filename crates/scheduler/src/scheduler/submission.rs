//! Admission of jobs and their way to the queue.

use acaciareel_types::{Class, Millis, Reason, Resources};

use crate::{
    CancelOutcome, Job, JobId, Refusal,
    amounts::{WHOLE_PPM, amounts, share_ppm, times},
    jobs::{Stage, Waiting},
    kinds::{Kind, KindId, TenantId},
    pool::Pool,
    queue::{Queued, aged_ms},
    random::mix,
    rate::Work,
    scheduler::Scheduler,
};

/// Time to come back after a refusal that only operators can change.
pub(super) const LATER_MS: Millis = Millis(5_000);
/// Time to come back when tables or workers are still to arrive.
const SOON_MS: Millis = Millis(1_000);
/// Shortest time to come back.
const LEAST_RETRY_MS: u64 = 100;
/// Longest predicted wait of urgent work, the time within which it must start.
const URGENT_START_MS: Millis = Millis(2_400);
/// Part of the time left that predicted wait and run time may take up. The rest covers errors of
/// the prediction.
const USED_PERCENT: u64 = 75;
/// The same for jobs that a new one with an earlier deadline goes before. The difference leaves
/// room for such jobs, which would otherwise be refused whenever a queue is as long as allowed.
const OVERTAKEN_PERCENT: u64 = 90;

fn refuse(reason: Reason, retry_after_ms: Millis) -> Result<(), Refusal> {
    Err(Refusal {
        reason,
        retry_after_ms,
    })
}

impl Scheduler {
    pub(super) fn admit(&mut self, now_ms: Millis, job: Job) -> Result<(), Refusal> {
        if self.waiting.contains_key(&job.id) {
            return Ok(());
        }
        if !job.accepted {
            self.check(now_ms, &job)?;
            if job.earlier_attempts > 0 {
                let spent = self.retries.spend(now_ms, &job.kind, &job.tenant);
                spent.or_else(|retry_after_ms| refuse(Reason::RetryBudget, retry_after_ms))?;
            }
        }
        self.wait(now_ms, job);
        Ok(())
    }

    pub(super) fn check(&mut self, now_ms: Millis, job: &Job) -> Result<(), Refusal> {
        if self.tables.routes().is_empty() {
            return refuse(Reason::TablesUnavailable, SOON_MS);
        }
        let Some(kind) = self.kinds.id(&job.kind) else {
            return refuse(Reason::UnknownKind, LATER_MS);
        };
        let tenant = self.tenants.intern(&job.tenant);
        let Some((route, pool)) = self.kinds.get(kind).routed(false) else {
            return refuse(Reason::UnknownKind, LATER_MS);
        };
        let (class, tasks) = (route.class, route.tasks);
        let demand = self.kinds.get(kind).demand;
        let pool = &self.pools[pool];
        if pool.workers == 0 {
            return refuse(Reason::NoWorkers, SOON_MS);
        }
        if !pool.ever_fits(&demand, tasks) {
            return refuse(Reason::NeverFits, LATER_MS);
        }
        if !self.tenants.get(tenant).ever_allows(&times(&demand, tasks)) {
            return refuse(Reason::QuotaExceeded, LATER_MS);
        }
        if job.deadline_ms <= now_ms {
            return refuse(Reason::TimeLimit, Millis(LEAST_RETRY_MS));
        }
        self.check_wait(now_ms, job, (kind, tenant, class, tasks), pool)
    }

    fn check_wait(
        &self,
        now_ms: Millis,
        job: &Job,
        (kind, tenant, class, tasks): (KindId, TenantId, Class, u32),
        pool: &Pool,
    ) -> Result<(), Refusal> {
        let kind = self.kinds.get(kind);
        let work = pool.work(&kind.demand, tasks, kind.usual_run_ms());
        let wait_ms = self.wait_ms(pool, tenant, (class, job.deadline_ms), &kind.demand, work);
        let limit = pool.settings.as_ref().map_or(0, |pool| pool.queue_limit);
        if pool.queue.len() >= limit as usize {
            return refuse(Reason::QueueFull, self.come_back_ms(job, wait_ms));
        }
        if wait_ms == Millis(0) {
            return Ok(());
        }
        let allowed_ms = allowed_wait_ms(now_ms, job, class, kind);
        if wait_ms > allowed_ms {
            let late_ms = wait_ms.saturating_sub(allowed_ms);
            return refuse(Reason::PredictedWait, self.come_back_ms(job, late_ms));
        }
        let may_overtake =
            pool.queue
                .may_overtake(class, job.deadline_ms, work, |kind, due_ms, ahead| {
                    let kind = self.kinds.get(kind);
                    let run_ms = kind.run_time.high_ms(kind.declared_run_ms());
                    let left_ms = due_ms.saturating_sub(now_ms).0 / 100 * OVERTAKEN_PERCENT;
                    let wait_ms = pool.rate.time_for_ms(class, ahead);
                    wait_ms.saturating_add(run_ms) <= Millis(left_ms)
                });
        if !may_overtake {
            return refuse(Reason::PredictedWait, self.come_back_ms(job, wait_ms));
        }
        Ok(())
    }

    /// Predicts the wait of a job that arrives now.
    fn wait_ms(
        &self,
        pool: &Pool,
        tenant: TenantId,
        (class, deadline_ms): (Class, Millis),
        demand: &Resources,
        work: Work,
    ) -> Millis {
        let tenant_state = self.tenants.get(tenant);
        let weight = tenant_state.weight();
        let ahead = pool
            .queue
            .work_ahead(class, deadline_ms, tenant, weight, work);
        let ahead_ms = pool.rate.time_for_ms(class, ahead);
        let quota_ms = tenant_state.quota.map_or(Millis(0), |quota| {
            let limit = amounts(&quota.limit);
            let shares = limit.iter().zip(&pool.capacity);
            let shares = shares.filter(|(_, whole)| **whole > 0);
            let share = shares.map(|(limit, whole)| share_ppm(*limit, *whole)).min();
            let share = share.unwrap_or(WHOLE_PPM).clamp(1, WHOLE_PPM);
            let own = pool.queue.work_of(class, tenant);
            pool.rate
                .time_for_ms(class, own.saturating_mul(WHOLE_PPM / share))
        });
        let wait_ms = ahead_ms.max(quota_ms);
        if wait_ms > Millis(0) || pool.index.surely_full(demand) {
            wait_ms.saturating_add(pool.rate.gap_ms())
        } else {
            wait_ms
        }
    }

    pub(super) fn general_wait_ms(pool: &Pool) -> Millis {
        let work = pool.queue.work_through(Class::Standard);
        pool.rate.time_for_ms(Class::Urgent, work)
    }

    /// Adds jitter of up to a quarter, so that refused callers do not return together.
    fn come_back_ms(&self, job: &Job, wait_ms: Millis) -> Millis {
        let wait_ms = wait_ms.0.max(LEAST_RETRY_MS);
        let jitter_ms = mix(self.settings.seed ^ job.id.0) % (wait_ms / 4 + 1);
        Millis(wait_ms.saturating_add(jitter_ms))
    }

    fn wait(&mut self, now_ms: Millis, job: Job) {
        let id = job.id;
        self.sequence += 1;
        let queued = Queued {
            job: id,
            kind: self.kinds.intern(&job.kind),
            tenant: self.tenants.intern(&job.tenant),
            class: Class::Standard,
            submitted_ms: now_ms,
            deadline_ms: job.deadline_ms,
            aged_ms: aged_ms(now_ms, job.deadline_ms),
            sequence: self.sequence,
            work: 0,
        };
        let delay_ms = if job.accepted {
            let backoff = self.retry_backoff();
            backoff.delay_ms(job.earlier_attempts, id.0)
        } else {
            Millis(0)
        };
        let stage = if self.running.contains_key(&id) {
            Stage::AfterEarlierAttempt
        } else if delay_ms > Millis(0) {
            Stage::Delayed(now_ms.saturating_add(delay_ms))
        } else {
            Stage::Unrouted
        };
        self.deadlines.insert((job.deadline_ms, id));
        let waiting = Waiting {
            job,
            queued,
            submitted_ms: now_ms,
            stage,
        };
        self.waiting.insert(id, waiting);
        match stage {
            Stage::Delayed(at_ms) => {
                self.delayed.insert((at_ms, id));
            }
            Stage::AfterEarlierAttempt => {}
            Stage::Queued(_) | Stage::Unrouted => self.enqueue(now_ms, id),
        }
    }

    /// Puts a waiting job into the queue of its route's pool.
    pub(super) fn enqueue(&mut self, now_ms: Millis, job: JobId) {
        let Some(waiting) = self.waiting.get_mut(&job) else {
            return;
        };
        let kind = self.kinds.get(waiting.queued.kind);
        let Some((route, pool_id)) = kind.routed(waiting.job.accepted) else {
            waiting.stage = Stage::Unrouted;
            return;
        };
        let pool = &mut self.pools[pool_id];
        waiting.stage = Stage::Queued(pool_id);
        waiting.queued.class = route.class;
        waiting.queued.work = pool.work(&kind.demand, route.tasks, kind.usual_run_ms());
        let weight = self.tenants.get(waiting.queued.tenant).weight();
        pool.queue.push(&waiting.queued, weight);
        pool.shares.enter(waiting.queued.tenant, weight);
        pool.update_level(waiting.queued.tenant);
        pool.rate.admitted(now_ms, route.class, waiting.queued.work);
        pool.dirty = true;
    }

    /// Removes a waiting job from everything that refers to it.
    pub(super) fn forget_waiting(&mut self, now_ms: Millis, job: JobId) -> Option<Waiting> {
        let waiting = self.waiting.remove(&job)?;
        self.deadlines.remove(&(waiting.job.deadline_ms, job));
        match waiting.stage {
            Stage::Queued(pool_id) => {
                let weight = self.tenants.get(waiting.queued.tenant).weight();
                let pool = &mut self.pools[pool_id];
                pool.queue.remove(&waiting.queued, weight);
                pool.shares.leave(waiting.queued.tenant);
                pool.update_level(waiting.queued.tenant);
                if pool.reservation.as_ref().is_some_and(|r| r.job == job) {
                    self.drop_reservation(now_ms, pool_id);
                }
            }
            Stage::Delayed(at_ms) => {
                self.delayed.remove(&(at_ms, job));
            }
            Stage::AfterEarlierAttempt | Stage::Unrouted => {}
        }
        Some(waiting)
    }

    pub(super) fn cancel_job(&mut self, now_ms: Millis, job: JobId) -> CancelOutcome {
        let waited = self.forget_waiting(now_ms, job).is_some();
        if let Some(running) = self.running.get(&job) {
            let workers = running.tasks.iter().filter_map(|task| {
                let worker = self.workers.get(task.worker)?;
                Some((task.key, worker.id.clone()))
            });
            return CancelOutcome::Running(workers.collect());
        }
        if waited {
            CancelOutcome::Waiting
        } else {
            CancelOutcome::Unknown
        }
    }
}

/// Returns the longest wait with which a job is still in time.
fn allowed_wait_ms(now_ms: Millis, job: &Job, class: Class, kind: &Kind) -> Millis {
    let left_ms = job.deadline_ms.saturating_sub(now_ms);
    let run_ms = kind.run_time.high_ms(kind.declared_run_ms());
    let used_ms = Millis(left_ms.0 / 100 * USED_PERCENT);
    let allowed_ms = used_ms.saturating_sub(run_ms);
    match class {
        Class::Urgent => allowed_ms.min(URGENT_START_MS),
        Class::Standard | Class::Batch => allowed_ms,
    }
}
