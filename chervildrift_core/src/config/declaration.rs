//! Declaration of one service, after validation.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::rng::mix;
use crate::types::{GroupId, Instance, Kind, Rank, Service, Upstream, Zone};

/// Declaration of one service by its operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Declaration {
    /// Name of the service.
    pub service: Service,
    /// Method that selects the instance of a key.
    pub routing: Routing,
    /// Share of slot time that each rank is guaranteed under overload.
    pub floors: GuaranteedShares,
    /// Instances with their database groups.
    pub groups: Vec<GroupSpec>,
    /// Kinds of work.
    pub kinds: Vec<KindSpec>,
}

/// Method that selects the instance of a key.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Routing {
    /// Select by the hash of the key.
    #[display("hash")]
    Hash,
    /// Select by the part of the key before the first colon, which is the name of the instance.
    #[display("prefix")]
    Prefix,
}

/// Guaranteed share of slot time by rank, in percent.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct GuaranteedShares {
    /// Share of urgent work.
    pub urgent: u8,
    /// Share of routine work.
    pub routine: u8,
    /// Share of bulk work.
    pub bulk: u8,
}

impl GuaranteedShares {
    /// Returns the guaranteed share of `rank` in percent.
    #[must_use]
    pub const fn percent(&self, rank: Rank) -> u8 {
        match rank {
            Rank::Urgent => self.urgent,
            Rank::Routine => self.routine,
            Rank::Bulk => self.bulk,
        }
    }
}

/// Instance of a service and the upstreams of its database group.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct GroupSpec {
    /// Name of the instance.
    pub instance: Instance,
    /// Upstreams of the group.
    pub upstreams: Vec<UpstreamSpec>,
}

/// Upstream of a database group.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct UpstreamSpec {
    /// Name of the upstream.
    pub name: Upstream,
    /// Address of its listener.
    pub address: SocketAddr,
    /// Availability zone that the upstream runs in.
    pub zone: Zone,
    /// Number of statements that may run at once.
    pub slots: u16,
    /// Number of connections that the whole fleet may open.
    pub connections: u16,
}

/// Whether a kind of work changes data.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Access {
    /// Only reads data.
    #[display("read")]
    Read,
    /// Writes data and may read it.
    #[display("write")]
    Write,
}

/// Kind of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KindSpec {
    /// Name of the kind.
    pub name: Kind,
    /// Rank of the kind.
    pub rank: Rank,
    /// Whether the work changes data.
    pub access: Access,
    /// Weight relative to the other kinds of the same rank.
    pub share: u32,
    /// Time within which an answer is useful.
    pub deadline_ms: u64,
    /// Maximum age of the data that a read may return; none means that the primary is read.
    pub max_age_ms: Option<u64>,
    /// Whether the work may be retried without an idempotency record.
    pub repeatable: bool,
    /// Number of slots of one upstream that the kind may use at once.
    pub concurrency: Option<u16>,
    /// Objective of the kind, if it has one.
    pub objective: Option<Objective>,
}

/// Service level objective of a kind of work.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Objective {
    /// Percentage of requests that must be answered within `within_ms`.
    pub target_percent: f64,
    /// Time within which an answer counts as good.
    pub within_ms: u64,
}

impl Declaration {
    /// Returns the kind called `name`.
    #[must_use]
    pub fn kind(&self, name: &str) -> Option<&KindSpec> {
        self.kinds.iter().find(|kind| kind.name.as_str() == name)
    }

    /// Returns the instance and database group that `key` belongs to.
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

/// Hashes a key; the result decides which instance stores the key's data and must never change.
fn hash_key(key: &str) -> u64 {
    key.bytes()
        .fold(0, |state, byte| mix(state ^ u64::from(byte)))
}
