//! Jobs of a placer: admission, refusal, deadlines.

use acaciareel_scheduler::{CancelOutcome, Job as QueuedJob, JobId, Refusal};
use acaciareel_types::{
    Attempt, Class, Effect as RunEffect, FailureDomain, Millis, Reason, Request, Route, SortedVec,
    Term, Verdict,
};

use super::{Job, Mode, Owner, Placer, Site, Stage};
use crate::{
    LedgerCommand, LedgerRecord, LedgerState, PeerMessage, RequestKey,
    io::Io,
    node::{Node, next_job},
    submissions::{Seen, Submitter},
};

/// Retry-after time of refusals that the scheduler gives no estimate for.
const RETRY_AFTER_MS: Millis = Millis(1_000);
/// Refused keys that are remembered.
const KEPT_REFUSALS: usize = 10_000;
/// Time for which a refused key is remembered; no message is that late.
const REFUSAL_KEPT_MS: Millis = Millis(60_000);

/// Keys refused lately, with the caller's attempt number.
#[derive(Debug, Default)]
pub(crate) struct RefusedKeys {
    attempts: SortedVec<RequestKey, (Attempt, Millis)>,
}

impl RefusedKeys {
    fn remember(&mut self, now_ms: Millis, key: RequestKey, attempt: Attempt) {
        if self.attempts.len() >= KEPT_REFUSALS {
            self.attempts
                .retain(|_, (_, at_ms)| now_ms.saturating_sub(*at_ms) < REFUSAL_KEPT_MS);
        }
        if self.attempts.len() < KEPT_REFUSALS {
            self.attempts.insert(key, (attempt, now_ms));
        }
    }

    /// Returns whether a later attempt of the same key was refused already.
    fn later_refused(&self, key: &RequestKey, attempt: Attempt) -> bool {
        self.attempts
            .get(key)
            .is_some_and(|(refused, _)| attempt < *refused)
    }
}

impl Node {
    /// Takes a submission as a placer.
    pub(crate) fn submit_received(
        &mut self,
        submitter: Submitter,
        domain: &FailureDomain,
        term: Term,
        request: Request,
        io: &mut Io<'_>,
    ) {
        match self.submissions.look_up(submitter) {
            Seen::Pending(..) | Seen::Done(None) => return,
            Seen::Done(Some(verdict)) => {
                let submission = submitter.submission;
                let reply = PeerMessage::SubmitReply {
                    submission,
                    verdict,
                };
                io.send(submitter.vm, reply);
                return;
            }
            Seen::New => {}
        }
        let is_meant = self
            .placers
            .get(domain)
            .is_some_and(|placer| placer.mode.term() == term);
        if !is_meant {
            // A later copy must not be taken either, as the sender now goes elsewhere.
            self.submissions.done(submitter, None);
            let reply = PeerMessage::NotPlacer {
                submission: submitter.submission,
                placer: None,
                life: self.entry.life,
            };
            io.send(submitter.vm, reply);
            return;
        }
        let home = self.entry.home(&request.key);
        self.with_placer(domain, io, |placer, site| {
            placer.submitted(site, submitter, request, &home);
        });
    }
}

impl Placer {
    fn submitted(
        &mut self,
        site: &mut Site<'_, '_>,
        submitter: Submitter,
        request: Request,
        home: &FailureDomain,
    ) {
        let route = site.tables.tables().routes().get(&request.kind).cloned();
        let idempotent = route
            .as_ref()
            .is_some_and(|route| route.effect == RunEffect::Idempotent);
        if !idempotent && self.mode != Mode::Fallback && *home == self.domain {
            self.submit_ledgered(site, submitter, request, route.as_ref());
            return;
        }
        let refusal = match &route {
            None => Some(Reason::UnknownKind),
            // The sender has other tables, by which the kind was idempotent.
            Some(_) if !idempotent => Some(Reason::TablesUnavailable),
            Some(_) => None,
        };
        match (refusal, route) {
            (None, Some(route)) => self.submit_direct(site, submitter, request, &route),
            (reason, _) => refuse(site, submitter, reason.unwrap_or(Reason::UnknownKind)),
        }
    }

