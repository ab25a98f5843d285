//! Group state cached by an entry.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::types::{LogPosition, Rank, Term, Time, Zone};

use super::MAX_STATE_AGE;

/// State of one database group as last reported by a dispatcher.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GroupCache {
    /// Time at which the request was sent whose reply carried this state.
    pub updated_at: Option<Time>,
    /// Current term.
    pub term: Term,
    /// Index of the current primary.
    pub primary: Option<usize>,
    /// State of each upstream.
    pub upstreams: SmallVec<[UpstreamState; 3]>,
}

/// State of one upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamState {
    /// Availability zone of the upstream.
    pub zone: Zone,
    /// Last entry that is visible to reads.
    pub applied: LogPosition,
    /// Data age; `None` if unknown.
    pub data_age: Option<Duration>,
    /// Expected queueing time by rank.
    pub queue_waits: [Duration; Rank::COUNT],
    /// Round-trip time from the entry.
    pub rtt: Duration,
    /// Whether the upstream accepts work: it is reachable and not leaving.
    pub accepting: bool,
}

impl GroupCache {
    /// Replaces the state with a reported one unless the cached one is newer.
    pub fn update(&mut self, reported: Self) {
        let newer = reported.updated_at > self.updated_at;
        if reported.term > self.term || (reported.term == self.term && newer) {
            *self = reported;
        }
    }

    /// Clears a primary that refused a write for its term, until a reply names another one.
    pub fn forget_primary(&mut self, term: Term) {
        if term == self.term {
            self.primary = None;
        }
    }

    pub(super) fn is_stale(&self, now: Time) -> bool {
        self.updated_at
            .is_none_or(|updated_at| now.since(updated_at) > MAX_STATE_AGE)
    }

    /// Returns the time since the state was updated.
    pub(super) fn state_age(&self, now: Time) -> Duration {
        self.updated_at
            .map_or(Duration::MAX, |updated_at| now.since(updated_at))
    }

    /// Returns the data age of an upstream at `now`, which grows from the time of the update.
    pub(super) fn data_age(&self, now: Time, index: usize) -> Option<Duration> {
        let age = self.upstreams.get(index)?.data_age?;
        Some(age.saturating_add(self.state_age(now)))
    }
}
