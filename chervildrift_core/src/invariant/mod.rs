//! Invariants that are checked while the program runs.
//!
//! A breach never stops the process. The caller of [`breach`] refuses the request at hand; the
//! program reads [`count`] into a metric and logs each breach at critical level through the hook.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

static COUNT: AtomicU64 = AtomicU64::new(0);
static HOOK: OnceLock<fn(&str, &str)> = OnceLock::new();

/// Records the breach of the invariant `name`.
pub fn breach(name: &str, detail: &str) {
    COUNT.fetch_add(1, Ordering::Relaxed);
    if let Some(hook) = HOOK.get() {
        hook(name, detail);
    }
}

/// Returns the number of breaches since the process started.
#[must_use]
pub fn count() -> u64 {
    COUNT.load(Ordering::Relaxed)
}

/// Sets the function that is told of each breach; only the first call counts.
pub fn set_hook(hook: fn(&str, &str)) {
    // A second hook would split the breaches between two logs.
    let _first = HOOK.set(hook);
}
