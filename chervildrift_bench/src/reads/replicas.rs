//! Fake of a primary with two replicas that lag.

use std::time::Duration;

use chervildrift_core::route::{GroupCache, UpstreamState};
use chervildrift_core::types::{LogPosition, Position, Rank, Term, Time, Zone};

/// Term of the primary; it does not change here.
const TERM: Term = Term(1);

/// Time between two status reads of a dispatcher.
const STATUS_PERIOD: Duration = Duration::from_millis(100);

/// Share by which the lag of a replica swings around its mean.
const LAG_SWING: f64 = 0.3;

/// Shortest period of the swing, in units of 2 pi.
const MIN_SWING_PERIOD: Duration = Duration::from_secs(1);

/// Fake of a primary, upstream 0, with two replicas.
#[derive(Debug)]
pub(super) struct Replicas {
    mean_lag: Duration,
    latency: Duration,
    writes: Vec<Time>,
    cache: GroupCache,
}

impl Replicas {
    pub(super) fn new(mean_lag: Duration, latency: Duration) -> Self {
        Self {
            mean_lag,
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
        let period = self.mean_lag.max(MIN_SWING_PERIOD).as_secs_f64();
        let angle = now.0 as f64 / 1e6 / period + index as f64 * 2.0;
        self.mean_lag.mul_f64(1.0 + LAG_SWING * angle.sin())
    }

    /// Returns the time after `now` at which an upstream covers `mark`, up to `limit`.
    pub(super) fn time_to_cover(
        &self,
        now: Time,
        index: usize,
        min_position: Option<LogPosition>,
        limit: Duration,
    ) -> Option<Duration> {
        let step = Duration::from_millis(1);
        let mut waited = Duration::ZERO;
        while waited <= limit {
            let applied = self.applied(now + waited, index);
            if min_position.is_none_or(|min_position| applied.covers(min_position)) {
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
        min_position: Option<LogPosition>,
        max_age: Duration,
    ) -> bool {
        let covers =
            min_position.is_none_or(|min_position| self.applied(now, index).covers(min_position));
        covers && self.lag(now, index) <= max_age
    }

    /// Returns the group state that the entry knows.
    pub(super) const fn cache(&self) -> &GroupCache {
        &self.cache
    }

    /// Returns the round trip from the entry to an upstream; the entry is near upstream 1.
    pub(super) fn rtt(&self, index: usize) -> Duration {
        if index == 1 {
            self.latency / 5
        } else {
            self.latency * 2
        }
    }

    /// Takes the group state that a reply carried, as old as the dispatcher's last status read.
    pub(super) fn update_cache(&mut self, now: Time) {
        let status_at =
            Time(now.0 / STATUS_PERIOD.as_micros() as u64 * STATUS_PERIOD.as_micros() as u64);
        let state = |index| UpstreamState {
            zone: Zone::from(["mvd-a", "slt-a", "mld-a"][index]),
            applied: self.applied(status_at, index),
            age: Some(self.lag(status_at, index) + now.since(status_at)),
            queues: [Duration::ZERO; Rank::COUNT],
            distance: self.rtt(index),
            open: true,
        };
        let cache = GroupCache {
            learnt: Some(now),
            term: TERM,
            primary: Some(0),
            upstreams: (0..3).map(state).collect(),
        };
        self.cache.learn(cache);
    }
}
