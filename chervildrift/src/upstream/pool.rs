//! Connection pool of one upstream for callers' statements.
//!
//! One request or transaction at a time holds a connection, as a [`PooledConnection`]. Only
//! [`PooledConnection::release`] returns it to the pool; if it is dropped, because the request
//! failed, timed out or was cancelled, the connection is closed.

use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::{Connection, Error, Login};

/// Pool of connections to one upstream.
#[derive(Clone, Debug)]
pub struct Pool {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    address: SocketAddr,
    login: Login,
    idle: Mutex<Vec<Connection>>,
    permits: Arc<Semaphore>,
}

/// Connection from a pool, held by one request or transaction.
#[derive(Debug)]
pub struct PooledConnection {
    connection: Option<Connection>,
    shared: Arc<Shared>,
    _permit: OwnedSemaphorePermit,
}

impl Pool {
    /// Creates a pool of at most `limit` connections, which are opened on demand.
    #[must_use]
    pub fn new(address: SocketAddr, login: &Login, limit: usize) -> Self {
        let shared = Shared {
            address,
            login: login.clone(),
            idle: Mutex::default(),
            permits: Arc::new(Semaphore::new(limit)),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Acquires an idle connection, or opens one.
    pub async fn acquire(&self) -> Result<PooledConnection, Error> {
        let permits = Arc::clone(&self.shared.permits);
        let permit = permits
            .try_acquire_owned()
            .map_err(|_none| Error::Exhausted)?;
        let connection = match self.shared.pop_idle() {
            Some(connection) => connection,
            None => Connection::open(self.shared.address, &self.shared.login).await?,
        };
        let shared = Arc::clone(&self.shared);
        Ok(PooledConnection {
            connection: Some(connection),
            shared,
            _permit: permit,
        })
    }

    /// Opens one connection in advance, since this takes many times as long as a statement.
    pub async fn warm(&self) -> Result<(), Error> {
        self.acquire().await.map(PooledConnection::release)
    }
}

impl Shared {
    fn pop_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(connection) = idle.pop() {
            if !connection.is_closed() {
                return Some(connection);
            }
        }
        None
    }
}

impl PooledConnection {
    /// Returns the connection to the pool; no reply may be outstanding and no transaction open.
    pub fn release(mut self) {
        if let Some(connection) = self.connection.take() {
            let mut idle = self
                .shared
                .idle
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            idle.push(connection);
        }
    }
}

impl Deref for PooledConnection {
    type Target = Connection;

    fn deref(&self) -> &Connection {
        // Only `release`, which consumes `self`, removes the connection.
        self.connection
            .as_ref()
            .expect("connection is present until it is released")
    }
}
