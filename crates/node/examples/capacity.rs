//! Measures the resources that each role of a node uses: memory, messages, bytes, processor time,
//! syncs.
//!
//! Run with `cargo run --release -p acaciareel-node --example capacity -- PART...`; without a part
//! all parts run. `docs/CAPACITY.md` computes the target from the slopes that this program prints.

#[path = "capacity/fleet.rs"]
mod fleet;
#[path = "capacity/meters.rs"]
mod meters;
#[path = "capacity/roles.rs"]
mod roles;
#[path = "capacity/scenarios.rs"]
mod scenarios;
#[path = "capacity/series.rs"]
mod series;
#[path = "capacity/shape.rs"]
mod shape;
#[path = "capacity/simulation.rs"]
mod simulation;
#[path = "capacity/stats.rs"]
mod stats;
#[path = "capacity/target.rs"]
mod target;

const PARTS: &[(&str, fn())] = &[
    ("workers", scenarios::workers),
    ("tasks", scenarios::running_tasks),
    ("records", scenarios::records),
    ("tenants", scenarios::tenants),
    ("routes", scenarios::routes),
    ("vms", scenarios::vms),
    ("groups", scenarios::groups),
    ("starts", || {
        scenarios::starts(1, "task starts recorded in the ledger");
        scenarios::starts(0, "task starts of idempotent requests");
    }),
    ("target-20", || target::target(20)),
    ("target-12", || target::target(12)),
];

fn main() {
    let chosen: Vec<String> = std::env::args().skip(1).collect();
    for (name, part) in PARTS {
        if chosen.is_empty() || chosen.iter().any(|choice| choice == name) {
            let start = std::time::Instant::now();
            part();
            println!("[{name}: {:.1} s]", start.elapsed().as_secs_f64());
        }
    }
}
