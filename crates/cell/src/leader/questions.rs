//! Questions to the policy service: which workers they name, when they are asked, and the answers.

use acaciareel_types::{Millis, VmId};

use super::{
    AdviceCall, Leader, StepAdvice,
    advice::{ANSWER_GRACE_MS, ANSWER_LIMIT_MS, RETRY_MS, Ticket, call_ms},
    pass::{Room, counted_demand},
};
use crate::{
    AdviceCost, AdviceRequest, AdviceResponse, Effect, JobId, JobSpec, PeerMessage, QueueRow,
    StepKey, StepSpec, WorkerNumber, io::Io,
};

/// Workers that one call for advice names. A call takes longer for each.
const ASKED: usize = 48;
/// Most workers that one call names (bound of the platform).
pub(super) const MAX_ASKED: usize = 100;
/// Workers that are asked about for each task of a gang: a third is allowed, and of these few have
/// room for a task.
const ASKED_FOR_GANG_TASK: usize = 5;
/// Pause before a step asks about further workers; room is more likely to come on known ones. A
/// gang makes no such pause: it needs room on many workers at once, and lacks workers.
const WIDEN_PAUSE_MS: u64 = 1_500;

/// Returns a number that orders workers differently for each step (FNV-1a over both).
fn scatter(key: StepKey, worker: WorkerNumber) -> u64 {
    let bytes = [key.job.0, u64::from(key.step), u64::from(worker.0)];
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, part| {
        (hash ^ part).wrapping_mul(0x0100_0000_01b3)
    })
}

impl Leader {
    /// Returns whether a step may ask about workers that it has not asked about, and a VM would
    /// take the call. The choice of workers costs much more than this check, and in a burst
    /// hundreds of steps wait for a VM.
    pub(super) fn may_ask(&self, key: StepKey, cost: &AdviceCost, now_ms: Millis) -> bool {
        let step_may_ask = self.advice.get(&key).is_none_or(|advice| {
            let first = advice.asked.is_empty();
            advice.call.is_none()
                && now_ms >= advice.not_before_ms
                && (first || now_ms >= advice.widen_ms)
        });
        step_may_ask && self.callers.can_take(cost, now_ms)
    }

    /// Returns workers that a step has not asked about: those with room before the others, and
    /// among them other ones for each step, so that steps do not all wait for the same workers.
    pub(super) fn unasked(
        &mut self,
        spec: &StepSpec,
        key: StepKey,
        queue: &QueueRow,
        room: &Room,
    ) -> Vec<WorkerNumber> {
        self.questions_composed += 1;
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
        let most = if spec.gang {
            (spec.tasks as usize * ASKED_FOR_GANG_TASK).clamp(ASKED, MAX_ASKED)
        } else {
            ASKED
        };
        if unasked.len() > most {
            unasked.select_nth_unstable(most);
            unasked.truncate(most);
        }
        unasked.sort_unstable();
        unasked.into_iter().map(|(_, _, number)| number).collect()
    }

    /// Lets a step that has asked about every worker wait before it looks for new ones.
    pub(super) fn pause_widening(&mut self, key: StepKey, now_ms: Millis) {
        if let Some(advice) = self.advice.get_mut(&key) {
            advice.widen_ms = now_ms.saturating_add(Millis(WIDEN_PAUSE_MS));
        }
    }

    /// Asks about the first steps of a job while its acceptance is being committed.
    pub(super) fn ask_early(
        &mut self,
        id: JobId,
        queue: &QueueRow,
        spec: &JobSpec,
        io: &mut Io<'_>,
    ) {
        if queue.advice.is_none() || spec.schedule.is_some() {
            return;
        }
        let room = self.room(io.now_ms);
        for (step, spec) in (0..).zip(&spec.steps) {
            if !spec.depends_on.is_empty() {
                continue;
            }
            let key = StepKey {
                job: id,
                occurrence: 0,
                step,
            };
            let workers = self.unasked(spec, key, queue, &room);
            self.ask(key, queue, workers, spec.gang, io);
        }
    }

    /// Asks which of these workers may run a step, unless a question is under way.
    pub(super) fn ask(
        &mut self,
        key: StepKey,
        queue: &QueueRow,
        workers: Vec<WorkerNumber>,
        gang: bool,
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
        let cost_ms = call_ms(&cost, workers.len());
        let call = self.take_call();
        let advice = self.advice.get_or_insert_with(key, StepAdvice::default);
        advice.call = Some(call);
        let id_of = |worker: &WorkerNumber| self.workers.get(worker).map(|v| v.record.id.clone());
        let request = AdviceRequest {
            step: key.to_string(),
            worker_ids: workers.iter().filter_map(id_of).collect(),
        };
        let sent = AdviceCall {
            step: key,
            workers,
            vm,
            sent_ms: io.now_ms,
            cost_ms,
            expected_ms,
            valid_ms: cost.ticket_valid_ms,
            gang,
            overdue: false,
        };
        self.questions.insert(call, sent);
        if vm == self.me {
            return io.effect(Effect::RequestAdvice {
                call,
                for_vm: vm,
                request,
            });
        }
        let message = PeerMessage::AdviceRequest { call, request };
        io.effect(Effect::Send { to: vm, message });
    }

    /// Handles the answer to a question.
    pub fn advised(&mut self, call: u64, response: AdviceResponse, io: &mut Io<'_>) {
        let Some(question) = self.questions.remove(&call) else {
            return;
        };
        self.callers.answered(&question, io.now_ms);
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
        if !question.gang {
            advice.widen_ms = io.now_ms.saturating_add(Millis(WIDEN_PAUSE_MS));
        }
        let Some(rows) = response else {
            advice.not_before_ms = io.now_ms.saturating_add(Millis(RETRY_MS));
            return advice_missing(&question, io);
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

    /// Lets steps whose answers are overdue ask elsewhere, and gives up answers that will not come.
    pub(super) fn expire_questions(&mut self, io: &mut Io<'_>) {
        let mut given_up = Vec::new();
        for (call, question) in self.questions.iter_mut() {
            if io.now_ms.saturating_sub(question.sent_ms).0 > ANSWER_LIMIT_MS {
                given_up.push(*call);
                continue;
            }
            let overdue_ms = question.expected_ms.saturating_add(Millis(ANSWER_GRACE_MS));
            if question.overdue || io.now_ms <= overdue_ms {
                continue;
            }
            question.overdue = true;
            self.callers.overdue(question);
            if let Some(advice) = self.advice.get_mut(&question.step)
                && advice.call == Some(*call)
            {
                advice.call = None;
                advice.not_before_ms = io.now_ms.saturating_add(Millis(RETRY_MS));
            }
            advice_missing(question, io);
        }
        for call in given_up {
            self.advised(call, None, io);
        }
    }

    /// Notes a VM that can ask for advice.
    pub fn caller_joined(&mut self, vm: VmId) {
        self.callers.add(vm);
    }

    /// Forgets a VM that can no longer ask.
    pub fn caller_left(&mut self, vm: VmId, io: &mut Io<'_>) {
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
}

fn advice_missing(question: &AdviceCall, io: &mut Io<'_>) {
    let waited_ms = io.now_ms.saturating_sub(question.sent_ms).0;
    io.warn(
        "advice_missing",
        vec![
            ("step", question.step.to_string()),
            ("vm", question.vm.to_string()),
            ("waited_ms", waited_ms.to_string()),
        ],
    );
}
