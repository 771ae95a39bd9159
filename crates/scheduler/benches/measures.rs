//! Waiting time and packing of the scheduler and of simple baselines, in virtual time.
//!
//! Run with `cargo bench -p acaciareel-scheduler --bench measures`. All results except the wall
//! times of `speed` are the same on every run and machine.

#[allow(dead_code)]
#[path = "harness/harness.rs"]
mod harness;

use std::time::Instant;

use crate::harness::{
    baseline::Rule,
    fleet::Fleet,
    measure,
    mixes::{loftbook, vandermeulen},
    stats::{Stats, percentile},
};

fn print_stats(name: &str, load_percent: u64, label: &str, stats: &Stats) {
    let classes = stats.classes.iter().map(|class| {
        format!(
            "p50 {} p99 {} mean {} ms, {} in time, {} late, {} refused",
            class.wait_ms(50),
            class.wait_ms(99),
            class.mean_wait_us() / 1_000,
            class.in_time,
            class.late,
            class.refused
        )
    });
    println!(
        "{name} {load_percent}% {label}: mean wait {} us, packing {:.1}%, work in time {}, examined p99 {}, {} preempted",
        stats.mean_wait_us(),
        f64::from(u32::try_from(stats.packing_ppm()).unwrap_or(u32::MAX)) / 10_000.0,
        stats.useful_work / 1_000_000,
        percentile(&stats.examined, 99),
        stats.preempted,
    );
    for (class, line) in ["urgent", "standard", "batch"].iter().zip(classes) {
        println!("    {class:9}{line}");
    }
}

/// Prints the wall time of placements on one core. Only these results depend on the machine.
fn print_speed(workers: u64) {
    const STEPS: u32 = 50_000;
    let mut fleet = Fleet::new(workers);
    let before = fleet.running();
    let mut examined = Vec::new();
    let mut times_ns: Vec<u64> = Vec::new();
    let start = Instant::now();
    for _ in 0..STEPS {
        let step_start = Instant::now();
        let cost = fleet.step();
        times_ns.push(u64::try_from(step_start.elapsed().as_nanos()).unwrap_or(u64::MAX));
        if cost.tasks > 0 {
            examined.push(cost.max_examined_per_task.into());
        }
    }
    let per_s = f64::from(STEPS) / start.elapsed().as_secs_f64();
    println!(
        "{workers} workers, {before} to {} running tasks: {per_s:.0} placements/s, p50 {} us, p99 {} us, \
         max {} us, examined p50 {} p99 {} max {}",
        fleet.running(),
        percentile(&times_ns, 50) / 1_000,
        percentile(&times_ns, 99) / 1_000,
        percentile(&times_ns, 100) / 1_000,
        percentile(&examined, 50),
        percentile(&examined, 99),
        percentile(&examined, 100),
    );
}

fn main() {
    // Cargo passes `--bench`. Any other argument is a filter by name, as in other benchmarks.
    let filter = std::env::args().skip(1).find(|arg| !arg.starts_with("--"));
    if filter.as_ref().is_none_or(|filter| filter == "speed") {
        for workers in [50, 500, 3_700] {
            print_speed(workers);
        }
    }
    if filter.as_ref().is_none_or(|filter| filter == "off") {
        for mix in [loftbook(), vandermeulen()] {
            for (load, run_time, usage) in [
                (300, 100, 80),
                (30, 1_000, 80),
                (300, 10, 80),
                (90, 100, 400),
                (90, 100, 25),
            ] {
                let stats = measure::misdeclared(mix.clone(), load, run_time, usage);
                let label = format!("run times {run_time}%, usage {usage}%");
                print_stats(mix.name, load, &label, &stats);
            }
        }
    }
    if filter.as_ref().is_none_or(|filter| filter == "saturated") {
        print_stats(
            "Vandermeulen",
            100,
            "slot checks among analyses",
            &measure::saturated(),
        );
    }
    for mix in [loftbook(), vandermeulen()] {
        for load_percent in [70, 90, 130] {
            let name = format!("{} {load_percent}", mix.name);
            if filter
                .as_ref()
                .is_some_and(|filter| !name.contains(filter.as_str()))
            {
                continue;
            }
            print_stats(
                mix.name,
                load_percent,
                "scheduler",
                &measure::scheduler(&mix, load_percent),
            );
            for rule in Rule::ALL {
                let stats = measure::baseline(&mix, load_percent, rule);
                print_stats(mix.name, load_percent, &format!("{rule:?}"), &stats);
            }
        }
    }
}
