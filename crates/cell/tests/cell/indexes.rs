//! Indexes of the replicated state agree with what they are derived from.

use acaciareel_cell::{
    CellState, Command, JobId, RunCompletion, RunOutcome, TaskState, WorkerIncarnation,
    WorkerNumber, WorkerRecord,
};
use acaciareel_testing::seeded;
use proptest::prelude::*;

use crate::{
    records::{run, worker},
    sim::{gang, job, queue, step},
};

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

/// Returns commands on four workers, two of which may share an address, and on a job and a gang of
/// three tasks each.
fn any_command() -> impl Strategy<Value = Command> {
    let worker_number = (1u32..8).prop_map(WorkerNumber);
    let incarnation = (worker_number.clone(), 1u64..5)
        .prop_map(|(number, started_ms)| WorkerIncarnation { number, started_ms });
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
        2 => incarnation.clone().prop_map(Command::RemoveWorker),
        8 => (prop::collection::vec(any_run.clone(), 1..4), incarnation.clone())
            .prop_map(|(runs, worker)| Command::Place { runs, worker }),
        3 => (any_run.clone(), outcome, incarnation.clone()).prop_map(|(run, outcome, worker)| {
            let checkpoint = String::new();
            let completions = vec![RunCompletion { run, outcome, checkpoint }];
            Command::Completions { worker, through: 1, completions, at_unix_ms: 1 }
        }),
        3 => (any_run.clone(), worker_number).prop_map(|(run, worker)| Command::Lost {
            worker,
            runs: vec![(run, String::new())],
        }),
        2 => (any_run, incarnation).prop_map(|(run, worker)| Command::LeaseExpired {
            worker,
            runs: vec![(run, String::new(), true)],
        }),
        1 => (1u64..3).prop_map(|id| Command::Cancel { id: JobId(id), at_unix_ms: 1 }),
    ]
}

proptest! {
    #![proptest_config(seeded())]

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
