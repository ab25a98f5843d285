//! Counters of peer links.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counters that the peer thread raises and any thread reads.
#[derive(Debug, Default)]
pub struct Counts {
    /// Outgoing links that were opened.
    pub opened: Count,
    /// Outgoing links that failed while opening or later.
    pub failed: Count,
    /// Inbound connections that were accepted after a valid hello.
    pub accepted: Count,
    /// Inbound connections without a valid hello.
    pub foreign: Count,
    /// Inbound connections closed because their hello took too long.
    pub late: Count,
    /// Inbound connections closed early because too many had not completed their hello.
    pub crowded: Count,
    /// Inbound calls refused unread.
    pub refused: Count,
}

/// One counter.
#[derive(Debug, Default)]
pub struct Count(AtomicU64);

impl Count {
    /// Adds one.
    pub(crate) fn raise(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the count.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}
