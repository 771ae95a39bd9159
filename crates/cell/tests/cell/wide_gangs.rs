//! Gangs that need a large part of the workers that the policy service allows.

use std::collections::{BTreeMap, BTreeSet};

use acaciareel_cell::{
    AdviceCost, Control, JobId, JobState, QueueRow, RunKey, StepKey, StepSpec, TaskKey, TaskState,
};

use crate::{
    faults::seeds,
    sim::{Disturbance, PolicyService, Sim, entry, first_step, gang, job, queue, step},
};

const WORKERS: u32 = 350;
const ENTRIES: u32 = 34;
/// Time after the traffic from which on jobs with room must run (rule LOST of the users).
const CATCH_UP_MS: u64 = 14_000;
/// Longest time for which such a job may have nothing running (rule LOST of the users).
const MAX_IDLE_MS: u64 = 3_000;
const SAMPLE_MS: u64 = 100;

/// A kind of job of the users' deployment svlx-reel-grown.
struct Kind {
    queue: &'static str,
    priority: u32,
    /// Steps in 1,000 seconds at full load.
    steps_per_1000_s: u64,
    tasks: u64,
    cpu_millicores: u64,
    run_ms: u64,
    max_run_ms: u64,
    gang: bool,
    slack_permille: u64,
    target_ms: u64,
    max_attempts: u32,
    call_us: u64,
    per_worker_us: u64,
    allowed_permille: u64,
    first_id: u64,
}

const KINDS: [Kind; 3] = [
    Kind {
        queue: "urgent",
        priority: 0,
        steps_per_1000_s: 121_000,
        tasks: 3,
        cpu_millicores: 5_000,
        run_ms: 540,
        max_run_ms: 5_800,
        gang: false,
        slack_permille: 1_500,
        target_ms: 300,
        max_attempts: 4,
        call_us: 9_360,
        per_worker_us: 130,
        allowed_permille: 700,
        first_id: 1_000_000,
    },
    Kind {
        queue: "gangs",
        priority: 1,
        steps_per_1000_s: 6_000,
        tasks: 20,
        cpu_millicores: 9_000,
        run_ms: 3_400,
        max_run_ms: 36_000,
        gang: true,
        slack_permille: 2_200,
        target_ms: 1_000,
        max_attempts: 4,
        call_us: 442_000,
        per_worker_us: 6_370,
        allowed_permille: 350,
        first_id: 2_000_000,
    },
    Kind {
        queue: "batch",
        priority: 2,
        steps_per_1000_s: 16_200,
        tasks: 25,
        cpu_millicores: 3_500,
        run_ms: 1_900,
        max_run_ms: 20_000,
        gang: false,
        slack_permille: 4_000,
        target_ms: 3_000,
        max_attempts: 3,
        call_us: 104_000,
        per_worker_us: 1_430,
        allowed_permille: 450,
        first_id: 3_000_000,
    },
];

/// Id of the job that takes a part of each worker.
const FILLER_ID: u64 = 10_000;

/// Returns a number below `below` that depends on the parts only.
fn draw(parts: [u64; 3], below: u64) -> u64 {
    let mixed = parts.iter().fold(0xcbf2_9ce4_8422_2325_u64, |hash, part| {
        let hash = (hash ^ part).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        hash ^ (hash >> 29)
    });
    mixed % below
}

/// Returns the work of a run on a worker of speed 1: jobs differ by up to 40 percent, the tasks of a
/// job by 15, and 3 percent of the jobs take seven times as long.
fn work_ms(run: RunKey, spec: &StepSpec) -> u64 {
    let id = run.task.step.job.0;
    let index = u64::from(run.task.index);
    let Some(kind) = KINDS.iter().rfind(|kind| kind.first_id <= id) else {
        return spec.estimate_ms;
    };
    let tail = if draw([id, 3, 0], 100) < 3 { 7 } else { 1 };
    let job_ms = kind.run_ms * (600 + draw([id, 1, 0], 801)) / 1_000 * tail;
    (job_ms * (850 + draw([id, 2, index], 301)) / 1_000).min(kind.max_run_ms)
}

impl Kind {
    fn row(&self) -> QueueRow {
        QueueRow {
            slack_permille: self.slack_permille,
            target_ms: self.target_ms,
            max_attempts: self.max_attempts,
            advice: Some(AdviceCost {
                call_us: self.call_us,
                per_worker_us: self.per_worker_us,
                ticket_valid_ms: 2_500,
            }),
            ..queue(self.queue, self.priority, true)
        }
    }

