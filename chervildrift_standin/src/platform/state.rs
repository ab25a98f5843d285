//! State that all requests to the platform share.

use std::collections::HashMap;
use std::sync::atomic::AtomicUsize;
use std::sync::{Mutex, MutexGuard, PoisonError};

use super::faults::Faults;
use super::table::Tables;
use super::vms::Vms;

/// Contents of the platform and its faults.
#[derive(Debug, Default)]
pub(super) struct Store {
    pub tables: Tables,
    /// Objects by their SHA-256 in lower-case hexadecimal digits.
    pub objects: HashMap<String, Vec<u8>>,
    pub vms: Vms,
    pub faults: Faults,
}

/// Store behind its lock.
#[derive(Debug, Default)]
pub(super) struct State {
    /// Requests in progress, which a graceful stop waits for.
    pub busy: AtomicUsize,
    store: Mutex<Store>,
}

impl State {
    /// Locks the store.
    pub fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