    fn submit_direct(
        &mut self,
        site: &mut Site<'_, '_>,
        submitter: Submitter,
        request: Request,
        route: &Route,
    ) {
        let job = Box::new(new_job(site, Owner::Direct(submitter), request, route));
        match self.queue(site, &job, false) {
            Ok(()) => {
                site.submissions.pending(submitter, &self.domain, job.id);
                self.jobs.insert(job.id, job);
            }
            Err(refusal) => site.answer(submitter, refused(refusal)),
        }
    }

    /// Looks the key up in the ledger, then attaches, answers, refuses or admits.
    fn submit_ledgered(
        &mut self,
        site: &mut Site<'_, '_>,
        submitter: Submitter,
        request: Request,
        route: Option<&Route>,
    ) {
        let key = RequestKey {
            tenant: request.tenant.clone(),
            key: request.key.clone(),
        };
        let digest = request.digest();
        let known = match (self.by_key.get(&key), site.ledger.and_then(|l| l.get(&key))) {
            (Some(job), _) => self.jobs.get(job).map(|job| job.request.digest()),
            (None, Some(record)) => Some(record.digest),
            (None, None) => None,
        };
        match known {
            Some(known) if known != digest => refuse(site, submitter, Reason::KeyReused),
            Some(_) => self.attach(site, submitter, &key),
            None => match route {
                Some(route) => self.admit(site, submitter, key, request, route),
                None => refuse(site, submitter, Reason::UnknownKind),
            },
        }
    }

    /// Answers from an ended record, or lets the caller wait for the running one.
    fn attach(&mut self, site: &mut Site<'_, '_>, submitter: Submitter, key: &RequestKey) {
        let ended = site.ledger.and_then(|l| l.get(key)).and_then(ended_verdict);
        if let Some(verdict) = ended {
            site.answer(submitter, verdict);
            return;
        }
        let Some(id) = self.by_key.get(key).copied() else {
            return;
        };
        site.submissions.pending(submitter, &self.domain, id);
        if let Some(job) = self.jobs.get_mut(&id)
            && let Owner::Ledger { waiters, .. } = &mut job.owner
        {
            waiters.push(submitter);
        }
    }

