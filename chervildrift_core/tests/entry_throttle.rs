//! Throttle of an entry, which limits the requests that it forwards.

use chervildrift_core::limit::Throttle;
use chervildrift_core::rng::Rng;
use chervildrift_core::types::Time;

/// Offers one request per millisecond, of which the dispatcher accepts one in `accepted_every`, and
/// returns how many passed the throttle.
fn forward(throttle: &mut Throttle, from: u64, count: u64, accepted_every: u64) -> u64 {
    let mut rng = Rng::new(5);
    let mut passed = 0;
    for step in 0..count {
        let now = Time((from + step) * 1_000);
        if throttle.admit(now, &mut rng) {
            passed += 1;
        }
        if step % accepted_every == 0 {
            throttle.record_accepted(now);
        }
    }
    passed
}

/// Guards against an entry that forwards a whole flood, and against one that still sheds requests
/// after the flood.
#[test]
fn flood_and_recovery() {
    let mut throttle = Throttle::new();
    let flooded = forward(&mut throttle, 0, 20_000, 10);
    assert!(
        flooded < 6_000,
        "{flooded} of 20000 requests were forwarded"
    );
    assert!(
        flooded > 2_000,
        "fewer requests were forwarded than the dispatcher accepts"
    );
    forward(&mut throttle, 20_000, 10_000, 1);
    let after = forward(&mut throttle, 30_000, 1_000, 1);
    assert_eq!(after, 1_000);
}
