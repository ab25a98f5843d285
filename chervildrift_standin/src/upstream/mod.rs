//! Upstream stand-in: one database server of a group.
//!
//! It speaks `PostgreSQL`'s wire protocol over `SQLite` in memory, keeps a log of committed writes in
//! terms and positions, and replicates that log from its primary over the same protocol. Faults
//! are switched by `SELECT chervildrift_fault(name, value)` or by the [`Handle`].

mod activity;
mod call;
mod database;
mod error;
mod faults;
mod function;
mod infer;
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
mod volatile;
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

/// User whose connections open whatever the faults and limits, to switch faults from outside.
///
/// Any open connection can switch faults too, but new ones of other users wait while the upstream
/// is frozen.
pub const FAULT_USER: &str = "chervildrift_fault";

/// User that replicas connect as; they do not count as connections.
pub const REPLICA_USER: &str = "chervildrift_replica";

/// Connections that an upstream takes unless told otherwise.
const DEFAULT_CONNECTIONS: usize = 100;

/// Time that a writer waits for the one before it.
const DEFAULT_LOCK_WAIT: Duration = Duration::from_secs(2);

/// Time after which an idle write transaction gives way to a waiting writer.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_millis(500);

/// Threads that serve one upstream.
const DEFAULT_THREADS: usize = 2;

/// How an upstream stand-in starts and how fast it is.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on; port 0 takes a free one.
    pub address: SocketAddr,
    /// First role; a primary starts in term 1 with one entry.
    pub role: Role,
    /// Address of the primary that a replica pulls from at first.
    pub primary_address: Option<String>,
    /// Time that each statement takes.
    ///
    /// Within a write transaction it is charged after the commit, because the upstream has one
    /// writer at a time and would otherwise run writes one after the other, whatever the slots.
    pub statement_time: Duration,
    /// Statements that run at one time, each for the time above; none means no limit.
    ///
    /// Further statements wait for their turn, as in a database whose cores are busy. Calls of the
    /// upstream's functions take no time and need no slot.
    pub slots: Option<usize>,
    /// Time that opening a connection takes.
    pub connect_time: Duration,
    /// Connections beyond which a new one is refused with SQLSTATE 53300.
    pub max_connections: usize,
    /// Time after which a waiting writer gets a serialization failure.
    pub lock_timeout: Duration,
    /// Time after which a write transaction that runs no statement is aborted if a writer waits.
    ///
    /// Without it, one paused client would stop all writes, which row locks would not.
    pub idle_timeout: Duration,
    /// Time for which pulled entries are held back before they count as received.
    pub receive_lag: Duration,
    /// Time for which received entries are held back before they are applied.
    pub apply_lag: Duration,
    /// Threads that serve the upstream.
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
            max_connections: DEFAULT_CONNECTIONS,
            lock_timeout: DEFAULT_LOCK_WAIT,
            idle_timeout: DEFAULT_IDLE_LIMIT,
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

/// Running upstream stand-in; dropping it stops it at once.
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

    /// Returns the state that a status read would show, whatever the faults.
    #[must_use]
    pub fn status(&self) -> Status {
        self.shared.node().status()
    }

    /// Sets a fault; zero turns it off.
    pub fn set_fault(&self, fault: Fault, value: i64) {
        self.shared.set_fault(fault, value);
    }

    /// Directs the upstream to pull from a primary of at least this term.
    #[must_use]
    pub fn follow(&self, primary: &str, term: i64) -> bool {
        self.shared.node().follow(primary, term)
    }

    /// Stops the upstream after the statements in progress have ended.
    pub async fn stop(mut self) {
        if let Some(stop) = self.stop.take() {
            // The receiver is gone only if the upstream has stopped already.
            let _ = stop.send(());
        }
        let _ = (&mut self.stopped).await;
    }
}

/// Starts an upstream stand-in on threads of its own.
pub fn spawn(options: Options) -> Result<Handle, Error> {
    server::spawn(options)
}
