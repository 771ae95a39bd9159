//! Room on workers: what holds it, and that it is never exceeded.

use acaciareel_scheduler::TaskOutcome;
use acaciareel_types::{Incarnation, Millis, RunningTask, TaskId};

use crate::support::{
    SMALL, decide, end, job, one_pool, placements, report, scheduler, standard_worker,
};

fn running(id: &str) -> RunningTask {
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

/// Guards against work placed on a worker whose running tasks are not known yet.
#[test]
fn a_worker_has_no_room_before_its_first_report() {
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

/// Guards against a report made before a placement that frees the room of the placed task.
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
    scheduler.task_completed(Millis(4), &end(&first[0], TaskOutcome::Succeeded, None));
    let after_end = placements(&decide(&mut scheduler, 5));

    assert_eq!(first.len(), 8);
    assert!(after_late_report.is_empty());
    assert_eq!(after_end.len(), 1);
}

/// Guards against room that is counted twice for own tasks, not at all for others, or held by a
/// late report after the end of a task.
#[test]
fn reported_tasks_hold_room_once_until_a_newer_report_omits_them() {
    let mut scheduler = scheduler(&one_pool("batch", &[("k", SMALL)]), 1);
    scheduler
        .submit(Millis(0), job(1, "k", "t", 60_000))
        .expect("admitted");
    let placed = placements(&decide(&mut scheduler, 1));
    let id: TaskId = "own".parse().expect("task id");
    scheduler.identify_task(placed[0].task, &id);
    let mut both = report(0, 2);
    both.running = vec![running("own"), running("other")];
    let held = |scheduler: &acaciareel_scheduler::Scheduler| {
        scheduler.worker_summaries()[0].allocated.slots.0
    };

    scheduler.report_worker(Millis(2), &both);
    let with_both = held(&scheduler);
    scheduler.task_completed(Millis(3), &end(&placed[0], TaskOutcome::Succeeded, None));
    both.sequence = 3;
    scheduler.report_worker(Millis(4), &both);
    let after_late_report = held(&scheduler);
    let mut stale = report(0, 2);
    stale.capacity = standard_worker();
    scheduler.report_worker(Millis(5), &stale);
    let after_stale_report = held(&scheduler);
    scheduler.report_worker(Millis(6), &report(0, 4));
    let after_omission = held(&scheduler);

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

/// Guards against double use of a restarted worker, and against work for one that leaves.
#[test]
fn restart_holds_listed_tasks_and_leaving_or_drained_workers_get_nothing() {
    let mut scheduler = scheduler(&one_pool("batch", &[("k", SMALL)]), 2);
    let mut restarted = report(0, 1);
    restarted.incarnation = Incarnation(2);
    restarted.running = (0..8).map(|n| running(&format!("old-{n}"))).collect();
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
    let mut back = report(1, 1);
    back.incarnation = Incarnation(2);
    scheduler.report_worker(Millis(7), &back);
    let when_back = placements(&decide(&mut scheduler, 8));

    assert!(while_leaving.is_empty());
    assert!(while_drained.is_empty());
    assert_eq!(when_back.len(), 1);
}
