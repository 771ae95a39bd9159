//! Simple placers for comparison. They keep a FIFO queue per class, use declared sizes, and choose
//! workers by a simple rule.

use std::collections::{BTreeMap, VecDeque};

use acaciareel_scheduler::TaskOutcome;
use acaciareel_types::{Resources, WorkerReport};

use crate::harness::{
    draw,
    mixes::KindSpec,
    placer::{Action, Placer, Request, TaskRef},
};

/// Maximum number of waiting jobs of a class that one decision skips because they do not fit.
const LOOKAHEAD: usize = 32;

/// Rule for choosing among the workers with enough free capacity. The variant names are printed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Rule {
    Random,
    FirstFit,
    LeastLoaded,
}

impl Rule {
    pub(crate) const ALL: [Self; 3] = [Self::Random, Self::FirstFit, Self::LeastLoaded];
}

pub(crate) struct Baseline {
    rule: Rule,
    kinds: Vec<KindSpec>,
    /// Capacity and allocated resources of each worker.
    workers: Vec<(Resources, Resources)>,
    queues: [VecDeque<Request>; 3],
    running: BTreeMap<TaskRef, Resources>,
    draws: u64,
}

impl Baseline {
    pub(crate) fn new(rule: Rule, kinds: Vec<KindSpec>) -> Self {
        Self {
            rule,
            kinds,
            workers: Vec::new(),
            queues: Default::default(),
            running: BTreeMap::new(),
            draws: 0,
        }
    }

    fn choose(&mut self, demand: &Resources) -> Option<usize> {
        let fitting: Vec<usize> = (0..self.workers.len())
            .filter(|w| {
                let (capacity, allocated) = &self.workers[*w];
                demand.fits_in(&capacity.minus(allocated))
            })
            .collect();
        match self.rule {
            Rule::FirstFit => fitting.first().copied(),
            Rule::LeastLoaded => fitting.into_iter().min_by_key(|w| {
                let (capacity, allocated) = &self.workers[*w];
                let cpu = allocated.cpu_millicores.0 * 1_000 / capacity.cpu_millicores.0;
                let memory = allocated.memory_bytes.0 / (capacity.memory_bytes.0 / 1_000);
                let slots = allocated.slots.0 * 1_000 / capacity.slots.0;
                memory.max(cpu.max(slots).into())
            }),
            Rule::Random => {
                self.draws += 1;
                let n = draw(5, 0, self.draws) % (fitting.len().max(1) as u64);
                fitting.get(usize::try_from(n).expect("small")).copied()
            }
        }
    }

    fn start(&mut self, request: &Request) -> Option<Action> {
        let kind = self.kinds[request.kind];
        let mut tasks: Vec<(TaskRef, usize, Resources)> = Vec::new();
        for index in 0..kind.tasks {
            let task = TaskRef {
                job: request.job,
                index,
            };
            let Some(worker) = self.choose(&kind.demand()) else {
                for (_, worker, demand) in tasks {
                    self.workers[worker].1 = self.workers[worker].1.minus(&demand);
                }
                return None;
            };
            self.workers[worker].1 = self.workers[worker].1.plus(&kind.demand());
            tasks.push((task, worker, kind.demand()));
        }
        for (task, _, demand) in &tasks {
            self.running.insert(*task, *demand);
        }
        Some(Action::Start {
            job: request.job,
            tasks,
        })
    }
}

impl Placer for Baseline {
    fn submit(&mut self, _now_ms: u64, request: &Request) -> bool {
        let class = self.kinds[request.kind].class;
        self.queues[class].push_back(request.clone());
        true
    }

    fn report(&mut self, _now_ms: u64, report: &WorkerReport) {
        let worker: usize = report.worker.as_str()[1..].parse().expect("worker");
        if self.workers.len() <= worker {
            self.workers.resize(worker + 1, Default::default());
        }
        self.workers[worker].0 = report.capacity;
    }

    fn task_completed(
        &mut self,
        _: u64,
        task: TaskRef,
        worker: usize,
        _: TaskOutcome,
        _: Resources,
    ) {
        if let Some(demand) = self.running.remove(&task) {
            self.workers[worker].1 = self.workers[worker].1.minus(&demand);
        }
    }

    fn decide(&mut self, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        for class in 0..self.queues.len() {
            let mut position = 0;
            while position < self.queues[class].len().min(LOOKAHEAD) {
                let request = self.queues[class][position].clone();
                if request.deadline_ms <= now_ms {
                    actions.push(Action::Refuse { job: request.job });
                } else if let Some(start) = self.start(&request) {
                    actions.push(start);
                } else {
                    position += 1;
                    continue;
                }
                self.queues[class].remove(position);
            }
        }
        actions
    }
}
