//! Retry budget of one kind, in proportion to its requests.
//!
//! Without a budget, a failure that refuses most requests multiplies the load by the number of
//! attempts.

use std::time::Duration;

use crate::types::Time;

/// Parameters of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryRules {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed per window in addition to the ratio, so that a rarely used kind can retry at
    /// all.
    pub min_retries: f64,
    /// Time constant with which the counts of requests and retries decay.
    pub window: Duration,
}

impl Default for RetryRules {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            min_retries: 3.0,
            window: Duration::from_secs(10),
        }
    }
}

/// Decaying counts of the requests and retries of one kind.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    rules: RetryRules,
    updated_at: Time,
    requests: f64,
    retries: f64,
}

impl RetryBudget {
    /// Creates an unused budget.
    #[must_use]
    pub const fn new(rules: RetryRules) -> Self {
        Self {
            rules,
            updated_at: Time(0),
            requests: 0.0,
            retries: 0.0,
        }
    }

    /// Counts the first attempt of a request.
    pub fn record_request(&mut self, now: Time) {
        self.decay(now);
        self.requests += 1.0;
    }

    /// Consumes one retry and returns true, or returns false if the budget is exhausted.
    pub fn try_retry(&mut self, now: Time) -> bool {
        self.decay(now);
        let allowed = self.rules.ratio * self.requests + self.rules.min_retries;
        if self.retries + 1.0 > allowed {
            return false;
        }
        self.retries += 1.0;
        true
    }

    fn decay(&mut self, now: Time) {
        let span = now.since(self.updated_at).as_secs_f64();
        if span <= 0.0 {
            return;
        }
        self.updated_at = now;
        let decay_factor = (-span / self.rules.window.as_secs_f64().max(f64::EPSILON)).exp();
        self.requests *= decay_factor;
        self.retries *= decay_factor;
    }
}
