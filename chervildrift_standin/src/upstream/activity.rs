//! Whether a connection runs statements, and since when it does not.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Activity of one connection, which writers that wait for its transaction look at.
#[derive(Debug)]
pub(super) struct Activity {
    running: AtomicBool,
    last_end: Mutex<Instant>,
}

impl Activity {
    /// Starts as idle.
    pub fn new() -> Self {
        Self {
            running: AtomicBool::new(false),
            last_end: Mutex::new(Instant::now()),
        }
    }

    /// Notes that a batch of statements runs; false if one was running already.
    pub fn start(&self) -> bool {
        !self.running.swap(true, Ordering::SeqCst)
    }

    /// Notes that the batch has ended; false if none was running.
    pub fn end(&self) -> bool {
        *self.last_end.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
        self.running.swap(false, Ordering::SeqCst)
    }

    /// Returns for how long no statement has run.
    pub fn idle_time(&self) -> Duration {
        if self.running.load(Ordering::SeqCst) {
            return Duration::ZERO;
        }
        let last_end = self.last_end.lock().unwrap_or_else(PoisonError::into_inner);
        last_end.elapsed()
    }
}
