//! Allocation of worker capacity by placed and reported tasks.

use acaciareel_scheduler::TaskOutcome;
use acaciareel_types::{Incarnation, Millis, RunningTask, TaskId};

use crate::support::{
    SMALL, completion, decide, job, one_pool, placements, report, scheduler, standard_worker,
};

fn reported_task(id: &str) -> RunningTask {
    let demand = acaciareel_types::Resources {
        slots: acaciareel_types::Slots(1),
        ..acaciareel_types::Resources::default()
    };
    RunningTask {
        task: id.parse().expect("task id"),
        reserved: demand,
        used: demand,
    }
}

/// Guards against placements on a worker whose running tasks are not known yet.
#[test]
fn a_worker_has_no_capacity_before_its_first_report() {
    let mut scheduler = scheduler(&one_pool("batch", &[("k", SMALL)]), 0);
    let mut waiting = job(1, "k", "t", 60_000);
    waiting.accepted = true;
    scheduler.submit(Millis(0), waiting).expect("accepted");

    let before = decide(&mut scheduler, 1);
    scheduler.report_worker(Millis(2), &report(0, 1));
    let after = decide(&mut scheduler, 3);

    assert!(before.is_empty());
    assert_eq!(placements(&after).len(), 1);
}

/// Guards against a report made before a placement that releases the resources of the placed task
/// when it arrives late.
#[test]
fn a_late_report_does_not_free_a_task_placed_after_it_was_made() {
    let mut scheduler = scheduler(&one_pool("batch", &[("k", SMALL)]), 1);
    for id in 0..9 {
        let mut waiting = job(id, "k", "t", 60_000);
        waiting.accepted = true;
        scheduler.submit(Millis(0), waiting).expect("accepted");
    }

    let first = placements(&decide(&mut scheduler, 1));
    scheduler.report_worker(Millis(2), &report(0, 2));
    let after_late_report = placements(&decide(&mut scheduler, 3));
    scheduler.task_completed(
        Millis(4),
        &completion(&first[0], TaskOutcome::Succeeded, None),
    );
    let after_end = placements(&decide(&mut scheduler, 5));

    assert_eq!(first.len(), 8);
    assert!(after_late_report.is_empty());
    assert_eq!(after_end.len(), 1);
}

/// Guards against reported tasks that are counted twice (own tasks), not at all (other tasks), or
/// still after their completion because of a late report.
#[test]
fn reported_tasks_take_capacity_once_until_a_newer_report_omits_them() {
    let mut scheduler = scheduler(&one_pool("batch", &[("k", SMALL)]), 1);
    scheduler
        .submit(Millis(0), job(1, "k", "t", 60_000))
        .expect("admitted");
    let placed = placements(&decide(&mut scheduler, 1));
    let id: TaskId = "own".parse().expect("task id");
    scheduler.identify_task(placed[0].task, &id);
    let mut both = report(0, 2);
    both.running = vec![reported_task("own"), reported_task("other")];
    let allocated_slots = |scheduler: &acaciareel_scheduler::Scheduler| {
        scheduler.worker_summaries()[0].allocated.slots.0
    };

    scheduler.report_worker(Millis(2), &both);
    let with_both = allocated_slots(&scheduler);
    scheduler.task_completed(
        Millis(3),
        &completion(&placed[0], TaskOutcome::Succeeded, None),
    );
    both.sequence = 3;
    scheduler.report_worker(Millis(4), &both);
    let after_late_report = allocated_slots(&scheduler);
    let mut stale = report(0, 2);
    stale.capacity = standard_worker();
    scheduler.report_worker(Millis(5), &stale);
    let after_stale_report = allocated_slots(&scheduler);
    scheduler.report_worker(Millis(6), &report(0, 4));
    let after_omission = allocated_slots(&scheduler);

    assert_eq!(
        [
            with_both,
            after_late_report,
            after_stale_report,
            after_omission
        ],
        [2, 1, 1, 0]
    );
}

/// Guards against tasks that are placed on top of those that a restarted worker still runs, and
/// against placements on workers that are leaving or drained.
#[test]
fn restarted_workers_keep_listed_tasks_and_leaving_or_drained_workers_get_none() {
    let mut scheduler = scheduler(&one_pool("batch", &[("k", SMALL)]), 2);
    let mut restarted = report(0, 1);
    restarted.incarnation = Incarnation(2);
    restarted.running = (0..8).map(|n| reported_task(&format!("old-{n}"))).collect();
    scheduler.report_worker(Millis(1), &restarted);
    let mut leaving = report(1, 2);
    leaving.leaving = true;
    let mut waiting = job(1, "k", "t", 60_000);
    waiting.accepted = true;
    scheduler.submit(Millis(1), waiting).expect("accepted");

    scheduler.report_worker(Millis(2), &leaving);
    let while_leaving = placements(&decide(&mut scheduler, 3));
    scheduler.drain_worker(Millis(4), &leaving.worker);
    scheduler.report_worker(Millis(5), &report(1, 3));
    let while_drained = placements(&decide(&mut scheduler, 6));
    let mut returned = report(1, 1);
    returned.incarnation = Incarnation(2);
    scheduler.report_worker(Millis(7), &returned);
    let after_return = placements(&decide(&mut scheduler, 8));

    assert!(while_leaving.is_empty());
    assert!(while_drained.is_empty());
    assert_eq!(after_return.len(), 1);
}
