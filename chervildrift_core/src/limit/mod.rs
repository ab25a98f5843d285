//! Adaptive concurrency limit of an upstream, retry budget of a kind and throttle of an entry.

mod adaptive;
mod retry;
mod throttle;

pub use self::adaptive::{Adaptive, Sample};
pub use self::retry::{RetryBudget, RetryRules};
pub use self::throttle::Throttle;
