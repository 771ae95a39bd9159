//! Steps whose tasks run until their job is cancelled.

use acaciareel_cell::{CallerReply, CallerRequest, JobId, JobView, StepSpec};

use crate::{
    sim::{Sim, entry, gang, job, queue, service, step},
    worker::LEASE_MS,
};

/// Longest time for which a task may be missing while there is capacity for it (rule LOST of the
/// users: 6 s after its last run, and 3 s more).
const RESTART_MS: u64 = 9_000;
const ALL: [u32; 4] = [0, 1, 2, 3];

/// Starts a cell with a long-running job 7 of four tasks, and waits until they are at work.
fn cell_with_service(seed: u64, workers: u32, spec: StepSpec) -> Sim {
    let mut sim = Sim::new(seed, 3, workers);
    sim.set_up(vec![queue("batch", 2, false), queue("watch", 1, true)]);
    sim.submit("watch", 7, job(vec![spec]));
    sim.run_until(4_000, |sim| sim.at_work(7) == ALL);
    sim
}

/// Returns a worker that runs a task of the service.
fn host(sim: &Sim) -> String {
    let hosts = sim.workers.iter().filter(|(_, w)| !w.running.is_empty());
    hosts.map(|(id, _)| id.clone()).next().expect("busy worker")
}

/// Guards against long-running tasks that are stopped as stalled, because their progress stays at
/// 100 percent, and against a health record that blames their workers for it (brazos-tally
/// quiet-1).
#[test]
fn tasks_at_work_are_left_alone() {
    let mut sim = cell_with_service(1, 4, service(4, 2_000));

    sim.run(60_000);

    assert_eq!(sim.at_work(7), ALL);
    assert_eq!(sim.starts, 4);
    assert_eq!(sim.job_status("watch", 7), Some(JobView::Running));
}

/// Guards against a long-running task that is never at work and keeps its place.
#[test]
fn tasks_that_never_start_working_are_placed_elsewhere() {
    let mut sim = Sim::new(2, 3, 4);
    sim.set_up(vec![queue("watch", 1, false)]);
    for stalled in ["worker-0", "worker-1"] {
        sim.workers.get_mut(stalled).expect("worker").stalls = true;
    }

    sim.submit("watch", 7, job(vec![service(4, 10_000)]));
    sim.run(2 * RESTART_MS);

    assert_eq!(sim.at_work(7), ALL);
}

/// Guards against a job that fails or completes because its long-running tasks end, however often.
#[test]
fn tasks_are_restarted_however_they_end() {
    let mut sim = cell_with_service(3, 4, service(4, 2_000));
    for round in 0..8 {
        let id = host(&sim);
        let worker = sim.workers.get_mut(&id).expect("worker");
        let run = *worker.running.keys().next().expect("run");
        if round % 2 == 0 {
            worker.finish(run);
        } else {
            worker.fail(run);
        }

        sim.run(RESTART_MS);

        assert_eq!(sim.at_work(7), ALL, "round {round}");
    }
    assert_eq!(sim.job_status("watch", 7), Some(JobView::Running));
}

/// Guards against waiting tasks of a long-running job that are served after all others once the job
/// is old, as if it were late.
#[test]
fn tasks_of_an_old_job_restart_under_load() {
    let mut sim = cell_with_service(4, 4, service(4, 8_000));
    sim.run(120_000);
    let mut next = 100;
    let mut submit = |sim: &mut Sim| {
        sim.submit("batch", next, job(vec![step(4, 8_000, 1_500)]));
        next += 1;
    };
    for _ in 0..40 {
        submit(&mut sim);
        sim.run(100);
    }
    let lost = host_of_service(&sim);
    let now_ms = sim.now_ms;
    sim.workers.get_mut(&lost).expect("worker").restart(now_ms);

    let mut longest_ms = 0;
    for _ in 0..120 {
        submit(&mut sim);
        sim.run(100);
        if sim.at_work(7) != ALL {
            longest_ms += 100;
        }
    }

    assert!(longest_ms <= RESTART_MS, "{longest_ms} ms");
    assert_eq!(sim.at_work(7), ALL);
}

/// Returns a worker that runs a task of job 7.
fn host_of_service(sim: &Sim) -> String {
    let runs_service = |worker: &crate::worker::Worker| {
        worker
            .running
            .keys()
            .any(|run| run.task.step.job == JobId(7))
    };
    let hosts = sim
        .workers
        .iter()
        .filter(|(_, worker)| runs_service(worker));
    hosts.map(|(id, _)| id.clone()).next().expect("host")
}

