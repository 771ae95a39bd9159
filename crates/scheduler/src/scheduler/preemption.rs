//! Preemption of batch tasks for urgent jobs.

use acaciareel_types::{CpuMillicores, Millis, Resources};

use crate::{
    Decision, PreemptMode, TaskKey,
    index::WorkerIndex,
    jobs::{Preemptibility, RunningTask},
    scheduler::Scheduler,
};

/// Preemptible tasks examined for one urgent job.
const MAX_VICTIMS_EXAMINED: usize = 32;
/// Urgent jobs for which tasks are preempted in one pass.
const MAX_URGENT_JOBS: usize = 32;
/// Time after which a task that has not freed its resources is preempted in a stricter mode. Twice
/// this time is well within the 2,400 ms in which urgent work must start.
const ESCALATE_AFTER_MS: Millis = Millis(800);
/// Run time from which a checkpoint is taken. The progress of a shorter run is not worth one, so
/// the task is stopped.
const CHECKPOINT_AFTER_MS: Millis = Millis(1_000);
/// A throttled task keeps `1 / THROTTLE_CPU_DIVISOR` of its processors.
const THROTTLE_CPU_DIVISOR: u32 = 2;

/// Preemptions on one worker that together free enough resources for an urgent task.
struct PreemptionPlan {
    /// Number of tasks, then the longest run time among them. Plans that preempt few tasks and lose
    /// little progress come first.
    cost: (usize, Millis),
    steps: Vec<(TaskKey, PreemptMode)>,
    worker: WorkerIndex,
}

impl Scheduler {
    /// Preempts batch tasks for the urgent jobs at the head of a pool's queue. Each preemption that
    /// is still pending covers one of these jobs.
    pub(super) fn preempt(&mut self, now_ms: Millis, pool: usize, out: &mut Vec<Decision>) {
        let demands = self.urgent_demands(pool);
        let pending = self.pending_preemptions(now_ms, pool);
        for demand in demands.into_iter().skip(pending) {
            let Some(plan) = self.plan(now_ms, pool, &demand) else {
                return;
            };
            self.apply_plan(now_ms, plan, out);
        }
    }

    /// Returns the demands of the first waiting urgent jobs, single-task jobs only.
    fn urgent_demands(&self, pool: usize) -> Vec<Resources> {
        let jobs = self.pools[pool].queue.urgent_jobs(MAX_URGENT_JOBS);
        jobs.into_iter()
            .filter_map(|(kind, _)| {
                let kind = self.kinds.get(kind);
                let single_task = kind.route.as_ref().is_some_and(|route| route.tasks == 1);
                single_task.then_some(kind.demand)
            })
            .collect()
    }

    /// Returns the number of recent preemptions whose resources are not yet free.
    fn pending_preemptions(&self, now_ms: Millis, pool: usize) -> usize {
        let requested = self.pools[pool].preempted.iter();
        requested
            .filter(|(requested_ms, _)| now_ms.saturating_sub(*requested_ms) < ESCALATE_AFTER_MS)
            .count()
    }

    fn plan(&mut self, now_ms: Millis, pool: usize, demand: &Resources) -> Option<PreemptionPlan> {
        let mut examined: Vec<WorkerIndex> = Vec::new();
        let mut best: Option<PreemptionPlan> = None;
        let victims = self.pools[pool].victims.iter().take(MAX_VICTIMS_EXAMINED);
        for (_, key) in victims {
            let Some(index) = self.task_worker(*key) else {
                continue;
            };
            if examined.contains(&index) {
                continue;
            }
            examined.push(index);
            if let Some(plan) = self.plan_on_worker(now_ms, index, demand)
                && best.as_ref().is_none_or(|b| plan.cost < b.cost)
            {
                best = Some(plan);
            }
        }
        self.cost.examined += u32::try_from(examined.len()).unwrap_or(u32::MAX);
        best
    }

