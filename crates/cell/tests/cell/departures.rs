//! Planned ends of workers: every order of lost, late and repeated messages between the drain of a
//! worker and its end, and cuts meanwhile.

use std::collections::BTreeMap;

use acaciareel_cell::{ControlReply, ControlRequest, StepSpec};

use crate::{
    faults::play_seeds,
    sim::{Comeback, Sim, control, gang, job, queue, service, step},
    worker::LEASE_MS,
};

const CONTROLS: u32 = 3;
/// Time after which a worker calls the next VM (bound of the platform).
const REPLY_MS: u64 = 1_000;
/// Time from the first notice to the end of a worker that gets no acknowledgement.
const GIVES_UP_MS: u64 = 4_000;
/// Time from the first notice after which a worker is acknowledged with its runs.
const LET_GO_MS: u64 = 2_000;
/// Time in which a task starts elsewhere once its worker has ended as acknowledged: the passes of the
/// leader, a commit and a start.
const RESTART_MS: u64 = 500;
/// Longest time for which a worker that gets no calls can keep its runs, and the leader's margins.
const LEASE_END_MS: u64 = LEASE_MS * 104 / 100 + 1_000;

/// Number of cuts, and of yes and no of five other draws, of which each is to come up.
const DRAWN: usize = 4 + 2 * 5;

/// What becomes of a notice and its acknowledgement.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Delivery {
    Heard,
    /// The notice is lost.
    NoticeLost,
    /// The acknowledgement is lost.
    ReplyLost,
    /// The notice arrives some seconds late, and its acknowledgement is lost.
    Late,
    /// The notice arrives twice.
    Repeated,
}

/// How a worker is cut off around its end.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Cut {
    None,
    /// Nothing arrives in either direction.
    Silent,
    /// What is sent to the worker is lost.
    OneWay,
    /// What the worker sends arrives; connections to it are refused.
    Refusing,
}

/// A worker that has drained and ends as planned.
struct Leaving {
    id: String,
    notice: ControlRequest,
    began_ms: u64,
    next_vm: u32,
    /// VM that received the latest notice.
    called: u32,
    /// Connection of the latest notice, the time until which the worker waits, and whether the reply is
    /// delivered.
    waits: Option<(u64, u64, bool)>,
    /// Whether the worker has ended its runs and listens no more when it sends the first notice.
    closes_first: bool,
    /// Time of the end, and whether it was acknowledged.
    ended: Option<(u64, bool)>,
}

impl Leaving {
    fn new(sim: &Sim, id: &str) -> Self {
        Self {
            id: id.to_owned(),
            notice: sim.workers[id].deregistration(),
            began_ms: sim.now_ms,
            next_vm: 1,
            called: 1,
            waits: None,
            closes_first: false,
            ended: None,
        }
    }

    /// A worker whose process has ended all that ran there before it sends its notice.
    fn closing_first(sim: &mut Sim, id: &str) -> Self {
        let worker = sim.workers.get_mut(id).expect("worker");
        worker.alive = false;
        worker.running.clear();
        sim.ended_workers.insert(id.to_owned());
        Self {
            closes_first: true,
            ..Self::new(sim, id)
        }
    }

    /// Sends a notice to a VM.
    fn send(&mut self, sim: &mut Sim, vm: u32, delivery: Delivery) {
        let until_ms = sim.now_ms + REPLY_MS;
        self.called = vm;
        let vm = control(vm);
        let connection = match delivery {
            Delivery::NoticeLost => 0,
            Delivery::Late => {
                sim.control_request_after(2_000, vm, self.notice.clone());
                0
            }
            Delivery::Repeated => {
                sim.control_request(vm, self.notice.clone());
                sim.control_request(vm, self.notice.clone())
            }
            Delivery::Heard | Delivery::ReplyLost => sim.control_request(vm, self.notice.clone()),
        };
        self.waits = Some((connection, until_ms, delivery != Delivery::ReplyLost));
    }

