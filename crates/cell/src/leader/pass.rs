//! The scheduling pass: serves waiting steps in order of urgency and places their tasks on workers
//! with free capacity that the policy service allows.

use std::{cmp::Reverse, collections::BinaryHeap};

use acaciareel_types::{Millis, SortedVec};

use super::{
    Leader, Phase, RunView,
    advice_requests::MAX_WORKERS_PER_REQUEST,
    isolation::{GroupCandidates, TaskGroup},
    restarts::CapacityScope,
    waits::WaitReason,
    worker::WorkerView,
};
use crate::{
    CellState, Command, Demand, Job, QueueRow, RunKey, SpeedPreference, StepKey, StepSpec,
    WorkerNumber,
    domains::domain_places,
    io::Io,
    placement::{Candidate, place_gang, place_separately},
    tenants::{Class, Timeliness},
};

/// A request that renews tickets names the chosen workers, half as many again, and this many more,
/// in case some of the chosen workers fill up meanwhile.
const SPARE_WORKERS_PER_REQUEST: usize = 2;
/// Time since the last contact after which a worker gets no new runs: two announcements and the
/// time of a call.
const UNRESPONSIVE_MS: u64 = 4_000;
/// Consecutive calls without a reply after which a worker gets no new runs.
const MISSED_CALLS_LIMIT: u32 = 2;
/// Most late gangs that may reserve capacity at the same time; a late job has a fifth of its value.
const MAX_LATE_RESERVING_GANGS: usize = 1;
/// A step is not given the capacity reserved for gangs if it can wait for more than this share of
/// its objective, in thousandths, and still finish in time. In a burst, small tasks with large
/// slack otherwise fill every gap, and no worker is ever free enough for a gang.
const LARGE_SLACK_PERMILLE: u64 = 300;
/// A job that is older than this many times its objective has no value any more (rule of the
/// users).
const WORTHLESS_FACTOR: u64 = 3;

/// Most work of one pass; the work for a step is [`WORK_PER_STEP`] and 1 for each candidate. Leases
/// and replies wait for the end of a pass, about 3 ms on a full core and 8 ms on four tenths of one.
/// The next pass goes on with the steps that are left.
const MAX_WORK_PER_PASS: u64 = 8_000;
/// Work to examine a step without candidates.
const WORK_PER_STEP: u64 = 10;
/// Part of the work that goes to the most urgent steps in each pass, in thousandths; the rest goes to
/// the steps that the previous pass left.
const URGENT_WORK_PERMILLE: u64 = 500;

/// Returns the part of a task's demand that counts against the capacity of its worker.
pub(super) fn counted_demand(spec: &StepSpec) -> Demand {
    let cpu_millicores = if spec.uses_spare_cpu {
        0
    } else {
        spec.demand.cpu_millicores
    };
    Demand {
        cpu_millicores,
        ..spec.demand
    }
}

/// Free capacity of one worker during a scheduling pass.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FreeCapacity {
    /// Capacity that is not in use.
    pub free: Demand,
    /// Part of `free` that is not reserved for a gang.
    unreserved: Demand,
}

impl FreeCapacity {
    /// Takes the capacity of one task.
    pub(super) fn take(&mut self, demand: &Demand) {
        self.free = self.free.minus(demand, 1);
        self.unreserved = self.unreserved.minus(demand, 1);
    }
}

/// Remaining free capacity of the usable workers during a scheduling pass.
pub(super) type FreeCapacityByWorker = SortedVec<WorkerNumber, FreeCapacity>;

impl WorkerView {
    /// Returns whether the worker is responsive and neither draining nor departing.
    pub(super) fn accepts_work(&self, now_ms: Millis) -> bool {
        let since_contact_ms = now_ms.saturating_sub(self.last_contact_ms).0;
        !self.record.draining && !self.is_departing() && since_contact_ms < UNRESPONSIVE_MS
    }

    fn is_usable(&self, now_ms: Millis) -> bool {
        self.accepts_work(now_ms)
            && self.capacity_is_known(now_ms)
            && self.runs_reported
            && self.clock.is_some()
            && self.missed_calls < MISSED_CALLS_LIMIT
            && !self.fence_due
            && self.fencing_call.is_none()
            && !self.has_unexpected_runs()
    }

