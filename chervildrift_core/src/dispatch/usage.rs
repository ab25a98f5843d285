//! Slot time used by each rank, over a window that decays exponentially.

use std::time::Duration;

use crate::types::{Rank, Time};

/// Integrals of running statements and of the slots available, decayed by age.
#[derive(Clone, Debug)]
pub struct Usage {
    window: f64,
    at: Time,
    used: [f64; Rank::COUNT],
    capacity: f64,
}

impl Usage {
    /// Opens an empty window of time constant `window`.
    pub fn open(window: Duration) -> Self {
        Self {
            window: micros(window),
            at: Time::default(),
            used: [0.0; Rank::COUNT],
            capacity: 0.0,
        }
    }

    /// Replaces the time constant.
    pub fn resize(&mut self, window: Duration) {
        self.window = micros(window);
    }

    /// Adds the time since the last call, in which `running` statements held `slots` slots.
    pub fn advance(&mut self, now: Time, running: &[usize; Rank::COUNT], slots: usize) {
        let span = now.0.saturating_sub(self.at.0);
        if span == 0 {
            return;
        }
        self.at = now;
        let kept = (-(span as f64) / self.window).exp();
        let gained = self.window * (1.0 - kept);
        for (used, running) in self.used.iter_mut().zip(running) {
            *used = *used * kept + *running as f64 * gained;
        }
        self.capacity = self.capacity * kept + slots as f64 * gained;
    }

    /// Returns the share of the available slot time that `rank` used.
    pub fn share(&self, rank: Rank) -> f64 {
        if self.capacity <= 0.0 {
            return 0.0;
        }
        self.used[rank.index()] / self.capacity
    }
}

fn micros(window: Duration) -> f64 {
    (window.as_micros() as f64).max(1.0)
}
