//! Throttle of an entry.

use chervildrift_core::limit::Throttle;
use chervildrift_core::rng::Rng;
use chervildrift_core::types::Time;

/// Forwards one request each millisecond and returns how many passed, with one in `taken` taken.
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

/// Guards against entries that forward a whole flood, and that shed on after it has ended.
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
        "less was forwarded than the dispatcher takes"
    );
    forward(&mut throttle, 20_000, 10_000, 1);
    let after = forward(&mut throttle, 30_000, 1_000, 1);
    assert_eq!(after, 1_000);
}
