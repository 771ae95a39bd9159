//! Workers that crash, under a task that crashes each worker that starts it or by themselves.

use acaciareel_cell::{CallerReply, JobId, JobSpec, JobView, StepKey, TaskKey};

use crate::{
    sim::{Comeback, Sim, gang, job, queue, service, step},
    worker::LEASE_MS,
};

/// Starts of a task after three workers have crashed under it; the third breaks rule BUDGET of the
/// users.
const MAX_STARTS_AFTER_THIRD_CRASH: usize = 2;
/// Longest time from the first start of a task that crashes its workers to the end of its job.
const GIVE_UP_MS: u64 = 60_000;
/// Longest time for which a long-running task may be missing while there is capacity for it (rule
/// LOST of the users: 6 s after its last run, and 3 s more).
const RESTART_MS: u64 = 9_000;
/// Crashes under a long-running task after which no other task may be on its worker.
const CRASHES_IN_COMPANY: usize = 5;
const BOTH: [Comeback; 2] = [Comeback::SameId, Comeback::NewId];
/// Id of the first job of the load; tests use lower ones.
const FIRST_LOAD_ID: u64 = 1_000;

/// Short jobs, gangs and single tasks in turn, one every 100 ms.
struct Load {
    sent: Vec<(u64, u64)>,
}

impl Load {
    fn new() -> Self {
        Self { sent: Vec::new() }
    }

    fn run(&mut self, sim: &mut Sim, duration_ms: u64) {
        let end_ms = sim.now_ms + duration_ms;
        while sim.now_ms < end_ms {
            let id = FIRST_LOAD_ID + self.sent.len() as u64;
            let spec = match id % 3 {
                0 => gang(3, 4_000, 400),
                1 => step(3, 4_000, 300),
                _ => step(2, 6_000, 200),
            };
            self.sent
                .push((id, sim.submit("batch", id, job(vec![spec]))));
            sim.run(100);
        }
    }

    /// Returns the accepted jobs that are not completed.
    fn unfinished(&self, sim: &Sim) -> Vec<u64> {
        let accepted = |(_, call): &&(u64, u64)| {
            let reply = sim.replies.get(call);
            reply == Some(&CallerReply::Accepted)
        };
        let ids: Vec<u64> = self.sent.iter().filter(accepted).map(|s| s.0).collect();
        assert!(ids.len() * 2 > self.sent.len(), "{} accepted", ids.len());
        sim.unfinished(ids.into_iter())
    }

    /// Runs until the jobs have failed, or for a given time, and returns the others.
    fn run_until_failed(&mut self, sim: &mut Sim, ids: &[u64], limit_ms: u64) -> Vec<u64> {
        let end_ms = sim.now_ms + limit_ms;
        let mut left = ids.to_vec();
        while !left.is_empty() && sim.now_ms < end_ms {
            self.run(sim, 1_000);
            left.retain(|id| !is_failed(sim, *id));
        }
        left
    }
}

/// Creates a cell whose crashed workers are back after 3 s. Every other seed has a policy service.
fn cell(seed: u64, workers: u32, comeback: Comeback) -> Sim {
    let mut sim = Sim::new(seed, 3, workers);
    sim.crashes.comeback = comeback;
    sim.set_up(vec![
        queue("batch", 2, seed.is_multiple_of(2)),
        queue("watch", 1, seed.is_multiple_of(2)),
    ]);
    sim
}

/// Returns the key of a task of the first step of a job.
fn task(job: u64, index: u32) -> TaskKey {
    let step = StepKey {
        job: JobId(job),
        occurrence: 0,
        step: 0,
    };
    TaskKey { step, index }
}

/// Submits a job and lets one of its tasks crash each worker that starts it, 50 to 1,500 ms later.
fn submit_deadly(sim: &mut Sim, queue: &str, id: u64, index: u32, spec: JobSpec) -> TaskKey {
    let key = task(id, index);
    let delay_ms = 50 + sim.random(1_450);
    sim.crashes.deadly.insert(key, delay_ms);
    sim.submit(queue, id, spec);
    key
}

fn is_failed(sim: &mut Sim, id: u64) -> bool {
    sim.job_status("batch", id) == Some(JobView::Failed)
}

