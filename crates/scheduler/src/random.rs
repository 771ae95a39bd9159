//! Seeded pseudo-random numbers.

/// Mixes a number so that neighbouring inputs give unrelated outputs.
///
/// This is the output function of `SplitMix64` (Steele, Lea and Flood 2014).
pub(crate) const fn mix(input: u64) -> u64 {
    let z = input.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
