//! Checked declaration of one service.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::rng::mix;
use crate::types::{GroupId, Instance, Kind, Rank, Service, Upstream, Zone};

/// What operators declare of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Declaration {
    /// Name of the service.
    pub service: Service,
    /// How a key picks an instance.
    pub routing: Routing,
    /// Share of slot time that each rank keeps in a flood.
    pub floors: GuaranteedShares,
    /// Instances with their database groups.
    pub groups: Vec<GroupSpec>,
    /// Kinds of work.
    pub kinds: Vec<KindSpec>,
}

/// How a key picks an instance.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Routing {
    /// By the hash of the key.
    #[display("hash")]
    Hash,
    /// By the part of the key before the first colon, which names the instance.
    #[display("prefix")]
    Prefix,
}

/// Guaranteed share of slot time by rank, in percent.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct GuaranteedShares {
    /// Floor of urgent work.
    pub urgent: u8,
    /// Floor of routine work.
    pub routine: u8,
    /// Floor of bulk work.
    pub bulk: u8,
}

impl GuaranteedShares {
    /// Returns the floor of `rank` in percent.
    #[must_use]
    pub const fn percent(&self, rank: Rank) -> u8 {
        match rank {
            Rank::Urgent => self.urgent,
            Rank::Routine => self.routine,
            Rank::Bulk => self.bulk,
        }
    }
}

/// One instance and the upstreams of its database group.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct GroupSpec {
    /// Name of the instance.
    pub instance: Instance,
    /// Upstreams of the group.
    pub upstreams: Vec<UpstreamSpec>,
}

/// One upstream.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct UpstreamSpec {
    /// Name of the upstream.
    pub name: Upstream,
    /// Address of its listener.
    pub address: SocketAddr,
    /// Availability zone it runs in.
    pub zone: Zone,
    /// Statements that it runs at a time.
    pub slots: u16,
    /// Connections that it takes from the whole fleet.
    pub connections: u16,
}

/// Whether a kind of work changes data.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Access {
    /// Reads only.
    #[display("read")]
    Read,
    /// Writes, and may read.
    #[display("write")]
    Write,
}

/// One kind of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KindSpec {
    /// Name of the kind.
    pub name: Kind,
    /// Rank of the kind.
    pub rank: Rank,
    /// Whether it changes data.
    pub access: Access,
    /// Weight against the other kinds of the same rank.
    pub share: u32,
    /// Time within which an answer is of use.
    pub deadline_ms: u64,
    /// Greatest age of data that a read may return; none means the primary.
    pub max_age_ms: Option<u64>,
    /// Whether the work may be run again without an idempotency record.
    pub repeatable: bool,
    /// Slots of one upstream that the kind may take at a time.
    pub concurrency: Option<u16>,
    /// Objective of the kind, if it has one.
    pub objective: Option<Objective>,
}

/// Objective of a kind of work.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Objective {
    /// Share of requests that must be answered in time.
    pub target_percent: f64,
    /// Time within which an answer counts as good.
    pub within_ms: u64,
}

impl Declaration {
    /// Returns the kind of that name.
    #[must_use]
    pub fn kind(&self, name: &str) -> Option<&KindSpec> {
        self.kinds.iter().find(|kind| kind.name.as_str() == name)
    }

    /// Returns the instance that `key` picks.
    #[must_use]
    pub fn group_for_key(&self, key: &str) -> Option<&GroupSpec> {
        match self.routing {
            Routing::Hash => {
                let count = self.groups.len() as u64;
                let index = hash_key(key).checked_rem(count)?;
                self.groups.get(index as usize)
            }
            Routing::Prefix => {
                let (prefix, _rest) = key.split_once(':')?;
                self.groups
                    .iter()
                    .find(|group| group.instance.as_str() == prefix)
            }
        }
    }

    /// Returns the id of one of the service's groups.
    #[must_use]
    pub fn group_id(&self, group: &GroupSpec) -> GroupId {
        GroupId {
            service: self.service.clone(),
            instance: group.instance.clone(),
        }
    }
}

/// Hashes a key; the result is part of the data layout and must never change.
fn hash_key(key: &str) -> u64 {
    key.bytes()
        .fold(0, |state, byte| mix(state ^ u64::from(byte)))
}
