//! Admission of jobs and their path into the queue.

use acaciareel_types::{Class, Millis, Reason, Resources};

use crate::{
    CancelOutcome, Job, JobId, Refusal,
    amounts::{WHOLE_PPM, amounts, multiplied, share_ppm},
    jobs::{Stage, WaitingJob},
    kinds::{Kind, KindId, TenantId},
    pool::Pool,
    queue::{QueueEntry, aged_ms},
    random::mix,
    rate::Work,
    scheduler::Scheduler,
};

/// Retry-after time of refusals that only a change by operators can resolve.
pub(super) const RETRY_AFTER_CONFIGURATION_MS: Millis = Millis(5_000);
/// Retry-after time while tables or workers are still missing.
const RETRY_AFTER_STARTUP_MS: Millis = Millis(1_000);
/// Minimum retry-after time.
const MIN_RETRY_AFTER_MS: u64 = 100;
/// Maximum predicted wait of urgent work, which must start within this time.
const URGENT_START_LIMIT_MS: Millis = Millis(2_400);
/// Maximum share of the time until the deadline that predicted wait and run time may use. The rest
/// covers prediction errors.
const MAX_TIME_USED_PERCENT: u64 = 75;
/// The same for queued jobs that a new job with an earlier deadline overtakes. The difference
/// leaves capacity for such new jobs, which would otherwise be refused whenever the queue is as
/// long as admission allows.
const OVERTAKEN_MAX_TIME_USED_PERCENT: u64 = 90;

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
        self.add_waiting(now_ms, job);
        Ok(())
    }

    pub(super) fn check(&mut self, now_ms: Millis, job: &Job) -> Result<(), Refusal> {
        if self.tables.routes().is_empty() {
            return refuse(Reason::TablesUnavailable, RETRY_AFTER_STARTUP_MS);
        }
        let Some(kind) = self.kinds.id(&job.kind) else {
            return refuse(Reason::UnknownKind, RETRY_AFTER_CONFIGURATION_MS);
        };
        let tenant = self.tenants.intern(&job.tenant);
        let Some((route, pool)) = self.kinds.get(kind).route_and_pool(false) else {
            return refuse(Reason::UnknownKind, RETRY_AFTER_CONFIGURATION_MS);
        };
        let (class, tasks) = (route.class, route.tasks);
        let demand = self.kinds.get(kind).demand;
        let pool = &self.pools[pool];
        if pool.workers == 0 {
            return refuse(Reason::NoWorkers, RETRY_AFTER_STARTUP_MS);
        }
        if !pool.ever_fits(&demand, tasks) {
            return refuse(Reason::NeverFits, RETRY_AFTER_CONFIGURATION_MS);
        }
        if !self
            .tenants
            .get(tenant)
            .ever_allows(&multiplied(&demand, tasks))
        {
            return refuse(Reason::QuotaExceeded, RETRY_AFTER_CONFIGURATION_MS);
        }
        if job.deadline_ms <= now_ms {
            return refuse(Reason::TimeLimit, Millis(MIN_RETRY_AFTER_MS));
        }
        self.check_wait(now_ms, job, (kind, tenant, class, tasks), pool)
    }

    /// Checks the queue limit and whether this job, and those that it overtakes, meet their
    /// deadlines.
    fn check_wait(
        &self,
        now_ms: Millis,
        job: &Job,
        (kind, tenant, class, tasks): (KindId, TenantId, Class, u32),
        pool: &Pool,
    ) -> Result<(), Refusal> {
        let kind = self.kinds.get(kind);
        let work = pool.work(&kind.demand, tasks, kind.usual_run_ms());
        let wait_ms =
            self.predicted_wait_ms(pool, tenant, (class, job.deadline_ms), &kind.demand, work);
        let limit = pool.settings.as_ref().map_or(0, |pool| pool.queue_limit);
        if pool.queue.len() >= limit as usize {
            return refuse(
                Reason::QueueFull,
                self.jittered_retry_after_ms(job, wait_ms),
            );
        }
        if wait_ms == Millis(0) {
            return Ok(());
        }
        let allowed_ms = allowed_wait_ms(now_ms, job, class, kind);
        if wait_ms > allowed_ms {
            let late_ms = wait_ms.saturating_sub(allowed_ms);
            return refuse(
                Reason::PredictedWait,
                self.jittered_retry_after_ms(job, late_ms),
            );
        }
        let may_overtake =
            pool.queue
                .may_overtake(class, job.deadline_ms, work, |kind, due_ms, ahead| {
                    let kind = self.kinds.get(kind);
                    let run_ms = kind.run_time.high_ms(kind.declared_run_ms());
                    let left_ms =
                        due_ms.saturating_sub(now_ms).0 / 100 * OVERTAKEN_MAX_TIME_USED_PERCENT;
                    let wait_ms = pool.rate.time_for_ms(class, ahead);
                    wait_ms.saturating_add(run_ms) <= Millis(left_ms)
                });
        if !may_overtake {
            return refuse(
                Reason::PredictedWait,
                self.jittered_retry_after_ms(job, wait_ms),
            );
        }
        Ok(())
    }

    /// Predicts the waiting time of a job that arrives now: the time for the work that goes before
    /// it, or the time that the tenant's own queued work takes within its quota, if that is longer.
    fn predicted_wait_ms(
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
            let own = pool.queue.tenant_work(class, tenant);
            pool.rate
                .time_for_ms(class, own.saturating_mul(WHOLE_PPM / share))
        });
        let wait_ms = ahead_ms.max(quota_ms);
        if wait_ms > Millis(0) || pool.index.exhausted_for(demand) {
            wait_ms.saturating_add(pool.rate.completion_interval_ms())
        } else {
            wait_ms
        }
    }

    /// Predicts the waiting time behind all queued jobs except batch jobs.
    pub(super) fn pool_wait_ms(pool: &Pool) -> Millis {
        let work = pool.queue.work_through(Class::Standard);
        pool.rate.time_for_ms(Class::Urgent, work)
    }

    /// Adds jitter of up to a quarter, so that refused callers do not all return at the same time.
    fn jittered_retry_after_ms(&self, job: &Job, wait_ms: Millis) -> Millis {
        let wait_ms = wait_ms.0.max(MIN_RETRY_AFTER_MS);
        let jitter_ms = mix(self.settings.seed ^ job.id.0) % (wait_ms / 4 + 1);
        Millis(wait_ms.saturating_add(jitter_ms))
    }

    fn add_waiting(&mut self, now_ms: Millis, job: Job) {
        let id = job.id;
        self.sequence += 1;
        let queued = QueueEntry {
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
        let waiting = WaitingJob {
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

    /// Puts a waiting job into the queue of the pool of its route.
    pub(super) fn enqueue(&mut self, now_ms: Millis, job: JobId) {
        let Some(waiting) = self.waiting.get_mut(&job) else {
            return;
        };
        let kind = self.kinds.get(waiting.queued.kind);
        let Some((route, pool_id)) = kind.route_and_pool(waiting.job.accepted) else {
            waiting.stage = Stage::Unrouted;
            return;
        };
        let pool = &mut self.pools[pool_id];
        waiting.stage = Stage::Queued(pool_id);
        waiting.queued.class = route.class;
        waiting.queued.work = pool.work(&kind.demand, route.tasks, kind.usual_run_ms());
        let weight = self.tenants.get(waiting.queued.tenant).weight();
        pool.queue.push(&waiting.queued, weight);
        pool.shares.add_work_item(waiting.queued.tenant, weight);
        pool.update_level(waiting.queued.tenant);
        pool.rate
            .record_admission(now_ms, route.class, waiting.queued.work);
        pool.dirty = true;
    }

    /// Removes a waiting job, its queue entry, timers and reservation.
    pub(super) fn remove_waiting(&mut self, now_ms: Millis, job: JobId) -> Option<WaitingJob> {
        let waiting = self.waiting.remove(&job)?;
        self.deadlines.remove(&(waiting.job.deadline_ms, job));
        match waiting.stage {
            Stage::Queued(pool_id) => {
                let weight = self.tenants.get(waiting.queued.tenant).weight();
                let pool = &mut self.pools[pool_id];
                pool.queue.remove(&waiting.queued, weight);
                pool.shares.remove_work_item(waiting.queued.tenant);
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
        let waited = self.remove_waiting(now_ms, job).is_some();
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

/// Returns the maximum predicted wait with which a job still meets its deadline.
fn allowed_wait_ms(now_ms: Millis, job: &Job, class: Class, kind: &Kind) -> Millis {
    let left_ms = job.deadline_ms.saturating_sub(now_ms);
    let run_ms = kind.run_time.high_ms(kind.declared_run_ms());
    let used_ms = Millis(left_ms.0 / 100 * MAX_TIME_USED_PERCENT);
    let allowed_ms = used_ms.saturating_sub(run_ms);
    match class {
        Class::Urgent => allowed_ms.min(URGENT_START_LIMIT_MS),
        Class::Standard | Class::Batch => allowed_ms,
    }
}
