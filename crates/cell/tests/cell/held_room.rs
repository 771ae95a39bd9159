//! Work that waits beside free capacity that is held for other steps.

use acaciareel_cell::{Demand, JobId, JobSpec, QueueRow, RunKey, StepSpec};

use crate::sim::{Sim, gang, job, queue, service, step};

/// Longest time for which a long-running task may be missing while there is capacity for it (rule
/// LOST of the users: 6 s after its last run, and 3 s more).
const RESTART_MS: u64 = 9_000;
/// Longest time for which a job may have nothing running beside free capacity (rule LOST of the users).
const STANDSTILL_MS: u64 = 3_000;
/// Longest time for which gangs may hold most of an idle service.
const HOLD_MS: u64 = 30_000;
const SAMPLE_MS: u64 = 100;
/// Id of the job whose long-running task fails.
const SERVICE: u64 = 1;
const GANG: u64 = 2;
/// Id of the job for whose end gangs have to wait.
const STRAGGLER: u64 = 3;
/// Id of a job of two steps that becomes late, as its queue has little slack.
const LATE: u64 = 4;
/// Id of the first of the jobs that have run before, so that run times are known.
const FIRST_EARLIER: u64 = 100;
/// Run time of tasks of the urgent queue.
const RUN_MS: u64 = 12_000;
/// Demand of an urgent task; two fit on a worker.
const TASK_MILLICORES: u32 = 16_000;
/// Demand of a long-running task. No urgent task fits beside it.
const SERVICE_MILLICORES: u32 = 16_100;

/// Creates a cell whose gangs come before its long-running tasks. Tasks of 12 s are known to it.
fn cell(workers: u32) -> Sim {
    let mut sim = Sim::new(1, 3, workers);
    let gangs = [("first", 0), ("urgent", 1)].map(|(name, priority)| QueueRow {
        slack_permille: 1_500,
        target_ms: 300,
        ..queue(name, priority, false)
    });
    // Its jobs cannot wait for the room that is reserved for gangs.
    let narrow = QueueRow {
        slack_permille: 1_100,
        target_ms: 300,
        ..queue("narrow", 2, false)
    };
    sim.set_up([gangs.to_vec(), vec![queue("watch", 2, false), narrow]].concat());
    sim.submit("watch", SERVICE, job(vec![service(1, SERVICE_MILLICORES)]));
    sim.run(500);
    for id in (FIRST_EARLIER..).take(workers as usize) {
        let queue = if id % 2 == 0 { "urgent" } else { "first" };
        sim.submit(queue, id, urgent_job());
    }
    sim.run(RUN_MS + 2_000);
    assert_eq!(sim.at_work(SERVICE), [0]);
    sim
}

fn urgent_job() -> JobSpec {
    job(vec![step(1, TASK_MILLICORES, RUN_MS)])
}

/// Submits a gang that needs all of so many workers, with two more steps after it.
fn submit_gang(sim: &mut Sim, workers: u32) {
    let after = |step_before: u32| StepSpec {
        depends_on: vec![step_before],
        ..step(2, TASK_MILLICORES, RUN_MS)
    };
    let wide = gang(2 * workers, TASK_MILLICORES, RUN_MS);
    sim.submit("urgent", GANG, job(vec![wide, after(0), after(1)]));
}

/// Lets the run of the long-running task end as failed.
fn fail_service(sim: &mut Sim) {
    let is_service = |run: &RunKey| run.task.step.job == JobId(SERVICE);
    let workers = sim.workers.values_mut().filter(|worker| worker.alive);
    let failed: usize = workers
        .map(|worker| worker.fail_runs(is_service).len())
        .sum();
    assert_eq!(failed, 1);
}

/// Returns the time until the long-running task is at work, at most `limit_ms`.
fn restart_ms(sim: &mut Sim, limit_ms: u64) -> u64 {
    let began_ms = sim.now_ms;
    while sim.at_work(SERVICE).is_empty() && sim.now_ms < began_ms + limit_ms {
        sim.run(SAMPLE_MS);
    }
    sim.now_ms - began_ms
}

