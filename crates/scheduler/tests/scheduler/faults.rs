//! Failing workers, failing kinds, misdeclared sizes, and retries.

use acaciareel_scheduler::{
    Backoff, ConcurrencyLimit, Decision, Placement, PreemptMode, RetryBudget, Scheduler,
    TaskOutcome,
};
use acaciareel_types::{CpuMillicores, MemoryBytes, Millis, Reason, Resources};

use crate::support::{GB, SMALL, completion, decide, job, one_pool, placements, scheduler};

struct RunSummary {
    quarantined: Vec<String>,
    failed: u32,
    succeeded: u32,
}

/// Keeps 10 workers of 8 slots busy for 60 s. `fails(time, worker, kind)` selects the tasks that
/// fail after 50 ms; all others succeed after 1 s.
fn run(
    scheduler: &mut Scheduler,
    kinds: &[&str],
    fails: impl Fn(u64, &str, &str) -> bool,
) -> RunSummary {
    let mut running: Vec<(u64, Placement, &str)> = Vec::new();
    let (mut failed, mut succeeded, mut next) = (0, 0, 0_u64);
    for now_ms in (0..60_000_u64).step_by(50) {
        for _ in 0..3 {
            next += 1;
            let kind = kinds[usize::try_from(next).expect("small") % kinds.len()];
            let mut waiting = job(next, kind, "t", now_ms + 60_000);
            waiting.accepted = true;
            scheduler.submit(Millis(now_ms), waiting).expect("accepted");
        }
        let (completed, rest) = running.into_iter().partition(|(at, ..)| *at <= now_ms);
        running = rest;
        for (_, placed, kind) in completed {
            let failed_now = fails(now_ms, placed.worker.as_str(), kind);
            let task_outcome = if failed_now {
                TaskOutcome::Failed
            } else {
                TaskOutcome::Succeeded
            };
            failed += u32::from(failed_now);
            succeeded += u32::from(!failed_now);
            scheduler.task_completed(Millis(now_ms), &completion(&placed, task_outcome, None));
        }
        for placed in placements(&decide(scheduler, now_ms)) {
            let id = usize::try_from(placed.task.job.0).expect("small");
            let kind = kinds[id % kinds.len()];
            let run_ms = if fails(now_ms, placed.worker.as_str(), kind) {
                50
            } else {
                1_000
            };
            running.push((now_ms + run_ms, placed, kind));
        }
    }
    let summaries = scheduler.worker_summaries();
    let quarantined = summaries.iter().filter(|w| w.quarantined);
    RunSummary {
        quarantined: quarantined.map(|w| w.worker.to_string()).collect(),
        failed,
        succeeded,
    }
}

/// A worker that fails every task soon after its start always has free slots. Without quarantine it
/// would attract and fail most tasks.
#[test]
fn a_worker_that_fails_everything_is_quarantined_and_probed() {
    let mut scheduler = scheduler(&one_pool("batch", &[("a", SMALL), ("b", SMALL)]), 10);

    let outcome = run(&mut scheduler, &["a", "b"], |_, worker, _| worker == "w3");

    assert_eq!(outcome.quarantined, ["w3"]);
    assert!(outcome.failed <= 30, "{} tasks failed", outcome.failed);
}

/// Guards against a worker that stays in quarantine after its repair.
#[test]
fn a_repaired_worker_is_readmitted_after_its_probes() {
    let mut scheduler = scheduler(&one_pool("batch", &[("a", SMALL), ("b", SMALL)]), 10);

    let outcome = run(&mut scheduler, &["a", "b"], |now_ms, worker, _| {
        worker == "w3" && now_ms < 20_000
    });

    assert!(outcome.quarantined.is_empty(), "{:?}", outcome.quarantined);
}

