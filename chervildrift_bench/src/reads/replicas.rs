//! Fake of a primary with two replicas that lag.

use std::time::Duration;

use chervildrift_core::route::{GroupCache, UpstreamState};
use chervildrift_core::types::{LogPosition, Position, Rank, Term, Time, Zone};

/// Term of the primary; it does not change here.
const TERM: Term = Term(1);

/// Time between two status reads of a dispatcher.
const POLL: Duration = Duration::from_millis(100);

/// Share by which the lag of a replica swings around its mean.
const SWING: f64 = 0.3;

/// Shortest period of the swing, in units of 2 pi.
const PERIOD: Duration = Duration::from_secs(1);

/// Fake of a primary, upstream 0, with two replicas.
#[derive(Debug)]
pub(super) struct Replicas {
    mean: Duration,
    latency: Duration,
    writes: Vec<Time>,
    cache: GroupCache,
}

impl Replicas {
    pub(super) fn open(mean: Duration, latency: Duration) -> Self {
        Self {
            mean,
            latency,
            writes: Vec::new(),
            cache: GroupCache::default(),
        }
    }

    /// Writes at the primary and returns the mark.
    pub(super) fn write(&mut self, now: Time) -> LogPosition {
        self.writes.push(now);
        self.applied(now, 0)
    }

    /// Returns what reads at an upstream see.
    pub(super) fn applied(&self, now: Time, index: usize) -> LogPosition {
        let lag = self.lag(now, index).as_micros() as u64;
        let until = Time(now.0.saturating_sub(lag));
        let length = self.writes.partition_point(|written| *written <= until);
        LogPosition {
            term: TERM,
            position: Position(length as u64),
        }
    }

    /// Returns the lag of an upstream.
    pub(super) fn lag(&self, now: Time, index: usize) -> Duration {
        if index == 0 {
            return Duration::ZERO;
        }
        // The period grows with the lag, so that what was applied is never taken back.
        let period = self.mean.max(PERIOD).as_secs_f64();
        let angle = now.0 as f64 / 1e6 / period + index as f64 * 2.0;
        self.mean.mul_f64(1.0 + SWING * angle.sin())
    }

    /// Returns the time after `now` at which an upstream covers `mark`, up to `limit`.
    pub(super) fn covered_in(
        &self,
        now: Time,
        index: usize,
        mark: Option<LogPosition>,
        limit: Duration,
    ) -> Option<Duration> {
        let step = Duration::from_millis(1);
        let mut waited = Duration::ZERO;
        while waited <= limit {
            let applied = self.applied(now + waited, index);
            if mark.is_none_or(|mark| applied.covers(mark)) {
                return Some(waited);
            }
            waited += step;
        }
        None
    }

    /// Tells whether an upstream may serve a read at this moment.
    pub(super) fn may_serve(
        &self,
        now: Time,
        index: usize,
        mark: Option<LogPosition>,
        age: Duration,
    ) -> bool {
        let covers = mark.is_none_or(|mark| self.applied(now, index).covers(mark));
        covers && self.lag(now, index) <= age
    }

    /// Returns the group state that the entry knows.
    pub(super) const fn cache(&self) -> &GroupCache {
        &self.cache
    }

    /// Returns the round trip from the entry to an upstream; the entry is near upstream 1.
    pub(super) fn distance(&self, index: usize) -> Duration {
        if index == 1 {
            self.latency / 5
        } else {
            self.latency * 2
        }
    }

    /// Takes the group state that a reply carried, as old as the dispatcher's last status read.
    pub(super) fn reply(&mut self, now: Time) {
        let read = Time(now.0 / POLL.as_micros() as u64 * POLL.as_micros() as u64);
        let state = |index| UpstreamState {
            zone: Zone::from(["mvd-a", "slt-a", "mld-a"][index]),
            applied: self.applied(read, index),
            data_age: Some(self.lag(read, index) + now.since(read)),
            queue_waits: [Duration::ZERO; Rank::COUNT],
            rtt: self.distance(index),
            accepting: true,
        };
        let told = GroupCache {
            updated_at: Some(now),
            term: TERM,
            primary: Some(0),
            upstreams: (0..3).map(state).collect(),
        };
        self.cache.update(told);
    }
}
