//! Single faults at exact points in the processing of a request.

use acaciareel_node::{Event, GroupId, OperatorReply, Reply};
use acaciareel_types::{Reason, Verdict, WorkerId};

use crate::{
    sim::{Sim, StartFault, domain},
    worker::Run,
};

fn not_run(verdict: &Verdict, reason: Reason) -> bool {
    matches!(verdict, Verdict::NotRun { reason: given, .. } if *given == reason)
}

/// Guards against a request that runs twice, or never, when the ledger leader is killed or paused
/// between the committed start and the call, or between the call and the answer.
#[test]
fn a_request_survives_a_leader_failure_around_its_start() {
    for (seed, start_fault) in [
        StartFault::KillBefore,
        StartFault::PauseBefore,
        StartFault::KillAfter,
        StartFault::PauseAfter,
    ]
    .into_iter()
    .enumerate()
    {
        for kind in ["verify", "credit"] {
            let mut sim = Sim::ready(seed as u64 + 1, 2, 2);
            sim.start_fault = Some(("khomas-b/7".into(), start_fault));

            let connection = sim.submit(6, kind, "khomas-b/7-once", 1, 800);
            let verdict = sim.verdict_of(connection, 15_000);

            assert!(
                sim.ran(connection),
                "{start_fault:?} {kind}: {verdict:?}\n{}",
                sim.tail()
            );
            assert_eq!(sim.runs_of("khomas-b/7-once"), 1, "{start_fault:?} {kind}");
        }
    }
}

/// Guards against a second run, or a lost answer, when the entry VM of a caller is cut off and the
/// caller resends through another VM.
#[test]
fn a_resend_through_another_vm_finds_the_record() {
    let mut sim = Sim::ready(11, 2, 2);
    let first = sim.submit(6, "credit", "khomas-a/1-once", 1, 1_500);
    sim.run_for(300);
    sim.partition(&[6], &[1, 2, 3, 4, 5], true);

    let second = sim.submit(4, "credit", "khomas-a/1-once", 2, 1_500);
    let verdict = sim.verdict_of(second, 5_000);
    sim.heal();
    let late = sim.verdict_of(first, 20_000);

    assert!(sim.ran(second), "{verdict:?}");
    assert!(sim.ran(first), "{late:?}");
    assert_eq!(sim.runs_of("khomas-a/1-once"), 1);
}

/// Guards against an answer that is sent only once and lost because the link to the entry VM is
/// cut.
#[test]
fn a_lost_answer_is_sent_again() {
    let mut sim = Sim::ready(12, 2, 2);
    let ids: Vec<_> = ["lookup", "verify", "credit"]
        .iter()
        .map(|kind| sim.submit(6, kind, &format!("khomas-a/{kind}-once"), 1, 300))
        .collect();
    sim.run_for(100);
    sim.partition(&[1, 2, 3, 4, 5], &[6], false);
    sim.run_for(700);
    sim.heal();

    for connection in ids {
        let verdict = sim.verdict_of(connection, 10_000);
        assert!(sim.ran(connection), "{verdict:?}");
    }
}

/// Guards against the loss of a record when the voters of its ledger lose their disks one after
/// another, the next one shortly after the previous one has recovered.
#[test]
fn records_survive_lost_disks() {
    let mut sim = Sim::ready(13, 2, 2);
    let first = sim.submit(5, "credit", "khomas-a/2-once", 1, 50);
    sim.verdict_of(first, 3_000);

    for vm in [1, 2, 3] {
        sim.lose_disk(vm);
        sim.run_for(300);
        sim.start(vm);
        sim.run_for(8_000);
    }
    let again = sim.submit(5, "credit", "khomas-a/2-once", 2, 50);
    let verdict = sim.verdict_of(again, 5_000);

    assert!(sim.ran(again), "{verdict:?}\n{}", sim.tail());
    assert_eq!(sim.runs_of("khomas-a/2-once"), 1);
}

