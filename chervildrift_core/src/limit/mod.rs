//! Adaptive concurrency limit and retry budget.