    /// Handles a reply or its absence; `deliver` draws what becomes of the next notice. Returns whether
    /// the worker has ended.
    fn advance(&mut self, sim: &mut Sim, cut: Cut, deliver: impl Fn(&mut Sim) -> Delivery) -> bool {
        if self.ended.is_some() {
            return true;
        }
        let hears = cut == Cut::None;
        if let Some((connection, until_ms, heard)) = self.waits {
            let reply = sim.control_replies.get(&connection);
            match reply.filter(|_| heard && hears) {
                Some(ControlReply::Done) => self.end(sim, true),
                Some(ControlReply::Redirect(vm)) => {
                    let vm = vm.0;
                    let delivery = deliver(sim);
                    self.send(sim, vm, delivery);
                }
                Some(ControlReply::Repeat(number)) => {
                    let number = *number;
                    if let ControlRequest::Deregister(notice) = &mut self.notice {
                        notice.repeats = Some(number);
                    }
                    let vm = self.called;
                    let delivery = deliver(sim);
                    self.send(sim, vm, delivery);
                    if let ControlRequest::Deregister(notice) = &mut self.notice {
                        notice.repeats = None;
                    }
                }
                Some(_) => self.waits = None,
                None if sim.now_ms >= until_ms => self.waits = None,
                None => {}
            }
        }
        if self.ended.is_none() && sim.now_ms >= self.began_ms + GIVES_UP_MS {
            self.end(sim, false);
        }
        if self.ended.is_none() && self.waits.is_none() {
            let vm = self.next_vm;
            self.next_vm = vm % CONTROLS + 1;
            let delivery = if cut == Cut::Silent {
                Delivery::NoticeLost
            } else {
                deliver(sim)
            };
            self.send(sim, vm, delivery);
        }
        self.ended.is_some()
    }

    /// Ends the worker; its machine answers nothing any more.
    fn end(&mut self, sim: &mut Sim, acknowledged: bool) {
        let worker = sim.workers.get_mut(&self.id).expect("worker");
        worker.alive = false;
        worker.running.clear();
        sim.ended_workers.remove(&self.id);
        self.ended = Some((sim.now_ms, acknowledged));
    }
}

fn cell(seed: u64, workers: u32) -> Sim {
    let mut sim = Sim::new(70_000 + seed, CONTROLS, workers);
    sim.set_up(vec![queue("batch", 2, false)]);
    sim
}

fn drain(sim: &mut Sim, id: &str) {
    sim.workers.get_mut(id).expect("worker").record.draining = true;
    sim.run(3_000);
}

fn set_cut(sim: &mut Sim, id: &str, cut: Cut) {
    sim.cut_workers.remove(id);
    sim.refusing_workers.remove(id);
    match cut {
        Cut::None => {}
        Cut::Silent | Cut::OneWay => {
            sim.cut_workers.insert(id.to_owned());
        }
        Cut::Refusing => {
            sim.refusing_workers.insert(id.to_owned());
        }
    }
}

/// Lets a worker end without faults. Returns the time from its first notice to its end.
fn leave(sim: &mut Sim, id: &str) -> u64 {
    let mut leaving = Leaving::new(sim, id);
    while !leaving.advance(sim, Cut::None, |_| Delivery::Heard) {
        sim.run(5);
    }
    sim.now_ms - leaving.began_ms
}

/// Guards against a task that runs twice, because a refused connection counted as the end of a worker that
/// has deregistered and is cut off (review/12).
#[test]
fn refused_connection_does_not_end_the_runs_of_a_deregistered_worker() {
    let mut sim = cell(1, 2);
    sim.submit("batch", 1, job(vec![step(1, 20_000, 16_000)]));
    sim.run(500);
    let id = sim.hosts(1).remove(0);
    drain(&mut sim, &id);
    set_cut(&mut sim, &id, Cut::Refusing);
    let mut leaving = Leaving::new(&sim, &id);

    while !leaving.advance(&mut sim, Cut::Refusing, |_| Delivery::Heard) {
        sim.run(5);
    }
    sim.run_until(LEASE_END_MS, |sim| !sim.hosts(1).is_empty());

    assert_eq!(
        leaving.ended.map(|(_, acknowledged)| acknowledged),
        Some(false)
    );
}

