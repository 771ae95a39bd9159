//! Gangs start completely, one after the other, and do not starve.

use acaciareel_scheduler::{CancelOutcome, Decision, JobId, Placement, TaskOutcome};
use acaciareel_types::Millis;

use crate::support::{SMALL, completion, decide, job, one_pool, placements, scheduler, tables};

/// 6 tasks of 10 cores each fill two empty workers.
const GANG: &str = "effect=exclusive tasks=6 cpu_millicores=10000 memory_bytes=1000000 \
                    time_limit_ms=60000 run_time_ms=1000";

fn gang_starts(decisions: &[Decision]) -> Vec<(u64, usize)> {
    let starts = decisions.iter().filter_map(|decision| match decision {
        Decision::Place { job, placements } if job.0 >= 1_000_000 => {
            Some((job.0, placements.len()))
        }
        _ => None,
    });
    starts.collect()
}

/// Guards against gangs that wait for each other's reserved capacity, are placed in part, or starve
/// because small tasks fill every gap.
#[test]
fn gangs_start_completely_and_in_time_among_many_small_tasks() {
    let tables = one_pool("gang", &[("small", SMALL), ("gang", GANG)]);
    let mut scheduler = scheduler(&tables, 4);
    let mut running: Vec<(u64, Placement)> = Vec::new();
    let mut starts = Vec::new();

    for now_ms in (0..120_000_u64).step_by(20) {
        for n in 0..3 {
            let mut small = job(now_ms * 10 + n, "small", "flood", now_ms + 60_000);
            small.accepted = true;
            scheduler.submit(Millis(now_ms), small).expect("accepted");
        }
        if now_ms.is_multiple_of(10_000) && now_ms < 60_000 {
            for n in 0..2 {
                let id = 1_000_000 + now_ms + n;
                let mut gang = job(id, "gang", "rare", now_ms + 60_000);
                gang.accepted = true;
                scheduler.submit(Millis(now_ms), gang).expect("accepted");
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
        let decisions = decide(&mut scheduler, now_ms);
        starts.extend(gang_starts(&decisions).into_iter().map(|s| (now_ms, s)));
        let placed = placements(&decisions).into_iter();
        running.extend(placed.map(|placed| (now_ms + 1_000, placed)));
    }

    assert_eq!(starts.len(), 12, "{starts:?}");
    for (at_ms, (id, tasks)) in starts {
        assert_eq!(tasks, 6);
        assert!(
            at_ms - (id - 1_000_000) / 10_000 * 10_000 <= 60_000,
            "{id} at {at_ms}"
        );
    }
}

/// Guards against a reservation that outlives its cancelled gang and blocks the capacity.
#[test]
fn a_cancelled_gang_releases_its_reservation() {
    let tables = one_pool("gang", &[("small", SMALL), ("gang", GANG)]);
    let mut scheduler = scheduler(&tables, 2);
    for id in 0..3 {
        let mut small = job(id, "small", "t", 60_000);
        small.accepted = true;
        scheduler.submit(Millis(0), small).expect("accepted");
    }
    let first = placements(&decide(&mut scheduler, 0));
    let mut gang = job(1_000_000, "gang", "t", 600_000);
    gang.accepted = true;
    scheduler.submit(Millis(1), gang).expect("accepted");
    for now_ms in (1..20_000).step_by(100) {
        assert!(decide(&mut scheduler, now_ms).is_empty());
    }
    let allocated_slots = |s: &acaciareel_scheduler::Scheduler| -> u32 {
        s.worker_summaries()
            .iter()
            .map(|w| w.allocated.slots.0)
            .sum()
    };
    let reserved = allocated_slots(&scheduler);

    let cancelled = scheduler.cancel(Millis(20_000), JobId(1_000_000));
    let after = allocated_slots(&scheduler);

    assert_eq!(first.len(), 3);
    assert!(reserved > 3, "no capacity is reserved");
    assert_eq!((cancelled, after), (CancelOutcome::Waiting, 3));
}

/// Guards against a gang that starts in its old pool, or keeps a reservation there, after new
/// tables have moved its route to another pool.
#[test]
fn a_reservation_ends_when_the_route_moves_to_another_pool() {
    let pools = [("p", "groups=g policy=gang"), ("q", "groups=h policy=gang")];
    let to = |pool: &str| {
        let gang = format!("pool={pool} {GANG}");
        tables(
            &[("gang", &gang), ("small", &format!("pool=p {SMALL}"))],
            &pools,
            &[],
        )
    };
    let mut scheduler = scheduler(&to("p"), 2);
    for (id, kind) in [
        (1, "small"),
        (2, "small"),
        (3, "small"),
        (1_000_000, "gang"),
    ] {
        let mut waiting = job(id, kind, "t", 60_000);
        waiting.accepted = true;
        scheduler.submit(Millis(0), waiting).expect("accepted");
        decide(&mut scheduler, 0);
    }
    for now_ms in (0..10_000).step_by(100) {
        decide(&mut scheduler, now_ms);
    }

    scheduler.set_tables(Millis(10_000), &to("q"));
    let after = decide(&mut scheduler, 10_000);

    let allocated_slots: u32 = scheduler
        .worker_summaries()
        .iter()
        .map(|w| w.allocated.slots.0)
        .sum();
    assert!(after.is_empty());
    assert_eq!(allocated_slots, 3);
}
