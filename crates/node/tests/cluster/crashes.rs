//! Tasks that crash each worker that starts them.

use acaciareel_types::{Reason, Verdict};

use crate::{setup::gang_tables, sim::Sim};

/// Crashes of workers under one request after which it is not started again.
const MAX_CRASHES: usize = 3;

fn lost() -> Verdict {
    Verdict::MayHaveRun {
        reason: Reason::WorkerLost,
    }
}

/// Guards against a request that crashes worker after worker until its time limit.
#[test]
#[ignore = "known red, see KNOWN-RED.txt"]
fn a_request_that_crashes_its_workers_is_given_up() {
    let mut sim = Sim::ready(501, 2, 3);
    let connection = sim.submit_within(6, "verify", "khomas-a/crash", 1, 300, 120_000);

    let verdict = sim.verdict_of(connection, 121_000);

    let runs = sim.runs_of("khomas-a/crash");
    assert_eq!((runs, &verdict), (MAX_CRASHES, &lost()), "{}", sim.tail());
    sim.run_for(20_000);
    assert_eq!(sim.runs_of("khomas-a/crash"), MAX_CRASHES);
}

/// Guards against crashes that a new placer does not know of.
#[test]
#[ignore = "known red, see KNOWN-RED.txt"]
fn crashes_count_across_a_change_of_the_placer() {
    let mut sim = Sim::ready(502, 2, 3);
    let connection = sim.submit_within(6, "verify", "khomas-a/crash", 1, 4_000, 120_000);
    sim.run_while(20_000, |sim| sim.runs_of("khomas-a/crash") < 2);
    let placer = sim.placer(0).expect("placer");
    sim.kill(placer);

    let verdict = sim.verdict_of(connection, 121_000);

    let runs = sim.runs_of("khomas-a/crash");
    assert_eq!((runs, &verdict), (MAX_CRASHES, &lost()), "{}", sim.tail());
}

/// Guards against crashes in another domain that the home does not learn of.
#[test]
#[ignore = "known red, see KNOWN-RED.txt"]
fn crashes_under_delegated_tasks_count() {
    let mut sim = Sim::ready_with(503, 2, [0, 3, 0]);
    let connection = sim.submit_within(6, "verify", "khomas-a/crash", 1, 300, 120_000);

    let verdict = sim.verdict_of(connection, 121_000);

    let runs = sim.runs_of("khomas-a/crash");
    assert_eq!((runs, &verdict), (MAX_CRASHES, &lost()), "{}", sim.tail());
}

/// Guards against work that is given up because another request crashes its workers.
#[test]
#[ignore = "known red, see KNOWN-RED.txt"]
fn work_beside_a_request_that_crashes_its_workers_completes() {
    for workers in [1, 3] {
        let mut sim = Sim::ready_with(504, 2, [workers, 0, 0]);
        let crashing = sim.submit_within(6, "verify", "khomas-a/crash", 1, 300, 110_000);
        let others: Vec<_> = (0..6)
            .map(|n| {
                let key = format!("khomas-a/other-{n}");
                sim.submit_within(6, "verify", &key, 1, 3_000, 110_000)
            })
            .collect();

        let verdict = sim.verdict_of(crashing, 111_000);
        for connection in others {
            let verdict = sim.verdict_of(connection, 111_000);
            assert!(sim.ran(connection), "{workers}: {verdict:?}");
        }

        assert_eq!(verdict, lost(), "{workers}: {}", sim.tail());
        assert_eq!(sim.runs_of("khomas-a/crash"), MAX_CRASHES, "{workers}");
    }
}

/// Guards against work that is given up because its workers were cut off and stopped it.
#[test]
fn workers_that_are_cut_off_do_not_count_as_crashed() {
    let mut sim = Sim::ready_with(505, 2, [2, 0, 0]);
    let connection = sim.submit_within(6, "verify", "khomas-a/long", 1, 20_000, 120_000);
    for n in 1..=MAX_CRASHES {
        sim.run_while(60_000, |sim| sim.runs_of("khomas-a/long") < n);
        let worker = sim.runs.last().expect("run").worker.clone();
        let worker = worker.parse().expect("worker");
        sim.workers.get_mut(&worker).expect("known").isolated = true;
        sim.run_while(20_000, |sim| sim.workers[&worker].running() > 0);
        sim.workers.get_mut(&worker).expect("known").isolated = false;
    }

    let verdict = sim.verdict_of(connection, 60_000);

    assert!(sim.ran(connection), "{verdict:?}\n{}", sim.tail());
}

/// Guards against a gang that crashes worker after worker until its time limit.
#[test]
#[ignore = "known red, see KNOWN-RED.txt"]
fn a_gang_that_crashes_its_workers_is_given_up() {
    let mut sim = Sim::ready(506, 2, 3);
    let change = sim.apply(1, "gangs", 1, gang_tables());
    sim.run_while(6_000, |sim| sim.applied(change).is_none());
    sim.run_for(1_000);
    let connection = sim.submit_within(6, "season", "khomas-a/crash-gang", 1, 300, 110_000);

    let verdict = sim.verdict_of(connection, 111_000);

    let runs = sim.runs_of("khomas-a/crash-gang");
    assert_eq!(verdict, lost(), "{}", sim.tail());
    assert!(runs <= 4 * MAX_CRASHES, "{runs} runs");
}

/// Guards against an idempotent request that crashes worker after worker: the entry VM sends it to
/// another placer, or to the same one again, each time a placer gives it up.
#[test]
#[ignore = "known red, see KNOWN-RED.txt"]
fn an_idempotent_request_that_crashes_its_workers_is_given_up() {
    let mut sim = Sim::ready(507, 2, 3);
    let connection = sim.submit_within(6, "lookup", "crash", 1, 50, 60_000);

    let verdict = sim.verdict_of(connection, 61_000);

    let runs = sim.runs_of("crash");
    assert_eq!((runs, &verdict), (MAX_CRASHES, &lost()), "{}", sim.tail());
}

/// Guards against crashes that are forgotten when a placer without workers returns the request to
/// its entry VM, and against a request that is moved on while it waits to run alone.
#[test]
#[ignore = "known red, see KNOWN-RED.txt"]
fn crashes_under_idempotent_requests_count_across_domains() {
    for seed in 600..610 {
        let mut sim = Sim::ready(seed, 2, 2);
        let keys = ["crash-1", "crash-2", "crash-3"];
        let connections = keys.map(|key| sim.submit_within(6, "lookup", key, 1, 300, 10_000));

        let verdicts = connections.map(|connection| sim.verdict_of(connection, 11_000));

        assert_eq!(verdicts, [lost(), lost(), lost()], "{seed}");
        let runs = keys.map(|key| sim.runs_of(key));
        assert_eq!(runs, [MAX_CRASHES; 3], "{seed}");
    }
}
