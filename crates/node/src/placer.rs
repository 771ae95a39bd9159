//! Placer role: assigns the jobs of one failure domain to workers and calls those workers.

use acaciareel_scheduler::{Decision, JobId, Scheduler, SchedulerSettings, TaskKey};
use acaciareel_types::{
    Answer, Attempt, Class, CountedMemory, Effect as RunEffect, FailureDomain, Incarnation, Millis,
    Reason, Request, Resources, SortedVec, TaskId, Term, Verdict, VmId, WorkerId,
};

use crate::{
    LedgerCommand, PeerMessage, Placing, PoolRoom, PoolStatus, RequestKey, RequestState,
    calls::Calls,
    io::Io,
    ledger_state::Ledger,
    peers::Peers,
    submissions::{Submissions, Submitter},
    tables_state::TablesState,
};

mod applied;
mod attempts;
mod cancel;
mod delegated;
mod jobs;
mod lease;
mod recovery;
mod registry;
mod remote;
mod results;
mod start;

pub(crate) use registry::RegisteredWorker;

/// Time between passes over all jobs and workers. A pass at each tick of 20 ms took 7.7 % of a core
/// with 370 workers and 2,300 running tasks.
const SCAN_INTERVAL_MS: Millis = Millis(100);

/// Authority under which a placer starts tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mode {
    /// The VM leads the domain's ledger group in this term.
    Ledger { term: Term },
    /// The ledger group has no majority; only idempotent kinds are served.
    Fallback,
}

impl Mode {
    pub fn term(self) -> Term {
        match self {
            Self::Ledger { term } => term,
            Self::Fallback => Term(0),
        }
    }
}

/// State of the VM that a placer reads and changes while it handles one event.
pub(crate) struct PlacerContext<'a, 'b> {
    pub vm: VmId,
    /// See `Entry::process_epoch`.
    pub process_epoch: u64,
    pub peers: &'a Peers,
    /// Whether this VM leads the domain's ledger group and no other leader can exist.
    pub holds_lease: bool,
    pub ledger: Option<&'a Ledger>,
    pub tables: &'a TablesState,
    pub drains: &'a SortedVec<WorkerId, Option<Incarnation>>,
    pub calls: &'a mut Calls,
    pub submissions: &'a mut Submissions,
    pub next_job: &'a mut u64,
    /// Commands to propose to the domain's ledger group after the call.
    pub proposals: Vec<LedgerCommand>,
    pub io: &'a mut Io<'b>,
}

impl PlacerContext<'_, '_> {
    pub fn now_ms(&self) -> Millis {
        self.io.now_ms
    }

    /// Sends the final verdict on a submission and keeps it for repeated copies.
    pub fn answer(&mut self, submitter: Submitter, verdict: Verdict) {
        self.submissions.done(submitter, Some(&verdict));
        let submission = submitter.submission;
        let message = PeerMessage::SubmitReply {
            submission,
            verdict,
        };
        self.io.send(submitter.vm, message);
    }

    pub fn answer_inquiry(&mut self, (vm, inquiry): (VmId, u64), state: RequestState) {
        self.io
            .send(vm, PeerMessage::InquireReply { inquiry, state });
    }
}

/// Receiver of a job's result.
#[derive(Debug)]
pub(crate) enum Owner {
    /// An idempotent request. No ledger records it; only its entry VM and this placer hold it.
    Direct(Submitter),
    /// A request recorded in this domain's ledger.
    Ledger {
        key: RequestKey,
        /// Submissions that wait for the verdict.
        waiters: Vec<Submitter>,
        /// Cancelling inquiries that wait for the outcome.
        inquirers: Vec<(VmId, u64)>,
    },
    /// A task of another domain's ledger, delegated to this placer by its home.
    RemoteLedger { home: VmId, task: TaskId },
}

/// Phase of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// The job is in the scheduler's queue.
    Queued,
    /// An attempt is in progress.
    Placed,
    /// `Return`, `Withdraw` or `Lose` is proposed and not yet committed.
    Ending,
}