/// Guards against a task that waits for the lease of a worker that has left, whose address answers nothing
/// (review/14).
#[test]
fn task_of_a_worker_that_has_left_starts_elsewhere_at_once() {
    let saves = StepSpec {
        checkpointing: true,
        ..step(1, 20_000, 16_000)
    };
    for (stop_ms, spec) in [
        (0, saves),
        (400, step(1, 20_000, 16_000)),
        (400, gang(2, 20_000, 16_000)),
        (400, service(1, 2_000)),
    ] {
        let mut sim = cell(2, 4);
        sim.submit("batch", 1, job(vec![spec.clone()]));
        sim.run(1_500);
        let id = sim.hosts(1).remove(0);
        sim.workers.get_mut(&id).expect("worker").stop_ms = stop_ms;
        drain(&mut sim, &id);

        let took_ms = leave(&mut sim, &id);

        assert!(took_ms < GIVES_UP_MS, "{spec:?}: {took_ms} ms");
        let tasks = spec.tasks as usize;
        sim.run_until(RESTART_MS, |sim| {
            sim.at_work(1).len() == tasks || spec.long_running
        });
        sim.run_until(2_000, |sim| sim.at_work(1).len() == tasks);
        let restarted = sim.checkpoints_carried;
        assert_eq!(restarted > 0, spec.checkpointing, "{spec:?}");
    }
}

/// Guards against a task that waits for a lease although its worker has ended what ran there, no longer
/// listens, and says so on a connection on which it hears the answer.
#[test]
fn task_of_a_worker_that_no_longer_listens_starts_elsewhere_at_once() {
    for workers in [4, 130] {
        let mut sim = cell(5, workers);
        sim.submit("batch", 1, job(vec![gang(2, 20_000, 16_000)]));
        sim.run(1_500);
        let id = sim.hosts(1).remove(0);
        drain(&mut sim, &id);
        let mut leaving = Leaving::closing_first(&mut sim, &id);

        while !leaving.advance(&mut sim, Cut::None, |_| Delivery::Heard) {
            sim.run(5);
        }

        let took_ms = sim.now_ms - leaving.began_ms;
        assert!(took_ms < LET_GO_MS, "{workers} workers: {took_ms} ms");
        sim.run_until(RESTART_MS, |sim| sim.at_work(1).len() == 2);
    }
}

/// Guards against a leader that calls a worker which leaves and no longer listens once for each run.
#[test]
fn worker_that_no_longer_listens_is_not_called_for_each_run() {
    let mut sim = cell(7, 2);
    sim.submit("batch", 1, job(vec![step(100, 400, 16_000)]));
    sim.run(1_500);
    let id = sim.hosts(1).remove(0);
    drain(&mut sim, &id);
    let runs = sim.workers[&id].running.len() as u64;
    let mut leaving = Leaving::closing_first(&mut sim, &id);
    let before = sim.commands_sent();

    while !leaving.advance(&mut sim, Cut::None, |_| Delivery::Heard) {
        sim.run(5);
    }

    let calls = sim.commands_sent() - before;
    assert!(runs >= 40 && calls < 20, "{calls} calls for {runs} runs");
}

/// Guards against a task that runs twice, because its worker hears the leader again right after a cut that
/// refused connections, is cut off again and goes on.
#[test]
fn refused_connection_does_not_count_once_the_cut_has_healed() {
    for cut_ms in (0..1_200).step_by(5) {
        let mut sim = cell(6, 2);
        sim.submit("batch", 1, job(vec![step(1, 20_000, 9_000)]));
        sim.run(500);
        let id = sim.hosts(1).remove(0);
        drain(&mut sim, &id);
        let mut leaving = Leaving::new(&sim, &id);
        let healed_ms = sim.now_ms + cut_ms;

        loop {
            let cut = if sim.now_ms < healed_ms {
                Cut::Refusing
            } else if sim.now_ms < healed_ms + 15 {
                Cut::None
            } else {
                Cut::OneWay
            };
            set_cut(&mut sim, &id, cut);
            if leaving.advance(&mut sim, cut, |_| Delivery::Heard) {
                break;
            }
            sim.run(5);
        }
        sim.run_until(LEASE_END_MS, |sim| !sim.hosts(1).is_empty());
    }
}

