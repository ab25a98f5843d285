//! Bounded history of the primary's log positions.

use std::collections::VecDeque;
use std::time::Duration;

use crate::types::{LogPosition, Time};

/// Number of the newest samples, which are all kept; about 25 s at ten reads a second.
const MAX_FINE_SAMPLES: usize = 256;

/// Number of older samples, kept at [`MIN_COARSE_INTERVAL`]; replicas may lag by minutes.
const MAX_COARSE_SAMPLES: usize = 1_024;

/// Minimum interval between two older samples.
const MIN_COARSE_INTERVAL: Duration = Duration::from_secs(1);

/// Log position of the primary and the time at which the last read that showed it was sent.
#[derive(Clone, Copy, Debug)]
struct LogSample {
    sent_at: Time,
    position: LogPosition,
}

/// Bounded history of the primary's log positions.
///
/// Dropping a sample can only overstate the data age of a lagging upstream, never understate it.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    fine: VecDeque<LogSample>,
    coarse: VecDeque<LogSample>,
    verified_until: Time,
}

impl History {
    /// Records a log position of the primary.
    pub(super) fn record(&mut self, sent_at: Time, position: LogPosition) {
        if let Some(last) = self.fine.back_mut() {
            if last.position == position {
                last.sent_at = last.sent_at.max(sent_at);
                return;
            }
            if last.sent_at > sent_at {
                return;
            }
        }
        if self.fine.len() == MAX_FINE_SAMPLES {
            self.demote_oldest();
        }
        self.fine.push_back(LogSample { sent_at, position });
    }

    /// Records that no later term had started at `sent_at`.
    pub(super) fn extend_verified(&mut self, sent_at: Time) {
        self.verified_until = self.verified_until.max(sent_at);
    }

    /// Ends the current term; its samples count only up to the last verified time.
    pub(super) fn end_term(&mut self) {
        let verified = self.verified_until;
        for sample in self.fine.iter_mut().chain(&mut self.coarse) {
            sample.sent_at = sample.sent_at.min(verified);
        }
    }

    /// Returns the latest time at which a log that ends at `applied` was complete.
    pub(super) fn complete_until(&self, applied: LogPosition) -> Option<Time> {
        let mut samples = self.fine.iter().rev().chain(self.coarse.iter().rev());
        let sample = samples.find(|sample| applied.covers(sample.position))?;
        Some(sample.sent_at.min(self.verified_until))
    }

    /// Moves the oldest fine sample to the coarse ones, or drops it if it is too close to the last.
    fn demote_oldest(&mut self) {
        let Some(sample) = self.fine.pop_front() else {
            return;
        };
        let last = self.coarse.back().map(|last| last.sent_at);
        if last.is_some_and(|last| sample.sent_at.since(last) < MIN_COARSE_INTERVAL) {
            return;
        }
        if self.coarse.len() == MAX_COARSE_SAMPLES {
            self.coarse.pop_front();
        }
        self.coarse.push_back(sample);
    }
}
