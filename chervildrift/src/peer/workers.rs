//! Choice of the peer thread that runs a call.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::mpsc;

use super::thread::Command;

/// Number of calls in flight from which a thread counts as busy.
///
/// Below it, all calls to a peer share one connection; beyond it, they spread to other threads.
const BUSY_CALLS: usize = 16;

/// Handle of a peer thread, with the number of its calls in flight.
#[derive(Debug)]
pub struct Worker {
    /// Channel for commands to the thread.
    pub commands: mpsc::Sender<Command>,
    in_flight: AtomicUsize,
}

/// Guard that counts a call as in flight until it is dropped.
#[derive(Debug)]
pub struct CallGuard<'a>(&'a Worker);

impl Worker {
    /// Creates the handle of a thread without calls.
    pub const fn new(commands: mpsc::Sender<Command>) -> Self {
        Self {
            commands,
            in_flight: AtomicUsize::new(0),
        }
    }

    /// Counts a call as in flight until the returned guard is dropped.
    pub fn start_call(&self) -> CallGuard<'_> {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        CallGuard(self)
    }

    fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Chooses the preferred thread of the peer, or the next that is not busy, or the least busy.
pub fn choose(workers: &[Worker], peer: SocketAddr) -> Option<&Worker> {
    let preferred_index = preferred_index(workers.len(), peer);
    let (before, after) = workers.split_at_checked(preferred_index)?;
    let mut candidates = after.iter().chain(before);
    candidates
        .clone()
        .find(|worker| worker.in_flight() < BUSY_CALLS)
        .or_else(|| candidates.by_ref().min_by_key(|worker| worker.in_flight()))
}

/// Returns the index of the peer's preferred thread, from a hash of the address.
fn preferred_index(count: usize, peer: SocketAddr) -> usize {
    let mut hasher = DefaultHasher::new();
    peer.hash(&mut hasher);
    (hasher.finish() % count.max(1) as u64) as usize
}
