//! The leader's part: callers' requests, workers' leases, advice and placement.
//!
//! Everything here is rebuilt from the replicated state when a VM becomes the leader, and dropped
//! when it is no longer.

use acaciareel_types::{Millis, SortedVec, VmId};

use crate::{
    CallerReply, CellState, Change, Command, ControlReply, Effect, Job, JobId, JobState, Origin,
    PeerMessage, RunKey, StepKey, TaskState, WorkerNumber, WorkerRecord, io::Io,
};

mod advice;
mod announcements;
mod callers;
mod looks;
mod orders;
mod pass;
mod questions;
mod relay;
mod renewal;
mod run_times;
mod worker;

use advice::{AdviceCall, Callers, StepAdvice};
use run_times::RunTimes;
use worker::{Phase, RunView, WorkerView};

/// Times that the deployment gives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// Longest lease that workers grant.
    pub lease_ms: u64,
    /// Longest time that a stop takes.
    pub stop_ms: u64,
    /// How long the state of an ended job is kept.
    pub status_retention_ms: u64,
}

/// Pause between two passes over the waiting steps; events in between are handled together.
const PASS_INTERVAL_MS: u64 = 4;
/// Further pause for each waiting step. A look at a step takes some 5 us, so looks take at most an
/// eighth of a core however many steps wait; the leader needs the rest for leases and replies.
const PASS_INTERVAL_US_FOR_EACH_STEP: u64 = 40;
/// Ticks between two looks at the same worker; a tick is 10 ms.
const TICKS_PER_CHECK: u32 = 5;
/// Pause between two looks for jobs to forget.
const FORGET_INTERVAL_MS: u64 = 5_000;
/// Added to the time for which the state of an ended job is kept, for clocks that differ.
const FORGET_MARGIN_MS: u64 = 60_000;

/// A call to a worker under way.
#[derive(Clone, Debug)]
enum Call {
    Start {
        worker: WorkerNumber,
        run: RunKey,
        incarnation_started_ms: u64,
    },
    Stop {
        worker: WorkerNumber,
        run: RunKey,
    },
    Renewal {
        worker: WorkerNumber,
        token: u64,
        incarnation_started_ms: u64,
        acknowledged: u64,
        fence: bool,
    },
}

/// A step with tasks to place.
#[derive(Clone, Debug, Default)]
struct WaitingStep {
    /// Positions of tasks without a run, sorted.
    waiting: Vec<u32>,
    /// Positions among them whose placement is proposed, sorted.
    proposed: Vec<u32>,
}

/// State of the leader of a cell.
#[derive(Debug)]
pub(crate) struct Leader {
    me: VmId,
    term: u64,
    bounds: Bounds,
    workers: SortedVec<WorkerNumber, WorkerView>,
    /// Latest life known at each address.
    addresses: SortedVec<String, WorkerNumber>,
    racks: Vec<Vec<String>>,
    steps: SortedVec<StepKey, WaitingStep>,
    advice: SortedVec<StepKey, StepAdvice>,
    questions: SortedVec<u64, AdviceCall>,
    callers: Callers,
    calls: SortedVec<u64, Call>,
    relays: relay::Relays,
    next_call: u64,
    looks: looks::Looks,
    submits: SortedVec<JobId, Vec<Origin>>,
    cancels: SortedVec<JobId, Vec<Origin>>,
    announcements: Vec<(String, Origin)>,
    tables: Vec<(u64, Origin)>,
    /// Jobs that have not ended, so that each end is told once; sorted.
    active: Vec<JobId>,
    /// Jobs whose occurrences become due later.
    scheduled: Vec<JobId>,
    run_times: RunTimes,
    /// Workers kept free for gangs in this pass, sorted.
    kept_for_gangs: Vec<WorkerNumber>,
    /// Workers kept free for gangs in the pass before, sorted.
    avoided: Vec<WorkerNumber>,
    tick_count: u32,
    pass_due: bool,
    last_pass_ms: Millis,
    /// Waiting steps that passes have looked at so far.
    steps_looked_at: u64,
    /// Times that workers were chosen for a question so far.
    questions_composed: u64,
    last_forget_ms: Millis,
}

