//! Loss of leaders, and partitions.

use acaciareel_consensus::Role;

use crate::{network::Network, performance::NEW_LEADER_LIMIT_MS};

/// Guards against the loss of a command that the leader reported as committed just before it
/// crashed.
#[test]
fn leader_killed_right_after_commit() {
    for seed in 0..20 {
        let mut network = Network::bootstrapped(seed, 3);
        let leader = network.commit(0..10);
        network.kill(leader);

        let next = network.commit(10..20);

        let expected: Vec<u64> = (0..20).collect();
        assert_eq!(network.vms[&next].applied, expected);
        network.start(leader);
        network.converge(5_000);
    }
}

/// Guards against a command that a leader commits in a minority partition, or that is applied after
/// the partition ends.
#[test]
fn minority_does_not_commit() {
    for seed in 0..10 {
        let mut network = Network::bootstrapped(seed, 5);
        let leader = network.commit(0..5);
        let partner = leader % 5 + 1;
        network.isolate(&[leader, partner]);
        network.propose(leader, 666);
        network.run(5_000);
        network.commit(5..10);
        network.cut_links.clear();
        network.converge(5_000);

        let expected: Vec<u64> = (0..10).collect();
        assert!(network.vms.values().all(|vm| vm.applied == expected));
    }
}

/// Guards against a leader cut off in one direction that receives no answers, and whose heartbeats
/// keep its followers from electing another leader.
#[test]
fn leader_cut_off_in_one_direction() {
    for seed in 0..20 {
        let mut network = Network::bootstrapped(seed, 3);
        let leader = network.commit(0..5);
        for other in (1..=3).filter(|other| *other != leader) {
            let (from, to) = if seed % 2 == 0 {
                (leader, other)
            } else {
                (other, leader)
            };
            network.cut_links.insert((from, to));
        }
        network.await_other_leader(leader, NEW_LEADER_LIMIT_MS);
        network.commit(5..10);
        network.cut_links.clear();
        network.converge(5_000);
    }
}

/// Guards against a member that deposes a working leader with a higher term after a long partition.
#[test]
fn member_returns_from_long_partition_without_disruption() {
    for seed in 0..10 {
        let mut network = Network::bootstrapped(seed, 3);
        let leader = network.commit(0..5);
        let member = leader % 3 + 1;
        network.isolate(&[member]);
        network.run(60_000);
        network.commit(5..40);
        let term = network.replica(leader).term();
        network.cut_links.clear();
        network.run(5_000);

        assert_eq!(network.replica(leader).term(), term);
        assert_eq!(network.replica(member).role(), Role::Follower);
        assert!(network.has_applied(member, 39));
    }
}

/// Guards against a paused leader that still holds its lease when it resumes, after another leader
/// was elected, and against a commit by such a leader whose clock stopped during the pause.
#[test]
fn paused_leader_resumes() {
    for seed in 0..20 {
        let mut network = Network::bootstrapped(seed, 3);
        let leader = network.commit(0..5);
        network.pause(leader, seed % 2 == 0);
        network.await_other_leader(leader, NEW_LEADER_LIMIT_MS);
        network.commit(5..10);
        network.resume(leader);
        network.propose(leader, 666);
        network.run(2_000);
        network.converge(5_000);

        let expected: Vec<u64> = (0..10).collect();
        assert!(network.vms.values().all(|vm| vm.applied == expected));
    }
}

/// Guards against election timeouts that expire before slow disks have synced the votes.
#[test]
fn voters_with_slow_disks_elect_a_leader() {
    for seed in 0..20 {
        let mut network = Network::bootstrapped(seed, 3);
        let leader = network.commit(0..5);
        network.sync_delay_ms = (400, 800);
        network.kill(leader);

        network.await_leader(10_000);

        network.commit(5..10);
    }
}
