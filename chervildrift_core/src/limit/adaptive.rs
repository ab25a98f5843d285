//! Concurrency limit that follows the service time of an upstream.
//!
//! At the end of each short window the limit is multiplied by tolerated over observed slowness and
//! raised by a headroom that grows with its square root. A healthy upstream is thus pushed back to
//! its declared slots, while a slow one settles at a limit below them that still does work.

use std::time::Duration;

use crate::types::Time;

/// Shortest window over which slowness is averaged.
const MIN_WINDOW: Duration = Duration::from_millis(50);

/// Fewest samples that a window is judged by; single service times spread too much.
const MIN_SAMPLES: u32 = 8;

/// Longest wait for that many samples; a stuck upstream finishes too few statements to count.
const MAX_WINDOW: Duration = Duration::from_millis(500);

/// Slowness up to which the limit is not lowered.
const TOLERATED_SLOWNESS: f64 = 2.0;

/// Slowness that a failed statement counts as.
const FAILED_SLOWNESS: f64 = 8.0;

/// Factor below which one window never takes the limit.
const MIN_FACTOR: f64 = 0.5;

/// Part of the limit's square root that is added in each window.
const HEADROOM_FACTOR: f64 = 0.5;

/// Limit below which the upstream would get nothing and could not show that it is well again.
const MIN_LIMIT: f64 = 1.0;

/// What a finished statement says about its upstream.
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
    slowness_sum: f64,
    samples: u32,
}

impl AdaptiveLimit {
    /// Opens a limit at the declared `slots`.
    #[must_use]
    pub const fn new(slots: usize) -> Self {
        Self {
            slots,
            limit: slots as f64,
            window_start: Time(0),
            slowness_sum: 0.0,
            samples: 0,
        }
    }

    /// Returns the number of statements that may run at once.
    #[must_use]
    pub fn limit(&self) -> usize {
        (self.limit as usize).min(self.slots)
    }

    /// Tells whether the limit is below the declared slots.
    #[must_use]
    pub fn is_lowered(&self) -> bool {
        self.limit() < self.slots
    }

    /// Replaces the declared slots; a limit that was not lowered follows them.
    pub fn resize(&mut self, slots: usize) {
        let ratio = self.limit / self.slots.max(1) as f64;
        self.slots = slots;
        self.limit = self.clamp(ratio * slots as f64);
    }

    /// Takes in a finished statement. Refusals of the proxy itself must not be passed here.
    pub fn observe(&mut self, now: Time, observation: Observation) {
        if self.samples == 0 {
            self.window_start = now;
        }
        self.slowness_sum += match observation {
            Observation::Answered(ratio) => ratio.min(FAILED_SLOWNESS),
            Observation::Failed => FAILED_SLOWNESS,
        };
        self.samples += 1;
        if self.is_window_complete(now) {
            self.adjust();
        }
    }

    fn is_window_complete(&self, now: Time) -> bool {
        let span = now.since(self.window_start);
        let enough = span >= MIN_WINDOW && self.samples >= MIN_SAMPLES;
        enough || span >= MAX_WINDOW
    }

    fn adjust(&mut self) {
        let slowness = self.slowness_sum / f64::from(self.samples);
        let factor = (TOLERATED_SLOWNESS / slowness.max(f64::EPSILON)).clamp(MIN_FACTOR, 1.0);
        let headroom = HEADROOM_FACTOR * self.limit.sqrt();
        self.limit = self.clamp(self.limit * factor + headroom);
        self.slowness_sum = 0.0;
        self.samples = 0;
    }

    fn clamp(&self, limit: f64) -> f64 {
        limit.min(self.slots as f64).max(MIN_LIMIT)
    }
}
