//! Suspects: tasks under which workers have crashed, most of them innocent.

use acaciareel_cell::{AdviceCost, JobId, JobState, RunKey, StepSpec};

use crate::{
    sim::{Comeback, Sim, gang, job, queue, service, step},
    worker::LEASE_MS,
};

/// Longest time for which a long-running task may be missing while there is capacity for it (rule
/// LOST of the users: 6 s after its last run, and 3 s more).
const RESTART_MS: u64 = 9_000;
/// Longest time for which a job may have nothing running while there is capacity for it twice over
/// and less than half of the service's capacity is in use (rule LOST of the users).
const MAX_STANDSTILL_MS: u64 = 3_000;
/// Processor capacity of a worker, in cores.
const CORES: u64 = 32;
/// Tasks of a wide gang and their demand; two of them fit on a worker.
const WIDE_TASKS: u32 = 40;
const WIDE_MILLICORES: u32 = 13_100;
/// Id of the first job of the load; tests use lower ones.
const FIRST_LOAD_ID: u64 = 1_000;

fn cell(workers: u32) -> Sim {
    let mut sim = Sim::new(1, 3, workers);
    sim.crashes.comeback = Comeback::SameId;
    sim.set_up(vec![queue("batch", 2, false), queue("watch", 1, false)]);
    sim
}

/// Creates a cell with a slow policy service: a call about 100 workers takes 1.1 s, and there are two
/// VMs that make calls.
fn advised_cell(workers: u32) -> Sim {
    let mut sim = Sim::new(1, 3, workers);
    sim.advice_ms = 1_100;
    let mut wide = queue("wide", 2, true);
    wide.advice = wide.advice.map(|cost| AdviceCost {
        call_us: 100_000,
        per_worker_us: 10_000,
        ..cost
    });
    sim.set_up(vec![
        queue("batch", 2, false),
        queue("watch", 1, false),
        wide,
    ]);
    sim
}

fn submit_wide_gang(sim: &mut Sim, id: u64) {
    let spec = gang(WIDE_TASKS, WIDE_MILLICORES, 13_000);
    sim.submit("wide", id, job(vec![spec]));
}

/// Returns the worker that runs the first task of a job.
fn first_host(sim: &Sim, id: u64) -> Option<String> {
    let is_first = |run: &RunKey| run.task.step.job == JobId(id) && run.task.index == 0;
    let workers = sim.workers.iter().filter(|(_, worker)| worker.alive);
    let mut hosts = workers.filter(|(_, worker)| worker.running.keys().any(is_first));
    hosts.next().map(|(id, _)| id.clone())
}

/// Crashes the worker of a job's first task, and waits until it is back.
fn crash_first_host(sim: &mut Sim, load: &mut Load, id: u64) {
    let end_ms = sim.now_ms + 40_000;
    while first_host(sim, id).is_none() && sim.now_ms < end_ms {
        load.run(sim, 100);
    }
    load.run(sim, 500);
    let host = first_host(sim, id).expect("running gang");
    sim.crash_worker(&host);
    load.run(
        sim,
        sim.crashes.down_ms + sim.crashes.first_heartbeat_ms + 100,
    );
}

/// Returns the longest time for which an active job had nothing running although there was room.
fn longest_standstill_ms(sim: &mut Sim, load: &mut Load, id: u64, duration_ms: u64) -> u64 {
    let (mut current_ms, mut longest_ms) = (0, 0);
    let end_ms = sim.now_ms + duration_ms;
    while sim.now_ms < end_ms {
        load.run(sim, 100);
        let is_active = state_of(sim, id) == Some(JobState::Active);
        let has_room = || sim.is_half_free() && sim.has_room_twice_over(JobId(id));
        let stands_still = is_active && sim.hosts(id).is_empty() && has_room();
        current_ms = if stands_still { current_ms + 100 } else { 0 };
        longest_ms = longest_ms.max(current_ms);
    }
    longest_ms
}

/// Crashes the workers of a wide gang, and returns how long it stood still afterwards.
fn standstill_after_crashes(sim: &mut Sim, crashes: u32, load: &mut Load) -> u64 {
    submit_wide_gang(sim, 1);
    for _ in 0..crashes {
        crash_first_host(sim, load, 1);
    }
    load.percent = 0;
    longest_standstill_ms(sim, load, 1, 60_000)
}

