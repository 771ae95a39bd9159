//! Jobs of a placer: admission, refusal, deadlines.

use acaciareel_scheduler::{CancelOutcome, Job as QueuedJob, JobId, Refusal};
use acaciareel_types::{
    Attempt, Class, Effect as RunEffect, FailureDomain, MemoryLimit, Millis, Reason, Request,
    Route, SortedVec, Term, Verdict,
};

use super::{Job, Mode, Owner, Placer, PlacerContext, Stage};
use crate::{
    LedgerCommand, LedgerRecord, LedgerState, PeerMessage, RequestKey,
    io::Io,
    node::{Node, next_job},
    submissions::{SubmissionState, Submitter},
};

/// Retry-after time of refusals without an estimate by the scheduler.
const RETRY_AFTER_MS: Millis = Millis(1_000);
/// Limit of refused keys kept at a time.
const MAX_REFUSED_KEYS: usize = 10_000;
/// Time for which a refused key is kept; no message arrives later than that.
const REFUSED_KEY_TTL_MS: Millis = Millis(60_000);

/// Limit of the bodies that a placer holds. Callers at many entry VMs, each of which may hold tens of MiB
/// of waiting requests, may all need the same placer.
pub(super) const BODY_MEMORY: MemoryLimit = MemoryLimit {
    total_bytes: 32 << 20,
    ordinary_bytes: 16 << 10,
};

/// Recently refused keys with the caller's attempt number.
#[derive(Debug, Default)]
pub(crate) struct RefusedKeys {
    attempts: SortedVec<RequestKey, (Attempt, Millis)>,
}

impl RefusedKeys {
    fn record(&mut self, now_ms: Millis, key: RequestKey, attempt: Attempt) {
        if self.attempts.len() >= MAX_REFUSED_KEYS {
            self.attempts
                .retain(|_, (_, at_ms)| now_ms.saturating_sub(*at_ms) < REFUSED_KEY_TTL_MS);
        }
        if self.attempts.len() < MAX_REFUSED_KEYS {
            self.attempts.insert(key, (attempt, now_ms));
        }
    }

    /// Returns whether a later attempt of the same key was refused before.
    fn later_refused(&self, key: &RequestKey, attempt: Attempt) -> bool {
        self.attempts
            .get(key)
            .is_some_and(|(refused, _)| attempt < *refused)
    }
}

impl Node {
    /// Handles a submission as a placer.
    pub(crate) fn submit_received(
        &mut self,
        submitter: Submitter,
        domain: &FailureDomain,
        term: Term,
        request: Request,
        io: &mut Io<'_>,
    ) {
        match self.submissions.look_up(submitter) {
            SubmissionState::Pending(..) | SubmissionState::Done(None) => return,
            SubmissionState::Done(Some(verdict)) => {
                let submission = submitter.submission;
                let reply = PeerMessage::SubmitReply {
                    submission,
                    verdict,
                };
                io.send(submitter.vm, reply);
                return;
            }
            SubmissionState::New => {}
        }
        let term_matches = self
            .placers
            .get(domain)
            .is_some_and(|placer| placer.mode.term() == term);
        if !term_matches {
            // A later copy must not be accepted either, as the sender now chooses another placer.
            self.submissions.done(submitter, None);
            let reply = PeerMessage::NotPlacer {
                submission: submitter.submission,
                placer: None,
                life: self.entry.process_epoch,
            };
            io.send(submitter.vm, reply);
            return;
        }
        let home = self.entry.home(&request.key);
        self.with_placer(domain, io, |placer, ctx| {
            placer.submitted(ctx, submitter, request, &home);
        });
    }
}

