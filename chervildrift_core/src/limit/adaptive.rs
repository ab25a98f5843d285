//! Concurrency limit that adapts to the service time of an upstream.
//!
//! At the end of each short window the limit is multiplied by the ratio of tolerated to observed
//! slowdown and raised by a headroom in proportion to its square root. The limit of a healthy
//! upstream thus returns to its declared slots, while that of a slow one settles below them at a
//! level where the upstream still makes progress.

use std::time::Duration;

use crate::types::Time;

/// Minimum length of a window over which the slowdown is averaged.
const MIN_WINDOW: Duration = Duration::from_millis(50);

/// Minimum number of observations in a window; single service times vary too much.
const MIN_SAMPLES: u32 = 8;

/// Maximum length of a window; a stuck upstream finishes too few statements to fill one.
const MAX_WINDOW: Duration = Duration::from_millis(500);

/// Slowdown, as a multiple of the usual service time, up to which the limit is not lowered.
const TOLERATED_SLOWDOWN: f64 = 2.0;

/// Slowdown that a failed statement counts as, and maximum that an answered one counts as.
const FAILED_SLOWDOWN: f64 = 8.0;

/// Minimum factor by which one window multiplies the limit.
const MIN_FACTOR: f64 = 0.5;

/// Headroom added in each window, in units of the limit's square root.
const HEADROOM_FACTOR: f64 = 0.5;

/// Minimum limit; with less, no statement could show that the upstream has recovered.
const MIN_LIMIT: f64 = 1.0;

/// Outcome of a finished statement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// The statement was answered after this multiple of its usual service time.
    Answered(f64),
    /// The upstream failed the statement.
    Failed,
}

/// Adaptive concurrency limit of one upstream.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    slots: usize,
    limit: f64,
    window_start: Time,
    slowdown_sum: f64,
    samples: u32,
}

impl AdaptiveLimit {
    /// Creates a limit equal to the declared `slots`.
    #[must_use]
    pub const fn new(slots: usize) -> Self {
        Self {
            slots,
            limit: slots as f64,
            window_start: Time(0),
            slowdown_sum: 0.0,
            samples: 0,
        }
    }

    /// Returns the number of statements that may run concurrently.
    #[must_use]
    pub fn limit(&self) -> usize {
        (self.limit as usize).min(self.slots)
    }

    /// Returns whether the limit is below the declared slots.
    #[must_use]
    pub fn is_lowered(&self) -> bool {
        self.limit() < self.slots
    }

    /// Replaces the declared slots and scales the limit in proportion.
    pub fn resize(&mut self, slots: usize) {
        let ratio = self.limit / self.slots.max(1) as f64;
        self.slots = slots;
        self.limit = self.clamp(ratio * slots as f64);
    }

    /// Records a finished statement; refusals by the proxy itself must not be passed here.
    pub fn observe(&mut self, now: Time, observation: Observation) {
        if self.samples == 0 {
            self.window_start = now;
        }
        self.slowdown_sum += match observation {
            Observation::Answered(slowdown) => slowdown.min(FAILED_SLOWDOWN),
            Observation::Failed => FAILED_SLOWDOWN,
        };
        self.samples += 1;
        if self.is_window_complete(now) {
            self.adjust();
        }
    }

    fn is_window_complete(&self, now: Time) -> bool {
        let elapsed = now.since(self.window_start);
        let enough = elapsed >= MIN_WINDOW && self.samples >= MIN_SAMPLES;
        enough || elapsed >= MAX_WINDOW
    }

    fn adjust(&mut self) {
        let slowdown = self.slowdown_sum / f64::from(self.samples);
        let factor = (TOLERATED_SLOWDOWN / slowdown.max(f64::EPSILON)).clamp(MIN_FACTOR, 1.0);
        let headroom = HEADROOM_FACTOR * self.limit.sqrt();
        self.limit = self.clamp(self.limit * factor + headroom);
        self.slowdown_sum = 0.0;
        self.samples = 0;
    }

    fn clamp(&self, limit: f64) -> f64 {
        limit.min(self.slots as f64).max(MIN_LIMIT)
    }
}
