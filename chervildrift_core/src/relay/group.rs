//! Observed state of the upstreams of one service: the leader and samples of its log position.
//!
//! A sample is a position that the leader returned in an answer which only a leader gives. It
//! covers every commit that was acknowledged before the request was sent. Samples of an earlier
//! leader are dropped, since its last commits may have been rolled back.

use std::collections::VecDeque;
use std::time::Duration;

use super::election::{ORDER_TTL, PROMOTION_DURATION};
use crate::types::{LogPosition, Term, Time, Upstream};

/// Minimum interval between retained samples.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Age at which samples are dropped; routes allow reads that are a few seconds old.
const SAMPLE_TTL: Duration = Duration::from_secs(10);

/// Part of a staleness bound that is reserved for the transmission of the read.
const STALENESS_SLACK: Duration = Duration::from_millis(100);

/// Minimum number of consecutive failures before a leader is suspected; a single one may be the
/// connection's.
const SUSPECT_MISSES: u32 = 2;

/// Minimum time without an answer before a leader is suspected.
///
/// With 600 ms, 15% lost and 30% late reads caused no false failover (docs/decisions.md).
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time without a leader after which a failover starts; a promotion in progress takes less.
const LEADERLESS_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a fence is lifted if the promotion that it was set for has not come.
///
/// A promotion in progress ends the fence earlier: orders are issued for 2 s, and the new leader
/// starts within 3 s of an order.
const FENCE_TIMEOUT: Duration = Duration::from_secs(8);

/// Time after which a fence is lifted where replicas acknowledge commits: there it also stays while
/// an unanswered order may take effect.
const SYNC_FENCE_TIMEOUT: Duration = FENCE_TIMEOUT
    .saturating_add(ORDER_TTL)
    .saturating_add(PROMOTION_DURATION);

/// Maximum interval between two observations of one fence; after a longer one, the fence may have
/// been lifted and set again.
const MAX_FENCE_GAP: Duration = Duration::from_millis(2_500);

/// Position of the leader's log and the time at which it was requested.
#[derive(Clone, Copy, Debug)]
struct LogSample {
    requested_at: Time,
    position: LogPosition,
}

/// Latest commit of a session.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SessionCommit {
    /// Position of the commit, if the upstream reported it.
    pub position: Option<LogPosition>,
    /// Epoch of the leader that acknowledged it.
    pub epoch: u64,
    /// Time of the acknowledgement.
    pub acknowledged: Time,
}

/// Replication state of a commit as far as it is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicationState {
    /// A replica has received the commit.
    Received,
    /// No replica has reported the commit yet.
    Missing,
    /// A leader of a later term exists, whose log may lack the commit.
    Superseded,
}

/// Refusal of an upstream to lead.
#[derive(Clone, Debug)]
struct LeadRefusal {
    upstream: Upstream,
    /// Version of its directory entry at that time.
    version: u64,
    requested_at: Time,
}

/// Fence observed at a replica.
#[derive(Clone, Debug)]
struct Fence {
    upstream: Upstream,
    since: Time,
    last_seen: Time,
}

/// State of a replica's fence after an observation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FenceState {
    /// The replica is not fenced.
    Unfenced,
    /// The replica was fenced since the last observation.
    New,
    /// The promotion that ends the fence may still come.
    PromotionPending,
    /// The promotion has not come in time, so the fence has to be lifted.
    Expired,
}

/// Returns the time after which a fence is lifted if the promotion that it was set for has not come.
#[must_use]
pub const fn fence_timeout(sync_replicas: usize) -> Duration {
    if sync_replicas > 0 {
        SYNC_FENCE_TIMEOUT
    } else {
        FENCE_TIMEOUT
    }
}

/// Minimum log position that a read requires.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MinPosition {
    /// Any upstream whose log contains this position may serve the read.
    AtLeast(LogPosition),
    /// Only the leader may serve the read.
    LeaderOnly,
}

/// Observed state of the upstreams of one service.
#[derive(Clone, Debug, Default)]
pub struct Group {
    leader: Option<Upstream>,
    epoch: u64,
    samples: VecDeque<LogSample>,
    /// Time at which the leader became leader.
    leader_since: Time,
    /// Time at which the leader last answered or became leader.
    last_answer: Time,
    misses: u32,
    /// Time at which it was first recorded that there is no leader.
    leaderless_since: Option<Time>,
    /// Last position that each replica is known to have received.
    received: Vec<(Upstream, LogPosition)>,
    /// Highest term of any leader.
    newest_term: Term,
    /// Fences observed at replicas under this leader.
    fences: Vec<Fence>,
    /// Latest refusal of each upstream to lead.
    refusals: Vec<LeadRefusal>,
}

impl Group {
    /// Returns the leader.
    #[must_use]
    pub const fn leader(&self) -> Option<&Upstream> {
        self.leader.as_ref()
    }

    /// Returns the leader unless it is suspected.
    #[must_use]
    pub fn trusted_leader(&self, now: Time) -> Option<&Upstream> {
        self.leader.as_ref().filter(|_| !self.needs_failover(now))
    }

