//! Indexes of the replicated state: they agree with what they are derived from, and spare searches
//! when many workers crash at once.

use std::time::{Duration, Instant};

use acaciareel_cell::{
    CellState, Change, Command, JobId, RunCompletion, RunKey, RunOutcome, StepKey, TaskKey,
    TaskState, WorkerNumber, WorkerRecord,
};
use proptest::prelude::*;

use crate::sim::{gang, job, queue, step};

/// Largest size of a cell, and the target for all crashes together in a release build.
const WORKERS: u32 = 3_700;
const RUNNING: u32 = 23_000;
const ALL_CRASHES: Duration = Duration::from_millis(50);

fn worker(number: u32, life: u64) -> WorkerRecord {
    WorkerRecord {
        id: format!("worker-{number}"),
        incarnation_started_ms: life,
        address: format!("10.0.{}.{}:80", number / 250, number % 250),
        service: "service".to_owned(),
        ..WorkerRecord::default()
    }
}

fn run(job: u64, index: u32, run: u32) -> RunKey {
    let step = StepKey {
        job: JobId(job),
        occurrence: 0,
        step: 0,
    };
    let task = TaskKey { step, index };
    RunKey { task, run }
}

fn accept(state: &mut CellState, id: u64, tasks: acaciareel_cell::StepSpec) {
    state.apply(Command::Accept {
        id: JobId(id),
        queue: queue("batch", 2, false),
        spec: job(vec![tasks]),
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
        accept(&mut state, job_id(number), step(2, 1_000, 500));
        for index in 0..2 {
            let worker = WorkerNumber(1 + (2 * number + index) % WORKERS);
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

/// Returns commands on four workers, two of which may share an address, and on a job and a gang of
/// three tasks each.
fn any_command() -> impl Strategy<Value = Command> {
    let worker_number = (1u32..8).prop_map(WorkerNumber);
    let any_run =
        (1u64..3, 0u32..3, 1u32..5).prop_map(|(job, index, number)| run(job, index, number));
    let record = (0u32..4, 0u32..3, 1u64..5).prop_map(|(id, address, life)| WorkerRecord {
        id: format!("worker-{id}"),
        ..worker(address, life)
    });
    let outcome = prop_oneof![
        Just(RunOutcome::Done),
        Just(RunOutcome::Failed),
        Just(RunOutcome::Interrupted)
    ];
    prop_oneof![
        4 => record.prop_map(Command::Worker),
        2 => worker_number.clone().prop_map(Command::RemoveWorker),
        8 => (prop::collection::vec(any_run.clone(), 1..4), worker_number.clone())
            .prop_map(|(runs, worker)| Command::Place { runs, worker }),
        3 => (any_run.clone(), outcome, worker_number.clone()).prop_map(|(run, outcome, worker)| {
            let checkpoint = String::new();
            let completions = vec![RunCompletion { run, outcome, checkpoint }];
            Command::Completions { worker, through: 1, completions, at_unix_ms: 1 }
        }),
        3 => (any_run.clone(), worker_number.clone()).prop_map(|(run, worker)| Command::Lost {
            worker,
            runs: vec![(run, String::new())],
        }),
        2 => (any_run, worker_number).prop_map(|(run, worker)| Command::LeaseExpired {
            worker,
            runs: vec![(run, String::new(), true)],
        }),
        1 => (1u64..3).prop_map(|id| Command::Cancel { id: JobId(id), at_unix_ms: 1 }),
    ]
}

proptest! {
    /// Guards against an index that differs from the jobs and workers after some command, so that
    /// replicas with and without a restart count crashes differently, and against a run that stays
    /// placed on a worker that does not exist.
    #[test]
    fn indexes_agree_with_jobs_and_workers(commands in prop::collection::vec(any_command(), 1..60)) {
        let mut state = CellState::default();
        accept(&mut state, 1, step(3, 1_000, 500));
        accept(&mut state, 2, gang(3, 1_000, 500));

        for command in commands {
            state.apply(command);

            let restored = CellState::from_bytes(&state.to_bytes()).expect("snapshot");
            prop_assert_eq!(&restored, &state);
            for (_, task) in state.jobs().values().flat_map(|job| job.tasks()) {
                if let TaskState::Placed(worker) = task.state {
                    prop_assert!(state.workers().contains_key(&worker));
                }
            }
        }
    }
}
