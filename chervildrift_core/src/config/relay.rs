//! Settings of a VM that relays callers' sessions.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Log;
use crate::types::{Vm, Zone};

/// Settings of a VM that relays callers' sessions, as in its settings file.
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
    /// Listeners of other VMs to ask while the platform's store can't be read.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address that takes orders to promote an upstream, if the platform takes any.
    #[serde(default)]
    pub promotions: Option<SocketAddr>,
    /// Whether the platform refuses an order whose fencing token is lower than one that it has seen.
    #[serde(default = "RelaySettings::tokens_checked")]
    pub tokens_checked: bool,
    /// Time between a signal to stop and the end of the process, in seconds.
    #[serde(default = "RelaySettings::grace_s")]
    pub grace_s: f64,
    /// Time after which an upstream that leaves must get no more work, in milliseconds.
    #[serde(default = "RelaySettings::drain_ms")]
    pub drain_ms: f64,
    /// Time in which a published configuration must be in force, in milliseconds.
    #[serde(default = "RelaySettings::apply_ms")]
    pub apply_ms: f64,
    /// Longest time that a request is held for a leader, in milliseconds.
    #[serde(default = "RelaySettings::hold_ms")]
    pub hold_ms: u64,
    /// Longest wait for a replica to have received a commit before it is acknowledged, in
    /// milliseconds; 0 acknowledges at the primary alone.
    #[serde(default = "RelaySettings::confirm_ms")]
    pub confirm_ms: u64,
    /// Logs.
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

    /// The bound of the platform on which the program first ran.
    const fn drain_ms() -> f64 {
        7_000.0
    }

    /// The bound of the platform on which the program first ran.
    const fn apply_ms() -> f64 {
        4_000.0
    }

    /// Covers several ways between regions and the wait for a slot.
    const fn confirm_ms() -> u64 {
        300
    }

    /// Covers a failover: its detection, the votes, the order and the start of the new leader.
    const fn hold_ms() -> u64 {
        4_000
    }
}
