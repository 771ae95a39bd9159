//! Workers whose capacity changes while they run tasks.

use acaciareel_cell::{
    CallerReply, CallerRequest, CellState, ControlReply, ControlRequest, Demand, JobId, JobState,
    RefusalReason, StepSpec, WorkerRecord,
};
use acaciareel_types::VmId;

use crate::sim::{Sim, control, entry, gang, job, queue, step};

/// Largest capacity of a worker.
const WHOLE: u32 = 32_000;
const HALF: u32 = WHOLE / 2;
/// Demand that fits only a worker with its whole capacity.
const LARGE: u32 = 24_000;
/// Time between two heartbeats of a worker.
const HEARTBEAT_MS: u64 = 1_500;
const WORKER: &str = "worker-0";

fn capacity(cpu_millicores: u32) -> Demand {
    Demand {
        cpu_millicores,
        memory_mib: 64_000,
        accelerators: 0,
    }
}

/// Starts a cell with an urgent queue and one, `advised`, whose policy service allows some workers.
fn cell(seed: u64, workers: u32) -> Sim {
    let mut sim = Sim::new(seed, 3, workers);
    sim.set_up(vec![queue("advised", 1, true), queue("urgent", 0, false)]);
    sim
}

fn set_capacity(sim: &mut Sim, id: &str, cpu_millicores: u32) {
    let now_ms = sim.now_ms;
    let worker = sim.workers.get_mut(id).expect("worker");
    worker.set_capacity(now_ms, capacity(cpu_millicores));
}

/// Announces a worker with a capacity to a VM.
fn announce(sim: &mut Sim, vm: VmId, id: &str, cpu_millicores: u32, sequence: u64) -> u64 {
    let worker = &sim.workers[id];
    let request = ControlRequest::Announce {
        worker: WorkerRecord {
            capacity: capacity(cpu_millicores),
            ..worker.record.clone()
        },
        clock_ms: Some(worker.clock_ms(sim.now_ms)),
        sequence,
    };
    sim.control_request(vm, request)
}

/// Changes the capacity of a worker and announces it to the leader at once.
fn announce_change(sim: &mut Sim, id: &str, cpu_millicores: u32) {
    let leader = sim.leader().expect("leader");
    set_capacity(sim, id, cpu_millicores);
    let sequence = sim.now_ms;
    announce(sim, leader, id, cpu_millicores, sequence);
}

/// Returns the leader's replicated state.
fn state(sim: &Sim) -> &CellState {
    let leader = sim.leader().and_then(|vm| sim.control_of(vm));
    leader.expect("leader").state()
}

/// Returns the number of accepted jobs that have not ended.
fn active_jobs(sim: &Sim) -> usize {
    let jobs = state(sim).jobs().values();
    jobs.filter(|job| job.state == JobState::Active).count()
}

/// Returns the processor capacity of a worker in the leader's replicated state.
fn committed(sim: &Sim, id: &str) -> u32 {
    let state = state(sim);
    let number = state.worker_by_id(id).expect("worker");
    let record = state.workers().get(&number).expect("record");
    record.capacity.cpu_millicores
}

fn failed_runs(sim: &Sim, id: u64) -> u32 {
    let job = state(sim).job(JobId(id)).expect("job");
    let steps = job.occurrences.iter().flatten();
    let failed = steps.map(|step| {
        let tasks = step.tasks.iter().map(|task| task.failed_runs);
        step.failed_runs + tasks.sum::<u32>()
    });
    failed.sum()
}

/// Waits for a new leader after the present one is killed.
fn change_leader(sim: &mut Sim) {
    let leader = sim.leader().expect("leader");
    sim.kill(leader);
    sim.run_until(5_000, |sim| sim.leader().is_some());
    sim.start(leader, false);
}

fn is_running(sim: &Sim, id: &str) -> bool {
    !sim.workers[id].running.is_empty()
}

