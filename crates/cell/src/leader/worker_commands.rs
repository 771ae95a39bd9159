//! Commands to workers: starts of committed placements, stops, and the replies to both.

use super::{
    Leader, WorkerCall,
    worker::{Departure, LossReason, Phase, RunView, WorkerView},
};
use crate::{
    CellState, Effect, JobState, RunKey, StartRefusal, StepKey, TaskState, WorkerIncarnation,
    WorkerNumber, WorkerReply, WorkerRequest, io::Io,
};

/// Number of times that a start is sent before a call with a higher fencing token decides its
/// outcome. A repeated start has no further effect, so it is repeated soon.
const MAX_TRIES: u32 = 3;
/// Time limit of the reply to the first try of a start; it doubles with each further try.
const FIRST_TRY_TIMEOUT_MS: u64 = 120;

impl Leader {
    pub(super) fn new_call(&mut self) -> u64 {
        self.next_call += 1;
        self.next_call
    }

    /// Handles the commit of placements: sends the starts of the accepted runs and removes the
    /// refused runs.
    pub(super) fn placed(
        &mut self,
        state: &CellState,
        runs: &[RunKey],
        refused: &[RunKey],
        worker: WorkerNumber,
        io: &mut Io<'_>,
    ) {
        for key in runs.iter().chain(refused) {
            if let Some(step) = self.steps.get_mut(&key.task.step) {
                step.proposed.retain(|index| *index != key.task.index);
            }
        }
        if let Some(view) = self.workers.get_mut(&worker) {
            for key in refused {
                view.runs.remove(key);
            }
            view.recompute_free();
            for key in runs {
                if let Some(run) = view.runs.get_mut(key) {
                    run.phase = Phase::Committed;
                }
            }
        }
        let mut jobs: Vec<_> = runs
            .iter()
            .chain(refused)
            .map(|k| k.task.step.job)
            .collect();
        jobs.sort_unstable();
        jobs.dedup();
        for id in jobs {
            self.refresh_job(state, id, io);
        }
        self.send_committed(state, worker, io);
    }

