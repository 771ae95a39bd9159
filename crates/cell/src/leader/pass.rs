//! The placement pass: waiting steps in order of urgency, workers with room and permission.

use acaciareel_types::{Millis, SortedVec};

use super::{Leader, Phase, RunView, questions::MAX_ASKED, worker::WorkerView};
use crate::{
    CellState, Command, Demand, Job, QueueRow, RunKey, StepKey, StepSpec, WorkerNumber,
    io::Io,
    placement::{Candidate, place_gang, place_separately},
};

/// Workers named beyond those chosen, and half as many again, when tickets are renewed, in case
/// some fill up meanwhile.
const SPARE_ASKED: usize = 2;
/// Silence after which a worker gets nothing new: two announcements and the time of a call.
const SILENT_MS: u64 = 4_000;
/// Calls without a reply in a row after which a worker gets nothing new.
const MISSED_CALLS: u32 = 2;
/// Late gangs that may keep room for themselves at the same time; they are worth a fifth.
const MAX_LATE_RESERVING_GANGS: usize = 1;
/// A step that can wait this share of its objective, in thousandths, and still be done in time
/// leaves the room to gangs that wait. In a burst, small tasks with much time otherwise fill every
/// gap, and no worker is ever free enough for a gang.
const PATIENT_PERMILLE: u64 = 300;
/// A job later than this many times its objective is worth nothing any more (rule of the users).
const WORTHLESS_FACTOR: u64 = 3;

/// Returns what a task takes from its worker's capacity.
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

/// Room on one worker while a pass goes through the steps.
#[derive(Clone, Copy, Debug)]
pub(super) struct Gap {
    /// What is free.
    pub free: Demand,
    /// What is free and not kept for a gang.
    open: Demand,
}

/// Room that is left while a pass goes through the steps.
pub(super) type Room = SortedVec<WorkerNumber, Gap>;

impl WorkerView {
    /// Returns whether the worker can be expected to take new work soon.
    pub(super) fn may_serve(&self, now_ms: Millis) -> bool {
        let silent_ms = now_ms.saturating_sub(self.heard_ms).0;
        !self.record.draining && self.deregistered_ms.is_none() && silent_ms < SILENT_MS
    }

    fn is_usable(&self, now_ms: Millis) -> bool {
        self.may_serve(now_ms)
            && self.listed
            && self.clock.is_some()
            && self.missed_calls < MISSED_CALLS
            && !self.fence_due
            && self.fencing.is_none()
            && !self.has_foreign()
    }

    /// Returns whether the worker can run tasks of a step, apart from room and advice.
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

/// Order in which waiting steps are served: on-time work by priority and age, then late work, then
/// work that is too late to be worth anything.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Urgency {
    standing: Standing,
    priority: u32,
    due_unix_ms: u64,
    /// Whether the step can wait for long and still be done in time.
    patient: bool,
}

/// Whether a job can still meet its objective.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Standing {
    OnTime,
    Late,
    Worthless,
}

impl Leader {
    pub(super) fn pass(&mut self, state: &CellState, io: &mut Io<'_>) {
        let mut order: Vec<(Urgency, StepKey)> = self
            .steps
            .iter()
            .filter(|(_, step)| step.waiting.len() > step.proposed.len())
            .filter_map(|(key, _)| Some((self.urgency(state.job(key.job)?, *key, io), *key)))
            .collect();
        order.sort_unstable();
        self.steps_looked_at += order.len() as u64;
        let mut room = self.room(io.now_ms);
        let mut reserving = 0;
        let kept = std::mem::take(&mut self.kept_for_gangs);
        self.avoided = kept;
        for (urgency, key) in order {
            if self
                .place_step(state, (key, urgency), &mut room, &mut reserving, io)
                .is_none()
            {
                self.steps.remove(&key);
            }
        }
    }

    /// Returns the room on all usable workers.
    pub(super) fn room(&self, now_ms: Millis) -> Room {
        let usable = self
            .workers
            .iter()
            .filter(|(_, view)| view.is_usable(now_ms));
        let gap = |view: &WorkerView| Gap {
            free: view.free,
            open: view.free,
        };
        usable.map(|(number, view)| (*number, gap(view))).collect()
    }

    /// Returns whether a waiting step can still be done within the objective of its job.
    pub(super) fn is_on_time(&self, job: &Job, key: StepKey, io: &Io<'_>) -> bool {
        self.urgency(job, key, io).standing == Standing::OnTime
    }

