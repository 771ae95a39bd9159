//! Bootstrap of a group, and restart of all its members.

use acaciareel_consensus::Role;
use acaciareel_types::Term;

use crate::network::Network;

/// Guards against a group that does not bootstrap, or does so while an initial voter is down.
#[test]
fn group_bootstraps_once_all_initial_voters_run() {
    for seed in 0..10 {
        let mut network = Network::new(seed, 3);
        network.loss_percent = 10;
        network.kill(3);
        network.run(5_000);
        assert_eq!(network.replica(1).role(), Role::Unformed);

        network.start(3);
        network.commit(0..20);
        network.converge(5_000);

        assert_eq!(network.checks.ready_terms[0], Term(1));
        assert!((1..=3).all(|vm| network.is_voter(vm)));
    }
}

/// Guards against a second bootstrap, or none, when the bootstrap leader restarts at any moment of
/// the bootstrap, with or without its disk.
#[test]
fn bootstrap_leader_restarts_during_bootstrap() {
    for moment in 0..120 {
        let mut network = Network::new(moment, 3);
        network.run(moment);
        if moment % 2 == 0 {
            network.kill(1);
        } else {
            network.kill_and_erase(1);
        }
        network.run(moment % 7 * 10);
        network.start(1);

        network.commit(0..5);
        network.run_until(20_000, |network| (1..=3).all(|vm| network.is_voter(vm)));
        network.converge(5_000);
    }
}

/// Guards against lost entries and against a group that does not resume after all members stop at
/// once.
#[test]
fn all_members_restart_with_state() {
    for seed in 0..20 {
        let mut network = Network::bootstrapped(seed, 3);
        network.commit(0..50);
        network.converge(5_000);
        (1..=3).for_each(|vm| network.kill(vm));
        network.run(seed * 10);
        (1..=3).for_each(|vm| network.start(vm));

        network.commit(50..60);
        network.converge(5_000);

        let expected: Vec<u64> = (0..60).collect();
        assert!(network.vms.values().all(|vm| vm.applied == expected));
    }
}