impl Leader {
    /// Takes over from the replicated state. Runs that may be under way count as running until
    /// their workers have answered.
    pub fn new(me: VmId, term: u64, bounds: Bounds, state: &CellState, io: &mut Io<'_>) -> Self {
        let mut leader = Self {
            me,
            term,
            bounds,
            workers: SortedVec::new(),
            addresses: SortedVec::new(),
            racks: Vec::new(),
            steps: SortedVec::new(),
            advice: SortedVec::new(),
            questions: SortedVec::new(),
            callers: Callers::default(),
            calls: SortedVec::new(),
            relays: relay::Relays::default(),
            next_call: 0,
            looks: looks::Looks::default(),
            submits: SortedVec::new(),
            cancels: SortedVec::new(),
            announcements: Vec::new(),
            tables: Vec::new(),
            active: Vec::new(),
            scheduled: Vec::new(),
            run_times: RunTimes::default(),
            kept_for_gangs: Vec::new(),
            avoided: Vec::new(),
            tick_count: 0,
            pass_due: true,
            last_pass_ms: Millis(0),
            steps_looked_at: 0,
            questions_composed: 0,
            last_forget_ms: io.now_ms,
        };
        let inherited_ms = worker::longest_lease(bounds.lease_ms);
        for (number, record) in state.workers().iter() {
            let mut view = leader.make_view(*number, record.clone(), io.now_ms);
            view.inherited_until_ms = io.now_ms.saturating_add(inherited_ms);
            leader.note_address(*number, &view.record);
            leader.workers.insert(*number, view);
        }
        for job in state.jobs().values() {
            leader.inherit_runs(job, io.now_ms);
            leader.refresh_job(state, job.id, io);
        }
        io.log(
            "leader_started",
            vec![
                ("term", term.to_string()),
                ("workers", leader.workers.len().to_string()),
                ("jobs", state.jobs().len().to_string()),
                ("queues_version", state.queues().version.to_string()),
            ],
        );
        leader
    }

    fn inherit_runs(&mut self, job: &Job, now_ms: Millis) {
        for (key, task) in job.tasks() {
            let TaskState::Placed(number) = task.state else {
                continue;
            };
            let demand = job.step_spec(key.step).map(pass::counted_demand);
            if let (Some(view), Some(demand)) = (self.workers.get_mut(&number), demand) {
                let phase = Phase::Sent {
                    token: 0,
                    tries: u32::MAX,
                };
                let run = RunKey {
                    task: key,
                    run: task.run,
                };
                let mut inherited = RunView::new(demand, phase, None, now_ms);
                inherited.stopping = matches!(job.state, JobState::Failed | JobState::Cancelled);
                view.add_run(run, inherited);
            }
        }
    }

    fn make_view(
        &mut self,
        number: WorkerNumber,
        record: WorkerRecord,
        now_ms: Millis,
    ) -> WorkerView {
        let known = self
            .racks
            .iter()
            .position(|labels| *labels == record.labels);
        let rack = known.unwrap_or_else(|| {
            self.racks.push(record.labels.clone());
            self.racks.len() - 1
        });
        let rack = u32::try_from(rack).unwrap_or(u32::MAX);
        WorkerView::new(number, record, rack, now_ms)
    }