/// Checks that no start was sent to a worker once its smaller capacity was committed. Runs for a
/// while from a moment at which the worker is idle.
fn assert_no_start_after_commit(sim: &mut Sim, id: &str, duration_ms: u64, case: &str) {
    let end_ms = sim.now_ms + duration_ms;
    let mut committed_ms = None;
    while sim.now_ms < end_ms {
        let idle = !is_running(sim, id);
        sim.run(5);
        // A start takes 5 ms to its worker.
        if let Some(committed_ms) = committed_ms
            && sim.now_ms > committed_ms + 5
        {
            assert!(
                !idle || !is_running(sim, id),
                "{case}: start at {} ms, capacity committed by {committed_ms} ms",
                sim.now_ms
            );
        }
        if sim.leader().is_some() && committed(sim, id) < LARGE {
            committed_ms.get_or_insert(sim.now_ms);
        }
    }
    assert!(committed_ms.is_some(), "{case}: capacity not committed");
}

/// Guards against starts by an old capacity while capacities change, under changes of the leader.
#[test]
fn starts_keep_to_capacities_that_change() {
    for seed in 0..8 {
        let mut sim = cell(seed, 6);
        let mut submitted = 0;
        for round in 0..40 {
            for _ in 0..8 {
                let (cores, run_ms) = (1 + sim.random(12), 200 + sim.random(3_000));
                let cores = u32::try_from(cores).expect("small");
                let tasks = 1 + u32::try_from(sim.random(3)).expect("small");
                let spec = match submitted % 4 {
                    0 => gang(tasks, cores * 1_000, run_ms),
                    _ => step(tasks, cores * 1_000, run_ms),
                };
                let name = ["urgent", "advised"][submitted % 2];
                sim.submit(name, submitted as u64, job(vec![spec]));
                submitted += 1;
                sim.run(100);
            }
            let changes = if round % 8 == 0 { 3 } else { 0 };
            for _ in 0..changes {
                let id = format!("worker-{}", sim.random(6));
                let cores = [2, 8, 16, 32][usize::try_from(sim.random(4)).expect("small")];
                set_capacity(&mut sim, &id, cores * 1_000);
            }
            if round % 8 == 2 {
                change_leader(&mut sim);
            }
        }
        for number in 0..6 {
            set_capacity(&mut sim, &format!("worker-{number}"), WHOLE);
        }
        sim.run(40_000);

        assert_eq!(active_jobs(&sim), 0, "seed {seed}");
        assert!(sim.starts > 50, "seed {seed}: {} starts", sim.starts);
    }
}

/// Guards against an announcement that is acknowledged and not committed because another one of the
/// worker was being committed when it arrived.
#[test]
fn announcement_during_the_commit_of_another_is_committed() {
    for (first, second) in [(LARGE, HALF), (HALF, WHOLE)] {
        let mut sim = cell(1, 2);
        let leader = sim.leader().expect("leader");
        sim.unheard_workers.insert(WORKER.to_owned());
        let now_ms = sim.now_ms;

        announce(&mut sim, leader, WORKER, first, now_ms);
        let request = announce(&mut sim, leader, WORKER, second, now_ms + 1);
        sim.run_until(1_000, |sim| sim.control_replies.contains_key(&request));

        assert_eq!(sim.control_replies[&request], ControlReply::Done);
        assert_eq!(committed(&sim, WORKER), second, "{first}");
    }
}

/// Guards against an announcement that is never answered because two earlier ones of the worker, of
/// which the second repeats the first, were committed together with it.
#[test]
fn announcements_that_are_committed_together_are_all_answered() {
    let mut sim = cell(1, 2);
    let leader = sim.leader().expect("leader");
    sim.unheard_workers.insert(WORKER.to_owned());
    let now_ms = sim.now_ms;

    let said = [LARGE, HALF, HALF, WHOLE, LARGE, LARGE, LARGE, HALF];
    let requests = (now_ms..).zip(said).map(|(sequence, cpu_millicores)| {
        announce(&mut sim, leader, WORKER, cpu_millicores, sequence)
    });
    let requests: Vec<u64> = requests.collect();
    sim.run(1_000);

    let answered = |request: &&u64| sim.control_replies.contains_key(*request);
    assert_eq!(requests.iter().filter(answered).count(), said.len());
    assert_eq!(committed(&sim, WORKER), HALF);
}