fn wait_for_hosts(sim: &mut Sim, id: u64) -> Vec<String> {
    sim.run_until(40_000, |sim| !sim.hosts(id).is_empty());
    sim.run(500);
    sim.hosts(id)
}

fn crash_all(sim: &mut Sim) {
    let ids: Vec<String> = sim.workers.keys().cloned().collect();
    for id in ids {
        sim.crash_worker(&id);
    }
}

fn state_of(sim: &Sim, id: u64) -> Option<JobState> {
    let control = sim.leader().and_then(|vm| sim.control_of(vm))?;
    Some(control.state().job(JobId(id))?.state)
}

/// Jobs of four tasks of four cores, which together use a share of all workers.
struct Load {
    percent: u64,
    task_ms: u64,
    next_id: u64,
    due_permille: u64,
}

impl Load {
    fn new(percent: u64, task_ms: u64) -> Self {
        Self {
            percent,
            task_ms,
            next_id: FIRST_LOAD_ID,
            due_permille: 0,
        }
    }

    fn run(&mut self, sim: &mut Sim, duration_ms: u64) {
        let workers = u64::try_from(sim.workers.len()).expect("few workers");
        let end_ms = sim.now_ms + duration_ms;
        while sim.now_ms < end_ms {
            self.due_permille += workers * CORES * self.percent * 1_000 / 16 / self.task_ms;
            while self.due_permille >= 1_000 {
                self.due_permille -= 1_000;
                let spec = job(vec![step(4, 4_000, self.task_ms)]);
                sim.submit("batch", self.next_id, spec);
                self.next_id += 1;
            }
            sim.run(100);
        }
    }
}

/// Guards against long-running tasks that never restart: each needs an empty worker after its third
/// crash, and there are more of them than workers.
#[test]
fn services_restart_after_three_mass_crashes() {
    let mut sim = cell(12);
    sim.submit("watch", 1, job(vec![service(40, 2_000)]));
    sim.run(8_000);
    for _ in 0..3 {
        crash_all(&mut sim);
        sim.run(RESTART_MS);
    }

    let at_work = sim.at_work(1).len();
    sim.run(60_000);

    assert_eq!((at_work, sim.at_work(1).len()), (40, 40));
}

/// Guards against long-running suspects whose wait begins anew each time that one of them gets a worker of
/// its own (review/16).
#[test]
fn services_restart_while_workers_become_empty_one_by_one() {
    let mut sim = cell(8);
    sim.crashes.down_ms = 2_000;
    for number in 0..7 {
        let spec = step(1, 32_000, 10_000 + 1_400 * number);
        sim.submit("batch", 10 + number, job(vec![spec]));
    }
    sim.run(500);
    sim.submit("watch", 1, job(vec![service(12, 1_200)]));
    for _ in 0..2 {
        let host = wait_for_hosts(&mut sim, 1);
        sim.run(1_500);
        sim.crash_worker(&host[0]);
        sim.run(2_000);
    }

    sim.run(RESTART_MS - 2_000);

    assert_eq!(sim.at_work(1).len(), 12);
}

/// Guards against a suspect that waits for ever for a worker without runs, because each worker has
/// a long-running task.
#[test]
fn suspect_starts_beside_services_on_all_workers() {
    let mut sim = cell(4);
    let watch = StepSpec {
        max_per_worker: Some(1),
        ..service(4, 2_000)
    };
    sim.submit("watch", 1, job(vec![watch]));
    sim.run(5_000);
    sim.submit("batch", 2, job(vec![step(1, 4_000, 15_000)]));
    for _ in 0..3 {
        let host = wait_for_hosts(&mut sim, 2);
        sim.crash_worker(&host[0]);
        sim.run(4_000);
    }

    sim.run(60_000);

    // The job may also be given up, as three workers have crashed under its task.
    assert_ne!(state_of(&sim, 2), Some(JobState::Active));
    assert_eq!(sim.at_work(1), [0, 1, 2, 3]);
}

