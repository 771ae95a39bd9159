//! Generated wire types and their checked conversions.
//!
//! Protobuf is used between daemons and in files, JSON for the HTTP bodies. Decoding allocates in
//! proportion to the input, so callers bound the input only.

pub mod base64_text;
mod generated;
pub mod headers;

pub use crate::generated::{consensus, http, node, types};
