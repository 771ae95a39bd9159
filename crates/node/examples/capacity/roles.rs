//! Measures one VM of each role.

use acaciareel_node::GroupId;
use acaciareel_types::VmId;

use super::{fleet::domain, meters, series::Series, world::World};

/// Returns one VM of each role; all of them also serve as entry VMs and hold the tables.
pub fn roles(world: &World) -> Vec<(&'static str, u32)> {
    let groups = world.shape.groups();
    let leader = world.placer(0);
    let ledger = &groups.get(&GroupId::Ledger(domain(0))).expect("ledger");
    let own = world.shape.vms_of(0);
    let follower = own
        .iter()
        .find(|vm| **vm != leader && ledger.contains(&VmId(**vm)));
    let plain = own
        .iter()
        .find(|vm| groups.values().all(|voters| !voters.contains(&VmId(**vm))));
    let mut roles = vec![("ledger leader", leader)];
    roles.extend(follower.map(|vm| ("ledger follower", *vm)));
    roles.push(("tables leader", world.tables_leader));
    roles.extend(plain.map(|vm| ("entry, tables learner", *vm)));
    roles
}

/// Adds memory, control traffic and processor time of each role over a window.
pub fn sample(series: &mut Series, world: &World, window_ms: u32) {
    let seconds = f64::from(window_ms) / 1_000.0;
    for (role, vm) in roles(world) {
        let stats = &world.stats[&vm];
        series.add(format!("{role}: memory B"), meters::live(vm));
        let (sent, received) = control(world, vm);
        series.add(format!("{role}: control sent B/s"), sent / seconds);
        series.add(format!("{role}: control received B/s"), received / seconds);
        let (sent, received) = stats.messages("");
        let messages = to_f64(sent + received);
        series.add(format!("{role}: messages/s"), messages / seconds);
        let us = to_f64(stats.total_ns()) / 1_000.0;
        series.add(format!("{role}: processor us/s"), us / seconds);
    }
}

/// Returns sent and received bytes without requests, answers and their ledger entries.
pub fn control(world: &World, vm: u32) -> (f64, f64) {
    let stats = &world.stats[&vm];
    let (all, work) = (stats.bytes(""), stats.bytes("work"));
    (to_f64(all.0 - work.0), to_f64(all.1 - work.1))
}

/// Adds the mean processor time of the classes of events over all VMs.
pub fn costs(series: &mut Series, world: &World, classes: &[&str]) {
    for class in classes {
        let costs = world.stats.values().filter_map(|s| s.cost.get(class));
        let (events, ns) = costs.fold((0, 0), |(e, n), c| (e + c.events, n + c.ns));
        let us = to_f64(ns) / 1_000.0 / to_f64(events.max(1));
        series.add(format!("processor us per {class}"), us);
    }
}

/// Converts a count, exactly up to 2^53.
#[expect(clippy::cast_precision_loss, reason = "counts stay below 2^53")]
pub fn to_f64(count: u64) -> f64 {
    count as f64
}