    /// Returns whether the worker can run tasks of a step, regardless of its free capacity and of
    /// advice.
    pub(super) fn suits(&self, spec: &StepSpec, queue: &QueueRow) -> bool {
        let label = spec.required_label.as_deref();
        self.record.service == queue.service
            && label.is_none_or(|label| self.has_label(label))
            && counted_demand(spec).times_in(&self.record.capacity) > 0
    }

    fn has_label(&self, label: &str) -> bool {
        self.record.labels.iter().any(|own| own == label)
    }
}

/// What gangs have reserved so far in a pass.
#[derive(Clone, Copy, Debug, Default)]
struct Reserving {
    /// Late gangs with reservations.
    late_gangs: usize,
    /// Workers that gangs keep for themselves.
    kept_workers: usize,
}

/// Sort key of waiting steps: on-time work by priority and age, then late work, then work that is
/// too late to have a value.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Urgency {
    timeliness: Timeliness,
    priority: u32,
    due_unix_ms: u64,
    /// Whether the step can wait for more than [`LARGE_SLACK_PERMILLE`] of its objective and still
    /// finish in time.
    has_large_slack: bool,
}

/// Sort key of waiting steps in a pass: class, then priority and age.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Rank {
    class: Class,
    priority: u32,
    due_unix_ms: u64,
    has_large_slack: bool,
}

/// Position of a waiting step in the order of a pass.
pub(super) type Position = (Rank, StepKey);

/// Decides which waiting steps a pass examines, in their order: the most urgent ones, and then those
/// after the last step of the previous pass, until the work is used up. The load that it answers is a
/// backlog of more steps than the leader can examine at once.
#[derive(Debug)]
struct WorkLimit {
    used: u64,
    resume_after: Option<Position>,
}

impl WorkLimit {
    fn new(resume_after: Option<Position>) -> Self {
        Self {
            used: 0,
            resume_after,
        }
    }

    fn is_used_up(&self) -> bool {
        self.used >= MAX_WORK_PER_PASS
    }

    /// Returns whether the pass leaves out a step, because the part of the work for urgent steps is
    /// used up and the previous pass has examined it.
    fn skips(&self, position: &Position) -> bool {
        let urgent_work = MAX_WORK_PER_PASS / 1_000 * URGENT_WORK_PERMILLE;
        self.used >= urgent_work
            && self
                .resume_after
                .is_some_and(|last_examined| *position <= last_examined)
    }

    fn add(&mut self, candidates: usize) {
        self.used += WORK_PER_STEP + candidates as u64;
    }
}

impl Rank {
    fn new(class: Class, urgency: &Urgency) -> Self {
        Self {
            class,
            priority: urgency.priority,
            due_unix_ms: urgency.due_unix_ms,
            has_large_slack: urgency.has_large_slack,
        }
    }
}

/// Returns the workers that a request for tickets names: those that lack a valid one, then those whose
/// tickets are renewed, and spare ones. One call cannot name all workers of the widest gangs; the next
/// one then names the rest.
fn workers_to_request(
    demand: &Demand,
    missing: Vec<WorkerNumber>,
    renewed: Vec<WorkerNumber>,
    candidates: &[Candidate],
) -> Vec<WorkerNumber> {
    let mut requested = missing;
    requested.sort_unstable();
    requested.extend(renewed);
    requested.dedup();
    requested.truncate(MAX_WORKERS_PER_REQUEST);
    requested.sort_unstable();
    let wanted = (requested.len() + SPARE_WORKERS_PER_REQUEST + requested.len() / 2)
        .min(MAX_WORKERS_PER_REQUEST);
    for candidate in candidates {
        if requested.len() < wanted && candidate.slots(demand) > 0 {
            requested.push(candidate.worker);
            requested.sort_unstable();
            requested.dedup();
        }
    }
    requested
}

