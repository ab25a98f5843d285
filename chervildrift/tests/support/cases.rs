//! Settings of property tests.

use proptest::test_runner::{Config, RngSeed};

/// Returns the settings; `CHERVILDRIFT_SEED` and `CHERVILDRIFT_CASES` override seed and count.
pub fn cases(count: u32) -> Config {
    Config {
        cases: number("CHERVILDRIFT_CASES").unwrap_or(count),
        rng_seed: RngSeed::Fixed(number("CHERVILDRIFT_SEED").unwrap_or(1)),
        failure_persistence: None,
        ..Config::default()
    }
}

fn number<T: std::str::FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok()?.parse().ok()
}
