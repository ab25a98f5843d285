//! Adaptive concurrency limit of an upstream and retry budget of a kind.

mod adaptive;
mod retry;

pub use self::adaptive::{Adaptive, Sample};
pub use self::retry::{RetryBudget, RetryRules};
