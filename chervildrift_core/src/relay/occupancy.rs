//! Wait for a slot inside an upstream, as one of its holders estimates it.
//!
//! Answers a load that waits where no VM sees it: the holders' connections are several for each
//! slot, so statements queue in the upstream long before one waits for a connection. The holder
//! counts the exchanges that it has in flight, averages them over a short window, and assumes the
//! same number at each other holder. No upstream is asked.

use std::time::Duration;

use crate::types::Time;

/// Window of the mean number of exchanges in flight; some exchanges fall into it at any load that
/// makes others wait.
pub const OCCUPANCY_WINDOW: Duration = Duration::from_millis(200);

/// Occupied share of the slots above which an arriving statement probably waits.
const FREE_SHARE: f64 = 0.5;

/// Weight of an exchange in the mean time of exchanges.
const TIME_WEIGHT: f64 = 1.0 / 16.0;

/// Exchanges of one holder with one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Occupancy {
    executing: usize,
    mean_executing: f64,
    mean_us: f64,
    updated_at: Time,
}

impl Occupancy {
    /// Records that an exchange begins.
    pub fn start(&mut self, now: Time) {
        self.advance(now);
        self.executing += 1;
    }

    /// Records that an exchange begun at `started` has ended.
    pub fn finish(&mut self, now: Time, started: Time) {
        self.advance(now);
        self.executing = self.executing.saturating_sub(1);
        let elapsed_us = now.since(started).as_micros() as f64;
        self.mean_us += (elapsed_us - self.mean_us) * TIME_WEIGHT;
    }

    fn advance(&mut self, now: Time) {
        self.mean_executing = self.mean_at(now);
        self.updated_at = now;
    }

    fn mean_at(&self, now: Time) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let kept = (-elapsed / OCCUPANCY_WINDOW.as_secs_f64()).exp();
        let executing = self.executing as f64;
        executing + (self.mean_executing - executing) * kept
    }

    /// Returns the expected wait for one of `slots` slots, that this holder and as many others as
    /// make `holders` share evenly.
    #[must_use]
    pub fn wait(&self, now: Time, holders: usize, slots: usize) -> Duration {
        let occupied = self.mean_at(now) * holders as f64 / slots.max(1) as f64;
        // Exchanges beyond the slots wait themselves, which is part of the measured time.
        let service_us = self.mean_us / occupied.max(1.0);
        let wait_us = service_us * (occupied - FREE_SHARE).max(0.0);
        Duration::from_micros(wait_us as u64)
    }
}
