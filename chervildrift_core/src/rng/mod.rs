//! Seeded pseudo-random numbers, so that a run can be repeated from its seed.

use std::time::Duration;

/// Increment of the splitmix64 generator.
const GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// Splitmix64 generator.
#[derive(Clone, Debug)]
pub struct Rng {
    state: u64,
}

impl Rng {
    /// Creates a generator with `seed` as its state.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// Returns the next 64-bit number.
    pub const fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(GAMMA);
        mix(self.state)
    }

    /// Returns a number below `bound`, or 0 if `bound` is 0.
    pub const fn below(&mut self, bound: u64) -> u64 {
        // Taking the high half of the product has negligible bias for bounds far below 2^64.
        ((self.next() as u128 * bound as u128) >> 64) as u64
    }

    /// Returns a number in `0.0..1.0`.
    pub const fn unit_f64(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Returns a random duration in `0..span`.
    pub const fn jitter(&mut self, span: Duration) -> Duration {
        Duration::from_nanos(self.below(span.as_nanos() as u64))
    }
}

/// Applies the splitmix64 finalizer, which is also the hash of rendezvous placement.
#[must_use]
pub const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
