//! Groups of upstreams: leaders, their replacement and the confirmation of commits.

pub(super) mod confirm;
pub(super) mod failover;
pub(super) mod leader_monitor;
pub(super) mod leases;
pub(super) mod orders;
pub(super) mod replicas;
pub(super) mod selection;