impl Placer {
    fn submitted(
        &mut self,
        ctx: &mut PlacerContext<'_, '_>,
        submitter: Submitter,
        request: Request,
        home: &FailureDomain,
    ) {
        let route = ctx.tables.tables().routes().get(&request.kind).cloned();
        let idempotent = route
            .as_ref()
            .is_some_and(|route| route.effect == RunEffect::Idempotent);
        if !idempotent && self.mode != Mode::Fallback && *home == self.domain {
            self.submit_ledgered(ctx, submitter, request, route.as_ref());
            return;
        }
        let refusal = match &route {
            None => Some(Reason::UnknownKind),
            // The sender has other tables, in which the kind is idempotent.
            Some(_) if !idempotent => Some(Reason::TablesUnavailable),
            Some(_) => None,
        };
        match (refusal, route) {
            (None, Some(route)) => self.submit_direct(ctx, submitter, request, &route),
            (reason, _) => refuse(ctx, submitter, reason.unwrap_or(Reason::UnknownKind)),
        }
    }

    fn submit_direct(
        &mut self,
        ctx: &mut PlacerContext<'_, '_>,
        submitter: Submitter,
        request: Request,
        route: &Route,
    ) {
        if !self.take_body_memory(ctx.now_ms(), &request) {
            return refuse(ctx, submitter, Reason::QueueFull);
        }
        let job = Box::new(new_job(ctx, Owner::Direct(submitter), request, route));
        match self.queue(ctx, &job, false) {
            Ok(()) => {
                ctx.submissions.pending(submitter, &self.domain, job.id);
                self.jobs.insert(job.id, job);
            }
            Err(refusal) => ctx.answer(submitter, refusal_verdict(refusal)),
        }
    }

    /// Finds the key in the ledger, then attaches the submission to its job, answers it, refuses it
    /// or admits it.
    fn submit_ledgered(
        &mut self,
        ctx: &mut PlacerContext<'_, '_>,
        submitter: Submitter,
        request: Request,
        route: Option<&Route>,
    ) {
        let key = RequestKey {
            tenant: request.tenant.clone(),
            key: request.key.clone(),
        };
        let digest = request.digest();
        let known = match (self.by_key.get(&key), ctx.ledger.and_then(|l| l.get(&key))) {
            (Some(job), _) => self.jobs.get(job).map(|job| job.request.digest()),
            (None, Some(record)) => Some(record.digest),
            (None, None) => None,
        };
        match known {
            Some(known) if known != digest => refuse(ctx, submitter, Reason::KeyReused),
            Some(_) => self.attach(ctx, submitter, &key),
            None => match route {
                Some(route) => self.admit(ctx, submitter, key, request, route),
                None => refuse(ctx, submitter, Reason::UnknownKind),
            },
        }
    }

    /// Answers from an ended record, or adds the submission to those that wait for the job.
    fn attach(&mut self, ctx: &mut PlacerContext<'_, '_>, submitter: Submitter, key: &RequestKey) {
        let ended = ctx.ledger.and_then(|l| l.get(key)).and_then(ended_verdict);
        if let Some(verdict) = ended {
            ctx.answer(submitter, verdict);
            return;
        }
        let Some(id) = self.by_key.get(key).copied() else {
            return;
        };
        ctx.submissions.pending(submitter, &self.domain, id);
        if let Some(job) = self.jobs.get_mut(&id)
            && let Owner::Ledger { waiters, .. } = &mut job.owner
        {
            waiters.push(submitter);
        }
    }

    fn admit(
        &mut self,
        ctx: &mut PlacerContext<'_, '_>,
        submitter: Submitter,
        key: RequestKey,
        request: Request,
        route: &Route,
    ) {
        if self.refused.later_refused(&key, request.attempt) {
            refuse(ctx, submitter, Reason::TimeLimit);
            return;
        }
        if !self.take_body_memory(ctx.now_ms(), &request) {
            self.refused.record(ctx.now_ms(), key, request.attempt);
            return refuse(ctx, submitter, Reason::QueueFull);
        }
        let owner = Owner::Ledger {
            key: key.clone(),
            waiters: vec![submitter],
            inquirers: Vec::new(),
        };
        let admit = LedgerCommand::Admit {
            key: key.clone(),
            kind: request.kind.clone(),
            digest: request.digest(),
            body: request.body.clone(),
            time_limit_ms: request.time_limit_ms,
            once: route.effect == RunEffect::Once,
        };
        let mut job = Box::new(new_job(ctx, owner, request, route));
        let queued = self.queue(ctx, &job, false);
        if let Err(refusal) = queued
            && self.remote_target(ctx, &job).is_none()
        {
            self.refused.record(ctx.now_ms(), key, job.request.attempt);
            ctx.answer(submitter, refusal_verdict(refusal));
            return;
        }
        job.stage = Stage::Queued;
        let id = job.id;
        ctx.submissions.pending(submitter, &self.domain, id);
        self.by_key.insert(key, id);
        self.jobs.insert(id, job);
        self.propose(ctx, admit);
        if queued.is_err() {
            self.delegate(ctx, id);
        }
    }

