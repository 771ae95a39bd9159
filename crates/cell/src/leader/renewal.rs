//! Leases of workers: renewals, what they report, and runs that are given up.

use acaciareel_types::Millis;

use super::{Call, Leader, pass, worker::Phase, worker::RunView};
use crate::{
    CellState, Command, Effect, RenewalReport, RunKey, RunOutcome, WorkerNumber, WorkerRequest,
    io::Io, state::jobs_of,
};

/// How long a renewal waits at the worker for the next end. Ends are not seen while a renewal that
/// was lost is waited for, and urgent jobs have some hundred milliseconds to spare.
const RENEWAL_WAIT_MS: u64 = 500;
/// Further wait for each worker: with hundreds of workers, renewals without news would take a
/// large part of the leader's processor.
const RENEWAL_WAIT_FOR_EACH_WORKER_MS: u64 = 4;
/// Longest wait of a renewal; the platform allows 2,000 ms.
const MAX_RENEWAL_WAIT_MS: u64 = 1_800;
/// Longest wait for the reply of a worker beyond the wait that was asked for: some 30 ms of round
/// trip and the delays of a leader that is slowed to a sixth.
const REPLY_TIMEOUT_MS: u64 = 250;
/// Pause after a renewal without a reply, times the number of those in a row.
const RETRY_MS: u64 = 150;
/// Longest pause after a renewal without a reply.
const MAX_RETRY_MS: u64 = 600;
/// Calls without a reply in a row after which the lease is not extended any more. Each call might
/// reach the worker, so a lease that every attempt extends would never be known to be over.
const GRANTING_CALLS: u32 = 2;
/// How long a worker that has said that it ended may take to end.
const DEREGISTERED_GRACE_MS: u64 = 1_000;
/// A run whose progress stands still this long is stopped and placed elsewhere. The slowest
/// sound tasks of 85 s advance by one percent within it several times.
const STALLED_MS: u64 = 4_000;
/// Added to the longest time of a stop before it is sent again.
const STOP_MARGIN_MS: u64 = 100;
/// A worker that is silent this long, and has no runs, is forgotten.
const FORGET_WORKER_MS: u64 = 60_000;

impl Leader {
    /// Sends a renewal if one is needed and none is under way.
    pub(super) fn renew(&mut self, number: WorkerNumber, io: &mut Io<'_>) {
        let workers = self.workers.len() as u64;
        let longest_wait_ms = RENEWAL_WAIT_MS + RENEWAL_WAIT_FOR_EACH_WORKER_MS * workers;
        let Some(view) = self.workers.get_mut(&number) else {
            return;
        };
        if !io.leads {
            return;
        }
        let needed =
            !view.listed || !view.runs.is_empty() || view.ends_committed > view.ends_acknowledged;
        // Ends that were read are acknowledged by the renewal after their commit; an earlier one
        // would only list them again.
        let settled = view.ends_read == view.ends_committed;
        if !needed || !settled || view.renewal.is_some() || io.now_ms < view.next_renewal_ms {
            return;
        }
        let wait_ms = if view.listed && !view.runs.is_empty() && !view.fence_due {
            longest_wait_ms.min(MAX_RENEWAL_WAIT_MS)
        } else {
            0
        };
        if view.fence_due && view.fencing.is_none() {
            return self.fence(number, io);
        }
        let call = self.send_renewal(number, wait_ms, false, io);
        if let Some(view) = self.workers.get_mut(&number) {
            view.renewal = call;
        }
    }

