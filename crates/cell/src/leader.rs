//! State and rules of the leader of a cell: callers' requests, workers' leases, advice and
//! placement.
//!
//! The state of [`Leader`] is rebuilt from the replicated state when a VM becomes the leader and is
//! dropped when it steps down.

use acaciareel_types::{CountedMemory, Millis, SortedVec, VmId};

use crate::{
    CallerReply, CellState, Change, Command, ControlReply, Effect, Job, JobId, JobState, Origin,
    PeerMessage, RunKey, Speeds, StepKey, TaskKey, TaskState, WorkerIncarnation, WorkerNumber,
    WorkerRecord, ids::calls_of_epoch, io::Io, limits::JOB_MEMORY,
};

mod advice;
mod advice_requests;
mod announcements;
mod authentication;
mod backlog;
mod callers;
mod departures;
mod health;
mod identity;
mod isolation;
mod job_memory;
mod pass;
mod relay;
mod renewal;
mod reservations;
mod restarts;
mod run_times;
mod speeds;
mod stalls;
mod status_queries;
mod tenants;
mod waits;
mod worker;
mod worker_commands;

pub(crate) use relay::MIN_WORKERS_FOR_RELAY;

use advice::{AdviceCall, AdviceVms, StepAdvice};
use authentication::KeyIndex;
use callers::PendingSubmit;
use run_times::RunTimes;
use worker::{LossReason, Phase, RunView, WorkerView};

/// Time limits set by the deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// Longest lease that workers grant.
    pub lease_ms: u64,
    /// Longest time that a worker takes to stop a run.
    pub stop_ms: u64,
    /// How long the status of an ended job stays available to callers.
    pub status_retention_ms: u64,
    /// Share of a tenant's cap, in thousandths, by which a task or gang larger than the cap may
    /// exceed it.
    pub quota_overage_permille: u64,
    /// Time over which a tenant's rate of jobs is judged; 0 if no job is beyond the rate.
    pub quota_window_ms: u64,
    /// Number of jobs that a tenant may submit beyond its rate.
    pub quota_tolerance: u64,
}

/// Shortest time between the starts of two scheduling passes. Events that arrive in between are
/// handled by one pass.
const PASS_INTERVAL_MS: u64 = 4;
/// Added to this time for each waiting step: what changes in the meantime can be placed together.
const PASS_INTERVAL_PER_STEP_US: u64 = 40;
/// A pass is followed by a pause of this many times its duration, so that passes take at most a
/// quarter of the processor time that the VM gets. The leader needs the rest for leases and replies.
const PASS_PAUSE_FACTOR: u64 = 3;
/// Each worker is checked once in this many ticks; a tick is 10 ms.
const TICKS_PER_WORKER_CHECK: u32 = 5;
/// Longest time from the last answer of a control VM to the cut that silenced it: a heartbeat
/// interval and a round trip.
const SILENCE_MARGIN_MS: u64 = 150;
/// Time between two removals of ended jobs.
const JOB_REMOVAL_INTERVAL_MS: u64 = 5_000;
/// Added to the time for which the status of an ended job is kept, because clocks differ.
const STATUS_RETENTION_MARGIN_MS: u64 = 60_000;

/// Time between two announcements of a worker.
const ANNOUNCEMENT_INTERVAL_MS: u64 = 1_500;

/// A call to a worker whose reply has not arrived.
#[derive(Clone, Debug)]
enum WorkerCall {
    Start {
        worker: WorkerIncarnation,
        run: RunKey,
        /// Least reading of the worker's clock in a reply of this incarnation.
        min_clock_ms: u64,
    },
    Stop {
        worker: WorkerIncarnation,
        run: RunKey,
    },
    Renewal {
        worker: WorkerIncarnation,
        token: u64,
        /// Number of the last completion that the call acknowledges.
        acknowledged: u64,
        /// Whether the call was sent under a raised epoch to decide the outcome of earlier starts.
        fence: bool,
    },
    /// A renewal that this VM sends itself, to learn whether a worker that leaves still listens.
    ListenCheck {
        worker: WorkerIncarnation,
        token: u64,
        /// Number of the last completion that the call acknowledges.
        acknowledged: u64,
    },
}

