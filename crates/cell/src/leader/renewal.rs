//! Leases of workers: renewals, the reports they return, and lost runs.

use acaciareel_types::Millis;

use super::{
    Leader, WorkerCall, pass,
    worker::{Departure, LossReason, Phase, RenewalDelay, RunView},
};
use crate::{
    CellState, Command, Effect, RenewalReport, RunCompletion, RunKey, RunOutcome,
    WorkerIncarnation, WorkerNumber, WorkerRequest, io::Io, limits::bounded_checkpoint,
    state::jobs_of,
};

/// Longest time for which a worker holds back the reply to a renewal until a run completes. While
/// the leader waits for the reply to a renewal that was lost, it receives no completions, and
/// urgent jobs have only some hundred milliseconds of slack.
const RENEWAL_WAIT_MS: u64 = 300;
/// Added to this time for each worker: with hundreds of workers, renewals without completions would
/// take a large part of the leader's processor.
const RENEWAL_WAIT_PER_WORKER_MS: u64 = 2;
/// Upper bound of the time with these additions; the platform allows 2,000 ms.
const MAX_RENEWAL_WAIT_MS: u64 = 1_800;
/// Time limit of a worker's reply beyond the time for which it may hold back the reply. It covers
/// about 30 ms of round trip and the delays of a leader that runs at a sixth of its speed.
pub(super) const REPLY_TIMEOUT_MS: u64 = 250;
/// Time for which the report that answers an overdue renewal is still read. The worker counts a
/// completion as known once it has listed it, whether the report is in time or not.
const LATE_REPORT_MS: u64 = 5_000;
/// Backoff after a renewal without a reply, multiplied by the number of consecutive ones.
const RETRY_MS: u64 = 150;
/// Longest backoff after a renewal without a reply.
const MAX_RETRY_MS: u64 = 600;
/// Time for which a needed renewal may wait before the delay is logged. It is longer than the longest
/// backoff and a commit.
const RENEWAL_OVERDUE_MS: u64 = 1_500;
/// Consecutive calls without a reply after which the lease is not extended any more. Any of these
/// calls may have reached the worker, so the leader could never be sure that a lease is over if
/// each attempt extended it.
const MAX_MISSED_CALLS_FOR_LEASE: u32 = 2;
/// Added to the longest time of a stop before the stop is sent again.
const STOP_MARGIN_MS: u64 = 100;
/// Time after the end of its leases within which a worker must come back for its crash to count for
/// its runs. Workers are back some seconds after a crash; later, a cut is the likelier cause.
const FORGET_EXPIRED_AFTER_MS: u64 = 5_000;
/// A worker without runs and without contact for this long is removed.
const REMOVE_WORKER_AFTER_MS: u64 = 60_000;

impl Leader {
    /// Sends a renewal if one is needed and none is under way.
    pub(super) fn renew(&mut self, number: WorkerNumber, io: &mut Io<'_>) {
        let workers = self.workers.len() as u64;
        let longest_wait_ms = RENEWAL_WAIT_MS + RENEWAL_WAIT_PER_WORKER_MS * workers;
        let Some(view) = self.workers.get_mut(&number) else {
            return;
        };
        if !io.holds_lease {
            return;
        }
        // Completions are acknowledged by the renewal that follows their commit. An earlier renewal
        // would only list them again.
        let all_committed = view.completions_read == view.completions_committed;
        if !view.needs_renewal()
            || !all_committed
            || view.renewal_call.is_some()
            || io.now_ms < view.next_renewal_ms
        {
            return;
        }
        let may_wait = view.runs_reported && !view.runs.is_empty() && !view.fence_due;
        let wait_ms = if may_wait {
            longest_wait_ms.min(MAX_RENEWAL_WAIT_MS)
        } else {
            0
        };
        if view.fence_due && view.fencing_call.is_none() {
            return self.fence(number, io);
        }
        let call = self.send_renewal(number, wait_ms, false, io);
        if let Some(view) = self.workers.get_mut(&number) {
            view.renewal_call = call;
        }
    }

    /// Sends a renewal under a higher fencing token. Its reply decides the outcome of all starts
    /// that were sent under lower tokens.
    fn fence(&mut self, number: WorkerNumber, io: &mut Io<'_>) {
        let term = self.term;
        let Some(view) = self.workers.get_mut(&number) else {
            return;
        };
        if !io.holds_lease || view.fencing_call.is_some() || io.now_ms < view.next_renewal_ms {
            return;
        }
        view.epoch += 1;
        view.fencing_token = view.token(term);
        view.fence_due = false;
        let call = self.send_renewal(number, 0, true, io);
        if let Some(view) = self.workers.get_mut(&number) {
            view.fencing_call = call;
        }
    }

