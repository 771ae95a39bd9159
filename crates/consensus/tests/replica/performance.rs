//! Bounds on the time without a leader, on control traffic and on the time to join.

use acaciareel_consensus::Role;

use crate::network::Network;

/// Longest time until a new leader is ready: urgent work must start within 2.4 s.
pub const NEW_LEADER_LIMIT_MS: u64 = 2_400;

/// Budget for the control traffic of a VM, sent and received.
const TRAFFIC_LIMIT_BYTES_PER_S: u64 = 23_000;

/// Guards against an election that takes longer than the time within which urgent work must start
/// after the leader of its group, a placer, crashes.
#[test]
fn time_without_a_leader_after_a_crash() {
    let measure = |seed| {
        let mut network = Network::bootstrapped(seed, 3);
        network.delay_ms = (5, 12);
        network.loss_percent = seed % 2 * 2;
        let leader = network.commit(0..10);
        network.run(seed * 7 % 100);
        network.kill(leader);
        network.await_other_leader(leader, 10_000)
    };
    let mut times_ms: Vec<u64> = (0..100).map(measure).collect();
    times_ms.sort_unstable();

    let (p50_ms, max_ms) = (times_ms[50], times_ms[99]);
    println!("without a leader: p50 {p50_ms} ms, max {max_ms} ms");
    assert!(max_ms <= NEW_LEADER_LIMIT_MS);
}

/// Returns messages and bytes per second, sent and received, of the VM with the most messages in an
/// idle group. `cut_off` learners are isolated before the last commit.
fn idle_traffic(voters: u32, learners: u32, cut_off: u32) -> (u64, u64) {
    let seconds = 20;
    let mut network = Network::bootstrapped(1, voters);
    (voters + 1..=voters + learners).for_each(|vm| network.add_vm(vm));
    network.run(10_000);
    network.converge(10_000);
    (0..cut_off).for_each(|i| network.isolate(&[voters + learners - i]));
    network.commit(0..1);
    network.run(10_000);
    network.vms.values_mut().for_each(|vm| vm.traffic = (0, 0));
    network.run(seconds * 1_000);
    let busiest = network.vms.values().map(|vm| vm.traffic).max().unwrap();
    (busiest.0 / seconds, busiest.1 / seconds)
}

/// Guards against a leader of an idle group that exceeds the traffic budget of its VM, also by
/// messages to learners that were cut off before the last commit.
#[test]
fn traffic_of_an_idle_group() {
    let groups = [(3, 0, 0), (3, 9, 0), (5, 7, 0), (12, 0, 0), (5, 75, 0)];
    for (voters, learners, cut_off) in groups.into_iter().chain([(5, 75, 40)]) {
        let (messages, bytes) = idle_traffic(voters, learners, cut_off);

        let size = format!("{voters} voters, {learners} learners, {cut_off} cut off");
        println!("{size}: {messages} messages/s, {bytes} B/s");
        assert!(bytes <= TRAFFIC_LIMIT_BYTES_PER_S);
    }
}

/// Guards against a leader that keeps sending snapshot chunks to a member that crashed during the
/// transfer.
#[test]
fn traffic_to_a_member_lost_during_its_snapshot() {
    let mut network = Network::bootstrapped(1, 3);
    network.state_bytes = 10_000_000;
    let leader = network.commit(0..5);
    let member = leader % 3 + 1;
    network.kill(member);
    network.commit(5..505);
    network.start(member);
    network.run(500);
    network.kill(member);
    network.run(1_000);
    let before_bytes = network.vms[&leader].traffic.1;

    network.run(10_000);

    let bytes = (network.vms[&leader].traffic.1 - before_bytes) / 10;
    assert!(bytes <= TRAFFIC_LIMIT_BYTES_PER_S, "{bytes} B/s");
    network.start(member);
    network.converge(20_000);
}

/// Guards against learners of a restarted deployment that are added one after the other. The tables
/// must be in force on all VMs within 6 s.
#[test]
fn learners_of_a_whole_deployment_join_together() {
    let mut network = Network::bootstrapped(1, 5);
    network.commit(0..10);
    (6..=80).for_each(|vm| network.add_vm(vm));

    network.run_until(6_000, |network| {
        (6..=80).all(|vm| network.replica(vm).role() == Role::Learner && network.has_applied(vm, 9))
    });
}