    fn urgency(&self, job: &Job, key: StepKey, io: &Io<'_>) -> Urgency {
        let chain_ms = self.run_times.chain_ms(&job.queue, job.spec.steps.len());
        let objective_ms = chain_ms * job.queue.slack_permille / 1_000 + job.queue.target_ms;
        let due_ms = job.due_unix_ms(key.occurrence);
        let age_ms = io.unix_ms.saturating_sub(due_ms);
        let left = job.spec.steps.len().saturating_sub(key.step as usize);
        let finish_ms = age_ms + self.run_times.chain_ms(&job.queue, left);
        let standing = if finish_ms <= objective_ms {
            Standing::OnTime
        } else if age_ms <= objective_ms * WORTHLESS_FACTOR {
            Standing::Late
        } else {
            Standing::Worthless
        };
        let laxity_ms = objective_ms.saturating_sub(finish_ms);
        Urgency {
            standing,
            priority: job.queue.priority,
            due_unix_ms: due_ms,
            patient: laxity_ms > objective_ms * PATIENT_PERMILLE / 1_000,
        }
    }

    /// Tries to place the tasks of one step. Returns `None` if the step is not known any more.
    fn place_step(
        &mut self,
        state: &CellState,
        (key, urgency): (StepKey, Urgency),
        room: &mut Room,
        reserving: &mut usize,
        io: &mut Io<'_>,
    ) -> Option<()> {
        let job = state.job(key.job)?;
        let spec = job.step_spec(key)?;
        let queue = &job.queue;
        let step = self.steps.get(&key)?;
        let free_tasks: Vec<u32> = step
            .waiting
            .iter()
            .filter(|index| step.proposed.binary_search(index).is_err())
            .copied()
            .collect();
        let tasks = u32::try_from(free_tasks.len()).unwrap_or(u32::MAX);
        let demand = counted_demand(spec);
        let candidates = self.candidates(job, spec, (key, urgency), room, io.now_ms);
        let chosen = if spec.gang {
            place_gang(&demand, tasks, &candidates, spec.rack_local)
        } else {
            Some(place_separately(&demand, tasks, candidates.clone()))
        };
        let placed = chosen.as_ref().map_or(0, Vec::len);
        if let Some(cost) = &queue.advice
            && placed < free_tasks.len()
            && self.may_ask(key, cost, io.now_ms)
        {
            let unasked = self.unasked(spec, key, queue, room);
            if unasked.is_empty() {
                self.pause_widening(key, io.now_ms);
            }
            self.ask(key, queue, unasked, spec.gang, io);
        }
        let Some(chosen) = chosen else {
            let on_time = urgency.standing == Standing::OnTime;
            if on_time || *reserving < MAX_LATE_RESERVING_GANGS {
                *reserving += usize::from(!on_time);
                self.reserve(&demand, tasks, &candidates, room);
            }
            return Some(());
        };
        for worker in &chosen {
            if let Some(gap) = room.get_mut(worker) {
                gap.free = gap.free.minus(&demand, 1);
                gap.open = gap.open.minus(&demand, 1);
            }
        }
        if spec.gang {
            self.keep_for_gang(chosen.iter().copied());
        }
        if queue.advice.is_none() {
            self.propose(job, key, &free_tasks, &chosen, io);
            return Some(());
        }
        let Some(advice) = self.advice.get(&key) else {
            // No VM could take the first question yet.
            return Some(());
        };
        let valid = |worker: &WorkerNumber| advice.ticket(*worker, io.now_ms).is_some();
        let missing: Vec<WorkerNumber> = chosen.iter().filter(|w| !valid(w)).copied().collect();
        if missing.is_empty() {
            self.propose(job, key, &free_tasks, &chosen, io);
            return Some(());
        }
        if !spec.gang {
            let ready: Vec<WorkerNumber> = chosen.iter().filter(|w| valid(w)).copied().collect();
            self.propose(job, key, &free_tasks, &ready, io);
        }
        let mut asked = if spec.gang { chosen } else { missing };
        asked.sort_unstable();
        asked.dedup();
        let wanted = (asked.len() + SPARE_ASKED + asked.len() / 2).min(MAX_ASKED);
        for candidate in &candidates {
            if asked.len() < wanted && candidate.slots(&demand) > 0 {
                asked.push(candidate.worker);
                asked.sort_unstable();
                asked.dedup();
            }
        }
        self.ask(key, queue, asked, spec.gang, io);
        Some(())
    }

