//! Forming of a group and restarts of all of it.

use acaciareel_consensus::Role;
use acaciareel_types::Term;

use crate::network::Network;

/// Guards against a group that does not form, or forms without every initial voter.
#[test]
fn group_forms_once_every_initial_voter_is_there() {
    for seed in 0..10 {
        let mut network = Network::new(seed, 3);
        network.loss_percent = 10;
        network.kill(3);
        network.run(5_000);
        assert_eq!(network.replica(1).role(), Role::Unformed);

        network.start(3);
        network.commit(0..20);
        network.converge(5_000);

        assert_eq!(network.checks.ready[0], Term(1));
        assert!((1..=3).all(|vm| network.is_voter(vm)));
    }
}

/// Guards against a second forming, or none, when the founder restarts at any moment of forming.
#[test]
fn founder_restarts_during_forming() {
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

/// Guards against lost entries and against a group that does not resume after a power cut.
#[test]
fn all_members_restart_with_state() {
    for seed in 0..20 {
        let mut network = Network::formed(seed, 3);
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