/// Guards against announcements that other control VMs forward and that are acknowledged before
/// their capacity is committed.
#[test]
fn forwarded_announcement_during_the_commit_of_another_is_committed() {
    let mut sim = cell(1, 128);
    let leader = sim.leader().expect("leader");
    let follower = control(leader.0 % 3 + 1);
    sim.unheard_workers.insert(WORKER.to_owned());
    let now_ms = sim.now_ms;

    announce(&mut sim, follower, WORKER, LARGE, now_ms);
    let request = announce(&mut sim, follower, WORKER, HALF, now_ms + 1);
    sim.run_until(1_000, |sim| sim.control_replies.contains_key(&request));

    assert_eq!(sim.control_replies[&request], ControlReply::Done);
    assert_eq!(committed(&sim, WORKER), HALF);
}

/// Guards against a worker whose announcements, also of a drain, stay unanswered after it repeated
/// one that was being committed.
#[test]
fn announcement_repeated_during_its_commit_is_acknowledged() {
    let mut sim = cell(1, 4);
    let leader = sim.leader().expect("leader");
    sim.unheard_workers.insert(WORKER.to_owned());
    set_capacity(&mut sim, WORKER, HALF);
    let sequence = sim.now_ms;

    let mut calls = Vec::new();
    for repeat in 0..3 {
        calls.push(announce(&mut sim, leader, WORKER, HALF, sequence + repeat));
    }
    sim.run(500);
    let worker = sim.workers.get_mut(WORKER).expect("worker");
    worker.record.draining = true;
    calls.push(announce(&mut sim, leader, WORKER, HALF, sequence + 3));
    sim.run(500);

    let replies: Vec<_> = calls.iter().map(|c| sim.control_replies.get(c)).collect();
    assert_eq!(replies, [Some(&ControlReply::Done); 4]);
}

/// Guards against a capacity that a late announcement of before the shrinking restores.
#[test]
fn late_announcement_does_not_restore_a_capacity() {
    for leader_changes in [false, true] {
        let mut sim = cell(2, 2);
        sim.unheard_workers.insert(WORKER.to_owned());
        let earlier = sim.now_ms;
        sim.run(100);
        announce_change(&mut sim, WORKER, HALF);
        sim.run(500);
        if leader_changes {
            change_leader(&mut sim);
        }
        let leader = sim.leader().expect("leader");

        let late = announce(&mut sim, leader, WORKER, WHOLE, earlier);
        sim.run(500);

        assert_eq!(sim.control_replies.get(&late), Some(&ControlReply::Done));
        assert_eq!(committed(&sim, WORKER), HALF, "{leader_changes}");
    }
}

/// Guards against a new worker whose latest capacity is replaced by an earlier one that arrives while
/// the latest one is being committed.
#[test]
fn late_announcement_of_a_new_worker_does_not_replace_the_latest() {
    let mut sim = cell(2, 2);
    let leader = sim.leader().expect("leader");
    let id = "worker-2";
    sim.add_worker(id, 2);
    sim.unheard_workers.insert(id.to_owned());

    let latest = announce(&mut sim, leader, id, HALF, 2);
    let late = announce(&mut sim, leader, id, WHOLE, 1);
    sim.run(500);

    assert_eq!(sim.control_replies.get(&latest), Some(&ControlReply::Done));
    assert_eq!(sim.control_replies.get(&late), Some(&ControlReply::Done));
    assert_eq!(committed(&sim, id), HALF);
}

/// Guards against a worker that keeps the sequence numbers of its earlier incarnation, so that
/// the announcements of the new one, which counts from the start, are dropped.
#[test]
fn new_incarnation_announces_its_capacity() {
    let mut sim = cell(2, 2);
    announce_change(&mut sim, WORKER, HALF);
    sim.run(500);
    let now_ms = sim.now_ms;
    sim.unheard_workers.insert(WORKER.to_owned());
    sim.workers.get_mut(WORKER).expect("worker").restart(now_ms);
    let leader = sim.leader().expect("leader");

    announce(&mut sim, leader, WORKER, WHOLE, 1);
    sim.run(500);
    announce(&mut sim, leader, WORKER, LARGE, 2);
    sim.run(500);

    assert_eq!(committed(&sim, WORKER), LARGE);
}