    fn submit(&self, sim: &mut Sim, id: u64) {
        let estimate_ms = self.run_ms * (400 + sim.random(2_101)) / 1_000;
        let tasks = (self.tasks * (200 + sim.random(1_601)) / 1_000).max(1);
        let cpu_millicores = self.cpu_millicores * (600 + sim.random(801)) / 1_000;
        let is_gang = self.gang || self.priority == 0 && sim.random(10) < 3;
        let one = if is_gang { gang } else { step };
        let tasks = u32::try_from(tasks).expect("few tasks");
        let cpu_millicores = u32::try_from(cpu_millicores).expect("few cores");
        sim.submit(
            self.queue,
            id,
            job(vec![one(tasks, cpu_millicores, estimate_ms)]),
        );
    }
}

/// Returns a cell in the proportions of svlx-reel-grown with its queues in force.
fn cell(seed: u64) -> Sim {
    let mut sim = Sim::with_domains_and_entries(seed, ENTRIES, WORKERS);
    sim.work_ms = work_ms;
    let allowed = KINDS.iter().map(|kind| (kind.queue, kind.allowed_permille));
    sim.policy = Some(PolicyService::new(allowed.collect()));
    for (worker, speed_permille) in sim
        .workers
        .values_mut()
        .zip([700, 700, 1_700].iter().cycle())
    {
        worker.speed_permille = *speed_permille;
    }
    let mut rows: Vec<QueueRow> = KINDS.iter().map(Kind::row).collect();
    rows.push(queue("filler", 2, false));
    sim.set_up(rows);
    sim
}

/// State of a gang of which nothing runs.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Waiting {
    /// Another run of it is placed on some worker.
    Placed,
    /// A call to the policy service is under way.
    Asking,
    /// No call has been made.
    NeverAsked,
    /// The known allowed workers have too little room.
    NoRoom,
    /// They have room, but too few tickets are valid.
    NoTickets,
    /// There are room and tickets, and the gang must run alone.
    Suspect,
    /// There are room and tickets.
    Ready,
}

/// Time that gangs have spent in each state, and breaches of rule LOST.
#[derive(Default)]
struct Watch {
    /// Time in each state by job.
    waited_ms: BTreeMap<u64, BTreeMap<Waiting, u64>>,
    /// Time for which each job has had nothing running though there was room.
    idle_ms: BTreeMap<u64, u64>,
    /// Breaches of rule LOST: time, job and state.
    lost: Vec<(u64, u64, Waiting)>,
}

fn waiting_state(sim: &Sim, key: StepKey, spec: &StepSpec) -> Waiting {
    let leader = sim.leader().and_then(|vm| sim.control_of(vm));
    let Some(state) = leader.map(Control::state) else {
        return Waiting::Placed;
    };
    let Some(job) = state.job(key.job) else {
        return Waiting::Placed;
    };
    let tasks = job.step(key).into_iter().flat_map(|step| &step.tasks);
    if tasks
        .into_iter()
        .any(|task| matches!(task.state, TaskState::Placed(_)))
    {
        return Waiting::Placed;
    }
    let policy = sim.policy.as_ref().expect("policy service");
    let Some(calls) = policy.calls.get(&key.to_string()) else {
        return Waiting::NeverAsked;
    };
    if calls.open_until_ms.iter().any(|at_ms| *at_ms > sim.now_ms) {
        return Waiting::Asking;
    }
    let known = |id: &str| calls.tickets_until_ms.contains_key(id);
    let valid = |id: &str| {
        let until_ms = calls.tickets_until_ms.get(id);
        until_ms.is_some_and(|until_ms| *until_ms > sim.now_ms + 250)
    };
    if sim.slots(&spec.demand, known) < spec.tasks {
        return Waiting::NoRoom;
    }
    if sim.slots(&spec.demand, valid) < spec.tasks {
        return Waiting::NoTickets;
    }
    if state.must_run_alone(
        job,
        TaskKey {
            step: key,
            index: 0,
        },
    ) {
        return Waiting::Suspect;
    }
    Waiting::Ready
}

impl Watch {
    /// Samples the jobs of which nothing runs. All jobs have one step.
    fn sample(&mut self, sim: &Sim) {
        let half_free = sim.is_half_free();
        let alive = sim.workers.values().filter(|worker| worker.alive);
        let running: BTreeSet<JobId> = alive
            .flat_map(|worker| worker.running.keys())
            .map(|run| run.task.step.job)
            .collect();
        let leader = sim.leader().and_then(|vm| sim.control_of(vm));
        let Some(state) = leader.map(Control::state) else {
            return;
        };
        for job in state.jobs().values() {
            let id = job.id.0;
            if job.state != JobState::Active || running.contains(&job.id) {
                self.idle_ms.remove(&id);
                continue;
            }
            let key = first_step(job.id);
            let spec = &job.spec.steps[0];
            let waiting = waiting_state(sim, key, spec);
            let waited_ms = self.waited_ms.entry(id).or_default();
            *waited_ms.entry(waiting).or_default() += SAMPLE_MS;
            if !half_free || !sim.has_room_twice_over(job.id) {
                self.idle_ms.remove(&id);
                continue;
            }
            let idle_ms = self.idle_ms.entry(id).or_default();
            *idle_ms += SAMPLE_MS;
            if *idle_ms == MAX_IDLE_MS {
                self.lost.push((sim.now_ms, id, waiting));
            }
        }
    }

