//! Connections to upstreams: this VM's own, and those that holders lend.

pub(super) mod checkout;
pub(super) mod connection;
pub(super) mod holder;
pub(super) mod pool;
pub(super) mod remote;
