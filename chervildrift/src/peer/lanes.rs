//! Choice of the peer thread that makes a call.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::mpsc;

use super::thread::Command;

/// Calls in flight on a thread beyond which calls go to another thread.
///
/// Below it, all calls to a peer share one connection.
const SPREAD_CALLS: usize = 16;

/// One peer thread as its callers see it.
#[derive(Debug)]
pub struct Lane {
    /// Commands to the thread.
    pub commands: mpsc::Sender<Command>,
    calls: AtomicUsize,
}

/// Counts a call as in flight until it is dropped.
#[derive(Debug)]
pub struct Flight<'a>(&'a Lane);

impl Lane {
    /// Opens the lane of a thread.
    pub const fn open(commands: mpsc::Sender<Command>) -> Self {
        Self {
            commands,
            calls: AtomicUsize::new(0),
        }
    }

    /// Counts a call until the result is dropped.
    pub fn enter(&self) -> Flight<'_> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        Flight(self)
    }

    fn calls(&self) -> usize {
        self.calls.load(Ordering::Relaxed)
    }
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        self.0.calls.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns the lane for a call: the peer's own, or another one when that is busy.
pub fn choose(lanes: &[Lane], peer: SocketAddr) -> Option<&Lane> {
    let home = home(lanes.len(), peer);
    let (before, after) = lanes.split_at_checked(home)?;
    let mut order = after.iter().chain(before);
    order
        .clone()
        .find(|lane| lane.calls() < SPREAD_CALLS)
        .or_else(|| order.by_ref().min_by_key(|lane| lane.calls()))
}

/// Returns the index of the lane that a peer's calls start on.
fn home(count: usize, peer: SocketAddr) -> usize {
    let mut hasher = DefaultHasher::new();
    peer.hash(&mut hasher);
    (hasher.finish() % count.max(1) as u64) as usize
}
