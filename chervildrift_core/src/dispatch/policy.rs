//! Scheduling policy of one upstream, derived from the operators' declarations.

use std::time::Duration;

use crate::types::{Kind, Rank};

/// Default time constant over which slot usage is measured.
pub const DEFAULT_USAGE_WINDOW: Duration = Duration::from_millis(500);

/// Default time in which the slots open after a failover.
pub const DEFAULT_RAMP: Duration = Duration::from_secs(1);

/// Scheduling policy of one upstream.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Number of statements that may run at once.
    pub slots: usize,
    /// Maximum number of waiting jobs of each rank, in the order of [`Rank::ALL`].
    pub queue_limits: [usize; Rank::COUNT],
    /// Share of slot time that each rank gets under any load; the sum is at most 1.
    pub guaranteed_shares: [f64; Rank::COUNT],
    /// Kinds of work that may be submitted.
    pub kinds: Vec<KindPolicy>,
    /// Time constant over which slot usage is measured.
    pub usage_window: Duration,
    /// Share of all slot time that may stay idle in order to keep one slot free of long bulk
    /// statements.
    pub reserved_share: f64,
    /// Time in which the slots open one by one after a failover.
    pub ramp: Duration,
    /// Whether the concurrency limit drops below `slots` when the upstream slows down.
    pub adaptive: bool,
}

/// Scheduling policy of one kind of work.
#[derive(Clone, Debug)]
pub struct KindPolicy {
    /// Name of the kind.
    pub kind: Kind,
    /// Rank of the kind.
    pub rank: Rank,
    /// Weight relative to the other kinds of the rank.
    pub weight: f64,
    /// Number of statements of the kind that may run at once.
    pub concurrency: usize,
    /// Service time that is assumed until statements have been measured.
    pub service_time: Duration,
}

impl KindPolicy {
    /// Creates the policy of a kind with weight 1 and no concurrency limit of its own.
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
