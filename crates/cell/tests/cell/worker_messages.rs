//! What workers, other writers and the platform may say, drawn by seed: heartbeats of other software at
//! known ids and addresses, workers that come back in every way, late and repeated messages, jobs that
//! can never be done and workers that fail, beside tasks that last.

use std::collections::BTreeMap;

use acaciareel_cell::{
    ControlRequest, Deregistration, JobId, StepKey, StepSpec, TaskKey, WorkerRecord,
};
use acaciareel_types::VmId;

use crate::{
    faults::play_seeds,
    sim::{Comeback, Sim, job, queue, service, step},
    worker::Worker,
};

const WORKERS: u32 = 6;
const LASTING_TASKS: u32 = 4;
/// Time after the traffic at which each job must be able to run (`finish_s` of the users).
const FINISH_MS: u64 = 14_000;
/// Time between two draws.
const ROUND_MS: u64 = 400;
const ROUNDS: u64 = 30;
/// Job of the tasks that last.
const LASTING: JobId = JobId(1);
/// Most tasks of a sound job.
const MOST_TASKS: u32 = 3;
/// Failed runs of a task after which its job fails, in the queue of the simulation.
const MAX_ATTEMPTS: u32 = 3;

/// What can be drawn.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Draw {
    /// Another writer announces the address of a worker under an id of its own.
    ForeignId,
    /// Another writer announces a later or an earlier start of a worker, at its address.
    ForeignStart,
    /// Another writer announces a worker at an address where nobody listens.
    ForeignAddress,
    /// Another writer announces a worker at the address of another one.
    SwappedAddress,
    /// Another writer announces the present incarnation with a service of its own.
    ForeignService,
    /// The heartbeat of an earlier incarnation arrives late.
    LateHeartbeat,
    /// A worker crashes and comes back under its id.
    SameId,
    /// A worker crashes, and another one takes its address.
    NewId,
    /// A worker crashes and comes back with an earlier start.
    EarlierStart,
    /// A worker crashes and comes back as another kind.
    OtherKind,
    /// A worker drains, deregisters and comes back.
    Drain,
    /// The deregistration of an earlier incarnation arrives late, twice.
    LateDeregistration,
    /// A worker fails all that it starts for two seconds.
    FailingWorker,
    /// A job comes that can never be done.
    HopelessJob,
    /// The leader is killed and starts again.
    LeaderKilled,
}

const DRAWS: [Draw; 15] = [
    Draw::ForeignId,
    Draw::ForeignStart,
    Draw::ForeignAddress,
    Draw::SwappedAddress,
    Draw::ForeignService,
    Draw::LateHeartbeat,
    Draw::SameId,
    Draw::NewId,
    Draw::EarlierStart,
    Draw::OtherKind,
    Draw::Drain,
    Draw::LateDeregistration,
    Draw::FailingWorker,
    Draw::HopelessJob,
    Draw::LeaderKilled,
];

/// A cell under load, with the messages that are yet to arrive.
struct Play {
    sim: Sim,
    /// Jobs that can be done.
    sound: Vec<u64>,
    next_job: u64,
    /// Records of incarnations that have ended.
    earlier: Vec<WorkerRecord>,
    /// Workers that fail all that they start, with the end of the fault.
    failing: BTreeMap<String, u64>,
    /// How often each task has failed on them.
    failures: BTreeMap<TaskKey, u32>,
    /// Workers that come back after a drain, with the time.
    returning: BTreeMap<String, u64>,
    /// Control VM that is down, and the time at which it starts again.
    killed_until_ms: Option<(VmId, u64)>,
}

impl Play {
    fn new(seed: u64) -> Self {
        let mut sim = Sim::new(50_000 + seed, 3, WORKERS);
        sim.crashes.down_ms = 500;
        sim.set_up(vec![queue("batch", 2, false)]);
        let lasting = StepSpec {
            max_per_worker: Some(1),
            ..service(LASTING_TASKS, 2_000)
        };
        sim.submit("batch", 1, job(vec![lasting]));
        sim.run(2_000);
        Self {
            sim,
            sound: Vec::new(),
            next_job: 100,
            earlier: Vec::new(),
            failing: BTreeMap::new(),
            failures: BTreeMap::new(),
            returning: BTreeMap::new(),
            killed_until_ms: None,
        }
    }

    fn pick<T: Clone>(&mut self, values: &[T]) -> Option<T> {
        let count = values.len() as u64;
        let at = if count == 0 {
            0
        } else {
            self.sim.random(count)
        };
        values.get(usize::try_from(at).expect("small")).cloned()
    }

    fn alive(&self) -> Vec<String> {
        let workers = self.sim.workers.iter();
        let alive = workers.filter(|(_, worker)| worker.alive && !worker.record.draining);
        alive.map(|(id, _)| id.clone()).collect()
    }

    fn announce(&mut self, worker: WorkerRecord) {
        let Some(leader) = self.sim.leader() else {
            return;
        };
        let request = ControlRequest::Announce {
            worker,
            clock_ms: Some(1_000),
            sequence: self.sim.now_ms + self.sim.random(1_000_000),
        };
        self.sim.control_request(leader, request);
    }