impl Leader {
    /// Runs one scheduling pass over the waiting steps that have tasks without a proposed
    /// placement.
    pub(super) fn run_pass(&mut self, state: &CellState, io: &mut Io<'_>) {
        self.refresh_speeds(io);
        self.update_forecasts(state, io.now_ms);
        self.refresh_tenants(state);
        self.update_first_reports(io.now_ms);
        self.update_probation(io);
        let mut order: BinaryHeap<Reverse<(Rank, StepKey, Urgency)>> = self
            .steps
            .iter()
            .filter(|(_, step)| step.waiting.len() > step.proposed.len())
            .filter_map(|(key, _)| {
                let job = state.job(key.job)?;
                let urgency = self.urgency(job, *key, io);
                let class = self.class_of(state, job, urgency.timeliness);
                Some(Reverse((Rank::new(class, &urgency), *key, urgency)))
            })
            .collect();
        let mut limit = WorkLimit::new(self.pass_cursor.take());
        let mut free_capacity = self.free_capacity(io.now_ms);
        self.release_drained(state, &free_capacity, io.now_ms);
        let mut reserving = Reserving::default();
        self.waits.held_millicores = 0;
        let mut last_examined = None;
        let reserved = std::mem::take(&mut self.reserved_for_gangs);
        self.previously_reserved = reserved;
        while let Some(Reverse((rank, key, urgency))) = order.pop() {
            let job = state.job(key.job);
            let Some((job, spec)) = job.and_then(|job| Some((job, job.step_spec(key)?))) else {
                self.steps.remove(&key);
                continue;
            };
            // Usage only grows during a pass, so a class only gets worse.
            let class = self.class_of(state, job, urgency.timeliness);
            if class != rank.class {
                order.push(Reverse((Rank::new(class, &urgency), key, urgency)));
                continue;
            }
            if limit.skips(&(rank, key)) {
                self.withhold_again((key, spec), &mut free_capacity, &mut reserving.kept_workers);
                continue;
            }
            if limit.is_used_up() {
                self.pass_cursor = last_examined;
                break;
            }
            last_examined = Some((rank, key));
            self.steps_examined += 1;
            let times = (class, urgency.timeliness);
            let most = self.tasks_until_class_changes(state, job, spec, times);
            let proposed_before = self.proposed_tasks(key);
            let kept_before = self.release_withheld(key);
            for mut group in self.task_groups(state, key, spec, io.now_ms) {
                let proposed = self.proposed_tasks(key) - proposed_before;
                group.tasks.truncate(most - proposed.min(most));
                self.keep_to_cap((state, job, spec), urgency.timeliness, &mut group.tasks);
                if group.tasks.is_empty() {
                    continue;
                }
                let candidate_count = self.place_group(
                    (state, job, spec),
                    (key, urgency, group),
                    &kept_before,
                    &mut free_capacity,
                    &mut reserving,
                    io,
                );
                limit.add(candidate_count);
            }
            let proposed = self.proposed_tasks(key) - proposed_before;
            let waits = self.steps.get(&key);
            let waits = waits.is_some_and(|step| step.waiting.len() > step.proposed.len());
            if proposed == most && waits {
                // The tenant has reached its entitlement; the class of the rest has changed.
                order.push(Reverse((rank, key, urgency)));
            }
        }
    }

    /// Returns the free capacity of all usable workers.
    pub(super) fn free_capacity(&self, now_ms: Millis) -> FreeCapacityByWorker {
        let available = |view: &WorkerView| FreeCapacity {
            free: view.free,
            unreserved: view.free,
        };
        self.usable_workers(now_ms)
            .filter(|(_, view)| !view.is_isolated(now_ms))
            .map(|(number, view)| (*number, available(view)))
            .collect()
    }

    fn usable_workers(&self, now_ms: Millis) -> impl Iterator<Item = (&WorkerNumber, &WorkerView)> {
        self.workers
            .iter()
            .filter(move |(_, view)| view.is_usable(now_ms) && !self.is_behind_silence(view))
            .filter(|(_, view)| !self.verifications.concern(&view.record))
    }

    /// Returns the given free capacity, and workers with a suspect on trial as if they had none.
    fn free_capacity_with_trials(
        &self,
        free_capacity: &FreeCapacityByWorker,
        now_ms: Millis,
    ) -> FreeCapacityByWorker {
        let available = |number: &WorkerNumber| free_capacity.get(number).copied();
        self.usable_workers(now_ms)
            .map(|(number, _)| (*number, available(number).unwrap_or_default()))
            .collect()
    }

