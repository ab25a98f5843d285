//! Choice of the upstream for a read that several upstreams may serve.

use std::time::Duration;

use crate::types::{Time, Upstream};

/// Time for which an upstream that lacked a required position is chosen last.
const LAG_BACKOFF: Duration = Duration::from_millis(100);

/// Time for which an upstream that did not answer is chosen last.
const FAILURE_BACKOFF: Duration = Duration::from_millis(500);

/// Latency advantage that the leader needs over a replica to serve a read, since writes can run
/// nowhere else.
const LEADER_PENALTY: Duration = Duration::from_millis(5);

/// Upstream that may serve a read.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Name of the upstream.
    pub upstream: Upstream,
    /// Whether it is the leader of its service.
    pub is_leader: bool,
    /// Round-trip time.
    pub rtt: Duration,
    /// Estimated wait for a connection.
    pub queue_wait: Duration,
    /// Time at which it last lacked a required position.
    pub lagged_at: Option<Time>,
    /// Time at which it last gave no answer.
    pub failed_at: Option<Time>,
}

/// Returns the candidate that is expected to answer first.
#[must_use]
pub fn choose_upstream(now: Time, candidates: &[Candidate]) -> Option<&Candidate> {
    let recent = |at: Option<Time>, backoff: Duration| at.is_some_and(|at| now.since(at) < backoff);
    candidates.iter().min_by_key(|it| {
        let penalty = if it.is_leader {
            LEADER_PENALTY
        } else {
            Duration::ZERO
        };
        (
            recent(it.failed_at, FAILURE_BACKOFF),
            recent(it.lagged_at, LAG_BACKOFF),
            it.rtt + it.queue_wait + penalty,
        )
    })
}
