//! Waits of the calls that return as soon as a table of the store changes.

use std::time::Duration;

use chervildrift_core::relay::feed_wait;

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
