//! Tasks that may crash their workers: they run alone, and their jobs fail after too many crashes.
//!
//! A suspect waits for a worker without runs; some workers take no new runs until they are empty.
//! Most suspects are innocent, so the worker takes other tasks again after a while, and no suspect
//! waits for ever: it then runs beside others.

use std::cmp::Reverse;

use acaciareel_types::{Millis, SortedVec};

use super::{
    Leader,
    pass::{FreeCapacityByWorker, counted_demand},
    restarts::CapacityScope,
    worker::{Phase, WorkerView},
};
use crate::{
    CellState, Command, Job, RunKey, StepKey, StepSpec, TaskKey, WorkerNumber, io::Io,
    placement::Candidate,
};

/// Share of the workers that may be closed to others for suspects at the same time, in thousandths.
/// After a crash of many workers most tasks are suspects, and workers without runs are many.
const MAX_CLOSED_PERMILLE: usize = 250;
/// Number of workers that may be closed in any case.
const MIN_CLOSED: usize = 4;
/// Share of the workers that may drain for suspects at the same time, in thousandths; at least one.
const MAX_DRAINING_PERMILLE: usize = 100;
/// Wait after which a suspect may run beside others after its second crash, if it is long-running or
/// more than half of the service's capacity is free: then only gaps on all workers keep it waiting.
const SHARE_AFTER_MS: u64 = 2_000;
/// Wait of the same suspects if they are a gang with a policy service. They then need tickets for many
/// workers at once, which can take over a second, and a job may stand still for 3 s (rule of the users).
const SHARE_ADVISED_GANG_AFTER_MS: u64 = 1_000;
/// Wait after which any long-running suspect may run beside others; callers miss it meanwhile.
const SHARE_LONG_RUNNING_AFTER_MS: u64 = 4_000;
/// Wait after which any suspect may run beside others.
const SHARE_ALWAYS_AFTER_MS: u64 = 30_000;
/// How long the worker of a suspect takes no other tasks after its second crash, or if the suspect is
/// long-running.
const TRIAL_MS: u64 = 3_000;
/// The same after further crashes. Another one would fail the job, whichever task causes it.
const LONG_TRIAL_MS: u64 = 30_000;
/// Time for which a worker that has joined is the last choice for a suspect. If the worker crashes
/// by itself, the task would be blamed.
const NEW_WORKER_MS: u64 = 10_000;

/// Returns until when a suspect that starts now must be alone.
pub(super) fn trial_end(spec: &StepSpec, few_crashes: bool, now_ms: Millis) -> Millis {
    let trial_ms = if few_crashes || spec.long_running {
        TRIAL_MS
    } else {
        LONG_TRIAL_MS
    };
    now_ms.saturating_add(Millis(trial_ms))
}

/// What decides whether suspects still wait for workers of their own.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct SuspectWait {
    /// How long each has waited at least: the longest of the times after which suspects may do more.
    waited_ms: Reverse<u64>,
    /// Whether none has more crashes than make a suspect.
    few_crashes: bool,
}

impl SuspectWait {
    fn new(waited_ms: u64, early_after_ms: u64, few_crashes: bool) -> Self {
        let reached = [
            early_after_ms,
            SHARE_LONG_RUNNING_AFTER_MS,
            SHARE_ALWAYS_AFTER_MS,
        ];
        let reached = reached
            .into_iter()
            .filter(|after_ms| *after_ms <= waited_ms);
        Self {
            waited_ms: Reverse(reached.max().unwrap_or(0)),
            few_crashes,
        }
    }
}

/// Waiting tasks of a step that are placed together.
#[derive(Clone, Debug)]
pub(super) struct TaskGroup {
    /// Positions of the tasks, sorted.
    pub tasks: Vec<u32>,
    /// Set if the tasks are suspects.
    pub suspects: Option<SuspectWait>,
    /// Capacity that the tasks may use.
    pub scope: CapacityScope,
}

/// Workers on which a group of tasks may be placed.
#[derive(Clone, Debug)]
pub(super) struct GroupCandidates {
    /// The workers.
    pub candidates: Vec<Candidate>,
    /// Time until which the workers then take no other tasks.
    pub alone_until_ms: Option<Millis>,
}

