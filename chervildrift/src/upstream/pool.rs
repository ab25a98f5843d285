//! Connections to one upstream that serve callers' work.
//!
//! A connection belongs to one request or one transaction at a time, as a [`Lease`]. Only a lease
//! that is given back by [`Lease::release`] returns its connection to the pool; a lease that is
//! dropped, because its request failed, timed out or was cancelled, closes it.

use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::{Connection, Error, Login};

/// Connections to one upstream.
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

/// A connection that belongs to one request or transaction.
#[derive(Debug)]
pub struct PooledConnection {
    connection: Option<Connection>,
    shared: Arc<Shared>,
    _permit: OwnedSemaphorePermit,
}

impl Pool {
    /// Opens a pool of at most `limit` connections; none is opened before it is needed.
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

    /// Takes an idle connection or opens one.
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

    /// Opens one connection ahead of need, since opening one takes many times a statement's time.
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
    /// Gives back a connection with no answer outstanding and no transaction open.
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
        // Only `release`, which consumes the lease, takes the connection out.
        self.connection
            .as_ref()
            .expect("a lease holds its connection")
    }
}