/// Where a task runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Location {
    Worker {
        worker: WorkerId,
        incarnation: Incarnation,
    },
    /// Another domain's placer runs the task. `term` is the term of that placer, or `None` for a
    /// task that a new placer has read from the ledger.
    Domain {
        domain: FailureDomain,
        term: Option<Term>,
        next_send_ms: Millis,
    },
}

/// State of one task of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TaskState {
    /// `Start` is proposed and not yet committed.
    Committing,
    /// `Start` is committed or not needed; the start call has not been sent.
    Unsent,
    /// The start call was sent and has no reply yet.
    Calling,
    /// The start call failed or timed out after it was sent; the worker may have the task.
    Uncertain,
    /// A new placer has read the task from the ledger; its worker has not reported yet.
    Recovering,
    /// The worker has accepted the task or lists it.
    Running { accepted_ms: Millis },
    /// Sent to another domain's placer, which has not acknowledged it.
    Offered,
    /// Another domain's placer has acknowledged the task.
    Delegated,
    /// `Finish` is proposed and not yet committed.
    Finishing,
    /// The answer is recorded.
    Answered,
    /// No worker ran the task, and none can run it any more.
    NeverRan,
    /// The task has certainly ended without an answer; it may have run.
    Lost,
}

impl TaskState {
    /// Returns whether the state is final.
    pub fn settled(self) -> bool {
        matches!(self, Self::Answered | Self::NeverRan | Self::Lost)
    }
}

/// One task of an attempt.
#[derive(Debug)]
pub(crate) struct Task {
    pub id: TaskId,
    pub location: Location,
    pub state: TaskState,
    pub reserved: Resources,
    /// Token of the call that started or last confirmed the task, compared with the token of the
    /// call that a worker's report replies to.
    pub token: acaciareel_types::FencingToken,
    pub placed_ms: Millis,
    /// When the start call was sent.
    pub called_ms: Millis,
    /// Whether the scheduler reserves capacity for it.
    pub scheduled: bool,
    /// Whether a stop or checkpoint was requested, so that a failure is not an answer.
    pub stop_requested: bool,
    /// VMs that wait for the acknowledgement of its result.
    pub acks: Vec<VmId>,
    pub answer: Option<Answer>,
}

/// A request, or a task delegated by another domain, that this placer works on.
#[derive(Debug)]
pub(crate) struct Job {
    pub id: JobId,
    pub owner: Owner,
    pub request: Request,
    pub effect: RunEffect,
    pub class: Class,
    pub accepted_ms: Millis,
    pub deadline_ms: Millis,
    /// Number of the latest attempt in the ledger.
    pub attempt: Attempt,
    /// Attempts so far, for the retry budget.
    pub tries: u32,
    pub stage: Stage,
    pub tasks: Vec<Task>,
    pub cancelled: bool,
    /// Whether its running tasks may be stopped. A stopped task leaves no trace on its worker, so
    /// `Cancel` of a recorded job is committed first: otherwise a new placer would conclude that
    /// the task never ran.
    pub may_stop: bool,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// Reason and retry-after time of the verdict to give once `Withdraw` is committed.
    pub refusal: Option<(Reason, Millis)>,
    /// Domains that refused the job; they are not chosen again.
    pub refused_by: Vec<FailureDomain>,
}

