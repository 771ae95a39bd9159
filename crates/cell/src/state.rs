//! The replicated state machine of a cell.

use std::collections::BTreeMap;

use acaciareel_types::SortedVec;
use serde::{Deserialize, Serialize};

use crate::{
    Command, CrashCount, Job, JobId, JobState, QueueTable, RunKey, TaskKey, TaskState,
    WorkerIncarnation, WorkerNumber, WorkerRecord,
    crashes::{Crashes, StoredCrashes},
    placed_runs::PlacedRuns,
};

/// Result of a command, for the leader of this state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A queue table was handled; the table in force has at least this version.
    Queues(u64),
    /// A worker joined, or its record was handled.
    Worker {
        /// Number of the worker.
        worker: WorkerNumber,
        /// Runs under which an earlier incarnation, or another worker at the address, crashed, and
        /// the worker that crashed.
        crashed: Vec<(WorkerNumber, RunKey)>,
    },
    /// A worker was removed.
    WorkerRemoved {
        /// Number of the worker.
        worker: WorkerNumber,
        /// Runs that were placed on it and have ended with the removal, sorted.
        lost: Vec<RunKey>,
    },
    /// A job is stored, now or by an earlier command.
    Accepted(JobId),
    /// A cancellation was handled, also of an unknown or ended job.
    Cancelled(JobId),
    /// Runs were placed on a worker.
    Placed {
        /// Runs that may start.
        runs: Vec<RunKey>,
        /// Runs that must not start, because the job, the task or the worker changed since they
        /// were proposed.
        refused: Vec<RunKey>,
        /// Worker named by the command.
        worker: WorkerNumber,
    },
    /// Completions of a worker were handled.
    RunsCompleted {
        /// Worker that reported the completions.
        worker: WorkerIncarnation,
        /// Number of the last completion in the count of this incarnation.
        through: u64,
        /// Jobs of the completed runs, sorted.
        jobs: Vec<JobId>,
        /// Runs, with their workers, of tasks that an earlier run has ended.
        superfluous: Vec<(WorkerNumber, RunKey)>,
    },
    /// Runs were recorded as lost, or ended jobs were removed.
    RunsLost {
        /// Jobs of the lost runs, sorted.
        jobs: Vec<JobId>,
    },
    /// A worker has begun a run of a job, now or earlier.
    Started(JobId),
}

/// Replicated state of a cell: the queue table, the workers and the jobs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CellState {
    queues: QueueTable,
    workers: SortedVec<WorkerNumber, WorkerRecord>,
    /// Number of the worker with each id. Thousands of announcements per second need this lookup, and
    /// thousands of workers may come back under new ids at once: a tree, because each insert into a
    /// sorted vector moves half of the entries.
    numbers_by_id: BTreeMap<String, WorkerNumber>,
    /// Numbers of the workers at each address, in the order in which they were verified there. All but
    /// the last have ended and are being removed.
    numbers_by_address: BTreeMap<String, Vec<WorkerNumber>>,
    next_worker: u32,
    jobs: SortedVec<JobId, Box<Job>>,
    placed: PlacedRuns,
    crashes: Crashes,
    /// Run times that a leader learned, in its encoding; empty before the first save.
    run_times: Vec<u8>,
}

/// Serialised form of the state in a snapshot. Its fields are encoded by position. `J` is a job, or a
/// reference to one, so that the jobs are not copied before they are encoded.
#[derive(Deserialize, Serialize)]
struct Stored<J> {
    queues: QueueTable,
    workers: Vec<(WorkerNumber, WorkerRecord)>,
    next_worker: u32,
    /// Entries of `numbers_by_address` with several workers, whose order matters.
    shared_addresses: Vec<(String, Vec<WorkerNumber>)>,
    jobs: Vec<J>,
    crashes: StoredCrashes,
    run_times: Vec<u8>,
}

impl CellState {
    /// Returns the queue table in force.
    #[must_use]
    pub fn queues(&self) -> &QueueTable {
        &self.queues
    }

    /// Returns the records of all workers by number.
    #[must_use]
    pub fn workers(&self) -> &SortedVec<WorkerNumber, WorkerRecord> {
        &self.workers
    }

    /// Returns all jobs by id, including ended ones that are not removed yet.
    #[must_use]
    pub fn jobs(&self) -> &SortedVec<JobId, Box<Job>> {
        &self.jobs
    }

