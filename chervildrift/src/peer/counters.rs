//! Counters of peer links.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counters that the peer thread raises and any thread reads.
#[derive(Debug, Default)]
pub struct Counters {
    /// Outgoing links that were opened.
    pub opened: Counter,
    /// Outgoing links that failed while opening or later.
    pub failed: Counter,
    /// Inbound connections that were accepted after a valid hello.
    pub accepted: Counter,
    /// Inbound connections without a valid hello.
    pub unauthenticated: Counter,
    /// Inbound connections closed because their hello took too long.
    pub hello_timeouts: Counter,
    /// Inbound connections closed early because too many had not completed their hello.
    pub evicted: Counter,
    /// Inbound calls refused unread.
    pub refused: Counter,
}

/// One counter.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one.
    pub(crate) fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the count.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}
