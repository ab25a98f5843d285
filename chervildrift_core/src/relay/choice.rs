//! Choice of the upstream for a read that several upstreams may serve.
//!
//! Answers a load that one upstream can't bear while others of its group idle. What a VM knows of a
//! wait is old and is known to many VMs, which all choose at the same moment. The upstream with the
//! least expected time would get all reads at once, and then the next one, by turns. Old news are
//! therefore drawn towards the mean of the group, which an idle upstream reaches once the others
//! have heard of it, and each choice draws the wait anew from an exponential distribution, so that
//! the reads divide by the inverse of the waits. Without any known wait the nearest upstream is
//! chosen, and no read goes abroad.

use std::time::Duration;

use crate::rng::Rng;
use crate::types::{Time, Upstream};

/// Time for which an upstream that lacked a required position is chosen last.
const LAG_BACKOFF: Duration = Duration::from_millis(100);

/// Time for which an upstream that did not answer is chosen last.
const FAILURE_BACKOFF: Duration = Duration::from_millis(500);

/// Latency advantage that the leader needs over a replica to serve a read, since writes can run
/// nowhere else.
const LEADER_PENALTY: Duration = Duration::from_millis(5);

/// Weight of the leader's wait: a read there also delays the writes behind it, which can run
/// nowhere else.
const LEADER_WAIT_WEIGHT: f64 = 16.0;

/// Age at which news of a wait counts as much as the mean of the group; less than callers notice.
const TRUSTED_AGE: Duration = Duration::from_millis(100);

/// Time in which a known wait loses half of its weight; callers' loads change within seconds.
const WAIT_HALF_LIFE: Duration = Duration::from_secs(2);

/// Share of the round-trip time that is drawn, so that upstreams of equal distance share the reads.
const RTT_DRAW: f64 = 0.25;

/// Upstream that may serve a read.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Name of the upstream.
    pub upstream: Upstream,
    /// Whether it is the leader of its service.
    pub is_leader: bool,
    /// Round-trip time.
    pub rtt: Duration,
    /// Wait for a connection and a slot when it was last known.
    pub queue_wait: Duration,
    /// Age of the known wait.
    pub news_age: Duration,
    /// Expected time to open a connection for the caller.
    pub setup: Duration,
    /// Whether it fails or delays more of its work than the others of its group.
    pub is_outlier: bool,
    /// Time at which it last lacked a required position.
    pub lagged_at: Option<Time>,
    /// Time at which it last gave no answer.
    pub failed_at: Option<Time>,
}

impl Candidate {
    /// Returns the known wait in microseconds, less what has probably passed since.
    fn remaining_wait(&self) -> f64 {
        let half_lives = self.news_age.as_secs_f64() / WAIT_HALF_LIFE.as_secs_f64();
        self.queue_wait.as_micros() as f64 * (-half_lives).exp2()
    }

    /// Draws the time until an answer of the candidate begins, in a group of this mean wait.
    fn draw_cost(&self, mean_us: f64, rng: &mut Rng) -> Duration {
        let age = self.news_age.as_secs_f64();
        let doubt = age / (age + TRUSTED_AGE.as_secs_f64());
        let expected_us = self.remaining_wait() * (1.0 - doubt) + mean_us * doubt;
        let factor = 1.0 - doubt - doubt * (1.0 - rng.unit_f64()).ln();
        let wait = Duration::from_micros((expected_us * factor) as u64);
        let rtt_factor = 1.0 + RTT_DRAW * (rng.unit_f64() - 0.5);
        let time = self.rtt.mul_f64(rtt_factor) + self.setup;
        if self.is_leader {
            time + wait.mul_f64(LEADER_WAIT_WEIGHT) + LEADER_PENALTY
        } else {
            time + wait
        }
    }
}

/// Returns the candidate that is expected to answer first, by waits drawn around the known ones.
#[must_use]
pub fn choose_upstream<'a>(
    now: Time,
    candidates: &'a [Candidate],
    rng: &mut Rng,
) -> Option<&'a Candidate> {
    let recent = |at: Option<Time>, backoff: Duration| at.is_some_and(|at| now.since(at) < backoff);
    let waits = candidates.iter().map(Candidate::remaining_wait);
    let mean_us = waits.sum::<f64>() / candidates.len().max(1) as f64;
    candidates.iter().min_by_key(|it| {
        (
            recent(it.failed_at, FAILURE_BACKOFF),
            it.is_outlier,
            recent(it.lagged_at, LAG_BACKOFF),
            it.draw_cost(mean_us, rng),
        )
    })
}
