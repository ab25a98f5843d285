//! Quota of log lines, so that a flood of failures does not become a flood of lines.

use crate::types::Time;

/// Lines a second that are written of one event; on-call work needs examples, not every line.
const LINES_PER_SECOND: f64 = 100.0;

/// Lines that are written at once after a quiet time, as at the start of a fault.
const BURST_LINES: f64 = 400.0;

/// Quota of the lines of one event.
#[derive(Clone, Debug)]
pub struct LineQuota {
    updated_at: Time,
    available: f64,
    dropped: u64,
}

impl LineQuota {
    /// Opens a full quota.
    #[must_use]
    pub const fn full() -> Self {
        Self {
            updated_at: Time(0),
            available: BURST_LINES,
            dropped: 0,
        }
    }

    /// Takes a line; returns how many were dropped since the last one, or `None` if this one is too.
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