    /// Calls a worker under a higher token, so that its reply settles what became of starts.
    fn fence(&mut self, number: WorkerNumber, io: &mut Io<'_>) {
        let Some(view) = self.workers.get_mut(&number) else {
            return;
        };
        if !io.leads || view.fencing.is_some() || io.now_ms < view.next_renewal_ms {
            return;
        }
        view.epoch += 1;
        view.fence_due = false;
        let call = self.send_renewal(number, 0, true, io);
        if let Some(view) = self.workers.get_mut(&number) {
            view.fencing = call;
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
        let call = self.take_call();
        let view = self.workers.get_mut(&number)?;
        let token = view.token(term);
        let lease_until_ms = if view.runs.is_empty() || view.missed_calls >= GRANTING_CALLS {
            None
        } else {
            view.grant(lease_ms, io.now_ms)
        };
        let acknowledged = view.ends_committed;
        let incarnation_started_ms = view.record.incarnation_started_ms;
        self.calls.insert(
            call,
            Call::Renewal {
                worker: number,
                token,
                incarnation_started_ms,
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

    /// Handles a renewal without a reply.
    pub(super) fn renewal_failed(
        &mut self,
        number: WorkerNumber,
        call: u64,
        fence: bool,
        io: &mut Io<'_>,
    ) {
        let Some(view) = self.workers.get_mut(&number) else {
            return;
        };
        clear_call(&mut view.renewal, call);
        clear_call(&mut view.fencing, call);
        view.fence_due |= fence;
        view.missed_calls += 1;
        let pause_ms = (RETRY_MS * u64::from(view.missed_calls)).min(MAX_RETRY_MS);
        view.next_renewal_ms = io.now_ms.saturating_add(Millis(pause_ms));
        if view.missed_calls == 2 {
            let age_ms = io.now_ms.saturating_sub(view.heard_ms).0;
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

    /// Handles what a worker reports.
    #[allow(
        clippy::too_many_arguments,
        reason = "fields of the call that is answered"
    )]
    pub(super) fn renewed(
        &mut self,
        state: &CellState,
        number: WorkerNumber,
        call: u64,
        (token, incarnation_started_ms, acknowledged): (u64, u64, u64),
        report: &RenewalReport,
        io: &mut Io<'_>,
    ) {
        let Some(view) = self.workers.get_mut(&number) else {
            return;
        };
        clear_call(&mut view.renewal, call);
        clear_call(&mut view.fencing, call);
        if view.record.incarnation_started_ms != incarnation_started_ms {
            return;
        }
        if let Some(reported_ms) = report.incarnation_started_ms
            && reported_ms != incarnation_started_ms
        {
            if reported_ms > incarnation_started_ms {
                let mut record = view.record.clone();
                record.incarnation_started_ms = reported_ms;
                io.commands.push(Command::Worker(record));
            }
            view.next_renewal_ms = io.now_ms.saturating_add(Millis(RETRY_MS));
            return;
        }
        if view.missed_calls >= 2 {
            io.log("worker_back", vec![("worker", view.record.id.clone())]);
        }
        view.heard_ms = io.now_ms;
        view.missed_calls = 0;
        view.next_renewal_ms = Millis(0);
        view.read_clock(report.clock_ms, io.now_ms);
        view.ends_acknowledged = view.ends_acknowledged.max(acknowledged);
        let first = !std::mem::replace(&mut view.listed, true);
        if first && view.ends_read == 0 {
            // The ends that an earlier leader acknowledged are not listed again.
            let before = report
                .completions
                .first()
                .map_or(0, |(number, _)| number - 1);
            view.ends_read = before;
            view.ends_committed = before;
            view.ends_acknowledged = before;
        }
        self.read_ends(state, number, report, io);
        self.read_running(state, number, report, io);
        let settled = |run: &RunView| match run.phase {
            Phase::Sent { token: sent, .. } => sent < token,
            Phase::Confirmed { at_call } => at_call < call,
            Phase::Proposed | Phase::Committed | Phase::Foreign => false,
        };
        let listed = |key: &RunKey| report.running.iter().any(|run| run.run == *key);
        let gone = |key: &RunKey, run: &RunView| settled(run) && !listed(key);
        self.lose_runs(number, gone, "not_at_worker", io);
        self.stop_due(number, io);
        self.renew(number, io);
        self.pass_due = true;
    }

    /// Takes the ends that are new, frees their room and proposes them for commit.
    fn read_ends(
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
            .filter(|(end_number, _)| *end_number > view.ends_read)
            .cloned()
            .collect();
        let Some((through, _)) = new.last() else {
            return;
        };
        let through = *through;
        view.ends_read = through;
        let mut ends = Vec::with_capacity(new.len());
        let mut failed_job = None;
        for (_, end) in new {
            let run = view.runs.remove(&end.run);
            let took_ms = run.map(|run| io.now_ms.saturating_sub(run.began_ms).0);
            io.effects.push(Effect::Log {
                level: crate::LogLevel::Info,
                event: "run_ended",
                fields: vec![
                    ("run", end.run.to_string()),
                    ("worker", view.record.id.clone()),
                    ("kind", format!("{:?}", end.outcome)),
                    ("took_ms", took_ms.unwrap_or_default().to_string()),
                    ("end", through.to_string()),
                ],
            });
            match end.outcome {
                // Tasks of one job that fail together count once: the job may be to blame.
                RunOutcome::Failed if failed_job == Some(end.run.task.step.job) => {}
                RunOutcome::Failed => {
                    failed_job = Some(end.run.task.step.job);
                    view.health.note(io.now_ms, true);
                }
                RunOutcome::Done => view.health.note(io.now_ms, false),
                RunOutcome::Interrupted => {}
            }
            ends.push((end, took_ms));
        }
        view.recount();
        for (end, took_ms) in &ends {
            if end.outcome == RunOutcome::Done
                && let Some(took_ms) = *took_ms
                && let Some(job) = state.job(end.run.task.step.job)
            {
                self.run_times.note(&job.queue.name, took_ms);
            }
        }
        self.looks
            .ends_proposed(jobs_of(ends.iter().map(|(end, _)| end.run)));
        io.commands.push(Command::Completions {
            worker: number,
            through,
            completions: ends.into_iter().map(|(end, _)| end).collect(),
            at_unix_ms: io.unix_ms,
        });
    }

    /// Notes progress, confirms starts, and finds runs that should not be there.
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
        let listed = |key: &RunKey| report.running.iter().any(|run| run.run == *key);
        view.runs
            .retain(|key, run| run.phase != Phase::Foreign || listed(key));
        for reported in &report.running {
            if let Some(run) = view.runs.get_mut(&reported.run) {
                if matches!(run.phase, Phase::Sent { .. }) {
                    run.phase = Phase::Confirmed { at_call };
                }
                if run.percent != reported.percent {
                    run.percent = reported.percent;
                    run.progress_ms = io.now_ms;
                }
                run.checkpoint.clone_from(&reported.checkpoint);
                continue;
            }
            let key = reported.run.task;
            let job = state.job(key.step.job);
            let demand = job.and_then(|job| job.step_spec(key.step));
            let demand = demand.map_or(view.record.capacity, pass::counted_demand);
            let mut run = RunView::new(demand, Phase::Foreign, None, io.now_ms);
            run.stopping = true;
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
        view.recount();
    }

    /// Gives up runs of a worker: they certainly run no more there, or never did.
    pub(super) fn lose_runs(
        &mut self,
        number: WorkerNumber,
        gone: impl Fn(&RunKey, &RunView) -> bool,
        reason: &'static str,
        io: &mut Io<'_>,
    ) {
        let Some(view) = self.workers.get_mut(&number) else {
            return;
        };
        let mut lost = Vec::new();
        view.runs.retain(|key, run| {
            let is_lost = run.phase != Phase::Proposed && gone(key, run);
            if is_lost && run.phase != Phase::Foreign {
                lost.push((*key, run.checkpoint.clone()));
            }
            !is_lost
        });
        view.recount();
        if lost.is_empty() {
            return;
        }
        let age_ms = io.now_ms.saturating_sub(view.heard_ms).0;
        for (key, _) in &lost {
            io.effects.push(Effect::Log {
                level: crate::LogLevel::Warn,
                event: "run_lost",
                fields: vec![
                    ("run", key.to_string()),
                    ("worker", view.record.id.clone()),
                    ("reason", reason.to_owned()),
                    ("last_news_ms", age_ms.to_string()),
                ],
            });
        }
        io.commands.push(Command::Lost {
            worker: number,
            runs: lost,
        });
    }

    /// Does what is due for a worker: leases that are over, stalled runs, stops, renewals.
    pub(super) fn check_worker(
        &mut self,
        state: &CellState,
        number: WorkerNumber,
        io: &mut Io<'_>,
    ) {
        let Some(view) = self.workers.get_mut(&number) else {
            return;
        };
        let ended = view.deregistered_ms.is_some_and(|at_ms| {
            io.now_ms.saturating_sub(at_ms).0 > DEREGISTERED_GRACE_MS && view.missed_calls > 0
        });
        let silent = view.missed_calls > 0 && view.lease_is_over(io.now_ms);
        if ended || silent {
            let reason = if ended { "worker_ended" } else { "lease_over" };
            self.lose_runs(number, |_, _| true, reason, io);
        }
        self.stop_stalled(number, io);
        self.send_committed(state, number, io);
        self.stop_due(number, io);
        let fence_due = self.workers.get(&number).is_some_and(|view| view.fence_due);
        if fence_due {
            self.fence(number, io);
        }
        self.renew(number, io);
        let forget = self.workers.get(&number).is_some_and(|view| {
            let silent_ms = io.now_ms.saturating_sub(view.heard_ms).0;
            view.runs.is_empty() && silent_ms > FORGET_WORKER_MS
        });
        if forget {
            io.commands.push(Command::RemoveWorker(number));
        }
    }

    fn stop_stalled(&mut self, number: WorkerNumber, io: &mut Io<'_>) {
        let Some(view) = self.workers.get_mut(&number) else {
            return;
        };
        if view.missed_calls > 0 {
            return;
        }
        let mut stalled = false;
        for (key, run) in view.runs.iter_mut() {
            let still_ms = io.now_ms.saturating_sub(run.progress_ms).0;
            let confirmed = matches!(run.phase, Phase::Confirmed { .. });
            if confirmed && !run.stopping && still_ms > STALLED_MS {
                run.stopping = true;
                stalled = true;
                io.effects.push(Effect::Log {
                    level: crate::LogLevel::Warn,
                    event: "run_stalled",
                    fields: vec![
                        ("run", key.to_string()),
                        ("worker", view.record.id.clone()),
                        ("percent", run.percent.to_string()),
                        ("still_ms", still_ms.to_string()),
                    ],
                });
            }
        }
        if stalled {
            view.health.note(io.now_ms, true);
        }
    }

    /// Sends the stops that are due on a worker.
    pub(super) fn stop_due(&mut self, number: WorkerNumber, io: &mut Io<'_>) {
        let (term, retry_ms) = (self.term, self.bounds.stop_ms + STOP_MARGIN_MS);
        let Some(view) = self.workers.get_mut(&number) else {
            return;
        };
        if !io.leads || !view.listed {
            return;
        }
        let token = view.token(term);
        let mut due = Vec::new();
        for (key, run) in view.runs.iter_mut() {
            let again = run
                .stop_ms
                .is_none_or(|at_ms| io.now_ms.saturating_sub(at_ms).0 > retry_ms);
            let sent = !matches!(run.phase, Phase::Proposed | Phase::Committed);
            if run.stopping && sent && again {
                run.stop_ms = Some(io.now_ms);
                due.push(*key);
            }
        }
        for run in due {
            let call = self.take_call();
            let stop = Call::Stop {
                worker: number,
                run,
            };
            self.calls.insert(call, stop);
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
