//! Requests to the policy service: the workers they name, when they are sent, and their responses.

use acaciareel_types::{Millis, VmId};

use super::{
    AdviceCall, Leader, StepAdvice,
    advice::{RESPONSE_GRACE_MS, RESPONSE_TIMEOUT_MS, RETRY_MS, Ticket, call_ms, is_long_call},
    pass::{FreeCapacityByWorker, counted_demand},
    worker::WorkerView,
};
use crate::{
    AdviceCost, AdviceRequest, AdviceResponse, Effect, JobId, JobSpec, PeerMessage, QueueRow,
    SpeedPreference, StepKey, StepSpec, WorkerNumber, domain_places, hash, io::Io,
    limits::is_bounded_token,
};

/// Workers named in one request. Each worker makes the call longer.
const WORKERS_PER_REQUEST: usize = 48;
/// Most workers named in one request (bound of the platform).
pub(super) const MAX_WORKERS_PER_REQUEST: usize = 100;
/// Workers named for each task of a gang: the service allows a third of them, and few of these have
/// free capacity for a task.
const WORKERS_PER_GANG_TASK: usize = 5;
/// Share of the workers of a request that are chosen by their speed, in thousandths.
const PREFERRED_SPEED_PERMILLE: usize = 667;
/// Pause before a step requests advice about further workers, because capacity is more likely to
/// become free on known ones. A gang makes it only once it has asked about every worker: it needs
/// capacity on many workers at once and has too few allowed workers.
const WIDEN_PAUSE_MS: u64 = 1_500;
/// Longest time from the start of a leader for which long calls wait for the first reports of its
/// workers. A worker without a reply counts as missing after about 300 ms: the interval of the checks
/// and the time limit of a renewal.
const FIRST_REPORTS_WAIT_MS: u64 = 500;

/// Returns a number that orders workers differently for each step.
fn scatter(key: StepKey, worker: WorkerNumber) -> u64 {
    let parts = [key.job.0, u64::from(key.step), u64::from(worker.0)];
    hash::extend(hash::START, parts)
}

impl Leader {
    /// Returns whether a step may request advice about further workers and a VM has capacity for
    /// the call. Selecting workers costs much more than this check, and in a burst hundreds of
    /// steps wait for a VM.
    pub(super) fn may_request_advice(
        &self,
        key: StepKey,
        cost: &AdviceCost,
        now_ms: Millis,
    ) -> bool {
        let step_may_request = self.advice.get(&key).is_none_or(|advice| {
            let first = advice.requested.is_empty();
            advice.call.is_none()
                && now_ms >= advice.not_before_ms
                && (first || now_ms >= advice.next_widening_ms)
        });
        step_may_request
            && !self.waits_for_first_reports(cost)
            && self.advice_vms.can_take(cost, now_ms)
    }

    /// Returns whether a call is so long that it should name more workers than have reported to this
    /// new leader. Most reports arrive within some ten milliseconds; a call about the first few takes
    /// nearly as long as one about all, and the step can make no other one meanwhile.
    fn waits_for_first_reports(&self, cost: &AdviceCost) -> bool {
        self.first_reports_due && is_long_call(call_ms(cost, 1))
    }

    /// Ends the wait for the first reports once each worker has reported to this leader or missed a
    /// call.
    pub(super) fn update_first_reports(&mut self, now_ms: Millis) {
        let is_due = |view: &WorkerView| {
            view.accepts_work(now_ms) && !view.runs_reported && view.missed_calls == 0
        };
        let led_ms = now_ms.saturating_sub(self.started_ms).0;
        self.first_reports_due &=
            led_ms < FIRST_REPORTS_WAIT_MS && self.workers.values().any(is_due);
    }

