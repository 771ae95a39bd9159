//! The placement pass: waiting steps in order of urgency, workers with room and permission.

use acaciareel_types::{Millis, SortedVec};

use super::{
    AdviceCall, Leader, Phase, RunView, StepAdvice,
    advice::{ANSWER_GRACE_MS, RETRY_MS, Ticket},
    worker::WorkerView,
};
use crate::{
    AdviceAnswer, AdviceQuestion, CellState, Command, Demand, Effect, Job, PeerMessage, QueueRow,
    RunKey, StepKey, StepSpec, WorkerNumber,
    io::Io,
    placement::{Candidate, place_gang, place_separately},
};

/// Workers that one call for advice names. A call takes longer for each.
const ASKED: usize = 48;
/// Most workers that one call names (bound of the platform).
const MAX_ASKED: usize = 100;
/// Workers that are asked about for each task of a gang: a third is allowed, and of these few have
/// room for a task.
const ASKED_FOR_GANG_TASK: usize = 5;
/// Pause before a step asks about further workers; room is more likely to come on known ones.
const WIDEN_PAUSE_MS: u64 = 1_500;
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
struct Gap {
    /// What is free.
    free: Demand,
    /// What is free and not kept for a gang.
    open: Demand,
}

/// Room that is left while a pass goes through the steps.
type Room = SortedVec<WorkerNumber, Gap>;

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
    fn suits(&self, spec: &StepSpec, queue: &QueueRow) -> bool {
        let label = spec.required_label.as_deref();
        self.record.service == queue.service
            && label.is_none_or(|label| self.has_label(label))
            && counted_demand(spec).times_in(&self.record.capacity) > 0
    }

    fn has_label(&self, label: &str) -> bool {
        self.record.labels.iter().any(|own| own == label)
    }
}