    fn send_renewal(
        &mut self,
        number: WorkerNumber,
        wait_ms: u64,
        fence: bool,
        io: &mut Io<'_>,
    ) -> Option<u64> {
        let (term, lease_ms) = (self.term, self.bounds.lease_ms);
        let call = self.new_call();
        let view = self.workers.get_mut(&number)?;
        let token = view.token(term);
        let lease_until_ms = if view.runs.is_empty()
            || view.missed_calls >= MAX_MISSED_CALLS_FOR_LEASE
            || view.is_deregistered()
        {
            None
        } else {
            view.grant(lease_ms, io.now_ms)
        };
        let acknowledged = view.completions_committed;
        let worker = view.incarnation();
        self.worker_calls.insert(
            call,
            WorkerCall::Renewal {
                worker,
                token,
                acknowledged,
                fence,
            },
        );
        let request = WorkerRequest::Renew {
            lease_until_ms,
            token,
            acknowledged,
            wait_ms,
        };
        self.call_worker(number, call, request, wait_ms + REPLY_TIMEOUT_MS, io);
        Some(call)
    }

    /// Keeps a renewal without a reply in time, so that a late report can still be read.
    pub(super) fn expect_late_report(&mut self, call: u64, renewal: &WorkerCall, now_ms: Millis) {
        if matches!(renewal, WorkerCall::Renewal { .. }) {
            let until_ms = now_ms.saturating_add(Millis(LATE_REPORT_MS));
            self.overdue_renewals
                .insert(call, (renewal.clone(), until_ms));
        }
    }

    pub(super) fn take_overdue_renewal(&mut self, call: u64) -> Option<WorkerCall> {
        let renewal = self.overdue_renewals.remove(&call);
        renewal.map(|(renewal, _)| renewal)
    }

    pub(super) fn forget_overdue_renewals(&mut self, now_ms: Millis) {
        self.overdue_renewals
            .retain(|_, (_, until_ms)| now_ms < *until_ms);
    }

    /// Handles a renewal without a reply: extends the backoff and logs the worker as unresponsive
    /// after two calls.
    pub(super) fn renewal_failed(
        &mut self,
        worker: WorkerIncarnation,
        call: u64,
        fence: bool,
        io: &mut Io<'_>,
    ) {
        let Some(view) = self.incarnation_mut(worker) else {
            return;
        };
        clear_call(&mut view.renewal_call, call);
        clear_call(&mut view.fencing_call, call);
        view.fence_due |= fence;
        view.missed_calls += 1;
        let pause_ms = (RETRY_MS * u64::from(view.missed_calls)).min(MAX_RETRY_MS);
        view.next_renewal_ms = io.now_ms.saturating_add(Millis(pause_ms));
        if view.missed_calls == 2 {
            let age_ms = io.now_ms.saturating_sub(view.last_contact_ms).0;
            io.warn(
                "worker_silent",
                vec![
                    ("worker", view.record.id.clone()),
                    ("runs", view.runs.len().to_string()),
                    ("last_news_ms", age_ms.to_string()),
                ],
            );
        }
    }

