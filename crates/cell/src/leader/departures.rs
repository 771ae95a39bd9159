//! Planned ends of workers. A worker ends once it has read the acknowledgement of its deregistration and
//! obeys until then, so its runs are stopped first. `docs/design/worker-departure.md` says what counts
//! as evidence that a worker runs nothing more.

use acaciareel_types::Millis;

use super::{
    Leader, WorkerCall,
    relay::CallTarget,
    renewal::REPLY_TIMEOUT_MS,
    worker::{Departure, LossReason, Phase, WorkerView},
};
use crate::{
    CellState, ControlReply, Deregistration, Origin, WorkerIncarnation, WorkerNumber, WorkerReply,
    WorkerRequest, io::Io,
};

/// How long a deregistration waits for the ends of the worker's runs. Workers call another VM after a
/// second, and find the stops further advanced then.
const SETTLE_WITHIN_MS: u64 = 900;
/// Time after the first notice of a worker from which its notices are acknowledged although runs are
/// left. It is longer than a stop and two notices, and well within the time for an acknowledgement
/// (`ack_timeout_ms` of the users, 4 s). The acknowledgement lets the worker go and ends no run.
const ACKNOWLEDGE_AFTER_MS: u64 = 2_000;
/// Longest time between two proofs that a worker hears this VM if a refused connection between them is
/// to be evidence. Cuts are longer.
const PATH_OPEN_MS: u64 = 250;

/// A deregistration that waits for the ends of the worker's runs.
#[derive(Clone, Debug)]
pub(super) struct PendingDeregistration {
    worker: WorkerIncarnation,
    pub origin: Origin,
    received_ms: Millis,
}

/// Evidence that the process of a worker which has deregistered does not listen any more.
///
/// A cut refuses connections as well. So a refused connection counts only between two proofs that the
/// path from this VM to the worker is open: the worker repeats its notice with a number that only a
/// reply of this VM contained.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct ListenCheck {
    /// Time of the first notice to this leader.
    since_ms: Millis,
    /// Call under way to the worker's address.
    call: Option<u64>,
    /// Number in the latest reply that asked for a repetition, after a refused connection; `None` once it
    /// has been repeated, or the worker has reported.
    number: Option<u64>,
    /// Time at which a number was last repeated, if the path has been open since as far as is known.
    heard_ms: Option<Millis>,
}

impl ListenCheck {
    pub fn new(now_ms: Millis) -> Self {
        Self {
            since_ms: now_ms,
            call: None,
            number: None,
            heard_ms: None,
        }
    }

    /// Handles a notice, which may repeat a number. Returns whether the process does not listen.
    pub fn notice_received(&mut self, repeats: Option<u64>, now_ms: Millis) -> bool {
        if repeats.is_none() || repeats != self.number {
            return false;
        }
        self.number = None;
        // Only a call from now on is between this proof and the next one.
        self.call = None;
        let is_recent = |at_ms: Millis| now_ms.saturating_sub(at_ms).0 <= PATH_OPEN_MS;
        self.heard_ms.replace(now_ms).is_some_and(is_recent)
    }

    /// Handles the outcome of the call under way, and returns the number that the worker is to repeat if
    /// the connection was refused.
    pub fn call_ended(&mut self, call: u64, refused: bool) -> Option<u64> {
        if self.call != Some(call) {
            return None;
        }
        self.call = None;
        self.number = refused.then_some(call);
        self.number
    }

    /// Handles a report of the worker, which shows that it listens.
    pub fn report_received(&mut self) {
        self.number = None;
    }

    /// Returns whether the process may not listen, as far as the latest call shows.
    pub fn may_not_listen(&self) -> bool {
        self.call.is_some() || self.number.is_some()
    }
}

impl WorkerView {
    /// Marks the incarnation as ending: its runs are to be stopped, and the outcome of starts under way
    /// is to be decided.
    fn begin_departure(&mut self, now_ms: Millis) {
        if self.departure != Departure::None {
            return;
        }
        self.departure = Departure::Deregistered(ListenCheck::new(now_ms));
        for (_, run) in self.runs.iter_mut() {
            run.stopping = true;
            self.fence_due |= matches!(run.phase, Phase::Sent { .. });
        }
    }

    /// Returns whether stops wait for a sign that the worker listens. Otherwise a worker that leaves and
    /// does not would be called in vain once for each run.
    pub(super) fn holds_stops(&self) -> bool {
        matches!(self.departure, Departure::Deregistered(check) if check.may_not_listen())
    }

    pub(super) fn listen_check_mut(&mut self) -> Option<&mut ListenCheck> {
        match &mut self.departure {
            Departure::Deregistered(check) => Some(check),
            Departure::None | Departure::Replaced => None,
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
            ("repeats", notice.repeats.is_some().to_string()),
            ("runs", view.runs.len().to_string()),
        ];
        io.log("worker_deregistered", fields);
        if !ends || view.departure == Departure::Replaced {
            return io.reply_control(origin, ControlReply::Done);
        }
        view.begin_departure(io.now_ms);
        let worker = view.incarnation();
        let check = view.listen_check_mut();
        if check.is_some_and(|check| check.notice_received(notice.repeats, io.now_ms)) {
            self.lose_runs(worker.number, |_, _| true, LossReason::NotListening, io);
        }
        self.pending_deregistrations.push(PendingDeregistration {
            worker,
            origin,
            received_ms: io.now_ms,
        });
        self.check_listening(worker, io);
        self.check_worker(state, worker.number, io);
        self.answer_deregistrations(state, io);
    }

    /// Calls a worker that leaves, unless such a call is under way or its runs have ended. The call is
    /// this VM's own, as the path from here is to be checked.
    fn check_listening(&mut self, worker: WorkerIncarnation, io: &mut Io<'_>) {
        let call = self.new_call();
        let term = self.term;
        let Some(view) = self.incarnation_mut(worker) else {
            return;
        };
        let (token, acknowledged) = (view.token(term), view.completions_committed);
        let target = CallTarget::new(&view.record, u64::from(worker.number.0));
        let idle = view.runs.is_empty();
        let Some(check) = view.listen_check_mut().filter(|check| check.call.is_none()) else {
            return;
        };
        if idle || !io.holds_lease {
            return;
        }
        check.call = Some(call);
        self.worker_calls.insert(
            call,
            WorkerCall::ListenCheck {
                worker,
                token,
                acknowledged,
            },
        );
        let request = WorkerRequest::Renew {
            lease_until_ms: None,
            token,
            acknowledged,
            wait_ms: 0,
        };
        self.call_directly(target, call, request, REPLY_TIMEOUT_MS, io);
    }

    /// Handles the outcome of such a call. If the connection was refused, the worker is asked to repeat
    /// the notices that wait for an answer.
    pub(super) fn listen_checked(
        &mut self,
        worker: WorkerIncarnation,
        call: u64,
        reply: &WorkerReply,
        io: &mut Io<'_>,
    ) {
        let refused = *reply == WorkerReply::NotListening;
        let view = self.incarnation_mut(worker);
        let check = view.and_then(WorkerView::listen_check_mut);
        let Some(number) = check.and_then(|check| check.call_ended(call, refused)) else {
            return;
        };
        let of_worker = |pending: &mut PendingDeregistration| pending.worker == worker;
        for pending in self.pending_deregistrations.extract_if(.., of_worker) {
            io.reply_control(pending.origin, ControlReply::Repeat(number));
        }
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
            Departure::Deregistered(check) => {
                now_ms.saturating_sub(check.since_ms).0 >= ACKNOWLEDGE_AFTER_MS
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

#[cfg(test)]
mod tests;
