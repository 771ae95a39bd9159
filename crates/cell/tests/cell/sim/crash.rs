//! Workers that crash, under a task or by themselves, and come back.

use std::collections::{BTreeMap, BTreeSet};

use acaciareel_cell::{RunKey, TaskKey};

use super::Sim;
use crate::worker::Worker;

/// Id under which a crashed worker comes back, at its old address.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Comeback {
    #[default]
    SameId,
    NewId,
}

/// A crash of a worker.
#[derive(Clone, Debug)]
pub struct Crash {
    pub at_ms: u64,
    /// Task that crashed the worker; `None` if the worker crashed by itself.
    pub by: Option<TaskKey>,
    /// Tasks that ran on the worker, sorted.
    pub under: Vec<TaskKey>,
}

/// Crashes of workers so far and to come.
#[derive(Debug)]
pub struct Crashes {
    /// Tasks that crash each worker that starts them, with the time from the start to the crash. A
    /// task of a gang does so also while its gang is incomplete.
    pub deadly: BTreeMap<TaskKey, u64>,
    /// Time from a crash to the start of the next incarnation.
    pub down_ms: u64,
    /// Time from this start to the first announcement.
    pub first_heartbeat_ms: u64,
    pub comeback: Comeback,
    pub log: Vec<Crash>,
    /// Times of the starts of each task.
    pub starts_ms: BTreeMap<TaskKey, Vec<u64>>,
    /// Runs that crash their worker, by time.
    due: BTreeSet<(u64, RunKey, String)>,
    /// Crashed workers, by the time at which they come back.
    returning: BTreeSet<(u64, String)>,
}

impl Default for Crashes {
    fn default() -> Self {
        Self {
            deadly: BTreeMap::new(),
            down_ms: 3_000,
            first_heartbeat_ms: 100,
            comeback: Comeback::default(),
            log: Vec::new(),
            starts_ms: BTreeMap::new(),
            due: BTreeSet::new(),
            returning: BTreeSet::new(),
        }
    }
}

impl Crashes {
    /// Iterates over the crashes of workers that ran a task.
    fn under(&self, task: TaskKey) -> impl Iterator<Item = &Crash> {
        let crashes = self.log.iter();
        crashes.filter(move |crash| crash.under.binary_search(&task).is_ok())
    }

    /// Returns how many workers have crashed under a task.
    pub fn count_under(&self, task: TaskKey) -> usize {
        self.under(task).count()
    }

    /// Returns whether a worker has crashed by itself under a task.
    pub fn any_by_itself(&self, task: TaskKey) -> bool {
        self.under(task).any(|crash| crash.by.is_none())
    }

    /// Returns how often a task was started.
    pub fn starts(&self, task: TaskKey) -> usize {
        self.starts_ms.get(&task).map_or(0, Vec::len)
    }

    /// Returns how often a task was started after three workers had crashed under it.
    pub fn starts_after_third_crash(&self, task: TaskKey) -> usize {
        let Some(third) = self.under(task).nth(2) else {
            return 0;
        };
        let starts_ms = self.starts_ms.get(&task).into_iter().flatten();
        starts_ms.filter(|at_ms| **at_ms > third.at_ms).count()
    }

    pub(super) fn record_start(&mut self, now_ms: u64, worker_id: &str, run: RunKey) {
        self.starts_ms.entry(run.task).or_default().push(now_ms);
        if let Some(delay_ms) = self.deadly.get(&run.task) {
            self.due
                .insert((now_ms + delay_ms, run, worker_id.to_owned()));
        }
    }
}

impl Sim {
    /// Crashes a worker by itself.
    pub fn crash_worker(&mut self, id: &str) {
        self.crash(id, None);
    }

    fn crash(&mut self, id: &str, by: Option<TaskKey>) {
        let now_ms = self.now_ms;
        let Some(worker) = self.workers.get_mut(id).filter(|worker| worker.alive) else {
            return;
        };
        worker.alive = false;
        let runs = std::mem::take(&mut worker.running);
        let under: Vec<TaskKey> = runs.into_keys().map(|run| run.task).collect();
        if self.verbose {
            println!("{now_ms} {id} crashes by {by:?} under {under:?}");
        }
        self.crashes.log.push(Crash {
            at_ms: now_ms,
            by,
            under,
        });
        let back_ms = now_ms + self.crashes.down_ms;
        self.crashes.returning.insert((back_ms, id.to_owned()));
    }

    /// Crashes the workers on which a deadly run is due, and brings crashed workers back.
    pub(super) fn advance_crashes(&mut self) {
        let now_ms = self.now_ms;
        while let Some((at_ms, ..)) = self.crashes.due.first()
            && *at_ms <= now_ms
        {
            let (_, run, id) = self.crashes.due.pop_first().expect("due crash");
            if self.workers[&id].running.contains_key(&run) {
                self.crash(&id, Some(run.task));
            }
        }
        while let Some((at_ms, _)) = self.crashes.returning.first()
            && *at_ms <= now_ms
        {
            let (_, id) = self.crashes.returning.pop_first().expect("crashed worker");
            self.bring_back(&id);
        }
    }

    /// Starts a new incarnation of a worker that is down.
    pub fn bring_back(&mut self, id: &str) {
        let now_ms = self.now_ms;
        let mut new_id = id.to_owned();
        let worker = self.workers.get_mut(id).expect("known worker");
        worker.record.draining = false;
        match self.crashes.comeback {
            Comeback::SameId => worker.restart(now_ms),
            Comeback::NewId => {
                let mut record = worker.record.clone();
                let machine = machine_of(id);
                record.id = format!("{machine}.{now_ms}");
                record.incarnation_started_ms += now_ms + 1;
                new_id.clone_from(&record.id);
                self.workers.insert(new_id.clone(), Worker::new(record));
            }
        }
        self.next_heartbeat_ms
            .insert(new_id, now_ms + self.crashes.first_heartbeat_ms);
    }
}

/// Returns the first id of the worker that now has this one.
pub(super) fn machine_of(id: &str) -> &str {
    id.split_once('.').map_or(id, |(machine, _)| machine)
}
