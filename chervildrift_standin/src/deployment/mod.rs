//! Stand-in of the users' platform: its store, the databases of one service and promotion orders.
//!
//! It implements the part of the platform's published protocol that a relaying VM uses. Tests
//! inject faults through the [`Handle`] and inspect the statements that the databases ran.

mod database;
mod http;
mod replies;
mod session;
mod store;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::net::TcpListener;

pub use self::database::{DatabaseGroup, Execution};
pub use self::store::Store;

/// Name of the service.
pub const SERVICE: &str = "ledger";

/// Start options of a deployment.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of databases of the service, the first of which is the primary.
    pub database_count: usize,
    /// Delay after which a replica applies a commit.
    pub apply_lag: Duration,
    /// Maximum number of open connections of each database.
    pub max_connections: usize,
    /// Replicas that must have received a commit before it is acknowledged.
    pub sync_replicas: usize,
    /// Time between a promotion order and the start of the new primary.
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

/// Handle of a running deployment, whose tasks end with the runtime.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Address of the store and of promotion orders.
    pub address: SocketAddr,
    /// The store.
    pub store: Arc<Store>,
    /// Databases of the service.
    pub databases: Arc<DatabaseGroup>,
    /// Table whose reads at this address get no response.
    muted_table: Arc<Mutex<Option<&'static str>>>,
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

/// Serves a store and the promotion orders for a group of databases.
async fn serve_store(store: Arc<Store>, databases: Arc<DatabaseGroup>) -> std::io::Result<Handle> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let handle = Handle {
        address: listener.local_addr()?,
        store,
        databases,
        muted_table: Arc::default(),
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
    /// Starts another store for the same databases, for VMs that must see other rows.
    pub async fn with_own_store(&self) -> std::io::Result<Self> {
        serve_store(Arc::new(Store::default()), Arc::clone(&self.databases)).await
    }

    /// Serves the same store at another address, at which reads can be muted apart.
    pub async fn with_own_address(&self) -> std::io::Result<Self> {
        serve_store(Arc::clone(&self.store), Arc::clone(&self.databases)).await
    }

    /// Leaves reads of a table at this address without a response, also those that wait already.
    pub fn mute_reads(&self, table: &'static str) {
        *self.lock_muted() = Some(table);
    }

    /// Answers the reads of all tables at this address again.
    pub fn unmute_reads(&self) {
        *self.lock_muted() = None;
    }

    fn is_muted(&self, table: &str) -> bool {
        *self.lock_muted() == Some(table)
    }

    fn lock_muted(&self) -> MutexGuard<'_, Option<&'static str>> {
        self.muted_table
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the store rows of all databases with their ids.
    #[must_use]
    pub fn server_rows(&self) -> Vec<(String, serde_json::Value)> {
        self.databases.server_rows()
    }

    /// Writes the current rows of all databases to the store.
    pub fn register(&self) {
        for (id, row) in self.databases.server_rows() {
            self.store.put("servers", &id, row.to_string().as_bytes());
        }
    }

    /// Publishes a configuration with a route for each name, kind and staleness bound.
    pub fn configure(&self, version: u64, routes: &[(&str, &str, u64)]) {
        self.configure_with(version, routes, &serde_json::json!({}));
    }

    /// Publishes a configuration whose organisations hold keys; the routes in `public` need none.
    pub fn configure_keys(
        &self,
        version: u64,
        routes: &[(&str, &str, u64)],
        public: &[&str],
        organisations: &[(&str, &[&str])],
    ) {
        let tenants: Vec<_> = organisations
            .iter()
            .map(|(name, keys)| serde_json::json!({"name": name, "api_keys": keys}))
            .collect();
        let extra = serde_json::json!({"tenants": tenants, "public": public});
        self.configure_with(version, routes, &extra);
    }

    /// Publishes a configuration with an organisation of one key and with a quota, in operations per
    /// second and as a burst.
    pub fn configure_quota(
        &self,
        version: u64,
        routes: &[(&str, &str, u64)],
        (organisation, key): (&str, &str),
        (rate, burst): (f64, f64),
    ) {
        let tenant = serde_json::json!({
            "name": organisation, "api_keys": [key], "rate_per_s": rate, "burst": burst,
        });
        let extra = serde_json::json!({"tenants": [tenant]});
        self.configure_with(version, routes, &extra);
    }

    fn configure_with(
        &self,
        version: u64,
        routes: &[(&str, &str, u64)],
        extra: &serde_json::Value,
    ) {
        let is_public = |name: &str| {
            let public = extra["public"].as_array();
            public.is_some_and(|public| public.iter().any(|it| it == name))
        };
        let routes: Vec<_> = routes
            .iter()
            .map(|(name, kind, staleness)| {
                serde_json::json!({
                    "name": format!("r-{name}"), "database_name": name, "kind": kind,
                    "service": SERVICE, "timeout_ms": 1_000, "target_latency_ms": 1_000,
                    "priority": 0, "max_staleness_ms": staleness, "max_attempts": 2,
                    "public": is_public(name),
                })
            })
            .collect();
        let mut config = serde_json::json!({
            "version": version, "routes": routes,
            "services": [{"name": SERVICE, "connection_limit": self.databases.max_connections(),
                "sync_replicas": self.databases.sync_replicas()}],
            "limits": {"transaction_idle_ms": 3_000},
        });
        if !extra["tenants"].is_null() {
            config["tenants"] = extra["tenants"].clone();
        }
        self.store
            .put("op", "config", config.to_string().as_bytes());
    }

    /// Runs a promotion order.
    ///
    /// Returns false if its fencing token is outdated or the database doesn't respond.
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

    /// Runs a promotion order after a delay, even if its sender has given up.
    ///
    /// Its fencing token is checked at that time.
    fn promote_after(&self, id: &str, token: u64, delay: Duration) {
        let (handle, id) = (self.clone(), id.to_owned());
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            handle.promote(&id, token);
        });
    }
}
