//! Workers whose runs fail, by their own fault or by that of the jobs: how few runs they get, and for
//! how long.

use acaciareel_cell::{JobId, StepSpec};

use crate::sim::{Sim, gang, job, queue, service, step};

/// Longest time for which a job may have nothing running beside free capacity (rule LOST of the users).
const IDLE_LIMIT_MS: u64 = 3_000;
/// Time after the traffic at which each job must be able to run (`finish_s` of the users).
const FINISH_MS: u64 = 14_000;

/// Creates a cell in which each worker runs one long-running task, of job 1.
fn cell(seed: u64, workers: u32) -> Sim {
    let mut sim = Sim::new(seed, 3, workers);
    sim.set_up(vec![queue("batch", 2, false)]);
    let lasting = StepSpec {
        max_per_worker: Some(1),
        ..service(workers, 2_000)
    };
    sim.submit("batch", 1, job(vec![lasting]));
    sim.run_until(4_000, |sim| sim.at_work(1).len() == workers as usize);
    sim
}

/// Lets the usual traffic of 3 s pass, jobs 100 to 119. The last one is hopeless.
fn pass_traffic_with_a_hopeless_job(sim: &mut Sim) {
    sim.hopeless_jobs.insert(JobId(119));
    for id in 100..120 {
        let spec = if id == 119 {
            step(40, 9_000, 300)
        } else {
            step(4, 2_000, 500)
        };
        sim.submit("batch", id, job(vec![spec]));
        sim.run(150);
    }
}

/// Lets a worker fail all that it starts until it has failed some runs of jobs that need its label.
fn fail_on(sim: &mut Sim, id: &str, label: &str) {
    let worker = sim.workers.get_mut(id).expect("worker");
    worker.record.labels.push(label.to_owned());
    sim.run(2_000);
    let lasting = sim.workers[id].running.clone();
    for job_id in 50..56 {
        let spec = with_label(step(1, 2_000, 300), label);
        sim.submit("batch", job_id, job(vec![spec]));
    }
    for _ in 0..600 {
        let worker = sim.workers.get_mut(id).expect("worker");
        worker.fail_runs(|run| !lasting.contains_key(run));
        sim.run(10);
    }
}

fn with_label(spec: StepSpec, label: &str) -> StepSpec {
    StepSpec {
        required_label: Some(label.to_owned()),
        ..spec
    }
}

/// Guards against a service on which no run starts any more, because the failures of one hopeless job
/// count against workers with long-running tasks.
#[test]
fn hopeless_job_does_not_stop_workers_with_long_running_tasks() {
    let mut sim = cell(1, 6);
    pass_traffic_with_a_hopeless_job(&mut sim);
    sim.run(FINISH_MS);

    sim.submit("batch", 200, job(vec![step(2, 2_000, 500)]));

    sim.run_until(IDLE_LIMIT_MS, |sim| sim.unfinished(200..=200).is_empty());
    assert_eq!(sim.unfinished(100..119), [0_u64; 0]);
    assert_eq!(sim.at_work(1).len(), 6);
}

/// Guards against the only worker of a kind that is lost for good after it has failed all runs for some
/// seconds, because it also has a long-running task.
#[test]
fn worker_that_failed_for_a_while_gets_runs_again_beside_a_long_running_task() {
    let mut sim = cell(2, 4);
    fail_on(&mut sim, "worker-1", "special");

    let spec = with_label(step(3, 2_000, 500), "special");
    sim.submit("batch", 200, job(vec![spec]));

    let done = |sim: &Sim| sim.unfinished(200..=200).is_empty();
    sim.run_until(2 * IDLE_LIMIT_MS, done);
}

/// Guards against a gang that never starts on a worker on probation, because it needs several places
/// there and no other run ends the probation.
#[test]
fn probation_ends_without_any_further_run() {
    let mut sim = cell(3, 4);
    fail_on(&mut sim, "worker-1", "special");

    let spec = with_label(gang(3, 2_000, 500), "special");
    sim.submit("batch", 200, job(vec![spec]));

    let done = |sim: &Sim| sim.unfinished(200..=200).is_empty();
    sim.run_until(FINISH_MS, done);
}

