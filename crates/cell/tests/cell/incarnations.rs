//! Commands that speak of an incarnation of a worker, committed after the next one has joined.

use acaciareel_cell::{
    CellState, Change, Command, JobId, RunKey, TaskState, WorkerIncarnation, WorkerNumber,
    WorkerRecord,
};

use crate::{
    records,
    records::{run, worker},
    sim::{job, queue, step},
};

const NUMBER: WorkerNumber = WorkerNumber(1);
const EARLIER: WorkerIncarnation = incarnation(1);
const PRESENT: WorkerIncarnation = incarnation(2);

const fn incarnation(started_ms: u64) -> WorkerIncarnation {
    WorkerIncarnation {
        number: NUMBER,
        started_ms,
    }
}

/// Returns a state with a job of two tasks and the first incarnation of a worker.
fn state() -> CellState {
    let mut state = CellState::default();
    state.apply(Command::Worker(worker(1, EARLIER.started_ms)));
    state.apply(Command::Accept {
        id: JobId(1),
        queue: queue("batch", 2, false),
        spec: job(vec![step(2, 1_000, 500)]),
        tenant: None,
        over_rate: false,
        at_unix_ms: 0,
    });
    state
}

fn start_again(state: &mut CellState) {
    state.apply(Command::Worker(worker(1, PRESENT.started_ms)));
}

fn place(state: &mut CellState, run: RunKey, worker: WorkerIncarnation) -> Change {
    let runs = vec![run];
    state.apply(Command::Place { runs, worker })
}

fn task_state(state: &CellState, run: RunKey) -> Option<TaskState> {
    let job = state.job(run.task.step.job)?;
    job.task(run.task).map(|task| task.state)
}

/// Guards against a start on a worker whose labels or service have changed with its incarnation.
#[test]
fn placement_on_an_earlier_incarnation_is_refused() {
    let mut state = state();
    start_again(&mut state);

    let late = place(&mut state, run(1, 0, 1), EARLIER);
    let in_time = place(&mut state, run(1, 1, 1), PRESENT);

    let worker = NUMBER;
    let (runs, refused) = (Vec::new(), vec![run(1, 0, 1)]);
    let expected = Change::Placed {
        runs,
        refused,
        worker,
    };
    assert_eq!(late, expected);
    assert_eq!(task_state(&state, run(1, 0, 1)), Some(TaskState::Waiting));
    assert!(matches!(in_time, Change::Placed { refused, .. } if refused.is_empty()));
}

/// Guards against the removal of a worker that has come back while it was being removed.
#[test]
fn removal_of_an_earlier_incarnation_keeps_the_present_one() {
    let mut state = state();
    start_again(&mut state);
    place(&mut state, run(1, 0, 1), PRESENT);

    state.apply(Command::RemoveWorker(EARLIER));

    assert!(state.is_current(PRESENT));
    let placed = TaskState::Placed(NUMBER);
    assert_eq!(task_state(&state, run(1, 0, 1)), Some(placed));
}

/// Guards against a task that counts two crashes for one, because its lease on the earlier incarnation
/// is recorded as over after that one's crash was counted.
#[test]
fn lease_that_ends_after_the_crash_was_counted_is_not_counted_again() {
    let mut state = state();
    place(&mut state, run(1, 0, 1), EARLIER);
    start_again(&mut state);

    let runs = vec![(run(1, 0, 1), String::new(), true)];
    let worker = EARLIER;
    state.apply(Command::LeaseExpired { worker, runs });
    let remembered = state.has_expired_runs(NUMBER);
    state.apply(Command::Worker(records::worker(1, 3)));

    assert!(!remembered);
    assert_eq!(task_state(&state, run(1, 0, 1)), Some(TaskState::Waiting));
    assert_eq!(state.crash_count(run(1, 0, 1).task).crashes, 1);
}

/// Guards against a crash that is not counted, because what expired on the present incarnation is
/// forgotten for an earlier one.
#[test]
fn expired_runs_are_forgotten_only_for_their_incarnation() {
    let mut state = state();
    start_again(&mut state);
    place(&mut state, run(1, 0, 1), PRESENT);
    let runs = vec![(run(1, 0, 1), String::new(), true)];
    let worker = PRESENT;
    state.apply(Command::LeaseExpired { worker, runs });

    state.apply(Command::ForgetExpired(EARLIER));
    let kept = state.has_expired_runs(NUMBER);
    state.apply(Command::ForgetExpired(PRESENT));

    assert_eq!((kept, state.has_expired_runs(NUMBER)), (true, false));
}

/// Guards against a text form that names another incarnation than it was made from.
#[test]
fn incarnations_are_read_from_their_text_form() {
    for text in ["w1@1796469191007", "w4294967295@0"] {
        let read: WorkerIncarnation = text.parse().expect("incarnation");
        assert_eq!(read.to_string(), text);
    }
    for text in ["", "w1", "w1@", "1@2", "w1@x", "w1@2@3"] {
        assert!(text.parse::<WorkerIncarnation>().is_err(), "{text}");
    }
}

/// Guards against the removal of the worker that is present, because its predecessor at the address
/// names a later start, also after a restart from a snapshot.
#[test]
fn order_of_workers_at_an_address_is_that_of_their_records() {
    let mut state = CellState::default();
    let predecessor = worker(1, 100);
    let successor = |started_ms| WorkerRecord {
        id: "successor".to_owned(),
        incarnation_started_ms: started_ms,
        ..predecessor.clone()
    };
    state.apply(Command::Worker(successor(40)));
    state.apply(Command::Worker(predecessor.clone()));
    state.apply(Command::Worker(successor(50)));
    let restored = CellState::from_bytes(&state.to_bytes()).expect("snapshot");

    for state in [&state, &restored] {
        let at_address = state.workers_at(&predecessor.address);
        assert_eq!(at_address, [WorkerNumber(2), WorkerNumber(1)]);
        assert!(state.has_successor(WorkerNumber(2)));
        assert!(!state.has_successor(WorkerNumber(1)));
    }
    assert_eq!(state, restored);
}

/// Guards against a drain or a record that is undone by one of an earlier announcement of the same
/// incarnation, which is committed late.
#[test]
fn record_of_an_earlier_announcement_changes_nothing() {
    let mut state = CellState::default();
    let announced = |sequence, draining| WorkerRecord {
        sequence,
        draining,
        ..worker(1, PRESENT.started_ms)
    };
    state.apply(Command::Worker(announced(7, true)));

    state.apply(Command::Worker(announced(6, false)));
    let late = state.workers().get(&NUMBER).cloned();
    state.apply(Command::Worker(announced(8, false)));
    let later = state.workers().get(&NUMBER).cloned();

    assert_eq!(late, Some(announced(7, true)));
    assert_eq!(later, Some(announced(8, true)));
}
