//! Configuration of the property tests of every package.
//!
//! The cases are the same in each run, so that a commit passes or fails for good. `PROPTEST_RNG_SEED` draws
//! others, and `PROPTEST_CASES` sets their number.

use std::env;

use proptest::{prelude::ProptestConfig, test_runner::RngSeed};

/// Seed of the cases that are drawn without `PROPTEST_RNG_SEED`.
const SEED: u64 = 1;

/// Returns a configuration with the same cases in each run.
#[must_use]
pub fn seeded() -> ProptestConfig {
    let mut config = ProptestConfig::default();
    if config.rng_seed == RngSeed::Random {
        config.rng_seed = RngSeed::Fixed(SEED);
    }
    // Cases that failed are drawn again by their seed.
    config.failure_persistence = None;
    config
}

/// Returns a configuration with the same cases in each run, for a property that usually needs another number
/// of them.
#[must_use]
pub fn seeded_cases(usual: u32) -> ProptestConfig {
    let mut config = seeded();
    if env::var_os("PROPTEST_CASES").is_none() {
        config.cases = usual;
    }
    config
}
