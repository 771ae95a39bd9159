//! Crashes of workers in the replicated state: what counts, and when a task is exhausted.

use acaciareel_cell::{
    CellState, Change, Command, JobId, RunKey, StepKey, TaskKey, TaskState, WorkerIncarnation,
    WorkerNumber, WorkerRecord,
};

use crate::sim::{gang, job, queue, step};

const JOB: JobId = JobId(1);
const WORKER: WorkerNumber = WorkerNumber(1);

fn task(index: u32) -> TaskKey {
    let step = StepKey {
        job: JOB,
        occurrence: 0,
        step: 0,
    };
    TaskKey { step, index }
}

fn worker(incarnation_started_ms: u64) -> WorkerRecord {
    WorkerRecord {
        id: "worker".to_owned(),
        incarnation_started_ms,
        address: "10.0.9.1:80".to_owned(),
        service: "service".to_owned(),
        ..WorkerRecord::default()
    }
}

/// Returns a state with a worker and a job whose first step has two tasks.
fn state(is_gang: bool) -> CellState {
    let mut state = CellState::default();
    let tasks = if is_gang {
        gang(2, 1_000, 500)
    } else {
        step(2, 1_000, 500)
    };
    state.apply(Command::Worker(worker(1)));
    state.apply(Command::Accept {
        id: JOB,
        queue: queue("batch", 2, false),
        spec: job(vec![tasks]),
        tenant: None,
        over_rate: false,
        at_unix_ms: 0,
    });
    state
}

fn present_incarnation(state: &CellState) -> WorkerIncarnation {
    let record = state.workers().get(&WORKER).expect("worker");
    record.incarnation(WORKER)
}

/// Returns whether the placement of a run is accepted.
fn place(state: &mut CellState, index: u32, run: u32) -> bool {
    let task = task(index);
    let runs = vec![RunKey { task, run }];
    let worker = present_incarnation(state);
    let change = state.apply(Command::Place { runs, worker });
    matches!(change, Change::Placed { refused, .. } if refused.is_empty())
}

/// Crashes the worker under a run of the first task, and under one of the second if it is in company.
fn crash(state: &mut CellState, run: u32, in_company: bool, confirmed: bool) {
    let indexes = if in_company { 0..2 } else { 0..1 };
    for index in indexes.clone() {
        place(state, index, run);
    }
    state.apply(Command::Worker(worker(1 + u64::from(run))));
    let runs = indexes.map(|index| RunKey {
        task: task(index),
        run,
    });
    for run in runs.clone().filter(|_| confirmed) {
        state.apply(Command::Confirmed(run));
    }
    let runs = runs.map(|run| (run, String::new())).collect();
    let worker = WORKER;
    state.apply(Command::Lost { worker, runs });
}

fn is_exhausted(state: &CellState) -> bool {
    state.crash_count(task(0)).is_exhausted()
}

/// Guards against a count that a restart or a new control VM loses with the log before a snapshot.
#[test]
fn crash_counts_survive_a_snapshot() {
    let mut state = state(false);
    crash(&mut state, 1, true, true);
    crash(&mut state, 2, false, true);
    place(&mut state, 0, 3);
    let run = RunKey {
        task: task(0),
        run: 3,
    };
    let runs = vec![(run, String::new(), true)];
    let worker = present_incarnation(&state);
    state.apply(Command::LeaseExpired { worker, runs });

    let restored = CellState::from_bytes(&state.to_bytes()).expect("snapshot");

    assert_eq!(restored, state);
    assert_eq!(restored.crash_count(task(0)).crashes, 2);
    assert!(restored.has_expired_runs(WORKER));
}

/// Guards against a fourth start of a task that has crashed a worker alone.
#[test]
fn third_crash_exhausts_a_task_that_ran_alone() {
    let mut state = state(false);
    crash(&mut state, 1, true, true);
    crash(&mut state, 2, true, true);
    let before = is_exhausted(&state);

    crash(&mut state, 3, false, true);

    assert!(!before && is_exhausted(&state));
    assert!(!place(&mut state, 0, 4));
}

/// Guards against a task that is given up because of its neighbour, or never because of it.
#[test]
fn fourth_crash_exhausts_a_task_that_never_ran_alone() {
    let mut state = state(false);
    for run in 1..4 {
        crash(&mut state, run, true, true);
    }
    let before = is_exhausted(&state);

    crash(&mut state, 4, true, true);

    assert!(!before && is_exhausted(&state));
    assert!(!place(&mut state, 0, 5));
}

/// Guards against a task that is given up because its starts were sent to workers that were down.
#[test]
fn unconfirmed_crashes_exhaust_a_task_only_at_the_sixth() {
    let mut state = state(false);
    for run in 1..6 {
        crash(&mut state, run, false, false);
    }
    let before = is_exhausted(&state);

    crash(&mut state, 6, false, false);

    assert!(!before && is_exhausted(&state));
}

/// Guards against a gang whose tasks count as each other's company.
#[test]
fn tasks_of_a_gang_are_alone_together() {
    let mut state = state(true);

    crash(&mut state, 1, true, true);

    let counts = [0, 1].map(|index| state.crash_count(task(index)));
    assert_eq!(
        counts.map(|count| (count.crashes, count.alone)),
        [(1, 1); 2]
    );
}

/// Guards against a planned end that counts as a crash.
#[test]
fn restart_after_a_drain_is_no_crash() {
    let mut state = state(false);
    place(&mut state, 0, 1);
    state.apply(Command::Worker(WorkerRecord {
        draining: true,
        ..worker(1)
    }));

    state.apply(Command::Worker(worker(2)));

    assert_eq!(state.crash_count(task(0)).crashes, 0);
}

/// Guards against a task that stays placed for ever on a worker that is removed meanwhile.
#[test]
fn run_placed_on_a_removed_worker_waits_again() {
    let mut state = state(false);
    place(&mut state, 0, 1);

    state.apply(Command::RemoveWorker(present_incarnation(&state)));

    let task = state.job(JOB).and_then(|job| job.task(task(0)));
    assert_eq!(task.expect("task").state, TaskState::Waiting);
}
