//! Choice of the peer thread that makes a call.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::mpsc;

use super::thread::Command;

/// Calls in flight on a thread beyond which calls go to another thread.
///
/// Below it, all calls to a peer share one connection.
const BUSY_CALLS: usize = 16;

/// One peer thread as its callers see it.
#[derive(Debug)]
pub struct Worker {
    /// Commands to the thread.
    pub commands: mpsc::Sender<Command>,
    in_flight: AtomicUsize,
}

/// Counts a call as in flight until it is dropped.
#[derive(Debug)]
pub struct CallGuard<'a>(&'a Worker);

impl Worker {
    /// Opens the lane of a thread.
    pub const fn new(commands: mpsc::Sender<Command>) -> Self {
        Self {
            commands,
            in_flight: AtomicUsize::new(0),
        }
    }

    /// Counts a call until the result is dropped.
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

/// Returns the lane for a call: the peer's own, or another one when that is busy.
pub fn choose(workers: &[Worker], peer: SocketAddr) -> Option<&Worker> {
    let preferred_index = preferred_index(workers.len(), peer);
    let (before, after) = workers.split_at_checked(preferred_index)?;
    let mut candidates = after.iter().chain(before);
    candidates
        .clone()
        .find(|worker| worker.in_flight() < BUSY_CALLS)
        .or_else(|| candidates.by_ref().min_by_key(|worker| worker.in_flight()))
}

/// Returns the index of the lane that a peer's calls start on.
fn preferred_index(count: usize, peer: SocketAddr) -> usize {
    let mut hasher = DefaultHasher::new();
    peer.hash(&mut hasher);
    (hasher.finish() % count.max(1) as u64) as usize
}