/// Guards against a start that is sent because its placement was proposed before the smaller
/// capacity of its worker was committed.
#[test]
fn placement_by_the_old_capacity_is_not_started() {
    for offset_ms in (0..80).step_by(5) {
        let mut sim = cell(3, 1);
        sim.submit("urgent", 1, job(vec![step(1, LARGE, 400)]));
        sim.run(offset_ms);
        announce_change(&mut sim, WORKER, HALF);

        assert_no_start_after_commit(&mut sim, WORKER, 1_000, &format!("{offset_ms} ms"));
        set_capacity(&mut sim, WORKER, WHOLE);
        sim.run(HEARTBEAT_MS + 1_000);

        assert_eq!(sim.unfinished(1..2), Vec::<u64>::new(), "{offset_ms} ms");
        assert_eq!(failed_runs(&sim, 1), 0, "{offset_ms} ms");
    }
}

/// Guards against a gang of which some members start on workers that have shrunk, or that stays in
/// part because one of its starts was not sent.
#[test]
fn gang_placed_by_the_old_capacity_starts_again_together() {
    for offset_ms in (0..80).step_by(5) {
        let mut sim = cell(4, 2);
        sim.submit("urgent", 1, job(vec![gang(2, LARGE, 2_000)]));
        sim.run(offset_ms);
        announce_change(&mut sim, WORKER, HALF);

        assert_no_start_after_commit(&mut sim, WORKER, 1_000, &format!("{offset_ms} ms"));
        set_capacity(&mut sim, WORKER, WHOLE);
        sim.run(HEARTBEAT_MS + 4_000);

        assert_eq!(sim.unfinished(1..2), Vec::<u64>::new(), "{offset_ms} ms");
        assert_eq!(failed_runs(&sim, 1), 0, "{offset_ms} ms");
    }
}

/// Guards against a start by an old capacity after the policy service has responded about a gang.
#[test]
fn pending_advice_for_a_gang_follows_the_capacity() {
    for offset_ms in (0..500).step_by(50) {
        let mut sim = cell(5, 8);
        sim.advice_ms = 300;
        sim.submit("advised", 1, job(vec![gang(2, LARGE, 2_000)]));
        sim.run(offset_ms);
        for number in 0..8 {
            announce_change(&mut sim, &format!("worker-{number}"), HALF);
        }

        sim.run(50);
        let starts = sim.starts;
        assert_eq!(committed(&sim, WORKER), HALF);
        sim.run(3_000);
        assert_eq!(sim.starts, starts, "{offset_ms} ms");
        for number in 0..8 {
            set_capacity(&mut sim, &format!("worker-{number}"), WHOLE);
        }
        sim.run(HEARTBEAT_MS + 5_000);

        assert_eq!(sim.unfinished(1..2), Vec::<u64>::new(), "{offset_ms} ms");
        assert_eq!(failed_runs(&sim, 1), 0, "{offset_ms} ms");
    }
}

/// Guards against a start that is repeated although its worker has shrunk since the first try.
#[test]
fn start_is_not_repeated_by_the_old_capacity() {
    for shrunk_after_ms in (20..600).step_by(20) {
        let mut sim = cell(6, 1);
        sim.cut_workers.insert(WORKER.to_owned());
        let sent = sim.commands_sent();
        sim.submit("urgent", 1, job(vec![step(1, LARGE, 400)]));
        sim.run_until(500, |sim| sim.commands_sent() > sent);
        sim.run(shrunk_after_ms);
        announce_change(&mut sim, WORKER, HALF);
        sim.run(30);
        assert_eq!(committed(&sim, WORKER), HALF);
        sim.cut_workers.remove(WORKER);

        for _ in 0..400 {
            sim.run(5);
            assert!(!is_running(&sim, WORKER), "{shrunk_after_ms} ms");
        }
        set_capacity(&mut sim, WORKER, WHOLE);
        sim.run(HEARTBEAT_MS + 3_000);

        assert_eq!(sim.unfinished(1..2), Vec::<u64>::new());
        assert_eq!(failed_runs(&sim, 1), 0);
    }
}

