//! State shared by all requests to the platform.

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

/// Locked contents and the count of active requests.
#[derive(Debug, Default)]
pub(super) struct SharedState {
    /// Number of active requests, which a graceful stop waits for.
    pub active_requests: AtomicUsize,
    contents: Mutex<Contents>,
}

impl SharedState {
    /// Locks the contents.
    pub fn lock(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
