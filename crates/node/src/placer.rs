//! Placer role: decides where the work of one failure domain runs and tells its workers.

use acaciareel_scheduler::{Decision, JobId, Scheduler, SchedulerSettings, TaskKey};
use acaciareel_types::{
    Answer, Attempt, Class, Effect as RunEffect, FailureDomain, Incarnation, Millis, Reason,
    Request, Resources, SortedVec, TaskId, Term, Verdict, VmId, WorkerId,
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
mod foreign;
mod jobs;
mod lease;
mod recovery;
mod remote;
mod results;
mod roster;
mod start;

pub(crate) use roster::Registered;

/// Time between passes over all jobs and workers. A pass at each tick of 20 ms took 7.7 % of a core
/// with 370 workers and 2,300 running tasks.
const SCAN_INTERVAL_MS: Millis = Millis(100);

/// On what right a placer places work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mode {
    /// It leads the domain's ledger in this term.
    Ledger { term: Term },
    /// The ledger has no majority; only idempotent kinds are served.
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

/// What a placer sees and uses of its VM while it handles one event.
pub(crate) struct Site<'a, 'b> {
    pub vm: VmId,
    /// Number of this life of the process.
    pub life: u64,
    pub peers: &'a Peers,
    pub holds_lease: bool,
    pub ledger: Option<&'a Ledger>,
    pub tables: &'a TablesState,
    pub drains: &'a SortedVec<WorkerId, Option<Incarnation>>,
    pub calls: &'a mut Calls,
    pub submissions: &'a mut Submissions,
    pub next_job: &'a mut u64,
    /// Commands to propose to the domain's ledger.
    pub proposals: Vec<LedgerCommand>,
    pub io: &'a mut Io<'b>,
}

impl Site<'_, '_> {
    pub fn now_ms(&self) -> Millis {
        self.io.now_ms
    }

    /// Answers a submission for good.
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

/// Who gets the answer of a job.
#[derive(Debug)]
pub(crate) enum Owner {
    /// An idempotent request, known only to its entry VM and this placer.
    Direct(Submitter),
    /// A request recorded in this domain's ledger.
    Ledger {
        key: RequestKey,
        waiters: Vec<Submitter>,
        inquirers: Vec<(VmId, u64)>,
    },
    /// A task of another domain's ledger, placed here on its behalf.
    Foreign { home: VmId, task: TaskId },
}

/// Where a job stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// In the scheduler's queue.
    Queued,
    /// An attempt is in progress.
    Placed,
    /// `Return`, `Withdraw` or `Lose` is proposed.
    Ending,
}

/// Place of a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Location {
    Worker {
        worker: WorkerId,
        incarnation: Incarnation,
    },
    /// Placed by another domain's placer; `term` is unknown after a change of this placer.
    Domain {
        domain: FailureDomain,
        term: Option<Term>,
        next_send_ms: Millis,
    },
}

/// State of one task of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TaskState {
    /// `Start` is proposed.
    Committing,
    /// `Start` is committed, or not needed; the worker was not told yet.
    Unsent,
    /// The worker was told and has not replied.
    Calling,
    /// The call broke; the worker may have the task.
    Uncertain,
    /// Known from the ledger after a change of placer; the worker has not reported yet.
    Recovering,
    /// The worker has accepted the task.
    Running { accepted_ms: Millis },
    /// Sent to another domain's placer, which has not acknowledged it.
    Offered,
    /// Another domain's placer has it.
    Delegated,
    /// `Finish` is proposed.
    Finishing,
    /// The answer is recorded.
    Answered,
    /// The worker never ran it and cannot any more.
    NeverRan,
    /// It may have run, has certainly ended, and gave no answer.
    Gone,
}

impl TaskState {
    pub fn settled(self) -> bool {
        matches!(self, Self::Answered | Self::NeverRan | Self::Gone)
    }
}

