//! Digests of callers' API keys.

use std::fmt;

use serde::{Deserialize, Serialize};

/// SHA-256 digest of an API key. Keys themselves are not passed between VMs or compared.
#[derive(Clone, Copy, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ApiKeyDigest(pub [u8; 32]);

/// Omits the digest, which would let a reader of logs test guesses of a key.
impl fmt::Debug for ApiKeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKeyDigest(..)")
    }
}
