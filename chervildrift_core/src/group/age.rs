//! Bounded history of the primary's positions.

use std::collections::VecDeque;
use std::time::Duration;

use crate::types::{LogPosition, Time};

/// Number of the newest samples, kept one by one; about 25 s at ten reads a second.
const FINE_SAMPLES: usize = 256;

/// Number of older samples, kept at [`COARSE_STEP`]; replicas lag by minutes at times.
const COARSE_SAMPLES: usize = 1_024;

/// Least distance of two older samples.
const COARSE_STEP: Duration = Duration::from_secs(1);

/// A position of the primary and the send time of the last read that showed it.
#[derive(Clone, Copy, Debug)]
struct LogSample {
    sent: Time,
    position: LogPosition,
}

/// Bounded history of the primary's positions.
///
/// A sample that was dropped makes the age of a lagging upstream overstated, never understated.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    fine: VecDeque<LogSample>,
    coarse: VecDeque<LogSample>,
    verified: Time,
}

impl History {
    /// Records a position of the primary.
    pub(super) fn record(&mut self, sent: Time, position: LogPosition) {
        if let Some(last) = self.fine.back_mut() {
            if last.position == position {
                last.sent = last.sent.max(sent);
                return;
            }
            if last.sent > sent {
                return;
            }
        }
        if self.fine.len() == FINE_SAMPLES {
            self.retire();
        }
        self.fine.push_back(LogSample { sent, position });
    }

    /// Notes that no later term had started at `sent`.
    pub(super) fn verify(&mut self, sent: Time) {
        self.verified = self.verified.max(sent);
    }

    /// Ends the current term: its samples count only up to the last verified time.
    pub(super) fn change_term(&mut self) {
        let verified = self.verified;
        for sample in self.fine.iter_mut().chain(&mut self.coarse) {
            sample.sent = sample.sent.min(verified);
        }
    }

    /// Returns the last time at which a log that ends at `applied` was complete.
    pub(super) fn current(&self, applied: LogPosition) -> Option<Time> {
        let mut newest = self.fine.iter().rev().chain(self.coarse.iter().rev());
        let sample = newest.find(|sample| applied.covers(sample.position))?;
        Some(sample.sent.min(self.verified))
    }

    /// Moves the oldest fine sample to the coarse ones, or drops it if it is close to the last.
    fn retire(&mut self) {
        let Some(sample) = self.fine.pop_front() else {
            return;
        };
        let last = self.coarse.back().map(|last| last.sent);
        if last.is_some_and(|last| sample.sent.since(last) < COARSE_STEP) {
            return;
        }
        if self.coarse.len() == COARSE_SAMPLES {
            self.coarse.pop_front();
        }
        self.coarse.push_back(sample);
    }
}