    /// Selects tasks of a worker to preempt, latest started first, until the demand fits.
    fn plan_on_worker(
        &self,
        now_ms: Millis,
        index: WorkerIndex,
        demand: &Resources,
    ) -> Option<PreemptionPlan> {
        let worker = self.workers.get(index)?;
        let accepts_tasks = worker.in_service()
            && worker.health.trusted()
            && worker.reserved_for.is_none()
            && worker.paused_until_ms <= now_ms;
        if !accepts_tasks {
            return None;
        }
        let mut victims: Vec<(&RunningTask, Preemptibility)> = worker
            .own_tasks
            .keys()
            .filter_map(|key| {
                let running = self.running.get(&key.job)?;
                let task = running.tasks.iter().find(|task| task.key == *key)?;
                (running.preemptibility != Preemptibility::Never)
                    .then_some((task, running.preemptibility))
            })
            .collect();
        victims.sort_by_key(|(task, _)| (std::cmp::Reverse(task.started_ms), task.key));
        let mut available = worker.free();
        let mut plan = PreemptionPlan {
            cost: (0, Millis(0)),
            steps: Vec::new(),
            worker: index,
        };
        for (task, preemptibility) in victims {
            if demand.fits_in(&available) {
                break;
            }
            let Some(mode) = next_mode(now_ms, task, preemptibility, demand, &available) else {
                continue;
            };
            available = available.plus(&freed(task, mode));
            plan.steps.push((task.key, mode));
            plan.cost.0 += 1;
            plan.cost.1 = plan.cost.1.max(now_ms.saturating_sub(task.started_ms));
        }
        (demand.fits_in(&available) && !plan.steps.is_empty()).then_some(plan)
    }

    fn apply_plan(&mut self, now_ms: Millis, plan: PreemptionPlan, out: &mut Vec<Decision>) {
        let Some(worker) = self.workers.get(plan.worker) else {
            return;
        };
        let pool = worker.pool_position.map(|pool_position| pool_position.pool);
        for (key, mode) in plan.steps {
            out.push(Decision::Preempt {
                task: key,
                worker: worker.id.clone(),
                mode,
            });
            if let Some(running) = self.running.get_mut(&key.job)
                && let Some(task) = running.tasks.iter_mut().find(|task| task.key == key)
            {
                task.preempting = Some((now_ms, mode));
            }
            if let Some(pool) = pool {
                let preempted = &mut self.pools[pool].preempted;
                preempted.retain(|(_, earlier)| *earlier != key);
                preempted.push((now_ms, key));
            }
        }
    }
}

/// Returns the mode in which to preempt a task now, if any. A task is throttled if that frees
/// enough. Otherwise it is checkpointed if it has run long enough, or stopped. A task that did not
/// react to an earlier request gets a stricter mode. A task that may only be throttled is never
/// stopped or checkpointed.
fn next_mode(
    now_ms: Millis,
    task: &RunningTask,
    preemptibility: Preemptibility,
    demand: &Resources,
    available: &Resources,
) -> Option<PreemptMode> {
    let escalated = match task.preempting {
        Some((at_ms, _)) if now_ms.saturating_sub(at_ms) < ESCALATE_AFTER_MS => return None,
        Some((_, PreemptMode::Throttle)) => Some(PreemptMode::Checkpoint),
        Some(_) => Some(PreemptMode::Stop),
        None => None,
    };
    let throttle = || {
        let enough = demand.fits_in(&available.plus(&freed(task, PreemptMode::Throttle)));
        (enough && !task.throttled).then_some(PreemptMode::Throttle)
    };
    match (preemptibility, escalated) {
        (Preemptibility::Never, _) | (Preemptibility::ThrottleOnly, Some(_)) => None,
        (Preemptibility::ThrottleOnly, None) => throttle(),
        (Preemptibility::Full, Some(mode)) => Some(mode),
        (Preemptibility::Full, None) => throttle().or_else(|| {
            let ran_ms = now_ms.saturating_sub(task.started_ms);
            let has_progress = ran_ms >= CHECKPOINT_AFTER_MS;
            Some(if has_progress {
                PreemptMode::Checkpoint
            } else {
                PreemptMode::Stop
            })
        }),
    }
}

/// Returns the resources that a preemption frees.
fn freed(task: &RunningTask, mode: PreemptMode) -> Resources {
    match mode {
        PreemptMode::Checkpoint | PreemptMode::Stop => task.reserved,
        PreemptMode::Throttle => Resources {
            cpu_millicores: CpuMillicores(task.reserved.cpu_millicores.0 / THROTTLE_CPU_DIVISOR),
            ..Resources::default()
        },
    }
}
