//! Admission of jobs and the load that it follows from.

use std::time::Duration;

use super::job::{Job, Load, RankLoad, Refusal};
use super::kind::KindState;
use super::scheduler::Scheduler;
use crate::types::{Rank, Time};

/// Least part of the slots that a rank is expected to get.
const LEAST_RATE: f64 = 0.01;

/// Jobs of a kind for each free place in the queue of its rank.
///
/// One kind thus fills at most four fifths of the queue, which leaves room for the others.
const KIND_SPREAD: usize = 4;

/// Part of its limit that a queue is drained to before entries forward to it again.
const LOW_MARK: f64 = 0.9;

impl Scheduler {
    /// Returns the load by rank.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            ranks: Rank::ALL.map(|rank| self.rank_load(rank)),
        }
    }

    /// Returns the index of the job's kind, or why the job cannot be taken.
    pub(super) fn admit(&self, now: Time, job: &Job) -> Result<usize, Refusal> {
        let unknown = || Refusal::UnknownKind(job.kind.clone());
        let at = self.names.get(&job.kind).copied().ok_or_else(unknown)?;
        if self.knows(job.id) {
            return Err(Refusal::DuplicateId(job.id));
        }
        let kind = &self.kinds[at];
        let depth = kind.queue.depth(&job.caller);
        self.check_bounds(kind, depth)?;
        let wait = self.wait(kind, depth, self.rate(kind.rules.rank));
        let service = kind.estimate.plan();
        if now + wait + service > job.deadline {
            return Err(Refusal::TooLate(wait, service));
        }
        Ok(at)
    }

    /// Checks the bounded queue of a rank.
    ///
    /// A caller may have no more jobs waiting than places are left, so that a few callers never
    /// fill the queue alone.
    fn check_bounds(&self, kind: &KindState, depth: usize) -> Result<(), Refusal> {
        let rank = kind.rules.rank;
        let limit = self.policy.queue_limits[rank.index()];
        let left = limit.saturating_sub(self.queued(rank));
        if left == 0 {
            return Err(Refusal::QueueFull(rank));
        }
        if depth >= left {
            return Err(Refusal::CallerOverShare(rank));
        }
        if kind.queue.len() >= left.saturating_mul(KIND_SPREAD) {
            return Err(Refusal::KindOverShare(rank));
        }
        Ok(())
    }

    /// Estimates the wait of a job whose caller has `depth` jobs of the kind waiting.
    fn wait(&self, kind: &KindState, depth: usize, rate: f64) -> Duration {
        let own = kind.queue.ahead(depth) as f64 * kind.estimate.mean();
        let share = kind.share() / self.active_share(kind);
        let ahead = (own / share).min(self.backlog(kind.rules.rank));
        let fair = ahead / rate;
        let limited = own / kind.rules.concurrency.max(1) as f64;
        Duration::from_micros((fair.max(limited) + self.residual()) as u64)
    }

    /// Returns the slots that `rank` is expected to get, from what the others use and may claim.
    fn rate(&self, rank: Rank) -> f64 {
        let claims = Rank::ALL.into_iter().filter(|other| *other != rank);
        let claimed: f64 = claims.map(|other| self.claim(rank, other)).sum();
        let floor = self.policy.floors[rank.index()];
        let part = (1.0 - claimed).max(floor).max(LEAST_RATE);
        part * self.limit().max(1) as f64
    }

    /// Returns the share of slot time that `other` takes before `rank` gets any.
    fn claim(&self, rank: Rank, other: Rank) -> f64 {
        let used = self.share(other);
        if other < rank {
            return used;
        }
        used.min(self.policy.floors[other.index()])
    }

    /// Returns the weights of the kinds of a rank that have work, with `kind` among them.
    fn active_share(&self, kind: &KindState) -> f64 {
        let peers = self.ranks[kind.rules.rank.index()].iter();
        let active = peers.map(|at| &self.kinds[*at]);
        let active = active.filter(|peer| peer.queue.len() > 0 || std::ptr::eq(*peer, kind));
        active.map(KindState::share).sum()
    }

    /// Returns the slot time that the waiting jobs of `rank` need, in microseconds.
    fn backlog(&self, rank: Rank) -> f64 {
        let kinds = self.ranks[rank.index()].iter();
        kinds.map(|at| self.kinds[*at].backlog()).sum()
    }

    /// Returns the time until a slot is free, in microseconds.
    fn residual(&self) -> f64 {
        let limit = self.limit();
        if self.total() < limit {
            return 0.0;
        }
        let running = self.kinds.iter();
        let work: f64 = running
            .map(|kind| kind.running as f64 * kind.estimate.mean())
            .sum();
        work / self.total().max(1).pow(2) as f64
    }

    fn rank_load(&self, rank: Rank) -> RankLoad {
        let rate = self.rate(rank);
        let kinds = self.ranks[rank.index()].iter().map(|at| &self.kinds[*at]);
        let declared = kinds.filter(|kind| kind.declared);
        let waits = declared.map(|kind| (self.wait(kind, 0, rate), kind.estimate.plan()));
        let (wait, service) = waits
            .min_by_key(|(wait, plan)| *wait + *plan)
            .unwrap_or_default();
        RankLoad {
            queued: self.queued(rank),
            wait,
            service,
            reopen: self.reopen(rank, rate),
        }
    }

    /// Returns the time until the queue of `rank` has drained below its low mark.
    fn reopen(&self, rank: Rank, rate: f64) -> Duration {
        let low = self.policy.queue_limits[rank.index()] as f64 * LOW_MARK;
        let queued = self.queued(rank) as f64;
        if queued <= low {
            return Duration::ZERO;
        }
        let job = self.backlog(rank) / queued;
        Duration::from_micros(((queued - low) * job / rate) as u64)
    }
}
