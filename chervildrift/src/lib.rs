//! The chervildrift proxy as a library; the binary only calls it.

pub mod gossip;
pub mod peer;
pub mod platform;