/// Guards against a long-running task that stands still beside idle workers, all of which a waiting
/// gang keeps (review/17).
#[test]
fn long_running_task_restarts_beside_a_gang_that_keeps_all_workers() {
    let mut sim = cell(8);
    sim.submit("urgent", STRAGGLER, urgent_job());
    sim.run(100);
    submit_gang(&mut sim, 8);
    sim.run(2_300);

    fail_service(&mut sim);
    let restart_ms = restart_ms(&mut sim, 2 * RESTART_MS);

    assert!(restart_ms <= RESTART_MS, "{restart_ms} ms");
}

/// Guards against a gang that never starts because a long-running task takes one of the workers that it
/// keeps, while another worker would do.
#[test]
fn gang_starts_without_the_worker_that_a_restart_took() {
    let mut sim = cell(8);
    let full_worker = step(1, 2 * TASK_MILLICORES, RUN_MS);
    for id in STRAGGLER..STRAGGLER + 2 {
        sim.submit("urgent", id, job(vec![full_worker.clone()]));
    }
    sim.run(100);
    submit_gang(&mut sim, 6);
    // The task's own worker shrinks, so that its next run has to take another one.
    let host = sim.hosts(SERVICE).remove(0);
    let now_ms = sim.now_ms;
    let worker = sim.workers.get_mut(&host).expect("worker");
    let small = Demand {
        cpu_millicores: SERVICE_MILLICORES / 2,
        ..worker.record.capacity
    };
    worker.set_capacity(now_ms, small);
    sim.run(2_300);

    fail_service(&mut sim);
    let restart_ms = restart_ms(&mut sim, 2 * RESTART_MS);
    sim.run_until(RUN_MS, |sim| sim.hosts(GANG).len() == 6);

    assert!(restart_ms <= RESTART_MS, "{restart_ms} ms");
    assert_eq!(sim.at_work(SERVICE), [0]);
}

/// Guards against an ordinary job that waits beside idle workers, behind a gang that fits on no set of
/// workers (review/15).
#[test]
fn job_starts_behind_a_gang_that_never_fits() {
    let mut sim = Sim::new(1, 3, 8);
    sim.set_up(vec![queue("urgent", 0, false), queue("batch", 2, false)]);
    for id in [GANG, GANG + 1] {
        sim.submit("urgent", id, job(vec![gang(9, 31_000, 4_000)]));
    }
    sim.run(500);

    sim.submit("batch", STRAGGLER + 1, job(vec![step(1, 2_000, 10_000)]));
    sim.run(STANDSTILL_MS);

    assert_eq!(sim.hosts(STRAGGLER + 1).len(), 1);
}

/// Guards against a gang that never starts among narrow jobs, because each worker has a small
/// long-running task and is not kept for that reason.
#[test]
fn wide_gang_starts_among_narrow_jobs_beside_long_running_tasks() {
    let mut sim = cell(8);
    let spread = StepSpec {
        max_per_worker: Some(1),
        ..service(8, 1_000)
    };
    sim.submit("watch", LATE + 1, job(vec![spread]));
    sim.run(1_000);
    let mut id = 1_000;
    let mut submit_narrow = |sim: &mut Sim| {
        sim.submit("narrow", id, job(vec![step(2, 8_000, 1_900)]));
        id += 1;
        sim.run(100);
    };
    for _ in 0..40 {
        submit_narrow(&mut sim);
    }

    sim.submit("urgent", GANG, job(vec![gang(7, 24_000, RUN_MS)]));
    for _ in 0..150 {
        submit_narrow(&mut sim);
    }

    assert_eq!(sim.unfinished(GANG..=GANG), Vec::<u64>::new());
}

/// Guards against a job that waits for ever beside idle workers, because gangs take turns to hold them.
#[test]
fn late_job_starts_behind_gangs_that_take_turns() {
    let mut sim = cell(8);
    let after = StepSpec {
        depends_on: vec![0],
        ..step(1, 20_000, 300)
    };
    let wide = job(vec![gang(14, TASK_MILLICORES, RUN_MS)]);
    sim.submit("watch", STRAGGLER, job(vec![step(1, 20_000, 200_000)]));
    sim.submit("narrow", LATE, job(vec![step(1, 20_000, 10_000), after]));
    sim.run(8_000);

    sim.submit("urgent", GANG, wide.clone());
    sim.run(HOLD_MS - 5_000);
    sim.submit("first", LATE + 1, wide);
    sim.run(5_000 + 2 * STANDSTILL_MS);

    assert_eq!(sim.unfinished(LATE..=LATE), Vec::<u64>::new());
}