/// Guards against jobs that wait for hours behind a long task on a worker on probation.
#[test]
fn long_task_on_a_worker_on_probation_holds_no_others_up() {
    let mut sim = cell(4, 4);
    fail_on(&mut sim, "worker-1", "special");
    let spec = with_label(step(1, 2_000, 3_600_000), "special");
    sim.submit("batch", 200, job(vec![spec]));
    sim.run(1_000);

    let spec = with_label(step(1, 2_000, 500), "special");
    sim.submit("batch", 201, job(vec![spec]));

    sim.run_until(IDLE_LIMIT_MS, |sim| sim.unfinished(201..=201).is_empty());
}

/// Guards against a cell that stands still because half of the jobs are hopeless: their failures must
/// not keep sound jobs from most of the workers.
#[test]
fn sound_jobs_run_beside_as_many_hopeless_ones() {
    let mut sim = cell(5, 6);
    for id in 100..300 {
        if id % 2 == 0 {
            sim.hopeless_jobs.insert(JobId(id));
        }
        sim.submit("batch", id, job(vec![step(2, 4_000, 400)]));
        sim.run(50);
    }

    sim.run(IDLE_LIMIT_MS);

    let sound = (100..300).filter(|id| id % 2 == 1);
    assert_eq!(sim.unfinished(sound), [0_u64; 0]);
}

/// Fails all runs of a worker, except a long-running one, for 30 s of load. Each job has ten tasks.
/// Returns how many runs it failed.
fn fail_under_load(sim: &mut Sim, id: &str, millicores: u32) -> usize {
    let lasting = sim.workers[id].running.clone();
    let mut failed = 0;
    for job_id in 100..400 {
        sim.submit("batch", job_id, job(vec![step(10, millicores, 400)]));
        for _ in 0..10 {
            let worker = sim.workers.get_mut(id).expect("worker");
            failed += worker.fail_runs(|run| !lasting.contains_key(run)).len();
            sim.run(10);
        }
    }
    failed
}

/// Guards against work for a worker that fails all that it starts, while others have room, and
/// against one that takes run after run and uses up the attempts of sound jobs while they have none.
#[test]
fn worker_that_fails_everything_gets_few_runs() {
    // The runs need 80 and 160 of the 150 cores that five sound workers have beside long-running tasks.
    // 100 are two runs a second, and those of the first reports.
    for (millicores, most) in [(2_000, 30), (4_000, 100)] {
        let mut sim = cell(6, 6);

        let failed = fail_under_load(&mut sim, "worker-2", millicores);
        sim.run(3 * FINISH_MS);

        assert!(failed <= most, "{failed} of {most} runs failed");
        assert_eq!(sim.unfinished(100..400), [0_u64; 0], "{millicores}");
    }
}

/// Guards against a sound task that uses up its attempts within milliseconds on a worker that fails
/// everything for a second, because the other one is full.
#[test]
fn task_is_not_tried_again_at_once_where_it_failed() {
    let mut sim = Sim::new(7, 3, 2);
    sim.set_up(vec![queue("batch", 2, false)]);
    sim.submit("batch", 1, job(vec![step(1, 32_000, 20_000)]));
    sim.run(500);
    let full = sim.hosts(1).remove(0);
    let other = if full == "worker-0" {
        "worker-1"
    } else {
        "worker-0"
    };

    sim.submit("batch", 2, job(vec![step(1, 2_000, 300)]));
    for _ in 0..90 {
        let worker = sim.workers.get_mut(other).expect("worker");
        worker.fail_runs(|_| true);
        sim.run(10);
    }

    sim.run_until(IDLE_LIMIT_MS, |sim| sim.unfinished(2..=2).is_empty());
}