/// Guards against workers that end without an acknowledgement, and tasks that wait for their leases,
/// because many leave together.
#[test]
fn hundred_workers_that_leave_together_are_acknowledged() {
    let mut sim = cell(3, 140);
    for id in 0..40 {
        sim.submit("batch", id, job(vec![step(50, 1_000, 30_000)]));
        sim.run(20);
    }
    sim.run(2_000);
    let ids: Vec<String> = (0..100).map(|number| format!("worker-{number}")).collect();
    for id in &ids {
        let worker = sim.workers.get_mut(id).expect("worker");
        worker.record.draining = true;
        worker.stop_ms = 400;
    }
    sim.run(3_000);
    let mut leaving: Vec<Leaving> = ids.iter().map(|id| Leaving::new(&sim, id)).collect();

    while leaving.iter().any(|leaving| leaving.ended.is_none()) {
        for leaving in &mut leaving {
            leaving.advance(&mut sim, Cut::None, |_| Delivery::Heard);
        }
        sim.run(5);
    }

    let silent = leaving
        .iter()
        .filter(|l| l.ended.is_some_and(|(_, acknowledged)| !acknowledged));
    assert_eq!(silent.count(), 0);
    sim.run_until(2_000, |sim| {
        (0..40).map(|id| sim.at_work(id).len()).sum::<usize>() >= 1_280
    });
}

/// Guards against a worker that is acknowledged, and ends, while a start for it is under way or proposed.
#[test]
fn start_under_way_at_a_deregistration_is_settled_before_the_acknowledgement() {
    for offset_ms in (0..120).step_by(5) {
        let mut sim = cell(4, 2);
        let notices = ["worker-0", "worker-1"].map(|id| sim.workers[id].deregistration());
        sim.submit("batch", 1, job(vec![step(2, 20_000, 4_000)]));
        sim.run(offset_ms);
        let leader = sim.leader().expect("leader");
        // The drain was not heard, so that the worker still gets starts.
        let connection = sim.control_request(leader, notices[0].clone());
        let is_done = |sim: &Sim| sim.control_replies.get(&connection) == Some(&ControlReply::Done);
        while !is_done(&sim) {
            sim.run(5);
        }
        let left = sim.workers["worker-0"].running.len();
        assert_eq!(left, 0, "{offset_ms} ms");
        let worker = sim.workers.get_mut("worker-0").expect("worker");
        worker.alive = false;

        sim.run_until(12_000, |sim| sim.unfinished(1..2).is_empty());
    }
}

/// Submits a job that outlasts the end of a worker, a gang, and a job of two steps.
fn submit_jobs(sim: &mut Sim) {
    sim.submit("batch", 1, job(vec![step(6, 4_000, 40_000)]));
    sim.submit("batch", 2, job(vec![gang(4, 6_000, 9_000)]));
    let last = StepSpec {
        depends_on: vec![0],
        ..step(8, 2_000, 2_000)
    };
    sim.submit("batch", 3, job(vec![step(8, 2_000, 3_200), last]));
}

/// Lets a worker come back after its end, under its id or another one.
fn come_back(sim: &mut Sim, id: &str, after_ms: u64) {
    sim.run(after_ms);
    sim.crashes.comeback = [Comeback::SameId, Comeback::NewId][pick(sim, 2)];
    sim.bring_back(id);
}

