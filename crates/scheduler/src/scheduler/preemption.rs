//! Preemption of batch tasks for urgent work.

use acaciareel_types::{CpuMillicores, Millis, Resources};

use crate::{
    Decision, PreemptMode, TaskKey,
    index::WorkerIndex,
    jobs::{RunningTask, Yields},
    scheduler::Scheduler,
};

/// Preemptible tasks looked at for one urgent job.
const VICTIMS: usize = 32;
/// Urgent jobs for which tasks are preempted in one pass.
const JOBS: usize = 32;
/// Time after which a task that did not make room is preempted again, more strictly. Twice this
/// time is well within the 2,400 ms in which urgent work must start.
const AGAIN_MS: Millis = Millis(800);
/// Run time after which progress is worth a checkpoint.
const CHECKPOINT_AFTER_MS: Millis = Millis(1_000);
/// A throttled task goes on with this part of its processors.
const THROTTLED_PART: u32 = 2;

/// Tasks on one worker that would make enough room.
struct Plan {
    /// Number of tasks and latest start: few tasks that lose little progress are best.
    order: (usize, Millis),
    steps: Vec<(TaskKey, PreemptMode)>,
    worker: WorkerIndex,
}

impl Scheduler {
    /// Preempts batch tasks for the urgent jobs at the head of a pool's queue, except for those
    /// for which room is being made already.
    pub(super) fn preempt(&mut self, now_ms: Millis, pool: usize, out: &mut Vec<Decision>) {
        let demands = self.urgent_demands(pool);
        let pending = self.pending(now_ms, pool);
        for demand in demands.into_iter().skip(pending) {
            let Some(plan) = self.plan(now_ms, pool, &demand) else {
                return;
            };
            self.carry_out(now_ms, plan, out);
        }
    }

    /// Returns the demands of the first urgent jobs that wait.
    fn urgent_demands(&self, pool: usize) -> Vec<Resources> {
        let jobs = self.pools[pool].queue.urgent(JOBS);
        jobs.into_iter()
            .filter_map(|(kind, _)| {
                let kind = self.kinds.get(kind);
                let single = kind.route.as_ref().is_some_and(|route| route.tasks == 1);
                single.then_some(kind.demand)
            })
            .collect()
    }

    /// Returns for how many jobs room is being made.
    fn pending(&self, now_ms: Millis, pool: usize) -> usize {
        let asked = self.pools[pool].preempted.iter();
        asked
            .filter(|(asked_ms, _)| now_ms.saturating_sub(*asked_ms) < AGAIN_MS)
            .count()
    }

    fn plan(&mut self, now_ms: Millis, pool: usize, demand: &Resources) -> Option<Plan> {
        let mut seen: Vec<WorkerIndex> = Vec::new();
        let mut best: Option<Plan> = None;
        let victims = self.pools[pool].victims.iter().take(VICTIMS);
        for (_, key) in victims {
            let Some(index) = self.task_worker(*key) else {
                continue;
            };
            if seen.contains(&index) {
                continue;
            }
            seen.push(index);
            if let Some(plan) = self.plan_on(now_ms, index, demand)
                && best.as_ref().is_none_or(|b| plan.order < b.order)
            {
                best = Some(plan);
            }
        }
        self.cost.examined += u32::try_from(seen.len()).unwrap_or(u32::MAX);
        best
    }

    /// Plans which tasks of a worker make room, latest started first.
    fn plan_on(&self, now_ms: Millis, index: WorkerIndex, demand: &Resources) -> Option<Plan> {
        let worker = self.workers.get(index)?;
        let open = worker.in_service()
            && worker.health.trusted()
            && worker.reserved_for.is_none()
            && worker.refused_until_ms <= now_ms;
        if !open {
            return None;
        }
        let mut victims: Vec<(&RunningTask, Yields)> = worker
            .own
            .keys()
            .filter_map(|key| {
                let running = self.running.get(&key.job)?;
                let task = running.tasks.iter().find(|task| task.key == *key)?;
                (running.yields != Yields::Never).then_some((task, running.yields))
            })
            .collect();
        victims.sort_by_key(|(task, _)| (std::cmp::Reverse(task.started_ms), task.key));
        let mut room = worker.free();
        let mut plan = Plan {
            order: (0, Millis(0)),
            steps: Vec::new(),
            worker: index,
        };
        for (task, yields) in victims {
            if demand.fits_in(&room) {
                break;
            }
            let Some(mode) = next_mode(now_ms, task, yields, demand, &room) else {
                continue;
            };
            room = room.plus(&freed(task, mode));
            plan.steps.push((task.key, mode));
            plan.order.0 += 1;
            plan.order.1 = plan.order.1.max(now_ms.saturating_sub(task.started_ms));
        }
        (demand.fits_in(&room) && !plan.steps.is_empty()).then_some(plan)
    }

    fn carry_out(&mut self, now_ms: Millis, plan: Plan, out: &mut Vec<Decision>) {
        let Some(worker) = self.workers.get(plan.worker) else {
            return;
        };
        let pool = worker.place.map(|place| place.pool);
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

/// Returns how a task makes room now: first throttled if that suffices, then checkpointed if it
/// has progress to lose, or stopped. One that was asked without effect is asked more strictly.
fn next_mode(
    now_ms: Millis,
    task: &RunningTask,
    yields: Yields,
    demand: &Resources,
    room: &Resources,
) -> Option<PreemptMode> {
    let stronger = match task.preempting {
        Some((asked_ms, _)) if now_ms.saturating_sub(asked_ms) < AGAIN_MS => return None,
        Some((_, PreemptMode::Throttle)) => Some(PreemptMode::Checkpoint),
        Some(_) => Some(PreemptMode::Stop),
        None => None,
    };
    let throttle = || {
        let enough = demand.fits_in(&room.plus(&freed(task, PreemptMode::Throttle)));
        (enough && !task.throttled).then_some(PreemptMode::Throttle)
    };
    match (yields, stronger) {
        (Yields::Never, _) | (Yields::Slower, Some(_)) => None,
        (Yields::Slower, None) => throttle(),
        (Yields::Fully, Some(mode)) => Some(mode),
        (Yields::Fully, None) => throttle().or_else(|| {
            let ran_ms = now_ms.saturating_sub(task.started_ms);
            let worth = ran_ms >= CHECKPOINT_AFTER_MS;
            Some(if worth {
                PreemptMode::Checkpoint
            } else {
                PreemptMode::Stop
            })
        }),
    }
}

/// Returns what a task gives back.
fn freed(task: &RunningTask, mode: PreemptMode) -> Resources {
    match mode {
        PreemptMode::Checkpoint | PreemptMode::Stop => task.reserved,
        PreemptMode::Throttle => Resources {
            cpu_millicores: CpuMillicores(task.reserved.cpu_millicores.0 / THROTTLED_PART),
            ..Resources::default()
        },
    }
}