/// Unplaced tasks of a step.
#[derive(Clone, Debug, Default)]
struct WaitingStep {
    /// Positions of the tasks without a run, sorted.
    waiting: Vec<u32>,
    /// Positions from `waiting` whose placement is proposed and not yet committed, sorted.
    proposed: Vec<u32>,
    /// Time since which suspects of the step have waited for a worker of their own, and none got one.
    suspects_since_ms: Option<Millis>,
    /// Tenant and service whose usage the step will count for.
    account: Option<tenants::Account>,
    /// Latest forecast of the step.
    forecast: Option<run_times::StepForecast>,
    /// What the step withholds from steps after it.
    withheld: reservations::Withheld,
    /// Time at which the step, a gang, began to keep workers.
    keeps_since_ms: Option<Millis>,
    /// Why the step was not placed when it was last examined.
    wait: Option<waits::StepWait>,
}

/// State of the leader; lost when it steps down.
#[derive(Debug)]
pub(crate) struct Leader {
    me: VmId,
    term: u64,
    bounds: Bounds,
    workers: SortedVec<WorkerNumber, WorkerView>,
    /// Failure domains of workers; the position of one is its number.
    domains: Vec<String>,
    /// Distinct label lists of workers; the position of a list is the number of its rack.
    racks: Vec<Vec<String>>,
    steps: SortedVec<StepKey, WaitingStep>,
    /// Responses of the policy service for each step.
    advice: SortedVec<StepKey, StepAdvice>,
    advice_calls: SortedVec<u64, AdviceCall>,
    advice_vms: AdviceVms,
    /// Time at which this VM became the leader.
    started_ms: Millis,
    /// Whether some workers have neither reported to this leader nor missed a call since its start.
    first_reports_due: bool,
    worker_calls: SortedVec<u64, WorkerCall>,
    /// Renewals that got no reply in time, each with the time until which a late report is read.
    overdue_renewals: SortedVec<u64, (WorkerCall, Millis)>,
    relays: relay::Relays,
    /// Number of the last call to a worker or the policy service.
    next_call: u64,
    status_queries: status_queries::StatusQueries,
    key_index: KeyIndex,
    pending_submits: SortedVec<JobId, PendingSubmit>,
    pending_cancels: SortedVec<JobId, Vec<Origin>>,
    /// Jobs whose first confirmed run is being committed, sorted.
    pending_starts: Vec<JobId>,
    verifications: identity::Verifications,
    /// Each worker's record that is being committed, and where the reply goes.
    pending_announcements: Vec<(WorkerRecord, Origin)>,
    pending_deregistrations: Vec<departures::PendingDeregistration>,
    /// Version of each queue table that is being committed, and where the reply goes.
    pending_tables: Vec<(u64, Origin)>,
    /// Jobs that have not ended, sorted. A job that leaves the list is logged as ended once.
    active_jobs: Vec<JobId>,
    /// Jobs with a schedule, whose occurrences become due later.
    scheduled_jobs: Vec<JobId>,
    run_times: RunTimes,
    tenants: tenants::Tenants,
    backlog: backlog::Backlog,
    /// Memory of all jobs.
    job_memory: CountedMemory,
    run_times_saved_ms: Millis,
    /// Lost runs that are not recorded in `run_times` yet, with their workers and the times for which
    /// they ran at least.
    lost_runs: Vec<(RunKey, WorkerNumber, u64)>,
    speeds: Speeds,
    failed_steps: health::FailedSteps,
    /// Workers on probation in the current pass, sorted.
    on_probation: Vec<WorkerNumber>,
    /// Workers reserved for gangs in the current pass, sorted.
    reserved_for_gangs: Vec<WorkerNumber>,
    restarts: restarts::Restarts,
    /// Turns of wide gangs by service.
    hold_turns: SortedVec<String, reservations::HoldTurn>,
    /// Workers that drain for suspects, which must run alone, and the suspects' steps.
    draining_for: SortedVec<WorkerNumber, StepKey>,
    /// Jobs whose failure after too many crashes is being committed, sorted.
    given_up: Vec<JobId>,
    /// Workers reserved for gangs in the previous pass, sorted.
    previously_reserved: Vec<WorkerNumber>,
    /// Failure domains from which no control VM answers, with the time of the last answer.
    silent_domains: SortedVec<String, Millis>,
    tick_count: u32,
    pass_due: bool,
    /// Earliest time of the next pass.
    next_pass_ms: Millis,
    /// Time at which the pass of the current turn began.
    pass_began_ms: Option<Millis>,
    /// Last step examined by the previous pass if it reached its limit of work.
    pass_cursor: Option<pass::Position>,
    /// Waiting steps examined by all passes so far.
    steps_examined: u64,
    /// Number of times that workers were selected for an advice request so far.
    requests_composed: u64,
    waits: waits::WaitReports,
    last_job_removal_ms: Millis,
}

