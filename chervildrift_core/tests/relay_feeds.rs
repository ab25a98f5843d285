//! Calls that follow the store: their waits, and what their failures tell.

use std::time::Duration;

use chervildrift_core::relay::{StoreOutage, feed_wait, unconfirmed_limit};
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

/// Guards against a VM that reads a table itself too late for a change that its observers missed.
#[test]
fn unconfirmed_content() {
    let (read_time, usual_age) = (Duration::from_millis(1_100), Duration::from_millis(1_900));
    for bound in [4_000, 6_000, 60_000].map(Duration::from_millis) {
        let limit = unconfirmed_limit(bound, read_time, usual_age);
        assert_eq!(limit + read_time, bound);
    }
}

/// Guards against VMs that all read the store in usual times, where the bound is short.
#[test]
fn usual_content() {
    let (read_time, usual_age) = (Duration::from_millis(1_100), Duration::from_millis(1_900));
    assert!(unconfirmed_limit(Duration::from_millis(500), read_time, usual_age) > usual_age);
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
