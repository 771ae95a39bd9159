//! Behaviour of the scheduler in virtual time.

mod room;
mod support;
