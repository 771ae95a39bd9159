//! Faults at random, together and repeated.

use proptest::{prelude::*, test_runner::RngSeed};

use crate::network::Network;

fn disturb(network: &mut Network, voters: u32) {
    let vm = u32::try_from(network.between((1, voters.into()))).unwrap();
    let other = u32::try_from(network.between((1, voters.into()))).unwrap();
    match network.between((0, 19)) {
        0..=3 => network.cut(vm, other),
        4 => network.isolate(vm),
        5..=7 => network.heal(),
        8 => network.kill(vm),
        9 => network.leader().into_iter().for_each(|vm| network.kill(vm)),
        // A power cut: what was promised before its sync is lost everywhere at once.
        10 => (1..=voters).for_each(|vm| network.kill(vm)),
        11 => network.freeze(vm, other > 2),
        12 => network
            .leader()
            .into_iter()
            .for_each(|vm| network.freeze(vm, false)),
        13 => network.transfer(None),
        _ => network.repair_processes(),
    }
}

fn run(seed: u64, erase: bool) {
    let voters = if seed.is_multiple_of(2) { 3 } else { 5 };
    let mut network = Network::formed(seed, voters);
    network.compact_entries = 20;
    network.delay_ms = (1, network.between((5, 100)));
    network.loss_percent = network.between((0, 15));
    network.duplicate_percent = network.between((0, 15));
    network.sync_ms = (1, network.between((2, 150)));
    for number in 0..400 {
        if number % 3 == 0 {
            disturb(&mut network, voters);
        }
        if erase && number % 40 == 39 {
            network.replace_disk(voters);
        }
        for vm in 1..=voters {
            network.propose(vm, number);
        }
        let pause_ms = network.between((1, 300));
        network.run(pause_ms);
    }
    network.heal();
    network.repair_processes();
    network.loss_percent = 0;
    network.sync_ms = (1, 4);
    network.run(5_000);
    network.commit(1_000..1_010);
    network.converge(10_000);
    network.run_until(20_000, |network| {
        (1..=voters).all(|vm| network.is_voter(vm))
    });
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
