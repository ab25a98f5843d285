//! Outages of the platform's store as one VM sees them.

use std::time::Duration;

use crate::types::Time;

/// Time since which the store has not answered, if its last call failed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreOutage {
    start: Option<Time>,
}

impl StoreOutage {
    /// Records a call that was answered.
    pub const fn record_answer(&mut self) {
        self.start = None;
    }

    /// Records a call that failed at `now` and whose answer was due at `due`.
    ///
    /// A lost call fails only some time after its answer was due, so the outage counts from there.
    pub fn record_failure(&mut self, now: Time, due: Time) {
        self.start.get_or_insert(now.min(due));
    }

    /// Returns whether the last call failed.
    #[must_use]
    pub const fn has_begun(&self) -> bool {
        self.start.is_some()
    }

    /// Returns whether the store has not answered for at least `limit`.
    #[must_use]
    pub fn lasts(&self, now: Time, limit: Duration) -> bool {
        self.start.is_some_and(|start| now.since(start) >= limit)
    }
}