/// Leaves out jobs with a task under which three workers have crashed, at least one of them by
/// itself: such a task cannot be told from one that crashes its workers.
fn without_suspects(sim: &Sim, jobs: Vec<u64>) -> Vec<u64> {
    let keys: Vec<TaskKey> = sim.crashes.starts_ms.keys().copied().collect();
    let is_suspect = |job: &u64| {
        let mut of_job = keys.iter().filter(|key| key.step.job.0 == *job);
        of_job.any(|key| sim.crashes.count_under(*key) >= 3 && sim.crashes.any_by_itself(*key))
    };
    jobs.into_iter().filter(|job| !is_suspect(job)).collect()
}

/// Returns a fault if a task was started too often, or if its job is one of those not given up.
fn budget_fault(sim: &Sim, key: TaskKey, not_given_up: &[u64]) -> Option<String> {
    let late_starts = sim.crashes.starts_after_third_crash(key);
    let missing = not_given_up.contains(&key.step.job.0);
    (missing || late_starts > MAX_STARTS_AFTER_THIRD_CRASH).then(|| {
        format!(
            "{key}: given up: {}, starts: {}, crashes: {}, starts after the third: {late_starts}",
            !missing,
            sim.crashes.starts(key),
            sim.crashes.count_under(key),
        )
    })
}

/// Plays each seed with both ways in which workers come back, and fails with all faults found.
fn assert_no_faults_in(
    seeds: impl Iterator<Item = u64>,
    play: impl Fn(u64, Comeback) -> Vec<String>,
) {
    let mut faults = Vec::new();
    for (seed, comeback) in seeds.flat_map(|seed| BOTH.map(|comeback| (seed, comeback))) {
        let found = play(seed, comeback).into_iter();
        faults.extend(found.map(|fault| format!("seed {seed}, {comeback:?}: {fault}")));
    }
    assert!(faults.is_empty(), "{} faults: {faults:#?}", faults.len());
}

fn unfinished_fault(unfinished: &[u64]) -> Option<String> {
    (!unfinished.is_empty()).then(|| format!("{unfinished:?} unfinished"))
}

fn wait_for_host(sim: &mut Sim, id: u64) -> String {
    sim.run_until(2 * RESTART_MS, |sim| !sim.hosts(id).is_empty());
    sim.hosts(id).remove(0)
}

/// Lets each live worker crash by itself every few seconds, while the load goes on.
fn crash_at_random(sim: &mut Sim, load: &mut Load, duration_ms: u64) {
    let end_ms = sim.now_ms + duration_ms;
    while sim.now_ms < end_ms {
        let live = sim.workers.iter().filter(|(_, worker)| worker.alive);
        for id in live.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            if sim.random(55) == 0 {
                sim.crash_worker(&id);
            }
        }
        load.run(sim, 100);
    }
}

/// Kills the leader and starts it again while the load goes on.
fn replace_leader(sim: &mut Sim, load: &mut Load) {
    let Some(leader) = sim.leader() else {
        return;
    };
    sim.kill(leader);
    load.run(sim, 2_000);
    sim.start(leader, false);
}

/// Guards against a task that crashes worker after worker for ever (loftbook-nam seed 2).
#[test]
fn task_that_crashes_its_workers_is_given_up() {
    assert_no_faults_in(0..12, |seed, comeback| {
        let mut faults = Vec::new();
        let mut sim = cell(seed, 8, comeback);
        let mut load = Load::new();
        load.run(&mut sim, 1_000);

        let key = submit_deadly(&mut sim, "batch", 1, 0, job(vec![step(1, 4_000, 5_000)]));
        let left = load.run_until_failed(&mut sim, &[1], GIVE_UP_MS);
        load.run(&mut sim, 10_000);

        let fault = budget_fault(&sim, key, &left);
        faults.extend(fault);
        faults
    });
}

/// Guards against several such tasks of one job, each of which takes its own attempts.
#[test]
fn job_of_several_tasks_that_crash_their_workers_is_given_up() {
    assert_no_faults_in(0..6, |seed, comeback| {
        let mut faults = Vec::new();
        let mut sim = cell(seed, 8, comeback);
        let mut load = Load::new();
        let spec = job(vec![step(6, 4_000, 4_000)]);

        let keys = [0, 2, 5].map(|i| submit_deadly(&mut sim, "batch", 1, i, spec.clone()));
        let left = load.run_until_failed(&mut sim, &[1], GIVE_UP_MS);
        load.run(&mut sim, 10_000);

        let found = keys
            .iter()
            .filter_map(|key| budget_fault(&sim, *key, &left));
        faults.extend(found);
        faults
    });
}

