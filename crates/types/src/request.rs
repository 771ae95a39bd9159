//! A caller's request.

use std::{fmt, sync::Arc};

use crate::{Attempt, IdempotencyKey, KindName, Millis, TenantName};

/// Opaque body of a request or an answer; clones share the bytes.
pub type Body = Arc<[u8]>;

/// FNV-1a digest of a request's kind and body, to detect a key used for two requests.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct BodyDigest(pub u64);

impl fmt::Display for BodyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A request as a caller sent it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Kind of the request.
    pub kind: KindName,
    /// Account of the caller.
    pub tenant: TenantName,
    /// Key that is equal in each resend.
    pub key: IdempotencyKey,
    /// Number of this attempt as counted by the caller.
    pub attempt: Attempt,
    /// Time left from the moment of receipt.
    pub time_limit_ms: Millis,
    /// Body for the worker.
    pub body: Body,
}

impl Request {
    /// Returns the digest of kind and body.
    #[must_use]
    pub fn digest(&self) -> BodyDigest {
        let kind = self.kind.as_str().as_bytes();
        BodyDigest(fnv1a([kind, &[0], &self.body].into_iter().flatten()))
    }
}

/// FNV-1a hash, 64 bits.
pub(crate) fn fnv1a<'a>(bytes: impl Iterator<Item = &'a u8>) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    bytes.fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    })
}

impl IdempotencyKey {
    /// Returns a hash that is the same in every process and release.
    #[must_use]
    pub fn stable_hash(&self) -> u64 {
        fnv1a(self.as_str().as_bytes().iter())
    }
}
