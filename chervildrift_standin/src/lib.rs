//! Stand-ins of outside systems, for tests and the demo fleet.
//!
//! [`upstream::spawn`] starts one database server of a group, and [`platform::spawn`] starts the
//! platform's table service, object store and list of VMs. Both listen on a loopback address by
//! default, run on their own threads and can inject faults. [`deployment::spawn`] starts the store
//! and the databases that a relaying VM works with, as tasks on the caller's runtime.

pub mod deployment;
pub mod platform;
pub mod upstream;
