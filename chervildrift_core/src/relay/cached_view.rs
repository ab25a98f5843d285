//! State that a VM shares with VMs that can't read the platform's store themselves.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::directory::DirectoryEntry;
use super::route::Routes;
use crate::types::{Service, Upstream, Vm, Zone};

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
}

/// Cached state of a VM, sent to other VMs on request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CachedView {
    /// Whether the VM can currently read the store itself.
    pub current: bool,
    /// Newest routes.
    pub routes: Routes,
    /// Known upstreams.
    pub entries: Vec<DirectoryEntry>,
    /// Leaders of the services.
    pub judgements: Vec<LeaderStatus>,
    /// Running VMs.
    pub peers: Vec<Peer>,
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