/// Placer of one failure domain.
#[derive(Debug)]
pub(crate) struct Placer {
    pub domain: FailureDomain,
    pub mode: Mode,
    /// Number of this placer role among those that the VM has taken.
    role_number: u64,
    /// When this role began.
    ready_ms: Millis,
    /// Time without a ledger leader before this role, or `None` if no earlier leader is known.
    leaderless_ms: Option<Millis>,
    scheduler: Scheduler,
    decision_due: bool,
    workers: SortedVec<WorkerId, RegisteredWorker>,
    /// Boxed, so that the removal of one of 10,000 queued jobs moves 160 KB instead of 5 MB.
    jobs: SortedVec<JobId, Box<Job>>,
    /// Memory of the bodies of all jobs.
    body_memory: CountedMemory,
    by_task: SortedVec<TaskId, JobId>,
    by_key: SortedVec<RequestKey, JobId>,
    /// Outcomes of ended tasks of other domains' ledgers; a late copy of `Place` must not run.
    ended_delegated: delegated::Tombstones,
    /// Refused keys with the attempt; a late copy of an earlier attempt must not run.
    refused: jobs::RefusedKeys,
    /// Uncommitted proposals with the time of sending, oldest first.
    in_flight: std::collections::VecDeque<(LedgerCommand, Millis)>,
    /// Slots of the tasks sent recently to each domain, with the time of the first.
    recently_sent: SortedVec<FailureDomain, (Millis, u32)>,
    next_task: u64,
    next_scan_ms: Millis,
    free_capacity: Vec<PoolRoom>,
    retention: applied::Retention,
}

impl Placer {
    pub fn new(
        domain: FailureDomain,
        mode: Mode,
        role_number: u64,
        seed: u64,
        now_ms: Millis,
    ) -> Self {
        Self {
            domain,
            mode,
            role_number,
            ready_ms: now_ms,
            leaderless_ms: None,
            scheduler: Scheduler::new(SchedulerSettings { seed }),
            decision_due: true,
            workers: SortedVec::new(),
            jobs: SortedVec::new(),
            body_memory: CountedMemory::new(jobs::BODY_MEMORY),
            by_task: SortedVec::new(),
            by_key: SortedVec::new(),
            ended_delegated: delegated::Tombstones::default(),
            refused: jobs::RefusedKeys::default(),
            in_flight: std::collections::VecDeque::new(),
            recently_sent: SortedVec::new(),
            next_task: 0,
            next_scan_ms: now_ms,
            free_capacity: Vec::new(),
            retention: applied::Retention::default(),
        }
    }

    /// Returns the entry of this role in a heartbeat.
    pub fn placing(&self) -> Placing {
        Placing {
            domain: self.domain.clone(),
            term: self.mode.term(),
            rooms: self.free_capacity.clone(),
        }
    }

    /// Returns the state of each pool of the domain.
    pub fn pools(&self) -> Vec<PoolStatus> {
        let summaries = self.scheduler.pool_summaries().into_iter();
        summaries
            .map(|summary| PoolStatus {
                failure_domain: self.domain.clone(),
                summary,
            })
            .collect()
    }

    /// Returns whether only recorded jobs are left. They go on under the next leader of the ledger,
    /// so this VM need not stay for them.
    pub fn is_idle(&self) -> bool {
        self.jobs
            .values()
            .all(|job| matches!(job.owner, Owner::Ledger { .. }))
    }

    /// Loads the tables in force and recovers the records of the ledger.
    pub fn take_over(&mut self, ctx: &mut PlacerContext<'_, '_>, leaderless_ms: Option<Millis>) {
        self.leaderless_ms = leaderless_ms;
        self.scheduler.set_tables(ctx.now_ms(), ctx.tables.tables());
        self.recover_records(ctx);
    }

    pub fn tables_changed(&mut self, ctx: &mut PlacerContext<'_, '_>) {
        self.scheduler.set_tables(ctx.now_ms(), ctx.tables.tables());
        self.decision_due = true;
    }

