//! Token bucket.

use std::time::Duration;

use super::Share;
use crate::types::Time;

/// Longest wait that is reported, for a bucket that is hardly refilled.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Token bucket that starts empty.
#[derive(Clone, Debug)]
pub struct Bucket {
    share: Share,
    tokens: f64,
    updated_at: Time,
}

impl Bucket {
    /// Creates an empty bucket.
    #[must_use]
    pub const fn empty(now: Time, share: Share) -> Self {
        Self {
            share,
            tokens: 0.0,
            updated_at: now,
        }
    }

    /// Changes the limit; tokens above the new burst are lost.
    pub fn set_share(&mut self, now: Time, share: Share) {
        self.refill(now);
        self.share = share;
        self.tokens = self.tokens.min(share.burst);
    }

    /// Takes up to `count` whole tokens and returns their number.
    pub fn take(&mut self, now: Time, count: u32) -> u32 {
        self.refill(now);
        let taken = (self.tokens as u32).min(count);
        self.tokens -= f64::from(taken);
        taken
    }

    /// Takes up to `count` whole tokens of those above half of the burst.
    pub fn take_surplus(&mut self, now: Time, count: u32) -> u32 {
        self.refill(now);
        let surplus = (self.tokens - self.share.burst / 2.0).max(0.0);
        self.take(now, count.min(surplus as u32))
    }

    /// Returns the time until there is a whole token.
    #[must_use]
    pub fn wait(&self) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0);
        let seconds = missing / self.share.rate.max(f64::MIN_POSITIVE);
        Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64()))
    }

    fn refill(&mut self, now: Time) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.tokens = (self.tokens + self.share.rate * elapsed).min(self.share.burst);
    }
}
