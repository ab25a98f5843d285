//! Limits on load: adaptive concurrency limit of an upstream, retry budget of a kind, throttle of
//! an entry, quota of log lines, and memory and places of callers' sessions.

mod adaptive;
mod quota;
mod retry;
mod session_budget;
mod throttle;

pub use self::adaptive::{AdaptiveLimit, Observation};
pub use self::quota::LineQuota;
pub use self::retry::{RetryBudget, RetryRules};
pub use self::session_budget::{Admission, BudgetBounds, SessionBudget, SessionId, Standing};
pub use self::throttle::Throttle;
