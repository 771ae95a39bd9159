//! A large fleet with running tasks, to measure the cost of single decisions.

use std::{
    collections::VecDeque,
    net::{Ipv4Addr, SocketAddr},
};

use acaciareel_scheduler::{
    Decision, DecisionCost, Job, JobId, Placement, Scheduler, SchedulerSettings, TaskCompletion,
    TaskOutcome,
};
use acaciareel_types::{
    Accelerators, FencingToken, Incarnation, KindName, Millis, RawRow, RawTables, Resources,
    Tables, TenantName, WorkerReport,
};

use crate::harness::{draw, mixes::worker_capacity};

/// Target size of a deployment: workers, running tasks, accelerators and tenants.
const TARGET_WORKERS: u64 = 3_700;
const TARGET_TASKS: u64 = 23_000;
const TARGET_ACCELERATORS: u64 = 4_000;
const TENANTS: u64 = 700;
/// Accelerators of each worker that has any.
const ACCELERATORS_PER_WORKER: u32 = 8;

/// Kinds: name, pool, processors in millicores, memory in MB, accelerators, class.
const KINDS: [(&str, &str, u32, u64, u32, &str); 8] = [
    ("web", "services", 2_000, 8_000, 0, "standard"),
    ("lookup", "services", 500, 1_000, 0, "urgent"),
    ("ledger", "services", 4_000, 20_000, 0, "standard"),
    ("audit", "batch", 5_000, 22_000, 0, "batch"),
    ("verify", "batch", 2_500, 9_000, 0, "standard"),
    ("check", "batch", 250, 500, 0, "urgent"),
    ("train", "batch", 3_000, 15_000, 1, "batch"),
    ("render", "batch", 6_000, 12_000, 0, "standard"),
];

/// Number of kinds at the start of [`KINDS`] that run as services.
const SERVICE_KINDS: usize = 3;

fn row(name: &str, settings: &[(&str, String)]) -> RawRow {
    let settings = settings.iter().map(|(k, v)| ((*k).into(), v.clone()));
    RawRow {
        name: name.into(),
        settings: settings.collect(),
    }
}

fn tables() -> Tables {
    let routes = KINDS.map(|(name, pool, cpu, memory_mb, accelerators, class)| {
        let settings = [
            ("pool", pool.to_owned()),
            ("effect", "exclusive".into()),
            ("class", class.into()),
            ("cpu_millicores", cpu.to_string()),
            ("memory_bytes", (memory_mb * 1_000_000).to_string()),
            ("accelerators", accelerators.to_string()),
            ("time_limit_ms", "86400000".into()),
            ("run_time_ms", "60000".into()),
        ];
        row(name, &settings)
    });
    let pool = |policy: &str, group: &str| {
        vec![("policy", policy.to_owned()), ("groups", group.to_owned())]
    };
    let raw = RawTables {
        routes: routes.into(),
        pools: vec![
            row("services", &pool("service", "plain-s")),
            row("batch", &pool("batch", "plain-b")),
        ],
        quotas: Vec::new(),
    };
    Tables::try_from(&raw).expect("valid tables")
}

fn report(worker: u64) -> WorkerReport {
    // A fifth of the workers run services. About every seventh worker has accelerators.
    let services = worker.is_multiple_of(5);
    let interval = TARGET_WORKERS * u64::from(ACCELERATORS_PER_WORKER) / TARGET_ACCELERATORS;
    let accelerators = if worker % interval == 1 {
        ACCELERATORS_PER_WORKER
    } else {
        0
    };
    let group = if services { "plain-s" } else { "plain-b" };
    WorkerReport {
        worker: format!("w{worker}").parse().expect("worker"),
        incarnation: Incarnation(1),
        sequence: 1,
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9_000)),
        failure_domain: "d".parse().expect("domain"),
        rack: format!("rack-{}", worker / 40).parse().expect("rack"),
        group: group.parse().expect("group"),
        capacity: Resources {
            accelerators: Accelerators(accelerators),
            ..worker_capacity()
        },
        running: Vec::new(),
        token: FencingToken(1),
        leaving: false,
    }
}