    /// Returns the workers that may run tasks of the step: the usable ones, and of these the ones
    /// that the policy service allows.
    fn candidates(
        &self,
        job: &Job,
        spec: &StepSpec,
        (key, urgency): (StepKey, Urgency),
        room: &Room,
        now_ms: Millis,
    ) -> Vec<Candidate> {
        let tasks = job.step(key).into_iter().flat_map(|step| &step.tasks);
        let failed_on: Vec<WorkerNumber> = tasks.filter_map(|task| task.failed_on).collect();
        let advice = self.advice.get(&key);
        // A gang that chose other workers each time its tickets arrive would never start.
        let candidate = |number: WorkerNumber, gap: &Gap| {
            let view = self.workers.get(&number)?;
            if !view.suits(spec, &job.queue) {
                return None;
            }
            let mut limit = spec.max_per_worker.map_or(u32::MAX, |most| {
                let here = view.runs.keys().filter(|run| run.task.step == key).count();
                most.saturating_sub(u32::try_from(here).unwrap_or(u32::MAX))
            });
            if view.health.on_probation(now_ms) {
                limit = limit.min(u32::from(view.runs.is_empty()));
            }
            let rack = spec.preferred_rack.as_deref();
            let avoided = !spec.gang && self.avoided.binary_search(&number).is_ok();
            let unticketed =
                spec.gang && advice.is_some_and(|advice| advice.ticket(number, now_ms).is_none());
            Some(Candidate {
                worker: number,
                free: if urgency.patient && !spec.gang {
                    gap.open
                } else {
                    gap.free
                },
                limit,
                on_preferred_rack: rack.is_none_or(|rack| view.has_label(rack)),
                rack: view.rack,
                risk: u32::from(failed_on.contains(&number))
                    + u32::from(avoided)
                    + u32::from(unticketed)
                    + view.health.failing_permille / 300,
            })
        };
        if job.queue.advice.is_none() {
            return room
                .iter()
                .filter_map(|(n, gap)| candidate(*n, gap))
                .collect();
        }
        let Some(advice) = advice else {
            return Vec::new();
        };
        let allowed = advice.allowed.keys();
        let allowed = allowed.filter_map(|number| Some((*number, room.get(number)?)));
        allowed.filter_map(|(n, gap)| candidate(n, gap)).collect()
    }

    /// Keeps room for a gang: what already fits on its workers, and the workers that lack least for
    /// one more task.
    fn reserve(&mut self, demand: &Demand, tasks: u32, candidates: &[Candidate], room: &mut Room) {
        let mut left = tasks;
        for candidate in candidates {
            let slots = candidate.slots(demand).min(left);
            left -= slots;
            if let Some(gap) = room.get_mut(&candidate.worker) {
                gap.open = gap.open.minus(demand, slots);
            }
            if slots > 0 {
                self.keep_for_gang([candidate.worker]);
            }
        }
        let mut next: Vec<(u32, WorkerNumber)> = candidates
            .iter()
            .filter(|candidate| candidate.limit > candidate.slots(demand))
            .filter_map(|candidate| {
                let view = self.workers.get(&candidate.worker)?;
                let wanted = candidate.slots(demand) + 1;
                let holds = demand.times_in(&view.record.capacity) >= wanted;
                let wanted_millicores = demand.cpu_millicores.saturating_mul(wanted);
                let lack = wanted_millicores.saturating_sub(candidate.free.cpu_millicores);
                holds.then_some((lack, candidate.worker))
            })
            .collect();
        next.sort_unstable();
        for (_, worker) in next.into_iter().take(left as usize) {
            if let Some(gap) = room.get_mut(&worker) {
                gap.open = Demand::default();
            }
            self.keep_for_gang([worker]);
        }
    }

    /// Notes workers that other tasks avoid in the next pass: the small gaps on a worker that
    /// drains for a gang fit short tasks best, which would then keep it from ever being free.
    fn keep_for_gang(&mut self, workers: impl IntoIterator<Item = WorkerNumber>) {
        for worker in workers {
            if let Err(at) = self.kept_for_gangs.binary_search(&worker) {
                self.kept_for_gangs.insert(at, worker);
            }
        }
    }

    /// Proposes runs, one task for each worker named.
    fn propose(
        &mut self,
        job: &Job,
        key: StepKey,
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
            let view = RunView::new(demand, Phase::Proposed, ticket, io.now_ms);
            if let Some(worker) = self.workers.get_mut(worker) {
                worker.add_run(run, view);
            }
            if let Some(step) = self.steps.get_mut(&key) {
                let (Ok(at) | Err(at)) = step.proposed.binary_search(index);
                step.proposed.insert(at, *index);
            }
            placements.get_or_insert_with(*worker, Vec::new).push(run);
        }
        for (worker, runs) in placements {
            let id = self.workers.get(&worker).map(|view| view.record.id.clone());
            let waited_ms = io.unix_ms.saturating_sub(job.due_unix_ms(key.occurrence));
            io.log(
                "runs_placed",
                vec![
                    ("step", key.to_string()),
                    ("queue", job.queue.name.clone()),
                    ("runs", runs.len().to_string()),
                    ("worker", id.unwrap_or_default()),
                    ("waited_ms", waited_ms.to_string()),
                ],
            );
            io.commands.push(Command::Place { runs, worker });
        }
    }
}