/// The failures of a kind that fails on every worker must not be attributed to the workers.
/// Otherwise quarantine would remove workers that other kinds need.
#[test]
fn a_kind_that_fails_everywhere_quarantines_no_worker() {
    let mut scheduler = scheduler(&one_pool("batch", &[("a", SMALL), ("bad", SMALL)]), 10);

    let outcome = run(&mut scheduler, &["a", "bad"], |_, _, kind| kind == "bad");

    assert!(outcome.quarantined.is_empty(), "{:?}", outcome.quarantined);
    assert!(outcome.succeeded > 1_700, "{} succeeded", outcome.succeeded);
}

/// With more failing workers than the cap allows, quarantine must not take more than a fifth of the
/// pool.
#[test]
fn quarantine_covers_at_most_a_fifth_of_a_pool() {
    let mut scheduler = scheduler(&one_pool("batch", &[("a", SMALL), ("b", SMALL)]), 10);
    let failing_workers = ["w0", "w1", "w2", "w3"];

    let outcome = run(&mut scheduler, &["a", "b"], |_, worker, _| {
        failing_workers.contains(&worker)
    });

    assert_eq!(outcome.quarantined.len(), 2, "{:?}", outcome.quarantined);
}

/// Guards against reservations that keep declared sizes although measured usage differs from them
/// by a factor of 4 in either direction.
#[test]
fn reservations_follow_measured_usage() {
    for (percent, fitting) in [(25, 8), (400, 1)] {
        let declared = "effect=idempotent cpu_millicores=7000 memory_bytes=8589934592 \
                        time_limit_ms=60000 run_time_ms=1000";
        let mut scheduler = scheduler(&one_pool("batch", &[("k", declared)]), 1);
        let used = Resources {
            cpu_millicores: CpuMillicores(7_000 * percent / 100),
            memory_bytes: MemoryBytes(8 * GB / 100 * u64::from(percent)),
            ..Resources::default()
        };
        for id in 0..32 {
            scheduler
                .submit(Millis(id), job(id, "k", "t", 60_000))
                .expect("admitted");
            for placed in placements(&decide(&mut scheduler, id)) {
                scheduler.task_completed(
                    Millis(id),
                    &completion(&placed, TaskOutcome::Succeeded, Some(used)),
                );
            }
        }

        for id in 100..110 {
            let mut waiting = job(id, "k", "t", 60_000);
            waiting.accepted = true;
            scheduler.submit(Millis(100), waiting).expect("accepted");
        }
        let placed = placements(&decide(&mut scheduler, 101));

        assert_eq!(placed.len(), fitting, "at {percent}% of the declared size");
    }
}

/// Guards against batch tasks that keep urgent work waiting until they complete, and against
/// preemption that stops tasks which may run only once.
#[test]
fn urgent_work_preempts_batch_work_and_once_work_is_never_stopped() {
    let batch = "class=batch time_limit_ms=600000 run_time_ms=100000 memory_bytes=1000000 \
                 cpu_millicores=1000";
    let routes = [
        ("safe", format!("{batch} effect=exclusive")),
        ("once", format!("{batch} effect=once")),
        ("urgent", format!("class=urgent {SMALL}")),
    ];
    let routes: Vec<(&str, &str)> = routes.iter().map(|(n, s)| (*n, s.as_str())).collect();
    let preempted = |kind: &str| -> Vec<(u64, PreemptMode)> {
        let mut scheduler = scheduler(&one_pool("batch", &routes), 1);
        for id in 0..8 {
            scheduler
                .submit(Millis(0), job(id, kind, "t", 600_000))
                .expect("admitted");
        }
        decide(&mut scheduler, 0);
        let mut urgent = job(100, "urgent", "t", 60_000);
        urgent.accepted = true;
        scheduler.submit(Millis(5_000), urgent).expect("accepted");
        let decisions = (5_000..7_400).step_by(20).flat_map(|now_ms| {
            let out = decide(&mut scheduler, now_ms).into_iter();
            out.map(move |decision| (now_ms, decision))
                .collect::<Vec<_>>()
        });
        let modes = decisions.filter_map(|(now_ms, decision)| match decision {
            Decision::Preempt { mode, .. } => Some((now_ms, mode)),
            _ => None,
        });
        modes.collect()
    };

    let safe = preempted("safe");
    let once = preempted("once");

    assert!(
        matches!(safe[..], [(first, PreemptMode::Checkpoint), ..] if first < 5_400),
        "{safe:?}"
    );
    assert!(once.is_empty(), "{once:?}");
}

