//! Behaviour of the scheduler in virtual time.

mod invariants;
mod room;
mod support;