/// Guards against jobs that are given up because their tasks were on the crashed workers.
#[test]
fn neighbours_of_a_task_that_crashes_its_workers_complete() {
    assert_no_faults_in(0..8, |seed, comeback| {
        let mut faults = Vec::new();
        let mut sim = cell(seed, 4, comeback);
        let mut load = Load::new();
        let neighbours = 100..106;
        for id in neighbours.clone() {
            sim.submit("batch", id, job(vec![step(2, 2_000, 6_000)]));
        }

        let key = submit_deadly(&mut sim, "batch", 1, 0, job(vec![step(1, 4_000, 5_000)]));
        let left = load.run_until_failed(&mut sim, &[1], GIVE_UP_MS);
        load.run(&mut sim, 20_000);
        sim.run(20_000);

        let mut unfinished = sim.unfinished(neighbours);
        unfinished.extend(load.unfinished(&sim));
        let fault = budget_fault(&sim, key, &left);
        faults.extend(fault);
        faults.extend(unfinished_fault(&unfinished));
        faults
    });
}

/// Guards against jobs that are given up after several other tasks crashed their workers in turn.
#[test]
fn neighbours_of_task_after_task_that_crashes_workers_complete() {
    assert_no_faults_in(0..6, |seed, comeback| {
        let mut faults = Vec::new();
        let mut sim = cell(seed, 4, comeback);
        let mut load = Load::new();
        let neighbours = 100..104;
        for id in neighbours.clone() {
            sim.submit("batch", id, job(vec![step(2, 1_000, 10_000)]));
        }

        let deadly: Vec<u64> = (1..6).collect();
        let mut keys = Vec::new();
        for id in &deadly {
            let spec = job(vec![step(1, 2_000, 5_000)]);
            keys.push(submit_deadly(&mut sim, "batch", *id, 0, spec));
            load.run(&mut sim, 2_000);
        }
        let left = load.run_until_failed(&mut sim, &deadly, 2 * GIVE_UP_MS);
        sim.run(40_000);

        let found = keys
            .iter()
            .filter_map(|key| budget_fault(&sim, *key, &left));
        faults.extend(found);
        let mut unfinished = sim.unfinished(neighbours);
        unfinished.extend(load.unfinished(&sim));
        faults.extend(unfinished_fault(&unfinished));
        faults
    });
}

/// Guards against a gang that is started for ever, and gangs beside it that are given up with it.
#[test]
fn gang_with_a_task_that_crashes_its_workers_is_given_up() {
    assert_no_faults_in(0..8, |seed, comeback| {
        let mut faults = Vec::new();
        let mut sim = cell(seed, 6, comeback);
        let mut load = Load::new();
        let neighbours = 100..104;
        for id in neighbours.clone() {
            sim.submit("batch", id, job(vec![gang(4, 2_000, 4_000)]));
        }

        let index = u32::try_from(seed % 4).expect("small");
        let spec = job(vec![gang(4, 8_000, 5_000)]);
        let key = submit_deadly(&mut sim, "batch", 1, index, spec);
        let left = load.run_until_failed(&mut sim, &[1], GIVE_UP_MS);
        load.run(&mut sim, 10_000);
        sim.run(30_000);

        let fault = budget_fault(&sim, key, &left);
        faults.extend(fault);
        let mut unfinished = sim.unfinished(neighbours);
        unfinished.extend(load.unfinished(&sim));
        faults.extend(unfinished_fault(&unfinished));
        faults
    });
}

/// Guards against a count of crashes that is lost with the leader that kept it.
#[test]
fn count_of_crashes_survives_a_change_of_leader() {
    assert_no_faults_in(0..8, |seed, comeback| {
        let mut faults = Vec::new();
        let mut sim = cell(seed, 8, comeback);
        let mut load = Load::new();
        let each = seed % 2 == 0;

        let key = submit_deadly(&mut sim, "batch", 1, 0, job(vec![step(1, 4_000, 5_000)]));
        let end_ms = sim.now_ms + 2 * GIVE_UP_MS;
        let mut crashes = 0;
        let mut given_up = false;
        while !given_up && sim.now_ms < end_ms {
            load.run(&mut sim, 500);
            if sim.crashes.count_under(key) > crashes {
                crashes = sim.crashes.count_under(key);
                if each || crashes == 2 {
                    let wait_ms = sim.random(5_000);
                    load.run(&mut sim, wait_ms);
                    replace_leader(&mut sim, &mut load);
                }
            }
            given_up = is_failed(&mut sim, 1);
        }
        load.run(&mut sim, 10_000);

        let left = if given_up { vec![] } else { vec![1] };
        let fault = budget_fault(&sim, key, &left);
        faults.extend(fault);
        faults
    });
}

