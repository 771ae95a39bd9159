//! Crashes of workers, counted for each task that a crashed worker may have been running.
//!
//! A task can crash every worker that starts it. Most tasks on a crashed worker are innocent, so a
//! crash only makes them suspects. After [`SUSPECT_CRASHES`] a task runs alone, which spares its
//! neighbours and shows whether it is the cause. A worker has crashed if a later incarnation of it,
//! or another worker at its address, joins before it has drained. A worker that is only cut off
//! comes back as the same incarnation.

use std::collections::BTreeMap;

use acaciareel_types::SortedVec;
use serde::{Deserialize, Serialize};

use crate::{JobId, RunKey, StepKey, TaskKey, WorkerNumber};

/// Crashes after which a task runs alone on its worker.
const SUSPECT_CRASHES: u32 = 2;
/// Confirmed crashes after which a task is given up if it ran alone in one of them.
const GIVE_UP_CRASHES: u32 = 3;
/// Crashes after which a task is given up even if it never ran alone. The users allow two starts
/// after the third crash, and the fifth crash may happen before the fourth is known.
const MAX_CRASHES: u32 = 4;
/// Confirmed crashes from which on a task may be given up (rule of the users).
const MIN_CONFIRMED: u32 = 2;
/// Crashes after which a task is given up although fewer of them are confirmed.
const MAX_UNCONFIRMED_CRASHES: u32 = 6;

/// Crashes of workers under the runs of one task.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashCount {
    /// Runs that were placed on a worker when it crashed.
    pub crashes: u32,
    /// Those of them that the worker had confirmed. Others may have been sent after the crash.
    pub confirmed: u32,
    /// Those of the confirmed ones beside which the worker ran no other task, or only other tasks
    /// of the same gang.
    pub alone: u32,
    last: LastCrash,
    /// Latest run that a worker has confirmed.
    confirmed_run: u32,
}

/// Latest run that was counted.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct LastCrash {
    run: u32,
    alone: bool,
    confirmed: bool,
}

impl CrashCount {
    /// Counts a run, at most once.
    fn add(&mut self, run: u32, alone: bool) {
        if run > self.last.run {
            self.crashes += 1;
            self.last = LastCrash {
                run,
                alone,
                confirmed: false,
            };
            if run == self.confirmed_run {
                self.confirm(run);
            }
        }
    }

    /// Records that a worker has confirmed a run. That can become known after the crash.
    fn confirm(&mut self, run: u32) {
        self.confirmed_run = self.confirmed_run.max(run);
        if self.last.run == run && !self.last.confirmed {
            self.last.confirmed = true;
            self.confirmed += 1;
            self.alone += u32::from(self.last.alone);
        }
    }

    /// Returns whether the task must run alone.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.crashes >= SUSPECT_CRASHES
    }

    /// Returns whether the task may share a worker if it waits long for one of its own.
    #[must_use]
    pub fn may_share(&self) -> bool {
        self.crashes <= SUSPECT_CRASHES
    }

    /// Returns whether the task must not start again, unless it is long-running.
    #[must_use]
    pub fn is_exhausted(&self) -> bool {
        (self.confirmed >= GIVE_UP_CRASHES && self.alone > 0)
            || (self.crashes >= MAX_CRASHES && self.confirmed >= MIN_CONFIRMED)
            || self.crashes >= MAX_UNCONFIRMED_CRASHES
    }
}

/// Crash counts of all tasks that have any, and the runs whose worker may have crashed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Crashes {
    /// A tree, because a crash of all workers inserts the counts of all running tasks: 23,000 inserts
    /// into a sorted vector took 140 ms.
    counts: BTreeMap<TaskKey, CrashCount>,
    expired: SortedVec<WorkerNumber, Vec<ExpiredRun>>,
}

/// A run whose lease ended without contact to its worker, which crashed or was cut off.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct ExpiredRun {
    key: RunKey,
    confirmed: bool,
}

/// Serialised form in a snapshot. Its fields are encoded by position.
#[derive(Deserialize, Serialize)]
pub(crate) struct StoredCrashes {
    counts: Vec<(TaskKey, CrashCount)>,
    expired: Vec<(WorkerNumber, Vec<ExpiredRun>)>,
}

