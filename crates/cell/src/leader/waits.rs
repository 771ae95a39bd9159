//! Why steps wait: the outcome of the latest examination of each waiting step, for logs and metrics.

use std::cmp::Reverse;

use acaciareel_types::Millis;

use super::Leader;
use crate::{
    CellState, Demand, Effect, StepKey,
    io::Io,
    placement::{Candidate, slots_on},
};

/// Time between two reports on the waiting steps.
const REPORT_INTERVAL_MS: u64 = 2_000;
/// Most steps that a report describes one by one, so that a backlog does not fill the log.
const MAX_LOGGED_STEPS: usize = 10;
/// A step that has waited for less than this is not described by itself.
const MIN_LOGGED_WAIT_MS: u64 = 3_000;
/// Age of the latest examination from which a step counts as not examined.
const EXAMINATION_VALID_MS: u64 = 1_000;

/// Time for which a step without room counts as before, whether the room is held for others or not: to tell
/// costs a search of all candidates.
const ROOM_CHECK_INTERVAL_MS: u64 = 100;

/// Why a step was not placed as a whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WaitReason {
    /// The policy service has not answered the first request of the step yet.
    Advice,
    /// Too few workers that may run the step have free capacity.
    Room,
    /// Workers that may run the step have free capacity, which is held for other steps.
    HeldRoom,
    /// The chosen workers have free capacity, and some tickets have expired or are missing.
    Tickets,
    /// Suspects wait for workers of their own.
    Isolation,
}

impl WaitReason {
    /// Returns the value of the field `reason` in logs.
    fn as_str(self) -> &'static str {
        match self {
            Self::Advice => "advice",
            Self::Room => "room",
            Self::HeldRoom => "held_room",
            Self::Tickets => "tickets",
            Self::Isolation => "isolation",
        }
    }
}

/// Outcome of the latest examination of a step that still waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct StepWait {
    pub examined_ms: Millis,
    pub reason: WaitReason,
    /// Workers that may run the step, usable at that time.
    pub candidates: usize,
    /// Tasks of the step that had room on them.
    pub slots: u32,
    /// Time at which [`WaitReason::HeldRoom`] was last told from [`WaitReason::Room`].
    room_checked_ms: Millis,
}

/// What all passes found so far, and when it was last reported.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WaitReports {
    last_ms: Millis,
    /// Processor capacity that the latest pass set aside for gangs without all tickets.
    pub held_millicores: u64,
    /// Requests to the policy service so far.
    pub requests_sent: u64,
    requests_reported: u64,
}

impl Leader {
    /// Notes why a step waits.
    pub(super) fn note_wait(
        &mut self,
        key: StepKey,
        reason: WaitReason,
        (demand, candidates): (&Demand, &[Candidate]),
        now_ms: Millis,
    ) {
        let known = self.steps.get(&key).and_then(|step| step.wait);
        let known = known.filter(|wait| {
            let is_room = matches!(wait.reason, WaitReason::Room | WaitReason::HeldRoom);
            is_room && now_ms.saturating_sub(wait.room_checked_ms).0 < ROOM_CHECK_INTERVAL_MS
        });
        let (reason, room_checked_ms) = match known {
            _ if reason != WaitReason::Room => (reason, now_ms),
            Some(wait) => (wait.reason, wait.room_checked_ms),
            None if self.has_held_room(demand, candidates) => (WaitReason::HeldRoom, now_ms),
            None => (WaitReason::Room, now_ms),
        };
        if let Some(step) = self.steps.get_mut(&key) {
            step.wait = Some(StepWait {
                examined_ms: now_ms,
                room_checked_ms,
                reason,
                candidates: candidates.len(),
                slots: slots_on(demand, candidates),
            });
        }
    }