    /// Runs a cell and samples it.
    fn run(&mut self, sim: &mut Sim, duration_ms: u64) {
        let end_ms = sim.now_ms + duration_ms;
        while sim.now_ms < end_ms {
            sim.run(SAMPLE_MS);
            self.sample(sim);
        }
    }
}

/// Submits jobs of all kinds for a time, at one and a half times the rates of the users' deployment:
/// in the first seconds it brings more work than the workers can do.
fn run_traffic(sim: &mut Sim, next_id: &mut [u64; 3], duration_ms: u64) {
    let end_ms = sim.now_ms + duration_ms;
    while sim.now_ms < end_ms {
        for (kind, next_id) in KINDS.iter().zip(&mut *next_id) {
            let expected = kind.steps_per_1000_s * 3 / 2 * SAMPLE_MS;
            let more = u64::from(sim.random(1_000_000) < expected % 1_000_000);
            for _ in 0..expected / 1_000_000 + more {
                kind.submit(sim, *next_id);
                *next_id += 1;
            }
        }
        sim.run(SAMPLE_MS);
    }
}

/// Disturbs the responses to each `every`-th VM.
fn disturb(sim: &mut Sim, every: usize, how: Disturbance) {
    let policy = sim.policy.as_mut().expect("policy service");
    let vms = (1..=ENTRIES).step_by(every).map(entry);
    policy.disturbed.extend(vms.map(|vm| (vm, how)));
}

/// Lets each worker run one task of ten cores and a given length.
fn fill_each_worker(sim: &mut Sim, run_ms: u64) {
    let tasks = StepSpec {
        max_per_worker: Some(1),
        ..step(WORKERS, 10_000, run_ms)
    };
    sim.submit("filler", FILLER_ID, job(vec![tasks]));
    sim.run(1_000);
    assert_eq!(sim.hosts(FILLER_ID).len(), WORKERS as usize);
}

/// Crashes the host of a gang's first task as often as told.
fn crash_first_task(sim: &mut Sim, id: u64, times: usize) {
    let task = TaskKey {
        step: first_step(JobId(id)),
        index: 0,
    };
    let host = |sim: &Sim| {
        let mut workers = sim.workers.iter().filter(|(_, worker)| worker.alive);
        let host = workers.find(|(_, worker)| worker.running.keys().any(|run| run.task == task));
        host.map(|(id, _)| id.clone())
    };
    for _ in 0..times {
        sim.run_until(60_000, |sim| host(sim).is_some());
        sim.run(300);
        let host = host(sim).expect("host");
        sim.crash_worker(&host);
        sim.run(500);
    }
}

/// Returns what is left after crashes under a gang that has room beside other tasks.
fn watch_after_crashes(crashes: usize) -> (Sim, Watch) {
    let (mut sim, mut watch) = (cell(1), Watch::default());
    fill_each_worker(&mut sim, 120_000);
    sim.submit("gangs", 1, job(vec![gang(32, 15_000, 12_000)]));
    crash_first_task(&mut sim, 1, crashes);
    watch.run(&mut sim, 45_000);
    (sim, watch)
}

/// Guards against a gang that waits for empty workers while there is room beside other tasks.
#[test]
fn gang_runs_again_after_crashes_of_its_workers() {
    for crashes in 1..=2 {
        let (sim, watch) = watch_after_crashes(crashes);

        let waited_ms = &watch.waited_ms;
        assert_eq!(watch.lost, [], "{crashes} crashes: {waited_ms:?}");
        assert_eq!(sim.unfinished(1..2), Vec::<u64>::new());
    }
}

/// Guards against the same after a third crash, in which the task was not alone on its worker.
#[test]
fn gang_runs_again_after_a_third_crash_of_its_workers() {
    let (_, watch) = watch_after_crashes(3);

    assert_eq!(watch.lost, [], "{:?}", watch.waited_ms);
}

/// Guards against a ticket that counts as valid for longer because its response came late: the start
/// is refused, and the rest of the gang is stopped.
#[test]
fn late_response_does_not_extend_a_ticket() {
    for by_ms in [0, 500, 1_000, 1_500] {
        let (mut sim, mut watch) = (cell(1), Watch::default());
        fill_each_worker(&mut sim, 120_000);
        disturb(&mut sim, 1, Disturbance::Late { by_ms });

        // The gang needs one task on more allowed workers than one call returns.
        sim.submit("gangs", 1, job(vec![gang(40, 15_000, 5_000)]));
        watch.run(&mut sim, 20_000);

        let refused = sim.ticket_refusals.len();
        assert_eq!(refused, 0, "{by_ms} ms late: {:?}", watch.waited_ms);
        assert_eq!(sim.unfinished(1..2), Vec::<u64>::new());
    }
}

