//! Faults at random, together and repeated.

use proptest::{prelude::*, test_runner::RngSeed};

use crate::network::Network;

fn disturb(network: &mut Network) {
    let vm = u32::try_from(network.between((1, 5))).unwrap();
    let other = u32::try_from(network.between((1, 5))).unwrap();
    match network.between((0, 9)) {
        0 => network.cut(vm, other),
        1 => network.isolate(vm),
        2 => network.heal(),
        3 | 4 => network.kill(vm),
        5 => network.freeze(vm, false),
        6 => network.wake(vm),
        7 => network.transfer(None),
        _ => (1..=5).for_each(|vm| network.start_if_down(vm)),
    }
}

fn run(seed: u64, erase: bool) {
    let mut network = Network::formed(seed, 5);
    network.compact_entries = 20;
    network.delay_ms = (1, 60);
    network.loss_percent = network.between((0, 15));
    network.duplicate_percent = network.between((0, 15));
    network.sync_ms = (1, network.between((2, 150)));
    for number in 0..200 {
        disturb(&mut network);
        if erase && number % 40 == 39 {
            network.replace_disk(5);
        }
        if let Some(leader) = network.leader() {
            network.propose(leader, number);
        }
        let pause_ms = network.between((1, 400));
        network.run(pause_ms);
    }
    network.heal();
    (1..=5).for_each(|vm| network.wake(vm));
    (1..=5).for_each(|vm| network.start_if_down(vm));
    network.loss_percent = 0;
    network.sync_ms = (1, 4);
    network.run(5_000);
    network.commit(1_000..1_010);
    network.converge(10_000);
    network.run_until(20_000, |network| (1..=5).all(|vm| network.is_voter(vm)));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards the invariants under cuts, kills, pauses, loss, duplication and slow syncs.
    #[test]
    fn invariants_hold_under_faults(seed in 1_u64..1 << 40) {
        run(seed, false);
    }

    /// The same with a VM that loses its disk again and again.
    #[test]
    fn invariants_hold_with_lost_disks(seed in 1_u64..1 << 40) {
        run(seed, true);
    }
}
