//! The chervildrift program as a library, so that tests can run its parts.

pub mod gossip;
pub mod http;
pub mod logs;
pub mod metrics;
pub mod peer;
pub mod platform;
pub mod upstream;
pub mod work;
