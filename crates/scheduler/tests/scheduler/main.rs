//! Behaviour of the scheduler in virtual time.

mod faults;
mod gangs;
mod invariants;
mod order;
mod room;
mod support;
