//! Lost disks, new and removed members, snapshot transfer.

use acaciareel_consensus::{Input, MemberChange, Message, Role};
use acaciareel_types::VmId;

use crate::network::Network;

/// Guards against a replaced member that does not restore redundancy: the group then does not
/// survive the next lost disk. Also guards against votes and acknowledgements of a VM that lost the
/// entries it acknowledged.
#[test]
fn second_member_lost_right_after_first_was_repaired() {
    for seed in 0..20 {
        let mut network = Network::bootstrapped(seed, 3);
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

/// Guards against one change that replaces two voters: the majorities before and after it need not
/// overlap.
#[test]
fn two_of_five_disks_lost_at_once() {
    for seed in 0..10 {
        let mut network = Network::bootstrapped(seed, 5);
        let leader = network.commit(0..30);
        let lost = [leader % 5 + 1, (leader + 1) % 5 + 1];
        for vm in lost {
            network.kill_and_erase(vm);
        }
        network.run(1_000);
        network.recover_processes();

        network.run_until(10_000, |network| {
            lost.iter().all(|vm| network.is_voter(*vm))
        });

        network.kill(leader);
        network.commit(30..40);
    }
}

/// Guards against a VM outside the initial voters that keeps requesting to join, or that the leader
/// promotes without a request by the caller.
#[test]
fn vm_outside_initial_voters_joins_as_learner() {
    for seed in 0..10 {
        let mut network = Network::bootstrapped(seed, 3);
        network.commit(0..10);
        network.add_vm(4);
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

/// Longest time from a live path to a member until a VM has joined: three requests to join.
const JOIN_MS: u64 = 2_000;

/// What happens to one of the members that a new VM knows.
#[derive(Clone, Copy, Debug)]
enum SeedFault {
    None,
    Isolated,
    Killed,
    Erased,
}

/// Guards against a new VM that is never added because none of the members that it knows leads
/// (loftbook-large trouble-2, seed 193287265236), with every choice of three members and a fault of
/// one of them.
#[test]
fn vm_joins_through_any_member() {
    let triples =
        (1..=5).flat_map(|a| (a + 1..=5).flat_map(move |b| (b + 1..=5).map(move |c| [a, b, c])));
    for (seed, targets) in triples.enumerate() {
        for fault in [
            SeedFault::None,
            SeedFault::Isolated,
            SeedFault::Killed,
            SeedFault::Erased,
        ] {
            let mut network = Network::bootstrapped(seed as u64, 5);
            let leader = network.commit(0..10);
            let faulty = *targets.iter().find(|vm| **vm != leader).unwrap();
            match fault {
                SeedFault::None => {}
                SeedFault::Isolated => network.isolate(&[faulty]),
                SeedFault::Killed => network.kill(faulty),
                SeedFault::Erased => {
                    network.kill_and_erase(faulty);
                    network.start(faulty);
                }
            }

            network.join_vm(6, &targets);
            network.run(JOIN_MS);

            let leader = network.await_leader(5_000);
            assert!(
                network.replica(leader).members().contains_key(&VmId(6)),
                "{targets:?} {fault:?}, leader {leader}"
            );
            assert_eq!(
                network.replica(6).role(),
                Role::Learner,
                "{targets:?} {fault:?}"
            );
        }
    }
}

/// Guards against a request to join that members pass on for ever, or that removes a reachable
/// voter.
#[test]
fn forwarded_request_to_join_is_not_forwarded_again() {
    let mut network = Network::bootstrapped(1, 3);
    let leader = network.commit(0..10);
    let (follower, other) = (leader % 3 + 1, (leader + 1) % 3 + 1);
    let mut requester = network.id(other);
    requester.incarnation.0 += 1_000;
    let before = network.vms[&leader].traffic.0;

    let message = Message::Join {
        requester: Some(requester),
    };
    let from = network.id(other);
    network.input(follower, Input::Receive { from, message });
    network.run(50);

    assert!(network.is_voter(other));
    assert!(network.vms[&leader].traffic.0 - before < 10);
}

/// Guards against a member that was removed while it was unreachable and requests votes forever: no
/// member sends to it any more, so nothing reports the removal to it.
#[test]
fn member_removed_while_unreachable_joins_again() {
    for seed in 0..10 {
        let mut network = Network::bootstrapped(seed, 3);
        let leader = network.commit(0..10);
        let isolated = leader % 3 + 1;
        network.isolate(&[isolated]);
        network.run(500);
        network.input(leader, Input::Change(MemberChange::Remove(VmId(isolated))));
        network.run(1_000);
        assert_eq!(network.replica(leader).members().len(), 2);

        network.cut_links.clear();

        network.run_until(5_000, |network| {
            network.replica(leader).members().len() == 3 && network.is_voter(isolated)
        });
        network.commit(10..20);
        network.converge(5_000);
    }
}

/// Guards against a member that cannot catch up once the log is compacted, while chunks of the
/// snapshot are lost and duplicated, and against its promotion before it has caught up.
#[test]
fn lagging_member_catches_up_by_snapshot() {
    for seed in 0..10 {
        let mut network = Network::bootstrapped(seed, 3);
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
        network.cut_links.clear();
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
        // The disk must hold the same snapshot.
        network.kill(member);
        network.start(member);
        network.converge(10_000);
        assert_eq!(network.vms[&member].applied, expected);
    }
}

/// Guards against a delayed request to join that replaces a reachable voter, and against a running
/// member that does not rejoin after its incarnation was replaced in the member list.
#[test]
fn reachable_member_is_not_replaced_permanently() {
    for seed in 0..10 {
        let mut network = Network::bootstrapped(seed, 3);
        let leader = network.commit(0..5);
        let member = leader % 3 + 1;
        let mut from = network.id(member);
        from.incarnation.0 += 1_000;
        let message = Message::Join { requester: None };
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