    /// Returns the processor shares that are free on the selected workers that accept work, and that
    /// they have.
    pub(super) fn millicores_of(
        &self,
        is_selected: impl Fn(&WorkerView) -> bool,
        now_ms: Millis,
    ) -> (u64, u64) {
        let (mut free, mut capacity) = (0, 0);
        for view in self.workers.values() {
            if is_selected(view) && view.accepts_work(now_ms) {
                free += u64::from(view.free.cpu_millicores);
                capacity += u64::from(view.record.capacity.cpu_millicores);
            }
        }
        (free, capacity)
    }

    /// Returns whether a waiting step can still finish within the objective of its job, or is to
    /// run for as long as the job exists.
    pub(super) fn timeliness(&self, job: &Job, key: StepKey, io: &Io<'_>) -> Timeliness {
        self.urgency(job, key, io).timeliness
    }

    fn urgency(&self, job: &Job, key: StepKey, io: &Io<'_>) -> Urgency {
        let forecast = self.forecast(job, key, io.now_ms);
        let objective_ms = job.queue.objective_ms(forecast.job_ms);
        let due_ms = job.due_unix_ms(key.occurrence);
        let age_ms = io.unix_ms.saturating_sub(due_ms);
        let finish_ms = age_ms.saturating_add(forecast.left_ms);
        let long_running = job.step_spec(key).is_some_and(|spec| spec.long_running);
        let timeliness = if finish_ms <= objective_ms || long_running {
            Timeliness::OnTime
        } else if age_ms <= objective_ms.saturating_mul(WORTHLESS_FACTOR) {
            Timeliness::Late
        } else {
            Timeliness::Worthless
        };
        let laxity_ms = objective_ms.saturating_sub(finish_ms);
        Urgency {
            timeliness,
            priority: job.queue.priority,
            due_unix_ms: due_ms,
            has_large_slack: laxity_ms > objective_ms / 1_000 * LARGE_SLACK_PERMILLE,
        }
    }

    /// Tries to place tasks of one step, and requests advice where workers or tickets are missing.
    /// `kept_before` are the workers that the step kept until now. Returns the number of candidates.
    fn place_group(
        &mut self,
        (state, job, spec): (&CellState, &Job, &StepSpec),
        (key, urgency, group): (StepKey, Urgency, TaskGroup),
        kept_before: &[WorkerNumber],
        free_capacity: &mut FreeCapacityByWorker,
        reserving: &mut Reserving,
        io: &mut Io<'_>,
    ) -> usize {
        let queue = &job.queue;
        let tasks = u32::try_from(group.tasks.len()).unwrap_or(u32::MAX);
        let demand = counted_demand(spec);
        let preference = self.speed_preference(job, key, io);
        let step = (key, spec, urgency);
        let GroupCandidates {
            candidates,
            alone_until_ms,
        } = self.group_candidates((state, job), step, &group, free_capacity, io);
        let free_tasks = group.tasks;
        let candidate_count = candidates.len();
        let chosen = if spec.gang {
            place_gang(&demand, tasks, &candidates, spec.rack_local, preference)
        } else {
            Some(place_separately(
                &demand,
                tasks,
                candidates.clone(),
                preference,
            ))
        };
        let placed = chosen.as_ref().map_or(0, Vec::len);
        if placed < free_tasks.len() {
            let advice = self.advice.get(&key);
            let is_answered = advice.is_some_and(|advice| !advice.requested.is_empty());
            let reason = if queue.advice.is_some() && !is_answered {
                WaitReason::Advice
            } else if alone_until_ms.is_some() {
                WaitReason::Isolation
            } else {
                WaitReason::Room
            };
            self.note_wait(key, reason, (&demand, &candidates), io.now_ms);
            self.widen_advice((spec, key, queue), free_capacity, preference, io);
        }
        let Some(chosen) = chosen else {
            if alone_until_ms.is_some() {
                return candidate_count;
            }
            let step = (key, spec, urgency, tasks);
            let workers = (candidates.as_slice(), kept_before);
            self.reserve_for_gang(job, step, workers, free_capacity, reserving, io.now_ms);
            return candidate_count;
        };
        for worker in &chosen {
            if let Some(available) = free_capacity.get_mut(worker) {
                available.take(&demand);
                if alone_until_ms.is_some() {
                    *available = FreeCapacity::default();
                }
            }
        }
        if spec.gang {
            self.mark_reserved(chosen.iter().copied());
        }
        if queue.advice.is_none() {
            self.propose(job, (key, alone_until_ms), &free_tasks, &chosen, io);
            return candidate_count;
        }
        let Some(advice) = self.advice.get(&key) else {
            // No VM had capacity for the first advice request yet.
            return candidate_count;
        };
        let valid = |worker: &WorkerNumber| advice.ticket(*worker, io.now_ms).is_some();
        let (ready, missing): (Vec<WorkerNumber>, Vec<WorkerNumber>) =
            chosen.iter().copied().partition(valid);
        if missing.is_empty() {
            self.propose(job, (key, alone_until_ms), &free_tasks, &chosen, io);
            return candidate_count;
        }
        if !spec.gang {
            self.propose(job, (key, alone_until_ms), &free_tasks, &ready, io);
        }
        self.note_wait(key, WaitReason::Tickets, (&demand, &candidates), io.now_ms);
        let set_aside = if spec.gang { &chosen } else { &missing };
        self.waits.held_millicores += u64::from(demand.cpu_millicores) * set_aside.len() as u64;
        self.count_reserved(job, spec, set_aside.len());
        let renewed = if spec.gang { ready } else { Vec::new() };
        let requested = workers_to_request(&demand, missing, renewed, &candidates);
        if spec.gang
            && let Some(step) = self.steps.get_mut(&key)
        {
            step.withheld.chosen = chosen;
        }
        self.request_advice(key, queue, &requested, spec.gang, io);
        candidate_count
    }