/// One task of an attempt.
#[derive(Debug)]
pub(crate) struct Task {
    pub id: TaskId,
    pub location: Location,
    pub state: TaskState,
    pub reserved: Resources,
    /// Token of the call that started it, to judge a worker's report.
    pub token: acaciareel_types::FencingToken,
    pub placed_ms: Millis,
    /// When the worker was told.
    pub called_ms: Millis,
    /// Whether the scheduler holds room for it.
    pub scheduled: bool,
    /// Whether the worker was asked to stop it, so that a failure is not an answer.
    pub stopped: bool,
    /// VMs that wait for the acknowledgement of its result.
    pub acks: Vec<VmId>,
    pub answer: Option<Answer>,
}

/// A request that this placer works on.
#[derive(Debug)]
pub(crate) struct Job {
    pub id: JobId,
    pub owner: Owner,
    pub request: Request,
    pub effect: RunEffect,
    pub class: Class,
    pub accepted_ms: Millis,
    pub deadline_ms: Millis,
    /// Latest attempt in the ledger.
    pub attempt: Attempt,
    /// Attempts of this placer, for the retry budget.
    pub tries: u32,
    pub stage: Stage,
    pub tasks: Vec<Task>,
    pub cancelled: bool,
    /// Whether its running tasks may be stopped. A stopped task leaves no trace on its worker, so
    /// for a recorded job `Cancel` is committed first: a new placer must not think that it never ran.
    pub may_stop: bool,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// Verdict to give once `Withdraw` is committed.
    pub refusal: Option<(Reason, Millis)>,
    /// Domains that refused it.
    pub refused_by: Vec<FailureDomain>,
}

/// Placer of one failure domain.
#[derive(Debug)]
pub(crate) struct Placer {
    pub domain: FailureDomain,
    pub mode: Mode,
    /// Number of this placer role among those of the VM.
    life: u64,
    ready_ms: Millis,
    /// Time without any placer before this role, if an earlier placer was known.
    gap_ms: Option<Millis>,
    scheduler: Scheduler,
    due: bool,
    workers: SortedVec<WorkerId, Registered>,
    /// Boxed, so that the end of one of 10,000 queued jobs moves 160 KB instead of 5 MB.
    jobs: SortedVec<JobId, Box<Job>>,
    by_task: SortedVec<TaskId, JobId>,
    by_key: SortedVec<RequestKey, JobId>,
    /// Ended tasks of other domains' ledgers, so that a late copy of `Place` is not run.
    foreign_ended: foreign::Tombstones,
    /// Refused keys with the attempt, so that a late copy of an earlier attempt is not run.
    refused: jobs::RefusedKeys,
    /// Proposals without a commit, oldest first.
    in_flight: std::collections::VecDeque<(LedgerCommand, Millis)>,
    /// Tasks sent to other domains lately, with the time of the first.
    sent_to: SortedVec<FailureDomain, (Millis, u32)>,
    next_task: u64,
    next_scan_ms: Millis,
    rooms: Vec<PoolRoom>,
    retention: applied::Retention,
}

impl Placer {
    pub fn new(domain: FailureDomain, mode: Mode, life: u64, seed: u64, now_ms: Millis) -> Self {
        Self {
            domain,
            mode,
            life,
            ready_ms: now_ms,
            gap_ms: None,
            scheduler: Scheduler::new(SchedulerSettings { seed }),
            due: true,
            workers: SortedVec::new(),
            jobs: SortedVec::new(),
            by_task: SortedVec::new(),
            by_key: SortedVec::new(),
            foreign_ended: foreign::Tombstones::default(),
            refused: jobs::RefusedKeys::default(),
            in_flight: std::collections::VecDeque::new(),
            sent_to: SortedVec::new(),
            next_task: 0,
            next_scan_ms: now_ms,
            rooms: Vec::new(),
            retention: applied::Retention::default(),
        }
    }