    /// Returns the number of leader changes observed, with which commits of sessions are tagged.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Sets the leader and returns whether it has changed.
    pub fn set_leader(&mut self, now: Time, upstream: &Upstream) -> bool {
        if self.leader.as_ref() == Some(upstream) {
            return false;
        }
        self.leader = Some(upstream.clone());
        self.epoch += 1;
        self.samples.clear();
        self.received.clear();
        self.fences.clear();
        self.leader_since = now;
        self.last_answer = now;
        self.misses = 0;
        self.leaderless_since = None;
        self.refusals.retain(|it| it.upstream != *upstream);
        true
    }

    /// Records that an upstream refused to lead, in answer to a request sent at `requested_at` and
    /// while its directory entry had this version.
    ///
    /// A refusal is ignored if the request was sent before the upstream became leader.
    pub fn record_refusal(&mut self, requested_at: Time, upstream: &Upstream, version: u64) {
        if self.leader.as_ref() == Some(upstream) && requested_at < self.leader_since {
            return;
        }
        self.refusals.retain(|it| it.upstream != *upstream);
        self.refusals.push(LeadRefusal {
            upstream: upstream.clone(),
            version,
            requested_at,
        });
        self.clear_leader(upstream);
    }

    /// Clears the leader if it is this upstream.
    pub fn clear_leader(&mut self, upstream: &Upstream) {
        if self.leader.as_ref() == Some(upstream) {
            self.leader = None;
            self.samples.clear();
        }
    }

    /// Returns whether an upstream refused to lead under this or a later version of its entry.
    #[must_use]
    pub fn has_refused(&self, upstream: &Upstream, version: u64) -> bool {
        let matches_refusal = |it: &LeadRefusal| it.upstream == *upstream && it.version >= version;
        self.refusals.iter().any(matches_refusal)
    }

    /// Records a leader and its log position that another VM sampled at `sampled_at`.
    ///
    /// Returns true if the leader has changed. It is ignored if this VM has newer information: a
    /// refusal of that upstream, or another leader that responds and has at least the same term.
    pub fn merge_sample(
        &mut self,
        now: Time,
        sampled_at: Time,
        upstream: &Upstream,
        position: LogPosition,
    ) -> bool {
        let refused = |it: &LeadRefusal| it.upstream == *upstream && it.requested_at >= sampled_at;
        if self.refusals.iter().any(refused) || position.term < self.newest_term {
            return false;
        }
        let is_newer = self
            .newest_position()
            .is_none_or(|newest| position.term > newest.term);
        let differs = self.leader.as_ref() != Some(upstream);
        if differs && self.has_responsive_leader(now) && !is_newer {
            return false;
        }
        let changed = self.set_leader(now, upstream);
        self.record_term(position.term);
        let last_sample = self.samples.back().map(|it| it.requested_at);
        if last_sample.is_none_or(|last| sampled_at >= last + MIN_SAMPLE_INTERVAL) {
            let last_answer = self.last_answer;
            self.record_sample(sampled_at, sampled_at, upstream, position);
            self.last_answer = last_answer.max(sampled_at);
        }
        changed
    }

    /// Returns the newest sample and the time at which it was requested.
    #[must_use]
    pub fn newest_sample(&self) -> Option<(LogPosition, Time)> {
        let sample = self.samples.back()?;
        Some((sample.position, sample.requested_at))
    }

    /// Records a position that the leader returned for a request sent at `requested_at`.
    pub fn record_sample(
        &mut self,
        now: Time,
        requested_at: Time,
        upstream: &Upstream,
        position: LogPosition,
    ) {
        if self.leader.as_ref() != Some(upstream) {
            return;
        }
        self.last_answer = now;
        self.misses = 0;
        while let Some(first) = self.samples.front()
            && now.since(first.requested_at) > SAMPLE_TTL
        {
            self.samples.pop_front();
        }
        if let Some(last) = self.samples.back()
            && requested_at < last.requested_at + MIN_SAMPLE_INTERVAL
        {
            return;
        }
        self.samples.push_back(LogSample {
            requested_at,
            position,
        });
    }

    /// Records that an upstream gave no answer, if it is the leader.
    pub fn record_miss(&mut self, upstream: &Upstream) {
        if self.leader.as_ref() == Some(upstream) {
            self.misses += 1;
        }
    }

    /// Restarts failure detection, for example after a time in which this VM did not run.
    pub const fn reset_suspicion(&mut self, now: Time) {
        self.last_answer = now;
        self.misses = 0;
        self.leaderless_since = None;
    }

    /// Records that there is no leader; the time of the first such record counts.
    pub fn record_leaderless(&mut self, now: Time) {
        if self.leader.is_none() {
            self.leaderless_since.get_or_insert(now);
        }
    }

    /// Returns whether a leader has to be promoted, since the current one is suspected or there
    /// has been none for a while.
    #[must_use]
    pub fn needs_failover(&self, now: Time) -> bool {
        if self.leader.is_none() {
            return self
                .leaderless_since
                .is_some_and(|since| now.since(since) >= LEADERLESS_TIMEOUT);
        }
        self.misses >= SUSPECT_MISSES && now.since(self.last_answer) >= SUSPECT_TIMEOUT
    }