/// Guards against retries that multiply the load of an outage, and against retries of many callers
/// at the same time.
#[test]
fn retries_are_limited_and_jittered() {
    let mut budget = RetryBudget::new(Millis(0));
    let backoff = Backoff::new(3, Millis(50), Millis(2_000));
    let mut scheduler = scheduler(&one_pool("batch", &[("k", SMALL)]), 50);

    let spent = (0..100).filter(|_| budget.spend(Millis(1)).is_ok()).count();
    for _ in 0..30 {
        budget.record_success();
    }
    let earned = (0..100).filter(|_| budget.spend(Millis(1)).is_ok()).count();
    let delays: Vec<u64> = (0..50).map(|salt| backoff.delay_ms(3, salt).0).collect();
    let refused = (0..100).filter_map(|id| {
        let mut retry = job(id, "k", "t", 60_000);
        retry.earlier_attempts = 1;
        scheduler.submit(Millis(1), retry).err()
    });
    let refused: Vec<Reason> = refused.map(|refusal| refusal.reason).collect();

    assert_eq!((spent, earned), (10, 3));
    assert!(delays.iter().all(|delay| (100..=200).contains(delay)));
    assert!(delays.iter().any(|delay| *delay != delays[0]));
    assert_eq!(backoff.delay_ms(3, 7), backoff.delay_ms(3, 7));
    assert_eq!(
        backoff.delay_ms(40, 0).0.max(1_000),
        backoff.delay_ms(40, 0).0
    );
    assert_eq!(refused, vec![Reason::RetryBudget; 90]);
}

/// Guards against a limit that does not fall when run times are long, or does not recover
/// afterwards.
#[test]
fn the_concurrency_limit_follows_relative_run_times() {
    let mut limit = ConcurrencyLimit::default();
    limit.set_max(8);

    for _ in 0..64 {
        limit.record(400);
    }
    let slow = limit.current();
    for _ in 0..200 {
        limit.record(100);
    }

    assert!((1..=4).contains(&slow), "{slow}");
    assert_eq!(limit.current(), 8);
}

/// Guards against a slow worker that is filled like the others. One worker needs five times as long
/// for its tasks, so its limit must fall below the number of its slots.
#[test]
fn a_slow_worker_runs_fewer_tasks_at_once() {
    let mut scheduler = scheduler(&one_pool("service", &[("k", SMALL)]), 4);
    let mut running: Vec<(u64, Placement)> = Vec::new();

    for now_ms in (0..60_000_u64).step_by(50) {
        let mut waiting = job(now_ms, "k", "t", now_ms + 60_000);
        waiting.accepted = true;
        scheduler.submit(Millis(now_ms), waiting).expect("accepted");
        let (completed, rest) = running.into_iter().partition(|(at, _)| *at <= now_ms);
        running = rest;
        for (_, placed) in completed {
            scheduler.task_completed(
                Millis(now_ms),
                &completion(&placed, TaskOutcome::Succeeded, None),
            );
        }
        for placed in placements(&decide(&mut scheduler, now_ms)) {
            let run_ms = if placed.worker.as_str() == "w0" {
                5_000
            } else {
                1_000
            };
            running.push((now_ms + run_ms, placed));
        }
    }

    let limits = scheduler.worker_summaries().into_iter();
    let limits: Vec<u32> = limits.map(|worker| worker.concurrency_limit).collect();
    assert!(limits[0] < 8, "{limits:?}");
    assert_eq!(limits[1..], [8, 8, 8]);
}
