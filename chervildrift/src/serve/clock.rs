//! Conversion between the instants of the process and the time that the core uses.

use std::time::{Duration, Instant};

use chervildrift_core::types::Time;

/// Clock that counts from its own start.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts at zero.
    pub(super) fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the current time.
    pub(super) fn now(self) -> Time {
        self.time(Instant::now())
    }

    /// Converts an instant to a time; instants before the clock's start become zero.
    pub(super) fn time(self, instant: Instant) -> Time {
        Time::default() + instant.saturating_duration_since(self.start)
    }

    /// Converts a time to an instant.
    pub(super) fn instant(self, time: Time) -> Instant {
        self.start + Duration::from_micros(time.0)
    }
}
