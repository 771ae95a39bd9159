//! Measures a whole deployment of the target size in section 1.4 of the design page.

use std::collections::BTreeMap;

use super::{
    meters,
    roles::{control, to_f64},
    series::format_number,
    shape::Shape,
    simulation::Simulation,
    stats::Stats,
};

const WINDOW_MS: u32 = 20_000;
/// Pause between the start of the tasks and the measurement, in which the resends of waiting
/// requests become rarer.
const SETTLE_MS: u64 = 60_000;
/// Running tasks of a domain: 23,000 in 10 domains.
const TASKS_PER_DOMAIN: u64 = 2_300;
/// Task starts per second of a domain at the peak: 390 in 10 domains.
const STARTS_PER_S_PER_DOMAIN: u64 = 39;

/// Measures the target with the given number of entry VMs: steady state, peak of starts, a change
/// of the tables.
pub fn target(vms: u32) {
    meters::reset_accounts();
    println!("\n== target with {vms} entry VMs ==");
    let mut sim = Simulation::ready(Shape::target(vms), meters::meters());
    for number in 0..TASKS_PER_DOMAIN {
        for domain_index in 0..sim.shape.domains {
            sim.submit(domain_index, 1 + domain_index % 3, number, 10_000_000);
        }
        sim.run_for(3);
    }
    sim.run_for(SETTLE_MS);
    println!(
        "running tasks {}, placers {:?}",
        sim.running(),
        sim.placers.values()
    );
    measure_steady_state(&mut sim);
    measure_peak(&mut sim);
    measure_change(&mut sim);
    println!(
        "resident memory of the whole process: {} MB",
        format_number(meters::resident_bytes() / 1e6)
    );
}

fn measure_steady_state(sim: &mut Simulation) {
    sim.reset();
    meters::reset_peaks();
    sim.run_for(WINDOW_MS.into());
    println!("steady state over {} s:", WINDOW_MS / 1_000);
    print_per_vm(sim, f64::from(WINDOW_MS) / 1_000.0);
    let busiest = (1..=sim.shape.vms).max_by_key(|vm| sim.stats[vm].bytes("").1);
    let vm = busiest.expect("VMs");
    println!("classes of vm-{vm}, B/s (messages/s):");
    print_classes(&sim.stats[&vm], f64::from(WINDOW_MS) / 1_000.0);
}

/// Prints memory, traffic and processor time of each VM; `p` marks placers, `t` the tables leader.
fn print_per_vm(sim: &Simulation, seconds: f64) {
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
    for vm in 1..=sim.shape.vms {
        let stats = &sim.stats[&vm];
        let (sent, received) = control(sim, vm);
        let all = stats.bytes("");
        let mark = if sim.placers.values().any(|placer| *placer == vm) {
            "p"
        } else if sim.tables_leader == vm {
            "t"
        } else {
            ""
        };
        println!(
            "{:<8} {:>10} {:>10} {:>12} {:>12} {:>12} {:>12} {:>10}",
            format!("vm-{vm}{mark}"),
            format_number(meters::live_bytes(vm) / 1e6),
            format_number(meters::peak_bytes(vm) / 1e6),
            format_number(sent / seconds),
            format_number(received / seconds),
            format_number(to_f64(all.0) / seconds),
            format_number(to_f64(all.1) / seconds),
            format_number(to_f64(stats.total_ns()) / seconds / 1e7),
        );
    }
}

/// Prints traffic by class and processor time by class of event.
fn print_classes(stats: &Stats, seconds: f64) {
    for (direction, flows) in [("sent", &stats.sent), ("received", &stats.received)] {
        for (class, flow) in flows {
            println!(
                "  {direction:<9} {class:<20} {:>10} ({})",
                format_number(to_f64(flow.bytes) / seconds),
                format_number(to_f64(flow.messages) / seconds),
            );
        }
    }
    for (class, cost) in &stats.cost {
        println!(
            "  processor {class:<20} {:>10} us each, {} % of a core",
            format_number(to_f64(cost.ns) / 1_000.0 / to_f64(cost.events.max(1))),
            format_number(to_f64(cost.ns) / seconds / 1e7),
        );
    }
}

fn measure_peak(sim: &mut Simulation) {
    sim.reset();
    let seconds = 10;
    for number in 0..STARTS_PER_S_PER_DOMAIN * seconds {
        for domain_index in 0..sim.shape.domains {
            sim.submit(domain_index, 3, 1_000_000 + number, 1_000);
        }
        sim.run_for(1_000 / STARTS_PER_S_PER_DOMAIN);
    }
    println!(
        "{} starts/s over {seconds} s:",
        STARTS_PER_S_PER_DOMAIN * 10
    );
    print_per_vm(sim, to_f64(seconds));
    sim.waits_ms.sort_unstable();
    let waits = &sim.waits_ms;
    let percentile_ms =
        |percent: usize| waits.get((waits.len() * percent / 100).min(waits.len() - 1));
    println!(
        "starts {}, wait until start: median {:?}, p99 {:?}, longest {:?} ms",
        waits.len(),
        percentile_ms(50),
        percentile_ms(99),
        waits.last()
    );
    let busiest = sim
        .stats
        .values()
        .max_by_key(|stats| stats.syncs)
        .expect("VMs");
    println!(
        "persists/s {}, syncs/s {}, log B/s {}",
        busiest.persists / seconds,
        busiest.syncs / seconds,
        busiest.log_bytes / seconds
    );
    sim.run_for(3_000);
    let verdicts: &BTreeMap<_, _> = &sim.verdicts;
    println!("verdicts {verdicts:?}");
}

fn measure_change(sim: &mut Simulation) {
    sim.reset();
    let tables = sim.shape.tables(99);
    let sent_ms = sim.now_ms;
    sim.change("at-target", 1, &tables);
    sim.run_for(6_000);
    let in_force = sim.in_force.values().filter(|(version, _)| *version == 2);
    let (count, last) = in_force.fold((0, 0), |(n, last), (_, at)| (n + 1, last.max(*at)));
    println!(
        "change of the tables with 700 quotas: in force on {count} VMs after {} ms",
        last.saturating_sub(sent_ms)
    );
    let leader = &sim.stats[&sim.tables_leader];
    println!(
        "tables leader sent {} B of tables messages in 6 s",
        leader.bytes("tables").0
    );
}