    /// Returns where the tasks of a group may be placed.
    fn group_candidates(
        &mut self,
        (state, job): (&CellState, &Job),
        (key, spec, urgency): (StepKey, &StepSpec, Urgency),
        group: &TaskGroup,
        free_capacity: &FreeCapacityByWorker,
        io: &mut Io<'_>,
    ) -> GroupCandidates {
        let with_trials;
        let available = if group.scope == CapacityScope::Doubtful {
            with_trials = self.free_capacity_with_trials(free_capacity, io.now_ms);
            &with_trials
        } else {
            free_capacity
        };
        let mut candidates =
            self.candidates(job, spec, (key, urgency), (available, group), io.now_ms);
        self.open_held_capacity(state, (key, spec), group, &mut candidates);
        if let Some(suspects) = group.suspects {
            return self.suspect_candidates(
                (state, job),
                (key, spec),
                (&group.tasks, suspects),
                candidates,
                io,
            );
        }
        GroupCandidates {
            candidates,
            alone_until_ms: None,
        }
    }

    /// Reserves capacity for a gang that lacks room.
    fn reserve_for_gang(
        &mut self,
        job: &Job,
        (key, spec, urgency, tasks): (StepKey, &StepSpec, Urgency, u32),
        (candidates, kept_before): (&[Candidate], &[WorkerNumber]),
        free_capacity: &mut FreeCapacityByWorker,
        reserving: &mut Reserving,
        now_ms: Millis,
    ) {
        if !self.may_hold_room(job, (spec, tasks), free_capacity, now_ms) {
            return;
        }
        // A gang with large slack can still wait for others to end.
        if !urgency.has_large_slack {
            self.keep_workers(
                (key, spec, tasks),
                (candidates, kept_before),
                free_capacity,
                &mut reserving.kept_workers,
                now_ms,
            );
        }
        let on_time = urgency.timeliness == Timeliness::OnTime;
        if on_time || reserving.late_gangs < MAX_LATE_RESERVING_GANGS {
            reserving.late_gangs += usize::from(!on_time);
            let demand = counted_demand(spec);
            self.reserve(&demand, tasks, candidates, free_capacity);
            self.count_reserved(job, spec, tasks as usize);
        }
    }

