//! Workload mixes of the two deployments.

use acaciareel_types::{
    Accelerators, Connections, CpuMillicores, MemoryBytes, Policy, RawRow, RawTables, Resources,
    Slots, Tables,
};

/// One kind of a mix. Demand and run time are the declared ones; the actual ones vary around them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KindSpec {
    pub(crate) name: &'static str,
    pub(crate) class: usize,
    pub(crate) effect: &'static str,
    pub(crate) tasks: u32,
    pub(crate) cpu_millicores: u32,
    pub(crate) memory_mb: u64,
    pub(crate) connections: u32,
    pub(crate) run_ms: u64,
    pub(crate) time_limit_ms: u64,
    /// Share of the offered load, in percent of the capacity of the kind's scarcest resource.
    pub(crate) load_percent: u64,
}

impl KindSpec {
    pub(crate) fn demand(&self) -> Resources {
        Resources {
            cpu_millicores: CpuMillicores(self.cpu_millicores),
            memory_bytes: MemoryBytes(self.memory_mb * 1_000_000),
            accelerators: Accelerators(0),
            slots: Slots(1),
            connections: Connections(self.connections),
        }
    }
}

/// A deployment: its failure domains, workers and kinds.
#[derive(Clone, Debug)]
pub(crate) struct Mix {
    pub(crate) name: &'static str,
    pub(crate) domains: usize,
    pub(crate) workers: usize,
    pub(crate) workers_per_rack: usize,
    pub(crate) policy: Policy,
    pub(crate) kinds: Vec<KindSpec>,
}

/// Capacity of the standard worker in both deployments.
pub(crate) fn worker_capacity() -> Resources {
    Resources {
        cpu_millicores: CpuMillicores(30_000),
        memory_bytes: MemoryBytes(130_000_000_000),
        accelerators: Accelerators(0),
        slots: Slots(8),
        connections: Connections(60),
    }
}

const URGENT: usize = 0;
const STANDARD: usize = 1;
const BATCH: usize = 2;

const BASE: KindSpec = KindSpec {
    name: "",
    class: STANDARD,
    effect: "exclusive",
    tasks: 1,
    cpu_millicores: 0,
    memory_mb: 0,
    connections: 1,
    run_ms: 0,
    time_limit_ms: 0,
    load_percent: 0,
};

/// Ledgers for pigeon races: verification, audit, ring lookup and crediting.
pub(crate) fn loftbook() -> Mix {
    let kinds = vec![
        KindSpec {
            name: "verification",
            cpu_millicores: 4_000,
            memory_mb: 12_000,
            connections: 4,
            run_ms: 800,
            time_limit_ms: 30_000,
            load_percent: 50,
            ..BASE
        },
        KindSpec {
            name: "audit",
            class: BATCH,
            cpu_millicores: 8_000,
            memory_mb: 36_000,
            connections: 6,
            run_ms: 8_000,
            time_limit_ms: 300_000,
            load_percent: 38,
            ..BASE
        },
        KindSpec {
            name: "ring-lookup",
            class: URGENT,
            effect: "idempotent",
            cpu_millicores: 500,
            memory_mb: 1_000,
            run_ms: 50,
            time_limit_ms: 5_000,
            load_percent: 6,
            ..BASE
        },
        KindSpec {
            name: "crediting",
            effect: "once",
            cpu_millicores: 1_000,
            memory_mb: 2_000,
            run_ms: 150,
            time_limit_ms: 10_000,
            load_percent: 6,
            ..BASE
        },
    ];
    Mix {
        name: "Loftbook",
        domains: 3,
        workers: 50,
        workers_per_rack: 8,
        policy: Policy::Batch,
        kinds,
    }
}

