//! Time that the replicated state takes when all workers of a large cell crash at once. The test is a
//! program of its own, so that no other tests run beside it and take processors from it.

use std::time::{Duration, Instant};

use acaciareel_cell::{
    CellState, Change, Command, JobId, JobSpec, QueueRow, StepSpec, WorkerIncarnation,
    WorkerNumber, WorkerRecord,
};

#[path = "fixtures/records.rs"]
mod records;

use records::{run, worker};

/// Largest size of a cell, and the target for all crashes together in a release build.
const WORKERS: u32 = 3_700;
const RUNNING: u32 = 23_000;
const ALL_CRASHES: Duration = Duration::from_millis(50);

fn accept(state: &mut CellState, id: u64, tasks: StepSpec) {
    state.apply(Command::Accept {
        id: JobId(id),
        queue: QueueRow {
            name: "batch".to_owned(),
            host: String::new(),
            path_prefix: "/batch/".to_owned(),
            service: "service".to_owned(),
            priority: 2,
            max_attempts: 3,
            slack_permille: 4_000,
            target_ms: 3_000,
            advice: None,
            public: false,
        },
        spec: JobSpec {
            steps: vec![tasks],
            ..JobSpec::default()
        },
        tenant: None,
        over_rate: false,
        at_unix_ms: 0,
    });
}

/// Returns the id of a job. Ids of callers are in no order.
fn job_id(number: u32) -> u64 {
    u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// Returns a state in which each of two tasks of many jobs runs on one of all workers.
fn full_state() -> CellState {
    let mut state = CellState::default();
    for number in 0..WORKERS {
        state.apply(Command::Worker(worker(number, 1)));
    }
    for number in 0..RUNNING / 2 {
        accept(
            &mut state,
            job_id(number),
            StepSpec {
                tasks: 2,
                ..StepSpec::default()
            },
        );
        for index in 0..2 {
            let worker = WorkerIncarnation {
                number: WorkerNumber(1 + (2 * number + index) % WORKERS),
                started_ms: 1,
            };
            let runs = vec![run(job_id(number), index, 1)];
            state.apply(Command::Place { runs, worker });
        }
    }
    state
}

/// Restarts all workers and returns the number of runs under which they crashed.
fn restart_all(state: &mut CellState, record: impl Fn(u32) -> WorkerRecord) -> usize {
    let changes = (0..WORKERS).map(|number| state.apply(Command::Worker(record(number))));
    let crashed = changes.map(|change| match change {
        Change::Worker { crashed, .. } => crashed.len(),
        _ => 0,
    });
    crashed.sum()
}

/// Guards against a leader that falls silent when all workers crash at once, because each crash
/// searches all tasks and all workers. Debug builds check only the counts.
#[test]
fn restart_of_all_workers_under_full_load_is_cheap() {
    let full = full_state();
    let under_other_ids = |number| WorkerRecord {
        id: format!("successor-{number}"),
        ..worker(number, 2)
    };

    // The shortest of ten, because other tests and programs share the processors.
    let measure = |record: &dyn Fn(u32) -> WorkerRecord| {
        let times = (0..10).map(|_| {
            let mut state = full.clone();
            let started = Instant::now();
            let crashed = restart_all(&mut state, record);
            let took = started.elapsed();
            assert_eq!(crashed, RUNNING as usize);
            took
        });
        times.min().expect("ten times")
    };
    let same_ids = measure(&|number| worker(number, 2));
    let other_ids = measure(&under_other_ids);

    println!("{WORKERS} restarts: {same_ids:?} under the same ids, {other_ids:?} under others");
    let is_cheap = same_ids < ALL_CRASHES && other_ids < ALL_CRASHES;
    assert!(
        is_cheap || cfg!(debug_assertions),
        "{same_ids:?}, {other_ids:?}"
    );
}