    /// Tells everyone who waits for this leader that it leads no more.
    pub fn resign(mut self, io: &mut Io<'_>) {
        let submits = std::mem::take(&mut self.submits);
        let cancels = std::mem::take(&mut self.cancels);
        let waiting = submits.into_iter().chain(cancels);
        let callers = waiting.flat_map(|(_, origins)| origins);
        for origin in callers.chain(self.looks.take_all()) {
            not_leading(origin, io);
        }
        let announced = self.announcements.drain(..).map(|(_, origin)| origin);
        let tables = self.tables.drain(..).map(|(_, origin)| origin);
        for origin in announced.chain(tables) {
            io.reply_control(origin, ControlReply::Unavailable);
        }
        io.log("leader_ended", vec![("term", self.term.to_string())]);
    }

    // ---- committed changes ----

    pub fn changed(&mut self, state: &CellState, change: Change, io: &mut Io<'_>) {
        match change {
            Change::Queues(version) => {
                let done = |(wanted, _): &(u64, Origin)| *wanted <= version;
                for (_, origin) in self.tables.extract_if(.., |entry| done(entry)) {
                    io.reply_control(origin, ControlReply::Done);
                }
                io.log("queues_in_force", vec![("version", version.to_string())]);
            }
            Change::Worker(number) => self.worker_changed(state, number, io),
            Change::WorkerRemoved(number) => {
                if let Some(view) = self.workers.remove(&number)
                    && self.addresses.get(&view.record.address) == Some(&number)
                {
                    self.addresses.remove(&view.record.address);
                }
            }
            Change::Accepted(id) => {
                for origin in self.submits.remove(&id).unwrap_or_default() {
                    io.reply_caller(origin, CallerReply::Accepted);
                }
                if let Some(job) = state.job(id) {
                    io.log(
                        "job_accepted",
                        vec![
                            ("job", id.to_string()),
                            ("queue", job.queue.name.clone()),
                            ("queues_version", state.queues().version.to_string()),
                        ],
                    );
                }
                self.refresh_job(state, id, io);
            }
            Change::Cancelled(id) => {
                for origin in self.cancels.remove(&id).unwrap_or_default() {
                    io.reply_caller(origin, CallerReply::Cancelled);
                }
                self.refresh_job(state, id, io);
            }
            Change::Placed {
                runs,
                refused,
                worker,
            } => self.placed(state, &runs, &refused, worker, io),
            Change::RunsCompleted {
                worker,
                through,
                jobs,
            } => {
                if let Some(view) = self.workers.get_mut(&worker) {
                    view.ends_committed = view.ends_committed.max(through);
                }
                self.renew(worker, io);
                for id in jobs {
                    self.refresh_job(state, id, io);
                    self.ends_committed(state, id, io);
                }
            }
            Change::RunsLost { jobs } => {
                for id in jobs {
                    self.refresh_job(state, id, io);
                }
            }
        }
    }

    fn worker_changed(&mut self, state: &CellState, number: WorkerNumber, io: &mut Io<'_>) {
        let Some(record) = state.workers().get(&number).cloned() else {
            return;
        };
        let id = record.id.clone();
        for (_, origin) in self.announcements.extract_if(.., |(other, _)| *other == id) {
            io.reply_control(origin, ControlReply::Done);
        }
        let known = self.workers.get(&number).map(|view| view.record.clone());
        let event = match &known {
            Some(known) if *known == record => return,
            Some(known) if known.incarnation_started_ms != record.incarnation_started_ms => {
                "worker_reborn"
            }
            Some(_) if record.draining => "worker_draining",
            Some(_) => "worker_changed",
            None => "worker_joined",
        };
        io.log(
            event,
            vec![
                ("worker", id),
                ("number", number.to_string()),
                ("address", record.address.clone()),
                ("service", record.service.clone()),
            ],
        );
        let mut view = self.make_view(number, record, io.now_ms);
        if let Some(old) = self.workers.remove(&number) {
            let reborn = known.is_some_and(|known| {
                known.incarnation_started_ms != view.record.incarnation_started_ms
            });
            let (record, rack) = (view.record, view.rack);
            view = old;
            view.record = record;
            view.rack = rack;
            if reborn {
                view.begin_life(self.bounds.lease_ms, io.now_ms);
            }
            view.recount();
        }
        self.note_address(number, &view.record);
        self.workers.insert(number, view);
        self.end_predecessors(number, io);
        self.renew(number, io);
        self.pass_due = true;
    }

