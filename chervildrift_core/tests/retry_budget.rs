//! Retry budget.

use std::time::Duration;

use chervildrift_core::limit::{RetryBudget, RetryRules};
use chervildrift_core::types::Time;

/// Guards against retries that multiply the load of a kind whose requests all fail.
#[test]
fn failing_kind() {
    let rules = RetryRules::default();
    let mut budget = RetryBudget::new(rules);
    let mut retries = 0_u32;
    for step in 0..100_000_u64 {
        let now = Time(step * 1_000);
        budget.record_request(now);
        retries += (0..5).filter(|_| budget.try_retry(now)).count() as u32;
    }
    let windows = 100.0 / rules.window.as_secs_f64() + 1.0;
    let allowed = rules.ratio * 100_000.0 + rules.min_retries * windows;
    assert!(
        f64::from(retries) <= allowed,
        "{retries} retries of {allowed} allowed"
    );
    assert!(
        f64::from(retries) >= rules.ratio * 90_000.0,
        "only {retries} retries"
    );
}

/// Guards against a rarely used kind that is never allowed to retry.
#[test]
fn rare_kind() {
    let mut budget = RetryBudget::new(RetryRules::default());
    budget.record_request(Time(0));
    assert!(budget.try_retry(Time(1)));
    while budget.try_retry(Time(2)) {}
    assert!(budget.try_retry(Time(2) + Duration::from_secs(60)));
}