impl Leader {
    /// Logs the runs under which a worker crashed, and proposes to record those that the worker had
    /// confirmed to this leader.
    pub(super) fn worker_crashed(
        &mut self,
        state: &CellState,
        successor: WorkerNumber,
        crashed: &[(WorkerNumber, RunKey)],
        io: &mut Io<'_>,
    ) {
        let successor = state.workers().get(&successor);
        let successor = successor.map_or_else(String::new, |record| record.id.clone());
        let mut jobs = Vec::new();
        for (worker, run) in crashed {
            let count = state.crash_count(run.task);
            io.warn(
                "worker_crashed",
                vec![
                    ("run", run.to_string()),
                    ("followed_by", successor.clone()),
                    ("crashes", count.crashes.to_string()),
                    ("confirmed", count.confirmed.to_string()),
                    ("alone", count.alone.to_string()),
                ],
            );
            jobs.push(run.task.step.job);
            let view = self.workers.get(worker);
            let view = view.and_then(|view| view.runs.get(run));
            if view.is_some_and(|view| matches!(view.phase, Phase::Confirmed { .. })) {
                io.commands.push(Command::Confirmed(*run));
            }
        }
        jobs.sort_unstable();
        jobs.dedup();
        for id in jobs {
            self.refresh_job(state, id, io);
        }
    }

    /// Proposes that a job fails if a task of it has crashed too many workers. Returns whether that
    /// is so.
    pub(super) fn give_up_if_exhausted(
        &mut self,
        state: &CellState,
        job: &Job,
        io: &mut Io<'_>,
    ) -> bool {
        let Some((task, count)) = state.exhausted_task(job) else {
            return false;
        };
        if let Err(at) = self.given_up.binary_search(&job.id) {
            self.given_up.insert(at, job.id);
            self.steps.retain(|key, _| key.job != job.id);
            io.warn(
                "job_given_up",
                vec![
                    ("job", job.id.to_string()),
                    ("queue", job.queue.name.clone()),
                    ("task", task.to_string()),
                    ("crashes", count.crashes.to_string()),
                    ("confirmed", count.confirmed.to_string()),
                    ("alone", count.alone.to_string()),
                ],
            );
            let (id, at_unix_ms) = (job.id, io.unix_ms);
            io.commands.push(Command::GiveUp { id, at_unix_ms });
        }
        true
    }

    /// Returns the waiting tasks of a step without a proposed placement, by what they may use: those that
    /// are no suspects first, and of these those that may use most. A gang stays together.
    pub(super) fn task_groups(
        &self,
        state: &CellState,
        key: StepKey,
        spec: &StepSpec,
        now_ms: Millis,
    ) -> Vec<TaskGroup> {
        let Some(step) = self.steps.get(&key) else {
            return Vec::new();
        };
        let is_proposed = |index: &u32| step.proposed.binary_search(index).is_ok();
        let waiting = step.waiting.iter().copied();
        let waiting = waiting.filter(|index| !is_proposed(index));
        let job = state.job(key.job);
        let is_suspect = |index: u32| {
            let task = TaskKey { step: key, index };
            job.is_some_and(|job| state.must_run_alone(job, task))
        };
        if spec.long_running && !spec.gang {
            let kind = |index| {
                let task = TaskKey { step: key, index };
                let waited_ms = self.restarts.waited_ms(task, now_ms).unwrap_or(0);
                let few_crashes = state.crash_count(task).may_share();
                let wait = SuspectWait::new(waited_ms, SHARE_AFTER_MS, few_crashes);
                let scope = self.capacity_scope(spec, task, now_ms);
                (is_suspect(index).then_some(wait), Reverse(scope))
            };
            let mut groups: SortedVec<_, Vec<u32>> = SortedVec::new();
            for index in waiting {
                let tasks = groups.get_or_insert_with(kind(index), Vec::new);
                tasks.push(index);
            }
            let group = |((suspects, Reverse(scope)), tasks)| TaskGroup {
                tasks,
                suspects,
                scope,
            };
            return groups.into_iter().map(group).collect();
        }
        let (suspects, others): (Vec<u32>, Vec<u32>) = if spec.gang {
            let waiting: Vec<u32> = waiting.collect();
            if is_suspect(0) {
                (waiting, Vec::new())
            } else {
                (Vec::new(), waiting)
            }
        } else {
            waiting.partition(|index| is_suspect(*index))
        };
        // A job may fail for crashes that its tasks did not cause, so they share workers only once none
        // of the step gets one of its own any more. Long-running ones never fail a job.
        let wait = || {
            let early_after_ms = match job {
                Some(job) if spec.gang && job.queue.advice.is_some() => SHARE_ADVISED_GANG_AFTER_MS,
                _ => SHARE_AFTER_MS,
            };
            let since_ms = step.suspects_since_ms.unwrap_or(now_ms);
            let waited_ms = now_ms.saturating_sub(since_ms).0;
            let few_crashes = suspects.iter().all(|index| {
                let index = *index;
                state.crash_count(TaskKey { step: key, index }).may_share()
            });
            SuspectWait::new(waited_ms, early_after_ms, few_crashes)
        };
        let suspects_wait = (!suspects.is_empty()).then(wait);
        let first = TaskKey {
            step: key,
            index: 0,
        };
        let scope = self.capacity_scope(spec, first, now_ms);
        let groups = [(others, None), (suspects, suspects_wait)];
        let groups = groups.into_iter().filter(|(tasks, _)| !tasks.is_empty());
        let group = |(tasks, suspects)| TaskGroup {
            tasks,
            suspects,
            scope,
        };
        groups.map(group).collect()
    }

