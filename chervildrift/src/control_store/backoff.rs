//! Retries with jittered exponential backoff.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use chervildrift_core::rng::Rng;

use super::{Error, Limits};

/// Retries requests after jittered delays.
#[derive(Debug)]
pub struct Backoff {
    /// Differs between VMs, so that they don't retry in step.
    seed: u64,
    sequence: AtomicU64,
}

impl Backoff {
    /// Creates a backoff with a random seed from the operating system.
    pub fn new() -> Result<Self, Error> {
        let seed = getrandom::u64().map_err(|error| Error::Setup(error.to_string()))?;
        Ok(Self {
            seed,
            sequence: AtomicU64::new(0),
        })
    }

    /// Sends a request and retries it after transient errors, up to the limit of attempts.
    pub async fn retry<T, F: Future<Output = Result<T, Error>>>(
        &self,
        limits: &Limits,
        request: impl Fn() -> F,
    ) -> Result<T, Error> {
        let mut attempt = 1;
        loop {
            match request().await {
                Err(error) if error.is_transient() && attempt < limits.attempts => {}
                result => return result,
            }
            tokio::time::sleep(self.delay(limits, attempt)).await;
            attempt += 1;
        }
    }

    /// Returns a random delay between half and all of the maximum, which doubles with each attempt.
    fn delay(&self, limits: &Limits, attempt: u32) -> Duration {
        let max_delay = limits
            .base_backoff
            .saturating_mul(1 << attempt.saturating_sub(1).min(16));
        let number = self.sequence.fetch_add(1, Ordering::Relaxed);
        let mut rng = Rng::new(self.seed.wrapping_add(number));
        max_delay / 2 + rng.jitter(max_delay / 2)
    }
}
