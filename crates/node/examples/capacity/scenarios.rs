//! Series of measurements, one for each parameter of the target.

use super::{
    meters,
    roles::{add_costs, roles, sample, to_f64},
    series::Series,
    shape::Shape,
    simulation::Simulation,
};

/// Time over which traffic is counted.
const WINDOW_MS: u32 = 20_000;

fn ready(shape: Shape) -> Simulation {
    meters::reset_accounts();
    Simulation::ready(shape, meters::meters())
}

/// Adds the values of each role over the next `WINDOW_MS`.
fn measure_window(series: &mut Series, sim: &mut Simulation) {
    sim.reset();
    sim.run_for(WINDOW_MS.into());
    sample(series, sim, WINDOW_MS);
}

/// Measures the effect of the number of idle workers in a domain.
pub fn workers() {
    let mut series = Series::new("workers", "workers per domain, 3 domains");
    for workers in [100, 200, 300, 400] {
        let mut sim = ready(Shape {
            workers: workers * 3,
            ..Shape::roles()
        });
        series.begin_size(workers);
        measure_window(&mut series, &mut sim);
        let classes = [
            "announcement",
            "announce",
            "lease reply",
            "heartbeat",
            "tick",
        ];
        add_costs(&mut series, &sim, &classes);
    }
    series.print();
}

/// Measures the effect of running tasks, all recorded in the ledger of a domain with 100 workers.
pub fn running_tasks() {
    let mut series = Series::new("running tasks", "tasks of the domain, 100 workers");
    for tasks in [500, 1_000, 1_500, 2_000] {
        let mut sim = ready(Shape::roles());
        for number in 0..tasks {
            sim.submit(0, 1, u64::from(number), 10_000_000);
            sim.run_for(2);
        }
        sim.run_for(5_000);
        series.begin_size(tasks);
        series.add("running", to_f64(sim.running() as u64));
        measure_window(&mut series, &mut sim);
        add_costs(&mut series, &sim, &["lease reply", "announcement", "tick"]);
    }
    series.print();
}

/// Measures the memory of finished requests whose records the ledger keeps.
pub fn records() {
    let mut series = Series::new("ledger records", "finished requests of the domain");
    for records in [2_000, 4_000, 8_000, 12_000] {
        let mut sim = ready(Shape::roles());
        for number in 0..records {
            sim.submit(0, 1, u64::from(number), 200);
            sim.run_for(4);
        }
        sim.run_for(5_000);
        series.begin_size(records);
        let ran = sim.verdicts.get("ran").copied().unwrap_or(0);
        series.add("ran", to_f64(ran));
        for (role, vm) in roles(&sim) {
            series.add(format!("{role}: memory B"), meters::live_bytes(vm));
            series.add(format!("{role}: peak memory B"), meters::peak_bytes(vm));
        }
    }
    series.print();
}

/// Adds the traffic, log bytes and processor time of ten changes of the tables.
fn measure_changes(series: &mut Series, sim: &mut Simulation) {
    const CHANGES: u32 = 10;
    let idle = idle_tables_bytes(sim);
    sim.reset();
    let mut slowest_ms = 0;
    for number in 0..CHANGES {
        let before = sim.in_force.values().map(|(version, _)| *version).max();
        let version = before.expect("tables in force");
        let tables = sim.shape.tables(2 + number);
        let sent_ms = sim.now_ms;
        sim.change(&format!("change-{number}"), version, &tables);
        sim.run_for(2_000);
        let all = sim.in_force.values();
        assert!(all.clone().all(|(v, _)| *v == version + 1), "not in force");
        let last = all.map(|(_, at_ms)| *at_ms).max().expect("VMs");
        slowest_ms = slowest_ms.max(last - sent_ms);
    }
    series.add(
        "slowest change, ms until in force everywhere",
        to_f64(slowest_ms),
    );
    let tables: Vec<(&str, u32)> = roles(sim);
    for (role, vm) in tables {
        let (sent, received) = sim.stats[&vm].bytes("tables");
        let base = idle
            .iter()
            .find(|(r, _)| *r == role)
            .map_or(0.0, |(_, b)| *b);
        let bytes = to_f64(sent + received) - base * f64::from(2 * CHANGES);
        let per_change = bytes / f64::from(CHANGES);
        series.add(format!("{role}: tables B per change"), per_change);
    }
    let body = sim.stats[&1].bytes("operator").1;
    series.add("operator's body B", to_f64(body) / f64::from(CHANGES));
    let logged: u64 = sim
        .stats
        .values()
        .map(|stats| stats.log_bytes)
        .max()
        .unwrap_or(0);
    series.add(
        "log B per change, largest",
        to_f64(logged) / f64::from(CHANGES),
    );
    let ns: u64 = ["change", "tables append", "tables apply", "tables other"]
        .iter()
        .filter_map(|class| {
            let vms = sim.stats.values();
            vms.filter_map(|s| s.cost.get(class)).map(|c| c.ns).max()
        })
        .sum();
    let us = to_f64(ns) / 1_000.0 / f64::from(CHANGES);
    series.add("processor us per change, busiest VM of each step", us);
}

