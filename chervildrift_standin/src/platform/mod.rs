//! Platform stand-in: table service, object store and list of VMs over HTTP.
//!
//! Table values are JSON, and each has an entity tag for conditional writes. Faults are switched
//! by `PUT /faults` or by the [`Handle`]; they never apply to `/faults` itself, nor to the
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

/// Threads that serve the platform unless told otherwise.
const DEFAULT_THREADS: usize = 2;

/// How a platform stand-in starts.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on; port 0 takes a free one.
    pub address: SocketAddr,
    /// Threads that serve requests.
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

/// Running platform stand-in; dropping it stops it at once.
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

    /// Returns the address of a path, such as `/vms`.
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

    /// Adds or replaces a VM of the list.
    pub fn put_vm(&self, vm: Vm) {
        self.state.lock().vms.put(vm);
    }

    /// Stops the platform after the requests in progress have been answered.
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

/// Starts a platform stand-in on threads of its own.
pub fn spawn(options: &Options) -> Result<Handle, Error> {
    server::spawn(options)
}
