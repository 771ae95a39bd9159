//! Serde functions for bytes as base64 text with padding, for use with `#[serde(with)]`.

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::{Deserialize, Deserializer, Serializer, de::Error};

/// Serialises bytes as base64 text.
///
/// # Errors
///
/// Fails if the serializer fails.
pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&STANDARD.encode(bytes))
}

/// Deserialises bytes from base64 text.
///
/// # Errors
///
/// Fails if the text is not base64 with padding.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    STANDARD.decode(text).map_err(D::Error::custom)
}
