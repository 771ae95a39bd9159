//! A job in the replicated state.

use serde::{Deserialize, Serialize};

use crate::{
    JobId, JobSpec, QueueRow, RunCompletion, RunKey, RunOutcome, StepKey, StepSpec, TaskKey,
    WorkerNumber, placed_runs::PlacedRuns,
};

/// State of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobState {
    /// Some task is not done.
    Active,
    /// All tasks are done.
    Completed,
    /// A task or gang has failed as often as the queue allows, or has crashed too many workers.
    Failed,
    /// Cancelled by its caller.
    Cancelled,
}

/// State of a task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TaskState {
    /// No run is placed.
    Waiting,
    /// The current run may be running on this worker.
    Placed(WorkerNumber),
    /// A run of the task, or of its gang, has completed successfully.
    Done,
}

/// Progress of one task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Task {
    /// Number of the latest run; 0 before the first.
    pub run: u32,
    /// Whether the task waits, is placed or is done.
    pub state: TaskState,
    /// Number of runs that failed.
    pub failed_runs: u32,
    /// Last checkpoint; empty if there is none. A gang uses the checkpoint of its step instead.
    pub checkpoint: String,
    /// Worker of the latest failed run.
    pub failed_on: Option<WorkerNumber>,
}

/// Progress of a step.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepProgress {
    /// Tasks by position.
    pub tasks: Vec<Task>,
    /// Number of runs of the gang that failed.
    pub failed_runs: u32,
    /// Latest run of the gang that failed, so that each run counts once.
    pub last_failed_run: u32,
    /// Last checkpoint of the gang; empty if there is none.
    pub checkpoint: String,
}

/// Memory of a task beside its progress: its position in the leader's list of waiting tasks.
const WAITING_TASK_BYTES: usize = 2 * size_of::<u32>();

/// Returns the memory of the progress of a step with so many tasks.
fn step_bytes(tasks: usize) -> usize {
    size_of::<StepProgress>() + tasks * (size_of::<Task>() + WAITING_TASK_BYTES)
}

impl StepProgress {
    fn new(tasks: u32) -> Self {
        let task = Task {
            run: 0,
            state: TaskState::Waiting,
            failed_runs: 0,
            checkpoint: String::new(),
            failed_on: None,
        };
        Self {
            tasks: vec![task; tasks as usize],
            failed_runs: 0,
            last_failed_run: 0,
            checkpoint: String::new(),
        }
    }

    /// Returns whether all tasks are done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.state == TaskState::Done)
    }

    /// Returns the number of the next run of a gang.
    #[must_use]
    pub fn next_gang_run(&self) -> u32 {
        self.tasks.iter().map(|task| task.run).max().unwrap_or(0) + 1
    }
}

/// A job and the progress of its tasks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Job {
    /// Id chosen by the caller.
    pub id: JobId,
    /// Row of the queue at the time of acceptance. Later queue tables do not change it.
    pub queue: QueueRow,
    /// Name of the tenant that owns the job; `None` if it was submitted to a queue without keys.
    pub tenant: Option<String>,
    /// Whether the tenant had exceeded its rate of jobs at the time of acceptance.
    pub over_rate: bool,
    /// What to run. The steps and the payload are dropped once the job has ended and no run of it
    /// can still be running.
    pub spec: JobSpec,
    /// Whether the job is active, or how it ended.
    pub state: JobState,
    /// Whether a worker has confirmed or reported a run. A placement alone does not count, because
    /// the worker may be unreachable.
    pub started: bool,
    /// Time of acceptance on the leader's clock, in Unix milliseconds.
    pub accepted_unix_ms: u64,
    /// Time of the end on the leader's clock, in Unix milliseconds; 0 while the job is active.
    pub ended_unix_ms: u64,
    /// Progress of the steps of each occurrence. Dropped together with the steps of `spec`.
    pub occurrences: Vec<Vec<StepProgress>>,
}

impl Job {
    /// Creates a job without runs. A job without tasks is completed at once. One beyond the limits has
    /// failed, without its steps: the log may contain jobs that a build with other limits accepted.
    #[must_use]
    pub fn new(id: JobId, queue: QueueRow, spec: JobSpec, accepted_unix_ms: u64) -> Self {
        if spec.check().is_err() {
            return Self {
                state: JobState::Failed,
                ended_unix_ms: accepted_unix_ms,
                ..Self::new(id, queue, JobSpec::default(), accepted_unix_ms)
            };
        }
        let steps: Vec<_> = spec
            .steps
            .iter()
            .map(|s| StepProgress::new(s.tasks))
            .collect();
        let occurrences = vec![steps; spec.occurrences() as usize];
        let mut job = Self {
            id,
            queue,
            tenant: None,
            over_rate: false,
            spec,
            state: JobState::Active,
            started: false,
            accepted_unix_ms,
            ended_unix_ms: 0,
            occurrences,
        };
        job.complete_if_done(accepted_unix_ms);
        job
    }

