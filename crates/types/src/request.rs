//! Request of a caller.

use std::{fmt, sync::Arc};

use crate::{Attempt, IdempotencyKey, KindName, Millis, TenantName};

/// Body of a request or an answer. Its content is not interpreted; clones share the bytes.
pub type Body = Arc<[u8]>;

/// FNV-1a digest of the kind and body of a request, to detect an idempotency key that is used for
/// two different requests.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct BodyDigest(pub u64);

impl fmt::Display for BodyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Request as received from a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Kind, which selects the route.
    pub kind: KindName,
    /// Tenant, the account of the caller.
    pub tenant: TenantName,
    /// Idempotency key, the same in each resend.
    pub key: IdempotencyKey,
    /// Number of this attempt as counted by the caller, 1 for the first.
    pub attempt: Attempt,
    /// Time limit, counted from the receipt of the request.
    pub time_limit_ms: Millis,
    /// Body that the worker receives.
    pub body: Body,
}

impl Request {
    /// Returns the digest of the kind, a zero byte and the body.
    #[must_use]
    pub fn digest(&self) -> BodyDigest {
        let kind = self.kind.as_str().as_bytes();
        BodyDigest(fnv1a([kind, &[0], &self.body].into_iter().flatten()))
    }
}

/// Returns the 64-bit FNV-1a hash.
pub(crate) fn fnv1a<'a>(bytes: impl Iterator<Item = &'a u8>) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    bytes.fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    })
}

impl IdempotencyKey {
    /// Returns a hash that is the same in each process and each release of the software.
    #[must_use]
    pub fn stable_hash(&self) -> u64 {
        fnv1a(self.as_str().as_bytes().iter())
    }
}