/// Returns a number that orders workers differently for each step (FNV-1a over both).
fn scatter(key: StepKey, worker: WorkerNumber) -> u64 {
    let bytes = [key.job.0, u64::from(key.step), u64::from(worker.0)];
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, part| {
        (hash ^ part).wrapping_mul(0x0100_0000_01b3)
    })
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
    fn room(&self, now_ms: Millis) -> Room {
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

    fn urgency(&self, job: &Job, key: StepKey, io: &Io<'_>) -> Urgency {
        let chain_ms = self.chain_ms(&job.queue, job.spec.steps.len());
        let objective_ms = chain_ms * job.queue.slack_permille / 1_000 + job.queue.target_ms;
        let due_ms = job.due_unix_ms(key.occurrence);
        let age_ms = io.unix_ms.saturating_sub(due_ms);
        let left = job.spec.steps.len().saturating_sub(key.step as usize);
        let finish_ms = age_ms + self.chain_ms(&job.queue, left);
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
        if let Some(cost) = queue.advice
            && placed < free_tasks.len()
            && self.may_ask(key, io.now_ms)
        {
            let unasked = self.unasked(spec, key, queue, room);
            self.ask(key, queue, cost.valid_ms, unasked, io);
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
        let Some(cost) = queue.advice else {
            self.propose(job, key, &free_tasks, &chosen, io);
            return Some(());
        };
        let advice = self.advice.get(&key)?;
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
        self.ask(key, queue, cost.valid_ms, asked, io);
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

    /// Returns whether a step may ask about workers that it has not asked about.
    fn may_ask(&self, key: StepKey, now_ms: Millis) -> bool {
        self.advice.get(&key).is_none_or(|advice| {
            let first = advice.asked.is_empty();
            advice.call.is_none()
                && now_ms >= advice.not_before_ms
                && (first || now_ms >= advice.widen_ms)
        })
    }

    /// Returns workers that a step has not asked about: those with room before the others, and
    /// among them other ones for each step, so that steps do not all wait for the same workers.
    fn unasked(
        &mut self,
        spec: &StepSpec,
        key: StepKey,
        queue: &QueueRow,
        room: &Room,
    ) -> Vec<WorkerNumber> {
        let demand = counted_demand(spec);
        let asked = self
            .advice
            .get(&key)
            .map_or(&[][..], |advice| &advice.asked);
        let mut unasked: Vec<(bool, u64, WorkerNumber)> = room
            .iter()
            .filter(|(number, _)| asked.binary_search(number).is_err())
            .filter(|(number, _)| {
                self.workers
                    .get(number)
                    .is_some_and(|view| view.suits(spec, queue))
            })
            .map(|(number, gap)| {
                let full = demand.times_in(&gap.free) == 0;
                (full, scatter(key, *number), *number)
            })
            .collect();
        unasked.sort_unstable();
        let most = if spec.gang {
            (spec.tasks as usize * ASKED_FOR_GANG_TASK).clamp(ASKED, MAX_ASKED)
        } else {
            ASKED
        };
        let unasked = unasked.into_iter().map(|(_, _, number)| number);
        unasked.take(most).collect()
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

    // ---- advice ----

    /// Asks about the first steps of a job while its acceptance is being committed.
    pub(super) fn ask_early(
        &mut self,
        id: crate::JobId,
        queue: &QueueRow,
        spec: &crate::JobSpec,
        io: &mut Io<'_>,
    ) {
        let Some(cost) = queue.advice else {
            return;
        };
        if spec.schedule.is_some() {
            return;
        }
        let room = self.room(io.now_ms);
        for (step, spec) in (0..).zip(&spec.steps) {
            if !spec.after.is_empty() {
                continue;
            }
            let key = StepKey {
                job: id,
                occurrence: 0,
                step,
            };
            let workers = self.unasked(spec, key, queue, &room);
            self.ask(key, queue, cost.valid_ms, workers, io);
        }
    }

    /// Asks which of these workers may run a step, unless a question is under way.
    fn ask(
        &mut self,
        key: StepKey,
        queue: &QueueRow,
        valid_ms: u64,
        workers: Vec<WorkerNumber>,
        io: &mut Io<'_>,
    ) {
        let Some(cost) = queue.advice else {
            return;
        };
        let advice = self.advice.get_or_insert_with(key, StepAdvice::default);
        if advice.call.is_some() || io.now_ms < advice.not_before_ms || workers.is_empty() {
            return;
        }
        let Some((vm, expected_ms)) = self.callers.choose(&cost, workers.len(), io.now_ms) else {
            return;
        };
        self.next_call += 1;
        let call = self.next_call;
        let advice = self.advice.get_or_insert_with(key, StepAdvice::default);
        advice.call = Some(call);
        let id_of = |worker: &WorkerNumber| self.workers.get(worker).map(|v| v.record.id.clone());
        let question = AdviceQuestion {
            step: key.to_string(),
            worker_ids: workers.iter().filter_map(id_of).collect(),
        };
        let sent = AdviceCall {
            step: key,
            workers,
            vm,
            sent_ms: io.now_ms,
            expected_ms,
            valid_ms,
        };
        self.questions.insert(call, sent);
        if vm == self.me {
            return io.effect(Effect::Advise {
                call,
                for_vm: vm,
                question,
            });
        }
        let message = PeerMessage::Ask { call, question };
        io.effect(Effect::Send { to: vm, message });
    }

    /// Handles the answer to a question.
    pub fn advised(&mut self, call: u64, answer: AdviceAnswer, io: &mut Io<'_>) {
        let Some(question) = self.questions.remove(&call) else {
            return;
        };
        let calls_left = self.questions.values().any(|other| other.vm == question.vm);
        self.callers.answered(&question, io.now_ms, calls_left);
        let waited_ms = io.now_ms.saturating_sub(question.sent_ms).0;
        io.effect(Effect::Measure {
            name: "advice_ms",
            label: String::new(),
            value_ms: waited_ms,
        });
        self.pass_due = true;
        let Some(advice) = self.advice.get_mut(&question.step) else {
            return;
        };
        if advice.call == Some(call) {
            advice.call = None;
        }
        advice.widen_ms = io.now_ms.saturating_add(Millis(WIDEN_PAUSE_MS));
        let Some(rows) = answer else {
            advice.not_before_ms = io.now_ms.saturating_add(Millis(RETRY_MS));
            io.warn(
                "advice_missing",
                vec![
                    ("step", question.step.to_string()),
                    ("vm", question.vm.to_string()),
                    ("waited_ms", waited_ms.to_string()),
                ],
            );
            return;
        };
        let valid_until_ms = io.now_ms.saturating_add(Millis(question.valid_ms));
        for worker in &question.workers {
            if let Err(at) = advice.asked.binary_search(worker) {
                advice.asked.insert(at, *worker);
            }
            let id = self.workers.get(worker).map(|view| &view.record.id);
            let row = rows.iter().find(|(allowed, _)| Some(allowed) == id);
            if let Some((_, text)) = row {
                let ticket = Ticket {
                    text: text.clone(),
                    valid_until_ms,
                };
                advice.allowed.insert(*worker, ticket);
            }
        }
    }

    /// Gives up questions that were not answered in time.
    pub(super) fn expire_questions(&mut self, io: &mut Io<'_>) {
        let overdue: Vec<u64> = self
            .questions
            .iter()
            .filter(|(_, question)| {
                let give_up_ms = question.expected_ms.saturating_add(Millis(ANSWER_GRACE_MS));
                give_up_ms < io.now_ms
            })
            .map(|(call, _)| *call)
            .collect();
        for call in overdue {
            self.advised(call, None, io);
        }
    }

    /// Notes a VM that can ask for advice.
    pub fn caller_joined(&mut self, vm: acaciareel_types::VmId) {
        self.callers.add(vm);
    }

    /// Forgets a VM that can no longer ask.
    pub fn caller_left(&mut self, vm: acaciareel_types::VmId, io: &mut Io<'_>) {
        self.callers.remove(vm);
        let lost: Vec<u64> = self
            .questions
            .iter()
            .filter(|(_, question)| question.vm == vm)
            .map(|(call, _)| *call)
            .collect();
        for call in lost {
            self.advised(call, None, io);
        }
    }

    /// Adds a run time to the mean of its queue.
    pub(super) fn note_run_time(&mut self, state_queue: &str, took_ms: u64) {
        let weight = super::RUN_TIME_WEIGHT_PERMILLE;
        let mean_ms = self
            .run_times_ms
            .get_or_insert_with(state_queue.to_owned(), || took_ms);
        *mean_ms = (*mean_ms * (1_000 - weight) + took_ms * weight) / 1_000;
    }
}