    /// Handles the report that a worker returns for a renewal. A report of another incarnation is
    /// not used.
    pub(super) fn renewed(
        &mut self,
        state: &CellState,
        worker: WorkerIncarnation,
        call: u64,
        (token, acknowledged): (u64, u64),
        report: &RenewalReport,
        io: &mut Io<'_>,
    ) {
        let number = worker.number;
        let Some(view) = self.incarnation_mut(worker) else {
            return;
        };
        clear_call(&mut view.renewal_call, call);
        clear_call(&mut view.fencing_call, call);
        if let Some(reported_ms) = report.incarnation_started_ms
            && reported_ms != worker.started_ms
        {
            // The call went to an incarnation that had been verified before, so that this one is later,
            // whatever start it names. One that has been verified meanwhile is later still.
            if view.departure != Departure::Replaced {
                let mut record = view.record.clone();
                record.incarnation_started_ms = reported_ms;
                record.sequence = 0;
                // The drain belongs to the incarnation that announced it.
                record.draining = false;
                view.departure = Departure::Replaced;
                io.commands.push(Command::Worker(record));
            }
            view.next_renewal_ms = io.now_ms.saturating_add(Millis(RETRY_MS));
            return;
        }
        if view.missed_calls >= 2 {
            io.log("worker_back", vec![("worker", view.record.id.clone())]);
        }
        view.last_contact_ms = io.now_ms;
        view.missed_calls = 0;
        view.next_renewal_ms = Millis(0);
        view.update_clock(report.clock_ms, io.now_ms);
        view.completions_acknowledged = view.completions_acknowledged.max(acknowledged);
        if let Some(check) = view.listen_check_mut() {
            check.report_received();
        }
        let first = !std::mem::replace(&mut view.runs_reported, true);
        if first {
            view.progress.first_reported(io.now_ms);
        }
        if first && view.completions_read == 0 {
            // Completions that an earlier leader acknowledged are not listed again.
            let before = report
                .completions
                .first()
                .map_or(0, |(number, _)| number - 1);
            view.completions_read = before;
            view.completions_committed = before;
            view.completions_acknowledged = before;
        }
        self.read_completions(state, number, report, io);
        self.read_running(state, number, report, io);
        // Whether the report decides that a run it does not contain is not at the worker.
        let decided = |run: &RunView| match run.phase {
            Phase::Sent { token: sent, .. } => sent < token,
            Phase::Confirmed { at_call } => at_call < call,
            Phase::Proposed | Phase::Committed | Phase::Unexpected => false,
        };
        let missing = |key: &RunKey, run: &RunView| decided(run) && report.rules_out(*key);
        self.lose_runs(number, missing, LossReason::NotAtWorker, io);
        self.stop_due(number, io);
        self.renew(number, io);
        self.pass_due = true;
    }

    /// Removes completed runs from the worker, which frees their capacity, and proposes the new
    /// completions for commit.
    fn read_completions(
        &mut self,
        state: &CellState,
        number: WorkerNumber,
        report: &RenewalReport,
        io: &mut Io<'_>,
    ) {
        let Some(view) = self.workers.get_mut(&number) else {
            return;
        };
        let new: Vec<_> = report
            .completions
            .iter()
            .filter(|(completion_number, _)| *completion_number > view.completions_read)
            .map(|(completion_number, completion)| {
                let checkpoint = bounded_checkpoint(&completion.checkpoint).to_owned();
                let completion = RunCompletion {
                    checkpoint,
                    ..*completion
                };
                (*completion_number, completion)
            })
            .collect();
        let Some((through, _)) = new.last() else {
            return;
        };
        let through = *through;
        view.completions_read = through;
        if !report.lists_all_completions {
            let fields = vec![
                ("worker", view.record.id.clone()),
                ("listed", report.completions.len().to_string()),
                ("through", through.to_string()),
            ];
            io.log("completions_incomplete", fields);
        }
        let mut completions = Vec::with_capacity(new.len());
        let mut failed_jobs = Vec::new();
        for (_, completion) in new {
            let run = view.runs.remove(&completion.run);
            let took_ms = run.as_ref();
            let took_ms = took_ms.map(|run| io.now_ms.saturating_sub(run.started_ms).0);
            io.effects.push(Effect::Log {
                level: crate::LogLevel::Info,
                event: "run_ended",
                fields: vec![
                    ("run", completion.run.to_string()),
                    ("worker", view.record.id.clone()),
                    ("kind", format!("{:?}", completion.outcome)),
                    ("took_ms", took_ms.unwrap_or_default().to_string()),
                    ("end", through.to_string()),
                ],
            });
            if completion.outcome != RunOutcome::Interrupted {
                view.progress.run_ended(io.now_ms);
            }
            let task = completion.run.task;
            match completion.outcome {
                RunOutcome::Failed => {
                    let may_be_cause = self.failed_steps.run_failed(state, task, number, io.now_ms);
                    // Tasks of one job that fail together count once, because the job may be the cause.
                    if may_be_cause && !failed_jobs.contains(&task.step.job) {
                        failed_jobs.push(task.step.job);
                        view.health.add_result(io.now_ms, true);
                    }
                }
                RunOutcome::Done => {
                    self.failed_steps.add_success(task.step);
                    view.health.add_result(io.now_ms, false);
                }
                RunOutcome::Interrupted => {}
            }
            completions.push((completion, run));
        }
        view.recompute_free();
        let worker = view.incarnation();
        for (completion, run) in &completions {
            if let Some(run) = run {
                let ended = (completion.run, run);
                self.record_completion(state, number, ended, completion.outcome, io);
            }
        }
        self.status_queries.completions_proposed(jobs_of(
            completions.iter().map(|(completion, _)| completion.run),
        ));
        io.commands.push(Command::Completions {
            worker,
            through,
            completions: completions
                .into_iter()
                .map(|(completion, _)| completion)
                .collect(),
            at_unix_ms: io.unix_ms,
        });
    }

