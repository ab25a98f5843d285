//! Settings of a VM that relays callers' sessions.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{CallerLimits, Log};
use crate::types::{Vm, Zone};

/// Settings file of a VM that relays callers' sessions.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Name of the VM.
    pub vm: Vm,
    /// Availability zone of the VM.
    pub zone: Zone,
    /// Regions of the availability zones.
    #[serde(default)]
    pub regions: BTreeMap<Zone, String>,
    /// Address of the callers' listener.
    pub callers: SocketAddr,
    /// Address of the operators' listener.
    pub operators: SocketAddr,
    /// Address of the listener for other VMs.
    pub peers: SocketAddr,
    /// Addresses of other VMs to contact while the platform's store can't be read.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address for orders to promote an upstream, if the platform accepts such orders.
    #[serde(default)]
    pub promotions: Option<SocketAddr>,
    /// Whether the platform rejects an order whose fencing token is lower than an earlier one.
    #[serde(default = "RelaySettings::tokens_checked")]
    pub tokens_checked: bool,
    /// Time between a termination signal and the end of the process, in seconds.
    #[serde(default = "RelaySettings::grace_s")]
    pub grace_s: f64,
    /// Time after which an upstream that is being removed must get no more work, in milliseconds.
    #[serde(default = "RelaySettings::drain_ms")]
    pub drain_ms: f64,
    /// Time within which a published configuration must take effect, in milliseconds.
    #[serde(default = "RelaySettings::apply_ms")]
    pub apply_ms: f64,
    /// Maximum time for which a request waits for a leader, in milliseconds.
    #[serde(default = "RelaySettings::hold_ms")]
    pub hold_ms: u64,
    /// Maximum wait for a replica to receive a commit before the commit is acknowledged, in
    /// milliseconds; with 0 the commit at the primary alone is acknowledged.
    #[serde(default = "RelaySettings::confirm_ms")]
    pub confirm_ms: u64,
    /// Limits on callers.
    #[serde(default)]
    pub limits: CallerLimits,
    /// Logging.
    #[serde(default)]
    pub log: Log,
}

impl RelaySettings {
    const fn tokens_checked() -> bool {
        true
    }

    const fn grace_s() -> f64 {
        6.0
    }

    /// Bound of the platform that the program was first deployed on.
    const fn drain_ms() -> f64 {
        7_000.0
    }

    /// Bound of the platform that the program was first deployed on.
    const fn apply_ms() -> f64 {
        4_000.0
    }

    /// Covers several times the one-way latency between regions and the wait for a slot.
    const fn confirm_ms() -> u64 {
        300
    }

    /// Covers a failover: detection, votes, the promotion order and the start of the new leader.
    const fn hold_ms() -> u64 {
        4_000
    }
}
