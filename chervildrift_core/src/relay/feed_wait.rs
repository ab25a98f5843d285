//! Times within which a VM must hear of a table of the platform's store: the wait of the calls that
//! return as soon as it changes, and the age from which a VM doesn't rely on others any more.
//!
//! A call can be lost without an error, for example with a connection that has fallen silent. This
//! shows only when the call is given up, some time after its wait. A change that was made in the
//! meantime still has to be in force at all VMs within its bound, so the wait is only a part of it.

use std::time::Duration;

/// Minimum wait, so that a short bound doesn't turn the feed into polling.
const MIN_WAIT: Duration = Duration::from_millis(500);

/// Minimum time beyond the usual age, so that a short bound doesn't make all VMs read the store.
const MIN_DELAY_MARGIN: Duration = Duration::from_millis(500);

/// Returns the wait of a call for changes that must be in force within `bound`, if it takes up to
/// `reaction` from the end of the wait of a lost call until all VMs have the change.
#[must_use]
pub fn feed_wait(bound: Duration, reaction: Duration) -> Duration {
    bound.saturating_sub(reaction).max(MIN_WAIT)
}

/// Returns the age of a table's content from which a VM that follows others reads the table itself,
/// if changes must be in force within `bound`, reading takes up to `read_time`, and content that
/// others pass on is usually up to `usual_age` old.
#[must_use]
pub fn unconfirmed_limit(bound: Duration, read_time: Duration, usual_age: Duration) -> Duration {
    bound
        .saturating_sub(read_time)
        .max(usual_age + MIN_DELAY_MARGIN)
}