    /// Returns the job with an id.
    #[must_use]
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id).map(AsRef::as_ref)
    }

    /// Returns the number of the worker with an id.
    #[must_use]
    pub fn worker_by_id(&self, id: &str) -> Option<WorkerNumber> {
        self.numbers_by_id.get(id).copied()
    }

    /// Returns the numbers of the workers at an address, in the order in which they were verified
    /// there. All but the last have ended.
    #[must_use]
    pub fn workers_at(&self, address: &str) -> &[WorkerNumber] {
        let numbers = self.numbers_by_address.get(address);
        numbers.map_or(&[], Vec::as_slice)
    }

    /// Returns whether another worker has been verified at the address of this one since.
    #[must_use]
    pub fn has_successor(&self, worker: WorkerNumber) -> bool {
        let record = self.workers.get(&worker);
        record.is_some_and(|record| self.workers_at(&record.address).last() != Some(&worker))
    }

    /// Returns whether no further incarnation of a worker has joined, and the worker is not removed.
    #[must_use]
    pub fn is_current(&self, worker: WorkerIncarnation) -> bool {
        let record = self.workers.get(&worker.number);
        record.is_some_and(|record| record.incarnation(worker.number) == worker)
    }

    /// Returns the runs that are placed on a worker, sorted.
    #[must_use]
    pub fn placed_on(&self, worker: WorkerNumber) -> &[RunKey] {
        self.placed.on(worker)
    }

    /// Returns the saved run times, as a leader encoded them; empty before the first save.
    #[must_use]
    pub fn run_times(&self) -> &[u8] {
        &self.run_times
    }

    /// Returns the crashes of workers under a task.
    #[must_use]
    pub fn crash_count(&self, key: TaskKey) -> CrashCount {
        self.crashes.count(key)
    }

    /// Returns whether a task must run alone: a suspect, or a task of a gang with a suspect.
    #[must_use]
    pub fn must_run_alone(&self, job: &Job, key: TaskKey) -> bool {
        if !self.crashes.has_any(job.id) {
            return false;
        }
        if job.step_spec(key.step).is_some_and(|spec| spec.gang) {
            let tasks = job.step(key.step).map_or(0, |step| step.tasks.len());
            let mut indexes = (0u32..).take(tasks);
            return indexes.any(|index| {
                let member = TaskKey { index, ..key };
                self.crash_count(member).is_suspect()
            });
        }
        self.crash_count(key).is_suspect()
    }

    /// Returns whether runs on a worker ended with their lease, and the worker has not been in contact
    /// since.
    #[must_use]
    pub fn has_expired_runs(&self, worker: WorkerNumber) -> bool {
        self.crashes.has_expired(worker)
    }

    /// Returns a task that has crashed so many workers that its job must fail.
    #[must_use]
    pub fn exhausted_task(&self, job: &Job) -> Option<(TaskKey, CrashCount)> {
        self.crashes
            .exhausted_task(job.id, |key| has_limit(job, key))
    }

    /// Applies a committed command. Every replica must get the same result for the same commands.
    pub fn apply(&mut self, command: Command) -> Change {
        match command {
            Command::Queues(table) => {
                if table.version > self.queues.version {
                    self.queues = table;
                }
                Change::Queues(self.queues.version)
            }
            Command::Worker(record) => self.put_worker(record),
            Command::RemoveWorker(worker) => self.remove_worker(worker),
            Command::Accept {
                id,
                queue,
                spec,
                tenant,
                over_rate,
                at_unix_ms,
            } => {
                self.jobs.get_or_insert_with(id, || {
                    let job = Job::new(id, queue, spec, at_unix_ms);
                    Box::new(job.owned_by(tenant, over_rate))
                });
                Change::Accepted(id)
            }
            Command::Cancel { id, at_unix_ms } => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.cancel(at_unix_ms);
                }
                Change::Cancelled(id)
            }
            Command::Place { runs, worker } => self.place(runs, worker),
            Command::Completions {
                worker,
                through,
                completions,
                at_unix_ms,
            } => {
                let mut superfluous = Vec::new();
                for completion in &completions {
                    if let Some(job) = self.jobs.get_mut(&completion.run.task.step.job) {
                        superfluous.extend(job.complete_run(
                            completion,
                            worker.number,
                            at_unix_ms,
                            &mut self.placed,
                        ));
                    }
                }
                Change::RunsCompleted {
                    worker,
                    through,
                    jobs: jobs_of(completions.iter().map(|completion| completion.run)),
                    superfluous,
                }
            }
            Command::Lost { worker, runs } => self.lose_runs(worker, &runs),
            Command::LeaseExpired { worker, runs } => {
                // The crash of an earlier incarnation was counted when the present one joined.
                let may_have_crashed = self.is_current(worker);
                let runs = runs.into_iter().map(|(key, checkpoint, confirmed)| {
                    if may_have_crashed {
                        self.crashes.lease_expired(worker.number, key, confirmed);
                    }
                    (key, checkpoint)
                });
                let runs: Vec<_> = runs.collect();
                self.lose_runs(worker.number, &runs)
            }
            Command::RemoveJobs(ids) => {
                let ended = |job: &Job| job.state != JobState::Active && job.occurrences.is_empty();
                self.jobs
                    .retain(|id, job| ids.binary_search(id).is_err() || !ended(job));
                self.crashes.remove_jobs(&ids);
                Change::RunsLost { jobs: Vec::new() }
            }
            Command::Started(id) => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.started = true;
                }
                Change::Started(id)
            }
            Command::Confirmed(run) => {
                self.crashes.confirm(run);
                Change::RunsLost { jobs: Vec::new() }
            }
            Command::ForgetExpired(worker) => {
                if self.is_current(worker) {
                    self.crashes.forget_expired(worker.number);
                }
                Change::RunsLost { jobs: Vec::new() }
            }
            Command::GiveUp { id, at_unix_ms } => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.give_up(at_unix_ms);
                }
                Change::RunsLost { jobs: vec![id] }
            }
            Command::SaveRunTimes(run_times) => {
                self.run_times = run_times;
                Change::RunsLost { jobs: Vec::new() }
            }
        }
    }

    /// Adds a worker or replaces its record. The record of another incarnation is of a later one,
    /// whatever start it names, because the leader has verified it. Within an incarnation, a record of
    /// an earlier announcement than the stored one arrived late and changes nothing. A drain ends only
    /// with the incarnation: a record without it is from before the drain, also if the worker does not
    /// number its announcements.
    fn put_worker(&mut self, mut record: WorkerRecord) -> Change {
        let crashed = self.count_crashes(&record);
        let number = self.worker_by_id(&record.id).unwrap_or_else(|| {
            self.next_worker += 1;
            let number = WorkerNumber(self.next_worker);
            self.numbers_by_id.insert(record.id.clone(), number);
            number
        });
        let known = self.workers.get(&number);
        let same =
            known.filter(|known| known.incarnation_started_ms == record.incarnation_started_ms);
        record.draining |= same.is_some_and(|known| known.draining);
        let is_late = same.is_some_and(|known| known.sequence > record.sequence);
        let stays = same.is_some_and(|known| known.address == record.address);
        if !stays && !is_late {
            let address = known.map(|known| known.address.clone());
            self.forget_address(number, address.as_deref());
            let address = record.address.clone();
            let at_address = self.numbers_by_address.entry(address).or_default();
            at_address.push(number);
        }
        if !is_late {
            self.workers.insert(number, record);
        }
        Change::Worker {
            worker: number,
            crashed,
        }
    }

    /// Removes a worker whose process has ended or that has long been silent without runs. A run that
    /// is still placed on it was committed after the leader proposed the removal: no process can run
    /// it, and no later report would end it.
    fn remove_worker(&mut self, incarnation: WorkerIncarnation) -> Change {
        let worker = incarnation.number;
        if self.workers.contains_key(&worker) && !self.is_current(incarnation) {
            return Change::RunsLost { jobs: Vec::new() };
        }
        if let Some(record) = self.workers.remove(&worker) {
            self.numbers_by_id.remove(&record.id);
            self.forget_address(worker, Some(&record.address));
        }
        self.crashes.forget_expired(worker);
        let lost = self.placed.on(worker).to_vec();
        for key in &lost {
            if let Some(job) = self.jobs.get_mut(&key.task.step.job) {
                job.lose_run(*key, worker, "", &mut self.placed);
            }
        }
        Change::WorkerRemoved { worker, lost }
    }

    /// Removes a worker from those at an address.
    fn forget_address(&mut self, worker: WorkerNumber, address: Option<&str>) {
        let Some(address) = address else {
            return;
        };
        if let Some(numbers) = self.numbers_by_address.get_mut(address) {
            numbers.retain(|number| *number != worker);
            if numbers.is_empty() {
                self.numbers_by_address.remove(address);
            }
        }
    }

    /// Counts the crash of the incarnations that this one follows, under the same id or at the same
    /// address. A worker that was draining has ended as planned. Returns the runs concerned, with
    /// the workers that crashed.
    fn count_crashes(&mut self, record: &WorkerRecord) -> Vec<(WorkerNumber, RunKey)> {
        let number = self.worker_by_id(&record.id);
        let known = number.and_then(|number| self.workers.get(&number));
        if known.is_some_and(|known| {
            known.incarnation_started_ms == record.incarnation_started_ms
                && known.address == record.address
        }) {
            return Vec::new();
        }
        let mut crashed = self.workers_at(&record.address).to_vec();
        crashed.extend(number);
        crashed.sort_unstable();
        crashed.dedup();
        crashed.retain(|number| {
            let known = self.workers.get(number);
            known.is_some_and(|known| !known.draining)
        });
        let mut runs = Vec::new();
        for worker in crashed {
            let jobs = &self.jobs;
            let is_gang = |run: &RunKey| {
                let job = jobs.get(&run.task.step.job);
                let spec = job.and_then(|job| job.step_spec(run.task.step));
                spec.is_some_and(|spec| spec.gang)
            };
            let placed = self.placed.on(worker).to_vec();
            let counted = self.crashes.worker_crashed(worker, placed, is_gang);
            runs.extend(counted.into_iter().map(|run| (worker, run)));
        }
        runs
    }

    fn lose_runs(&mut self, worker: WorkerNumber, runs: &[(RunKey, String)]) -> Change {
        for (key, checkpoint) in runs {
            if let Some(job) = self.jobs.get_mut(&key.task.step.job) {
                job.lose_run(*key, worker, checkpoint, &mut self.placed);
            }
        }
        Change::RunsLost {
            jobs: jobs_of(runs.iter().map(|(key, _)| *key)),
        }
    }

    fn place(&mut self, runs: Vec<RunKey>, incarnation: WorkerIncarnation) -> Change {
        let (worker, current) = (incarnation.number, self.is_current(incarnation));
        if current {
            self.crashes.forget_expired(worker);
        }
        let (runs, refused) = runs.into_iter().partition(|key| {
            let exhausted = self.crash_count(key.task).is_exhausted();
            let job = self.jobs.get_mut(&key.task.step.job);
            current
                && job.is_some_and(|job| {
                    !(exhausted && has_limit(job, key.task))
                        && job.place(*key, worker, &mut self.placed)
                })
        });
        Change::Placed {
            runs,
            refused,
            worker,
        }
    }

    /// Encodes the state for a snapshot.
    ///
    /// # Panics
    ///
    /// Panics if the state cannot be encoded, which its types rule out.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        let stored = Stored {
            queues: self.queues.clone(),
            workers: self.workers.iter().map(|(n, w)| (*n, w.clone())).collect(),
            next_worker: self.next_worker,
            shared_addresses: self
                .numbers_by_address
                .iter()
                .filter(|(_, numbers)| numbers.len() > 1)
                .map(|(address, numbers)| (address.clone(), numbers.clone()))
                .collect(),
            jobs: self.jobs.values().map(AsRef::as_ref).collect::<Vec<&Job>>(),
            crashes: self.crashes.to_stored(),
            run_times: self.run_times.clone(),
        };
        postcard::to_allocvec(&stored).expect("plain data can be encoded")
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid snapshot.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let stored: Stored<Job> = postcard::from_bytes(bytes)?;
        let jobs = stored.jobs.into_iter().map(|job| (job.id, Box::new(job)));
        let jobs: SortedVec<JobId, Box<Job>> = jobs.collect();
        let mut placed = PlacedRuns::default();
        for (task, progress) in jobs.values().flat_map(|job| job.tasks()) {
            if let TaskState::Placed(worker) = progress.state {
                let run = progress.run;
                placed.add(worker, RunKey { task, run });
            }
        }
        let numbers_by_id = stored.workers.iter().map(|(n, w)| (w.id.clone(), *n));
        let mut numbers_by_address = BTreeMap::<_, Vec<_>>::new();
        for (number, record) in &stored.workers {
            let address = record.address.clone();
            numbers_by_address.entry(address).or_default().push(*number);
        }
        numbers_by_address.extend(stored.shared_addresses);
        Ok(Self {
            queues: stored.queues,
            numbers_by_id: numbers_by_id.collect(),
            numbers_by_address,
            workers: stored.workers.into_iter().collect(),
            next_worker: stored.next_worker,
            jobs,
            placed,
            crashes: stored.crashes.into(),
            run_times: stored.run_times,
        })
    }
}

/// Returns whether a task may be given up. A long-running task is restarted however it ends.
fn has_limit(job: &Job, key: TaskKey) -> bool {
    let spec = job.step_spec(key.step);
    spec.is_some_and(|spec| !spec.long_running)
}

/// Returns the jobs of runs, sorted and without duplicates.
pub(crate) fn jobs_of(runs: impl Iterator<Item = RunKey>) -> Vec<JobId> {
    let mut jobs: Vec<JobId> = runs.map(|key| key.task.step.job).collect();
    jobs.sort_unstable();
    jobs.dedup();
    jobs
}
