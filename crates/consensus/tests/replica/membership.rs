//! Lost disks, new members, snapshots.

use acaciareel_consensus::{Input, MemberChange, Message, Role};
use acaciareel_types::VmId;

use crate::network::Network;

/// Guards against a group that stays without redundancy after a repair, and against votes of a
/// VM that no longer has what it acknowledged.
#[test]
fn second_member_lost_right_after_first_was_repaired() {
    for seed in 0..20 {
        let mut network = Network::formed(seed, 3);
        network.loss_percent = seed % 3 * 5;
        let leader = network.commit(0..30);
        let (first, second) = (leader % 3 + 1, (leader + 1) % 3 + 1);
        network.kill_and_erase(first);
        network.run(seed * 50);
        network.start(first);
        network.run_until(10_000, |network| network.is_voter(first));

        let lost = if seed % 2 == 0 { second } else { leader };
        network.kill_and_erase(lost);
        network.commit(30..40);
        network.start(lost);

        network.run_until(10_000, |network| network.is_voter(lost));
        network.converge(5_000);
        let expected: Vec<u64> = (0..40).collect();
        assert!(network.vms.values().all(|vm| vm.applied == expected));
    }
}

/// Guards against two voters that are replaced in one change, whose majorities need not overlap.
#[test]
fn two_of_five_disks_lost_at_once() {
    for seed in 0..10 {
        let mut network = Network::formed(seed, 5);
        let leader = network.commit(0..30);
        let lost = [leader % 5 + 1, (leader + 1) % 5 + 1];
        for vm in lost {
            network.kill_and_erase(vm);
        }
        network.run(1_000);
        network.repair_processes();

        network.run_until(10_000, |network| {
            lost.iter().all(|vm| network.is_voter(*vm))
        });

        network.kill(leader);
        network.commit(30..40);
    }
}

/// Guards against a VM that keeps asking, or is promoted without being an initial voter.
#[test]
fn vm_outside_the_list_joins_as_learner() {
    for seed in 0..10 {
        let mut network = Network::formed(seed, 3);
        network.commit(0..10);
        network.add(4);
        network.converge(10_000);
        let leader = network.commit(10..20);
        network.run(5_000);

        assert_eq!(network.replica(4).role(), Role::Learner);
        assert!(network.has_applied(4, 19));
        network.input(leader, Input::Change(MemberChange::Promote(VmId(4))));
        network.run(1_000);
        assert_eq!(network.replica(4).role(), Role::Follower);
        network.input(leader, Input::Change(MemberChange::Remove(VmId(4))));
        network.kill(4);
        network.commit(20..21);
        assert_eq!(network.replica(leader).members().len(), 3);
    }
}

/// Guards against a member that was removed while it was away, does not learn of it because nobody
/// sends to it any more, and asks for votes for ever.
#[test]
fn member_removed_while_away_joins_again() {
    for seed in 0..10 {
        let mut network = Network::formed(seed, 3);
        let leader = network.commit(0..10);
        let away = leader % 3 + 1;
        network.isolate(&[away]);
        network.run(500);
        network.input(leader, Input::Change(MemberChange::Remove(VmId(away))));
        network.run(1_000);
        assert_eq!(network.replica(leader).members().len(), 2);

        network.cuts.clear();

        network.run_until(5_000, |network| {
            network.replica(leader).members().len() == 3 && network.is_voter(away)
        });
        network.commit(10..20);
        network.converge(5_000);
    }
}

/// Guards against a member that cannot catch up once the log is truncated, whatever chunks of the
/// snapshot are lost or repeated.
#[test]
fn member_far_behind_catches_up_by_snapshot() {
    for seed in 0..10 {
        let mut network = Network::formed(seed, 3);
        network.state_bytes = 300_000;
        let leader = network.commit(0..5);
        let member = leader % 3 + 1;
        match seed % 3 {
            0 => network.isolate(&[member]),
            1 => network.kill(member),
            _ => network.kill_and_erase(member),
        }
        network.commit(5..505);
        network.loss_percent = 10;
        network.duplicate_percent = 10;
        network.cuts.clear();
        if seed % 3 > 0 {
            network.start(member);
        }

        network.run_until(10_000, |network| network.is_voter(member));
        let match_index = network.replica(leader).progress(network.clock(leader));
        let match_index = match_index.get(&VmId(member)).unwrap().match_index;
        assert!(
            seed % 3 < 2 || match_index.0 >= 505,
            "promoted at {match_index}"
        );
        network.converge(10_000);

        assert!(network.replica(member).snapshot_index().0 >= 200);
        let expected: Vec<u64> = (0..505).collect();
        assert_eq!(network.vms[&member].applied, expected);
        // The snapshot must also be what the disk holds.
        network.kill(member);
        network.start(member);
        network.converge(10_000);
        assert_eq!(network.vms[&member].applied, expected);
    }
}

/// Guards against an old request to join that replaces a working voter, and against a member that
/// stays out although it still runs, once its incarnation was replaced in the list.
#[test]
fn working_member_is_not_replaced_for_long() {
    for seed in 0..10 {
        let mut network = Network::formed(seed, 3);
        let leader = network.commit(0..5);
        let member = leader % 3 + 1;
        let mut from = network.id(member);
        from.incarnation.0 += 1_000;
        let message = Message::Join;
        network.input(leader, Input::Receive { from, message });
        network.run(1_000);
        assert!(network.is_voter(member));

        network.input(leader, Input::Change(MemberChange::AddLearner(from)));
        network.run(200);
        assert!(!network.is_voter(member));

        network.run_until(20_000, |network| network.is_voter(member));
        network.commit(5..10);
        network.converge(5_000);
    }
}
