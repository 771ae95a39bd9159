//! One series of measurements for each parameter of the target.

use super::{
    meters,
    roles::{costs, roles, sample, to_f64},
    series::Series,
    shape::Shape,
    world::World,
};

/// Time over which traffic is counted.
const WINDOW_MS: u32 = 20_000;

fn ready(shape: Shape) -> World {
    meters::reset_accounts();
    World::ready(shape, meters::meters())
}

fn window(series: &mut Series, world: &mut World) {
    world.reset();
    world.run_for(WINDOW_MS.into());
    sample(series, world, WINDOW_MS);
}

/// Workers of a domain, idle.
pub fn workers() {
    let mut series = Series::new("workers", "workers per domain, 3 domains");
    for workers in [100, 200, 300, 400] {
        let mut world = ready(Shape {
            workers: workers * 3,
            ..Shape::roles()
        });
        series.size(workers);
        window(&mut series, &mut world);
        let classes = [
            "announcement",
            "announce",
            "lease reply",
            "heartbeat",
            "tick",
        ];
        costs(&mut series, &world, &classes);
    }
    series.print();
}

/// Running tasks of a domain with 100 workers, all recorded in its ledger.
pub fn running_tasks() {
    let mut series = Series::new("running tasks", "tasks of the domain, 100 workers");
    for tasks in [500, 1_000, 1_500, 2_000] {
        let mut world = ready(Shape::roles());
        for number in 0..tasks {
            world.submit(0, 1, u64::from(number), 10_000_000);
            world.run_for(2);
        }
        world.run_for(5_000);
        series.size(tasks);
        series.add("running", to_f64(world.running() as u64));
        window(&mut series, &mut world);
        costs(
            &mut series,
            &world,
            &["lease reply", "announcement", "tick"],
        );
    }
    series.print();
}

/// Finished requests that the ledger keeps.
pub fn records() {
    let mut series = Series::new("ledger records", "finished requests of the domain");
    for records in [2_000, 4_000, 8_000, 12_000] {
        let mut world = ready(Shape::roles());
        for number in 0..records {
            world.submit(0, 1, u64::from(number), 200);
            world.run_for(4);
        }
        world.run_for(5_000);
        series.size(records);
        let ran = world.verdicts.get("ran").copied().unwrap_or(0);
        series.add("ran", to_f64(ran));
        for (role, vm) in roles(&world) {
            series.add(format!("{role}: memory B"), meters::live(vm));
            series.add(format!("{role}: peak memory B"), meters::peak(vm));
        }
    }
    series.print();
}

/// Adds what ten changes of the tables cost.
fn changes(series: &mut Series, world: &mut World) {
    const CHANGES: u32 = 10;
    let idle = idle_tables_bytes(world);
    world.reset();
    let mut slowest_ms = 0;
    for number in 0..CHANGES {
        let before = world.in_force.values().map(|(version, _)| *version).max();
        let version = before.expect("tables in force");
        let tables = world.shape.tables(2 + number);
        let sent_ms = world.now_ms;
        world.change(&format!("change-{number}"), version, &tables);
        world.run_for(2_000);
        let all = world.in_force.values();
        assert!(all.clone().all(|(v, _)| *v == version + 1), "not in force");
        let last = all.map(|(_, at_ms)| *at_ms).max().expect("VMs");
        slowest_ms = slowest_ms.max(last - sent_ms);
    }
    series.add(
        "slowest change, ms until in force everywhere",
        to_f64(slowest_ms),
    );
    let tables: Vec<(&str, u32)> = roles(world);
    for (role, vm) in tables {
        let (sent, received) = world.stats[&vm].bytes("tables");
        let base = idle
            .iter()
            .find(|(r, _)| *r == role)
            .map_or(0.0, |(_, b)| *b);
        let bytes = to_f64(sent + received) - base * f64::from(2 * CHANGES);
        let per_change = bytes / f64::from(CHANGES);
        series.add(format!("{role}: tables B per change"), per_change);
    }
    let body = world.stats[&1].bytes("operator").1;
    series.add("operator's body B", to_f64(body) / f64::from(CHANGES));
    let logged: u64 = world
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
            let vms = world.stats.values();
            vms.filter_map(|s| s.cost.get(class)).map(|c| c.ns).max()
        })
        .sum();
    let us = to_f64(ns) / 1_000.0 / f64::from(CHANGES);
    series.add("processor us per change, dearest VM of each step", us);
}

