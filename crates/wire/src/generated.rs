//! Code generated from the schemas in `proto` by the test in `tests/generated.rs`.
//!
//! The generator does not write for Clippy's pedantic group, so that group is off here.

#![allow(clippy::pedantic)]

/// Messages and durable records of consensus groups.
#[rustfmt::skip]
pub mod consensus;
/// JSON bodies of the HTTP interface.
#[rustfmt::skip]
pub mod http;
/// Messages between nodes, commands and states.
#[rustfmt::skip]
pub mod node;
/// Identifiers, sizes, tables and verdicts.
#[rustfmt::skip]
pub mod types;