/// Guards against a crash that is not counted because the lease lapsed before the worker was back.
#[test]
fn crash_counts_if_the_worker_is_back_after_its_lease() {
    assert_no_faults_in(0..8, |seed, comeback| {
        let mut faults = Vec::new();
        let mut sim = cell(seed, 8, comeback);
        sim.crashes.down_ms = LEASE_MS + 2_000;
        let mut load = Load::new();

        let key = submit_deadly(&mut sim, "batch", 1, 0, job(vec![step(1, 4_000, 5_000)]));
        let left = load.run_until_failed(&mut sim, &[1], GIVE_UP_MS + 30_000);
        load.run(&mut sim, 10_000);

        let fault = budget_fault(&sim, key, &left);
        faults.extend(fault);
        faults
    });
}

/// Guards against a job that is given up because its workers were cut off beyond their lease.
#[test]
fn job_whose_workers_are_cut_off_completes() {
    // Without a policy service, which may allow fewer workers than are cut off.
    for seed in (1..12).step_by(2) {
        let mut sim = cell(seed, 12, Comeback::SameId);
        let spec = if seed % 3 == 0 {
            gang(2, 4_000, 15_000)
        } else {
            step(1, 4_000, 15_000)
        };
        sim.submit("batch", 1, job(vec![spec]));
        for _ in 0..5 {
            let id = wait_for_host(&mut sim, 1);
            sim.run(500);
            sim.cut_workers.insert(id);
            sim.run(LEASE_MS + 3_000);
            sim.cut_workers.clear();
            sim.run(1_000);
        }

        sim.run(40_000);

        assert_eq!(sim.unfinished(1..2), Vec::<u64>::new(), "seed {seed}");
    }
}

/// Guards against a job that is given up because its workers drained and ended under it.
#[test]
fn job_whose_workers_drain_and_restart_completes() {
    for (seed, comeback) in (0..6).flat_map(|seed| BOTH.map(|comeback| (seed, comeback))) {
        let mut sim = cell(seed, 4, comeback);
        sim.submit("batch", 1, job(vec![step(1, 4_000, 15_000)]));
        for _ in 0..5 {
            let id = wait_for_host(&mut sim, 1);
            sim.workers.get_mut(&id).expect("worker").record.draining = true;
            sim.run(3_000);
            if seed % 2 == 0 {
                let leader = sim.leader().expect("leader");
                let notice = sim.workers[&id].deregistration();
                sim.control_request(leader, notice);
                sim.run(50);
            }
            let worker = sim.workers.get_mut(&id).expect("worker");
            worker.alive = false;
            worker.running.clear();
            sim.run(3_000);
            sim.bring_back(&id);
            sim.run(1_000);
        }

        sim.run(40_000);

        let unfinished = sim.unfinished(1..2);
        assert_eq!(unfinished, Vec::<u64>::new(), "seed {seed}, {comeback:?}");
    }
}

/// Guards against short jobs that are given up because their workers crash by themselves.
#[test]
fn jobs_on_workers_that_crash_by_themselves_complete() {
    assert_no_faults_in(0..10, |seed, comeback| {
        let mut faults = Vec::new();
        let mut sim = cell(seed, 8, comeback);
        let mut load = Load::new();

        crash_at_random(&mut sim, &mut load, 30_000);
        load.run(&mut sim, 10_000);
        sim.run(30_000);

        let unfinished = without_suspects(&sim, load.unfinished(&sim));
        faults.extend(unfinished_fault(&unfinished));
        faults
    });
}