/// Returns the bytes per second of the idle tables group by role.
fn idle_tables_bytes(world: &mut World) -> Vec<(&'static str, f64)> {
    world.reset();
    world.run_for(10_000);
    let bytes = roles(world).into_iter().map(|(role, vm)| {
        let (sent, received) = world.stats[&vm].bytes("tables");
        (role, to_f64(sent + received) / 10.0)
    });
    bytes.collect()
}

/// Tenants with quotas.
pub fn tenants() {
    let mut series = Series::new("tenants", "tenants with quotas");
    for tenants in [100, 300, 500, 700] {
        let mut world = ready(Shape {
            tenants,
            workers: 30,
            ..Shape::roles()
        });
        series.size(tenants);
        for (role, vm) in roles(&world) {
            series.add(format!("{role}: memory B"), meters::live(vm));
        }
        changes(&mut series, &mut world);
    }
    series.print();
}

/// Routes.
pub fn routes() {
    let mut series = Series::new("routes", "routes");
    for routes in [20, 40, 80, 160] {
        let mut world = ready(Shape {
            routes,
            workers: 30,
            ..Shape::roles()
        });
        series.size(routes);
        for (role, vm) in roles(&world) {
            series.add(format!("{role}: memory B"), meters::live(vm));
        }
        changes(&mut series, &mut world);
    }
    series.print();
}

/// VMs without workers, in three domains.
pub fn vms() {
    let mut series = Series::new("entry VMs, no workers", "entry VMs, 3 domains");
    for vms in [9, 12, 15, 18, 24] {
        let mut world = ready(Shape {
            vms,
            workers: 0,
            ..Shape::roles()
        });
        series.size(vms);
        window(&mut series, &mut world);
        costs(&mut series, &world, &["heartbeat", "tick"]);
    }
    series.print();
}

/// Failure domains, hence ledger groups, over the same VMs.
pub fn groups() {
    let mut series = Series::new("ledger groups, no workers", "ledger groups, 20 entry VMs");
    for domains in [4, 5, 8, 10] {
        let mut world = ready(Shape {
            domains,
            vms: 20,
            workers: 0,
            ..Shape::roles()
        });
        series.size(domains);
        window(&mut series, &mut world);
        let messages: u64 = world.stats.values().map(|s| s.messages("ledger").0).sum();
        series.add("ledger messages/s, all VMs", to_f64(messages) / 20.0);
    }
    series.print();
}

/// Task starts per second; kind 0 is idempotent, kind 1 is recorded in the ledger.
pub fn starts(kind: u32, title: &'static str) {
    let mut series = Series::new(title, "starts/s in the domain, 100 workers");
    for rate in [10_u32, 20, 40, 80] {
        let mut world = ready(Shape::roles());
        world.reset();
        let interval_ms = u64::from(1_000 / rate);
        for number in 0..u64::from(rate * 10) {
            world.submit(0, kind, number, 500);
            world.run_for(interval_ms);
        }
        series.size(rate);
        let seconds = f64::from(rate) * 10.0 * f64::from(1_000 / rate) / 1_000.0;
        for (role, vm) in roles(&world) {
            let stats = &world.stats[&vm];
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
        world.waits_ms.sort_unstable();
        let slowest = world.waits_ms.last().copied().unwrap_or(0);
        series.add("longest wait until start, ms", to_f64(slowest));
    }
    series.print();
}
