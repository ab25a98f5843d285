//! Connections that a VM may hold to one upstream.
//!
//! Every VM is due an equal share. When the upstream refuses a connection all the same, such as
//! while those of a lost VM linger, the VM makes do with what it has and asks for more step by step.

use std::time::Duration;

use crate::types::Time;

/// Time after a refusal, or after a step, until the limit rises by one.
///
/// Connections of a lost VM linger at an upstream for seconds, so room comes back slowly.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(200);

/// Limit of the connections to one upstream.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimit {
    share: usize,
    limit: usize,
    changed_at: Time,
}

impl ConnectionLimit {
    /// Opens a limit for a VM that is due `share` connections.
    #[must_use]
    pub const fn new(share: usize) -> Self {
        Self {
            share,
            limit: share,
            changed_at: Time(0),
        }
    }

    /// Returns the limit.
    #[must_use]
    pub const fn get(&self) -> usize {
        self.limit
    }

    /// Takes in a changed share.
    pub const fn resize(&mut self, share: usize) {
        if self.share != share {
            self.share = share;
            self.limit = share;
        }
    }

    /// Takes in that the upstream refused a connection while `held` others were open.
    pub fn record_refusal(&mut self, now: Time, held: usize) {
        self.limit = self.limit.min(held).max(1);
        self.changed_at = now;
    }

    /// Raises the limit if it is time to; true if it has changed.
    pub fn recover(&mut self, now: Time) -> bool {
        let due = now.since(self.changed_at) >= RECOVERY_INTERVAL && self.limit < self.share;
        if due {
            self.limit += 1;
            self.changed_at = now;
        }
        due
    }
}
