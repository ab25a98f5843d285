//! State shared by all connections and tasks of an upstream.

use std::convert::Infallible;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::select;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout};

use super::Options;
use super::error::{Error, SqlError, code};
use super::faults::{Fault, Faults};
use super::node::{Lags, Node, Role};

/// Interval at which a waiting writer checks whether the active one is idle.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Shared state of an upstream.
#[derive(Debug)]
pub(super) struct Shared {
    pub options: Options,
    pub faults: Faults,
    /// Number of connections that count against the limit.
    pub connections: AtomicUsize,
    /// Number of active batches of statements, which a graceful stop waits for.
    pub active_batches: AtomicUsize,
    /// Wakes the task that receives and applies entries after their lag.
    pub advance_wakeup: Notify,
    node: Mutex<Node>,
    write_lock: Arc<Semaphore>,
    slots: Semaphore,
    next_id: AtomicU64,
}

impl Shared {
    /// Creates the state of an upstream in its initial role.
    pub fn new(options: Options) -> Result<Self, Error> {
        let mut node = Node::open()?;
        if options.role == Role::Primary {
            node.start_primary();
        } else if let Some(primary) = &options.primary_address {
            node.follow(primary, 0);
        }
        let faults = Faults::new();
        faults.set(Fault::ReceiveLagMs, as_millis_i64(options.receive_lag));
        faults.set(Fault::ApplyLagMs, as_millis_i64(options.apply_lag));
        Ok(Self {
            slots: Semaphore::new(options.slots.unwrap_or(Semaphore::MAX_PERMITS)),
            options,
            faults,
            connections: AtomicUsize::new(0),
            active_batches: AtomicUsize::new(0),
            advance_wakeup: Notify::new(),
            node: Mutex::new(node),
            write_lock: Arc::new(Semaphore::new(1)),
            next_id: AtomicU64::new(0),
        })
    }

    /// Locks the node.
    pub fn node(&self) -> MutexGuard<'_, Node> {
        self.node.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the id of a new session.
    pub fn next_session_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Sets a fault and wakes the tasks that depend on it.
    pub fn set_fault(&self, fault: Fault, value: i64) {
        self.faults.set(fault, value);
        self.advance_wakeup.notify_one();
    }

    /// Occupies a slot for the time of a statement.
    pub async fn occupy_slot(&self, time: Duration) {
        if !time.is_zero() {
            // Acquiring can't fail, because the semaphore is never closed.
            let _slot = self.slots.acquire().await;
            sleep(time).await;
        }
    }

    /// Acquires the write lock, or returns a serialization failure after the timeout.
    pub async fn acquire_writer(&self) -> Result<OwnedSemaphorePermit, SqlError> {
        let acquired = Arc::clone(&self.write_lock).acquire_owned();
        let permit = select! {
            permit = timeout(self.options.lock_timeout, acquired) => permit,
            never = self.abort_idle_writers() => match never {},
        };
        self.faults.wait_unfrozen().await;
        if let Ok(Ok(permit)) = permit {
            return Ok(permit);
        }
        let message = "could not serialize access: another transaction is writing";
        Err(SqlError::new(code::SERIALIZATION_FAILURE, message))
    }

    /// Repeatedly aborts the write transaction if it has been idle for too long.
    async fn abort_idle_writers(&self) -> Infallible {
        loop {
            self.node().abort_idle_writer(self.options.idle_timeout);
            sleep(IDLE_POLL_INTERVAL).await;
        }
    }

    /// Receives and applies entries whose lag has passed; returns when the next one is due.
    pub fn advance_log(&self) -> Option<Instant> {
        let lags = Lags {
            receive: self.faults.duration(Fault::ReceiveLagMs),
            apply: self.faults.duration(Fault::ApplyLagMs),
        };
        self.node().advance(Instant::now(), lags)
    }
}

/// Returns a time in whole milliseconds.
pub(super) fn as_millis_i64(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}
