//! Generated wire types and their checked conversions.
//!
//! Protobuf is used between daemons and in files, JSON for the HTTP bodies. Decoding allocates in
//! proportion to the input, so it is enough that callers bound the input.

pub mod base64_text;
mod convert;
mod error;
mod field;
mod generated;
mod group_record;
pub mod headers;

pub use crate::{
    error::{DecodeError, Fields, decode},
    field::{Field, Nested},
    generated::{commands, consensus, http, node, types},
    group_record::GroupRecord,
};
