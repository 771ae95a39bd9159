//! The target of the design page, section 1.4, as a whole deployment.

use std::collections::BTreeMap;

use super::{
    meters,
    roles::{control, to_f64},
    series::number,
    shape::Shape,
    stats::Stats,
    world::World,
};

const WINDOW_MS: u32 = 20_000;
/// Time after the start of the tasks; resends of waiting requests become rarer meanwhile.
const SETTLE_MS: u64 = 60_000;
/// Running tasks of a domain: 23,000 in 10 domains.
const TASKS: u64 = 2_300;
/// Task starts per second of a domain at the peak: 390 in 10 domains.
const STARTS_PER_S: u64 = 39;

/// Measures the target with so many entry VMs: steady state, peak of starts, changes of tables.
pub fn target(vms: u32) {
    meters::reset_accounts();
    println!("\n== target with {vms} entry VMs ==");
    let mut world = World::ready(Shape::target(vms), meters::meters());
    for number in 0..TASKS {
        for of in 0..world.shape.domains {
            world.submit(of, 1 + of % 3, number, 10_000_000);
        }
        world.run_for(3);
    }
    world.run_for(SETTLE_MS);
    println!(
        "running tasks {}, placers {:?}",
        world.running(),
        world.placers.values()
    );
    steady(&mut world);
    peak(&mut world);
    change(&mut world);
    println!(
        "resident memory of the whole process: {} MB",
        number(meters::resident() / 1e6)
    );
}

fn steady(world: &mut World) {
    world.reset();
    meters::reset_peaks();
    world.run_for(WINDOW_MS.into());
    println!("steady state over {} s:", WINDOW_MS / 1_000);
    per_vm(world, f64::from(WINDOW_MS) / 1_000.0);
    let dearest = (1..=world.shape.vms).max_by_key(|vm| world.stats[vm].bytes("").1);
    let vm = dearest.expect("VMs");
    println!("classes of vm-{vm}, B/s (messages/s):");
    classes(&world.stats[&vm], f64::from(WINDOW_MS) / 1_000.0);
}

fn per_vm(world: &World, seconds: f64) {
    println!(
        "{:<8} {:>10} {:>10} {:>12} {:>12} {:>12} {:>12} {:>10}",
        "vm",
        "memory MB",
        "peak MB",
        "ctl sent B/s",
        "ctl recv B/s",
        "all sent",
        "all recv",
        "core %"
    );
    for vm in 1..=world.shape.vms {
        let stats = &world.stats[&vm];
        let (sent, received) = control(world, vm);
        let all = stats.bytes("");
        let mark = if world.placers.values().any(|placer| *placer == vm) {
            "p"
        } else if world.tables_leader == vm {
            "t"
        } else {
            ""
        };
        println!(
            "{:<8} {:>10} {:>10} {:>12} {:>12} {:>12} {:>12} {:>10}",
            format!("vm-{vm}{mark}"),
            number(meters::live(vm) / 1e6),
            number(meters::peak(vm) / 1e6),
            number(sent / seconds),
            number(received / seconds),
            number(to_f64(all.0) / seconds),
            number(to_f64(all.1) / seconds),
            number(to_f64(stats.total_ns()) / seconds / 1e7),
        );
    }
}

fn classes(stats: &Stats, seconds: f64) {
    for (direction, flows) in [("sent", &stats.sent), ("received", &stats.received)] {
        for (class, flow) in flows {
            println!(
                "  {direction:<9} {class:<20} {:>10} ({})",
                number(to_f64(flow.bytes) / seconds),
                number(to_f64(flow.messages) / seconds),
            );
        }
    }
    for (class, cost) in &stats.cost {
        println!(
            "  processor {class:<20} {:>10} us each, {} % of a core",
            number(to_f64(cost.ns) / 1_000.0 / to_f64(cost.events.max(1))),
            number(to_f64(cost.ns) / seconds / 1e7),
        );
    }
}

fn peak(world: &mut World) {
    world.reset();
    let seconds = 10;
    for number in 0..STARTS_PER_S * seconds {
        for of in 0..world.shape.domains {
            world.submit(of, 3, 1_000_000 + number, 1_000);
        }
        world.run_for(1_000 / STARTS_PER_S);
    }
    println!("{} starts/s over {seconds} s:", STARTS_PER_S * 10);
    per_vm(world, to_f64(seconds));
    world.waits_ms.sort_unstable();
    let waits = &world.waits_ms;
    let at = |percent: usize| waits.get((waits.len() * percent / 100).min(waits.len() - 1));
    println!(
        "starts {}, wait until start: median {:?}, p99 {:?}, longest {:?} ms",
        waits.len(),
        at(50),
        at(99),
        waits.last()
    );
    let most = world
        .stats
        .values()
        .max_by_key(|stats| stats.syncs)
        .expect("VMs");
    println!(
        "persists/s {}, syncs/s {}, log B/s {}",
        most.persists / seconds,
        most.syncs / seconds,
        most.log_bytes / seconds
    );
    world.run_for(3_000);
    let verdicts: &BTreeMap<_, _> = &world.verdicts;
    println!("verdicts {verdicts:?}");
}

fn change(world: &mut World) {
    world.reset();
    let tables = world.shape.tables(99);
    let sent_ms = world.now_ms;
    world.change("at-target", 1, &tables);
    world.run_for(6_000);
    let in_force = world.in_force.values().filter(|(version, _)| *version == 2);
    let (count, last) = in_force.fold((0, 0), |(n, last), (_, at)| (n + 1, last.max(*at)));
    println!(
        "change of the tables with 700 quotas: in force on {count} VMs after {} ms",
        last.saturating_sub(sent_ms)
    );
    let leader = &world.stats[&world.tables_leader];
    println!(
        "tables leader sent {} B of tables messages in 6 s",
        leader.bytes("tables").0
    );
}