/// A scheduler whose fleet is filled in proportion to the target size.
pub(crate) struct Fleet {
    scheduler: Scheduler,
    running: VecDeque<Placement>,
    kinds: Vec<KindName>,
    tenants: Vec<TenantName>,
    next_job: u64,
    now_us: u64,
    target_tasks: usize,
}

impl Fleet {
    pub(crate) fn new(workers: u64) -> Self {
        let mut scheduler = Scheduler::new(SchedulerSettings { seed: 5 });
        scheduler.set_tables(Millis(0), &tables());
        for worker in 0..workers {
            scheduler.report_worker(Millis(0), &report(worker));
        }
        let tenants = (0..TENANTS).map(|n| format!("team-{n}").parse().expect("tenant"));
        let mut fleet = Self {
            scheduler,
            running: VecDeque::new(),
            kinds: KINDS.map(|k| k.0.parse().expect("kind")).into(),
            tenants: tenants.collect(),
            next_job: 0,
            now_us: 0,
            target_tasks: usize::try_from(TARGET_TASKS * workers / TARGET_WORKERS).expect("small"),
        };
        while fleet.running.len() < fleet.target_tasks {
            fleet.submit();
            fleet.decide();
        }
        fleet
    }

    fn submit(&mut self) {
        self.next_job += 1;
        let n = self.next_job;
        // A fifth of the tasks are services, which are the first kinds of the list.
        let (first, kinds) = if draw(9, 2, n).is_multiple_of(5) {
            (0, SERVICE_KINDS)
        } else {
            (SERVICE_KINDS, self.kinds.len() - SERVICE_KINDS)
        };
        let pick = usize::try_from(draw(9, 0, n) % kinds as u64).expect("small");
        let kind = first + pick;
        let tenant = usize::try_from(draw(9, 1, n) % TENANTS).expect("small");
        let job = Job {
            id: JobId(n),
            kind: self.kinds[kind].clone(),
            tenant: self.tenants[tenant].clone(),
            deadline_ms: Millis(self.now_us / 1_000 + 3_600_000),
            earlier_attempts: 0,
            accepted: true,
        };
        self.scheduler
            .submit(Millis(self.now_us / 1_000), job)
            .expect("accepted");
    }

    fn decide(&mut self) -> DecisionCost {
        let mut out = Vec::new();
        self.now_us += 200;
        self.scheduler.decide(Millis(self.now_us / 1_000), &mut out);
        for decision in out {
            match decision {
                Decision::Place { placements, .. } => {
                    for placed in placements {
                        let id = format!("{}-{}", placed.task.job.0, placed.task.index);
                        let id = id.parse().expect("task id");
                        self.scheduler.identify_task(placed.task, &id);
                        self.running.push_back(placed);
                    }
                }
                Decision::Preempt { task, .. } => {
                    let position = self.running.iter().position(|p| p.task == task);
                    if let Some(placed) =
                        position.and_then(|position| self.running.remove(position))
                    {
                        self.complete(&placed, TaskOutcome::Stopped);
                    }
                }
                Decision::Refuse { .. } => {}
            }
        }
        self.scheduler.last_cost()
    }

    fn complete(&mut self, placed: &Placement, outcome: TaskOutcome) {
        let completion = TaskCompletion {
            task: placed.task,
            worker: placed.worker.clone(),
            outcome,
            used: Some(placed.reserved),
        };
        self.scheduler
            .task_completed(Millis(self.now_us / 1_000), &completion);
    }

    /// Completes the oldest task, submits a job and decides. This is the work of one placement.
    pub(crate) fn step(&mut self) -> DecisionCost {
        if self.running.len() >= self.target_tasks
            && let Some(oldest) = self.running.pop_front()
        {
            self.complete(&oldest, TaskOutcome::Succeeded);
        }
        self.submit();
        self.decide()
    }

    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }
}