impl Leader {
    /// Builds the leader's state from the replicated state. Runs that may be under way count as
    /// running until their workers have reported. `led_ms` is the last time at which this VM knew of
    /// a leader, which received the workers' announcements.
    pub fn new(
        me: VmId,
        term: u64,
        bounds: Bounds,
        state: &CellState,
        led_ms: Option<Millis>,
        io: &mut Io<'_>,
    ) -> Self {
        let mut leader = Self {
            me,
            term,
            bounds,
            workers: SortedVec::new(),
            domains: Vec::new(),
            racks: Vec::new(),
            steps: SortedVec::new(),
            advice: SortedVec::new(),
            advice_calls: SortedVec::new(),
            advice_vms: AdviceVms::default(),
            started_ms: io.now_ms,
            first_reports_due: true,
            worker_calls: SortedVec::new(),
            overdue_renewals: SortedVec::new(),
            relays: relay::Relays::default(),
            next_call: calls_of_epoch(term),
            status_queries: status_queries::StatusQueries::default(),
            key_index: KeyIndex::default(),
            pending_submits: SortedVec::new(),
            pending_cancels: SortedVec::new(),
            pending_starts: Vec::new(),
            verifications: identity::Verifications::default(),
            pending_announcements: Vec::new(),
            pending_deregistrations: Vec::new(),
            pending_tables: Vec::new(),
            active_jobs: Vec::new(),
            scheduled_jobs: Vec::new(),
            run_times: RunTimes::from_saved(state.run_times()),
            run_times_saved_ms: io.now_ms,
            lost_runs: Vec::new(),
            speeds: Speeds::default(),
            tenants: tenants::Tenants::default(),
            backlog: backlog::Backlog::default(),
            job_memory: CountedMemory::new(JOB_MEMORY),
            failed_steps: health::FailedSteps::default(),
            on_probation: Vec::new(),
            reserved_for_gangs: Vec::new(),
            restarts: restarts::Restarts::default(),
            hold_turns: SortedVec::new(),
            draining_for: SortedVec::new(),
            given_up: Vec::new(),
            previously_reserved: Vec::new(),
            silent_domains: SortedVec::new(),
            tick_count: 0,
            pass_due: true,
            next_pass_ms: Millis(0),
            pass_began_ms: None,
            pass_cursor: None,
            steps_examined: 0,
            requests_composed: 0,
            waits: waits::WaitReports::default(),
            last_job_removal_ms: io.now_ms,
        };
        let inherited_ms = worker::longest_lease(bounds.lease_ms);
        for (number, record) in state.workers().iter() {
            let mut view = leader.make_view(*number, record.clone(), io.now_ms);
            view.inherited_lease_until_ms = io.now_ms.saturating_add(inherited_ms);
            let announced = led_ms.filter(|_| record.is_announced());
            view.announced_ms =
                announced.map(|led_ms| led_ms.saturating_sub(Millis(ANNOUNCEMENT_INTERVAL_MS)));
            leader.workers.insert(*number, view);
        }
        for job in state.jobs().values() {
            leader.inherit_runs(state, job, io.now_ms);
            leader.refresh_job(state, job.id, io);
        }
        let numbers = leader.workers.keys().copied();
        let succeeded = numbers.filter(|number| state.has_successor(*number));
        for number in succeeded.collect::<Vec<_>>() {
            leader.remove_predecessor(number, io);
        }
        io.log(
            "leader_started",
            vec![
                ("term", term.to_string()),
                ("workers", leader.workers.len().to_string()),
                ("jobs", state.jobs().len().to_string()),
                ("queues_version", state.queues().version.to_string()),
                ("run_time_classes", leader.run_times.len().to_string()),
            ],
        );
        leader
    }

