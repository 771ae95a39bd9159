//! Selects one VM of each role and adds its measurements to a series.

use acaciareel_node::GroupId;
use acaciareel_types::VmId;

use super::{fleet::domain, meters, series::Series, simulation::Simulation};

/// Returns one VM of each role, as far as the deployment has one. All of them are also entry VMs
/// and hold the tables.
pub fn roles(sim: &Simulation) -> Vec<(&'static str, u32)> {
    let groups = sim.shape.groups();
    let leader = sim.placer(0);
    let ledger = &groups.get(&GroupId::Ledger(domain(0))).expect("ledger");
    let own = sim.shape.vms_of(0);
    let follower = own
        .iter()
        .find(|vm| **vm != leader && ledger.contains(&VmId(**vm)));
    let learner = own
        .iter()
        .find(|vm| groups.values().all(|voters| !voters.contains(&VmId(**vm))));
    let mut roles = vec![("ledger leader", leader)];
    roles.extend(follower.map(|vm| ("ledger follower", *vm)));
    roles.push(("tables leader", sim.tables_leader));
    roles.extend(learner.map(|vm| ("entry, tables learner", *vm)));
    roles
}

/// Adds memory, control traffic and processor time of each role; the counts must cover `window_ms`.
pub fn sample(series: &mut Series, sim: &Simulation, window_ms: u32) {
    let seconds = f64::from(window_ms) / 1_000.0;
    for (role, vm) in roles(sim) {
        let stats = &sim.stats[&vm];
        series.add(format!("{role}: memory B"), meters::live_bytes(vm));
        let (sent, received) = control(sim, vm);
        series.add(format!("{role}: control sent B/s"), sent / seconds);
        series.add(format!("{role}: control received B/s"), received / seconds);
        let (sent, received) = stats.messages("");
        let messages = to_f64(sent + received);
        series.add(format!("{role}: messages/s"), messages / seconds);
        let us = to_f64(stats.total_ns()) / 1_000.0;
        series.add(format!("{role}: processor us/s"), us / seconds);
    }
}

/// Returns sent and received bytes of control traffic, which is all except requests, answers and
/// their ledger entries.
pub fn control(sim: &Simulation, vm: u32) -> (f64, f64) {
    let stats = &sim.stats[&vm];
    let (all, work) = (stats.bytes(""), stats.bytes("work"));
    (to_f64(all.0 - work.0), to_f64(all.1 - work.1))
}

/// Adds the mean processor time per event of each class, over all VMs.
pub fn add_costs(series: &mut Series, sim: &Simulation, classes: &[&str]) {
    for class in classes {
        let costs = sim.stats.values().filter_map(|s| s.cost.get(class));
        let (events, ns) = costs.fold((0, 0), |(e, n), c| (e + c.events, n + c.ns));
        let us = to_f64(ns) / 1_000.0 / to_f64(events.max(1));
        series.add(format!("processor us per {class}"), us);
    }
}

/// Converts a count; exact up to 2^53.
#[expect(clippy::cast_precision_loss, reason = "counts stay below 2^53")]
pub fn to_f64(count: u64) -> f64 {
    count as f64
}