/// Guards against `NotRun` for a request that ran: its placer restarts so quickly that no other VM
/// suspects it, and the new process has no record of the request (found with random faults, seed
/// 290).
#[test]
fn a_quick_restart_of_the_placer_leaves_the_outcome_unknown() {
    for (seed, kind) in [(18, "lookup"), (19, "credit")] {
        let mut sim = Sim::ready_with(seed, 2, [3, 0, 0]);
        let leader = sim.placer(0).expect("placer");
        let connection = sim.submit_within(6, kind, "khomas-a/quick-once", 1, 9_000, 5_000);
        sim.run_for(200);
        assert_eq!(sim.runs_of("khomas-a/quick-once"), 1);
        sim.kill(leader);
        for worker in sim.workers.values_mut() {
            worker.isolated = true;
        }
        sim.start(leader);

        let verdict = sim.verdict_of(connection, 6_000);

        assert!(
            matches!(verdict, Verdict::MayHaveRun { .. }),
            "{kind}: {verdict:?}"
        );
    }
}

/// Guards against records that a snapshot loses: two voters that have received a snapshot in place
/// of the log must answer without the third one.
#[test]
fn records_survive_compaction() {
    let mut sim = Sim::ready(17, 2, 2);
    for n in 0..450 {
        sim.submit(1, "credit", &format!("khomas-a/{n}-once"), 1, 20);
        sim.run_for(20);
    }
    sim.run_for(1_000);
    let ledger = GroupId::Ledger(domain(0));
    assert!(sim.vms[&1].disk[&ledger].snapshot.is_some());
    for vm in [2, 1] {
        sim.lose_disk(vm);
        sim.run_for(200);
        sim.start(vm);
        sim.run_for(8_000);
    }
    sim.kill(3);
    sim.run_for(3_000);

    for n in [0, 200, 449] {
        let key = format!("khomas-a/{n}-once");
        let again = sim.submit(6, "credit", &key, 2, 20);
        let verdict = sim.verdict_of(again, 3_000);
        assert!(sim.ran(again), "{key} {verdict:?}\n{}", sim.tail());
        assert_eq!(sim.runs_of(&key), 1);
    }
}

/// Guards against a wrong refusal, and against a refusal that blocks its key: each refused key is
/// sent again after its cause has ended, and must then run once.
#[test]
fn a_refused_key_may_be_sent_again() {
    let mut sim = Sim::ready(14, 2, 1);
    let blockers: Vec<_> = (0..60)
        .map(|n| sim.submit(1, "verify", &format!("khomas-a/block-{n}"), 1, 3_000))
        .collect();
    sim.run_for(1_000);

    let late = sim.submit_within(3, "verify", "khomas-a/3-once", 1, 50, 400);
    let verdict = sim.verdict_of(late, 2_000);
    assert!(matches!(verdict, Verdict::NotRun { .. }), "{verdict:?}");
    let reused = sim.submit(3, "credit", "khomas-a/block-1", 1, 99);
    let verdict = sim.verdict_of(reused, 2_000);
    assert!(not_run(&verdict, Reason::KeyReused), "{verdict:?}");
    let unknown = sim.submit(3, "nothing", "khomas-a/4-once", 1, 50);
    let verdict = sim.verdict_of(unknown, 2_000);
    assert!(not_run(&verdict, Reason::UnknownKind), "{verdict:?}");
    let cancelled = sim.submit(3, "credit", "khomas-a/5-once", 1, 50);
    sim.run_for(50);
    sim.inquire(4, "khomas-a/5-once", true);
    let verdict = sim.verdict_of(cancelled, 2_000);
    assert!(not_run(&verdict, Reason::Cancelled), "{verdict:?}");
    sim.partition(&[1, 2], &[3, 4, 5, 6], true);
    sim.run_for(4_000);
    let unreachable = sim.submit(5, "credit", "khomas-a/6-once", 1, 50);
    let verdict = sim.verdict_of(unreachable, 500);
    assert!(not_run(&verdict, Reason::HomeUnreachable), "{verdict:?}");
    let resent = sim.submit(5, "credit", "khomas-a/7-once", 2, 50);
    let verdict = sim.verdict_of(resent, 500);
    assert!(matches!(verdict, Verdict::MayHaveRun { .. }), "{verdict:?}");
    sim.heal();
    sim.run_for(5_000);

    for blocker in blockers {
        sim.verdict_of(blocker, 20_000);
    }
    for (kind, key) in [("verify", 3), ("credit", 5), ("credit", 6), ("credit", 7)] {
        let key = format!("khomas-a/{key}-once");
        let again = sim.submit(6, kind, &key, 3, 50);
        let verdict = sim.verdict_of(again, 5_000);
        assert!(sim.ran(again), "{key}: {verdict:?}\n{}", sim.tail());
        assert_eq!(sim.runs_of(&key), 1, "{key}");
    }
}