    /// Requests advice about further workers for a step that found too few, if it may.
    fn widen_advice(
        &mut self,
        (spec, key, queue): (&StepSpec, StepKey, &QueueRow),
        free_capacity: &FreeCapacityByWorker,
        preference: SpeedPreference,
        io: &mut Io<'_>,
    ) {
        let Some(cost) = &queue.advice else {
            return;
        };
        if !self.may_request_advice(key, cost, io.now_ms) {
            return;
        }
        let unrequested = self.unrequested_workers(spec, key, queue, free_capacity, preference);
        if unrequested.is_empty() {
            self.pause_widening(key, io.now_ms);
        }
        self.request_advice(key, queue, &unrequested, spec.gang, io);
    }

    /// Returns the workers that may run tasks of the step: the usable workers, or, if the queue has
    /// a policy service, those among them that the service allows.
    fn candidates(
        &self,
        job: &Job,
        spec: &StepSpec,
        (key, urgency): (StepKey, Urgency),
        (free_capacity, group): (&FreeCapacityByWorker, &TaskGroup),
        now_ms: Millis,
    ) -> Vec<Candidate> {
        let suspects_of = group.suspects.map(|_| key);
        let keeps_off_drained = group.scope == CapacityScope::Unheld;
        let keeps_off_doubtful = group.scope < CapacityScope::Doubtful;
        let tasks = job.step(key).into_iter().flat_map(|step| &step.tasks);
        let failed_on: Vec<WorkerNumber> = tasks.filter_map(|task| task.failed_on).collect();
        let pausing = self.failed_steps.pausing_workers(key, now_ms);
        let advice = self.advice.get(&key);
        // Long-running tasks are spread: some of them must be at work at any time.
        let domain_places = if spec.long_running {
            Vec::new()
        } else {
            domain_places(key.job, &self.domains)
        };
        // A gang prefers workers with valid tickets: if it chose others each time its tickets
        // arrive, it would never start.
        let candidate = |number: WorkerNumber, available: &FreeCapacity| {
            let view = self.workers.get(&number)?;
            if !view.suits(spec, &job.queue)
                || keeps_off_drained && self.drains_for_others(number, suspects_of)
                || keeps_off_doubtful && self.speeds.is_closed(number)
                || pausing.contains(&number)
            {
                return None;
            }
            let mut max_tasks = spec.max_per_worker.map_or(u32::MAX, |max| {
                let here = view.runs.keys().filter(|run| run.task.step == key).count();
                max.saturating_sub(u32::try_from(here).unwrap_or(u32::MAX))
            });
            if keeps_off_doubtful && self.on_probation.binary_search(&number).is_ok() {
                max_tasks = max_tasks.min(u32::from(view.may_take_trial(now_ms)));
            }
            let rack = spec.preferred_rack.as_deref();
            let previously_reserved =
                !spec.gang && self.previously_reserved.binary_search(&number).is_ok();
            let lacks_ticket =
                spec.gang && advice.is_some_and(|advice| advice.ticket(number, now_ms).is_none());
            Some(Candidate {
                worker: number,
                free: if urgency.has_large_slack && !spec.gang {
                    available.unreserved
                } else {
                    available.free
                },
                max_tasks,
                on_preferred_rack: rack.is_none_or(|rack| view.has_label(rack)),
                rack: view.rack,
                domain_place: domain_places
                    .get(view.domain as usize)
                    .copied()
                    .unwrap_or(0),
                risk: u32::from(failed_on.contains(&number))
                    + u32::from(previously_reserved)
                    + u32::from(lacks_ticket)
                    + view.health.failing_permille / 300,
                speed: self.speeds.class(number),
            })
        };
        if job.queue.advice.is_none() {
            return free_capacity
                .iter()
                .filter_map(|(n, available)| candidate(*n, available))
                .collect();
        }
        let Some(advice) = advice else {
            return Vec::new();
        };
        let allowed = advice.allowed.keys();
        let allowed = allowed.filter_map(|number| Some((*number, free_capacity.get(number)?)));
        allowed
            .filter_map(|(n, available)| candidate(n, available))
            .collect()
    }

