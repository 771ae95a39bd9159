//! The hash FNV-1a with 64 bits, which gives the same numbers on every VM and in every process.

/// Value with which a hash begins.
pub(crate) const START: u64 = 0xcbf2_9ce4_8422_2325;
/// Odd number that spreads the low bits of a hash over its high ones (golden ratio).
pub(crate) const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;
const FACTOR: u64 = 0x0000_0100_0000_01b3;

/// Extends a hash by some parts.
pub(crate) fn extend(hash: u64, parts: impl IntoIterator<Item = u64>) -> u64 {
    let parts = parts.into_iter();
    parts.fold(hash, |hash, part| (hash ^ part).wrapping_mul(FACTOR))
}
