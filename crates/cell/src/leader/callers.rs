//! Requests of callers: submissions with admission control, status queries and cancellations.

use super::{Leader, reply_not_leader, worker::Phase};
use crate::{
    CallerReply, CallerRequest, CellState, Command, JobId, JobSpec, JobState, Origin, QueueRow,
    RefusalReason,
    admission::{AdmissionRefusal, Load, admit},
    io::Io,
    message::AddressedRequest,
};

/// Time after which a caller should retry while there is no queue table.
const RETRY_AFTER_MS: u64 = 1_000;
/// Share of a service's capacity that waiting work can use, in thousandths. The rest is lost to
/// gaps that fit no waiting task and to workers that the policy service rules out.
const USABLE_CAPACITY_PERMILLE: u64 = 850;

impl Leader {
    pub fn caller_request(
        &mut self,
        state: &CellState,
        origin: Origin,
        request: AddressedRequest,
        io: &mut Io<'_>,
    ) {
        if !io.holds_lease {
            return reply_not_leader(origin, io);
        }
        if state.queues().version == 0 {
            let reply = CallerReply::Refused {
                reason: RefusalReason::NotReady,
                retry_after_ms: RETRY_AFTER_MS,
            };
            return io.reply_caller(origin, reply);
        }
        let Some((queue, rest)) = state.queues().find(&request.host, &request.path) else {
            return io.reply_caller(origin, CallerReply::UnknownQueue);
        };
        let id = rest.parse::<JobId>();
        match (request.request, id) {
            (CallerRequest::Submit(spec), Ok(id)) => {
                let queue = queue.clone();
                self.submit(state, origin, id, queue, spec, io);
            }
            (CallerRequest::Submit(_), Err(_)) => io.reply_caller(origin, CallerReply::Invalid),
            (CallerRequest::Status, _) if rest.is_empty() => {
                let pending = count_pending(state, queue);
                let unconfirmed = self.count_unconfirmed_runs(state, queue);
                io.log(
                    "queue_queried",
                    vec![
                        ("queue", queue.name.clone()),
                        ("pending", pending.to_string()),
                        ("runs_unconfirmed", unconfirmed.to_string()),
                        ("queues_version", state.queues().version.to_string()),
                    ],
                );
                io.reply_caller(origin, CallerReply::Pending(pending));
            }
            (CallerRequest::Status, Ok(id)) => self.query_status(state, origin, id, io),
            (CallerRequest::Cancel, Ok(id)) => self.cancel(state, origin, id, io),
            (CallerRequest::Status | CallerRequest::Cancel, Err(_)) => {
                io.reply_caller(origin, CallerReply::UnknownJob);
            }
        }
    }

    fn submit(
        &mut self,
        state: &CellState,
        origin: Origin,
        id: JobId,
        queue: QueueRow,
        spec: JobSpec,
        io: &mut Io<'_>,
    ) {
        if state.job(id).is_some() {
            return io.reply_caller(origin, CallerReply::Accepted);
        }
        // Entry VMs check jobs too, but a job beyond the limits that one of them forwards would end
        // every control VM.
        if spec.check().is_err() {
            return io.reply_caller(origin, CallerReply::Invalid);
        }
        if let Some(waiting) = self.pending_submits.get_mut(&id) {
            waiting.push(origin);
            return;
        }
        if let Err(refused) = self.check_admission(state, &queue, &spec, io) {
            let AdmissionRefusal {
                reason,
                retry_after_ms,
                wait_ms,
                wait_budget_ms,
            } = refused;
            io.log(
                "job_refused",
                vec![
                    ("job", id.to_string()),
                    ("queue", queue.name),
                    ("reason", format!("{reason:?}")),
                    ("wait_ms", wait_ms.to_string()),
                    ("wait_budget_ms", wait_budget_ms.to_string()),
                    ("retry_after_ms", retry_after_ms.to_string()),
                    ("queues_version", state.queues().version.to_string()),
                ],
            );
            let reply = CallerReply::Refused {
                reason,
                retry_after_ms,
            };
            return io.reply_caller(origin, reply);
        }
        self.pending_submits.insert(id, vec![origin]);
        self.request_advice_early(id, &queue, &spec, io);
        let at_unix_ms = io.unix_ms;
        io.commands.push(Command::Accept {
            id,
            queue,
            spec,
            tenant: None,
            over_rate: false,
            at_unix_ms,
        });
    }

