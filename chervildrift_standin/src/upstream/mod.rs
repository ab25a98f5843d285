//! Upstream stand-in: one database server of a group.
//!
//! It speaks `PostgreSQL`'s wire protocol and stores data in an `SQLite` database in memory. It
//! keeps a log of committed writes, ordered by term and position, and a replica pulls that log from
//! its primary over the same protocol. Faults are set by
//! `SELECT chervildrift_fault(name, value)` or through the [`Handle`].

mod activity;
mod call;
mod database;
mod error;
mod faults;
mod function;
mod inference;
mod log;
mod node;
mod replica;
mod reply;
mod server;
mod session;
mod shared;
mod sql;
mod tokens;
mod value;
mod volatility;
mod wire;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

pub use self::error::Error;
pub use self::faults::Fault;
pub use self::log::LogPosition;
pub use self::node::{Role, Status};
use self::shared::Shared;

/// User whose connections open regardless of faults and limits, to set faults from outside.
///
/// Connections of other users can set faults too once they are open, but new ones wait while the
/// upstream is frozen.
pub const FAULT_USER: &str = "chervildrift_fault";

/// User that replicas connect as; their connections don't count against the limit.
pub const REPLICA_USER: &str = "chervildrift_replica";

/// Default limit of open connections.
const DEFAULT_MAX_CONNECTIONS: usize = 100;

/// Default time for which a writer waits for the write transaction before it.
const DEFAULT_LOCK_TIMEOUT: Duration = Duration::from_secs(2);

/// Default time after which an idle write transaction is aborted for a waiting writer.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(500);

/// Default number of threads that serve one upstream.
const DEFAULT_THREADS: usize = 2;

/// Start options of an upstream stand-in, including its simulated service times.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on; port 0 selects a free one.
    pub address: SocketAddr,
    /// Initial role; a primary starts in term 1 with one log entry.
    pub role: Role,
    /// Address of the initial primary of a replica.
    pub primary_address: Option<String>,
    /// Simulated time of each statement.
    ///
    /// In a write transaction it is spent after the end of the transaction, because the upstream
    /// has one writer at a time and would otherwise serialize writes regardless of the slots.
    pub statement_time: Duration,
    /// Maximum number of statements that spend their time concurrently; `None` means no limit.
    ///
    /// Further statements wait, as in a database whose cores are busy. Calls of the upstream's own
    /// functions take no time and need no slot.
    pub slots: Option<usize>,
    /// Simulated time of opening a connection.
    pub connect_time: Duration,
    /// Limit of open connections, beyond which new ones are refused with SQLSTATE 53300.
    pub max_connections: usize,
    /// Time after which a waiting writer gets a serialization failure (SQLSTATE 40001).
    pub lock_timeout: Duration,
    /// Time after which an idle write transaction is aborted if another writer waits.
    ///
    /// Without it, a paused client would block all writes, unlike with row locks.
    pub idle_timeout: Duration,
    /// Delay before pulled entries count as received.
    pub receive_lag: Duration,
    /// Delay before received entries are applied.
    pub apply_lag: Duration,
    /// Number of threads that serve the upstream.
    pub threads: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            role: Role::Primary,
            primary_address: None,
            statement_time: Duration::ZERO,
            slots: None,
            connect_time: Duration::ZERO,
            max_connections: DEFAULT_MAX_CONNECTIONS,
            lock_timeout: DEFAULT_LOCK_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            receive_lag: Duration::ZERO,
            apply_lag: Duration::ZERO,
            threads: DEFAULT_THREADS,
        }
    }
}

impl Options {
    /// Returns the options of a replica that pulls from `primary`.
    #[must_use]
    pub fn replica(primary: SocketAddr) -> Self {
        Self {
            role: Role::Replica,
            primary_address: Some(primary.to_string()),
            ..Self::default()
        }
    }
}

/// Handle of a running upstream stand-in, which stops it at once when dropped.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    shared: Arc<Shared>,
    stop: Option<oneshot::Sender<()>>,
    stopped: oneshot::Receiver<()>,
}

impl Handle {
    /// Returns the address that the upstream listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the state as a status read shows it, regardless of faults.
    #[must_use]
    pub fn status(&self) -> Status {
        self.shared.node().status()
    }

    /// Sets a fault; zero turns it off.
    pub fn set_fault(&self, fault: Fault, value: i64) {
        self.shared.set_fault(fault, value);
    }

    /// Makes the upstream pull from a primary of at least this term; returns false if refused.
    #[must_use]
    pub fn follow(&self, primary: &str, term: i64) -> bool {
        self.shared.node().follow(primary, term)
    }

    /// Stops the upstream after the active statements have ended.
    pub async fn stop(mut self) {
        if let Some(stop) = self.stop.take() {
            // The receiver is gone only if the upstream has already stopped.
            let _ = stop.send(());
        }
        let _ = (&mut self.stopped).await;
    }
}

/// Starts an upstream stand-in on its own threads.
pub fn spawn(options: Options) -> Result<Handle, Error> {
    server::spawn(options)
}
