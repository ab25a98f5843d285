//! Measures the slot time that each rank uses, over an exponentially decaying window.

use std::time::Duration;

use crate::types::{Rank, Time};

/// Decaying integrals of the running statements of each rank and of the usable slots.
#[derive(Clone, Debug)]
pub struct SlotUsage {
    window_us: f64,
    updated_at: Time,
    used_us: [f64; Rank::COUNT],
    capacity_us: f64,
}

impl SlotUsage {
    /// Creates an empty measurement with the time constant `window`.
    pub fn new(window: Duration) -> Self {
        Self {
            window_us: as_micros(window),
            updated_at: Time::default(),
            used_us: [0.0; Rank::COUNT],
            capacity_us: 0.0,
        }
    }

    /// Replaces the time constant.
    pub fn set_window(&mut self, window: Duration) {
        self.window_us = as_micros(window);
    }

    /// Accounts for the time since the last call, in which `running` statements of each rank ran on
    /// `slots` usable slots.
    pub fn advance(&mut self, now: Time, running: &[usize; Rank::COUNT], slots: usize) {
        let elapsed_us = now.0.saturating_sub(self.updated_at.0);
        if elapsed_us == 0 {
            return;
        }
        self.updated_at = now;
        let decay = (-(elapsed_us as f64) / self.window_us).exp();
        let gain_us = self.window_us * (1.0 - decay);
        for (used, running) in self.used_us.iter_mut().zip(running) {
            *used = *used * decay + *running as f64 * gain_us;
        }
        self.capacity_us = self.capacity_us * decay + slots as f64 * gain_us;
    }

    /// Returns the time up to which the use is accounted for.
    pub const fn updated_at(&self) -> Time {
        self.updated_at
    }

    /// Returns the share of the usable slot time that `rank` used.
    pub fn used_share(&self, rank: Rank) -> f64 {
        if self.capacity_us <= 0.0 {
            return 0.0;
        }
        self.used_us[rank.index()] / self.capacity_us
    }
}

fn as_micros(window: Duration) -> f64 {
    (window.as_micros() as f64).max(1.0)
}
