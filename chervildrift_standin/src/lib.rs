//! Stand-ins for the platform and the upstreams, for tests and the embedded default.
//!
//! [`upstream::spawn`] starts one database server of a group, and [`platform::spawn`] starts the
//! platform's table service, object store and VM list. Both listen on a loopback address, run on
//! threads of their own and can be told to fail in chosen ways.

pub mod deployment;
pub mod platform;
pub mod upstream;
