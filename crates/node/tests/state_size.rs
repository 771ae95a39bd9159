//! Memory of each VM at the target size, counted by the allocator. This file has a single test
//! because the allocator counts for the whole process.

#[path = "../examples/capacity/fleet.rs"]
mod fleet;
#[path = "../examples/capacity/meters.rs"]
#[expect(dead_code, reason = "the measuring program uses more of it")]
mod meters;
#[path = "../examples/capacity/shape.rs"]
#[expect(dead_code, reason = "the measuring program uses more of it")]
mod shape;
#[path = "../examples/capacity/simulation.rs"]
#[expect(dead_code, reason = "the measuring program uses more of it")]
mod simulation;
#[path = "../examples/capacity/stats.rs"]
#[expect(dead_code, reason = "the measuring program uses more of it")]
mod stats;

/// Most memory that the control plane may use on one VM.
const MEMORY_TARGET_BYTES: f64 = 128e6;
/// Running tasks of a domain: 23,000 in 10 domains.
const TASKS_PER_DOMAIN: u64 = 2_300;
/// Jobs of one day in a domain, whose records its ledger keeps: 32,000 in 10 domains.
const RECORDS_PER_DOMAIN: u64 = 3_200;

/// Guards against state that needs more memory than a VM has for it: all workers and quotas, and
/// the running tasks and finished records of one domain.
#[test]
fn no_vm_holds_more_than_the_memory_target() {
    let mut sim = simulation::Simulation::ready(shape::Shape::target(20), meters::meters());
    for number in 0..RECORDS_PER_DOMAIN {
        sim.submit(0, 3, 1_000_000 + number, 200);
        sim.run_for(4);
    }
    for number in 0..TASKS_PER_DOMAIN {
        sim.submit(0, 1, number, 10_000_000);
        sim.run_for(2);
    }
    sim.run_for(5_000);

    assert_eq!(
        sim.verdicts.get("ran"),
        Some(&RECORDS_PER_DOMAIN),
        "{:?}",
        sim.verdicts
    );
    assert_eq!(sim.running() as u64, TASKS_PER_DOMAIN);
    for vm in 1..=sim.shape.vms {
        let bytes = meters::peak_bytes(vm);
        assert!(bytes <= MEMORY_TARGET_BYTES, "vm-{vm}: {bytes} B");
    }
}
