//! Fixtures: tables, reports, jobs and completions.

use std::net::{Ipv4Addr, SocketAddr};

use acaciareel_scheduler::{
    Decision, Job, JobId, Placement, Scheduler, SchedulerSettings, TaskCompletion, TaskOutcome,
};
use acaciareel_types::{
    Accelerators, Connections, CpuMillicores, FencingToken, Incarnation, MemoryBytes, Millis,
    RawRow, RawTables, Resources, Slots, Tables, WorkerReport,
};

pub(crate) const GB: u64 = 1 << 30;

pub(crate) fn row(name: &str, settings: &str) -> RawRow {
    let pairs = settings
        .split_whitespace()
        .filter_map(|p| p.split_once('='));
    RawRow {
        name: name.into(),
        settings: pairs.map(|(k, v)| (k.into(), v.into())).collect(),
    }
}

/// Builds tables from rows such as `("audit", "pool=p class=batch ...")`.
pub(crate) fn tables(
    routes: &[(&str, &str)],
    pools: &[(&str, &str)],
    quotas: &[(&str, &str)],
) -> Tables {
    let rows = |rows: &[(&str, &str)]| rows.iter().map(|(n, s)| row(n, s)).collect();
    let raw = RawTables {
        routes: rows(routes),
        pools: rows(pools),
        quotas: rows(quotas),
    };
    Tables::try_from(&raw).expect("valid tables")
}

/// Builds tables with one pool `p` that contains the group `g`.
pub(crate) fn one_pool(policy: &str, routes: &[(&str, &str)]) -> Tables {
    let pool = format!("groups=g policy={policy}");
    let routes: Vec<(&str, String)> = routes
        .iter()
        .map(|(name, settings)| (*name, format!("pool=p {settings}")))
        .collect();
    let routes: Vec<(&str, &str)> = routes.iter().map(|(n, s)| (*n, s.as_str())).collect();
    tables(&routes, &[("p", pool.as_str())], &[])
}

/// Route settings of a small task.
pub(crate) const SMALL: &str = "effect=idempotent cpu_millicores=1000 memory_bytes=1073741824 \
                                time_limit_ms=60000 run_time_ms=1000";

/// Capacity of the standard worker in both deployments: 8 slots, 60 connections, 30 cores, 130 GB.
pub(crate) fn standard_worker() -> Resources {
    Resources {
        cpu_millicores: CpuMillicores(30_000),
        memory_bytes: MemoryBytes(130 * GB),
        accelerators: Accelerators(0),
        slots: Slots(8),
        connections: Connections(60),
    }
}

pub(crate) fn report(worker: u32, sequence: u64) -> WorkerReport {
    WorkerReport {
        worker: format!("w{worker}").parse().expect("worker id"),
        incarnation: Incarnation(1),
        sequence,
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9_000)),
        failure_domain: "khomas-a".parse().expect("domain"),
        rack: format!("rack-{}", worker / 8).parse().expect("rack"),
        group: "g".parse().expect("group"),
        capacity: standard_worker(),
        running: Vec::new(),
        token: FencingToken(1),
        leaving: false,
    }
}

pub(crate) fn scheduler(tables: &Tables, workers: u32) -> Scheduler {
    let mut scheduler = Scheduler::new(SchedulerSettings { seed: 7 });
    scheduler.set_tables(Millis(0), tables);
    for worker in 0..workers {
        scheduler.report_worker(Millis(0), &report(worker, 1));
    }
    scheduler
}

pub(crate) fn job(id: u64, kind: &str, tenant: &str, deadline_ms: u64) -> Job {
    Job {
        id: JobId(id),
        kind: kind.parse().expect("kind"),
        tenant: tenant.parse().expect("tenant"),
        deadline_ms: Millis(deadline_ms),
        earlier_attempts: 0,
        accepted: false,
    }
}

pub(crate) fn decide(scheduler: &mut Scheduler, now_ms: u64) -> Vec<Decision> {
    let mut out = Vec::new();
    scheduler.decide(Millis(now_ms), &mut out);
    out
}

pub(crate) fn placements(decisions: &[Decision]) -> Vec<Placement> {
    let placed = decisions.iter().filter_map(|decision| match decision {
        Decision::Place { placements, .. } => Some(placements.clone()),
        _ => None,
    });
    placed.flatten().collect()
}

pub(crate) fn completion(
    placement: &Placement,
    outcome: TaskOutcome,
    used: Option<Resources>,
) -> TaskCompletion {
    TaskCompletion {
        task: placement.task,
        worker: placement.worker.clone(),
        outcome,
        used,
    }
}
