//! Rules of one upstream, as the operators declare them.

use std::time::Duration;

use crate::types::{Kind, Rank};

/// Time constant over which slot time is measured when none is declared.
pub const DEFAULT_USAGE_WINDOW: Duration = Duration::from_millis(500);

/// Time in which the slots open after a failover when none is declared.
pub const DEFAULT_RAMP: Duration = Duration::from_secs(1);

/// Rules of one upstream.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Statements that may run at once.
    pub slots: usize,
    /// Greatest number of waiting jobs of each rank, in the order of [`Rank::ALL`].
    pub queue_limits: [usize; Rank::COUNT],
    /// Share of slot time that each rank keeps under any load; together at most 1.
    pub guaranteed_shares: [f64; Rank::COUNT],
    /// Kinds of work that may be submitted.
    pub kinds: Vec<KindPolicy>,
    /// Time constant over which the use of slots is measured.
    pub usage_window: Duration,
    /// Part of all slot time that may stay idle to keep a slot free of long bulk statements.
    pub reserved_share: f64,
    /// Time in which the slots open one by one after a failover.
    pub ramp: Duration,
    /// Whether the concurrency limit goes below the slots when the upstream slows.
    pub adaptive: bool,
}

/// Rules of one kind of work.
#[derive(Clone, Debug)]
pub struct KindPolicy {
    /// Name of the kind.
    pub kind: Kind,
    /// Rank of the kind.
    pub rank: Rank,
    /// Weight against the other kinds of the rank.
    pub weight: f64,
    /// Statements of the kind that may run at once.
    pub concurrency: usize,
    /// Service time that is expected until the first statements have finished.
    pub service_time: Duration,
}

impl KindPolicy {
    /// Builds the rules of a kind with share 1 and no concurrency limit of its own.
    #[must_use]
    pub fn new(kind: Kind, rank: Rank, service_time: Duration) -> Self {
        Self {
            kind,
            rank,
            weight: 1.0,
            concurrency: usize::MAX,
            service_time,
        }
    }
}
