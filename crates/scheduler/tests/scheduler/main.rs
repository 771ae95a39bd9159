//! Tests of the scheduler's behaviour in virtual time.

mod capacity;
mod faults;
mod gangs;
#[allow(dead_code)] // Only the benchmarks use the other items.
#[path = "../../benches/harness/harness.rs"]
mod harness;
mod invariants;
mod measures;
mod order;
mod overload;
mod support;