    /// Sends the starts of committed placements.
    pub(super) fn send_committed(
        &mut self,
        state: &CellState,
        number: WorkerNumber,
        io: &mut Io<'_>,
    ) {
        let Some(view) = self.workers.get(&number) else {
            return;
        };
        // A later incarnation may have been committed together with the placements. They were made for
        // this one and are dropped when the leader handles the other.
        if !io.holds_lease || !state.is_current(view.incarnation()) || self.may_be_replaced(view) {
            return;
        }
        let due: Vec<RunKey> = view
            .runs
            .iter()
            .filter(|(_, run)| run.phase == Phase::Committed)
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            let active = state
                .job(key.task.step.job)
                .is_some_and(|job| job.state == JobState::Active);
            let view = self.workers.get(&number);
            let has_room = view.is_some_and(|view| view.has_room_for(&key, io.now_ms));
            let sendable = active && has_room && self.send_start(state, number, key, io);
            if !sendable {
                self.lose_runs(number, |run, _| *run == key, LossReason::NotSent, io);
            }
        }
        self.renew(number, io);
    }

    /// Returns whether the next incarnation may be at the worker's address. It would carry out a start
    /// that is meant for this one.
    fn may_be_replaced(&self, view: &WorkerView) -> bool {
        view.departure == Departure::Replaced || self.verifications.concern(&view.record)
    }

    /// Sends one start. Returns whether it could be sent.
    fn send_start(
        &mut self,
        state: &CellState,
        number: WorkerNumber,
        key: RunKey,
        io: &mut Io<'_>,
    ) -> bool {
        let (term, lease_ms) = (self.term, self.bounds.lease_ms);
        let Some(job) = state.job(key.task.step.job) else {
            return false;
        };
        let (Some(step), Some(spec)) = (job.step(key.task.step), job.step_spec(key.task.step))
        else {
            return false;
        };
        let Some(task) = step.tasks.get(key.task.index as usize) else {
            return false;
        };
        if task.run != key.run || task.state != TaskState::Placed(number) {
            return false;
        }
        let view = self.workers.get(&number);
        if view.is_none_or(|view| view.is_departing() || self.may_be_replaced(view)) {
            return false;
        }
        let checkpoint = if spec.gang {
            step.checkpoint.clone()
        } else {
            task.checkpoint.clone()
        };
        let call = self.new_call();
        let Some(view) = self.workers.get_mut(&number) else {
            return false;
        };
        let token = view.token(term);
        let min_clock_ms = view.min_reply_clock_ms(io.now_ms);
        let lease_until_ms = view.grant(lease_ms, io.now_ms);
        let (Some(min_clock_ms), Some(lease_until_ms)) = (min_clock_ms, lease_until_ms) else {
            return false;
        };
        let Some(run) = view.runs.get_mut(&key) else {
            return false;
        };
        let tries = match run.phase {
            Phase::Sent { tries, .. } => tries + 1,
            _ => 1,
        };
        run.phase = Phase::Sent { token, tries };
        if tries == 1 {
            run.started_ms = io.now_ms;
            run.last_progress_ms = io.now_ms;
            run.began_afresh = checkpoint.is_empty();
        }
        let ticket = run.ticket.clone();
        let worker = view.incarnation();
        self.worker_calls.insert(
            call,
            WorkerCall::Start {
                worker,
                run: key,
                min_clock_ms,
            },
        );
        let request = WorkerRequest::Start {
            run: key,
            payload: job.spec.payload.clone(),
            lease_until_ms,
            token,
            checkpoint,
            ticket,
        };
        let timeout_ms = FIRST_TRY_TIMEOUT_MS << (tries - 1).min(MAX_TRIES);
        self.call_worker(number, call, request, timeout_ms, io);
        true
    }

    /// Handles the reply to a call, or its absence.
    pub fn worker_replied(
        &mut self,
        state: &CellState,
        call: u64,
        reply: &WorkerReply,
        io: &mut Io<'_>,
    ) {
        self.relay_completed(call);
        if let Some(verification) = self.verifications.take(call) {
            return self.verification_replied(state, verification, reply, io);
        }
        let worker_call = match (self.worker_calls.remove(&call), reply) {
            (Some(worker_call), WorkerReply::NoReply) => {
                self.expect_late_report(call, &worker_call, io.now_ms);
                Some(worker_call)
            }
            (None, WorkerReply::Renewed(_)) => self.take_overdue_renewal(call),
            (worker_call, _) => worker_call,
        };
        let Some(worker_call) = worker_call else {
            return;
        };
        match (worker_call, reply) {
            (
                WorkerCall::Renewal {
                    worker,
                    token,
                    acknowledged,
                    ..
                },
                WorkerReply::Renewed(report),
            ) => {
                self.renewed(state, worker, call, (token, acknowledged), report, io);
            }
            (WorkerCall::Renewal { worker, fence, .. }, _) => {
                self.renewal_failed(worker, call, fence, io);
            }
            (
                WorkerCall::Start {
                    worker,
                    run,
                    min_clock_ms,
                },
                reply,
            ) => {
                self.start_replied(state, worker, (run, min_clock_ms), reply, io);
            }
            (
                WorkerCall::ListenCheck {
                    worker,
                    token,
                    acknowledged,
                },
                reply,
            ) => {
                self.listen_checked(worker, call, reply, io);
                if let WorkerReply::Renewed(report) = reply {
                    self.renewed(state, worker, call, (token, acknowledged), report, io);
                }
            }
            (WorkerCall::Stop { worker, run }, reply) => {
                // A refused connection fails at once; the stop is sent again as after one that was heard.
                if !matches!(reply, WorkerReply::Stopped | WorkerReply::NotListening)
                    && let Some(view) = self.incarnation_mut(worker)
                    && let Some(run) = view.runs.get_mut(&run)
                {
                    run.stop_sent_ms = None;
                }
            }
        }
    }

    fn start_replied(
        &mut self,
        state: &CellState,
        worker: WorkerIncarnation,
        (key, min_clock_ms): (RunKey, u64),
        reply: &WorkerReply,
        io: &mut Io<'_>,
    ) {
        let (at_call, term, number) = (self.next_call, self.term, worker.number);
        let Some(view) = self.incarnation_mut(worker) else {
            return;
        };
        let (current, has_room) = (view.token(term), view.has_room_for(&key, io.now_ms));
        let fencing_token = view.fencing_token;
        if matches!(reply, WorkerReply::NoReply | WorkerReply::NotListening) {
            view.missed_calls += 1;
            // The start may still be carried out, even by a later incarnation of the worker, which has
            // no record of the run. Every later call has a higher token, so that it fences the start.
            view.epoch += 1;
        } else {
            view.last_contact_ms = io.now_ms;
            view.missed_calls = 0;
        }
        let Some(run) = view.runs.get_mut(&key) else {
            return;
        };
        let Phase::Sent { token, tries } = run.phase else {
            return;
        };
        match reply {
            WorkerReply::Started {
                clock_ms: Some(clock_ms),
            } if *clock_ms < min_clock_ms => {
                // The clock has started anew: the reply is of a later incarnation, which may have carried
                // out earlier starts too. Only its report shows what runs there.
                view.runs_reported = false;
                view.fence_due = true;
            }
            WorkerReply::Started { clock_ms } => {
                run.phase = Phase::Confirmed { at_call };
                if let Some(clock_ms) = clock_ms {
                    view.update_clock(*clock_ms, io.now_ms);
                }
                self.run_confirmed(state, key, io);
            }
            WorkerReply::Refused(refusal) => {
                self.start_refused(state, number, key, (*refusal, tries, token < current), io);
            }
            WorkerReply::NoReply
            | WorkerReply::NotListening
            | WorkerReply::Stopped
            | WorkerReply::Renewed(_) => {
                // A fencing call that was sent after the start decides its outcome.
                let may_resend = tries < MAX_TRIES && token >= fencing_token && has_room;
                let resent = may_resend && self.send_start(state, number, key, io);
                if !resent && let Some(view) = self.workers.get_mut(&number) {
                    view.fence_due = true;
                }
            }
        }
        self.check_worker(state, number, io);
    }

    fn start_refused(
        &mut self,
        state: &CellState,
        number: WorkerNumber,
        key: RunKey,
        (refusal, tries, stale_token): (StartRefusal, u32, bool),
        io: &mut Io<'_>,
    ) {
        let Some(view) = self.workers.get_mut(&number) else {
            return;
        };
        io.effects.push(Effect::Log {
            level: crate::LogLevel::Warn,
            event: "start_refused",
            fields: vec![
                ("run", key.to_string()),
                ("worker", view.record.id.clone()),
                ("refusal", format!("{refusal:?}")),
                ("tries", tries.to_string()),
            ],
        });
        let has_room = view.has_room_for(&key, io.now_ms);
        match refusal {
            StartRefusal::Unwilling => {
                let now_ms = io.now_ms;
                if self
                    .failed_steps
                    .run_failed(state, key.task, number, now_ms)
                {
                    view.health.add_result(io.now_ms, true);
                }
            }
            StartRefusal::OtherLife => view.runs_reported = false,
            StartRefusal::Ticket => self.drop_ticket(key.task.step, number),
            StartRefusal::Fenced | StartRefusal::Old | StartRefusal::Late | StartRefusal::Room => {}
        }
        // A call under a higher token, which decided the outcome of other starts, has overtaken this one.
        let may_resend = refusal == StartRefusal::Fenced && stale_token && has_room;
        if may_resend && self.send_start(state, number, key, io) {
            return;
        }
        if tries > 1 || refusal == StartRefusal::Old {
            // An earlier copy of the command may have taken effect.
            if let Some(view) = self.workers.get_mut(&number) {
                view.fence_due = true;
            }
        } else {
            self.lose_runs(number, |run, _| *run == key, LossReason::StartRefused, io);
        }
    }

    fn drop_ticket(&mut self, step: StepKey, worker: WorkerNumber) {
        if let Some(advice) = self.advice.get_mut(&step) {
            advice.expire_ticket(worker);
        }
    }

    /// Stops all runs of a step, so that its gang can start again together.
    pub(super) fn stop_step(&mut self, step: StepKey, io: &mut Io<'_>) {
        self.stop_runs(|key| key.task.step == step, io);
    }

    /// Stops runs of tasks that an earlier run has ended.
    pub(super) fn stop_superfluous(&mut self, runs: &[(WorkerNumber, RunKey)], io: &mut Io<'_>) {
        for (number, key) in runs {
            if let Some(view) = self.workers.get_mut(number)
                && let Some(run) = view.runs.get_mut(key)
            {
                run.stopping = true;
                let fields = vec![("run", key.to_string()), ("worker", view.record.id.clone())];
                io.warn("run_superfluous", fields);
            }
            self.stop_due(*number, io);
        }
    }

    /// Stops the runs that match, on all workers.
    pub(super) fn stop_runs(&mut self, is_selected: impl Fn(&RunKey) -> bool, io: &mut Io<'_>) {
        let mut workers = Vec::new();
        for (number, view) in self.workers.iter_mut() {
            let mut found = false;
            let runs = view.runs.iter_mut().filter(|(key, _)| is_selected(key));
            let stop = |run: &mut RunView| !std::mem::replace(&mut run.stopping, true);
            for (_, run) in runs {
                found |= stop(run);
            }
            if found {
                workers.push(*number);
            }
        }
        for number in workers {
            self.stop_due(number, io);
        }
    }
}