    /// Reserves capacity for a gang: the slots that already fit on its workers, and the workers
    /// that lack the least capacity for one more task.
    fn reserve(
        &mut self,
        demand: &Demand,
        tasks: u32,
        candidates: &[Candidate],
        free_capacity: &mut FreeCapacityByWorker,
    ) {
        let mut left = tasks;
        for candidate in candidates {
            let slots = candidate.slots(demand).min(left);
            left -= slots;
            if let Some(available) = free_capacity.get_mut(&candidate.worker) {
                available.unreserved = available.unreserved.minus(demand, slots);
            }
            if slots > 0 {
                self.mark_reserved([candidate.worker]);
            }
        }
        let mut next: Vec<(u32, WorkerNumber)> = candidates
            .iter()
            .filter(|candidate| candidate.max_tasks > candidate.slots(demand))
            .filter_map(|candidate| {
                let view = self.workers.get(&candidate.worker)?;
                let wanted = candidate.slots(demand) + 1;
                let fits = demand.times_in(&view.most_free) >= wanted;
                let wanted_millicores = demand.cpu_millicores.saturating_mul(wanted);
                let lack = wanted_millicores.saturating_sub(candidate.free.cpu_millicores);
                fits.then_some((lack, candidate.worker))
            })
            .collect();
        next.sort_unstable();
        for (_, worker) in next.into_iter().take(left as usize) {
            if let Some(available) = free_capacity.get_mut(&worker) {
                available.unreserved = Demand::default();
            }
            self.mark_reserved([worker]);
        }
    }

    /// Marks workers that other tasks avoid in the next pass. The small gaps on a worker that
    /// drains for a gang fit short tasks best, which would prevent it from ever becoming free.
    pub(super) fn mark_reserved(&mut self, workers: impl IntoIterator<Item = WorkerNumber>) {
        for worker in workers {
            if let Err(at) = self.reserved_for_gangs.binary_search(&worker) {
                self.reserved_for_gangs.insert(at, worker);
            }
        }
    }

    /// Proposes runs for commit, one task for each entry of `chosen`.
    fn propose(
        &mut self,
        job: &Job,
        (key, alone_until_ms): (StepKey, Option<Millis>),
        tasks: &[u32],
        chosen: &[WorkerNumber],
        io: &mut Io<'_>,
    ) {
        let (Some(spec), Some(progress)) = (job.step_spec(key), job.step(key)) else {
            return;
        };
        let demand = counted_demand(spec);
        let gang_run = progress.next_gang_run();
        let mut placements: SortedVec<WorkerNumber, Vec<RunKey>> = SortedVec::new();
        for (index, worker) in tasks.iter().zip(chosen) {
            let Some(task) = progress.tasks.get(*index as usize) else {
                continue;
            };
            let run = RunKey {
                task: crate::TaskKey {
                    step: key,
                    index: *index,
                },
                run: if spec.gang { gang_run } else { task.run + 1 },
            };
            let ticket = self.advice.get(&key).and_then(|a| a.allowed.get(worker));
            let ticket = ticket.map(|ticket| ticket.text.clone());
            let mut view = RunView::new(demand, Phase::Proposed, ticket, io.now_ms);
            view.alone_until_ms = alone_until_ms;
            view.charge = self.tenants.charge(job, Some(spec));
            view.long_running = spec.long_running;
            if let Some(worker) = self.workers.get_mut(worker) {
                worker.add_run(run, view);
            }
            if let Some(step) = self.steps.get_mut(&key) {
                let (Ok(at) | Err(at)) = step.proposed.binary_search(index);
                step.proposed.insert(at, *index);
                if alone_until_ms.is_some() {
                    step.suspects_since_ms = None;
                }
            }
            placements.get_or_insert_with(*worker, Vec::new).push(run);
        }
        for (worker, runs) in placements {
            if job.tenant.is_some() {
                self.recount_worker(worker);
            }
            let Some(view) = self.workers.get(&worker) else {
                continue;
            };
            let (id, worker) = (view.record.id.clone(), view.incarnation());
            let waited_ms = io.unix_ms.saturating_sub(job.due_unix_ms(key.occurrence));
            io.log(
                "runs_placed",
                vec![
                    ("step", key.to_string()),
                    ("queue", job.queue.name.clone()),
                    ("runs", runs.len().to_string()),
                    ("worker", id),
                    ("waited_ms", waited_ms.to_string()),
                ],
            );
            io.commands.push(Command::Place { runs, worker });
        }
    }
}

#[cfg(test)]
mod tests;