/// Guards against a wrong verdict for any of the three effects when the worker that runs a request
/// restarts or stops for good.
#[test]
fn each_effect_gets_the_right_verdict_after_the_loss_of_its_worker() {
    for stays_down in [false, true] {
        let mut sim = Sim::ready(15, 2, 2);
        let once = sim.submit(1, "credit", "khomas-a/8-once", 1, 4_000);
        let exclusive = sim.submit(1, "verify", "khomas-a/9", 1, 4_000);
        let idempotent = sim.submit(1, "lookup", "10", 1, 4_000);
        sim.run_for(500);

        let now_ms = sim.now_ms;
        for worker in sim.workers.values_mut() {
            if worker.running() > 0 {
                worker.restart(now_ms, &mut sim.runs);
                worker.up = !stays_down;
            }
        }

        let verdict = sim.verdict_of(once, 19_000);
        let lost =
            matches!(&verdict, Verdict::MayHaveRun { reason } if *reason == Reason::WorkerLost);
        assert!(lost, "{verdict:?}");
        let verdict = sim.verdict_of(idempotent, 10_000);
        assert!(sim.ran(idempotent), "{verdict:?}\n{}", sim.tail());
        let again = sim.submit(2, "verify", "khomas-a/9", 2, 4_000);
        let verdict = sim.verdict_of(again, 20_000);
        assert!(sim.ran(again), "{verdict:?}\n{}", sim.tail());
        let _ = exclusive;
    }
}

const DRAINED: Reply = Reply::Operator(OperatorReply::Drained(true));

/// Guards against new tasks on a drained worker after a leader change, and against a drain that
/// stays in force after the worker has restarted.
#[test]
fn a_drained_worker_gets_no_new_tasks_until_it_restarts() {
    let mut sim = Sim::ready(23, 2, 2);
    let name: WorkerId = "w1-0".parse().expect("worker");
    let leader = sim.placer(1).expect("placer");
    let drained = ["w1-0", "nobody"].map(|name| {
        let worker = name.parse().expect("worker");
        sim.connect(6, |connection| Event::Drain { connection, worker })
    });
    let drained_ms = sim.now_ms;
    sim.run_for(1_200);
    let known = drained.map(|connection| sim.replies[&connection].1 == DRAINED);
    assert_eq!(known, [true, false]);
    sim.kill(leader);
    let load = |sim: &mut Sim, from: u32| {
        for n in from..from + 200 {
            sim.submit(5, "verify", &format!("khomas-b/drain-{n}"), 1, 100);
            sim.run_for(20);
        }
    };

    load(&mut sim, 0);
    let on_drained_worker = |run: &&Run| run.worker == "w1-0" && run.start_ms > drained_ms + 2_000;
    assert_eq!(sim.runs.iter().filter(on_drained_worker).count(), 0);
    let now_ms = sim.now_ms;
    let worker = sim.workers.get_mut(&name).expect("worker");
    worker.restart(now_ms, &mut sim.runs);
    sim.run_for(7_000);
    load(&mut sim, 200);

    assert!(sim.runs.iter().filter(on_drained_worker).count() > 0);
}

