//! Planned ends of workers. A worker ends once it has read the acknowledgement of its deregistration and
//! obeys until then, so its runs are stopped first. `docs/design/worker-departure.md` says what counts
//! as evidence that a worker runs nothing more.

use acaciareel_types::Millis;

use super::{
    Leader,
    worker::{Departure, Phase, WorkerView},
};
use crate::{
    CellState, ControlReply, Deregistration, Origin, WorkerIncarnation, WorkerNumber, io::Io,
};

/// How long a deregistration waits for the ends of the worker's runs. Workers call another VM after a
/// second, and find the stops further advanced then.
const SETTLE_WITHIN_MS: u64 = 900;

/// Time after the first notice of a worker from which its notices are acknowledged although runs are
/// left. It is longer than a stop and two notices, and well within the time for an acknowledgement
/// (`ack_timeout_ms` of the users, 4 s). The acknowledgement lets the worker go and ends no run.
const ACKNOWLEDGE_AFTER_MS: u64 = 2_000;

/// A deregistration that waits for the ends of the worker's runs.
#[derive(Clone, Debug)]
pub(super) struct PendingDeregistration {
    worker: WorkerIncarnation,
    pub origin: Origin,
    received_ms: Millis,
}

impl WorkerView {
    /// Marks the incarnation as ending: its runs are to be stopped, and the outcome of starts under way
    /// is to be decided.
    fn begin_departure(&mut self, now_ms: Millis) {
        if self.departure != Departure::None {
            return;
        }
        self.departure = Departure::Deregistered { since_ms: now_ms };
        for (_, run) in self.runs.iter_mut() {
            run.stopping = true;
            self.fence_due |= matches!(run.phase, Phase::Sent { .. });
        }
    }
}

impl Leader {
    /// Handles a deregistration. It counts if it names the present incarnation; one that names none
    /// counts for a worker that has announced its drain, as each does before its end.
    pub(super) fn deregister(
        &mut self,
        state: &CellState,
        origin: Origin,
        notice: Deregistration,
        io: &mut Io<'_>,
    ) {
        let number = state.worker_by_id(&notice.worker_id);
        let view = number.and_then(|number| self.workers.get_mut(&number));
        let Some(view) = view else {
            return io.reply_control(origin, ControlReply::Done);
        };
        let present_ms = view.record.incarnation_started_ms;
        let ended_ms = notice.incarnation_started_ms;
        let ends = ended_ms.map_or(view.record.draining, |ended_ms| ended_ms == present_ms);
        let fields = vec![
            ("worker", notice.worker_id),
            (
                "incarnation",
                ended_ms.map_or_else(String::new, |ms| ms.to_string()),
            ),
            ("present_incarnation", present_ms.to_string()),
            ("ends", ends.to_string()),
            ("runs", view.runs.len().to_string()),
        ];
        io.log("worker_deregistered", fields);
        if !ends || view.departure == Departure::Replaced {
            return io.reply_control(origin, ControlReply::Done);
        }
        view.begin_departure(io.now_ms);
        let worker = view.incarnation();
        self.pending_deregistrations.push(PendingDeregistration {
            worker,
            origin,
            received_ms: io.now_ms,
        });
        self.check_worker(state, worker.number, io);
        self.answer_deregistrations(state, io);
    }

    /// Acknowledges the deregistrations of workers without runs, and answers those that have waited for
    /// too long. Whatever the answer, only the leases end the runs that are left.
    pub(super) fn answer_deregistrations(&mut self, state: &CellState, io: &mut Io<'_>) {
        for pending in std::mem::take(&mut self.pending_deregistrations) {
            let waited_ms = io.now_ms.saturating_sub(pending.received_ms).0;
            let settled = io.holds_lease && self.has_settled(state, pending.worker);
            let let_go = io.holds_lease && self.must_let_go(pending.worker.number, io.now_ms);
            if !settled && !let_go && waited_ms < SETTLE_WITHIN_MS {
                self.pending_deregistrations.push(pending);
                continue;
            }
            let runs_left = self.runs_left(state, pending.worker.number);
            let fields = vec![
                ("number", pending.worker.number.to_string()),
                ("incarnation", pending.worker.started_ms.to_string()),
                ("acknowledged", (settled || let_go).to_string()),
                ("waited_ms", waited_ms.to_string()),
                ("runs_left", runs_left.to_string()),
            ];
            io.log("deregistration_answered", fields);
            let reply = if settled || let_go {
                ControlReply::Done
            } else {
                ControlReply::Unavailable
            };
            io.reply_control(pending.origin, reply);
        }
    }

    /// Returns whether the ends of all runs of an incarnation are committed.
    fn has_settled(&self, state: &CellState, worker: WorkerIncarnation) -> bool {
        !state.is_current(worker) || self.runs_left(state, worker.number) == 0
    }

    /// Returns whether a worker has tried to end for so long that it is acknowledged with its runs.
    fn must_let_go(&self, number: WorkerNumber, now_ms: Millis) -> bool {
        let view = self.workers.get(&number);
        view.is_some_and(|view| match view.departure {
            Departure::Deregistered { since_ms } => {
                now_ms.saturating_sub(since_ms).0 >= ACKNOWLEDGE_AFTER_MS
            }
            Departure::None | Departure::Replaced => false,
        })
    }

    /// Returns how many runs may be on a worker or are placed there.
    fn runs_left(&self, state: &CellState, number: WorkerNumber) -> usize {
        let view = self.workers.get(&number);
        let known = view.map_or(0, |view| view.runs.len());
        known.max(state.placed_on(number).len())
    }
}