    fn check_admission(
        &self,
        state: &CellState,
        queue: &QueueRow,
        spec: &JobSpec,
        io: &Io<'_>,
    ) -> Result<(), AdmissionRefusal> {
        let mut capacity_millicores = 0;
        let mut fits = vec![false; spec.steps.len()];
        for view in self.workers.values() {
            if view.record.service != queue.service || !view.accepts_work(io.now_ms) {
                continue;
            }
            capacity_millicores += u64::from(view.record.capacity.cpu_millicores);
            for (step, fits) in spec.steps.iter().zip(&mut fits) {
                *fits |= step.demand.times_in(&view.record.capacity) > 0;
            }
        }
        if capacity_millicores > 0 && fits.contains(&false) {
            return Err(AdmissionRefusal::regardless_of_load(
                RefusalReason::NoWorkerFits,
            ));
        }
        let path = self.run_times.critical_path(queue, spec, None);
        let slack_ms = path
            .total_ms
            .saturating_mul(queue.slack_permille.saturating_sub(1_000))
            / 1_000;
        admit(&Load {
            capacity_millicores: capacity_millicores * USABLE_CAPACITY_PERMILLE / 1_000,
            queued_ahead_millicore_ms: self.queued_work_ahead(state, queue, io),
            wait_budget_ms: slack_ms.saturating_add(queue.target_ms),
        })
    }

    /// Returns the waiting work that runs before a new job of a queue, in millicores times
    /// milliseconds. Late work is not counted because it runs after new jobs.
    fn queued_work_ahead(&self, state: &CellState, queue: &QueueRow, io: &Io<'_>) -> u64 {
        let steps = self.steps.iter().filter_map(|(key, step)| {
            let job = state.job(key.job)?;
            let spec = job.step_spec(*key)?;
            let goes_first = job.queue.priority <= queue.priority
                && job.queue.service == queue.service
                && self.is_on_time(job, *key, io);
            let run_ms = self.forecast(job, *key, io.now_ms).task_ms;
            let tasks = step.waiting.len() as u64;
            let millicores = u64::from(spec.demand.cpu_millicores);
            goes_first.then_some((tasks * millicores).saturating_mul(run_ms))
        });
        steps.fold(0, u64::saturating_add)
    }

    /// Returns the number of runs of a queue whose start was sent and not confirmed by the worker.
    fn count_unconfirmed_runs(&self, state: &CellState, queue: &QueueRow) -> usize {
        let runs = self.workers.values().flat_map(|view| view.runs.iter());
        let unconfirmed = runs.filter(|(_, run)| matches!(run.phase, Phase::Sent { .. }));
        let of_queue = unconfirmed.filter(|(key, _)| {
            let job = state.job(key.task.step.job);
            job.is_some_and(|job| job.queue.is_same_queue(queue))
        });
        of_queue.count()
    }

    fn cancel(&mut self, state: &CellState, origin: Origin, id: JobId, io: &mut Io<'_>) {
        match state.job(id) {
            Some(job) if job.state != JobState::Active => {
                io.reply_caller(origin, CallerReply::Cancelled);
            }
            None if !self.pending_submits.contains_key(&id) => {
                io.reply_caller(origin, CallerReply::UnknownJob);
            }
            _ => {
                let waiting = self.pending_cancels.get_or_insert_with(id, Vec::new);
                waiting.push(origin);
                if waiting.len() == 1 {
                    let at_unix_ms = io.unix_ms;
                    io.commands.push(Command::Cancel { id, at_unix_ms });
                }
            }
        }
    }
}

fn count_pending(state: &CellState, queue: &QueueRow) -> u64 {
    let waiting = state.jobs().values();
    let waiting = waiting.filter(|job| job.state == JobState::Active && !job.started);
    let of_queue = waiting.filter(|job| job.queue.is_same_queue(queue));
    of_queue.count() as u64
}
