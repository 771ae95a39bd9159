//! Code generated from the schemas in `proto` by the test in `tests/generated.rs`.
//!
//! Generated code does not follow Clippy's pedantic lints, so they are disabled here.

#![allow(clippy::pedantic)]

/// Commands and states of the replicated state machines.
#[rustfmt::skip]
pub mod commands;
/// Messages and durable records of consensus groups.
#[rustfmt::skip]
pub mod consensus;
/// JSON bodies of the HTTP interface.
#[rustfmt::skip]
pub mod http;
/// Messages between nodes.
#[rustfmt::skip]
pub mod node;
/// Identifiers, sizes, tables and verdicts.
#[rustfmt::skip]
pub mod types;
