//! Limits on load: adaptive concurrency limit of an upstream, retry budget of a kind, throttle of
//! an entry and quota of log lines.

mod adaptive;
mod quota;
mod retry;
mod throttle;

pub use self::adaptive::{AdaptiveLimit, Observation};
pub use self::quota::LineQuota;
pub use self::retry::{RetryBudget, RetryRules};
pub use self::throttle::Throttle;
