//! Counters of peer links.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counters that the peer threads increment and any thread reads.
#[derive(Debug, Default)]
pub struct Counters {
    /// Connections of outgoing links that were opened.
    pub opened: Counter,
    /// Connections of outgoing links that failed, while opening or later.
    pub failed: Counter,
    /// Inbound connections that completed the handshake.
    pub accepted: Counter,
    /// Inbound connections whose handshake failed.
    pub unauthenticated: Counter,
    /// Inbound connections closed because their handshake timed out.
    pub handshake_timeouts: Counter,
    /// Inbound connections closed before the timeout because too many handshakes were pending.
    pub evicted: Counter,
    /// Inbound calls refused without being passed to the event loop.
    pub refused: Counter,
}

/// A counter that any thread may increment.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one to the counter.
    pub(crate) fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the current value.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}
