//! State that a VM shares with VMs that can't read the platform's store themselves.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::directory::DirectoryEntry;
use super::outliers::EjectionNews;
use super::route::Routes;
use crate::placement::name_hash;
use crate::quota::RosterUpdate;
use crate::rng::mix;
use crate::types::{LogPosition, Service, Upstream, Vm, Zone};

/// Another VM and the address at which it can be reached.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Peer {
    /// Name of the VM.
    pub vm: Vm,
    /// Availability zone of the VM.
    pub zone: Zone,
    /// Address of its listener for other VMs.
    pub address: SocketAddr,
}

/// State of the leader of a service as one VM sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaderStatus {
    /// Name of the service.
    pub service: Service,
    /// Leader, if one is known.
    pub leader: Option<Upstream>,
    /// Whether another leader is needed.
    pub suspected: bool,
    /// Newest sample of the leader's log position and its age in milliseconds.
    #[serde(default)]
    pub sample: Option<(LogPosition, u64)>,
}

/// Parts of a cached view that the requesting VM has already, as versions and digests; 0 requests
/// a part in any case.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ViewRequest {
    /// Requesting VM, if the other one shall renew its presence record.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub vm: Option<Vm>,
    /// Version of the routes.
    pub routes: u64,
    /// Digest of the known upstreams and their versions.
    pub entries: u64,
    /// Digest of the running VMs.
    pub peers: u64,
    /// Digest of the VMs that may keep shares of quotas; 0 without organisations.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub keepers: u64,
    /// Ejections in force that the requesting VM knows.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ejections: Vec<EjectionNews>,
}

/// Times since the store, or another VM on its behalf, last confirmed what a VM knows, in
/// milliseconds; `None` if it never has.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ContentAges {
    /// Age of the routes.
    pub routes: Option<u64>,
    /// Age of the upstreams' entries.
    pub entries: Option<u64>,
}

/// Cached state of a VM, sent to other VMs on request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CachedView {
    /// Whether the VM can currently read the store itself.
    pub current: bool,
    /// Ages of the routes and the upstreams.
    #[serde(default)]
    pub ages: ContentAges,
    /// Whether the VM renews the presence record of the requesting one.
    #[serde(default)]
    pub renews: bool,
    /// Newest routes, unless the requesting VM has them.
    pub routes: Option<Routes>,
    /// Known upstreams, unless the requesting VM knows the same ones.
    pub entries: Option<Vec<DirectoryEntry>>,
    /// Times for which upstreams among the entries have been draining, in milliseconds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub drains: Vec<(Upstream, u64)>,
    /// Leaders of the services.
    pub judgements: Vec<LeaderStatus>,
    /// Running VMs, unless the requesting VM knows the same ones.
    pub peers: Option<Vec<Peer>>,
    /// VMs that may keep shares of quotas; `None` without organisations.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub keepers: Option<RosterUpdate>,
    /// Ejections in force.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ejections: Vec<EjectionNews>,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
const fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// Returns a digest of names and their versions, independent of their order and never 0.
pub fn digest<'a>(items: impl IntoIterator<Item = (&'a str, u64)>) -> u64 {
    let hash = |(name, version): (&str, u64)| mix(name_hash(name) ^ mix(version));
    let sum = items.into_iter().map(hash).fold(0, u64::wrapping_add);
    sum.max(1)
}

impl CachedView {
    /// Returns whether the VM agrees that the leader of a service has to be replaced.
    #[must_use]
    pub fn agrees(&self, service: &Service, leader: Option<&Upstream>) -> bool {
        let status = self.judgements.iter().find(|it| it.service == *service);
        status.is_some_and(|it| {
            it.suspected
                && (it.leader.is_none() || leader.is_none() || it.leader.as_ref() == leader)
        })
    }
}