/// Guards against a job that is given up because of workers that crashed after its runs on them had
/// lapsed.
#[test]
fn job_whose_workers_crash_after_a_cut_completes() {
    let mut sim = cell(12);
    sim.submit("batch", 1, job(vec![step(1, 4_000, 15_000)]));
    for _ in 0..3 {
        let host = wait_for_hosts(&mut sim, 1);
        sim.cut_workers.insert(host[0].clone());
        sim.run(LEASE_MS + 4_000);
        sim.crash_worker(&host[0]);
        sim.run(3_100);
        sim.cut_workers.clear();
        sim.run(2_000);
    }

    sim.run(60_000);

    let under = sim.crashes.log.iter().map(|crash| crash.under.len());
    assert_eq!(under.sum::<usize>(), 0);
    assert_eq!(sim.unfinished(1..2), Vec::<u64>::new());
}

/// Guards against suspects that keep all workers for themselves: after two mass crashes each of 48
/// workers runs one task of four cores for a minute.
#[test]
fn other_jobs_start_beside_many_long_suspects() {
    let mut sim = cell(48);
    sim.submit("batch", 1, job(vec![step(150, 4_000, 60_000)]));
    sim.run(1_500);
    for _ in 0..2 {
        crash_all(&mut sim);
        sim.run(6_500);
    }
    let mut load = Load::new(40, 2_000);

    load.run(&mut sim, 20_000);

    let sent = load.next_id - FIRST_LOAD_ID;
    let unfinished = sim.unfinished(FIRST_LOAD_ID..load.next_id).len();
    assert!(
        unfinished * 2 < usize::try_from(sent).expect("few jobs"),
        "{unfinished} of {sent} jobs unfinished"
    );
}

/// Guards against a gang of suspects that never starts because it needs more empty workers than may
/// drain at the same time.
#[test]
fn gang_of_suspects_wider_than_the_draining_workers_starts() {
    let mut sim = cell(20);
    let mut load = Load::new(85, 2_000);
    sim.submit("batch", 1, job(vec![gang(4, 20_000, 10_000)]));
    load.run(&mut sim, 1_000);
    for _ in 0..2 {
        let hosts = wait_for_hosts(&mut sim, 1);
        load.run(&mut sim, 4_000);
        for id in &hosts {
            sim.crash_worker(id);
        }
        load.run(&mut sim, 4_000);
    }

    load.run(&mut sim, 120_000);

    assert_eq!(sim.unfinished(1..2), Vec::<u64>::new());
}

/// Guards against a wide gang that stands still after crashes although its workers are free.
#[test]
fn wide_gang_starts_again_after_crashes() {
    for crashes in 1..=3 {
        let mut sim = advised_cell(80);

        let standstill_ms = standstill_after_crashes(&mut sim, crashes, &mut Load::new(0, 2_000));

        assert!(
            standstill_ms <= MAX_STANDSTILL_MS,
            "{standstill_ms} ms after {crashes} crashes"
        );
    }
}

/// Guards against a wide gang that stands still after crashes beside other jobs, or once they have
/// ended.
#[test]
fn wide_gang_starts_again_beside_load_that_ends() {
    for crashes in 1..=3 {
        let mut sim = advised_cell(80);
        let mut load = Load::new(40, 2_000);
        load.run(&mut sim, 3_000);

        let standstill_ms = standstill_after_crashes(&mut sim, crashes, &mut load);

        assert!(
            standstill_ms <= MAX_STANDSTILL_MS,
            "{standstill_ms} ms after {crashes} crashes"
        );
    }
}

/// Guards against a wide gang that waits for workers without runs after crashes, while each worker
/// has a small long-running task.
#[test]
fn wide_gang_starts_again_beside_services() {
    for crashes in 1..=3 {
        let mut sim = advised_cell(80);
        let watch = StepSpec {
            max_per_worker: Some(1),
            ..service(80, 1_000)
        };
        sim.submit("watch", 2, job(vec![watch]));
        sim.run(6_000);

        let standstill_ms = standstill_after_crashes(&mut sim, crashes, &mut Load::new(0, 2_000));

        assert!(
            standstill_ms <= MAX_STANDSTILL_MS,
            "{standstill_ms} ms after {crashes} crashes"
        );
    }
}