/// Bicycle fitting: analysis, recalculation, slot check, slot booking and gangs.
pub(crate) fn vandermeulen() -> Mix {
    let kinds = vec![
        KindSpec {
            name: "posture-analysis",
            class: BATCH,
            cpu_millicores: 6_000,
            memory_mb: 24_000,
            connections: 4,
            run_ms: 12_000,
            time_limit_ms: 600_000,
            load_percent: 45,
            ..BASE
        },
        KindSpec {
            name: "saddle-recalculation",
            effect: "idempotent",
            cpu_millicores: 3_000,
            memory_mb: 8_000,
            connections: 2,
            run_ms: 1_500,
            time_limit_ms: 60_000,
            load_percent: 25,
            ..BASE
        },
        KindSpec {
            name: "slot-check",
            class: URGENT,
            effect: "idempotent",
            cpu_millicores: 250,
            memory_mb: 500,
            run_ms: 40,
            time_limit_ms: 3_000,
            load_percent: 4,
            ..BASE
        },
        KindSpec {
            name: "slot-booking",
            effect: "once",
            cpu_millicores: 500,
            memory_mb: 1_000,
            run_ms: 120,
            time_limit_ms: 10_000,
            load_percent: 4,
            ..BASE
        },
        KindSpec {
            name: "fitting-gang",
            tasks: 6,
            cpu_millicores: 5_000,
            memory_mb: 10_000,
            connections: 4,
            run_ms: 4_000,
            time_limit_ms: 300_000,
            load_percent: 22,
            ..BASE
        },
    ];
    Mix {
        name: "Vandermeulen",
        domains: 4,
        workers: 50,
        workers_per_rack: 6,
        policy: Policy::Gang,
        kinds,
    }
}

fn row(name: &str, settings: &[(&str, String)]) -> RawRow {
    let settings = settings.iter().map(|(k, v)| ((*k).into(), v.clone()));
    RawRow {
        name: name.into(),
        settings: settings.collect(),
    }
}

impl Mix {
    /// Returns the tables of the mix, with one pool that contains all workers.
    pub(crate) fn tables(&self) -> Tables {
        let routes = self.kinds.iter().map(|kind| {
            let settings = [
                ("pool", "all".to_owned()),
                ("effect", kind.effect.to_owned()),
                ("class", ["urgent", "standard", "batch"][kind.class].into()),
                ("cpu_millicores", kind.cpu_millicores.to_string()),
                ("memory_bytes", (kind.memory_mb * 1_000_000).to_string()),
                ("connections", kind.connections.to_string()),
                ("tasks", kind.tasks.to_string()),
                ("time_limit_ms", kind.time_limit_ms.to_string()),
                ("run_time_ms", kind.run_ms.to_string()),
            ];
            row(kind.name, &settings)
        });
        let pool = [
            ("groups", "fleet".to_owned()),
            ("policy", self.policy.to_string()),
        ];
        let raw = RawTables {
            routes: routes.collect(),
            pools: vec![row("all", &pool)],
            quotas: Vec::new(),
        };
        Tables::try_from(&raw).expect("valid tables")
    }

    /// Returns the number of jobs of a kind that arrive in 1,000 s at a load in percent of the
    /// capacity.
    pub(crate) fn arrivals_per_1000_s(&self, kind: &KindSpec, load_percent: u64) -> u64 {
        let capacity = worker_capacity();
        let cpu = u64::from(kind.cpu_millicores) * 1_000_000 / u64::from(capacity.cpu_millicores.0);
        let memory = kind.memory_mb * 1_000_000 / (capacity.memory_bytes.0 / 1_000_000);
        let slot = 1_000_000 / u64::from(capacity.slots.0);
        // Share of one worker's scarcest resource that a task takes.
        let share_ppm = cpu.max(memory).max(slot);
        let workers = self.workers as u64;
        let offered_ppm = workers * 1_000_000 * load_percent / 100 * kind.load_percent / 100;
        offered_ppm * 1_000_000 / (share_ppm * u64::from(kind.tasks) * kind.run_ms)
    }
}
