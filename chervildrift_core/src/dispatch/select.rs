//! Choice of the kind whose job gets the next free slot.

use super::gate::Gate;
use super::scheduler::Scheduler;
use crate::types::{Rank, Time};

impl Scheduler {
    /// Returns the kind to serve next, if any may be served now.
    pub(super) fn choose(&self, now: Time) -> Option<usize> {
        let ready = Rank::ALL.map(|rank| self.candidate(rank));
        let first = ready.iter().flatten().next().copied();
        if matches!(self.gate, Gate::Ramping(_)) {
            return first;
        }
        let below = self.most_below(&ready);
        if below.is_some() {
            return below;
        }
        first.filter(|kind| !self.kept(now, *kind))
    }

    /// Returns until when the last free slot is kept from waiting bulk work.
    pub(super) fn reserve_end(&self, now: Time) -> Option<Time> {
        let end = self.spare + self.policy.reserve;
        let waiting = self.queued(Rank::Bulk) > 0;
        let free = self.total() < self.open_slots(now);
        (waiting && free && end > now).then_some(end)
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
        let floor = self.policy.floors[rank.index()];
        if floor <= 0.0 {
            return 0.0;
        }
        let owed = (floor * self.limit() as f64) as usize;
        // A rank that holds more slots than its floor is catching up already.
        if self.running(rank) > owed {
            return 0.0;
        }
        1.0 - self.share(rank) / floor
    }

    /// Tells whether the last free slot is kept from a job of `kind`.
    fn kept(&self, now: Time, kind: usize) -> bool {
        let bulk = self.kinds[kind].rules.rank == Rank::Bulk;
        let last = self.total() + 1 == self.open_slots(now);
        bulk && last && now < self.spare + self.policy.reserve
    }
}