    /// Notes which worker was born last at an address.
    fn note_address(&mut self, number: WorkerNumber, record: &WorkerRecord) {
        let known = self.addresses.get(&record.address);
        let known = known.and_then(|number| self.workers.get(number));
        let is_earlier = |view: &WorkerView| {
            view.record.address != record.address
                || view.record.incarnation_started_ms <= record.incarnation_started_ms
        };
        if known.is_none_or(is_earlier) {
            self.addresses.insert(record.address.clone(), number);
        }
    }

    /// Gives up the runs of workers whose address now belongs to a later one.
    fn end_predecessors(&mut self, number: WorkerNumber, io: &mut Io<'_>) {
        let Some(view) = self.workers.get(&number) else {
            return;
        };
        let (address, incarnation_started_ms) = (
            view.record.address.clone(),
            view.record.incarnation_started_ms,
        );
        let older: Vec<WorkerNumber> = self
            .workers
            .values()
            .filter(|other| {
                other.record.address == address
                    && other.record.incarnation_started_ms < incarnation_started_ms
            })
            .map(|other| other.number)
            .collect();
        for older in older {
            self.lose_runs(older, |_, _| true, "address_reused", io);
            io.commands.push(Command::RemoveWorker(older));
        }
    }

    /// Brings what is known of a job's waiting steps up to date.
    fn refresh_job(&mut self, state: &CellState, id: JobId, io: &mut Io<'_>) {
        self.pass_due = true;
        let Some(job) = state.job(id) else {
            return;
        };
        let known = self.active.binary_search(&id);
        if job.state != JobState::Active {
            if let Ok(at) = known {
                self.active.remove(at);
                self.end_job(job, io);
            }
            return;
        }
        if let Err(at) = known {
            self.active.insert(at, id);
            if job.spec.schedule.is_some() {
                self.scheduled.push(id);
            }
        }
        for (occurrence, steps) in (0u32..).zip(&job.occurrences) {
            let due = job.due_unix_ms(occurrence) <= io.unix_ms;
            for (step, progress) in (0u32..).zip(steps) {
                let key = StepKey {
                    job: id,
                    occurrence,
                    step,
                };
                let gang = job.step_spec(key).is_some_and(|spec| spec.gang);
                let tasks = (0u32..).zip(&progress.tasks);
                let is_waiting = |(_, task): &(u32, &crate::Task)| task.state == TaskState::Waiting;
                let waiting: Vec<u32> = tasks.filter(is_waiting).map(|(i, _)| i).collect();
                let partial = gang && !waiting.is_empty() && waiting.len() < progress.tasks.len();
                let proposing = self.steps.get(&key).is_some_and(|s| !s.proposed.is_empty());
                if partial && !proposing {
                    self.stop_step(key, io);
                }
                if waiting.is_empty() || partial || !due || !job.is_unblocked(key) {
                    if !proposing {
                        self.steps.remove(&key);
                    }
                    continue;
                }
                let entry = self.steps.get_or_insert_with(key, WaitingStep::default);
                entry.waiting = waiting;
            }
        }
    }

