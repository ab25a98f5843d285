//! Adaptive concurrency limit.

use std::time::Duration;

use chervildrift_core::limit::{AdaptiveLimit, Observation};
use chervildrift_core::types::Time;

fn feed(
    limit: &mut AdaptiveLimit,
    from: Time,
    seconds: u64,
    observation: impl Fn(usize) -> Observation,
) -> Time {
    let mut now = from;
    let end = from + Duration::from_secs(seconds);
    while now < end {
        now = now + Duration::from_millis(4);
        let observation = observation(limit.limit());
        limit.observe(now, observation);
    }
    now
}

/// Guards against a limit that stays at the slots of an upstream that slows down under concurrency.
#[test]
fn slow_upstream() {
    let mut limit = AdaptiveLimit::new(5);
    let now = feed(&mut limit, Time(0), 5, |running| {
        Observation::Answered(running as f64)
    });
    assert!(limit.limit() < 5, "limit {}", limit.limit());
    assert!(limit.limit() >= 1);
    feed(&mut limit, now, 5, |_| Observation::Answered(1.0));
    assert_eq!(limit.limit(), 5, "the limit did not come back");
}

/// Guards against a limit of zero, with which no statement could show that the upstream recovered.
#[test]
fn failing_upstream() {
    let mut limit = AdaptiveLimit::new(3);
    let now = feed(&mut limit, Time(0), 10, |_| Observation::Failed);
    assert_eq!(limit.limit(), 1);
    feed(&mut limit, now, 5, |_| Observation::Answered(1.0));
    assert_eq!(limit.limit(), 3);
}

/// Guards against lowering the limit of a healthy upstream whose service times vary widely.
#[test]
fn healthy_spread() {
    let mut limit = AdaptiveLimit::new(5);
    let mut rng = chervildrift_core::rng::Rng::new(3);
    let mut now = Time(0);
    for _ in 0..20_000 {
        now = now + Duration::from_millis(2);
        let ratio = -(1.0 - rng.unit_f64()).ln();
        limit.observe(now, Observation::Answered(ratio));
        assert_eq!(limit.limit(), 5);
    }
}

/// Guards against a limit above the declared slots after operators reduce them.
#[test]
fn fewer_slots() {
    let mut limit = AdaptiveLimit::new(5);
    limit.resize(2);
    assert_eq!(limit.limit(), 2);
    limit.resize(4);
    assert_eq!(limit.limit(), 4);
}
