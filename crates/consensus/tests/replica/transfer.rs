//! Leadership transfer.

use acaciareel_types::VmId;

use crate::network::Network;

/// Guards against a transfer that takes an election timeout or loses a command, and against a
/// leader that keeps its lease after the request.
#[test]
fn leadership_moves_to_the_chosen_voter() {
    for seed in 0..20 {
        let mut network = Network::bootstrapped(seed, 3);
        let leader = network.commit(0..10);
        let next = leader % 3 + 1;
        network.run(200);
        network.transfer((seed % 2 == 0).then_some(next));

        assert_eq!(network.leader(), None, "lease kept after the request");
        network.await_other_leader(leader, 300);

        assert!(seed % 2 == 1 || network.leader() == Some(next));
        network.commit(10..20);
        network.converge(5_000);
    }
}

/// Guards against two leases when `TakeOver` arrives late or not at all.
#[test]
fn transfer_to_a_cut_off_voter_is_abandoned() {
    for seed in 0..20 {
        let mut network = Network::bootstrapped(seed, 3);
        let leader = network.commit(0..10);
        let next = leader % 3 + 1;
        network.delay_ms = (3, 1_500);
        network.transfer(Some(next));
        network.run(20);
        network.isolate(&[next]);
        network.run(3_000);
        network.delay_ms = (3, 7);

        network.commit(10..20);
        network.cut_links.clear();
        network.converge(5_000);
    }
}

/// Guards against leadership that does not return to a preferred leader once it has caught up; a
/// ledger would then stay with a leader outside its failure domain.
#[test]
fn preferred_leader_takes_over_once_caught_up() {
    for seed in 0..10 {
        let mut network = Network::new(seed, 3);
        network.preferred_leaders = vec![VmId(2)];
        (1..=3).for_each(|vm| network.kill(vm));
        (1..=3).for_each(|vm| network.start(vm));
        network.run_until(10_000, |network| network.leader() == Some(2));
        network.kill(2);
        network.commit(0..300);
        network.start(2);

        network.run_until(10_000, |network| network.leader() == Some(2));

        network.converge(5_000);
        assert!(network.has_applied(2, 299));
    }
}
