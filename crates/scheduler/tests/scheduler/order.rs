//! Order of jobs, quotas, admission and cancellation.

use acaciareel_scheduler::{CancelOutcome, Decision, JobId, Placement, Refusal, TaskOutcome};
use acaciareel_types::{Millis, Reason};

use crate::support::{SMALL, completion, decide, job, one_pool, placements, scheduler, tables};

/// Under continuous load of a higher class and of a heavy tenant, jobs of a lower class and of a
/// light tenant must still start. Without ageing and fair shares they would starve.
#[test]
fn sustained_load_of_higher_classes_and_heavy_tenants_starves_nobody() {
    let routes = [
        ("high", SMALL),
        (
            "low",
            "class=batch effect=idempotent cpu_millicores=25000 memory_bytes=1000 \
                 time_limit_ms=40000 run_time_ms=1000",
        ),
    ];
    let mut scheduler = scheduler(&one_pool("batch", &routes), 2);
    let mut running: Vec<(u64, Placement)> = Vec::new();
    let mut started = Vec::new();

    for now_ms in (0..60_000_u64).step_by(20) {
        for n in 0..2 {
            let mut high = job(1_000 + now_ms * 10 + n, "high", "heavy", now_ms + 60_000);
            high.accepted = true;
            scheduler.submit(Millis(now_ms), high).expect("accepted");
        }
        if now_ms == 10_000 {
            for (id, kind) in [(1, "low"), (2, "high")] {
                let mut rare = job(id, kind, "light", now_ms + 40_000);
                rare.accepted = true;
                scheduler.submit(Millis(now_ms), rare).expect("accepted");
            }
        }
        let (completed, rest) = running.into_iter().partition(|(at, _)| *at <= now_ms);
        running = rest;
        for (_, placed) in completed {
            scheduler.task_completed(
                Millis(now_ms),
                &completion(&placed, TaskOutcome::Succeeded, None),
            );
        }
        for placed in placements(&decide(&mut scheduler, now_ms)) {
            started.push((placed.task.job.0, now_ms));
            running.push((now_ms + 1_000, placed));
        }
    }

    let start = |id| {
        started
            .iter()
            .find(|(job, _)| *job == id)
            .map(|(_, at)| *at)
    };
    assert!(
        start(1).is_some_and(|at| at < 50_000),
        "batch job: {:?}",
        start(1)
    );
    assert!(
        start(2).is_some_and(|at| at < 12_000),
        "light tenant: {:?}",
        start(2)
    );
}

/// Guards against a tenant that exceeds its quota, and against waiting jobs of that tenant that
/// block the jobs of others.
#[test]
fn quotas_limit_a_tenant_without_affecting_others() {
    let tables = tables(
        &[("k", &format!("pool=p {SMALL}"))],
        &[("p", "groups=g policy=batch")],
        &[("small", "slots=3"), ("none", "slots=0")],
    );
    let mut scheduler = scheduler(&tables, 1);
    for id in 0..6 {
        let waiting = job(id, "k", "small", 60_000);
        scheduler.submit(Millis(0), waiting).expect("admitted");
    }
    scheduler
        .submit(Millis(0), job(9, "k", "other", 60_000))
        .expect("admitted");

    let first = placements(&decide(&mut scheduler, 1));
    scheduler.task_completed(
        Millis(2),
        &completion(&first[0], TaskOutcome::Succeeded, None),
    );
    let second = placements(&decide(&mut scheduler, 3));
    let never = scheduler.submit(Millis(4), job(10, "k", "none", 60_000));

    assert_eq!(
        first.len(),
        4,
        "three of the small tenant, one of the other"
    );
    assert_eq!(second.len(), 1);
    assert_eq!(
        never.map_err(|refusal| refusal.reason),
        Err(Reason::QuotaExceeded)
    );
}

/// Guards against jobs that wait although they can never run, and against refusals without a
/// retry-after time.
#[test]
fn jobs_that_can_never_run_are_refused_at_once() {
    let routes = [
        (
            "large",
            "effect=once cpu_millicores=31000 memory_bytes=1000 time_limit_ms=9000 run_time_ms=10",
        ),
        (
            "wide",
            "effect=once tasks=25 cpu_millicores=10000 memory_bytes=1000 time_limit_ms=9000 run_time_ms=10",
        ),
        ("ok", SMALL),
    ];
    let mut scheduler = scheduler(&one_pool("gang", &routes), 8);
    let mut refusal = |id, kind, deadline_ms| -> Option<Refusal> {
        scheduler
            .submit(Millis(5), job(id, kind, "t", deadline_ms))
            .err()
    };

    let refusals = [
        refusal(1, "large", 9_000),
        refusal(2, "wide", 9_000),
        refusal(3, "unknown", 9_000),
        refusal(4, "ok", 5),
        refusal(5, "ok", 9_000),
    ];

    let reasons = refusals.map(|refusal| refusal.map(|r| (r.reason, r.retry_after_ms > Millis(0))));
    assert_eq!(
        reasons,
        [
            Some((Reason::NeverFits, true)),
            Some((Reason::NeverFits, true)),
            Some((Reason::UnknownKind, true)),
            Some((Reason::TimeLimit, true)),
            None
        ]
    );
}