/// Returns the traffic of the tables group without changes, in bytes per second, by role.
fn idle_tables_bytes(sim: &mut Simulation) -> Vec<(&'static str, f64)> {
    sim.reset();
    sim.run_for(10_000);
    let bytes = roles(sim).into_iter().map(|(role, vm)| {
        let (sent, received) = sim.stats[&vm].bytes("tables");
        (role, to_f64(sent + received) / 10.0)
    });
    bytes.collect()
}

/// Measures the effect of the number of tenants with quotas.
pub fn tenants() {
    let mut series = Series::new("tenants", "tenants with quotas");
    for tenants in [100, 300, 500, 700] {
        let mut sim = ready(Shape {
            tenants,
            workers: 30,
            ..Shape::roles()
        });
        series.begin_size(tenants);
        for (role, vm) in roles(&sim) {
            series.add(format!("{role}: memory B"), meters::live_bytes(vm));
        }
        measure_changes(&mut series, &mut sim);
    }
    series.print();
}

/// Measures the effect of the number of routes.
pub fn routes() {
    let mut series = Series::new("routes", "routes");
    for routes in [20, 40, 80, 160] {
        let mut sim = ready(Shape {
            routes,
            workers: 30,
            ..Shape::roles()
        });
        series.begin_size(routes);
        for (role, vm) in roles(&sim) {
            series.add(format!("{role}: memory B"), meters::live_bytes(vm));
        }
        measure_changes(&mut series, &mut sim);
    }
    series.print();
}

/// Measures the effect of the number of VMs, in three domains without workers.
pub fn vms() {
    let mut series = Series::new("entry VMs, no workers", "entry VMs, 3 domains");
    for vms in [9, 12, 15, 18, 24] {
        let mut sim = ready(Shape {
            vms,
            workers: 0,
            ..Shape::roles()
        });
        series.begin_size(vms);
        measure_window(&mut series, &mut sim);
        add_costs(&mut series, &sim, &["heartbeat", "tick"]);
    }
    series.print();
}

/// Measures the effect of the number of failure domains, and so of ledger groups, on 20 VMs.
pub fn groups() {
    let mut series = Series::new("ledger groups, no workers", "ledger groups, 20 entry VMs");
    for domains in [4, 5, 8, 10] {
        let mut sim = ready(Shape {
            domains,
            vms: 20,
            workers: 0,
            ..Shape::roles()
        });
        series.begin_size(domains);
        measure_window(&mut series, &mut sim);
        let messages: u64 = sim.stats.values().map(|s| s.messages("ledger").0).sum();
        series.add("ledger messages/s, all VMs", to_f64(messages) / 20.0);
    }
    series.print();
}

/// Measures the effect of task starts per second; kind 0 is idempotent, kind 1 is recorded in the
/// ledger.
pub fn starts(kind: u32, title: &'static str) {
    let mut series = Series::new(title, "starts/s in the domain, 100 workers");
    for rate in [10_u32, 20, 40, 80] {
        let mut sim = ready(Shape::roles());
        sim.reset();
        let interval_ms = u64::from(1_000 / rate);
        for number in 0..u64::from(rate * 10) {
            sim.submit(0, kind, number, 500);
            sim.run_for(interval_ms);
        }
        series.begin_size(rate);
        let seconds = f64::from(rate) * 10.0 * f64::from(1_000 / rate) / 1_000.0;
        for (role, vm) in roles(&sim) {
            let stats = &sim.stats[&vm];
            let (sent, received) = stats.bytes("work");
            series.add(format!("{role}: work sent B/s"), to_f64(sent) / seconds);
            series.add(
                format!("{role}: work received B/s"),
                to_f64(received) / seconds,
            );
            let us = to_f64(stats.total_ns()) / 1_000.0;
            series.add(format!("{role}: processor us/s"), us / seconds);
            series.add(
                format!("{role}: persists/s"),
                to_f64(stats.persists) / seconds,
            );
            series.add(format!("{role}: syncs/s"), to_f64(stats.syncs) / seconds);
            series.add(
                format!("{role}: log B/s"),
                to_f64(stats.log_bytes) / seconds,
            );
        }
        sim.waits_ms.sort_unstable();
        let slowest = sim.waits_ms.last().copied().unwrap_or(0);
        series.add("longest wait until start, ms", to_f64(slowest));
    }
    series.print();
}