    fn inherit_runs(&mut self, state: &CellState, job: &Job, now_ms: Millis) {
        for (key, task) in job.tasks() {
            let TaskState::Placed(number) = task.state else {
                continue;
            };
            let spec = job.step_spec(key.step);
            if let (Some(view), Some(spec)) = (self.workers.get_mut(&number), spec) {
                let phase = Phase::Sent {
                    token: 0,
                    tries: u32::MAX,
                };
                let run = RunKey {
                    task: key,
                    run: task.run,
                };
                let demand = pass::counted_demand(spec);
                let mut inherited = RunView::new(demand, phase, None, now_ms);
                inherited.charge = self.tenants.charge(job, Some(spec));
                inherited.long_running = spec.long_running;
                if state.must_run_alone(job, key) {
                    inherited.alone_until_ms = Some(isolation::trial_end(
                        spec,
                        state.crash_count(key).may_share(),
                        now_ms,
                    ));
                }
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
        let rack = number_of(&mut self.racks, &record.labels);
        let domain = number_of(&mut self.domains, &record.failure_domain);
        WorkerView::new(number, record, (rack, domain), now_ms)
    }

    /// Replies to every open request that this VM does not lead.
    pub fn step_down(mut self, io: &mut Io<'_>) {
        let pending_submits = std::mem::take(&mut self.pending_submits);
        let pending_cancels = std::mem::take(&mut self.pending_cancels);
        let submits = pending_submits.into_iter();
        let submits = submits.flat_map(|(_, submit)| submit.origins);
        let cancels = pending_cancels.into_iter().flat_map(|(_, origins)| origins);
        let callers = submits.chain(cancels);
        for origin in callers.chain(self.status_queries.take_all()) {
            reply_not_leader(origin, io);
        }
        let unverified = self.verifications.take_origins();
        let announced = self
            .pending_announcements
            .drain(..)
            .map(|(_, origin)| origin)
            .chain(unverified);
        let deregistered = self.pending_deregistrations.drain(..);
        let deregistered = deregistered.map(|pending| pending.origin);
        let pending_tables = self.pending_tables.drain(..).map(|(_, origin)| origin);
        for origin in announced.chain(deregistered).chain(pending_tables) {
            io.reply_control(origin, ControlReply::Unavailable);
        }
        io.log("leader_ended", vec![("term", self.term.to_string())]);
    }

    pub fn handle_change(&mut self, state: &CellState, change: Change, io: &mut Io<'_>) {
        match change {
            Change::Queues(version) => {
                let done = |(pending_version, _): &(u64, Origin)| *pending_version <= version;
                for (_, origin) in self.pending_tables.extract_if(.., |entry| done(entry)) {
                    io.reply_control(origin, ControlReply::Done);
                }
                io.log("queues_in_force", vec![("version", version.to_string())]);
            }
            Change::Worker { worker, crashed } => {
                self.worker_crashed(state, worker, &crashed, io);
                self.worker_changed(state, worker, io);
            }
            Change::WorkerRemoved { worker, lost } => {
                self.tenants.remove_worker(worker);
                self.speeds.remove(worker);
                self.worker_removed(state, worker, &lost, io);
            }
            Change::Accepted(id) => {
                let submit = self.pending_submits.remove(&id);
                for origin in submit.into_iter().flat_map(|submit| submit.origins) {
                    io.reply_caller(origin, CallerReply::Accepted);
                }
                if let Some(job) = state.job(id) {
                    let mut fields = vec![
                        ("job", id.to_string()),
                        ("queue", job.queue.name.clone()),
                        ("queues_version", state.queues().version.to_string()),
                    ];
                    if let Some(tenant) = &job.tenant {
                        fields.push(("tenant", tenant.clone()));
                        fields.push(("over_rate", job.over_rate.to_string()));
                    }
                    io.log("job_accepted", fields);
                }
                self.refresh_job(state, id, io);
            }
            Change::Cancelled(id) => {
                for origin in self.pending_cancels.remove(&id).unwrap_or_default() {
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
                superfluous,
            } => {
                if let Some(view) = self.incarnation_mut(worker) {
                    view.completions_committed = view.completions_committed.max(through);
                }
                self.renew(worker.number, io);
                for id in jobs {
                    self.refresh_job(state, id, io);
                    self.completions_committed(state, id, io);
                }
                self.stop_superfluous(&superfluous, io);
            }
            Change::RunsLost { jobs } => {
                for id in jobs {
                    self.refresh_job(state, id, io);
                }
            }
            Change::Started(id) => self.job_started(state, id, io),
        }
    }

    fn worker_changed(&mut self, state: &CellState, number: WorkerNumber, io: &mut Io<'_>) {
        let Some(record) = state.workers().get(&number).cloned() else {
            return;
        };
        let id = record.id.clone();
        let announced = self.announcements_committed(&record, io);
        let known = self.workers.get(&number).map(|view| view.record.clone());
        let event = match &known {
            Some(known) if known.says_same(&record) => return,
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
                ("incarnation", record.incarnation_started_ms.to_string()),
                ("address", record.address.clone()),
                ("service", record.service.clone()),
            ],
        );
        let mut view = self.make_view(number, record, io.now_ms);
        let mut reborn = false;
        if let Some(old) = self.workers.remove(&number) {
            reborn = old.incarnation() != view.incarnation();
            let (record, rack, domain) = (view.record, view.rack, view.domain);
            view = old;
            view.record = record;
            view.rack = rack;
            view.domain = domain;
            if reborn {
                view.begin_incarnation(self.bounds.lease_ms, io.now_ms);
                view.announced_ms = None;
                self.expire_tickets(number);
                self.speeds.remove(number);
            }
            if announced {
                view.announced_ms.get_or_insert(io.now_ms);
            }
            view.recompute_free();
        }
        self.workers.insert(number, view);
        if reborn {
            // Placed for the earlier incarnation, and not sent to it.
            let is_unsent = |_: &RunKey, run: &RunView| run.phase == Phase::Committed;
            self.lose_runs(number, is_unsent, LossReason::NotSent, io);
        }
        self.remove_predecessors(state, number, io);
        self.renew(number, io);
        self.pass_due = true;
    }

    /// Returns the view of a worker, if it is of this incarnation. What is known of one incarnation
    /// reaches a view only through this function.
    fn incarnation_mut(&mut self, worker: WorkerIncarnation) -> Option<&mut WorkerView> {
        let view = self.workers.get_mut(&worker.number);
        view.filter(|view| view.incarnation() == worker)
    }

    /// Marks all runs as lost on the workers at whose address this one has been verified since, and
    /// removes those workers.
    fn remove_predecessors(&mut self, state: &CellState, number: WorkerNumber, io: &mut Io<'_>) {
        let Some(view) = self.workers.get(&number) else {
            return;
        };
        let Some((last, predecessors)) = state.workers_at(&view.record.address).split_last() else {
            return;
        };
        if *last == number {
            for predecessor in predecessors {
                self.remove_predecessor(*predecessor, io);
            }
        }
    }

    fn remove_predecessor(&mut self, number: WorkerNumber, io: &mut Io<'_>) {
        self.lose_runs(number, |_, _| true, LossReason::AddressReused, io);
        if let Some(view) = self.workers.get(&number) {
            io.commands.push(Command::RemoveWorker(view.incarnation()));
        }
    }

    /// Drops a removed worker, and examines the jobs of the runs that ended with it.
    fn worker_removed(
        &mut self,
        state: &CellState,
        number: WorkerNumber,
        lost: &[RunKey],
        io: &mut Io<'_>,
    ) {
        let view = self.workers.remove(&number);
        let id = view.map_or_else(|| number.to_string(), |view| view.record.id);
        for key in lost {
            io.warn(
                "run_lost",
                vec![
                    ("run", key.to_string()),
                    ("worker", id.clone()),
                    ("reason", "worker_removed".to_owned()),
                ],
            );
        }
        for job in crate::state::jobs_of(lost.iter().copied()) {
            self.refresh_job(state, job, io);
        }
    }

    /// Updates the waiting steps of a job from the replicated state.
    fn refresh_job(&mut self, state: &CellState, id: JobId, io: &mut Io<'_>) {
        self.pass_due = true;
        let Some(job) = state.job(id) else {
            return;
        };
        let known = self.active_jobs.binary_search(&id);
        if job.state != JobState::Active {
            if let Ok(at) = known {
                self.active_jobs.remove(at);
                self.job_ended(job, io);
            }
            return;
        }
        if let Err(at) = known {
            self.active_jobs.insert(at, id);
            if job.spec.schedule.is_some() {
                self.scheduled_jobs.push(id);
            }
        }
        if self.give_up_if_exhausted(state, job, io) {
            return;
        }
        for (occurrence, steps) in (0u32..).zip(&job.occurrences) {
            // Without a schedule a job is due from its acceptance on, also if the time of day has been
            // set back since.
            let due = job.spec.schedule.is_none() || job.due_unix_ms(occurrence) <= io.unix_ms;
            for (step, progress) in (0u32..).zip(steps) {
                let key = StepKey {
                    job: id,
                    occurrence,
                    step,
                };
                let spec = job.step_spec(key);
                let gang = spec.is_some_and(|spec| spec.gang);
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
                if spec.is_some_and(|spec| spec.long_running) {
                    let has_run = |index: &u32| progress.tasks[*index as usize].run > 0;
                    for index in waiting.iter().copied().filter(has_run) {
                        let task = TaskKey { step: key, index };
                        self.restarts.note(task, io.now_ms);
                    }
                }
                let account = self.tenants.account(job);
                let entry = self.steps.get_or_insert_with(key, WaitingStep::default);
                entry.waiting = waiting;
                entry.account = account;
            }
        }
    }

    /// Proposes to record that a job has started, if that is neither recorded nor proposed yet, and
    /// that a task with a crash runs again.
    fn run_confirmed(&mut self, state: &CellState, run: RunKey, io: &mut Io<'_>) {
        let id = run.task.step.job;
        self.restarts.end(run.task);
        if state.crash_count(run.task).crashes > 0 {
            io.commands.push(Command::Confirmed(run));
        }
        if state.job(id).is_some_and(|job| !job.started)
            && let Err(at) = self.pending_starts.binary_search(&id)
        {
            self.pending_starts.insert(at, id);
            io.commands.push(Command::Started(id));
        }
    }

    fn job_started(&mut self, state: &CellState, id: JobId, io: &mut Io<'_>) {
        if let Ok(at) = self.pending_starts.binary_search(&id) {
            self.pending_starts.remove(at);
        }
        let Some(job) = state.job(id) else {
            return;
        };
        let after_ms = io.unix_ms.saturating_sub(job.accepted_unix_ms);
        io.log(
            "job_started",
            vec![
                ("job", id.to_string()),
                ("queue", job.queue.name.clone()),
                ("after_ms", after_ms.to_string()),
            ],
        );
    }

    /// Removes the waiting steps of an ended job, and stops its runs unless it completed.
    fn job_ended(&mut self, job: &Job, io: &mut Io<'_>) {
        let id = job.id;
        let known = self.steps.iter_from(&first_step(id)).next();
        let waiting = known.is_some_and(|(key, _)| key.job == id);
        let has_advice = self.advice.iter_from(&first_step(id)).next();
        let has_advice = has_advice.is_some_and(|(key, _)| key.job == id);
        if waiting {
            self.steps.retain(|key, _| key.job != id);
        }
        if has_advice {
            self.advice.retain(|key, _| key.job != id);
        }
        self.scheduled_jobs.retain(|scheduled| *scheduled != id);
        self.failed_steps.remove_job(id);
        self.restarts.remove_job(id);
        if let Ok(at) = self.given_up.binary_search(&id) {
            self.given_up.remove(at);
        }
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

    pub fn tick(&mut self, state: &CellState, io: &mut Io<'_>) {
        for id in self.scheduled_jobs.clone() {
            self.refresh_job(state, id, io);
        }
        // Each tick checks only a part of the workers: with hundreds of workers, examining all runs
        // a hundred times a second takes a tenth of the leader's processor.
        self.tick_count = self.tick_count.wrapping_add(1);
        let due = self.tick_count % TICKS_PER_WORKER_CHECK;
        let numbers = self.workers.keys().copied();
        let numbers: Vec<WorkerNumber> = numbers
            .filter(|n| n.0 % TICKS_PER_WORKER_CHECK == due)
            .collect();
        for number in numbers {
            self.check_worker(state, number, io);
        }
        self.answer_deregistrations(state, io);
        self.record_lost_runs(state);
        self.save_run_times(io);
        self.expire_advice_calls(io);
        self.expire_relay_calls(state, io);
        self.forget_overdue_renewals(io.now_ms);
        self.expire_status_queries(state, io);
        self.remove_expired_jobs(state, io);
        self.report_waits(state, io);
        self.pass_due = true;
    }

    /// Replaces the list of failure domains from which no control VM answers.
    pub fn domains_silent(&mut self, silent: SortedVec<String, Millis>, io: &mut Io<'_>) {
        for (domain, last_ms) in silent.iter() {
            if !self.silent_domains.contains_key(domain) {
                let silent_ms = io.now_ms.saturating_sub(*last_ms).0;
                let fields = vec![
                    ("failure_domain", domain.clone()),
                    ("silent_ms", silent_ms.to_string()),
                ];
                io.warn("domain_silent", fields);
            }
        }
        for (domain, _) in self.silent_domains.iter() {
            if !silent.contains_key(domain) {
                io.log("domain_back", vec![("failure_domain", domain.clone())]);
                self.pass_due = true;
            }
        }
        self.silent_domains = silent;
    }

    /// Returns whether a worker has not been heard of since its failure domain fell silent, so that
    /// a start may be lost in a cut, with a task that cannot run elsewhere until its lease is over.
    fn is_behind_silence(&self, view: &WorkerView) -> bool {
        let silent_since = self.silent_domains.get(&view.record.failure_domain);
        silent_since.is_some_and(|since_ms| {
            view.last_contact_ms <= since_ms.saturating_add(Millis(SILENCE_MARGIN_MS))
        })
    }

    /// Runs a scheduling pass if anything changed since the last one, the pause is over and the
    /// leader lease is held.
    pub fn run_due_pass(&mut self, state: &CellState, io: &mut Io<'_>) {
        if self.pass_due && io.holds_lease && io.now_ms >= self.next_pass_ms {
            let steps = self.steps.len() as u64;
            let interval_ms = PASS_INTERVAL_MS + steps * PASS_INTERVAL_PER_STEP_US / 1_000;
            self.pass_due = false;
            self.next_pass_ms = io.now_ms.saturating_add(Millis(interval_ms));
            self.pass_began_ms = Some(io.now_ms);
            self.run_pass(state, io);
            self.pass_due |= self.pass_cursor.is_some();
        }
    }

    /// Postpones the next pass by the time that the pass of this turn, if there was one, has taken.
    pub fn turn_ended(&mut self, now_ms: Millis) {
        if let Some(began_ms) = self.pass_began_ms.take() {
            let took_ms = now_ms.saturating_sub(began_ms).0;
            let earliest_ms = now_ms.saturating_add(Millis(took_ms * PASS_PAUSE_FACTOR));
            self.next_pass_ms = self.next_pass_ms.max(earliest_ms);
        }
    }

    fn remove_expired_jobs(&mut self, state: &CellState, io: &mut Io<'_>) {
        let next_ms = self
            .last_job_removal_ms
            .saturating_add(Millis(JOB_REMOVAL_INTERVAL_MS));
        if io.now_ms < next_ms {
            return;
        }
        self.last_job_removal_ms = io.now_ms;
        let retention_ms = self.bounds.status_retention_ms + STATUS_RETENTION_MARGIN_MS;
        let is_expired = |job: &&Job| {
            job.state != JobState::Active && job.ended_unix_ms + retention_ms < io.unix_ms
        };
        let expired: Vec<JobId> = state
            .jobs()
            .values()
            .map(AsRef::as_ref)
            .filter(is_expired)
            .map(|j| j.id)
            .collect();
        if !expired.is_empty() {
            io.commands.push(Command::RemoveJobs(expired));
        }
        self.report_tenants(state, io);
        self.measure_speeds(io);
        io.effect(Effect::Gauge {
            name: "jobs_known",
            value: state.jobs().len() as u64,
        });
        io.effect(Effect::Gauge {
            name: "steps_looked_at",
            value: self.steps_examined,
        });
        io.effect(Effect::Gauge {
            name: "questions_composed",
            value: self.requests_composed,
        });
        io.effect(Effect::Gauge {
            name: "steps_waiting",
            value: self.steps.len() as u64,
        });
    }
}

/// Returns the position of a value, which is added if it is new.
fn number_of<T: Clone + PartialEq>(known: &mut Vec<T>, value: &T) -> u32 {
    let position = known.iter().position(|other| other == value);
    let position = position.unwrap_or_else(|| {
        known.push(value.clone());
        known.len() - 1
    });
    u32::try_from(position).unwrap_or(u32::MAX)
}

fn first_step(job: JobId) -> StepKey {
    StepKey {
        job,
        occurrence: 0,
        step: 0,
    }
}

fn reply_not_leader(origin: Origin, io: &mut Io<'_>) {
    if let Origin::Entry { vm, call } = origin {
        let message = PeerMessage::CallReply { call, reply: None };
        io.effect(Effect::Send { to: vm, message });
    }
}

#[cfg(test)]
mod tests;