    /// Updates the progress of the reported runs, confirms their starts, and stops runs that this
    /// leader did not place on the worker.
    fn read_running(
        &mut self,
        state: &CellState,
        number: WorkerNumber,
        report: &RenewalReport,
        io: &mut Io<'_>,
    ) {
        let at_call = self.next_call;
        let Some(view) = self.workers.get_mut(&number) else {
            return;
        };
        view.runs
            .retain(|key, run| run.phase != Phase::Unexpected || !report.rules_out(*key));
        let mut confirmed = Vec::new();
        for reported in &report.running {
            if let Some(run) = view.runs.get_mut(&reported.run) {
                if matches!(run.phase, Phase::Sent { .. }) {
                    run.phase = Phase::Confirmed { at_call };
                    confirmed.push(reported.run);
                }
                if run.percent != reported.percent {
                    run.percent = reported.percent;
                    run.last_progress_ms = io.now_ms;
                    view.progress.run_advanced();
                }
                let checkpoint = bounded_checkpoint(&reported.checkpoint);
                if run.checkpoint != checkpoint {
                    checkpoint.clone_into(&mut run.checkpoint);
                    run.last_checkpoint_ms = Some(io.now_ms);
                }
                continue;
            }
            let key = reported.run.task;
            confirmed.push(reported.run);
            let job = state.job(key.step.job);
            let demand = job.and_then(|job| job.step_spec(key.step));
            let demand = demand.map_or(view.record.capacity, pass::counted_demand);
            let mut run = RunView::new(demand, Phase::Unexpected, None, io.now_ms);
            run.stopping = true;
            run.charge = job.and_then(|job| {
                let spec = job.step_spec(key.step);
                self.tenants.charge(job, spec)
            });
            view.runs.insert(reported.run, run);
            io.effects.push(Effect::Log {
                level: crate::LogLevel::Warn,
                event: "run_not_placed_here",
                fields: vec![
                    ("run", reported.run.to_string()),
                    ("worker", view.record.id.clone()),
                ],
            });
        }
        view.recompute_free();
        for run in confirmed {
            self.run_confirmed(state, run, io);
        }
    }

    /// Removes the runs for which `has_ended` holds and proposes them as lost. Only runs that
    /// cannot be running on the worker any more, or never started, may be passed. Proposed runs
    /// stay; runs that this leader did not place are only removed.
    pub(super) fn lose_runs(
        &mut self,
        number: WorkerNumber,
        has_ended: impl Fn(&RunKey, &RunView) -> bool,
        reason: LossReason,
        io: &mut Io<'_>,
    ) {
        let Some(view) = self.workers.get_mut(&number) else {
            return;
        };
        let mut lost = Vec::new();
        view.runs.retain(|key, run| {
            let is_lost = run.phase != Phase::Proposed && has_ended(key, run);
            if is_lost && run.phase != Phase::Unexpected {
                let confirmed = matches!(run.phase, Phase::Confirmed { .. });
                lost.push((*key, run.checkpoint.clone(), confirmed));
                if confirmed && run.began_afresh {
                    let ran_ms = view.last_contact_ms.saturating_sub(run.started_ms).0;
                    self.lost_runs.push((*key, number, ran_ms));
                }
            }
            !is_lost
        });
        view.recompute_free();
        if lost.is_empty() {
            return;
        }
        let age_ms = io.now_ms.saturating_sub(view.last_contact_ms).0;
        for (key, _, _) in &lost {
            io.effects.push(Effect::Log {
                level: crate::LogLevel::Warn,
                event: "run_lost",
                fields: vec![
                    ("run", key.to_string()),
                    ("worker", view.record.id.clone()),
                    ("reason", reason.as_str().to_owned()),
                    ("last_news_ms", age_ms.to_string()),
                ],
            });
        }
        let worker = view.incarnation();
        io.commands.push(if reason == LossReason::LeaseExpired {
            Command::LeaseExpired { worker, runs: lost }
        } else {
            let runs = lost.into_iter();
            let runs = runs.map(|(key, checkpoint, _)| (key, checkpoint)).collect();
            let worker = number;
            Command::Lost { worker, runs }
        });
    }

