//! Limit on the connections of a VM to one upstream.
//!
//! Every VM is entitled to an equal share. If the upstream refuses a connection nevertheless, for
//! example while connections of a lost VM linger, the VM keeps the connections that it has and
//! raises its limit again step by step.

use std::time::Duration;

use crate::types::Time;

/// Time from a refusal or an increase until the limit is raised by one.
///
/// Connections of a lost VM linger at an upstream for seconds, so capacity returns slowly.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(200);

/// Limit on the connections to one upstream.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimit {
    share: usize,
    limit: usize,
    changed_at: Time,
}

impl ConnectionLimit {
    /// Creates a limit for a VM that is entitled to `share` connections.
    #[must_use]
    pub const fn new(share: usize) -> Self {
        Self {
            share,
            limit: share,
            changed_at: Time(0),
        }
    }

    /// Returns the current limit.
    #[must_use]
    pub const fn get(&self) -> usize {
        self.limit
    }

    /// Sets the share and resets the limit to it, if it has changed.
    pub const fn resize(&mut self, share: usize) {
        if self.share != share {
            self.share = share;
            self.limit = share;
        }
    }

    /// Records that the upstream refused a connection while `open_count` others were open.
    pub fn record_refusal(&mut self, now: Time, open_count: usize) {
        self.limit = self.limit.min(open_count).max(1);
        self.changed_at = now;
    }

    /// Raises the limit by one if the interval has passed, and returns whether it did.
    pub fn recover(&mut self, now: Time) -> bool {
        let due = now.since(self.changed_at) >= RECOVERY_INTERVAL && self.limit < self.share;
        if due {
            self.limit += 1;
            self.changed_at = now;
        }
        due
    }
}
