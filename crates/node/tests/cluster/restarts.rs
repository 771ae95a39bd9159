//! Restarts of VMs with unchanged settings, and requests that a restarted or stopping VM refuses.

use acaciareel_types::Verdict;

use crate::sim::Sim;

/// Time in which a request on a sound VM is answered; it covers the election of a new placer.
const ANSWER_MS: u64 = 3_000;

/// Guards against a process epoch that repeats when a VM starts again with the same settings: its
/// submission numbers and task ids then repeat too, so that peers and workers take new requests for
/// earlier ones, and callers get no answer or that of another request.
#[test]
fn a_vm_that_restarts_with_its_settings_answers_new_requests() {
    for seed in 401..=406 {
        let mut sim = Sim::ready(seed, 2, 1);
        sim.keep_seeds = true;

        for round in 0..9u32 {
            let mut sent = Vec::new();
            for vm in 1..=6 {
                for kind in ["lookup", "verify", "credit"] {
                    let key = format!("{kind}-{round}-{vm}-once");
                    sent.push((sim.submit(vm, kind, &key, 1, 20), key));
                }
            }
            for (connection, key) in sent {
                let verdict = sim.verdict_of(connection, ANSWER_MS);
                assert!(
                    sim.ran(connection),
                    "seed {seed} round {round} {key}: {verdict:?}\n{}",
                    sim.tail()
                );
                assert_eq!(sim.runs_of(&key), 1, "seed {seed} round {round} {key}");
            }
            let vm = 1 + round % 6;
            sim.kill(vm);
            sim.run_for(200);
            sim.start(vm);
            sim.run_for(3_000);
        }
    }
}

/// Guards against `NotRun` for a repeated request of which an earlier attempt may have run, from a
/// VM that refuses requests because it stops.
#[test]
fn a_stopping_vm_does_not_deny_an_earlier_attempt() {
    let mut sim = Sim::ready(411, 2, 1);
    sim.deliver(5, acaciareel_node::Event::Stop);

    for kind in ["verify", "credit"] {
        let first = sim.submit(5, kind, &format!("{kind}-first"), 1, 20);
        let again = sim.submit(5, kind, &format!("{kind}-again"), 2, 20);
        let first = sim.verdict_of(first, ANSWER_MS);
        let again = sim.verdict_of(again, ANSWER_MS);

        assert!(matches!(first, Verdict::NotRun { .. }), "{kind}: {first:?}");
        assert!(
            matches!(again, Verdict::MayHaveRun { .. }),
            "{kind}: {again:?}"
        );
    }
}

/// Guards against `NotRun` for a repeated request of which an earlier attempt may have run, from a
/// VM that has no tables yet, or whose tables have no route for the kind any more.
#[test]
fn a_vm_without_a_route_does_not_deny_an_earlier_attempt() {
    let mut sim = Sim::new(412, 2, [1, 1, 1]);
    sim.run_for(100);
    let first = sim.submit(5, "credit", "without-tables", 1, 20);
    let again = sim.submit(5, "credit", "without-tables-again", 2, 20);
    let first = sim.verdict_of(first, ANSWER_MS);
    let again = sim.verdict_of(again, ANSWER_MS);

    let mut ready = Sim::ready(413, 2, 1);
    let unknown = ready.submit(5, "removed", "unknown-kind", 1, 20);
    let unknown_again = ready.submit(5, "removed", "unknown-kind-again", 2, 20);
    let unknown = ready.verdict_of(unknown, ANSWER_MS);
    let unknown_again = ready.verdict_of(unknown_again, ANSWER_MS);

    assert!(matches!(first, Verdict::NotRun { .. }), "{first:?}");
    assert!(matches!(again, Verdict::MayHaveRun { .. }), "{again:?}");
    assert!(matches!(unknown, Verdict::NotRun { .. }), "{unknown:?}");
    assert!(
        matches!(unknown_again, Verdict::MayHaveRun { .. }),
        "{unknown_again:?}"
    );
}