/// Guards against a long-running task that is given up, or takes other tasks with it for ever.
#[test]
fn service_that_crashes_its_workers_restarts_alone() {
    assert_no_faults_in(0..8, |seed, comeback| {
        let mut faults = Vec::new();
        let mut sim = cell(seed, 8, comeback);
        let mut load = Load::new();
        let neighbours = 100..104;
        for id in neighbours.clone() {
            sim.submit("batch", id, job(vec![step(4, 2_000, 8_000)]));
        }

        let spec = job(vec![service(2, 2_000)]);
        let key = submit_deadly(&mut sim, "watch", 1, 0, spec);
        load.run(&mut sim, 50_000);
        let starts = sim.crashes.starts(key);
        load.run(&mut sim, 30_000);
        let starts = sim.crashes.starts(key) - starts;
        let status = sim.job_status("watch", 1);
        sim.run(10_000);

        let by_service = sim.crashes.log.iter().filter(|crash| crash.by == Some(key));
        let in_company = by_service
            .skip(CRASHES_IN_COMPANY)
            .filter(|crash| crash.under.len() > 1);
        let in_company = in_company.count();
        let mut unfinished = sim.unfinished(neighbours);
        unfinished.extend(load.unfinished(&sim));
        let restarts = status == Some(JobView::Running) && starts >= 2;
        if !restarts || in_company > 0 || !unfinished.is_empty() {
            faults.push(format!(
                "{status:?}, starts in the last 30 s: {starts}, \
                 crashes: {}, in company after {CRASHES_IN_COMPANY}: {in_company}, {unfinished:?} \
                 unfinished",
                sim.crashes.count_under(key)
            ));
        }
        faults
    });
}

/// Guards against a long-running task that restarts late after crashes it did not cause.
#[test]
fn service_whose_workers_crash_by_themselves_works_on() {
    for (seed, comeback) in (0..4).flat_map(|seed| BOTH.map(|comeback| (seed, comeback))) {
        let mut sim = cell(seed, 6, comeback);
        let mut load = Load::new();
        sim.submit("watch", 1, job(vec![service(4, 2_000)]));
        load.run(&mut sim, 4_000);
        for round in 0..6 {
            let id = wait_for_host(&mut sim, 1);
            sim.crash_worker(&id);

            load.run(&mut sim, RESTART_MS);

            let at_work = sim.at_work(1);
            assert_eq!(
                at_work,
                [0, 1, 2, 3],
                "seed {seed}, {comeback:?}, round {round}"
            );
        }
        assert_eq!(sim.job_status("watch", 1), Some(JobView::Running));
        sim.run(10_000);
        assert_eq!(load.unfinished(&sim), Vec::<u64>::new());
    }
}

/// Guards against workers that stay reserved for suspects long after the last crash.
#[test]
fn capacity_is_in_use_again_after_the_crashes() {
    // Without a policy service, which may leave too few workers for the load.
    assert_no_faults_in((1..12).step_by(2), |seed, comeback| {
        let mut faults = Vec::new();
        let mut sim = cell(seed, 4, comeback);
        sim.submit("watch", 1, job(vec![service(4, 2_000)]));
        sim.run(3_000);
        for _ in 0..3 {
            let id = wait_for_host(&mut sim, 1);
            sim.crash_worker(&id);
            sim.run(RESTART_MS);
        }
        sim.run(30_000);

        let spec = job(vec![step(4, 20_000, 3_000)]);
        let full = 100..104;
        for id in full.clone() {
            sim.submit("batch", id, spec.clone());
        }
        sim.run(18_000);

        let unfinished = sim.unfinished(full);
        if !unfinished.is_empty() || sim.at_work(1) != [0, 1, 2, 3] {
            faults.push(format!("{unfinished:?} unfinished"));
        }
        faults
    });
}

/// Guards against accepted jobs that stay unfinished after crashes and changes of leader.
#[test]
fn all_other_jobs_complete_after_the_crashes() {
    assert_no_faults_in(0..10, |seed, comeback| {
        let mut faults = Vec::new();
        let mut sim = cell(seed, 8, comeback);
        let mut load = Load::new();
        let mut keys = Vec::new();
        for id in 1..4 {
            let spec = if id == 2 {
                gang(3, 4_000, 4_000)
            } else {
                step(2, 4_000, 4_000)
            };
            keys.push(submit_deadly(&mut sim, "batch", id, 0, job(vec![spec])));
        }

        crash_at_random(&mut sim, &mut load, 7_000);
        replace_leader(&mut sim, &mut load);
        crash_at_random(&mut sim, &mut load, 7_000);
        replace_leader(&mut sim, &mut load);
        let left = load.run_until_failed(&mut sim, &[1, 2, 3], GIVE_UP_MS);
        sim.run(30_000);

        let found = keys
            .iter()
            .filter_map(|key| budget_fault(&sim, *key, &left));
        faults.extend(found);
        let unfinished = without_suspects(&sim, load.unfinished(&sim));
        faults.extend(unfinished_fault(&unfinished));
        faults
    });
}