    /// Ends the role. Queued idempotent requests go back to their entry VMs. Running ones are
    /// returned, since their results will still arrive.
    pub fn retire(
        self,
        submissions: &mut Submissions,
        process_epoch: u64,
        io: &mut Io<'_>,
    ) -> Vec<(TaskId, Submitter)> {
        let mut running = Vec::new();
        for (_, job) in self.jobs {
            let submitter = match job.owner {
                Owner::Direct(submitter) => submitter,
                Owner::RemoteLedger { home, task } if job.stage == Stage::Queued => {
                    // No later placer accepts a `Place` of this term, so the task never runs here.
                    let retry_after_ms = Millis(0);
                    let message = PeerMessage::PlaceRefused {
                        task,
                        retry_after_ms,
                    };
                    io.send(home, message);
                    continue;
                }
                Owner::RemoteLedger { .. } | Owner::Ledger { .. } => continue,
            };
            match job.tasks.as_slice() {
                [] if !job.may_have_run => {
                    submissions.done(submitter, None);
                    let submission = submitter.submission;
                    let message = PeerMessage::NotPlacer {
                        submission,
                        placer: None,
                        life: process_epoch,
                    };
                    io.send(submitter.vm, message);
                }
                [task] => running.push((task.id.clone(), submitter)),
                // The answers of a gang cannot be joined without the job, and an earlier attempt of
                // a retried task may have run.
                _ => {
                    let verdict = Verdict::MayHaveRun {
                        reason: Reason::OwnerLost,
                    };
                    submissions.done(submitter, Some(&verdict));
                    let submission = submitter.submission;
                    let message = PeerMessage::SubmitReply {
                        submission,
                        verdict,
                    };
                    io.send(submitter.vm, message);
                }
            }
        }
        running
    }

    /// Does the periodic work. Due at each tick of the node.
    pub fn tick(&mut self, ctx: &mut PlacerContext<'_, '_>) {
        self.tick_proposals(ctx);
        self.decision_due = true;
        if ctx.now_ms() >= self.next_scan_ms {
            self.next_scan_ms = ctx.now_ms().saturating_add(SCAN_INTERVAL_MS);
            self.tick_leases(ctx);
            self.tick_unsent(ctx);
            self.tick_remote(ctx);
            self.scan_deadlines(ctx);
            self.refresh_free_capacity();
            self.tick_retention(ctx);
        }
    }

    fn refresh_free_capacity(&mut self) {
        let pools = self.scheduler.pool_summaries().into_iter();
        let pools = pools.map(|summary| PoolRoom {
            pool: summary.pool,
            workers: summary.workers,
            free_slots: summary.usable_slots,
            predicted_wait_ms: summary.predicted_wait_ms,
        });
        self.free_capacity = pools.collect();
    }

    /// Runs the scheduler if anything has changed, and carries out its decisions.
    pub fn decide_if_due(&mut self, ctx: &mut PlacerContext<'_, '_>) {
        if !self.decision_due {
            return;
        }
        self.decision_due = false;
        let may_place = ctx.holds_lease || self.mode == Mode::Fallback;
        if !may_place {
            return;
        }
        let mut decisions = Vec::new();
        self.scheduler.decide(ctx.now_ms(), &mut decisions);
        for decision in decisions {
            match decision {
                Decision::Place { job, placements } => self.place(ctx, job, placements),
                Decision::Refuse { job, refusal } => {
                    self.refuse_queued(ctx, job, refusal.reason, refusal.retry_after_ms);
                }
                Decision::Preempt { task, worker, mode } => {
                    self.preempt(ctx, task, &worker, mode);
                }
            }
        }
    }

    fn task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        let index = usize::try_from(key.index).ok()?;
        self.jobs.get_mut(&key.job)?.tasks.get_mut(index)
    }

    fn index_of(&self, job: JobId, task: &TaskId) -> Option<usize> {
        let tasks = &self.jobs.get(&job)?.tasks;
        tasks.iter().position(|candidate| candidate.id == *task)
    }

    /// Proposes a command and keeps it until it is committed, to propose it again if necessary.
    fn propose(&mut self, ctx: &mut PlacerContext<'_, '_>, command: LedgerCommand) {
        self.in_flight.push_back((command.clone(), ctx.now_ms()));
        ctx.proposals.push(command);
    }
}

/// Returns the key of the task at an index of a job.
fn task_key(job: JobId, index: usize) -> TaskKey {
    let index = u32::try_from(index).unwrap_or(u32::MAX);
    TaskKey { job, index }
}
