//! Rate limit of log lines, so that a burst of failures does not flood the log.

use crate::types::Time;

/// Lines of one event that are written per second; on-call work needs examples, not every line.
const LINES_PER_SECOND: f64 = 100.0;

/// Lines of one event that are written at once after a quiet period, as at the start of a fault.
const BURST_LINES: f64 = 400.0;

/// Token bucket for the log lines of one event.
#[derive(Clone, Debug)]
pub struct LineQuota {
    updated_at: Time,
    available: f64,
    dropped: u64,
}

impl LineQuota {
    /// Creates a full quota.
    #[must_use]
    pub const fn full() -> Self {
        Self {
            updated_at: Time(0),
            available: BURST_LINES,
            dropped: 0,
        }
    }

    /// Returns the number of lines dropped since the last admitted one, or `None` to drop this
    /// line.
    pub fn admit(&mut self, now: Time) -> Option<u64> {
        let span = now.since(self.updated_at);
        self.updated_at = now;
        self.available = (self.available + span.as_secs_f64() * LINES_PER_SECOND).min(BURST_LINES);
        if self.available < 1.0 {
            self.dropped += 1;
            return None;
        }
        self.available -= 1.0;
        Some(std::mem::take(&mut self.dropped))
    }
}