/// Plays a planned end with drawn faults. Adds what was drawn to the counts.
fn play(seed: u64, drawn: &mut BTreeMap<String, u32>) {
    let mut sim = cell(100 + seed, 5);
    submit_jobs(&mut sim);
    sim.run(1_000 + offset_ms(seed));
    let id = sim.hosts(1).remove(0);
    sim.workers.get_mut(&id).expect("worker").stop_ms = [0, 60, 400][pick(&mut sim, 3)];
    sim.lost_replies_percent = [0, 0, 10][pick(&mut sim, 3)];
    let hears_drain = pick(&mut sim, 4) > 0;
    if hears_drain {
        drain(&mut sim, &id);
    }
    let cut = [Cut::None, Cut::Silent, Cut::OneWay, Cut::Refusing][pick(&mut sim, 4)];
    // The cut begins before, with or after the first notice, and may end before the worker does.
    let cut_from_ms = sim.now_ms + [0, 0, 20, 300, 700][pick(&mut sim, 5)];
    let cut_until_ms = cut_from_ms + [400, 1_500, 5_500][pick(&mut sim, 3)];
    let kill_ms = (pick(&mut sim, 3) == 0).then(|| sim.now_ms + 100 * pick(&mut sim, 15) as u64);
    let mut leaving = if pick(&mut sim, 3) == 0 {
        Leaving::closing_first(&mut sim, &id)
    } else {
        Leaving::new(&sim, &id)
    };
    let mut killed = None;
    for what in [
        format!("{cut:?}"),
        format!("drain heard: {hears_drain}"),
        format!("killed: {}", kill_ms.is_some()),
        format!("closes first: {}", leaving.closes_first),
    ] {
        *drawn.entry(what).or_default() += 1;
    }
    let deliver = |sim: &mut Sim| {
        let deliveries = [
            Delivery::Heard,
            Delivery::NoticeLost,
            Delivery::ReplyLost,
            Delivery::Late,
            Delivery::Repeated,
        ];
        deliveries[pick(sim, 5)]
    };
    loop {
        let now_ms = sim.now_ms;
        let present = if (cut_from_ms..cut_until_ms).contains(&now_ms) {
            cut
        } else {
            Cut::None
        };
        set_cut(&mut sim, &id, present);
        if kill_ms.is_some_and(|at_ms| now_ms >= at_ms) && killed.is_none() {
            killed = sim.leader();
            if let Some(leader) = killed {
                sim.kill(leader);
            }
        }
        if leaving.advance(&mut sim, present, deliver) {
            break;
        }
        sim.run(5);
    }
    set_cut(&mut sim, &id, Cut::None);
    sim.lost_replies_percent = 0;
    let (_, acknowledged) = leaving.ended.expect("ended");
    *drawn
        .entry(format!("acknowledged: {acknowledged}"))
        .or_default() += 1;
    let comes_back = pick(&mut sim, 2) == 0;
    *drawn
        .entry(format!("comes back: {comes_back}"))
        .or_default() += 1;
    if comes_back {
        come_back(&mut sim, &id, 500 + 100 * offset_ms(seed));
    }
    if let Some(vm) = killed {
        sim.run(1_500);
        sim.start(vm, false);
    }
    let ended_ms = leaving.ended.expect("ended").0 - leaving.began_ms;
    if acknowledged && ended_ms < LET_GO_MS && killed.is_none() {
        sim.run_until(RESTART_MS, |sim| sim.at_work(1).len() == 6);
    }
    sim.run_until(LEASE_END_MS + 1_000, |sim| {
        sim.at_work(1).len() == 6 || sim.unfinished(1..2).is_empty()
    });

    sim.run(60_000);
    assert_eq!(sim.unfinished(1..=3), Vec::<u64>::new(), "seed {seed}");
    if comes_back {
        let everywhere = StepSpec {
            max_per_worker: Some(1),
            ..step(5, 2_000, 500)
        };
        sim.submit("batch", 9, job(vec![everywhere]));
        sim.run_until(4_000, |sim| sim.unfinished(9..=9).is_empty());
    }
}

/// Returns a time below 100 ms that differs from seed to seed.
fn offset_ms(seed: u64) -> u64 {
    seed * 37 % 100
}

fn pick(sim: &mut Sim, count: u64) -> usize {
    usize::try_from(sim.random(count)).expect("small")
}

/// Guards against tasks that run twice, wait or are lost, and against workers that get no work any more,
/// whatever becomes of the messages at the end of a worker.
#[test]
fn lost_late_and_repeated_messages_at_the_end_of_a_worker() {
    play_seeds(0..60, DRAWN, play);
}