/// Guards against cancelled jobs that run, never release their resources, or affect other jobs.
#[test]
fn repeated_cancellations_release_all_resources() {
    let mut scheduler = scheduler(&one_pool("batch", &[("k", SMALL)]), 4);
    let mut placed: Vec<Placement> = Vec::new();
    let mut next = 0;

    for wave in 0..50_u64 {
        for _ in 0..100 {
            next += 1;
            let waiting = job(next, "k", &format!("t{}", next % 7), 600_000);
            scheduler.submit(Millis(wave), waiting).expect("admitted");
        }
        placed.extend(placements(&decide(&mut scheduler, wave)));
        for id in next - 99..=next {
            if let CancelOutcome::Running(tasks) = scheduler.cancel(Millis(wave), JobId(id)) {
                for (task, _) in tasks {
                    let at = placed.iter().position(|p| p.task == task).expect("placed");
                    let stopped = placed.swap_remove(at);
                    scheduler.task_completed(
                        Millis(wave),
                        &completion(&stopped, TaskOutcome::Stopped, None),
                    );
                }
            }
        }
    }

    let summary = &scheduler.pool_summaries()[0];
    assert_eq!((summary.waiting, summary.free), (0, summary.capacity));
    assert!(placed.is_empty());
    assert_eq!(
        scheduler.cancel(Millis(60), JobId(next)),
        CancelOutcome::Unknown
    );
}

/// Guards against waiting jobs that are lost, or placed in the old pool, after a change of the
/// tables.
#[test]
fn waiting_work_follows_its_route() {
    let pools = [
        ("p", "groups=other policy=batch"),
        ("q", "groups=g policy=service"),
    ];
    let to = |pool: &str| {
        let k = format!("pool={pool} {SMALL}");
        tables(&[("k", &k), ("gone", &k)], &pools, &[])
    };
    let after = tables(&[("k", &format!("pool=q {SMALL}"))], &pools, &[]);
    let mut scheduler = scheduler(&to("p"), 1);
    for (id, kind, accepted) in [(1, "k", true), (2, "gone", false), (3, "gone", true)] {
        let mut waiting = job(id, kind, "t", 60_000);
        waiting.accepted = true;
        scheduler.submit(Millis(0), waiting).expect("accepted");
        if !accepted {
            scheduler.cancel(Millis(0), JobId(id));
        }
    }
    let before = decide(&mut scheduler, 1);

    scheduler.set_tables(Millis(2), &after);
    let moved = decide(&mut scheduler, 3);
    scheduler.set_tables(Millis(4), &to("q"));
    let returned = decide(&mut scheduler, 5);

    assert!(before.is_empty());
    let started = |decisions: &[Decision]| -> Vec<u64> {
        placements(decisions).iter().map(|p| p.task.job.0).collect()
    };
    assert_eq!(started(&moved), [1]);
    assert_eq!(
        started(&returned),
        [3],
        "accepted work waits for its route to return"
    );
}

/// Guards against a service whose tasks are all in one rack and fail together, and against batch
/// tasks that are spread over more workers than needed.
#[test]
fn services_are_spread_over_racks_and_batch_work_is_packed() {
    let used = |policy: &str| {
        let mut scheduler = scheduler(&one_pool(policy, &[("k", SMALL)]), 24);
        for id in 0..9 {
            let waiting = job(id, "k", "t", 60_000);
            scheduler.submit(Millis(0), waiting).expect("admitted");
        }
        let placed = placements(&decide(&mut scheduler, 1));
        let mut workers: Vec<usize> = placed
            .iter()
            .map(|placed| placed.worker.as_str()[1..].parse().expect("worker"))
            .collect();
        let in_rack = |rack| workers.iter().filter(|worker| **worker / 8 == rack).count();
        let racks = [in_rack(0), in_rack(1), in_rack(2)];
        workers.sort_unstable();
        workers.dedup();
        (racks, workers.len())
    };

    let (service, batch) = (used("service"), used("batch"));

    assert_eq!(service, ([3, 3, 3], 9));
    assert_eq!(batch.1, 2, "9 tasks need two workers of 8 slots");
}
