//! Learned interval between the starts of a rank's waiting jobs, from which waits are estimated.
//!
//! Answers the load of an upstream that serves a rank slower than its slots and service times
//! suggest: statements of open transactions take slots without a wait in the queue, other holders
//! fill the upstream's own queue, or the upstream is cold, slow or hangs. A queue that does not
//! move is as slow as the time since its last start.

use std::time::Duration;

use crate::types::Time;

/// Weight of a new interval; about as many starts decide as a few slots make in one service time.
const INTERVAL_WEIGHT: f64 = 1.0 / 16.0;

/// Intervals after which the mean is used.
const WARM_UP_INTERVALS: u32 = 8;

/// Interval between the starts of the waiting jobs of one rank.
#[derive(Clone, Copy, Debug, Default)]
pub struct StartInterval {
    samples: u32,
    mean_us: f64,
    /// Time of the last start, or since which jobs have been waiting.
    since: Time,
    /// Whether no job was started since then.
    has_begun: bool,
}

impl StartInterval {
    /// Records that a job began to wait while none waited.
    pub const fn begin(&mut self, now: Time) {
        self.since = now;
        self.has_begun = true;
    }

    /// Records that a waiting job was started.
    pub fn record_start(&mut self, now: Time) {
        let interval_us = now.since(self.since).as_micros() as f64;
        let is_immediate = std::mem::take(&mut self.has_begun) && interval_us <= 0.0;
        self.since = now;
        if is_immediate {
            // The job found a free slot, which says nothing about a queue.
            return;
        }
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(INTERVAL_WEIGHT);
        self.mean_us += weight * (interval_us - self.mean_us);
    }

    /// Estimates the wait behind `jobs_ahead` jobs, `None` while too few intervals are known.
    pub fn estimate_wait(&self, now: Time, jobs_ahead: f64) -> Option<Duration> {
        if self.samples < WARM_UP_INTERVALS {
            return None;
        }
        let stalled_us = now.since(self.since).as_micros() as f64;
        // The job itself is one of the starts since the last one.
        let due_us = (jobs_ahead + 1.0) * self.mean_us - stalled_us;
        let wait_us = due_us.max(jobs_ahead * self.mean_us).max(stalled_us);
        Some(Duration::from_micros(wait_us as u64))
    }
}
