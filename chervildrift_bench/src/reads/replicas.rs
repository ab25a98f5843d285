//! Simulated primary with two lagging replicas.

use std::time::Duration;

use chervildrift_core::route::{GroupCache, UpstreamState};
use chervildrift_core::types::{LogPosition, Position, Rank, Term, Time, Zone};

/// Term of the primary; it does not change here.
const TERM: Term = Term(1);

/// Interval between two status reads of a dispatcher.
const STATUS_PERIOD: Duration = Duration::from_millis(100);

/// Amplitude of the lag of a replica around its mean, as a share of the mean.
const LAG_SWING: f64 = 0.3;

/// Shortest period of the lag's oscillation, divided by 2 pi.
const MIN_SWING_PERIOD: Duration = Duration::from_secs(1);

/// Simulated primary, upstream 0, with two replicas.
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

    /// Writes at the primary and returns the log position of the write.
    pub(super) fn write(&mut self, now: Time) -> LogPosition {
        self.writes.push(now);
        self.applied(now, 0)
    }

    /// Returns the log position up to which reads at an upstream see writes.
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
        // The period grows with the lag, so that the applied position never decreases.
        let period = self.mean_lag.max(MIN_SWING_PERIOD).as_secs_f64();
        let angle = now.0 as f64 / 1e6 / period + index as f64 * 2.0;
        self.mean_lag.mul_f64(1.0 + LAG_SWING * angle.sin())
    }

    /// Returns the time from `now` until an upstream covers `min_position`, up to `limit`.
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

    /// Tells whether an upstream covers a read's minimum position and age at `now`.
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

    /// Returns the entry's cached state of the group.
    pub(super) const fn cache(&self) -> &GroupCache {
        &self.cache
    }

    /// Returns the round-trip time from the entry to an upstream; upstream 1 is in its zone.
    pub(super) fn rtt(&self, index: usize) -> Duration {
        if index == 1 {
            self.latency / 5
        } else {
            self.latency * 2
        }
    }

    /// Updates the cached state from a reply, with the data of the dispatcher's last status read.
    pub(super) fn update_cache(&mut self, now: Time) {
        let status_at =
            Time(now.0 / STATUS_PERIOD.as_micros() as u64 * STATUS_PERIOD.as_micros() as u64);
        let state = |index| UpstreamState {
            zone: Zone::from(["mvd-a", "slt-a", "mld-a"][index]),
            applied: self.applied(status_at, index),
            data_age: Some(self.lag(status_at, index) + now.since(status_at)),
            queue_waits: [Duration::ZERO; Rank::COUNT],
            rtt: self.rtt(index),
            accepting: true,
        };
        let cache = GroupCache {
            updated_at: Some(now),
            term: TERM,
            primary: Some(0),
            upstreams: (0..3).map(state).collect(),
        };
        self.cache.update(cache);
    }
}