    /// Forgets the waiting steps of an ended job and stops its runs.
    fn end_job(&mut self, job: &Job, io: &mut Io<'_>) {
        let id = job.id;
        let known = self.steps.iter_from(&first_step(id)).next();
        let waiting = known.is_some_and(|(key, _)| key.job == id);
        let advised = self.advice.iter_from(&first_step(id)).next();
        let advised = advised.is_some_and(|(key, _)| key.job == id);
        if waiting {
            self.steps.retain(|key, _| key.job != id);
        }
        if advised {
            self.advice.retain(|key, _| key.job != id);
        }
        self.scheduled.retain(|scheduled| *scheduled != id);
        if matches!(job.state, JobState::Failed | JobState::Cancelled) {
            self.stop_runs(|key| key.task.step.job == id, io);
        }
        let total_ms = job.ended_unix_ms.saturating_sub(job.accepted_unix_ms);
        io.log(
            "job_ended",
            vec![
                ("job", id.to_string()),
                ("queue", job.queue.name.clone()),
                ("state", format!("{:?}", job.state)),
                ("total_ms", total_ms.to_string()),
            ],
        );
        io.effect(Effect::Measure {
            name: "job_total_ms",
            label: job.queue.name.clone(),
            value_ms: total_ms,
        });
    }

    // ---- time ----

    pub fn tick(&mut self, state: &CellState, io: &mut Io<'_>) {
        for id in self.scheduled.clone() {
            self.refresh_job(state, id, io);
        }
        // A part of the workers in each tick: with hundreds of them, looking at all runs a hundred
        // times a second would take a tenth of the leader's processor.
        self.tick_count = self.tick_count.wrapping_add(1);
        let due = self.tick_count % TICKS_PER_CHECK;
        let numbers = self.workers.keys().copied();
        let numbers: Vec<WorkerNumber> = numbers.filter(|n| n.0 % TICKS_PER_CHECK == due).collect();
        for number in numbers {
            self.check_worker(state, number, io);
        }
        self.expire_questions(io);
        self.expire_relayed(state, io);
        self.expire_looks(state, io);
        self.forget_jobs(state, io);
        self.pass_due = true;
    }

    /// Places waiting tasks if anything has changed since the last pass.
    pub fn settle(&mut self, state: &CellState, io: &mut Io<'_>) {
        let steps = self.steps.len() as u64;
        let pause_ms = PASS_INTERVAL_MS + steps * PASS_INTERVAL_US_FOR_EACH_STEP / 1_000;
        let next_ms = self.last_pass_ms.saturating_add(Millis(pause_ms));
        if self.pass_due && io.leads && io.now_ms >= next_ms {
            self.pass_due = false;
            self.last_pass_ms = io.now_ms;
            self.pass(state, io);
        }
    }

    fn forget_jobs(&mut self, state: &CellState, io: &mut Io<'_>) {
        let next_ms = self
            .last_forget_ms
            .saturating_add(Millis(FORGET_INTERVAL_MS));
        if io.now_ms < next_ms {
            return;
        }
        self.last_forget_ms = io.now_ms;
        let kept_ms = self.bounds.status_retention_ms + FORGET_MARGIN_MS;
        let is_over =
            |job: &&Job| job.state != JobState::Active && job.ended_unix_ms + kept_ms < io.unix_ms;
        let over: Vec<JobId> = state
            .jobs()
            .values()
            .map(AsRef::as_ref)
            .filter(is_over)
            .map(|j| j.id)
            .collect();
        if !over.is_empty() {
            io.commands.push(Command::RemoveJobs(over));
        }
        io.effect(Effect::Gauge {
            name: "jobs_known",
            value: state.jobs().len() as u64,
        });
        io.effect(Effect::Gauge {
            name: "steps_looked_at",
            value: self.steps_looked_at,
        });
        io.effect(Effect::Gauge {
            name: "questions_composed",
            value: self.questions_composed,
        });
        io.effect(Effect::Gauge {
            name: "steps_waiting",
            value: self.steps.len() as u64,
        });
    }
}

fn first_step(job: JobId) -> StepKey {
    StepKey {
        job,
        occurrence: 0,
        step: 0,
    }
}

fn not_leading(origin: Origin, io: &mut Io<'_>) {
    if let Origin::Entry { vm, call } = origin {
        let message = PeerMessage::CallReply { call, reply: None };
        io.effect(Effect::Send { to: vm, message });
    }
}
