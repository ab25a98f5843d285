//! Throttle of an entry: sheds a kind of work in proportion to what its dispatcher refuses.
//!
//! The load of a dispatcher tells that a request has no chance, but near the edge of its queue it
//! takes some and refuses most. An entry then forwards a little more than what was taken lately.

use std::time::Duration;

use crate::rng::Rng;
use crate::types::Time;

/// Requests forwarded for each one that was taken lately.
///
/// The excess keeps the dispatcher's queue full and finds out when there is room again. An excess
/// of half as much, with a window of a second, sheds urgent work for seconds after a fault.
const FORWARD_RATIO: f64 = 2.0;

/// Time constant over which requests are counted.
const COUNT_WINDOW: Duration = Duration::from_millis(300);

/// Requests counted beyond which shedding starts, so that a rare kind is always tried.
const MIN_REQUESTS: f64 = 2.0;

/// Decaying counts of the requests of one kind for one dispatcher.
#[derive(Clone, Debug, Default)]
pub struct Throttle {
    updated_at: Time,
    requests: f64,
    accepted: f64,
}

impl Throttle {
    /// Opens a throttle that sheds nothing yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request and tells whether it may be forwarded.
    pub fn admit(&mut self, now: Time, rng: &mut Rng) -> bool {
        self.decay(now);
        let excess = self.requests - MIN_REQUESTS - FORWARD_RATIO * self.accepted;
        let shed = excess / (self.requests + 1.0);
        self.requests += 1.0;
        rng.unit_f64() >= shed
    }

    /// Counts a request that the dispatcher did not refuse.
    pub fn record_accepted(&mut self, now: Time) {
        self.decay(now);
        self.accepted += 1.0;
    }

    fn decay(&mut self, now: Time) {
        let span = now.since(self.updated_at).as_secs_f64();
        if span <= 0.0 {
            return;
        }
        self.updated_at = now;
        let decay_factor = (-span / COUNT_WINDOW.as_secs_f64()).exp();
        self.requests *= decay_factor;
        self.accepted *= decay_factor;
    }
}
