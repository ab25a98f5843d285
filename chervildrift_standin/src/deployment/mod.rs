//! Stand-in of the users' platform: its store, one service's databases and orders to promote.
//!
//! It follows the platform's published protocol as far as the relaying VM uses it. Faults are
//! switched by the [`Handle`], and what the databases ran is kept for tests to judge.

mod database;
mod http;
mod replies;
mod session;
mod store;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;

pub use self::database::{DatabaseGroup, Execution};
pub use self::store::Store;

/// Name of the service.
pub const SERVICE: &str = "ledger";

/// How a deployment starts.
#[derive(Clone, Debug)]
pub struct Options {
    /// Databases of the service, the first of which is the primary.
    pub database_count: usize,
    /// Time after which a replica applies a commit.
    pub apply_lag: Duration,
    /// Connections that a database takes at a time.
    pub max_connections: usize,
    /// Replicas that must have received a commit before it is acknowledged.
    pub sync_replicas: usize,
    /// Time between an order to promote and the start of the new primary.
    pub promotion_time: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            database_count: 3,
            apply_lag: Duration::from_millis(20),
            max_connections: 30,
            sync_replicas: 0,
            promotion_time: Duration::from_millis(100),
        }
    }
}

/// Running stand-in of the platform, whose tasks end with the runtime.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Address of the store, which also takes orders.
    pub address: SocketAddr,
    /// The store.
    pub store: Arc<Store>,
    /// Databases of the service.
    pub databases: Arc<DatabaseGroup>,
}

/// Starts a deployment on the runtime of the caller.
pub async fn spawn(options: &Options) -> std::io::Result<Handle> {
    let store = Arc::new(Store::default());
    let databases = Arc::new(DatabaseGroup::new(options));
    for member in 0..options.database_count {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        databases.set_address(member, listener.local_addr()?);
        let databases = Arc::clone(&databases);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(session::serve(Arc::clone(&databases), member, stream));
            }
        });
    }
    let handle = serve_store(store, databases).await?;
    handle.register();
    Ok(handle)
}

/// Serves a store and the orders to a service's databases.
async fn serve_store(store: Arc<Store>, databases: Arc<DatabaseGroup>) -> std::io::Result<Handle> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let handle = Handle {
        address: listener.local_addr()?,
        store,
        databases,
    };
    let shared = handle.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(http::serve(shared.clone(), stream));
        }
    });
    Ok(handle)
}

impl Handle {
    /// Starts a store of its own for the same databases, for VMs that are to see other entries.
    pub async fn with_own_store(&self) -> std::io::Result<Self> {
        serve_store(Arc::new(Store::default()), Arc::clone(&self.databases)).await
    }

    /// Returns the entries of all databases by their ids.
    #[must_use]
    pub fn server_rows(&self) -> Vec<(String, serde_json::Value)> {
        self.databases.server_rows()
    }

    /// Writes the entries of all databases as they see themselves.
    pub fn register(&self) {
        for (id, row) in self.databases.server_rows() {
            self.store.put("servers", &id, row.to_string().as_bytes());
        }
    }

    /// Publishes a configuration with a route for each name, kind and staleness bound.
    pub fn configure(&self, version: u64, routes: &[(&str, &str, u64)]) {
        let routes: Vec<_> = routes
            .iter()
            .map(|(name, kind, staleness)| {
                serde_json::json!({
                    "name": format!("r-{name}"), "database_name": name, "kind": kind,
                    "service": SERVICE, "timeout_ms": 1_000, "target_latency_ms": 1_000,
                    "priority": 0, "max_staleness_ms": staleness, "max_attempts": 2,
                })
            })
            .collect();
        let config = serde_json::json!({
            "version": version, "routes": routes,
            "services": [{"name": SERVICE, "connection_limit": 30,
                "sync_replicas": self.databases.sync_replicas()}],
            "limits": {"transaction_idle_ms": 3_000},
        });
        self.store
            .put("op", "config", config.to_string().as_bytes());
    }

    /// Carries out an order; false if its fencing token is outdated or the database is not running.
    fn promote(&self, id: &str, token: u64) -> bool {
        if !self.databases.may_promote(id, token) {
            return false;
        }
        let (handle, id) = (self.clone(), id.to_owned());
        tokio::spawn(async move {
            tokio::time::sleep(handle.databases.promotion_time()).await;
            handle.databases.promote(&id);
            handle.register();
        });
        true
    }

    /// Carries out an order after a time, whoever has given up on it; its token is checked then.
    fn promote_after(&self, id: &str, token: u64, delay: Duration) {
        let (handle, id) = (self.clone(), id.to_owned());
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            handle.promote(&id, token);
        });
    }
}
