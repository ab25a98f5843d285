//! Invariants that are checked at run time.
//!
//! A breach never stops the process. The code that calls [`breach`] refuses the request at hand,
//! and the program exports [`count`] as a metric and logs each breach at critical level through the
//! hook.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

static COUNT: AtomicU64 = AtomicU64::new(0);
static HOOK: OnceLock<fn(&str, &str)> = OnceLock::new();

/// Counts a breach of the invariant `name` and passes it to the hook.
pub fn breach(name: &str, detail: &str) {
    COUNT.fetch_add(1, Ordering::Relaxed);
    if let Some(hook) = HOOK.get() {
        hook(name, detail);
    }
}

/// Returns the number of breaches since the start of the process.
#[must_use]
pub fn count() -> u64 {
    COUNT.load(Ordering::Relaxed)
}

/// Sets the function that is called for each breach; only the first call has an effect.
pub fn set_hook(hook: fn(&str, &str)) {
    // A second hook would split the breaches between two logs.
    let _first = HOOK.set(hook);
}