    fn admit(
        &mut self,
        site: &mut Site<'_, '_>,
        submitter: Submitter,
        key: RequestKey,
        request: Request,
        route: &Route,
    ) {
        if self.refused.later_refused(&key, request.attempt) {
            refuse(site, submitter, Reason::TimeLimit);
            return;
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
        let mut job = Box::new(new_job(site, owner, request, route));
        let queued = self.queue(site, &job, false);
        if let Err(refusal) = queued
            && self.remote_target(site, &job).is_none()
        {
            self.refused
                .remember(site.now_ms(), key, job.request.attempt);
            site.answer(submitter, refused(refusal));
            return;
        }
        job.stage = Stage::Queued;
        let id = job.id;
        site.submissions.pending(submitter, &self.domain, id);
        self.by_key.insert(key, id);
        self.jobs.insert(id, job);
        self.propose(site, admit);
        if queued.is_err() {
            self.delegate(site, id);
        }
    }

    /// Puts a job into the scheduler's queue.
    pub(super) fn queue(
        &mut self,
        site: &Site<'_, '_>,
        job: &Job,
        accepted: bool,
    ) -> Result<(), Refusal> {
        self.due = true;
        let queued = QueuedJob {
            id: job.id,
            kind: job.request.kind.clone(),
            tenant: job.request.tenant.clone(),
            deadline_ms: job.deadline_ms,
            earlier_attempts: job.tries,
            accepted,
        };
        self.scheduler.submit(site.now_ms(), queued)
    }

    /// Takes a queued job out of the scheduler; returns whether it does not run.
    pub(super) fn dequeue(&mut self, now_ms: Millis, id: JobId) -> bool {
        !matches!(self.scheduler.cancel(now_ms, id), CancelOutcome::Running(_))
    }

    /// Ends a job that is not in the scheduler any more and did not start.
    pub(super) fn refuse_queued(
        &mut self,
        site: &mut Site<'_, '_>,
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
                let elsewhere = !matches!(reason, Reason::Cancelled | Reason::TimeLimit);
                if elsewhere && self.delegate(site, id) {
                    return;
                }
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.stage = Stage::Ending;
                    job.refusal = Some((reason, retry_after_ms));
                }
                self.propose(site, LedgerCommand::Withdraw { key });
            }
            Owner::Direct(submitter) => {
                let submitter = *submitter;
                let verdict = end_verdict(job.may_have_run, reason, retry_after_ms);
                self.remove_job(id);
                site.answer(submitter, verdict);
            }
            Owner::Foreign { .. } => self.refuse_foreign(site, id, retry_after_ms),
        }
    }

    /// Forgets a job and its tasks.
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

    /// Answers everybody who waits for a ledgered job and forgets it.
    pub(super) fn end_ledgered(
        &mut self,
        site: &mut Site<'_, '_>,
        id: JobId,
        verdict: &Verdict,
        state: &crate::RequestState,
    ) {
        let Some(job) = self.remove_job(id) else {
            return;
        };
        if let (Owner::Ledger { key, .. }, Verdict::NotRun { .. }) = (&job.owner, verdict) {
            self.refused
                .remember(site.now_ms(), key.clone(), job.request.attempt);
        }
        if let Owner::Ledger {
            waiters, inquirers, ..
        } = job.owner
        {
            for waiter in waiters {
                site.answer(waiter, verdict.clone());
            }
            for inquirer in inquirers {
                site.answer_inquiry(inquirer, state.clone());
            }
        }
    }

    /// Ends queued jobs whose time limit has run out.
    pub(super) fn scan_deadlines(&mut self, site: &mut Site<'_, '_>) {
        let now_ms = site.now_ms();
        let overdue: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.stage == Stage::Queued && now_ms >= job.deadline_ms)
            .map(|(id, _)| *id)
            .collect();
        for id in overdue {
            if self.dequeue(now_ms, id) {
                self.refuse_queued(site, id, Reason::TimeLimit, RETRY_AFTER_MS);
            }
        }
    }
}

/// Creates a job that is accepted now.
pub(super) fn new_job(
    site: &mut Site<'_, '_>,
    owner: Owner,
    request: Request,
    route: &Route,
) -> Job {
    let now_ms = site.now_ms();
    Job {
        id: next_job(site.next_job),
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

/// Creates a job for a record that this placer takes over.
pub(super) fn recorded_job(
    site: &mut Site<'_, '_>,
    key: &RequestKey,
    record: &LedgerRecord,
) -> Job {
    let now_ms = site.now_ms();
    let class = site.tables.tables().routes().get(&record.kind);
    let class = class.map_or(Class::Standard, |route| route.class);
    Job {
        id: next_job(site.next_job),
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
        // The earlier placer knew whether the last attempt ran; this one does not.
        may_have_run: !record.once && record.attempt.0 > 0,
        refusal: None,
        refused_by: Vec::new(),
    }
}

/// Verdict on a job that ends without an answer.
pub(super) fn end_verdict(may_have_run: bool, reason: Reason, retry_after_ms: Millis) -> Verdict {
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

fn refused(refusal: Refusal) -> Verdict {
    Verdict::NotRun {
        reason: refusal.reason,
        retry_after_ms: refusal.retry_after_ms,
    }
}

fn refuse(site: &mut Site<'_, '_>, submitter: Submitter, reason: Reason) {
    site.answer(submitter, end_verdict(false, reason, RETRY_AFTER_MS));
}