    /// Selects workers for which a step has not requested advice: workers with free capacity first.
    /// Their order differs between steps, so that steps do not all wait for the same workers.
    pub(super) fn unrequested_workers(
        &mut self,
        spec: &StepSpec,
        key: StepKey,
        queue: &QueueRow,
        free_capacity: &FreeCapacityByWorker,
        preference: SpeedPreference,
    ) -> Vec<WorkerNumber> {
        self.requests_composed += 1;
        let demand = counted_demand(spec);
        let requested = self
            .advice
            .get(&key)
            .map_or(&[][..], |advice| &advice.requested);
        let domain_places = if spec.long_running {
            Vec::new()
        } else {
            domain_places(key.job, &self.domains)
        };
        let mut unrequested: Vec<(bool, u32, u64, WorkerNumber)> = free_capacity
            .iter()
            .filter(|(number, _)| requested.binary_search(number).is_err())
            .filter(|(number, _)| !self.speeds.is_closed(**number))
            .filter_map(|(number, available)| {
                let view = self.workers.get(number);
                let view = view.filter(|view| view.suits(spec, queue))?;
                let full = demand.times_in(&available.free) == 0;
                let place = domain_places.get(view.domain as usize);
                let place = place.copied().unwrap_or(0);
                Some((full, place, scatter(key, *number), *number))
            })
            .collect();
        let max_workers = if spec.gang {
            (spec.tasks as usize * WORKERS_PER_GANG_TASK)
                .clamp(WORKERS_PER_REQUEST, MAX_WORKERS_PER_REQUEST)
        } else {
            WORKERS_PER_REQUEST
        };
        if unrequested.len() > max_workers {
            // Most of the workers are of the preferred speed. The others are named as well, because a
            // step that finds no room on the preferred ones must not wait for them.
            let preferred = max_workers * PREFERRED_SPEED_PERMILLE / 1_000;
            unrequested.select_nth_unstable_by_key(preferred, |(full, domain, place, number)| {
                let rank = preference.rank(self.speeds.class(*number));
                (*full, rank, *domain, *place, *number)
            });
            unrequested[preferred..].select_nth_unstable(max_workers - preferred);
            unrequested.truncate(max_workers);
        }
        unrequested.sort_unstable();
        unrequested
            .into_iter()
            .map(|(_, _, _, number)| number)
            .collect()
    }

    /// Delays the next request of a step that has requested advice about every worker. A step that
    /// has requested none found no usable worker, as before the first reports to a new leader.
    pub(super) fn pause_widening(&mut self, key: StepKey, now_ms: Millis) {
        let advice = self.advice.get_mut(&key);
        if let Some(advice) = advice.filter(|advice| !advice.requested.is_empty()) {
            advice.next_widening_ms = now_ms.saturating_add(Millis(WIDEN_PAUSE_MS));
        }
    }

    /// Requests advice for the first steps of a job while the acceptance of the job is being
    /// committed.
    pub(super) fn request_advice_early(
        &mut self,
        id: JobId,
        queue: &QueueRow,
        job: &JobSpec,
        io: &mut Io<'_>,
    ) {
        let may_request = |cost| !self.waits_for_first_reports(cost);
        if !queue.advice.as_ref().is_some_and(may_request) || job.schedule.is_some() {
            return;
        }
        let free_capacity = self.free_capacity(io.now_ms);
        for (step, spec) in (0..).zip(&job.steps) {
            if !spec.depends_on.is_empty() {
                continue;
            }
            let key = StepKey {
                job: id,
                occurrence: 0,
                step,
            };
            let preference = self.preference_at_age(queue, job, step, 0);
            let workers = self.unrequested_workers(spec, key, queue, &free_capacity, preference);
            self.request_advice(key, queue, &workers, spec.gang, io);
        }
    }

