//! Configuration of simulated deployments: VMs, voters, workers and tables.

use std::collections::BTreeMap;

use acaciareel_consensus::{Record, RestoredState, Snapshot};
use acaciareel_node::{GroupId, TablesReply};
use acaciareel_types::{
    FailureDomain, Incarnation, RawRow, RawTables, Resources, SortedVec, TableVersion, VmId,
    WorkerReport,
};

use crate::sim::{Sim, Vm, domain};

impl Sim {
    /// Starts a deployment with the same number of workers in each domain; returns once tables
    /// version 1 is in force and all workers have announced themselves.
    pub fn ready(seed: u64, per_domain: u32, workers: u32) -> Self {
        Self::ready_with(seed, per_domain, [workers; 3])
    }

    /// Like `ready`, with a number of workers for each domain.
    pub fn ready_with(seed: u64, per_domain: u32, workers: [u32; 3]) -> Self {
        let mut sim = Self::new(seed, per_domain, workers);
        sim.run_for(3_000);
        let applied = sim.apply(1, "first", 0, tables(4));
        sim.run_while(10_000, |sim| sim.applied(applied).is_none());
        let accepted = TablesReply::Accepted(TableVersion(1));
        assert_eq!(sim.applied(applied), Some(&accepted), "{}", sim.tail());
        sim.run_for(4_000);
        sim
    }
}

impl Vm {
    pub fn new(domain: FailureDomain) -> Self {
        Self {
            node: None,
            domain,
            incarnation: 1,
            seed: 0,
            process_epoch: 0,
            disk: BTreeMap::new(),
            unsynced: Vec::new(),
            paused_until_ms: 0,
            deferred_events: Vec::new(),
            tables_version: 0,
            stopped: false,
            last_disconnected_ms: 0,
            request_bytes: 0,
            sent_bytes: 0,
            received_bytes: 0,
            sent_messages: 0,
        }
    }
}

/// Applies log records to a simulated disk in the way a data folder does.
pub fn apply_records(disk: &mut RestoredState, records: Vec<Record>) {
    for record in records {
        match record {
            Record::Vote { term, voted_for } => {
                (disk.term, disk.voted_for) = (term, voted_for);
            }
            Record::Truncate { from } => disk.entries.retain(|entry| entry.index < from),
            Record::Append(entry) => disk.entries.push(entry),
            Record::Snapshot(snapshot) => {
                let Snapshot { index, .. } = snapshot;
                disk.entries.retain(|entry| entry.index > index);
                disk.snapshot = Some(snapshot);
            }
        }
    }
}

/// Returns the voters of each group. The tables group has one VM of each domain; a ledger has two
/// VMs of its own domain and one of the next domain.
pub fn voters(per_domain: u32) -> SortedVec<GroupId, Vec<VmId>> {
    let first = |index: u32| VmId(index * per_domain + 1);
    let mut groups: SortedVec<GroupId, Vec<VmId>> = SortedVec::new();
    groups.insert(GroupId::Tables, vec![first(0), first(1), first(2)]);
    for index in 0..3 {
        let own = first(index);
        let mut voters = vec![own, VmId(own.0 + 1), first((index + 1) % 3)];
        voters.sort();
        let ledger = GroupId::Ledger(domain(usize::try_from(index).expect("small")));
        groups.insert(ledger, voters);
    }
    groups
}

/// Returns the initial report of an idle worker; eight workers of a domain share a rack.
pub fn worker_report(index: usize, number: u32) -> WorkerReport {
    let mut capacity = Resources::default();
    capacity.slots.0 = 8;
    capacity.connections.0 = 60;
    capacity.cpu_millicores.0 = 30_000;
    capacity.memory_bytes.0 = 130 << 30;
    WorkerReport {
        worker: format!("w{index}-{number}").parse().expect("worker"),
        incarnation: Incarnation(1),
        sequence: 0,
        address: "127.0.0.1:1".parse().expect("address"),
        failure_domain: domain(index),
        rack: format!("r{index}-{}", number / 8).parse().expect("rack"),
        group: "lofts".parse().expect("group"),
        capacity,
        running: Vec::new(),
        token: acaciareel_types::FencingToken(0),
        leaving: false,
    }
}

fn row(name: &str, settings: &[(&str, &str)]) -> RawRow {
    let settings = settings.iter().map(|(k, v)| ((*k).into(), (*v).into()));
    RawRow {
        name: name.into(),
        settings: settings.collect(),
    }
}

/// Returns tables with the kind `season`, a gang of four tasks.
pub fn gang_tables() -> RawTables {
    let mut raw = tables(4);
    let mut gang = raw.routes[1].clone();
    gang.name = "season".into();
    gang.settings.push(("tasks".into(), "4".into()));
    raw.routes.push(gang);
    raw.pools[0].settings[1].1 = "gang".into();
    raw
}

/// Returns tables with a batch pool and the kind `audit`, which is exclusive and preemptible.
pub fn batch_tables() -> RawTables {
    let mut raw = tables(4);
    let mut audit = raw.routes[1].clone();
    audit.name = "audit".into();
    let class = audit.settings.iter_mut().find(|(key, _)| key == "class");
    class.expect("class").1 = "batch".into();
    raw.routes.push(audit);
    raw.pools[0].settings[1].1 = "batch".into();
    raw
}

/// Returns tables with the exclusive kind `audit`, two tasks of which use all processors of a
/// worker.
pub fn large_tables() -> RawTables {
    let mut raw = tables(4);
    let mut audit = raw.routes[1].clone();
    audit.name = "audit".into();
    for (key, value) in [("cpu_millicores", "15000"), ("run_time_ms", "10000")] {
        let setting = audit.settings.iter_mut().find(|(k, _)| k == key);
        setting.expect("setting").1 = value.into();
    }
    raw.routes.push(audit);
    raw
}

/// Returns tables with one kind of each effect; a different `weight` gives different tables.
pub fn tables(weight: u32) -> RawTables {
    let route = |name: &str, effect: &str, class: &str| {
        row(
            name,
            &[
                ("pool", "lofts"),
                ("effect", effect),
                ("class", class),
                ("cpu_millicores", "1000"),
                ("memory_bytes", "1048576"),
                ("time_limit_ms", "120000"),
                ("run_time_ms", "50"),
            ],
        )
    };
    RawTables {
        routes: vec![
            route("lookup", "idempotent", "urgent"),
            route("verify", "exclusive", "standard"),
            route("credit", "once", "urgent"),
        ],
        pools: vec![row("lofts", &[("groups", "lofts"), ("policy", "service")])],
        quotas: vec![row("club-1", &[("weight", &weight.to_string())])],
    }
}
