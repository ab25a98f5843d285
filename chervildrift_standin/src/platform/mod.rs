//! Platform stand-in: table service, object store and list of VMs over HTTP.
//!
//! Table values are JSON, and each record has an entity tag for conditional writes. Faults are set
//! by `PUT /faults` or through the [`Handle`]. They never apply to `/faults` itself, nor to the
//! requests that change the list of VMs, which only tests send.

mod error;
mod faults;
mod routes;
mod server;
mod state;
mod table;
mod vms;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use tokio::sync::oneshot;

pub use self::error::Error;
pub use self::faults::Faults;
use self::state::SharedState;
pub use self::vms::{Vm, VmState};

/// Default number of threads that serve requests.
const DEFAULT_THREADS: usize = 2;

/// Start options of a platform stand-in.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on; port 0 selects a free one.
    pub address: SocketAddr,
    /// Number of threads that serve requests.
    pub threads: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            threads: DEFAULT_THREADS,
        }
    }
}

/// Handle of a running platform stand-in, which stops it at once when dropped.
pub struct Handle {
    address: SocketAddr,
    state: Arc<SharedState>,
    /// Closes the listener and all connections.
    close: Box<dyn Fn() + Send + Sync>,
    stopped: oneshot::Receiver<()>,
}

impl std::fmt::Debug for Handle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Handle")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Handle {
    /// Returns the address that the platform listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the URL of a path, such as `/vms`.
    #[must_use]
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Returns the current faults.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.state.lock().faults
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state.lock().faults = faults;
    }

    /// Adds a VM to the list or replaces it.
    pub fn put_vm(&self, vm: Vm) {
        self.state.lock().vms.put(vm);
    }

    /// Stops the platform after the responses to active requests.
    pub async fn stop(mut self) {
        server::drain(&self.state).await;
        (self.close)();
        let _ = (&mut self.stopped).await;
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        (self.close)();
    }
}

/// Starts a platform stand-in on its own threads.
pub fn spawn(options: &Options) -> Result<Handle, Error> {
    server::spawn(options)
}