/// Guards against a leader that sends the starts committed before it was cut off when it is back,
/// by capacities that it has not heard of since.
#[test]
fn starts_wait_for_news_of_their_worker_after_a_silence() {
    for offset_ms in (0..80).step_by(5) {
        let mut sim = cell(7, 1);
        let leader = sim.leader().expect("leader");
        sim.submit("urgent", 1, job(vec![step(1, LARGE, 400)]));
        sim.run(offset_ms);
        set_capacity(&mut sim, WORKER, HALF);
        let followers: Vec<VmId> = (1..=3).map(control).filter(|vm| *vm != leader).collect();
        sim.silent_vms.extend(followers);
        sim.unheard_workers.insert(WORKER.to_owned());
        sim.run(6_000);

        // The next heartbeat comes a second later. Each start is checked against the capacity of
        // its worker.
        sim.silent_vms.clear();
        sim.run(1_000);
        sim.unheard_workers.clear();
        sim.run(5_000);
        set_capacity(&mut sim, WORKER, WHOLE);
        sim.run(HEARTBEAT_MS + 1_000);
        assert_eq!(active_jobs(&sim), 0, "{offset_ms} ms");
    }
}

/// Guards against starts on a worker that answers calls while its announcements, and a smaller
/// capacity with them, are lost.
#[test]
fn worker_without_announcements_gets_no_starts() {
    let mut sim = cell(8, 1);
    sim.unheard_workers.insert(WORKER.to_owned());
    set_capacity(&mut sim, WORKER, HALF);

    // Each start is checked against the capacity of its worker.
    for id in 0..40 {
        sim.submit("urgent", id, job(vec![step(1, LARGE, 200)]));
        sim.run(250);
    }
    sim.unheard_workers.clear();
    set_capacity(&mut sim, WORKER, WHOLE);
    sim.run(20_000);

    assert!(!state(&sim).jobs().is_empty());
    assert_eq!(active_jobs(&sim), 0);
}

/// Guards against starts by the capacities in the replicated state after an outage, in which
/// nobody has heard of the workers.
#[test]
fn starts_wait_for_announcements_after_an_outage() {
    for outage_ms in [4_000, 6_000, 12_000] {
        let mut sim = cell(12, 1);
        sim.unheard_workers.insert(WORKER.to_owned());
        set_capacity(&mut sim, WORKER, HALF);
        for number in 1..=3 {
            sim.kill(control(number));
        }
        sim.run(outage_ms);
        for number in 1..=3 {
            sim.start(control(number), false);
        }
        sim.run_until(5_000, |sim| sim.leader().is_some());

        // Each start is checked against the capacity of its worker.
        for id in 0..10 {
            sim.submit("urgent", id, job(vec![step(1, LARGE, 200)]));
            sim.run(100);
        }
        sim.unheard_workers.clear();
        sim.run(5_000);
        set_capacity(&mut sim, WORKER, WHOLE);
        sim.run(10_000);

        assert!(!state(&sim).jobs().is_empty());
        assert_eq!(active_jobs(&sim), 0);
    }
}

/// Guards against tasks that need none of the resource of which a worker has too little, and start
/// on it while it is over its capacity.
#[test]
fn worker_over_its_capacity_gets_no_starts() {
    let mut sim = cell(13, 1);
    sim.submit("urgent", 1, job(vec![step(1, LARGE, 9_000)]));
    sim.run(500);
    assert!(is_running(&sim, WORKER));
    announce_change(&mut sim, WORKER, HALF);
    sim.run(5_000);

    // Each start is checked against the capacity of its worker.
    let spare = StepSpec {
        uses_spare_cpu: true,
        ..step(1, 2_000, 200)
    };
    sim.submit("urgent", 2, job(vec![spare]));
    sim.run(5_000);

    assert_eq!(sim.unfinished(1..3), Vec::<u64>::new());
}

