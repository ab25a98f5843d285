//! Wait of the calls that return as soon as a table of the platform's store changes.
//!
//! A call can be lost without an error, for example with a connection that has fallen silent. This
//! shows only when the call is given up, some time after its wait. A change that was made in the
//! meantime still has to be in force at all VMs within its bound, so the wait is only a part of it.

use std::time::Duration;

/// Minimum wait, so that a short bound doesn't turn the feed into polling.
const MIN_WAIT: Duration = Duration::from_millis(500);

/// Returns the wait of a call for changes that must be in force within `bound`, if it takes up to
/// `reaction` from the end of the wait of a lost call until all VMs have the change.
#[must_use]
pub fn feed_wait(bound: Duration, reaction: Duration) -> Duration {
    bound.saturating_sub(reaction).max(MIN_WAIT)
}