    fn crash(&mut self, id: &str, comeback: Comeback) {
        self.earlier.push(self.sim.workers[id].record.clone());
        self.sim.crashes.comeback = comeback;
        self.sim.crash_worker(id);
        self.sim.run(510);
    }

    /// Returns the worker that listens at an address.
    fn at_address(&mut self, address: &str) -> Option<&mut Worker> {
        let mut workers = self.sim.workers.values_mut();
        workers.find(|worker| worker.alive && worker.record.address == address)
    }

    /// Carries a draw out. Returns whether it was possible.
    fn carry_out(&mut self, draw: Draw) -> bool {
        let alive = self.alive();
        let Some(id) = self.pick(&alive) else {
            return false;
        };
        match draw {
            Draw::ForeignId
            | Draw::ForeignStart
            | Draw::ForeignAddress
            | Draw::SwappedAddress
            | Draw::ForeignService => {
                let foreign = self.foreign(draw, &id, &alive);
                self.announce(foreign);
                true
            }
            Draw::LateHeartbeat | Draw::LateDeregistration => self.send_late(draw),
            // Most of the workers stay, so that there is room for each job.
            Draw::SameId | Draw::NewId | Draw::EarlierStart | Draw::OtherKind | Draw::Drain => {
                alive.len() >= 5 && self.end_worker(draw, &id)
            }
            Draw::FailingWorker => {
                self.failing.insert(id, self.sim.now_ms + 2_000);
                true
            }
            Draw::HopelessJob => {
                let id = self.next_job;
                self.next_job += 1;
                self.sim.hopeless_jobs.insert(JobId(id));
                let spec = job(vec![step(12, 9_000, 300)]);
                self.sim.submit("batch", id, spec);
                true
            }
            Draw::LeaderKilled => {
                let (Some(leader), None) = (self.sim.leader(), self.killed_until_ms) else {
                    return false;
                };
                self.sim.kill(leader);
                self.killed_until_ms = Some((leader, self.sim.now_ms + 1_500));
                true
            }
        }
    }

    /// Returns what another writer announces about a worker.
    fn foreign(&mut self, draw: Draw, id: &str, alive: &[String]) -> WorkerRecord {
        let mut record = self.sim.workers[id].record.clone();
        let shift_ms = 1 + self.sim.random(2_000);
        match draw {
            Draw::ForeignId => {
                record.id = format!("agent-{}", self.sim.now_ms);
                record.incarnation_started_ms += self.sim.random(1_000_000);
            }
            Draw::ForeignStart if shift_ms.is_multiple_of(2) => {
                record.incarnation_started_ms += shift_ms * 1_000;
            }
            Draw::ForeignStart => {
                let started_ms = record.incarnation_started_ms;
                record.incarnation_started_ms = started_ms.saturating_sub(shift_ms);
            }
            Draw::ForeignAddress => {
                record.incarnation_started_ms += shift_ms;
                "10.9.9.9:80".clone_into(&mut record.address);
            }
            Draw::SwappedAddress => {
                let other = self.pick(alive).expect("worker");
                let address = self.sim.workers[&other].record.address.clone();
                record.address = address;
                record.incarnation_started_ms += shift_ms * self.sim.random(2);
            }
            _ => "telemetry".clone_into(&mut record.service),
        }
        record
    }

    /// Sends what an incarnation that has ended has sent. Returns whether one has ended.
    fn send_late(&mut self, draw: Draw) -> bool {
        let earlier = self.earlier.clone();
        let (Some(earlier), Some(leader)) = (self.pick(&earlier), self.sim.leader()) else {
            return false;
        };
        if draw == Draw::LateHeartbeat {
            self.announce(earlier);
            return true;
        }
        let named = self.sim.random(2) == 0;
        for _ in 0..2 {
            let notice = Deregistration {
                worker_id: earlier.id.clone(),
                incarnation_started_ms: named.then_some(earlier.incarnation_started_ms),
                repeats: None,
            };
            let request = ControlRequest::Deregister(notice);
            self.sim.control_request(leader, request);
        }
        true
    }

    /// Lets a worker end, which comes back later.
    fn end_worker(&mut self, draw: Draw, id: &str) -> bool {
        let record = self.sim.workers[id].record.clone();
        let shift_ms = 1 + self.sim.random(2_000);
        match draw {
            Draw::Drain => {
                let worker = self.sim.workers.get_mut(id).expect("worker");
                worker.record.draining = true;
                let back_ms = self.sim.now_ms + 4_000;
                self.returning.insert(id.to_owned(), back_ms);
            }
            Draw::NewId => self.crash(id, Comeback::NewId),
            Draw::EarlierStart => {
                let comeback = if shift_ms.is_multiple_of(2) {
                    Comeback::SameId
                } else {
                    Comeback::NewId
                };
                self.crash(id, comeback);
                if let Some(worker) = self.at_address(&record.address) {
                    let started_ms = record.incarnation_started_ms;
                    worker.record.incarnation_started_ms = started_ms.saturating_sub(shift_ms);
                }
            }
            _ => {
                self.crash(id, Comeback::SameId);
                let now_ms = self.sim.now_ms;
                if let (Draw::OtherKind, Some(worker)) = (draw, self.at_address(&record.address)) {
                    worker.record.labels = vec![format!("kind-{now_ms}")];
                }
            }
        }
        true
    }