    /// Logs how many steps wait and why, and describes those that have waited longest.
    pub(super) fn report_waits(&mut self, state: &CellState, io: &mut Io<'_>) {
        let next_ms = self
            .waits
            .last_ms
            .saturating_add(Millis(REPORT_INTERVAL_MS));
        if io.now_ms < next_ms {
            return;
        }
        self.waits.last_ms = io.now_ms;
        let mut counts = [0u64; 6];
        let mut kept_workers = 0;
        let mut oldest = Vec::new();
        for (key, step) in self.steps.iter() {
            let recent = step
                .wait
                .filter(|wait| io.now_ms.saturating_sub(wait.examined_ms).0 < EXAMINATION_VALID_MS);
            counts[recent.map_or(0, |wait| wait.reason as usize + 1)] += 1;
            kept_workers += step.withheld.kept.len() as u64;
            if let Some(job) = state.job(key.job) {
                let waited_ms = io.unix_ms.saturating_sub(job.due_unix_ms(key.occurrence));
                if waited_ms >= MIN_LOGGED_WAIT_MS {
                    oldest.push((Reverse(waited_ms), *key));
                }
            }
        }
        let [not_examined, advice, room, held_room, tickets, isolation] = counts;
        let figures = [
            ("steps_not_examined", not_examined),
            ("steps_waiting_for_advice", advice),
            ("steps_waiting_for_room", room),
            ("steps_waiting_for_held_room", held_room),
            ("steps_waiting_for_tickets", tickets),
            ("steps_waiting_for_isolation", isolation),
            ("held_millicores", self.waits.held_millicores),
            ("kept_workers", kept_workers),
            ("workers_on_probation", self.on_probation.len() as u64),
            ("advice_calls_open", self.advice_calls.len() as u64),
            ("advice_requests", self.waits.requests_sent),
        ];
        for (name, value) in figures {
            io.effect(Effect::Gauge { name, value });
        }
        if self.steps.is_empty() {
            return;
        }
        let (free, capacity) = self.millicores_of(|_| true, io.now_ms);
        let requests = self.waits.requests_sent - self.waits.requests_reported;
        self.waits.requests_reported = self.waits.requests_sent;
        io.log(
            "steps_wait",
            vec![
                ("not_examined", not_examined.to_string()),
                ("advice", advice.to_string()),
                ("room", room.to_string()),
                ("held_room", held_room.to_string()),
                ("tickets", tickets.to_string()),
                ("isolation", isolation.to_string()),
                ("free_millicores", free.to_string()),
                ("held_millicores", self.waits.held_millicores.to_string()),
                ("kept_workers", kept_workers.to_string()),
                ("on_probation", self.on_probation.len().to_string()),
                ("capacity_millicores", capacity.to_string()),
                ("advice_calls_open", self.advice_calls.len().to_string()),
                ("advice_requests", requests.to_string()),
                (
                    "advice_vms_free",
                    self.advice_vms.free(io.now_ms).to_string(),
                ),
            ],
        );
        oldest.sort_unstable();
        for (Reverse(waited_ms), key) in oldest.into_iter().take(MAX_LOGGED_STEPS) {
            self.log_wait(state, key, waited_ms, io);
        }
    }

    fn log_wait(&self, state: &CellState, key: StepKey, waited_ms: u64, io: &mut Io<'_>) {
        let Some((job, step)) = state.job(key.job).zip(self.steps.get(&key)) else {
            return;
        };
        let mut fields = vec![
            ("step", key.to_string()),
            ("queue", job.queue.name.clone()),
            ("tasks", step.waiting.len().to_string()),
            ("proposed", step.proposed.len().to_string()),
            ("waited_ms", waited_ms.to_string()),
            ("timeliness", format!("{:?}", self.timeliness(job, key, io))),
        ];
        match step.wait {
            None => fields.push(("reason", "not_examined".to_owned())),
            Some(wait) => {
                let age_ms = io.now_ms.saturating_sub(wait.examined_ms).0;
                fields.extend([
                    ("reason", wait.reason.as_str().to_owned()),
                    ("examined_before_ms", age_ms.to_string()),
                    ("candidates", wait.candidates.to_string()),
                    ("slots", wait.slots.to_string()),
                ]);
            }
        }
        if let Some(advice) = self.advice.get(&key) {
            let call = advice.call.and_then(|call| self.advice_calls.get(&call));
            let call_ms = call.map(|call| io.now_ms.saturating_sub(call.sent_ms).0);
            fields.extend([
                ("workers_asked", advice.requested.len().to_string()),
                ("workers_allowed", advice.allowed.len().to_string()),
                ("calls", advice.calls.to_string()),
                (
                    "call_open_ms",
                    call_ms.map_or_else(String::new, |ms| ms.to_string()),
                ),
            ]);
        }
        io.log("step_waits", fields);
    }
}