    /// Requests advice about these workers for a step, unless a request of the step is under way or
    /// in its backoff, or no VM has capacity for it.
    pub(super) fn request_advice(
        &mut self,
        key: StepKey,
        queue: &QueueRow,
        workers: &[WorkerNumber],
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
        let Some((vm, expected_ms)) = self.advice_vms.choose(&cost, workers.len(), io.now_ms)
        else {
            return;
        };
        let cost_ms = call_ms(&cost, workers.len());
        let call = self.new_call();
        let advice = self.advice.get_or_insert_with(key, StepAdvice::default);
        advice.call = Some(call);
        advice.calls += 1;
        self.waits.requests_sent += 1;
        let views = workers.iter().filter_map(|w| self.workers.get(w));
        let (worker_ids, workers) = views
            .map(|view| (view.record.id.clone(), view.incarnation()))
            .unzip();
        let request = AdviceRequest {
            step: key.to_string(),
            worker_ids,
        };
        let sent = AdviceCall {
            step: key,
            workers,
            vm,
            sent_ms: io.now_ms,
            cost_ms,
            expected_ms,
            ticket_valid_ms: cost.ticket_valid_ms,
            gang,
            overdue: false,
        };
        self.advice_calls.insert(call, sent);
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

    /// Handles the response to a request, or its absence.
    pub fn advice_received(&mut self, call: u64, response: AdviceResponse, io: &mut Io<'_>) {
        let Some(advice_call) = self.advice_calls.remove(&call) else {
            return;
        };
        self.advice_vms.completed(&advice_call, io.now_ms);
        let waited_ms = io.now_ms.saturating_sub(advice_call.sent_ms).0;
        io.effect(Effect::Measure {
            name: "advice_ms",
            label: String::new(),
            value_ms: waited_ms,
        });
        self.pass_due = true;
        let Some(advice) = self.advice.get_mut(&advice_call.step) else {
            return;
        };
        if advice.call == Some(call) {
            advice.call = None;
        }
        if !advice_call.gang {
            advice.next_widening_ms = io.now_ms.saturating_add(Millis(WIDEN_PAUSE_MS));
        }
        let Some(rows) = response else {
            advice.not_before_ms = io.now_ms.saturating_add(Millis(RETRY_MS));
            return advice_missing(&advice_call, io);
        };
        let valid_until_ms = advice_call.tickets_valid_until(io.now_ms);
        for worker in &advice_call.workers {
            let number = worker.number;
            if let Err(at) = advice.requested.binary_search(&number) {
                advice.requested.insert(at, number);
            }
            let view = self.workers.get(&number);
            let id = view.map(|view| &view.record.id);
            let row = rows
                .iter()
                .find(|(allowed, ticket)| Some(allowed) == id && is_bounded_token(ticket));
            if let Some((_, text)) = row {
                // The permission holds for the worker, but the ticket only for the incarnation.
                let same_incarnation = view.is_some_and(|view| view.incarnation() == *worker);
                let ticket = Ticket {
                    text: text.clone(),
                    valid_until_ms: if same_incarnation {
                        valid_until_ms
                    } else {
                        Millis(0)
                    },
                };
                advice.allowed.insert(number, ticket);
            }
        }
    }

    /// Ends the validity of all tickets for a worker: they were issued for one incarnation.
    pub(super) fn expire_tickets(&mut self, worker: WorkerNumber) {
        for (_, advice) in self.advice.iter_mut() {
            advice.expire_ticket(worker);
        }
    }

    /// Lets steps whose responses are overdue use another VM, and ends calls that reached the
    /// response timeout.
    pub(super) fn expire_advice_calls(&mut self, io: &mut Io<'_>) {
        let mut expired = Vec::new();
        for (call, advice_call) in self.advice_calls.iter_mut() {
            if io.now_ms.saturating_sub(advice_call.sent_ms).0 > RESPONSE_TIMEOUT_MS {
                expired.push(*call);
                continue;
            }
            let overdue_ms = advice_call
                .expected_ms
                .saturating_add(Millis(RESPONSE_GRACE_MS));
            if advice_call.overdue || io.now_ms <= overdue_ms {
                continue;
            }
            advice_call.overdue = true;
            self.advice_vms.mark_overdue(advice_call);
            if let Some(advice) = self.advice.get_mut(&advice_call.step)
                && advice.call == Some(*call)
            {
                advice.call = None;
                advice.not_before_ms = io.now_ms.saturating_add(Millis(RETRY_MS));
            }
            advice_missing(advice_call, io);
        }
        for call in expired {
            self.advice_received(call, None, io);
        }
    }

    /// Adds a VM that can call the policy service.
    pub fn advice_vm_joined(&mut self, vm: VmId) {
        self.advice_vms.add(vm);
    }

    /// Removes a VM that cannot call the policy service any more. Its open calls end without a
    /// response.
    pub fn advice_vm_left(&mut self, vm: VmId, io: &mut Io<'_>) {
        self.advice_vms.remove(vm);
        let lost: Vec<u64> = self
            .advice_calls
            .iter()
            .filter(|(_, advice_call)| advice_call.vm == vm)
            .map(|(call, _)| *call)
            .collect();
        for call in lost {
            self.advice_received(call, None, io);
        }
    }
}

fn advice_missing(advice_call: &AdviceCall, io: &mut Io<'_>) {
    let waited_ms = io.now_ms.saturating_sub(advice_call.sent_ms).0;
    io.warn(
        "advice_missing",
        vec![
            ("step", advice_call.step.to_string()),
            ("vm", advice_call.vm.to_string()),
            ("waited_ms", waited_ms.to_string()),
        ],
    );
}
