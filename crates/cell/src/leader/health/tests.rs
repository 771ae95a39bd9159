//! Which failures count against a worker, and when a probation ends.

use acaciareel_types::Millis;

use super::{FailedSteps, Health, limit_probation};
use crate::{CellState, JobId, StepKey, TaskKey, WorkerNumber};

const FAILED_MS: Millis = Millis(10_000);

/// Returns the health of a worker that has failed three runs in a row.
fn failing() -> Health {
    let mut health = Health::default();
    for _ in 0..3 {
        health.add_result(FAILED_MS, true);
    }
    health
}

fn after(ms: u64) -> Millis {
    FAILED_MS.saturating_add(Millis(ms))
}

fn step(job: u64) -> StepKey {
    StepKey {
        job: JobId(job),
        occurrence: 0,
        step: 0,
    }
}

/// Guards against a probation that only a successful run ends.
#[test]
fn probation_ends_without_a_result() {
    let health = failing();

    let on_probation = [0, 3_000, 9_990, 10_000].map(|ms| health.on_probation(after(ms)));

    assert_eq!(on_probation, [true, true, true, false]);
}

/// Guards against a probation that goes on although runs succeed, and against one that a single
/// success ends at once.
#[test]
fn successful_runs_shorten_a_probation() {
    let mut health = failing();
    health.add_result(after(500), false);

    let on_probation = [600, 2_990, 3_000].map(|ms| health.on_probation(after(ms)));

    assert_eq!(on_probation, [true, true, false]);
}

/// Guards against several runs for a worker that fails again after its probation.
#[test]
fn one_failure_after_the_longest_probation_begins_the_next() {
    let mut health = failing();

    health.add_result(after(20_000), true);

    assert!(health.on_probation(after(20_000)));
    assert!(!health.is_trial(after(19_000), 0, after(20_500)));
    assert!(health.is_trial(after(20_400), 0, after(20_500)));
}

/// Guards against a worker that gets no run because one of its runs never ends: a run from before the
/// probation, one at work, or a long one.
#[test]
fn only_a_recent_run_is_a_trial() {
    let health = failing();
    let now_ms = after(2_500);
    let cases = [
        (Millis(9_000), 10, false),
        (after(1_000), 10, true),
        (after(1_000), 100, false),
        (after(500), 10, false),
    ];

    for (began_ms, percent, expected) in cases {
        let is_trial = health.is_trial(began_ms, percent, now_ms);
        assert_eq!(is_trial, expected, "{began_ms:?} {percent}");
    }
}

/// Guards against a worker that fails one run after the other at once.
#[test]
fn failure_is_followed_by_a_pause() {
    let health = failing();

    let pauses = [0, 490, 500].map(|ms| health.pauses(after(ms)));

    assert_eq!(pauses, [true, true, false]);
    assert!(!Health::default().pauses(FAILED_MS));
}

/// Guards against workers that are blamed for a step that fails on each worker, and against a worker
/// that is not blamed because it alone fails a step.
#[test]
fn step_that_fails_on_other_workers_is_blamed() {
    let mut steps = FailedSteps::default();
    let fails_on = |steps: &mut FailedSteps, worker| {
        steps.add_failure(step(1), (WorkerNumber(worker), FAILED_MS), None)
    };

    let first = [1, 1, 2, 3, 4, 1].map(|worker| fails_on(&mut steps, worker));
    steps.add_success(step(1));
    let after_success = [5, 5, 6, 7].map(|worker| fails_on(&mut steps, worker));
    let of_another_step = steps.add_failure(step(2), (WorkerNumber(8), FAILED_MS), None);
    steps.remove_job(JobId(1));
    let after_removal = fails_on(&mut steps, 8);

    assert_eq!(first, [true, true, true, false, false, false]);
    assert_eq!(after_success, [true, true, true, false]);
    assert!(of_another_step);
    assert!(after_removal);
}

/// Guards against a second worker that is blamed for a task that fails everywhere.
#[test]
fn task_that_failed_on_another_worker_is_blamed() {
    let failed_on = [None, Some(WorkerNumber(1)), Some(WorkerNumber(2))];

    let blamed = failed_on.map(|failed_on| {
        let mut steps = FailedSteps::default();
        steps.add_failure(step(1), (WorkerNumber(1), FAILED_MS), failed_on)
    });

    assert_eq!(blamed, [true, true, false]);
}

/// Guards against a service most of whose workers are on probation for the failures of jobs, and
/// against a single worker that never is.
#[test]
fn those_that_fail_most_are_on_probation() {
    let numbers = |worker: &[u32]| worker.iter().copied().map(WorkerNumber).collect::<Vec<_>>();
    let failing = [(700, 1), (657, 2), (1_000, 3), (657, 4)];
    let failing = failing.map(|(permille, number)| (permille, WorkerNumber(number)));

    assert_eq!(limit_probation(failing.to_vec(), 6), numbers(&[3, 1]));
    assert_eq!(limit_probation(failing.to_vec(), 9), numbers(&[3, 1, 2]));
    assert_eq!(limit_probation(failing[..1].to_vec(), 1), numbers(&[1]));
    assert_eq!(limit_probation(Vec::new(), 9), numbers(&[]));
}

/// Guards against entries that stay for ever, and against a worker that is charged, because runs of a
/// job fail after the job has ended.
#[test]
fn failures_of_an_ended_job_are_not_recorded() {
    let mut steps = FailedSteps::default();
    let task = TaskKey {
        step: step(1),
        index: 0,
    };

    let blamed = steps.run_failed(&CellState::default(), task, WorkerNumber(1), FAILED_MS);

    assert!(!blamed);
    assert_eq!(steps, FailedSteps::default());
}

/// Guards against a step that is tried again at once where it has just failed, and against one that
/// never is.
#[test]
fn step_pauses_on_the_worker_on_which_it_failed() {
    let mut steps = FailedSteps::default();
    for worker in 1..=10 {
        steps.add_failure(step(1), (WorkerNumber(worker), FAILED_MS), None);
    }
    steps.add_failure(step(1), (WorkerNumber(10), after(300)), None);

    let pausing = [0, 490, 500, 800].map(|ms| steps.pausing_workers(step(1), after(ms)).len());

    assert_eq!(pausing, [8, 8, 1, 0]);
    assert!(steps.pausing_workers(step(2), FAILED_MS).is_empty());
}
