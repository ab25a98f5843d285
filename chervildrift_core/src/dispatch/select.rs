//! Choice of the kind whose job gets the next free slot.

use std::time::Duration;

use super::gate::Gate;
use super::kind::KindState;
use super::scheduler::Scheduler;
use crate::types::{Rank, Time};

/// Service time, as a multiple of the longest urgent kind's, above which a bulk kind is long.
///
/// Shorter ones hold an urgent job up for less than the spread of its own service time does.
const LONG: f64 = 3.0;

/// Greatest part of the time for which one slot may be kept idle.
const MOST_RESERVED: f64 = 0.9;

impl Scheduler {
    /// Returns the kind to serve next, if any may be served now.
    pub(super) fn choose(&self, now: Time) -> Option<usize> {
        let ready = Rank::ALL.map(|rank| self.candidate(rank));
        let first = ready.iter().flatten().next().copied();
        if matches!(self.gate, Gate::Ramping(_)) {
            return first;
        }
        let below = self.most_below(&ready);
        below.or_else(|| first.filter(|kind| !self.kept(now, *kind)))
    }

    /// Returns when the last free slot next stops being kept from a kind that waits.
    pub(super) fn reserve_end(&self, now: Time) -> Option<Time> {
        if self.queued(Rank::Bulk) == 0 || self.total() >= self.open_slots(now) {
            return None;
        }
        let kind = self.candidate(Rank::Bulk)?;
        let end = self.spare + self.reserve(&self.kinds[kind]);
        (end > now).then_some(end)
    }

    /// Returns the kind of `rank` that has spent the least for its weight.
    fn candidate(&self, rank: Rank) -> Option<usize> {
        if self.queued(rank) == 0 {
            return None;
        }
        let kinds = self.ranks[rank.index()].iter().copied();
        let ready = kinds.filter(|at| self.kinds[*at].ready());
        ready.min_by(|left, right| self.kinds[*left].spent.total_cmp(&self.kinds[*right].spent))
    }

    fn most_below(&self, ready: &[Option<usize>; Rank::COUNT]) -> Option<usize> {
        let ranks = Rank::ALL.into_iter().zip(ready);
        let waiting = ranks.filter_map(|(rank, kind)| Some((self.deficit(rank), (*kind)?)));
        let below = waiting.filter(|(deficit, _)| *deficit > 0.0);
        // The first of equals wins `min_by`, so that ties go to the more urgent rank.
        let most = below.min_by(|(left, _), (right, _)| right.total_cmp(left));
        most.map(|(_, kind)| kind)
    }

    /// Returns the part of its floor that `rank` is short of.
    fn deficit(&self, rank: Rank) -> f64 {
        let floor = self.policy.guaranteed_shares[rank.index()];
        if floor <= 0.0 {
            return 0.0;
        }
        let owed = (floor * self.limit() as f64) as usize;
        // A rank that holds more slots than its floor is catching up already.
        if self.running(rank) > owed {
            return 0.0;
        }
        1.0 - self.used_share(rank) / floor
    }

    /// Tells whether the last free slot is kept from the kind whose turn it is.
    ///
    /// No other bulk kind gets the slot instead, since a flood of short statements would then
    /// starve the long ones.
    fn kept(&self, now: Time, kind: usize) -> bool {
        let last = self.total() + 1 == self.open_slots(now);
        last && now.since(self.spare) < self.reserve(&self.kinds[kind])
    }

    /// Returns for how long the last free slot is kept from a kind.
    ///
    /// An urgent job that finds all slots busy waits for one of them to end, which takes long when
    /// they run long bulk statements. A slot that stays idle for `part / (1 - part)` of the
    /// statement that follows is idle for at most `part` of the time.
    fn reserve(&self, kind: &KindState) -> Duration {
        let mean = kind.estimate.mean();
        let long = mean > LONG * self.urgent_mean();
        if kind.rules.rank != Rank::Bulk || !long {
            return Duration::ZERO;
        }
        let part = self.policy.reserved_share * self.limit() as f64;
        let part = part.clamp(0.0, MOST_RESERVED);
        Duration::from_micros((mean * part / (1.0 - part)) as u64)
    }

    /// Returns the greatest mean service time of an urgent kind, in microseconds.
    fn urgent_mean(&self) -> f64 {
        let kinds = self.ranks[Rank::Urgent.index()].iter();
        let means = kinds.map(|at| self.kinds[*at].estimate.mean());
        means.fold(0.0, f64::max)
    }
}
