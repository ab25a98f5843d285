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
        let wait = self.outlook(kind.rules.rank).wait(kind, depth);
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

    fn outlook(&self, rank: Rank) -> Outlook {
        let kinds = self.ranks[rank.index()].iter().map(|at| &self.kinds[*at]);
        let (mut backlog, mut shares) = (0.0, 0.0);
        for kind in kinds.filter(|kind| kind.queue.len() > 0) {
            backlog += kind.backlog();
            shares += kind.weight();
        }
        Outlook {
            rate: self.rate(rank),
            backlog,
            shares,
            residual: self.residual(),
        }
    }

    /// Returns the slots that `rank` is expected to get, from what the others use and may claim.
    fn rate(&self, rank: Rank) -> f64 {
        let claims = Rank::ALL.into_iter().filter(|other| *other != rank);
        let claimed: f64 = claims.map(|other| self.claim(rank, other)).sum();
        let floor = self.policy.guaranteed_shares[rank.index()];
        let part = (1.0 - claimed).max(floor).max(LEAST_RATE);
        part * self.limit().max(1) as f64
    }

    /// Returns the share of slot time that `other` takes before `rank` gets any.
    fn claim(&self, rank: Rank, other: Rank) -> f64 {
        let used = self.used_share(other);
        if other < rank {
            return used;
        }
        used.min(self.policy.guaranteed_shares[other.index()])
    }

    /// Returns the time until a slot is free, in microseconds.
    fn residual(&self) -> f64 {
        let limit = self.limit();
        if self.total() < limit {
            return 0.0;
        }
        self.work / self.total().max(1).pow(2) as f64
    }

    fn rank_load(&self, rank: Rank) -> RankLoad {
        let outlook = self.outlook(rank);
        let kinds = self.ranks[rank.index()].iter().map(|at| &self.kinds[*at]);
        let declared = kinds.filter(|kind| kind.declared);
        let waits = declared.map(|kind| (outlook.wait(kind, 0), kind.estimate.plan()));
        let (wait, service) = waits
            .min_by_key(|(wait, plan)| *wait + *plan)
            .unwrap_or_default();
        RankLoad {
            queued: self.queued(rank),
            wait,
            service,
        }
    }
}

/// What decides the waits in one rank; times are in microseconds.
struct Outlook {
    /// Slots that the rank is expected to get.
    rate: f64,
    /// Slot time that the waiting jobs need.
    backlog: f64,
    /// Weights of the kinds that have jobs waiting.
    shares: f64,
    /// Time until a slot is free.
    residual: f64,
}

impl Outlook {
    /// Estimates the wait of a job whose caller has `depth` jobs of the kind waiting.
    fn wait(&self, kind: &KindState, depth: usize) -> Duration {
        let own = kind.queue.ahead(depth) as f64 * kind.estimate.mean();
        let ahead = (own * self.shares / kind.weight()).min(self.backlog);
        let fair = ahead / self.rate;
        let limited = own / kind.rules.concurrency.max(1) as f64;
        Duration::from_micros((fair.max(limited) + self.residual) as u64)
    }
}