/// Guards against a long-running task that is started elsewhere, or stopped, because its worker was
/// silent for less than its lease.
#[test]
fn tasks_stay_on_a_worker_that_is_silent_for_a_while() {
    for silent_ms in [1_000, 2_000, 4_000, 5_500] {
        let mut sim = cell_with_service(5, 4, service(4, 2_000));
        sim.run(5_000);
        let id = host(&sim);
        sim.cut_workers.insert(id.clone());
        sim.run(silent_ms);
        sim.cut_workers.clear();
        sim.run(10_000);

        assert_eq!(sim.at_work(7), ALL, "{silent_ms} ms");
        let limit = if silent_ms < LEASE_MS - 1_500 { 4 } else { 8 };
        assert!(sim.starts <= limit, "{silent_ms} ms: {} starts", sim.starts);
    }
}

/// Guards against a long-running task that stays lost after its lease has lapsed at its worker.
#[test]
fn tasks_restart_after_their_lease_lapsed() {
    let mut sim = cell_with_service(6, 4, service(4, 2_000));
    let id = host(&sim);
    sim.cut_workers.insert(id);

    sim.run(2 * LEASE_MS + RESTART_MS);

    assert_eq!(sim.at_work(7), ALL);
}

/// Guards against a new leader that starts long-running tasks a second time, or stops them.
#[test]
fn tasks_run_on_under_a_new_leader() {
    let mut sim = cell_with_service(7, 4, service(4, 2_000));
    for _ in 0..3 {
        let leader = sim.leader().expect("leader");
        sim.kill(leader);
        sim.run(4_000);
        sim.start(leader, false);
        sim.run(8_000);
    }

    assert_eq!(sim.at_work(7), ALL);
    assert_eq!(sim.starts, 4);
}

/// Guards against long-running tasks that go on after their job was cancelled.
#[test]
fn cancelled_service_ends() {
    let mut sim = cell_with_service(8, 4, service(4, 2_000));

    let path = format!("/watch/{}", JobId(7));
    let cancel = sim.call(entry(1), path, CallerRequest::Cancel);
    sim.run(1_500);

    assert_eq!(sim.replies.get(&cancel), Some(&CallerReply::Cancelled));
    assert_eq!(sim.at_work(7), Vec::<u32>::new());
    sim.run(10_000);
    assert_eq!(sim.starts, 4);
}

/// Guards against a start on a worker that drains, and against tasks that are not started elsewhere
/// once it has ended.
#[test]
fn tasks_move_when_their_worker_drains_and_ends() {
    let mut sim = cell_with_service(9, 4, service(4, 2_000));
    let id = host(&sim);
    sim.workers.get_mut(&id).expect("worker").record.draining = true;
    sim.run(4_000);
    sim.workers.get_mut(&id).expect("worker").alive = false;

    sim.run(LEASE_MS + RESTART_MS);

    assert_eq!(sim.at_work(7), ALL);
    let moved = sim.workers.iter().filter(|(other, _)| **other != id);
    assert_eq!(moved.map(|(_, w)| w.running.len()).sum::<usize>(), 4);
}

/// Guards against more tasks of a step on one worker than its spread limit allows, also after
/// restarts.
#[test]
fn spread_limit_holds_over_restarts() {
    let spread = StepSpec {
        max_per_worker: Some(1),
        ..service(4, 2_000)
    };
    let mut sim = cell_with_service(10, 6, spread);
    for _ in 0..6 {
        let id = host(&sim);
        let now_ms = sim.now_ms;
        sim.workers.get_mut(&id).expect("worker").restart(now_ms);
        for _ in 0..90 {
            sim.run(100);
            let most = sim
                .workers
                .values()
                .map(|worker| worker.running.len())
                .max();
            assert!(most <= Some(1), "{most:?} tasks on one worker");
        }
        assert_eq!(sim.at_work(7), ALL);
    }
}

/// Guards against gangs and later steps that keep a long-running job from its place for ever.
#[test]
fn service_starts_beside_gangs() {
    let mut sim = Sim::new(11, 3, 4);
    sim.set_up(vec![queue("batch", 2, false), queue("watch", 1, false)]);
    for id in 100..140 {
        sim.submit("batch", id, job(vec![gang(6, 8_000, 1_500)]));
        sim.run(50);
    }
    sim.submit("watch", 7, job(vec![service(4, 8_000)]));

    sim.run_until(RESTART_MS, |sim| sim.at_work(7) == ALL);
}
