//! Selects the kind whose job gets the next free slot.

use std::time::Duration;

use super::gate::Gate;
use super::kind_state::KindState;
use super::scheduler::Scheduler;
use crate::types::{Rank, Time};

/// Mean service time, as a multiple of the slowest urgent kind's, above which a bulk kind counts as
/// long.
///
/// A shorter one delays an urgent job by less than the variation of the job's own service time.
const LONG_BULK_RATIO: f64 = 3.0;

/// Maximum share of the time for which one slot may be kept idle.
const MAX_RESERVED_SHARE: f64 = 0.9;

impl Scheduler {
    /// Returns the index of the kind that may start a job now.
    pub(super) fn select_kind(&self, now: Time) -> Option<usize> {
        let candidates = Rank::ALL.map(|rank| self.candidate(rank));
        let most_urgent = candidates.iter().flatten().next().copied();
        if matches!(self.gate, Gate::Ramping(_)) {
            return most_urgent;
        }
        let underserved = self.most_underserved(&candidates);
        underserved
            .or_else(|| most_urgent.filter(|kind_index| !self.is_slot_reserved(now, *kind_index)))
    }

    /// Returns when the last free slot opens to the bulk kind whose turn it is, if it is reserved.
    pub(super) fn reserved_until(&self, now: Time) -> Option<Time> {
        if self.queued(Rank::Bulk) == 0 || self.running_total() >= self.usable_slots(now) {
            return None;
        }
        let kind_index = self.candidate(Rank::Bulk)?;
        let end = self.free_since + self.reserve_time(&self.kinds[kind_index]);
        (end > now).then_some(end)
    }

    /// Returns the kind of `rank` with the lowest virtual runtime among those that can run a job.
    fn candidate(&self, rank: Rank) -> Option<usize> {
        if self.queued(rank) == 0 {
            return None;
        }
        let kinds = self.rank_kinds[rank.index()].iter().copied();
        let ready = kinds.filter(|index| self.kinds[*index].is_ready());
        ready.min_by(|a, b| self.kinds[*a].vruntime.total_cmp(&self.kinds[*b].vruntime))
    }

    fn most_underserved(&self, candidates: &[Option<usize>; Rank::COUNT]) -> Option<usize> {
        let ranks = Rank::ALL.into_iter().zip(candidates);
        let waiting =
            ranks.filter_map(|(rank, kind_index)| Some((self.deficit(rank), (*kind_index)?)));
        let underserved = waiting.filter(|(deficit, _)| *deficit > 0.0);
        // `min_by` returns the first of equal elements, so ties go to the more urgent rank.
        let most = underserved.min_by(|(left, _), (right, _)| right.total_cmp(left));
        most.map(|(_, kind_index)| kind_index)
    }

    /// Returns the missing part of the guaranteed share of `rank`, or zero while it catches up.
    fn deficit(&self, rank: Rank) -> f64 {
        let guaranteed = self.policy.guaranteed_shares[rank.index()];
        if guaranteed <= 0.0 {
            return 0.0;
        }
        let guaranteed_slots = (guaranteed * self.limit() as f64) as usize;
        // A rank that holds more slots than it is guaranteed is catching up already.
        if self.running(rank) > guaranteed_slots {
            return 0.0;
        }
        1.0 - self.used_share(rank) / guaranteed
    }

    /// Returns whether the last free slot is reserved and closed to the kind whose turn it is.
    ///
    /// No other bulk kind gets the slot instead, since a flood of short statements would starve the
    /// long ones.
    fn is_slot_reserved(&self, now: Time, kind_index: usize) -> bool {
        let is_last = self.running_total() + 1 == self.usable_slots(now);
        is_last && now.since(self.free_since) < self.reserve_time(&self.kinds[kind_index])
    }

    /// Returns how long the last free slot stays closed to a kind.
    ///
    /// An urgent job that finds all slots busy waits for a statement to finish, which takes long
    /// when the slots run long bulk statements. A slot that stays idle for
    /// `reserved / (1 - reserved)` of the duration of the statement that follows is idle for at most
    /// `reserved` of the time.
    fn reserve_time(&self, kind: &KindState) -> Duration {
        let mean_us = kind.estimate.mean_us();
        let is_long = mean_us > LONG_BULK_RATIO * self.max_urgent_mean_us();
        if kind.policy.rank != Rank::Bulk || !is_long {
            return Duration::ZERO;
        }
        let reserved = self.policy.reserved_share * self.limit() as f64;
        let reserved = reserved.clamp(0.0, MAX_RESERVED_SHARE);
        Duration::from_micros((mean_us * reserved / (1.0 - reserved)) as u64)
    }

    /// Returns the longest mean service time of the urgent kinds, in microseconds.
    fn max_urgent_mean_us(&self) -> f64 {
        let kinds = self.rank_kinds[Rank::Urgent.index()].iter();
        let means = kinds.map(|index| self.kinds[*index].estimate.mean_us());
        means.fold(0.0, f64::max)
    }
}