/// Guards against starts by the capacity of an earlier incarnation on a worker whose new one has
/// reported its runs and not yet announced itself.
#[test]
fn new_incarnation_gets_no_starts_before_it_announces_itself() {
    let mut sim = cell(14, 1);
    sim.submit("urgent", 1, job(vec![step(1, LARGE, 4_000)]));
    sim.run(500);
    assert!(is_running(&sim, WORKER));
    sim.unheard_workers.insert(WORKER.to_owned());
    sim.cut_workers.insert(WORKER.to_owned());
    let now_ms = sim.now_ms;
    let worker = sim.workers.get_mut(WORKER).expect("worker");
    worker.restart(now_ms);
    worker.record.capacity = capacity(HALF);
    sim.run(5_000);

    // Each start is checked against the capacity of its worker.
    sim.cut_workers.clear();
    sim.run(2_000);
    sim.unheard_workers.clear();
    sim.run(2_000);
    set_capacity(&mut sim, WORKER, WHOLE);
    sim.run(HEARTBEAT_MS + 5_000);

    assert_eq!(sim.unfinished(1..2), Vec::<u64>::new());
}

/// Guards against runs that are not counted while they are stopped, on a worker that has shrunk.
#[test]
fn runs_that_are_stopped_count_against_a_smaller_capacity() {
    let mut sim = cell(9, 1);
    sim.submit("urgent", 1, job(vec![step(2, 12_000, 20_000)]));
    sim.run(500);
    announce_change(&mut sim, WORKER, HALF);
    sim.run(5_000);
    sim.submit("urgent", 2, job(vec![step(1, 12_000, 200)]));
    sim.run(500);
    assert_eq!(sim.workers[WORKER].running.len(), 2);

    let path = format!("/urgent/{}", JobId(1));
    sim.call(entry(1), path, CallerRequest::Cancel);
    // The stops arrive some seconds late. Each start is checked against the capacity.
    sim.lost_replies_percent = 100;
    sim.run(100);
    sim.lost_replies_percent = 0;
    sim.run(10_000);

    assert_eq!(sim.unfinished(2..3), Vec::<u64>::new());
}

/// Guards against a larger capacity that is not used soon.
#[test]
fn larger_capacity_is_used_after_one_heartbeat() {
    for leader_changes in [false, true] {
        let mut sim = cell(10, 2);
        set_capacity(&mut sim, WORKER, 1_000);
        sim.run(HEARTBEAT_MS + 100);
        sim.submit("urgent", 1, job(vec![step(1, 30_000, 20_000)]));
        sim.run(500);
        sim.submit("urgent", 2, job(vec![step(1, LARGE, 10_000)]));
        sim.run(500);
        if leader_changes {
            change_leader(&mut sim);
        }
        assert!(!is_running(&sim, WORKER), "{leader_changes}");

        set_capacity(&mut sim, WORKER, WHOLE);
        sim.run(HEARTBEAT_MS + 200);

        assert!(is_running(&sim, WORKER), "{leader_changes}");
    }
}

/// Guards against admission and retry times by old capacities.
#[test]
fn admission_follows_the_capacity() {
    for leader_changes in [false, true] {
        let mut sim = cell(11, 2);
        for number in 0..2 {
            announce_change(&mut sim, &format!("worker-{number}"), HALF);
        }
        sim.run(100);
        if leader_changes {
            change_leader(&mut sim);
            sim.run(2_000);
        }

        let too_large = sim.submit("urgent", 1, job(vec![step(1, LARGE, 400)]));
        let fits = sim.submit("urgent", 2, job(vec![step(20, 12_000, 3_000)]));
        sim.run(500);
        for number in 0..2 {
            announce_change(&mut sim, &format!("worker-{number}"), 12_000);
        }
        sim.run(100);
        let behind = sim.submit("urgent", 3, job(vec![step(1, 1_000, 400)]));
        sim.run(300);

        let refused = |id: u64| match sim.replies.get(&id) {
            Some(CallerReply::Refused {
                reason,
                retry_after_ms,
            }) => Some((*reason, *retry_after_ms)),
            _ => None,
        };
        let reason = refused(too_large).map(|(reason, _)| reason);
        assert_eq!(reason, Some(RefusalReason::NoWorkerFits));
        assert_eq!(sim.replies.get(&fits), Some(&CallerReply::Accepted));
        let (reason, retry_after_ms) = refused(behind).expect("refusal");
        assert_eq!(reason, RefusalReason::Backlog);
        assert!(retry_after_ms > 1_000, "{retry_after_ms}");
    }
}
