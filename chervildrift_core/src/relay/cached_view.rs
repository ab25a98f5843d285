//! What a VM tells another one that can't read the platform's store itself.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::directory::DirectoryEntry;
use super::route::Routes;
use crate::types::{Service, Upstream, Vm, Zone};

/// A VM that can be asked.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Peer {
    /// Name of the VM.
    pub vm: Vm,
    /// Availability zone of the VM.
    pub zone: Zone,
    /// Address of its listener for other VMs.
    pub address: SocketAddr,
}

/// What a VM makes of the leader of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaderStatus {
    /// Service.
    pub service: Service,
    /// Leader, if one is known.
    pub leader: Option<Upstream>,
    /// Whether another leader is needed.
    pub suspected: bool,
}

/// What a VM knows.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CachedView {
    /// Whether the VM reads the store itself at the moment.
    pub current: bool,
    /// Newest routes.
    pub routes: Routes,
    /// Upstreams.
    pub entries: Vec<DirectoryEntry>,
    /// Leaders of the services.
    pub judgements: Vec<LeaderStatus>,
    /// VMs that run.
    pub peers: Vec<Peer>,
}

impl CachedView {
    /// Tells whether the VM agrees that the leader of a service has to be replaced.
    #[must_use]
    pub fn agrees(&self, service: &Service, leader: Option<&Upstream>) -> bool {
        let judgement = self.judgements.iter().find(|it| it.service == *service);
        judgement.is_some_and(|it| {
            it.suspected
                && (it.leader.is_none() || leader.is_none() || it.leader.as_ref() == leader)
        })
    }
}
