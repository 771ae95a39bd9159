//! Requests of callers: submissions with admission control, status queries and cancellations.

use super::{Leader, reply_not_leader, tenants::are_in_force, worker::Phase};
use crate::{
    CallerReply, CallerRequest, CellState, Command, Job, JobId, JobSpec, JobState, Origin,
    QueueRow, RefusalReason,
    admission::{AdmissionRefusal, Load, admit, admit_for_tenant},
    io::Io,
    message::AddressedRequest,
    tenants::Class,
};

/// A submission that is being committed.
#[derive(Clone, Debug)]
pub(super) struct PendingSubmit {
    /// Tenant that will own the job.
    pub tenant: Option<String>,
    /// Memory that the job will take.
    pub bytes: usize,
    /// Where the replies go; several if the submission was repeated.
    pub origins: Vec<Origin>,
}

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
        let job = id.as_ref().ok().copied();
        let Ok(tenant) = self.authorize(state, origin, queue, request.api_key, job, io) else {
            return;
        };
        match (request.request, id) {
            (CallerRequest::Submit(spec), Ok(id)) => {
                let queue = queue.clone();
                let tenant = tenant.map(str::to_owned);
                self.submit(state, origin, id, queue, tenant, spec, io);
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

    #[allow(
        clippy::too_many_arguments,
        reason = "the parts of a submission are used apart from each other"
    )]
    fn submit(
        &mut self,
        state: &CellState,
        origin: Origin,
        id: JobId,
        queue: QueueRow,
        tenant: Option<String>,
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
            waiting.origins.push(origin);
            return;
        }
        let owner = tenant.as_deref();
        let over_rate = owner.is_some_and(|owner| self.is_over_rate(state, owner, io.now_ms));
        let bytes = Job::memory_bytes_of(&spec);
        let admitted = self
            .check_admission(state, &queue, &spec, (owner, over_rate), io)
            .and_then(|()| {
                let busy = AdmissionRefusal::regardless_of_load(RefusalReason::Busy);
                let has_memory = self.take_job_memory(state, bytes, io.now_ms);
                has_memory.then_some(()).ok_or(busy)
            });
        if let Err(refused) = admitted {
            let AdmissionRefusal {
                reason,
                retry_after_ms,
                wait_ms,
                wait_budget_ms,
            } = refused;
            let mut fields = vec![
                ("job", id.to_string()),
                ("queue", queue.name),
                ("reason", format!("{reason:?}")),
                ("wait_ms", wait_ms.to_string()),
                ("wait_budget_ms", wait_budget_ms.to_string()),
                ("retry_after_ms", retry_after_ms.to_string()),
                ("queues_version", state.queues().version.to_string()),
            ];
            if let Some(tenant) = tenant {
                self.count_refused(&tenant);
                fields.extend([("tenant", tenant), ("over_rate", over_rate.to_string())]);
            }
            io.log("job_refused", fields);
            let reply = CallerReply::Refused {
                reason,
                retry_after_ms,
            };
            return io.reply_caller(origin, reply);
        }
        let pending = PendingSubmit {
            tenant: tenant.clone(),
            bytes,
            origins: vec![origin],
        };
        self.pending_submits.insert(id, pending);
        if let Some(owner) = owner
            && !over_rate
        {
            self.take_rate_token(owner);
        }
        if owner.is_none_or(|owner| self.may_start_under_cap(state, owner, &spec)) {
            self.request_advice_early(id, &queue, &spec, io);
        }
        let at_unix_ms = io.unix_ms;
        io.commands.push(Command::Accept {
            id,
            queue,
            spec,
            tenant,
            over_rate,
            at_unix_ms,
        });
    }

    fn check_admission(
        &mut self,
        state: &CellState,
        queue: &QueueRow,
        spec: &JobSpec,
        (tenant, over_rate): (Option<&str>, bool),
        io: &Io<'_>,
    ) -> Result<(), AdmissionRefusal> {
        if tenant.is_some_and(|tenant| self.is_beyond_cap(state, tenant, spec)) {
            return Err(AdmissionRefusal::regardless_of_load(
                RefusalReason::BeyondCap,
            ));
        }
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
        let path = self.run_times.critical_path(queue, spec, tenant);
        let slack_permille = queue.slack_permille.saturating_sub(1_000);
        let slack_ms = path.total_ms.saturating_mul(slack_permille) / 1_000;
        let tenant = tenant.filter(|_| are_in_force(state));
        let class = tenant.map_or(Class::Owed, |tenant| {
            self.recount_changed_workers();
            self.class_of_new_job(state, queue, tenant, over_rate)
        });
        self.refresh_backlog(state, io);
        let load = Load {
            capacity_millicores: capacity_millicores * USABLE_CAPACITY_PERMILLE / 1_000,
            queued_ahead_millicore_ms: self.backlog.work_ahead(queue, class),
            wait_budget_ms: slack_ms.saturating_add(queue.target_ms),
        };
        let Some(tenant) = tenant else {
            return admit(&load);
        };
        let job = (tenant, queue, spec);
        let tenant_load = self.tenant_load(state, job, (class, over_rate), &load, io);
        admit_for_tenant(&load, &tenant_load)
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
