//! Workloads in virtual time, for the scheduler and for simple baselines.
//!
//! All random values are derived from a seed, so each run gives the same results.

pub(crate) mod baseline;
pub(crate) mod fleet;
pub(crate) mod measure;
pub(crate) mod mixes;
pub(crate) mod placer;
pub(crate) mod stats;
pub(crate) mod world;

/// Returns a pseudo-random number that depends on the seed, its purpose and its sequence number.
pub(crate) fn draw(seed: u64, purpose: u64, number: u64) -> u64 {
    let mut z = seed
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
        .wrapping_add(purpose.wrapping_mul(0xd1b5_4a32_d192_ed03))
        .wrapping_add(number);
    for _ in 0..2 {
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^= z >> 31;
    }
    z
}
