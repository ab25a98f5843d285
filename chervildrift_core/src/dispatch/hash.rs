//! Hash of job ids.

use std::hash::{BuildHasherDefault, Hasher};

use crate::rng::mix;

/// Builds the hashers of a table keyed by job id.
pub type IdHash = BuildHasherDefault<IdHasher>;

/// Scrambles one number; the program itself makes the ids, so that no caller can pick colliding
/// ones.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdHasher(u64);

impl Hasher for IdHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.write_u64(u64::from(*byte));
        }
    }

    fn write_u64(&mut self, i: u64) {
        self.0 = mix(self.0 ^ i);
    }
}