    /// Handles everything that is due for a worker: expired leases, stalled runs, stops and
    /// renewals. Removes a worker without runs and contact.
    pub(super) fn check_worker(
        &mut self,
        state: &CellState,
        number: WorkerNumber,
        io: &mut Io<'_>,
    ) {
        let Some(view) = self.workers.get_mut(&number) else {
            return;
        };
        if view.missed_calls > 0 && view.counts_as_expired(io.now_ms) {
            self.lose_runs(number, |_, _| true, LossReason::LeaseExpired, io);
        }
        self.forget_expired(state, number, io);
        self.stop_stalled(state, number, io);
        self.send_committed(state, number, io);
        self.stop_due(number, io);
        let fence_due = self.workers.get(&number).is_some_and(|view| view.fence_due);
        if fence_due {
            self.fence(number, io);
        }
        self.renew(number, io);
        self.log_overdue_renewal(number, io);
        if let Some(view) = self.workers.get(&number) {
            let since_contact_ms = io.now_ms.saturating_sub(view.last_contact_ms).0;
            if view.runs.is_empty() && since_contact_ms > REMOVE_WORKER_AFTER_MS {
                io.commands.push(Command::RemoveWorker(view.incarnation()));
            }
        }
    }

    /// Logs a worker to which no renewal is sent although one is needed.
    fn log_overdue_renewal(&mut self, number: WorkerNumber, io: &mut Io<'_>) {
        let Some(view) = self.workers.get_mut(&number) else {
            return;
        };
        let under_way = view.renewal_call.is_some() || view.fencing_call.is_some();
        if !io.holds_lease || under_way || !view.needs_renewal() {
            view.renewal_delay = RenewalDelay::None;
            return;
        }
        let waited_ms = match view.renewal_delay {
            RenewalDelay::None => {
                view.renewal_delay = RenewalDelay::Since(io.now_ms);
                return;
            }
            RenewalDelay::Since(since_ms) => io.now_ms.saturating_sub(since_ms).0,
            RenewalDelay::Logged => return,
        };
        if waited_ms < RENEWAL_OVERDUE_MS {
            return;
        }
        view.renewal_delay = RenewalDelay::Logged;
        let fields = vec![
            ("worker", view.record.id.clone()),
            (
                "incarnation",
                view.record.incarnation_started_ms.to_string(),
            ),
            ("runs", view.runs.len().to_string()),
            ("waited_ms", waited_ms.to_string()),
            ("completions_read", view.completions_read.to_string()),
            (
                "completions_committed",
                view.completions_committed.to_string(),
            ),
            ("missed_calls", view.missed_calls.to_string()),
        ];
        io.warn("renewal_overdue", fields);
    }

    /// Forgets the runs that ended with their lease if their worker does not come back soon.
    fn forget_expired(&mut self, state: &CellState, number: WorkerNumber, io: &mut Io<'_>) {
        let Some(view) = self.workers.get_mut(&number) else {
            return;
        };
        if !state.has_expired_runs(number) {
            view.expired_since_ms = None;
            return;
        }
        let since_ms = *view.expired_since_ms.get_or_insert(io.now_ms);
        if io.now_ms.saturating_sub(since_ms).0 > FORGET_EXPIRED_AFTER_MS {
            view.expired_since_ms = None;
            io.commands.push(Command::ForgetExpired(view.incarnation()));
        }
    }

    /// Sends the stops that are due on a worker. A stop is sent again after the longest time of a
    /// stop.
    pub(super) fn stop_due(&mut self, number: WorkerNumber, io: &mut Io<'_>) {
        let (term, retry_ms) = (self.term, self.bounds.stop_ms + STOP_MARGIN_MS);
        let Some(view) = self.workers.get_mut(&number) else {
            return;
        };
        if !io.holds_lease || !view.runs_reported || view.holds_stops() {
            return;
        }
        let token = view.token(term);
        let mut due = Vec::new();
        for (key, run) in view.runs.iter_mut() {
            let again = run
                .stop_sent_ms
                .is_none_or(|at_ms| io.now_ms.saturating_sub(at_ms).0 > retry_ms);
            let sent = !matches!(run.phase, Phase::Proposed | Phase::Committed);
            if run.stopping && sent && again {
                run.stop_sent_ms = Some(io.now_ms);
                due.push(*key);
            }
        }
        let worker = view.incarnation();
        for run in due {
            let call = self.new_call();
            self.worker_calls
                .insert(call, WorkerCall::Stop { worker, run });
            let request = WorkerRequest::Stop { run, token };
            self.call_worker(number, call, request, REPLY_TIMEOUT_MS, io);
        }
    }
}

fn clear_call(slot: &mut Option<u64>, call: u64) {
    if *slot == Some(call) {
        *slot = None;
    }
}
