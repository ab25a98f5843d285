//! Calls that follow the store: their waits, and what their failures tell.

use std::time::Duration;

use chervildrift_core::relay::{StoreOutage, feed_wait};
use chervildrift_core::types::Time;

/// Guards against a wait that leaves no time to notice a lost call and to pass on the change.
#[test]
fn lost_call() {
    let reaction = Duration::from_millis(2_900);
    for bound in [4_000, 6_000, 8_000, 60_000].map(Duration::from_millis) {
        assert_eq!(feed_wait(bound, reaction) + reaction, bound);
    }
}

/// Guards against calls without a pause where the bound is shorter than the reaction.
#[test]
fn short_bound() {
    let wait = feed_wait(Duration::from_millis(500), Duration::from_millis(2_900));
    assert_eq!(wait, Duration::from_millis(500));
}

/// Guards against a VM that takes a silent store for available after a lost call, since the outage
/// counts only from the time at which the call was given up.
#[test]
fn overdue_answer() {
    let mut outage = StoreOutage::default();
    let (due, given_up) = (Time(3_000_000), Time(4_000_000));
    outage.record_failure(given_up, due);
    assert!(outage.lasts(given_up, Duration::from_millis(600)));
    outage.record_answer();
    assert!(!outage.has_begun());
    // A refusal before the answer was due tells nothing about the time before.
    outage.record_failure(Time(2_000_000), due);
    assert!(!outage.lasts(Time(2_500_000), Duration::from_millis(600)));
}
