//! Workers with more completions than one report lists.

use acaciareel_cell::JobSpec;

use crate::sim::{Sim, job, queue, step};

/// Tasks on each of two workers, several times as many as a report lists.
const TASKS_PER_WORKER: u32 = 35;
const MAX_LISTED: usize = 10;
const RUN_MS: u64 = 3_000;

/// Returns a cell of two workers, and a job that fills both and whose tasks all end together.
fn cell_and_job() -> (Sim, JobSpec) {
    let mut sim = Sim::new(1, 3, 2);
    sim.set_up(vec![queue("batch", 2, false)]);
    for worker in sim.workers.values_mut() {
        worker.max_listed = MAX_LISTED;
    }
    let demand = 32_000 / TASKS_PER_WORKER;
    (sim, job(vec![step(2 * TASKS_PER_WORKER, demand, RUN_MS)]))
}

fn start_all(sim: &mut Sim, spec: &JobSpec) {
    sim.submit("batch", 1, spec.clone());
    let tasks = spec.steps[0].tasks as usize;
    let running = |sim: &Sim| sim.workers.values().map(|w| w.running.len()).sum::<usize>();
    sim.run_until(2_000, |sim| running(sim) == tasks);
}

/// Guards against tasks that start again after they are done, because a new leader reads a full list of
/// completions and takes the runs that are not in it for lost (review/1).
#[test]
fn new_leader_does_not_lose_runs_behind_the_end_of_a_list() {
    for early_ms in [50, 400] {
        let (mut sim, spec) = cell_and_job();
        start_all(&mut sim, &spec);
        sim.run(RUN_MS - early_ms);
        let leader = sim.leader().expect("leader");
        sim.kill(leader);

        sim.run(6_000);

        assert_eq!(sim.unfinished(1..2), Vec::<u64>::new(), "{early_ms} ms");
        let tasks = u64::from(spec.steps[0].tasks);
        assert_eq!(sim.starts, tasks, "killed {early_ms} ms before the end");
    }
}

/// Guards against the same without a change of leader, when more tasks end at once than a report lists.
#[test]
fn leader_does_not_lose_runs_behind_the_end_of_a_list() {
    let (mut sim, spec) = cell_and_job();
    start_all(&mut sim, &spec);

    sim.run(RUN_MS + 1_000);

    assert_eq!(sim.unfinished(1..2), Vec::<u64>::new());
    assert_eq!(sim.starts, u64::from(spec.steps[0].tasks));
}

/// Guards against a task that starts more often than its queue allows, because failures behind the end
/// of a list are not counted.
#[test]
fn failures_behind_the_end_of_a_list_are_counted() {
    let max_attempts = queue("batch", 2, false).max_attempts as usize;
    let (mut sim, spec) = cell_and_job();
    start_all(&mut sim, &spec);
    for worker in sim.workers.values_mut() {
        let runs: Vec<_> = worker.running.keys().copied().collect();
        let (done, failed) = runs.split_at(2 * MAX_LISTED);
        for run in done {
            worker.finish(*run);
        }
        for run in failed {
            worker.fail(*run);
        }
        worker.fails = true;
    }

    sim.run(10_000);

    let starts = sim.crashes.starts_ms.values().map(Vec::len).max();
    assert_eq!(starts, Some(max_attempts));
}
