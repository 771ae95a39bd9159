//! Interface of the placers that are measured, and its implementation by the scheduler.

use acaciareel_scheduler::{
    Decision, Job, JobId, PreemptMode, Scheduler, SchedulerSettings, TaskCompletion, TaskKey,
    TaskOutcome,
};
use acaciareel_types::{KindName, Millis, Resources, Tables, TaskId, TenantName, WorkerReport};

/// Identifier of a task in the harness.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct TaskRef {
    pub(crate) job: u64,
    pub(crate) index: u32,
}

impl TaskRef {
    pub(crate) fn id(self) -> TaskId {
        format!("{}-{}", self.job, self.index).parse().expect("id")
    }
}

/// A job to place.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) job: u64,
    pub(crate) kind: usize,
    pub(crate) tenant: TenantName,
    pub(crate) deadline_ms: u64,
    pub(crate) accepted: bool,
}

/// Decision of a placer. Workers are numbered within their failure domain.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    Start {
        job: u64,
        tasks: Vec<(TaskRef, usize, Resources)>,
    },
    Refuse {
        job: u64,
    },
    Preempt {
        task: TaskRef,
        mode: PreemptMode,
    },
}

/// A placer of one failure domain.
pub(crate) trait Placer {
    /// Returns whether the job is admitted.
    fn submit(&mut self, now_ms: u64, request: &Request) -> bool;
    fn report(&mut self, now_ms: u64, report: &WorkerReport);
    fn task_completed(
        &mut self,
        now_ms: u64,
        task: TaskRef,
        worker: usize,
        outcome: TaskOutcome,
        used: Resources,
    );
    fn task_throttled(&mut self, _now_ms: u64, _task: TaskRef, _reserved: Resources) {}
    fn decide(&mut self, now_ms: u64) -> Vec<Action>;
    /// Returns the largest number of workers and index nodes that the last decision examined for
    /// one task, if the placer counts them.
    fn examined(&self) -> Option<u64> {
        None
    }
}

/// Returns the identifier of a worker.
pub(crate) fn worker_name(worker: usize) -> String {
    format!("w{worker}")
}

/// The scheduler of this package as a [`Placer`].
pub(crate) struct SchedulerPlacer {
    pub(crate) scheduler: Scheduler,
    kinds: Vec<KindName>,
}

impl SchedulerPlacer {
    pub(crate) fn new(tables: &Tables, kinds: Vec<KindName>) -> Self {
        let mut scheduler = Scheduler::new(SchedulerSettings { seed: 11 });
        scheduler.set_tables(Millis(0), tables);
        Self { scheduler, kinds }
    }

    fn action(&mut self, decision: Decision) -> Action {
        match decision {
            Decision::Place { job, placements } => {
                let tasks = placements.into_iter().map(|placed| {
                    let task = TaskRef {
                        job: job.0,
                        index: placed.task.index,
                    };
                    self.scheduler.identify_task(placed.task, &task.id());
                    let worker = placed.worker.as_str()[1..].parse().expect("worker");
                    (task, worker, placed.reserved)
                });
                Action::Start {
                    job: job.0,
                    tasks: tasks.collect(),
                }
            }
            Decision::Refuse { job, .. } => Action::Refuse { job: job.0 },
            Decision::Preempt { task, mode, .. } => Action::Preempt {
                task: TaskRef {
                    job: task.job.0,
                    index: task.index,
                },
                mode,
            },
        }
    }
}

fn key(task: TaskRef) -> TaskKey {
    TaskKey {
        job: JobId(task.job),
        index: task.index,
    }
}

impl Placer for SchedulerPlacer {
    fn submit(&mut self, now_ms: u64, request: &Request) -> bool {
        let job = Job {
            id: JobId(request.job),
            kind: self.kinds[request.kind].clone(),
            tenant: request.tenant.clone(),
            deadline_ms: Millis(request.deadline_ms),
            earlier_attempts: 0,
            accepted: request.accepted,
        };
        self.scheduler.submit(Millis(now_ms), job).is_ok()
    }

    fn report(&mut self, now_ms: u64, report: &WorkerReport) {
        self.scheduler.report_worker(Millis(now_ms), report);
    }

    fn task_completed(
        &mut self,
        now_ms: u64,
        task: TaskRef,
        worker: usize,
        outcome: TaskOutcome,
        used: Resources,
    ) {
        let completion = TaskCompletion {
            task: key(task),
            worker: worker_name(worker).parse().expect("worker"),
            outcome,
            used: Some(used),
        };
        self.scheduler.task_completed(Millis(now_ms), &completion);
    }

    fn task_throttled(&mut self, now_ms: u64, task: TaskRef, reserved: Resources) {
        self.scheduler
            .task_throttled(Millis(now_ms), key(task), reserved);
    }

    fn decide(&mut self, now_ms: u64) -> Vec<Action> {
        let mut out = Vec::new();
        self.scheduler.decide(Millis(now_ms), &mut out);
        out.into_iter()
            .map(|decision| self.action(decision))
            .collect()
    }

    fn examined(&self) -> Option<u64> {
        let cost = self.scheduler.last_cost();
        (cost.tasks > 0).then_some(cost.max_examined_per_task.into())
    }
}