    /// Returns whether the leader has answered recently, in which case a mere report of another
    /// primary does not replace it.
    #[must_use]
    pub fn has_responsive_leader(&self, now: Time) -> bool {
        self.leader.is_some() && now.since(self.last_answer) < SUSPECT_TIMEOUT
    }

    /// Returns the age of the newest sample.
    #[must_use]
    pub fn sample_age(&self, now: Time) -> Option<Duration> {
        self.samples
            .back()
            .map(|sample| now.since(sample.requested_at))
    }

    /// Returns the minimum position for a read that is at most `bound` old.
    ///
    /// The position is as old as the bound allows, so that lagging replicas can serve the read.
    #[must_use]
    pub fn min_position(
        &self,
        now: Time,
        bound: Duration,
        commit: Option<SessionCommit>,
    ) -> MinPosition {
        let max_age = bound.saturating_sub(STALENESS_SLACK);
        let within_bound = |sample: &&LogSample| now.since(sample.requested_at) <= max_age;
        let Some(oldest) = self.samples.iter().find(within_bound) else {
            return MinPosition::LeaderOnly;
        };
        match commit {
            None => MinPosition::AtLeast(oldest.position),
            Some(commit) if commit.epoch == self.epoch => {
                commit.position.map_or(MinPosition::LeaderOnly, |position| {
                    MinPosition::AtLeast(oldest.position.max(position))
                })
            }
            // The commit may have been rolled back; if not, a sample that was requested after its
            // acknowledgement covers it.
            Some(commit) => self
                .newest_sample()
                .filter(|(_, requested_at)| *requested_at > commit.acknowledged)
                .map_or(MinPosition::LeaderOnly, |(position, _)| {
                    MinPosition::AtLeast(position)
                }),
        }
    }

    /// Returns the newest sampled position of the leader.
    #[must_use]
    pub fn newest_position(&self) -> Option<LogPosition> {
        self.samples.back().map(|sample| sample.position)
    }

    /// Records the position that a replica has received.
    pub fn record_received(&mut self, upstream: &Upstream, position: LogPosition) {
        if self.leader.as_ref() == Some(upstream) {
            return;
        }
        self.record_term(position.term);
        match self.received.iter_mut().find(|(name, _)| name == upstream) {
            // A replica that was rolled back by a promotion reports a lower position than before.
            Some((_, known)) => *known = position,
            None => self.received.push((upstream.clone(), position)),
        }
    }

    /// Returns the last position that a replica is known to have received.
    #[must_use]
    pub fn received_position(&self, upstream: &Upstream) -> Option<LogPosition> {
        let known = self.received.iter().find(|(name, _)| name == upstream);
        known.map(|(_, position)| *position)
    }

    /// Returns the highest position received by any replica under this leader.
    #[must_use]
    pub fn max_received(&self) -> Option<LogPosition> {
        self.received.iter().map(|(_, position)| *position).max()
    }

    /// Records the term of a leader or of a commit.
    pub fn record_term(&mut self, term: Term) {
        self.newest_term = self.newest_term.max(term);
    }

    /// Records whether a replica is fenced, and returns the state of the fence, which expires after
    /// `timeout`.
    ///
    /// A fence that was not observed for a while may have been lifted and set again in the
    /// meantime.
    pub fn record_fence(
        &mut self,
        now: Time,
        upstream: &Upstream,
        fenced: bool,
        timeout: Duration,
    ) -> FenceState {
        let known = self.fences.iter_mut().find(|it| it.upstream == *upstream);
        match known {
            _ if !fenced => {
                self.fences.retain(|it| it.upstream != *upstream);
                FenceState::Unfenced
            }
            Some(fence) if now.since(fence.last_seen) < MAX_FENCE_GAP => {
                fence.last_seen = now;
                if now.since(fence.since) >= timeout {
                    FenceState::Expired
                } else {
                    FenceState::PromotionPending
                }
            }
            Some(fence) => {
                fence.since = now;
                fence.last_seen = now;
                FenceState::New
            }
            None => {
                let upstream = upstream.clone();
                self.fences.push(Fence {
                    upstream,
                    since: now,
                    last_seen: now,
                });
                FenceState::New
            }
        }
    }

    /// Returns the replication state of a commit.
    ///
    /// Only a position of the same term confirms the commit: in a later term, the same position may
    /// belong to another commit.
    #[must_use]
    pub fn replication_state(&self, commit: LogPosition) -> ReplicationState {
        if self.newest_term > commit.term {
            return ReplicationState::Superseded;
        }
        let mut received = self.received.iter().map(|(_, position)| position);
        if received
            .any(|position| position.term == commit.term && position.position >= commit.position)
        {
            return ReplicationState::Received;
        }
        ReplicationState::Missing
    }

    /// Tags the latest commit of a session, acknowledged now, with the current epoch.
    #[must_use]
    pub const fn tag_commit(&self, now: Time, position: Option<LogPosition>) -> SessionCommit {
        SessionCommit {
            position,
            epoch: self.epoch,
            acknowledged: now,
        }
    }
}
