//! Client-side throttle of an entry: sheds requests of a kind in proportion to its dispatcher's
//! refusals.
//!
//! The reported load of a dispatcher rules out requests that have no chance, but near the limit of
//! its queue the dispatcher accepts some requests and refuses most. The entry then forwards only a
//! little more than what was accepted recently.

use std::time::Duration;

use crate::rng::Rng;
use crate::types::Time;

/// Requests forwarded for each one accepted recently.
///
/// The excess keeps the dispatcher's queue full and detects when there is room again. Half this
/// ratio, with a window of one second, sheds urgent requests for seconds after a fault.
const FORWARD_RATIO: f64 = 2.0;

/// Time constant with which the counts decay.
const COUNT_WINDOW: Duration = Duration::from_millis(300);

/// Number of counted requests above which shedding starts, so that a rare kind is always forwarded.
const MIN_REQUESTS: f64 = 2.0;

/// Decaying counts of the requests of one kind for one dispatcher.
#[derive(Clone, Debug, Default)]
pub struct Throttle {
    updated_at: Time,
    requests: f64,
    accepted: f64,
}

impl Throttle {
    /// Creates a throttle that sheds nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request and returns whether it may be forwarded.
    pub fn admit(&mut self, now: Time, rng: &mut Rng) -> bool {
        self.decay(now);
        let excess = self.requests - MIN_REQUESTS - FORWARD_RATIO * self.accepted;
        let shed = excess / (self.requests + 1.0);
        self.requests += 1.0;
        rng.unit_f64() >= shed
    }

    /// Counts a request that the dispatcher accepted.
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
