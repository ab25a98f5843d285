//! Time of the process as the core sees it.

use std::time::{Duration, Instant};

use chervildrift_core::types::Time;

/// Clock that starts with the process.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    start: Instant,
}

impl Clock {
    /// Opens a clock that reads zero now.
    pub(super) fn open() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time now.
    pub(super) fn now(self) -> Time {
        self.time(Instant::now())
    }

    /// Converts an instant.
    pub(super) fn time(self, instant: Instant) -> Time {
        Time::default() + instant.saturating_duration_since(self.start)
    }

    /// Converts a time back to an instant.
    pub(super) fn instant(self, time: Time) -> Instant {
        self.start + Duration::from_micros(time.0)
    }
}
