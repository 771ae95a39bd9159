//! Runs that take longer than expected, and runs and workers that hang.

use crate::sim::{Sim, gang, job, queue, step};

/// Returns a cell in which tasks of queue `batch` have run before, so that their run time is known.
fn cell_with_known_run_times(seed: u64, workers: u32) -> Sim {
    let mut sim = Sim::new(seed, 3, workers);
    sim.set_up(vec![queue("batch", 2, false)]);
    sim.submit("batch", 1_000, job(vec![step(10, 1_000, 1_000)]));
    sim.run(3_000);
    assert_eq!(sim.unfinished(1_000..1_001), Vec::<u64>::new());
    sim
}

/// Guards against stopping tasks that take seven times as long as others, which lost a sixth of the
/// value of a quiet day (svlx quiet).
#[test]
fn tasks_of_the_heavy_tail_run_once() {
    let mut sim = cell_with_known_run_times(1, 4);
    sim.work_ms = |run, spec| {
        let is_slow = run.task.index.is_multiple_of(5);
        spec.estimate_ms * if is_slow { 7 } else { 1 }
    };
    let before = sim.starts;

    for id in 0..6 {
        sim.submit("batch", id, job(vec![step(10, 1_000, 1_500)]));
        sim.run(500);
    }
    sim.run(25_000);

    assert_eq!(sim.unfinished(0..6), Vec::<u64>::new());
    assert_eq!(sim.starts - before, 60);
}

/// Guards against stopping the first tasks of a queue whose caller's estimate is far too low.
#[test]
fn tasks_with_a_wrong_estimate_run_once() {
    let mut sim = Sim::new(2, 3, 4);
    sim.work_ms = |_, spec| spec.estimate_ms * 6;
    sim.set_up(vec![queue("batch", 2, false)]);

    sim.submit("batch", 1, job(vec![step(2, 1_000, 1_200)]));
    sim.run(12_000);

    assert_eq!(sim.unfinished(1..2), Vec::<u64>::new());
    assert_eq!(sim.starts, 2);
}

/// Guards against a gang that is stopped as a whole because one member takes seven times as long.
#[test]
fn gang_with_one_slow_member_runs_once() {
    let mut sim = cell_with_known_run_times(3, 4);
    sim.work_ms = |run, spec| spec.estimate_ms * if run.task.index == 3 { 7 } else { 1 };
    let before = sim.starts;

    sim.submit("batch", 1, job(vec![gang(6, 5_000, 1_200)]));
    sim.run(12_000);

    assert_eq!(sim.unfinished(1..2), Vec::<u64>::new());
    assert_eq!(sim.starts - before, 6);
}

/// Guards against stopping the runs of a worker that is slower than the others by a factor of 3.
#[test]
fn slow_worker_keeps_its_runs() {
    let mut sim = cell_with_known_run_times(4, 2);
    for worker in sim.workers.values_mut() {
        worker.speed_permille = 330;
    }
    let before = sim.starts;

    for id in 0..10 {
        sim.submit("batch", id, job(vec![step(4, 1_000, 2_000)]));
        sim.run(700);
    }
    sim.run(15_000);

    assert_eq!(sim.unfinished(0..10), Vec::<u64>::new());
    assert_eq!(sim.starts - before, 40);
}

/// Guards against a run that hangs at 100 percent and holds its job back for ever, and against
/// stopping it before it has run for ten times its expected time of 1 s.
#[test]
fn run_that_hangs_at_100_is_placed_again() {
    let mut sim = cell_with_known_run_times(5, 4);
    sim.work_ms = |run, spec| {
        if run.run == 1 {
            600_000
        } else {
            spec.estimate_ms
        }
    };

    sim.submit("batch", 1, job(vec![step(1, 1_000, 1_000)]));
    sim.run(9_500);
    let early = sim.unfinished(1..2);
    sim.run(10_500);

    assert_eq!(early, [1]);
    assert_eq!(sim.unfinished(1..2), Vec::<u64>::new());
}

/// Guards against runs at 100 percent that stay on a worker on which everything has stopped.
#[test]
fn worker_that_stops_at_100_loses_its_runs_after_four_seconds() {
    let mut sim = cell_with_known_run_times(6, 2);
    sim.work_ms = |run, spec| spec.estimate_ms * if run.run == 1 { 3 } else { 1 };
    for id in 0..8 {
        sim.submit("batch", id, job(vec![step(1, 8_000, 1_000)]));
    }
    sim.run(1_500);
    let hung = sim.workers.get_mut("worker-1").expect("worker");
    assert_eq!(hung.running.len(), 4);
    hung.stalls = true;

    sim.run(7_500);

    assert_eq!(sim.unfinished(0..8), Vec::<u64>::new());
    let hung = &sim.workers["worker-1"];
    assert!(hung.running.is_empty(), "{:?}", hung.running);
}

/// Guards against runs that hang below 100 percent for much longer than 4 s.
#[test]
fn worker_that_stops_below_100_loses_its_runs_after_four_seconds() {
    let mut sim = cell_with_known_run_times(7, 2);
    for id in 0..8 {
        sim.submit("batch", id, job(vec![step(1, 8_000, 2_000)]));
    }
    sim.run(1_000);
    sim.workers.get_mut("worker-1").expect("worker").stalls = true;

    sim.run(7_500);

    assert_eq!(sim.unfinished(0..8), Vec::<u64>::new());
}