    /// Lets time pass, and carries out what is due.
    fn run(&mut self, duration_ms: u64) {
        let end_ms = self.sim.now_ms + duration_ms;
        while self.sim.now_ms < end_ms {
            self.sim.run(10);
            let now_ms = self.sim.now_ms;
            self.failing.retain(|_, until_ms| now_ms < *until_ms);
            for id in self.failing.keys() {
                let Some(worker) = self.sim.workers.get_mut(id) else {
                    continue;
                };
                for run in worker.fail_runs(|run| run.task.step.job != LASTING) {
                    *self.failures.entry(run.task).or_default() += 1;
                }
            }
            let due = self.returning.iter().find(|(_, at_ms)| now_ms >= **at_ms);
            if let Some(id) = due.map(|(id, _)| id.clone()) {
                self.returning.remove(&id);
                self.leave_and_return(&id);
            }
            if let Some((vm, _)) = self.killed_until_ms.filter(|(_, at_ms)| now_ms >= *at_ms) {
                self.sim.start(vm, false);
                self.killed_until_ms = None;
            }
        }
    }

    /// Ends a worker that has drained, and starts it again under its id.
    fn leave_and_return(&mut self, id: &str) {
        let worker = self.sim.workers.get_mut(id).expect("worker");
        self.earlier.push(worker.record.clone());
        let notice = worker.deregistration();
        if let Some(leader) = self.sim.leader() {
            self.sim.control_request(leader, notice);
        }
        self.sim.run(50);
        let worker = self.sim.workers.get_mut(id).expect("worker");
        worker.alive = false;
        worker.running.clear();
        self.sim.ended_workers.insert(id.to_owned());
        self.sim.run(700);
        self.sim.ended_workers.remove(id);
        self.sim.crashes.comeback = Comeback::SameId;
        self.sim.bring_back(id);
    }

    /// Submits two jobs, one of which is long enough to run during the next draw.
    fn submit(&mut self) {
        for spec in [step(3, 2_000, 250), step(2, 4_000, 1_500)] {
            let id = self.next_job;
            self.next_job += 1;
            self.sim.submit("batch", id, job(vec![spec]));
            self.sound.push(id);
        }
    }

    /// Returns the sound jobs that are not completed, without those that may be given up: a task of
    /// theirs has failed as often as its queue allows, or two workers have crashed under it (rule BUDGET
    /// of the users).
    fn unfinished(&self) -> Vec<u64> {
        let unfinished = self.sim.unfinished(self.sound.iter().copied());
        let may_be_given_up = |id: &u64| {
            let step = StepKey {
                job: JobId(*id),
                ..StepKey::default()
            };
            (0..MOST_TASKS).any(|index| {
                let task = TaskKey { step, index };
                let failures = self.failures.get(&task).copied().unwrap_or(0);
                failures >= MAX_ATTEMPTS || self.sim.crashes.count_under(task) >= 2
            })
        };
        let owed = unfinished.into_iter().filter(|id| !may_be_given_up(id));
        owed.collect()
    }
}

fn play(seed: u64, drawn: &mut BTreeMap<Draw, u32>) {
    let mut play = Play::new(seed);
    for _ in 0..ROUNDS {
        play.submit();
        let at = play.sim.random(DRAWS.len() as u64);
        let draw = DRAWS[usize::try_from(at).expect("small")];
        if play.carry_out(draw) {
            *drawn.entry(draw).or_default() += 1;
        }
        play.run(ROUND_MS);
    }
    play.run(FINISH_MS);

    // Rules are checked at each start. What remains is that all goes on.
    let count = u32::try_from(play.alive().len()).expect("small");
    assert_eq!(count, WORKERS, "seed {seed}");
    assert_eq!(play.unfinished(), [0_u64; 0], "seed {seed}");
    assert_eq!(
        play.sim.at_work(1).len(),
        LASTING_TASKS as usize,
        "seed {seed}"
    );
    let everywhere = StepSpec {
        max_per_worker: Some(1),
        ..step(count, 2_000, 500)
    };
    play.sim.submit("batch", 99, job(vec![everywhere]));
    let done = |sim: &Sim| sim.unfinished(99..=99).is_empty();
    play.sim.run_until(4_000, done);
}

/// Guards against tasks that run twice or are lost, and against workers that get no work any more,
/// whatever workers, other writers and the platform say.
#[test]
fn messages_of_workers_and_other_writers() {
    play_seeds(0..24, DRAWS.len(), play);
}