/// Guards against a gang that does not start because its tickets expire before its workers are free.
#[test]
fn gang_starts_after_its_tickets_expired() {
    let (mut sim, mut watch) = (cell(1), Watch::default());
    for (id, run_ms) in (FILLER_ID..).zip([3_000, 6_000, 9_000]) {
        let tasks = StepSpec {
            max_per_worker: Some(1),
            ..step(WORKERS, 10_000, run_ms)
        };
        sim.submit("filler", id, job(vec![tasks]));
    }
    sim.run(1_000);

    sim.submit("gangs", 1, job(vec![gang(40, 13_100, 5_000)]));
    watch.run(&mut sim, 25_000);

    assert_eq!(watch.lost, [], "{:?}", watch.waited_ms);
    assert_eq!(sim.unfinished(1..2), Vec::<u64>::new());
}

/// Guards against wide gangs that keep each other from starting.
#[test]
fn competing_wide_gangs_start() {
    let (mut sim, mut watch) = (cell(1), Watch::default());
    fill_each_worker(&mut sim, 10_000);

    for id in 1..=6 {
        sim.submit("gangs", id, job(vec![gang(40, 13_100, 3_400)]));
    }
    watch.run(&mut sim, 30_000);

    assert_eq!(watch.lost, [], "{:?}", watch.waited_ms);
    assert_eq!(sim.unfinished(1..7), Vec::<u64>::new());
}

/// Guards against a wide gang that does not start beside urgent gangs.
#[test]
fn wide_gang_starts_beside_urgent_gangs() {
    let (mut sim, mut watch) = (cell(1), Watch::default());
    let first_id = KINDS[0].first_id;

    sim.submit("gangs", 1, job(vec![gang(40, 13_100, 5_000)]));
    for id in first_id..first_id + 600 {
        sim.submit("urgent", id, job(vec![gang(6, 9_000, 540)]));
        if id % 4 == 0 {
            watch.run(&mut sim, SAMPLE_MS);
        }
    }

    assert_eq!(watch.lost, [], "{:?}", watch.waited_ms);
    assert_eq!(sim.unfinished(1..2), Vec::<u64>::new());
}

/// Guards against a wide gang that does not start while the responses to a third of the VMs are lost.
#[test]
fn wide_gangs_start_while_responses_are_lost() {
    let mut sim = cell(1);
    fill_each_worker(&mut sim, 120_000);
    disturb(&mut sim, 3, Disturbance::Lost);

    for id in 1..=3 {
        sim.submit("gangs", id, job(vec![gang(32, 15_000, 5_000)]));
    }
    sim.run(30_000);

    assert_eq!(sim.unfinished(1..4), Vec::<u64>::new());
}

/// Returns breaches of rule LOST after traffic at whose end six wide gangs are accepted.
fn watch_after_traffic(seed: u64, traffic_ms: u64, late_by_ms: u64) -> (Sim, Watch) {
    let (mut sim, mut watch) = (cell(seed), Watch::default());
    let mut next_id = KINDS.map(|kind| kind.first_id);
    disturb(&mut sim, 1, Disturbance::Late { by_ms: late_by_ms });
    run_traffic(&mut sim, &mut next_id, traffic_ms - 500);
    for id in 1..=6 {
        sim.submit("gangs", id, job(vec![gang(40, 13_100, 5_000)]));
    }
    run_traffic(&mut sim, &mut next_id, 500);
    sim.run(CATCH_UP_MS);
    watch.run(&mut sim, 20_000);
    (sim, watch)
}

/// Guards against wide gangs of which nothing runs while there is room, long after the traffic.
#[test]
fn wide_gangs_run_after_the_traffic() {
    let (sim, watch) = watch_after_traffic(1, 5_000, 0);

    assert_eq!(watch.lost, [], "{:?}", watch.waited_ms);
    assert_eq!(sim.unfinished(1..7), Vec::<u64>::new());
}

/// Guards against the same while the policy service's responses are late (issue 36).
#[test]
fn wide_gangs_run_after_the_traffic_with_late_responses() {
    for seed in seeds(1..4) {
        let (sim, watch) = watch_after_traffic(seed, 14_000, 2_000);

        let refused = sim.ticket_refusals.len();
        println!(
            "seed {seed}: {refused} starts refused, LOST {:?}",
            watch.lost
        );
        assert_eq!(watch.lost, [], "seed {seed}: {:?}", watch.waited_ms);
    }
}
