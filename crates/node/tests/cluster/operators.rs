//! Changes of the tables by operators, under faults.

use acaciareel_node::{Event, OperatorReply, Reply, TablesReply};
use acaciareel_types::TableVersion;

use crate::{setup::tables, sim::Sim};

fn accepted(sim: &Sim, connection: u64) -> Option<u64> {
    match sim.applied(connection) {
        Some(TablesReply::Accepted(version)) => Some(version.0),
        _ => None,
    }
}

fn history(sim: &mut Sim, vm: u32) -> Vec<(TableVersion, String)> {
    let reply = sim.operator(vm, |connection| Event::ShowHistory { connection });
    match reply {
        Reply::Operator(OperatorReply::History(history)) => history,
        other => panic!("{other:?}"),
    }
}

/// Guards against two concurrent changes that are both accepted for one version, and against a
/// resend whose reply differs from the first one.
#[test]
fn one_of_two_concurrent_changes_is_accepted_and_resends_repeat_the_reply() {
    for seed in 31..36 {
        let mut sim = Sim::ready(seed, 2, 1);
        let left = sim.apply(2, "left", 1, tables(5));
        let right = sim.apply(6, "right", 1, tables(6));
        sim.run_while(5_000, |s| {
            s.applied(left).is_none() || s.applied(right).is_none()
        });

        let versions = [left, right].map(|connection| accepted(&sim, connection));
        let accepted_changes = versions.iter().filter(|version| **version == Some(2));
        assert_eq!(accepted_changes.count(), 1);
        for (operation, first, weight) in [("left", left, 5), ("right", right, 6)] {
            let again = sim.apply(4, operation, 1, tables(weight));
            sim.run_while(5_000, |sim| sim.applied(again).is_none());
            assert_eq!(sim.applied(again), sim.applied(first));
        }
    }
}

/// Guards against the loss of an accepted change when the tables leader fails right after accepting
/// it.
#[test]
fn an_accepted_change_survives_a_leader_failure() {
    for seed in 41..46 {
        let mut sim = Sim::ready(seed, 2, 1);
        let change = sim.apply(6, "change", 1, tables(5));
        sim.run_while(5_000, |sim| sim.applied(change).is_none());
        assert_eq!(accepted(&sim, change), Some(2));
        sim.kill(1);
        sim.run_for(6_500);

        for vm in 2..=6 {
            let last = history(&mut sim, vm).pop().expect("history");
            assert_eq!(last, (TableVersion(2), "change".to_owned()), "{vm}");
        }
    }
}

/// Guards against a VM that keeps old tables although a peer has the new ones, because the tables
/// leader cannot reach it (found with random faults, seed 2173).
#[test]
fn a_vm_cut_off_from_the_voters_gets_the_tables_from_a_peer() {
    let mut sim = Sim::ready(71, 2, 1);
    sim.partition(&[2], &[1, 3, 5], true);
    let change = sim.apply(6, "change", 1, tables(5));
    sim.run_for(6_000);

    assert_eq!(accepted(&sim, change), Some(2));
    assert_eq!(sim.vms[&2].tables_version, 2);
    sim.heal();
    let next = sim.apply(2, "next", 2, tables(6));
    sim.run_for(6_500);
    assert_eq!(accepted(&sim, next), Some(3));
    assert!(sim.vms.values().all(|vm| vm.tables_version == 3));
}

/// Guards against a change that a minority of the voters accepts during a partition.
#[test]
fn a_minority_accepts_no_change() {
    let mut sim = Sim::ready(51, 2, 1);
    sim.partition(&[1, 2], &[3, 4, 5, 6], true);
    let minority = sim.apply(1, "minority", 1, tables(5));
    let majority = sim.apply(5, "majority", 1, tables(6));
    sim.run_for(12_000);

    assert_eq!(sim.applied(minority), Some(&TablesReply::Unavailable));
    assert_eq!(accepted(&sim, majority), Some(2));
    sim.heal();
    sim.run_for(6_500);
    let again = sim.apply(1, "minority", 1, tables(5));
    sim.run_while(5_000, |sim| sim.applied(again).is_none());
    let conflict = TablesReply::Conflict(TableVersion(2));
    assert_eq!(sim.applied(again), Some(&conflict));
}

/// Guards against a VM that does not catch up within 6 s after it has missed 500 changes.
#[test]
fn a_vm_500_changes_behind_catches_up_in_time() {
    let mut sim = Sim::ready(61, 2, 1);
    sim.kill(4);
    sim.kill(3);
    for version in 1..=500 {
        let weight = 1 + u32::try_from(version % 900).expect("small");
        let change = sim.apply(6, &format!("op-{version}"), version, tables(weight));
        sim.run_while(5_000, |sim| sim.applied(change).is_none());
        assert_eq!(accepted(&sim, change), Some(version + 1));
    }
    sim.start(3);
    sim.start(4);
    sim.run_for(6_000);

    assert_eq!(sim.vms[&3].tables_version, 501);
    assert_eq!(sim.vms[&4].tables_version, 501);
}
