//! Seed and case count of randomised tests.

use proptest::test_runner::{Config, RngSeed};

/// Returns the proptest configuration with the seed and case count of the environment.
pub fn cases(default: u32) -> Config {
    let number = |name: &str| std::env::var(name).ok()?.parse().ok();
    Config {
        cases: number("CHERVILDRIFT_CASES").map_or(default, |count: u64| count as u32),
        rng_seed: RngSeed::Fixed(number("CHERVILDRIFT_SEED").unwrap_or(1)),
        failure_persistence: None,
        ..Config::default()
    }
}
