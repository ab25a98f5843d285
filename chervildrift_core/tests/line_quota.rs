//! Rate limit of log lines.

use std::time::Duration;

use chervildrift_core::limit::LineQuota;
use chervildrift_core::types::Time;

fn at(ms: u64) -> Time {
    Time::default() + Duration::from_millis(ms)
}

/// Guards against a log that grows with the load, and against dropped lines that are not counted.
#[test]
fn flooded_log() {
    let mut quota = LineQuota::full();
    let mut written = 0;
    let mut reported = 0;
    for ms in 0..10_000 {
        for _ in 0..5 {
            if let Some(dropped) = quota.admit(at(ms)) {
                written += 1;
                reported += dropped;
            }
        }
    }
    assert!((1_390..=1_400).contains(&written), "{written} lines");
    let last = quota.admit(at(11_000)).expect("quota available");
    assert_eq!(written + reported + last, 50_000);
}

/// Guards against dropping lines at a low rate.
#[test]
fn quiet_log() {
    let mut quota = LineQuota::full();
    assert!((0..2_000).all(|it| quota.admit(at(it * 20)) == Some(0)));
}