    /// Takes memory for the body of a request; returns whether there is enough.
    fn take_body_memory(&mut self, now_ms: Millis, request: &Request) -> bool {
        let jobs = &self.jobs;
        let count = || jobs.values().map(|job| job.request.body.len()).sum();
        self.body_memory.take(now_ms, request.body.len(), count)
    }

    /// Puts a job into the scheduler's queue.
    pub(super) fn queue(
        &mut self,
        ctx: &PlacerContext<'_, '_>,
        job: &Job,
        accepted: bool,
    ) -> Result<(), Refusal> {
        self.decision_due = true;
        let queued = QueuedJob {
            id: job.id,
            kind: job.request.kind.clone(),
            tenant: job.request.tenant.clone(),
            deadline_ms: job.deadline_ms,
            earlier_attempts: job.tries,
            accepted,
        };
        self.scheduler.submit(ctx.now_ms(), queued)
    }

    /// Removes a queued job from the scheduler; returns false if the job already runs.
    pub(super) fn dequeue(&mut self, now_ms: Millis, id: JobId) -> bool {
        !matches!(self.scheduler.cancel(now_ms, id), CancelOutcome::Running(_))
    }

    /// Ends or delegates a job that has left the scheduler's queue without being started.
    pub(super) fn refuse_queued(
        &mut self,
        ctx: &mut PlacerContext<'_, '_>,
        id: JobId,
        reason: Reason,
        retry_after_ms: Millis,
    ) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        match &job.owner {
            Owner::Ledger { key, .. } => {
                let key = key.clone();
                let other_domain = !matches!(reason, Reason::Cancelled | Reason::TimeLimit);
                if other_domain && self.delegate(ctx, id) {
                    return;
                }
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.stage = Stage::Ending;
                    job.refusal = Some((reason, retry_after_ms));
                }
                self.propose(ctx, LedgerCommand::Withdraw { key });
            }
            Owner::Direct(submitter) => {
                let submitter = *submitter;
                let verdict = verdict_without_answer(job.may_have_run, reason, retry_after_ms);
                self.remove_job(id);
                ctx.answer(submitter, verdict);
            }
            Owner::RemoteLedger { .. } => self.refuse_delegated(ctx, id, retry_after_ms),
        }
    }

    /// Removes a job and its tasks.
    pub(super) fn remove_job(&mut self, id: JobId) -> Option<Box<Job>> {
        let job = self.jobs.remove(&id)?;
        for task in &job.tasks {
            self.by_task.remove(&task.id);
        }
        if let Owner::Ledger { key, .. } = &job.owner {
            self.by_key.remove(key);
        }
        Some(job)
    }

    /// Removes a ledgered job and answers every submission and inquiry that waits for it.
    pub(super) fn end_ledgered(
        &mut self,
        ctx: &mut PlacerContext<'_, '_>,
        id: JobId,
        verdict: &Verdict,
        state: &crate::RequestState,
    ) {
        let Some(job) = self.remove_job(id) else {
            return;
        };
        if let (Owner::Ledger { key, .. }, Verdict::NotRun { .. }) = (&job.owner, verdict) {
            self.refused
                .record(ctx.now_ms(), key.clone(), job.request.attempt);
        }
        if let Owner::Ledger {
            waiters, inquirers, ..
        } = job.owner
        {
            for waiter in waiters {
                ctx.answer(waiter, verdict.clone());
            }
            for inquirer in inquirers {
                ctx.answer_inquiry(inquirer, state.clone());
            }
        }
    }

    /// Ends queued jobs whose time limit has run out.
    pub(super) fn scan_deadlines(&mut self, ctx: &mut PlacerContext<'_, '_>) {
        let now_ms = ctx.now_ms();
        let overdue: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.stage == Stage::Queued && now_ms >= job.deadline_ms)
            .map(|(id, _)| *id)
            .collect();
        for id in overdue {
            if self.dequeue(now_ms, id) {
                self.refuse_queued(ctx, id, Reason::TimeLimit, RETRY_AFTER_MS);
            }
        }
    }
}

