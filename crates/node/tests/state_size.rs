//! Memory of each VM at the target, counted by the allocator. One test only, as the count belongs
//! to the process.

#[path = "../examples/capacity/fleet.rs"]
mod fleet;
#[path = "../examples/capacity/meters.rs"]
#[expect(dead_code, reason = "the measuring program uses more of it")]
mod meters;
#[path = "../examples/capacity/shape.rs"]
#[expect(dead_code, reason = "the measuring program uses more of it")]
mod shape;
#[path = "../examples/capacity/stats.rs"]
#[expect(dead_code, reason = "the measuring program uses more of it")]
mod stats;
#[path = "../examples/capacity/world.rs"]
#[expect(dead_code, reason = "the measuring program uses more of it")]
mod world;

/// Memory that control may take on a VM.
const MEMORY_TARGET: f64 = 128e6;
/// Running tasks of a domain: 23,000 in 10 domains.
const TASKS: u64 = 2_300;
/// Jobs of a day in a domain, whose records its ledger keeps: 32,000 in 10 domains.
const RECORDS: u64 = 3_200;

/// Guards against state that outgrows a VM: all workers and quotas, and running tasks and finished
/// records of one domain.
#[test]
fn no_vm_holds_more_than_the_memory_target() {
    let mut world = world::World::ready(shape::Shape::target(20), meters::meters());
    for number in 0..RECORDS {
        world.submit(0, 3, 1_000_000 + number, 200);
        world.run_for(4);
    }
    for number in 0..TASKS {
        world.submit(0, 1, number, 10_000_000);
        world.run_for(2);
    }
    world.run_for(5_000);

    assert_eq!(
        world.verdicts.get("ran"),
        Some(&RECORDS),
        "{:?}",
        world.verdicts
    );
    assert_eq!(world.running() as u64, TASKS);
    for vm in 1..=world.shape.vms {
        let bytes = meters::peak(vm);
        assert!(bytes <= MEMORY_TARGET, "vm-{vm}: {bytes} B");
    }
}