/// Guards against new tasks on a leaving worker when the leader changes right after the
/// announcement.
#[test]
fn a_leaving_worker_gets_no_new_tasks_during_a_leader_change() {
    for seed in 16..20 {
        let mut sim = Sim::ready(seed, 2, 2);
        let leader = sim.placer(1).expect("placer");
        let name = "w1-0".parse().expect("worker");
        let worker = sim.workers.get_mut(&name).expect("worker");
        worker.report.leaving = true;
        worker.next_announce_ms = 0;
        sim.run_for(20);
        sim.kill(leader);

        for n in 0..200 {
            let vm = if n % 2 == 0 { 5 } else { 6 };
            sim.submit(vm, "verify", &format!("khomas-b/{seed}-{n}"), 1, 100);
            sim.run_for(40);
        }

        assert!(sim.workers[&name].leaving_confirmed_ms.is_some());
    }
}

/// Guards against cancelled requests that run, keep capacity reserved or never get a verdict.
#[test]
fn a_burst_of_cancellations_leaves_no_tasks_behind() {
    let mut sim = Sim::ready(21, 2, 1);
    let connections: Vec<_> = (0..400)
        .map(|n| {
            let kind = ["verify", "credit"][n % 2];
            let vm = 1 + u32::try_from(n % 6).expect("small");
            sim.submit(vm, kind, &format!("khomas-c/{n}-once"), 1, 2_000)
        })
        .collect();
    sim.run_for(300);
    for n in 0..400 {
        sim.inquire(1 + n % 6, &format!("khomas-c/{n}-once"), true);
    }
    sim.run_for(4_000);

    let open = connections.iter().filter(|c| sim.verdict(**c).is_none());
    assert_eq!(open.count(), 0, "{}", sim.tail());
    let running: usize = sim
        .workers
        .values()
        .map(crate::worker::FakeWorker::running)
        .sum();
    assert_eq!(running, 0);
    let after = sim.submit(2, "credit", "khomas-c/after-once", 1, 50);
    let verdict = sim.verdict_of(after, 2_000);
    assert!(sim.ran(after), "{verdict:?}");
}

/// Guards against a second run of a cancelled request whose leader is killed around the stop call:
/// a stopped task leaves no record on the worker (found with random faults, seeds 1024 and 1117).
#[test]
fn a_cancelled_once_request_does_not_run_again_after_a_leader_change() {
    for wait_ms in [2, 6, 12, 20, 40] {
        let mut sim = Sim::ready(24, 2, 2);
        let leader = sim.placer(1).expect("placer");
        sim.submit(6, "credit", "khomas-b/stop-once", 1, 5_000);
        sim.run_for(300);
        sim.inquire(6, "khomas-b/stop-once", true);
        sim.run_for(wait_ms);
        sim.kill(leader);

        let again = sim.submit(5, "credit", "khomas-b/stop-once", 2, 5_000);
        let verdict = sim.verdict_of(again, 21_000);

        assert!(
            !matches!(verdict, Verdict::NotRun { .. }),
            "{wait_ms}: {verdict:?}"
        );
        assert_eq!(sim.runs_of("khomas-b/stop-once"), 1, "{wait_ms}");
    }
}

/// Guards against callers without a verdict because their VM receives messages but its own are
/// lost. After the others have reported this to it, it refuses requests at once; earlier requests
/// have an unknown outcome.
#[test]
fn requests_on_a_vm_with_a_one_way_cut_get_a_verdict() {
    let mut sim = Sim::ready(22, 2, 2);
    sim.partition(&[6], &[1, 2, 3, 4, 5], false);
    sim.run_for(200);
    let kinds = ["lookup", "verify", "credit"];
    let early = kinds.map(|kind| sim.submit_within(6, kind, "khomas-a/1-once", 1, 50, 6_000));
    sim.run_for(4_000);
    let late = kinds.map(|kind| sim.submit_within(6, kind, "khomas-a/2-once", 1, 50, 60_000));
    sim.run_for(2_500);

    for connection in early {
        let verdict = sim.verdict(connection);
        assert!(verdict.is_some(), "{}", sim.tail());
    }
    for connection in late {
        let verdict = sim.verdict(connection).expect("at once");
        assert!(not_run(verdict, Reason::HomeUnreachable), "{verdict:?}");
    }
}