    /// Sets the tenant that owns the job, and whether the tenant has exceeded its rate of jobs.
    #[must_use]
    pub fn owned_by(mut self, tenant: Option<String>, over_rate: bool) -> Self {
        self.tenant = tenant;
        self.over_rate = over_rate;
        self
    }

    /// Returns the memory of the declaration and the progress of the job.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let steps = self.occurrences.iter().flatten();
        let step_bytes = steps.map(|step| step_bytes(step.tasks.len()));
        self.spec.memory_bytes() + step_bytes.sum::<usize>()
    }

    /// Returns what [`Job::memory_bytes`] will be once a job is accepted.
    #[must_use]
    pub fn memory_bytes_of(spec: &JobSpec) -> usize {
        let steps = spec.steps.iter();
        let step_bytes: usize = steps.map(|step| step_bytes(step.tasks as usize)).sum();
        spec.memory_bytes() + spec.occurrences() as usize * step_bytes
    }

    /// Returns the declaration of a step.
    #[must_use]
    pub fn step_spec(&self, key: StepKey) -> Option<&StepSpec> {
        self.spec.steps.get(key.step as usize)
    }

    /// Returns the progress of a step.
    #[must_use]
    pub fn step(&self, key: StepKey) -> Option<&StepProgress> {
        self.occurrences
            .get(key.occurrence as usize)?
            .get(key.step as usize)
    }

    fn step_mut(&mut self, key: StepKey) -> Option<&mut StepProgress> {
        self.occurrences
            .get_mut(key.occurrence as usize)?
            .get_mut(key.step as usize)
    }

    /// Returns the progress of a task.
    #[must_use]
    pub fn task(&self, key: TaskKey) -> Option<&Task> {
        self.step(key.step)?.tasks.get(key.index as usize)
    }

    /// Iterates over all tasks with their keys.
    pub fn tasks(&self) -> impl Iterator<Item = (TaskKey, &Task)> {
        let job = self.id;
        let steps = (0u32..)
            .zip(&self.occurrences)
            .flat_map(move |(occurrence, steps)| {
                (0u32..).zip(steps).map(move |(step, progress)| {
                    let key = StepKey {
                        job,
                        occurrence,
                        step,
                    };
                    (key, progress)
                })
            });
        steps.flat_map(|(step, progress)| {
            let tasks = (0u32..).zip(&progress.tasks);
            tasks.map(move |(index, task)| (TaskKey { step, index }, task))
        })
    }

    /// Returns the time at which an occurrence is due, in Unix milliseconds.
    #[must_use]
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        self.spec
            .schedule
            .map_or(self.accepted_unix_ms, |schedule| {
                let offset_ms = schedule.interval_ms.saturating_mul(u64::from(occurrence));
                schedule.first_unix_ms.saturating_add(offset_ms)
            })
    }

    /// Returns whether all steps that a step depends on are done.
    #[must_use]
    pub fn is_unblocked(&self, key: StepKey) -> bool {
        let Some(spec) = self.step_spec(key) else {
            return false;
        };
        spec.depends_on.iter().all(|earlier| {
            let earlier = StepKey {
                step: *earlier,
                ..key
            };
            self.step(earlier).is_some_and(StepProgress::is_done)
        })
    }

    /// Records that a run may be running on a worker. Returns whether the run is accepted: the job
    /// is active, the task waits, and the run number is higher than that of the latest run.
    pub(crate) fn place(
        &mut self,
        key: RunKey,
        worker: WorkerNumber,
        placed: &mut PlacedRuns,
    ) -> bool {
        if self.state != JobState::Active {
            return false;
        }
        let RunKey { task, run } = key;
        let Some(step) = self.step_mut(task.step) else {
            return false;
        };
        let Some(task) = step.tasks.get_mut(task.index as usize) else {
            return false;
        };
        if task.state != TaskState::Waiting || run <= task.run {
            return false;
        }
        task.state = TaskState::Placed(worker);
        task.run = run;
        placed.add(worker, key);
        true
    }

    /// Records the outcome of a run and returns the runs that it makes superfluous. The completion
    /// of any run but the current one changes nothing, unless it ends the task.
    pub(crate) fn complete_run(
        &mut self,
        completion: &RunCompletion,
        worker: WorkerNumber,
        at_unix_ms: u64,
        placed: &mut PlacedRuns,
    ) -> Vec<(WorkerNumber, RunKey)> {
        self.started = true;
        let key = completion.run.task;
        let Some(spec) = self.step_spec(key.step) else {
            return Vec::new();
        };
        let (gang, long_running) = (spec.gang, spec.long_running);
        let max_attempts = self.queue.max_attempts.max(1);
        let Some(step) = self.step_mut(key.step) else {
            return Vec::new();
        };
        let Some(task) = step.tasks.get_mut(key.index as usize) else {
            return Vec::new();
        };
        if task.run != completion.run.run || task.state != TaskState::Placed(worker) {
            return self.complete_lost_run(completion, at_unix_ms, placed);
        }
        task.state = TaskState::Waiting;
        placed.remove(worker, completion.run);
        if !completion.checkpoint.is_empty() {
            if gang {
                step.checkpoint.clone_from(&completion.checkpoint);
            } else {
                task.checkpoint.clone_from(&completion.checkpoint);
            }
        }
        let mut failed_runs = 0;
        match completion.outcome {
            RunOutcome::Done if long_running => {}
            RunOutcome::Done if gang => {
                // The tasks of a gang end together; the completion of one counts for all.
                let run = completion.run.run;
                let members = (0u32..).zip(&mut step.tasks);
                for (index, member) in members.filter(|(_, member)| member.run == run) {
                    if let TaskState::Placed(worker) = member.state {
                        let task = TaskKey { index, ..key };
                        placed.remove(worker, RunKey { task, run });
                    }
                    member.state = TaskState::Done;
                }
            }
            RunOutcome::Done => task.state = TaskState::Done,
            RunOutcome::Failed => {
                task.failed_on = Some(worker);
                task.failed_runs += 1;
                failed_runs = task.failed_runs;
                if gang {
                    if step.last_failed_run < completion.run.run {
                        step.last_failed_run = completion.run.run;
                        step.failed_runs += 1;
                    }
                    failed_runs = step.failed_runs;
                }
            }
            RunOutcome::Interrupted => {}
        }
        if !long_running && failed_runs >= max_attempts {
            self.finish(JobState::Failed, at_unix_ms);
        }
        self.complete_if_done(at_unix_ms);
        self.drop_spec_if_no_runs();
        Vec::new()
    }

    /// Ends a task, or its gang, with a run that counted as lost and was done nevertheless, for
    /// example in a cut. Returns the runs that were placed in its stead.
    fn complete_lost_run(
        &mut self,
        completion: &RunCompletion,
        at_unix_ms: u64,
        placed: &mut PlacedRuns,
    ) -> Vec<(WorkerNumber, RunKey)> {
        let key = completion.run.task;
        let spec = self.step_spec(key.step);
        let counts = spec.is_some_and(|spec| !spec.long_running)
            && self.state == JobState::Active
            && completion.outcome == RunOutcome::Done
            && self
                .task(key)
                .is_some_and(|task| completion.run.run <= task.run);
        let gang = spec.is_some_and(|spec| spec.gang);
        let Some(step) = self.step_mut(key.step).filter(|_| counts) else {
            return Vec::new();
        };
        let mut superfluous = Vec::new();
        let tasks = (0u32..).zip(&mut step.tasks);
        for (index, task) in tasks.filter(|(index, _)| gang || *index == key.index) {
            if let TaskState::Placed(worker) = task.state {
                let run = RunKey {
                    task: TaskKey { index, ..key },
                    run: task.run,
                };
                placed.remove(worker, run);
                superfluous.push((worker, run));
            }
            task.state = TaskState::Done;
        }
        self.complete_if_done(at_unix_ms);
        self.drop_spec_if_no_runs();
        superfluous
    }

    /// Records that a run is certainly not running any more.
    pub(crate) fn lose_run(
        &mut self,
        key: RunKey,
        worker: WorkerNumber,
        checkpoint: &str,
        placed: &mut PlacedRuns,
    ) {
        let RunKey { task, run } = key;
        let gang = self.step_spec(task.step).is_some_and(|spec| spec.gang);
        let Some(step) = self.step_mut(task.step) else {
            return;
        };
        let Some(task) = step.tasks.get_mut(task.index as usize) else {
            return;
        };
        if task.run == run && task.state == TaskState::Placed(worker) {
            task.state = TaskState::Waiting;
            placed.remove(worker, key);
            if !checkpoint.is_empty() {
                let target = if gang {
                    &mut step.checkpoint
                } else {
                    &mut task.checkpoint
                };
                checkpoint.clone_into(target);
            }
        }
        self.drop_spec_if_no_runs();
    }

    pub(crate) fn cancel(&mut self, at_unix_ms: u64) {
        self.finish(JobState::Cancelled, at_unix_ms);
        self.drop_spec_if_no_runs();
    }

    pub(crate) fn give_up(&mut self, at_unix_ms: u64) {
        self.finish(JobState::Failed, at_unix_ms);
        self.drop_spec_if_no_runs();
    }

    fn finish(&mut self, state: JobState, at_unix_ms: u64) {
        if self.state == JobState::Active {
            self.state = state;
            self.ended_unix_ms = at_unix_ms;
        }
    }

    fn complete_if_done(&mut self, at_unix_ms: u64) {
        let mut steps = self.occurrences.iter().flatten();
        if self.state == JobState::Active && steps.all(StepProgress::is_done) {
            self.finish(JobState::Completed, at_unix_ms);
        }
    }

    /// Frees the memory of an ended job if no run of it can still be running.
    fn drop_spec_if_no_runs(&mut self) {
        let placed = |task: &Task| matches!(task.state, TaskState::Placed(_));
        if self.state != JobState::Active && !self.tasks().any(|(_, task)| placed(task)) {
            self.spec = JobSpec::default();
            self.occurrences = Vec::new();
        }
    }
}
