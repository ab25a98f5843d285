//! Limit on the connections of a VM to one upstream.
//!
//! Every VM is entitled to an equal share. If the upstream refuses a connection nevertheless, for
//! example while connections of a lost VM linger, the VM keeps the connections that it has and
//! raises its limit again step by step. It tries one connection at a time until one is accepted, and
//! less often the longer the upstream refuses: after a loss of power or a cut, many VMs take over
//! from others at the same time, before the upstream has dropped the connections of the lost ones.

use std::time::Duration;

use crate::types::Time;

/// Time from a refusal or an increase until the limit is raised by one.
///
/// Connections of a lost VM linger at an upstream for seconds, so capacity returns slowly.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum time between two attempts to open a connection after refusals; an upstream drops the
/// connections of a lost VM after three seconds.
const MAX_ATTEMPT_INTERVAL: Duration = Duration::from_millis(1600);

/// Limit on the connections to one upstream.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimit {
    share: usize,
    limit: usize,
    changed_at: Time,
    /// Time of the last refusal or attempt after it, until a connection is accepted.
    refused_at: Option<Time>,
    /// Time until the next attempt after a refusal.
    attempt_interval: Duration,
}

impl ConnectionLimit {
    /// Creates a limit for a VM that is entitled to `share` connections.
    #[must_use]
    pub const fn new(share: usize) -> Self {
        Self {
            share,
            limit: share,
            changed_at: Time(0),
            refused_at: None,
            attempt_interval: RECOVERY_INTERVAL,
        }
    }

    /// Returns the connections that the VM is entitled to.
    #[must_use]
    pub const fn share(&self) -> usize {
        self.share
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

    /// Returns whether a connection may be opened now, and counts that as an attempt.
    pub fn attempt(&mut self, now: Time) -> bool {
        if !self.is_attempt_due(now) {
            return false;
        }
        if self.refused_at.is_some() {
            self.refused_at = Some(now);
            self.attempt_interval = (self.attempt_interval * 2).min(MAX_ATTEMPT_INTERVAL);
        }
        true
    }

    /// Records that the upstream accepted a connection.
    pub const fn record_accepted(&mut self) {
        self.refused_at = None;
        self.attempt_interval = RECOVERY_INTERVAL;
    }

    /// Records that the upstream refused a connection while `open_count` others were open.
    pub fn record_refusal(&mut self, now: Time, open_count: usize) {
        self.limit = self.limit.min(open_count).max(1);
        self.changed_at = now;
        self.refused_at = Some(now);
    }

    fn is_attempt_due(&self, now: Time) -> bool {
        self.refused_at
            .is_none_or(|at| now.since(at) >= self.attempt_interval)
    }

    /// Raises the limit by one if the interval has passed, and returns whether it did.
    pub fn recover(&mut self, now: Time) -> bool {
        let due = now.since(self.changed_at) >= RECOVERY_INTERVAL
            && self.limit < self.share
            && self.is_attempt_due(now);
        if due {
            self.limit += 1;
            self.changed_at = now;
        }
        due
    }
}
