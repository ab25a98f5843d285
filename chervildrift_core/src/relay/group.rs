//! What a VM knows of the upstreams of one service: the leader and samples of its log.
//!
//! A sample is the position that the leader showed in an answer which only a leader gives. It covers
//! every commit that was acknowledged before the request for it was sent. Samples of an earlier
//! leader are dropped, since its last commits may have been rolled back.

use std::collections::VecDeque;
use std::time::Duration;

use crate::types::{LogPosition, Term, Time, Upstream};

/// Time between the samples that are kept.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Age from which samples are dropped; routes allow reads that are a few seconds old.
const SAMPLE_TTL: Duration = Duration::from_secs(10);

/// Part of a staleness bound that is left for the way of the read.
const STALENESS_SLACK: Duration = Duration::from_millis(100);

/// Failures in a row after which a silent leader is suspected; a single one may be the link's.
const SUSPECT_MISSES: u32 = 2;

/// Silence after which a leader is suspected.
///
/// At 600 ms no false change was seen at 15% lost and 30% late reads (docs/decisions.md).
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time without a leader after which one has to be made; a promotion that is under way takes less.
const LEADERLESS_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a fence around a promotion that never came is lifted.
///
/// A promotion that is under way ends it earlier: orders are given for 3 s, and a leader starts
/// within some seconds.
const FENCE_TIMEOUT: Duration = Duration::from_secs(8);

/// Time between two looks at a fenced replica from which the fence may be another one.
const MAX_FENCE_GAP: Duration = Duration::from_millis(2_500);

/// A position of the leader's log and when it was asked for.
#[derive(Clone, Copy, Debug)]
struct LogSample {
    requested_at: Time,
    position: LogPosition,
}

/// Newest commit of a session.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SessionCommit {
    /// Position of the commit, if the upstream told it.
    pub position: Option<LogPosition>,
    /// Leadership under which it was acknowledged.
    pub epoch: u64,
}

/// What is known of a commit at the replicas.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicationState {
    /// A replica has received it.
    Received,
    /// No replica has shown it yet.
    Missing,
    /// A leader of a later term exists, whose log may lack it.
    Superseded,
}

/// A replica that was seen to be fenced.
#[derive(Clone, Debug)]
struct Fence {
    upstream: Upstream,
    since: Time,
    last_seen: Time,
}

/// What a look at a replica shows of its fence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FenceState {
    /// It receives.
    Unfenced,
    /// It was fenced since the last look.
    New,
    /// A promotion that would end the fence may still come.
    PromotionPending,
    /// The promotion has not come in time, so that the fence has to be lifted.
    Expired,
}

/// Position that a read needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MinPosition {
    /// Any upstream whose log holds this position may serve the read.
    AtLeast(LogPosition),
    /// Only the leader may.
    LeaderOnly,
}

/// What a VM knows of the upstreams of one service.
#[derive(Clone, Debug, Default)]
pub struct Group {
    leader: Option<Upstream>,
    epoch: u64,
    samples: VecDeque<LogSample>,
    /// When the leader became leader.
    leader_since: Time,
    /// When the leader last answered, or became leader.
    last_answer: Time,
    misses: u32,
    /// Since when there has been no leader, once that was noticed.
    leaderless_since: Option<Time>,
    /// Last position that each replica was seen to have received.
    received: Vec<(Upstream, LogPosition)>,
    /// Newest term of any leader.
    newest_term: Term,
    /// Replicas that were seen to be fenced under this leader.
    fences: Vec<Fence>,
    /// Upstreams that refused to lead, with the version of their entry then.
    refusals: Vec<(Upstream, u64)>,
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

