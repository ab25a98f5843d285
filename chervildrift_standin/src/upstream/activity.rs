//! Activity of a connection: whether it runs statements, and since when it has been idle.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Activity of one connection, by which waiting writers find an idle write transaction.
#[derive(Debug)]
pub(super) struct Activity {
    running: AtomicBool,
    last_end: Mutex<Instant>,
}

impl Activity {
    /// Creates the activity of an idle connection.
    pub fn new() -> Self {
        Self {
            running: AtomicBool::new(false),
            last_end: Mutex::new(Instant::now()),
        }
    }

    /// Records the start of a batch of statements; returns false if one was running already.
    pub fn start(&self) -> bool {
        !self.running.swap(true, Ordering::SeqCst)
    }

    /// Records the end of the batch; returns false if none was running.
    pub fn end(&self) -> bool {
        *self.last_end.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
        self.running.swap(false, Ordering::SeqCst)
    }

    /// Returns the time since the last batch ended, or zero while one runs.
    pub fn idle_time(&self) -> Duration {
        if self.running.load(Ordering::SeqCst) {
            return Duration::ZERO;
        }
        let last_end = self.last_end.lock().unwrap_or_else(PoisonError::into_inner);
        last_end.elapsed()
    }
}
