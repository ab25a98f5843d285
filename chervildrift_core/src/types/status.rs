//! Ranks, roles and the status that an upstream reports.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{LogPosition, Term};

/// Priority class of a kind of requests, most urgent first.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Rank {
    /// Interactive writes such as confirmations and acceptances.
    #[display("urgent")]
    Urgent,
    /// Edits.
    #[display("routine")]
    Routine,
    /// Browsing and reports.
    #[display("bulk")]
    Bulk,
}

impl Rank {
    /// Number of ranks.
    pub const COUNT: usize = 3;

    /// All ranks, most urgent first.
    pub const ALL: [Self; Self::COUNT] = [Self::Urgent, Self::Routine, Self::Bulk];

    /// Returns the index of the rank in [`Rank::ALL`].
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }
}

/// Role of an upstream in its database group.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Accepts writes.
    #[display("primary")]
    Primary,
    /// Replicates from a primary.
    #[display("replica")]
    Replica,
}

/// Answer of an upstream to a status read.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Current role.
    pub role: Role,
    /// Highest term at which the upstream was fenced; it accepts nothing from a lower term.
    pub fenced: Term,
    /// Last entry that is durable in the upstream's log.
    pub received: LogPosition,
    /// Last entry that is visible to reads at the upstream.
    pub applied: LogPosition,
    /// Time since a replica last received a message from its primary, if it ever did.
    pub heard: Option<Duration>,
}