    /// Ends the reservations of steps without waiting suspects, and of workers that cannot be used.
    pub(super) fn release_drained(
        &mut self,
        state: &CellState,
        free_capacity: &FreeCapacityByWorker,
        now_ms: Millis,
    ) {
        let mut draining_for = std::mem::take(&mut self.draining_for);
        draining_for.retain(|number, key| {
            let spec = state.job(key.job).and_then(|job| job.step_spec(*key));
            let groups = spec.map(|spec| self.task_groups(state, *key, spec, now_ms));
            let waits =
                groups.is_some_and(|groups| groups.iter().any(|group| group.suspects.is_some()));
            waits && free_capacity.contains_key(number)
        });
        self.draining_for = draining_for;
    }

    /// Returns whether a worker drains for suspects other than those of the given step.
    pub(super) fn drains_for_others(
        &self,
        number: WorkerNumber,
        suspects_of: Option<StepKey>,
    ) -> bool {
        let owner = self.draining_for.get(&number);
        owner.is_some_and(|owner| suspects_of != Some(*owner))
    }

    /// Returns where suspects of a step may be placed now, of the given workers.
    pub(super) fn suspect_candidates(
        &mut self,
        (state, job): (&CellState, &Job),
        (key, spec): (StepKey, &StepSpec),
        (tasks, wait): (&[u32], SuspectWait),
        candidates: Vec<Candidate>,
        io: &mut Io<'_>,
    ) -> GroupCandidates {
        let now_ms = io.now_ms;
        if let Some(step) = self.steps.get_mut(&key) {
            step.suspects_since_ms.get_or_insert(now_ms);
        }
        let SuspectWait {
            waited_ms: Reverse(waited_ms),
            few_crashes,
        } = wait;
        let waited_long_enough = waited_ms > 0;
        // Half of the capacity is free, so only gaps on all workers keep the suspects waiting.
        let shares_early =
            waited_long_enough && !spec.long_running && self.is_half_free(job, now_ms);
        let may_share = match (spec.long_running, few_crashes) {
            (true, true) => waited_long_enough,
            (true, false) => waited_ms >= SHARE_LONG_RUNNING_AFTER_MS,
            (false, _) => (few_crashes && shares_early) || waited_ms >= SHARE_ALWAYS_AFTER_MS,
        };
        if may_share {
            return GroupCandidates {
                candidates,
                alone_until_ms: None,
            };
        }
        self.drain_for_suspects((key, spec), tasks.len(), &candidates, io);
        let may_close = self.may_close(key, spec, now_ms);
        let isolated = candidates.iter().filter_map(|candidate| {
            let view = self.workers.get(&candidate.worker)?;
            let is_empty = view.runs.is_empty() && candidate.free == view.record.capacity;
            let is_reserved = self.draining_for.contains_key(&candidate.worker);
            // With more crashes a suspect keeps away from tasks that have one, and its worker takes no
            // further tasks.
            let suits = is_empty || (shares_early && !has_blamed(state, view));
            (suits && (may_close || is_reserved)).then_some(Candidate {
                max_tasks: if spec.gang { candidate.max_tasks } else { 1 },
                risk: candidate.risk
                    + u32::from(is_new(view, now_ms))
                    + u32::from(!is_reserved)
                    + u32::from(!is_empty),
                ..*candidate
            })
        });
        GroupCandidates {
            candidates: isolated.collect(),
            alone_until_ms: Some(trial_end(spec, few_crashes, now_ms)),
        }
    }