    /// Returns what a heartbeat says about this role.
    pub fn placing(&self) -> Placing {
        Placing {
            domain: self.domain.clone(),
            term: self.mode.term(),
            rooms: self.rooms.clone(),
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

    /// Returns whether nothing is queued or runs for which this VM must stay.
    pub fn is_idle(&self) -> bool {
        self.jobs
            .values()
            .all(|job| matches!(job.owner, Owner::Ledger { .. }))
    }

    /// Starts from the tables in force and the ledger.
    pub fn take_over(&mut self, site: &mut Site<'_, '_>, gap_ms: Option<Millis>) {
        self.gap_ms = gap_ms;
        self.scheduler
            .set_tables(site.now_ms(), site.tables.tables());
        self.recover_records(site);
    }

    pub fn tables_changed(&mut self, site: &mut Site<'_, '_>) {
        self.scheduler
            .set_tables(site.now_ms(), site.tables.tables());
        self.due = true;
    }

    /// Ends the role. Queued idempotent requests go back to their entry VMs; running ones are
    /// returned, since their results will still arrive.
    pub fn retire(
        self,
        submissions: &mut Submissions,
        vm_life: u64,
        io: &mut Io<'_>,
    ) -> Vec<(TaskId, Submitter)> {
        let mut running = Vec::new();
        for (_, job) in self.jobs {
            let submitter = match job.owner {
                Owner::Direct(submitter) => submitter,
                Owner::Foreign { home, task } if job.stage == Stage::Queued => {
                    // No later placer takes this term's copy, so the task never runs here.
                    let retry_after_ms = Millis(0);
                    let message = PeerMessage::PlaceRefused {
                        task,
                        retry_after_ms,
                    };
                    io.send(home, message);
                    continue;
                }
                Owner::Foreign { .. } | Owner::Ledger { .. } => continue,
            };
            match job.tasks.as_slice() {
                [] if !job.may_have_run => {
                    submissions.done(submitter, None);
                    let submission = submitter.submission;
                    let message = PeerMessage::NotPlacer {
                        submission,
                        placer: None,
                        life: vm_life,
                    };
                    io.send(submitter.vm, message);
                }
                [task] => running.push((task.id.clone(), submitter)),
                // A gang's answer cannot be joined without the job; a retry may have run before.
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

    /// Lets time pass.
    pub fn tick(&mut self, site: &mut Site<'_, '_>) {
        self.tick_proposals(site);
        self.due = true;
        if site.now_ms() >= self.next_scan_ms {
            self.next_scan_ms = site.now_ms().saturating_add(SCAN_INTERVAL_MS);
            self.tick_leases(site);
            self.tick_unsent(site);
            self.tick_remote(site);
            self.scan_deadlines(site);
            self.refresh_rooms();
            self.tick_retention(site);
        }
    }

    fn refresh_rooms(&mut self) {
        let rooms = self.scheduler.pool_summaries().into_iter();
        let rooms = rooms.map(|summary| PoolRoom {
            pool: summary.pool,
            workers: summary.workers,
            free_slots: summary.usable_slots,
            predicted_wait_ms: summary.predicted_wait_ms,
        });
        self.rooms = rooms.collect();
    }

    /// Carries out the scheduler's decisions.
    pub fn decide_if_due(&mut self, site: &mut Site<'_, '_>) {
        if !self.due {
            return;
        }
        self.due = false;
        let may_place = site.holds_lease || self.mode == Mode::Fallback;
        if !may_place {
            return;
        }
        let mut decisions = Vec::new();
        self.scheduler.decide(site.now_ms(), &mut decisions);
        for decision in decisions {
            match decision {
                Decision::Place { job, placements } => self.place(site, job, placements),
                Decision::Refuse { job, refusal } => {
                    self.refuse_queued(site, job, refusal.reason, refusal.retry_after_ms);
                }
                Decision::Preempt { task, worker, mode } => {
                    self.preempt(site, task, &worker, mode);
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

    /// Proposes a command and remembers it until it is committed.
    fn propose(&mut self, site: &mut Site<'_, '_>, command: LedgerCommand) {
        self.in_flight.push_back((command.clone(), site.now_ms()));
        site.proposals.push(command);
    }
}

/// Returns the key of the n-th task of a job.
fn task_key(job: JobId, index: usize) -> TaskKey {
    let index = u32::try_from(index).unwrap_or(u32::MAX);
    TaskKey { job, index }
}
