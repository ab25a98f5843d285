//! State that all requests to the platform share.

use std::collections::HashMap;
use std::sync::atomic::AtomicUsize;
use std::sync::{Mutex, MutexGuard, PoisonError};

use super::faults::Faults;
use super::table::Tables;
use super::vms::VmList;

/// Contents of the platform and its faults.
#[derive(Debug, Default)]
pub(super) struct Contents {
    pub tables: Tables,
    /// Objects by their SHA-256 in lower-case hexadecimal digits.
    pub objects: HashMap<String, Vec<u8>>,
    pub vms: VmList,
    pub faults: Faults,
}

/// Store behind its lock.
#[derive(Debug, Default)]
pub(super) struct SharedState {
    /// Requests in progress, which a graceful stop waits for.
    pub active_requests: AtomicUsize,
    contents: Mutex<Contents>,
}

impl SharedState {
    /// Locks the store.
    pub fn lock(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