    /// Returns whether more than half of the capacity of a job's service is free.
    pub(super) fn is_half_free(&self, job: &Job, now_ms: Millis) -> bool {
        let of_service = |view: &WorkerView| view.record.service == job.queue.service;
        let (free, capacity) = self.millicores_of(of_service, now_ms);
        free * 2 > capacity
    }

    /// Returns whether one more worker may be closed for suspects of a step. A gang that needs many
    /// workers at once may have them if no others are closed.
    fn may_close(&self, key: StepKey, spec: &StepSpec, now_ms: Millis) -> bool {
        let is_isolated = |view: &&WorkerView| view.is_isolated(now_ms);
        let isolated = self.workers.values().filter(is_isolated).count();
        let of_others = self.draining_for.values().filter(|owner| **owner != key);
        let closed = isolated + of_others.count();
        let limit = (self.workers.len() * MAX_CLOSED_PERMILLE / 1_000).max(MIN_CLOSED);
        closed < limit || (spec.gang && closed == 0)
    }

    /// Returns whether one more worker may drain for suspects of a step. A gang that needs many
    /// workers at once may have them if no others drain.
    fn may_drain(&self, key: StepKey, spec: &StepSpec) -> bool {
        let limit = (self.workers.len() * MAX_DRAINING_PERMILLE / 1_000).max(1);
        let only_this = self.draining_for.values().all(|owner| *owner == key);
        self.draining_for.len() < limit || (spec.gang && only_this)
    }

    /// Lets workers drain for the suspects of a step until there are as many as they need. Those
    /// with the least in use are chosen, and none with long-running tasks, which never end.
    fn drain_for_suspects(
        &mut self,
        (key, spec): (StepKey, &StepSpec),
        tasks: usize,
        candidates: &[Candidate],
        io: &mut Io<'_>,
    ) {
        let demand = counted_demand(spec);
        let slots_if_empty = |view: &WorkerView| {
            let most = spec.max_per_worker.unwrap_or(u32::MAX);
            let slots = demand.times_in(&view.record.capacity).min(most);
            if spec.gang { slots as usize } else { 1 }
        };
        let reserved = self.draining_for.iter().filter(|(_, owner)| **owner == key);
        let reserved = reserved.filter_map(|(number, _)| self.workers.get(number));
        let mut slots: usize = reserved.map(slots_if_empty).sum();
        let mut by_preference: Vec<(bool, u32, WorkerNumber)> = candidates
            .iter()
            .filter_map(|candidate| {
                let view = self.workers.get(&candidate.worker)?;
                let capacity = view.record.capacity.cpu_millicores;
                // A worker that a gang keeps for itself counts as full.
                let used_millicores = capacity.saturating_sub(candidate.free.cpu_millicores);
                let can_drain = !view.has_long_running() && !view.is_isolated(io.now_ms);
                let is_new = is_new(view, io.now_ms);
                can_drain.then_some((is_new, used_millicores, candidate.worker))
            })
            .collect();
        by_preference.sort_unstable();
        for (_, _, worker) in by_preference {
            if slots >= tasks || !self.may_drain(key, spec) {
                return;
            }
            if !self.draining_for.contains_key(&worker)
                && let Some(view) = self.workers.get(&worker)
            {
                slots += slots_if_empty(view);
                io.log(
                    "worker_kept_free",
                    vec![
                        ("worker", view.record.id.clone()),
                        ("suspects_of", key.to_string()),
                        ("runs", view.runs.len().to_string()),
                    ],
                );
                self.draining_for.insert(worker, key);
            }
        }
    }
}

fn is_new(view: &WorkerView, now_ms: Millis) -> bool {
    now_ms.saturating_sub(view.joined_ms).0 < NEW_WORKER_MS
}

/// Returns whether a worker has a run of a task with a crash that can be given up. A crash of a suspect
/// beside it would count against it, too.
fn has_blamed(state: &CellState, view: &WorkerView) -> bool {
    view.runs.keys().any(|run| {
        let step = run.task.step;
        let spec = state.job(step.job).and_then(|job| job.step_spec(step));
        let has_limit = spec.is_none_or(|spec| !spec.long_running);
        has_limit && state.crash_count(run.task).crashes > 0
    })
}
