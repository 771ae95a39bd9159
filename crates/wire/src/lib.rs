//! Generated wire types and their checked conversions.
//!
//! Daemons exchange Protobuf messages and store them in files; HTTP bodies are JSON. Decoding
//! allocates memory in proportion to the input, so callers only need to limit the size of the
//! input.

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