impl Crashes {
    /// Returns the count of a task.
    pub fn count(&self, task: TaskKey) -> CrashCount {
        self.counts.get(&task).copied().unwrap_or_default()
    }

    /// Records that a worker has confirmed a run of a task with a crash.
    pub fn confirm(&mut self, run: RunKey) {
        if let Some(count) = self.counts.get_mut(&run.task) {
            count.confirm(run.run);
        }
    }

    /// Remembers a run whose lease ended without contact to its worker.
    pub fn lease_expired(&mut self, worker: WorkerNumber, key: RunKey, confirmed: bool) {
        let expired = self.expired.get_or_insert_with(worker, Vec::new);
        expired.push(ExpiredRun { key, confirmed });
    }

    /// Returns whether such runs of a worker are remembered.
    pub fn has_expired(&self, worker: WorkerNumber) -> bool {
        self.expired.contains_key(&worker)
    }

    /// Forgets such runs: the worker is in contact as the same incarnation, is removed, or has been
    /// silent for long.
    pub fn forget_expired(&mut self, worker: WorkerNumber) {
        self.expired.remove(&worker);
    }

    /// Counts the crash of a worker for the runs that were placed on it and for those that expired.
    /// `is_gang` tells for each run whether it is part of a gang. Returns the runs.
    pub fn worker_crashed(
        &mut self,
        worker: WorkerNumber,
        placed: Vec<RunKey>,
        is_gang: impl Fn(&RunKey) -> bool,
    ) -> Vec<RunKey> {
        let expired = self.expired.remove(&worker).unwrap_or_default();
        let mut runs = placed;
        runs.extend(expired.iter().map(|run| run.key));
        let mut units: Vec<(StepKey, Option<u32>)> = runs
            .iter()
            .map(|run| {
                let index = (!is_gang(run)).then_some(run.task.index);
                (run.task.step, index)
            })
            .collect();
        units.sort_unstable();
        units.dedup();
        let alone = units.len() == 1;
        for run in &runs {
            let count = self.counts.entry(run.task).or_default();
            count.add(run.run, alone);
        }
        for run in expired.iter().filter(|run| run.confirmed) {
            self.confirm(run.key);
        }
        runs
    }

    /// Returns whether a worker has crashed under any task of a job.
    pub fn has_any(&self, id: JobId) -> bool {
        let first = first_task(id);
        let mut counts = self.counts.range(first..);
        counts.next().is_some_and(|(key, _)| key.step.job == id)
    }

    /// Returns the first task of a job that must not start again, of those for which `has_limit`
    /// holds.
    pub fn exhausted_task(
        &self,
        id: JobId,
        has_limit: impl Fn(TaskKey) -> bool,
    ) -> Option<(TaskKey, CrashCount)> {
        let first = first_task(id);
        let counts = self.counts.range(first..);
        let mut of_job = counts.take_while(|(key, _)| key.step.job == id);
        let exhausted = of_job.find(|(key, count)| count.is_exhausted() && has_limit(**key));
        exhausted.map(|(key, count)| (*key, *count))
    }

    pub fn remove_jobs(&mut self, ids: &[JobId]) {
        self.counts
            .retain(|key, _| ids.binary_search(&key.step.job).is_err());
    }

    pub fn to_stored(&self) -> StoredCrashes {
        let expired = self.expired.iter();
        StoredCrashes {
            counts: self.counts.iter().map(|(key, c)| (*key, *c)).collect(),
            expired: expired.map(|(w, runs)| (*w, runs.clone())).collect(),
        }
    }
}

impl From<StoredCrashes> for Crashes {
    fn from(stored: StoredCrashes) -> Self {
        Self {
            counts: stored.counts.into_iter().collect(),
            expired: stored.expired.into_iter().collect(),
        }
    }
}

fn first_task(job: JobId) -> TaskKey {
    let step = StepKey {
        job,
        ..StepKey::default()
    };
    TaskKey { step, index: 0 }
}