/// Creates a job that is accepted now.
pub(super) fn new_job(
    ctx: &mut PlacerContext<'_, '_>,
    owner: Owner,
    request: Request,
    route: &Route,
) -> Job {
    let now_ms = ctx.now_ms();
    Job {
        id: next_job(ctx.next_job),
        owner,
        effect: route.effect,
        class: route.class,
        accepted_ms: now_ms,
        deadline_ms: now_ms.saturating_add(request.time_limit_ms),
        attempt: Attempt(0),
        tries: 0,
        stage: Stage::Queued,
        tasks: Vec::new(),
        cancelled: false,
        may_stop: false,
        may_have_run: false,
        refusal: None,
        refused_by: Vec::new(),
        request,
    }
}

/// Creates a job for a record of the ledger that this placer takes over.
pub(super) fn recorded_job(
    ctx: &mut PlacerContext<'_, '_>,
    key: &RequestKey,
    record: &LedgerRecord,
) -> Job {
    let now_ms = ctx.now_ms();
    let class = ctx.tables.tables().routes().get(&record.kind);
    let class = class.map_or(Class::Standard, |route| route.class);
    Job {
        id: next_job(ctx.next_job),
        owner: Owner::Ledger {
            key: key.clone(),
            waiters: Vec::new(),
            inquirers: Vec::new(),
        },
        request: Request {
            kind: record.kind.clone(),
            tenant: key.tenant.clone(),
            key: key.key.clone(),
            attempt: Attempt(1),
            time_limit_ms: record.time_limit_ms,
            body: record.body.clone(),
        },
        effect: if record.once {
            RunEffect::Once
        } else {
            RunEffect::Exclusive
        },
        class,
        accepted_ms: now_ms,
        deadline_ms: now_ms.saturating_add(record.time_limit_ms),
        attempt: record.attempt,
        tries: record.attempt.0,
        stage: Stage::Queued,
        tasks: Vec::new(),
        cancelled: record.cancelled,
        may_stop: record.cancelled,
        // Whether the last attempt ran was known to the earlier placer only.
        may_have_run: !record.once && record.attempt.0 > 0,
        refusal: None,
        refused_by: Vec::new(),
    }
}

/// Returns the verdict on a job that ends without an answer.
pub(super) fn verdict_without_answer(
    may_have_run: bool,
    reason: Reason,
    retry_after_ms: Millis,
) -> Verdict {
    if may_have_run {
        Verdict::MayHaveRun { reason }
    } else {
        Verdict::NotRun {
            reason,
            retry_after_ms,
        }
    }
}

fn ended_verdict(record: &LedgerRecord) -> Option<Verdict> {
    match &record.state {
        LedgerState::Finished { answer, .. } => Some(Verdict::Ran(answer.clone())),
        LedgerState::Lost { .. } => Some(Verdict::MayHaveRun {
            reason: Reason::WorkerLost,
        }),
        LedgerState::Waiting | LedgerState::Running(_) => None,
    }
}

fn refusal_verdict(refusal: Refusal) -> Verdict {
    Verdict::NotRun {
        reason: refusal.reason,
        retry_after_ms: refusal.retry_after_ms,
    }
}

fn refuse(ctx: &mut PlacerContext<'_, '_>, submitter: Submitter, reason: Reason) {
    ctx.answer(
        submitter,
        verdict_without_answer(false, reason, RETRY_AFTER_MS),
    );
}