    /// Returns the number of leaderships seen, which tags the commits of sessions.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Takes an upstream for the leader; false if it was already.
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
        self.refusals.retain(|(name, _)| name != upstream);
        true
    }

    /// Notes that an upstream refused to lead, asked at `asked` and while its entry had this
    /// version.
    ///
    /// A refusal of what was asked before the upstream became leader says nothing.
    pub fn record_refusal(&mut self, requested_at: Time, upstream: &Upstream, version: u64) {
        if self.leader.as_ref() == Some(upstream) && requested_at < self.leader_since {
            return;
        }
        self.refusals.retain(|(name, _)| name != upstream);
        self.refusals.push((upstream.clone(), version));
        self.clear_leader(upstream);
    }

    /// Forgets the leader if it is this upstream.
    pub fn clear_leader(&mut self, upstream: &Upstream) {
        if self.leader.as_ref() == Some(upstream) {
            self.leader = None;
            self.samples.clear();
        }
    }

    /// Tells whether an upstream refused to lead under this version of its entry.
    #[must_use]
    pub fn has_refused(&self, upstream: &Upstream, version: u64) -> bool {
        let same = |it: &(Upstream, u64)| it.0 == *upstream && it.1 >= version;
        self.refusals.iter().any(same)
    }

    /// Takes in a position that an upstream showed as leader, asked for at `asked`.
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

    /// Notes that the leader gave no answer.
    pub fn record_miss(&mut self, upstream: &Upstream) {
        if self.leader.as_ref() == Some(upstream) {
            self.misses += 1;
        }
    }

    /// Starts to judge the leader anew, as after a time in which this VM did not run.
    pub const fn reset_suspicion(&mut self, now: Time) {
        self.last_answer = now;
        self.misses = 0;
        self.leaderless_since = None;
    }

    /// Notes that there is no leader now.
    pub fn record_absence(&mut self, now: Time) {
        if self.leader.is_none() {
            self.leaderless_since.get_or_insert(now);
        }
    }

    /// Tells whether a leader has to be made, since it seems to be dead or there has been none.
    #[must_use]
    pub fn needs_failover(&self, now: Time) -> bool {
        if self.leader.is_none() {
            return self
                .leaderless_since
                .is_some_and(|since| now.since(since) >= LEADERLESS_TIMEOUT);
        }
        self.misses >= SUSPECT_MISSES && now.since(self.last_answer) >= SUSPECT_TIMEOUT
    }

    /// Tells whether the leader has answered lately, so that only a proof makes another one leader.
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

    /// Returns the position that a read at most `bound` old needs, which is as old as allowed so
    /// that lagging replicas can serve it.
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
            // The commit may have been rolled back; the newest sample holds it if it was not.
            Some(_) => self
                .newest_position()
                .map_or(MinPosition::LeaderOnly, MinPosition::AtLeast),
        }
    }

    /// Returns the newest position of the leader.
    #[must_use]
    pub fn newest_position(&self) -> Option<LogPosition> {
        self.samples.back().map(|sample| sample.position)
    }

    /// Notes a position that a replica has received.
    pub fn record_received(&mut self, upstream: &Upstream, position: LogPosition) {
        if self.leader.as_ref() == Some(upstream) {
            return;
        }
        self.record_term(position.term);
        match self.received.iter_mut().find(|(name, _)| name == upstream) {
            // A replica that was rolled back by a promotion shows a lower position than before.
            Some((_, known)) => *known = position,
            None => self.received.push((upstream.clone(), position)),
        }
    }

    /// Returns the most that a replica was seen to have received under this leader.
    #[must_use]
    pub fn max_received(&self) -> Option<LogPosition> {
        self.received.iter().map(|(_, position)| *position).max()
    }

    /// Notes the term of a leader, or of a commit under one.
    pub fn record_term(&mut self, term: Term) {
        self.newest_term = self.newest_term.max(term);
    }

    /// Notes whether a replica is fenced.
    ///
    /// A fence that was not looked at for a while may have been lifted and put up again meanwhile.
    pub fn record_fence(&mut self, now: Time, upstream: &Upstream, fenced: bool) -> FenceState {
        let known = self.fences.iter_mut().find(|it| it.upstream == *upstream);
        match known {
            _ if !fenced => {
                self.fences.retain(|it| it.upstream != *upstream);
                FenceState::Unfenced
            }
            Some(fence) if now.since(fence.last_seen) < MAX_FENCE_GAP => {
                fence.last_seen = now;
                if now.since(fence.since) >= FENCE_TIMEOUT {
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

    /// Tells what is known of a commit at the replicas.
    ///
    /// Only a position of the same term confirms it: under a later term the same number may be
    /// another commit.
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

    /// Tags the newest commit of a session.
    #[must_use]
    pub const fn tag_commit(&self, position: Option<LogPosition>) -> SessionCommit {
        SessionCommit {
            position,
            epoch: self.epoch,
        }
    }
}
