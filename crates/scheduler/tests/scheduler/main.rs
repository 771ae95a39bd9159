//! Behaviour of the scheduler in virtual time.

mod faults;
mod gangs;
#[allow(dead_code)] // Benchmarks use the rest.
#[path = "../../benches/harness/harness.rs"]
mod harness;
mod invariants;
mod measures;
mod order;
mod overload;
mod room;
mod support;
