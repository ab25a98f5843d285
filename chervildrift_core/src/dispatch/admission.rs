//! Admission control, and the load report by which entries predict it.

use std::time::Duration;

use super::job::{Job, Load, RankLoad, Refusal};
use super::kind_queue::Turn;
use super::kind_state::KindState;
use super::scheduler::Scheduler;
use crate::types::{Rank, Time};

/// Lower bound on the share of the slots that a rank can expect; keeps estimated waits finite.
const MIN_EXPECTED_SHARE: f64 = 0.01;

/// Waiting jobs that a kind may have for each free place in the queue of its rank.
///
/// This limits one kind to four fifths of the queue and leaves room for the other kinds.
const KIND_JOBS_PER_FREE_PLACE: usize = 4;

impl Scheduler {
    /// Returns the load of each rank at the time of the last change.
    #[must_use]
    pub fn load(&self) -> Load {
        let now = self.usage.updated_at();
        Load {
            ranks: Rank::ALL.map(|rank| self.rank_load(now, rank)),
        }
    }

    /// Returns the index of the job's kind, or the reason to refuse the job.
    pub(super) fn admit(&self, now: Time, job: &Job) -> Result<usize, Refusal> {
        let unknown = || Refusal::UnknownKind(job.kind.clone());
        let kind_index = self
            .kind_indexes
            .get(&job.kind)
            .copied()
            .ok_or_else(unknown)?;
        if self.contains(job.id) {
            return Err(Refusal::DuplicateId(job.id));
        }
        let kind = &self.kinds[kind_index];
        let turn = Turn::of(job);
        self.check_queue_limits(kind, kind.queue.depth(&turn))?;
        let rounds = kind.queue.rounds_ahead(&turn, &job.caller);
        let model = self.wait_model(kind.policy.rank);
        let wait = self.estimate_wait(now, &model, kind, rounds);
        let service_time = kind.estimate.upper_estimate();
        if now + wait + service_time > job.deadline {
            return Err(Refusal::TooLate(wait, service_time));
        }
        Ok(kind_index)
    }

    /// Enforces the queue limit of a rank, and the limits of one turn and one kind within it.
    ///
    /// A caller, or an organisation, may have at most as many waiting jobs of a kind as there are free places, so that a
    /// few of them never fill the queue alone.
    fn check_queue_limits(&self, kind: &KindState, depth: usize) -> Result<(), Refusal> {
        let rank = kind.policy.rank;
        let limit = self.policy.queue_limits[rank.index()];
        let free_places = limit.saturating_sub(self.queued(rank));
        if free_places == 0 {
            return Err(Refusal::QueueFull(rank));
        }
        if depth >= free_places {
            return Err(Refusal::CallerOverShare(rank));
        }
        if kind.queue.len() >= free_places.saturating_mul(KIND_JOBS_PER_FREE_PLACE) {
            return Err(Refusal::KindOverShare(rank));
        }
        Ok(())
    }

    /// Estimates the wait of a new job of the kind that is served after `rounds` further ones: from
    /// the starts of the rank's queue if there is one, otherwise from slots and service times.
    fn estimate_wait(
        &self,
        now: Time,
        model: &WaitModel,
        kind: &KindState,
        rounds: usize,
    ) -> Duration {
        let modelled = model.estimate_wait(kind, rounds);
        let rank = kind.policy.rank.index();
        if self.queued[rank] == 0 {
            return modelled;
        }
        let kind_ahead = kind.queue.jobs_ahead(rounds) as f64;
        let rank_ahead = kind_ahead * model.total_weight / kind.weight();
        let jobs_ahead = rank_ahead.min(self.queued[rank] as f64);
        let learned = self.start_intervals[rank].estimate_wait(now, jobs_ahead);
        let limited_us =
            kind_ahead * kind.estimate.mean_us() / kind.policy.concurrency.max(1) as f64;
        let limited = Duration::from_micros(limited_us as u64);
        learned.map_or(modelled, |learned| learned.max(limited))
    }

    fn wait_model(&self, rank: Rank) -> WaitModel {
        let kinds = self.rank_kinds[rank.index()]
            .iter()
            .map(|index| &self.kinds[*index]);
        let (mut backlog_us, mut total_weight) = (0.0, 0.0);
        for kind in kinds.filter(|kind| kind.queue.len() > 0) {
            backlog_us += kind.backlog_us();
            total_weight += kind.weight();
        }
        WaitModel {
            expected_slots: self.expected_slots(rank),
            backlog_us,
            total_weight,
            residual_us: self.residual_us(),
        }
    }

    /// Returns the number of slots that `rank` can expect, given the shares that go to other ranks
    /// first.
    fn expected_slots(&self, rank: Rank) -> f64 {
        let others = Rank::ALL.into_iter().filter(|other| *other != rank);
        let prior: f64 = others.map(|other| self.prior_share(rank, other)).sum();
        let guaranteed = self.policy.guaranteed_shares[rank.index()];
        let expected_share = (1.0 - prior).max(guaranteed).max(MIN_EXPECTED_SHARE);
        expected_share * self.limit().max(1) as f64
    }

    /// Returns the share of slot time that `other` gets before `rank`: all that a more urgent rank
    /// uses, and what a less urgent one uses up to its guaranteed share.
    fn prior_share(&self, rank: Rank, other: Rank) -> f64 {
        let used = self.used_share(other);
        if other < rank {
            return used;
        }
        used.min(self.policy.guaranteed_shares[other.index()])
    }

    /// Estimates the time until a slot is free, in microseconds.
    ///
    /// With all slots busy this is the mean charge of the running jobs divided by their number.
    fn residual_us(&self) -> f64 {
        let limit = self.limit();
        if self.running_total() < limit {
            return 0.0;
        }
        self.charged_us / self.running_total().max(1).pow(2) as f64
    }

    fn rank_load(&self, now: Time, rank: Rank) -> RankLoad {
        let model = self.wait_model(rank);
        let kinds = self.rank_kinds[rank.index()]
            .iter()
            .map(|index| &self.kinds[*index]);
        let declared = kinds.filter(|kind| kind.declared);
        let waits = declared.map(|kind| {
            let wait = self.estimate_wait(now, &model, kind, 0);
            (wait, kind.estimate.upper_estimate())
        });
        let (wait, service) = waits
            .min_by_key(|(wait, service)| *wait + *service)
            .unwrap_or_default();
        RankLoad {
            queued: self.queued(rank),
            wait,
            service,
        }
    }
}

/// Inputs of the estimated waits in one rank.
struct WaitModel {
    /// Slots that the rank can expect.
    expected_slots: f64,
    /// Slot time that the waiting jobs of the rank need.
    backlog_us: f64,
    /// Sum of the weights of the kinds that have waiting jobs.
    total_weight: f64,
    /// Time until a slot is free.
    residual_us: f64,
}

impl WaitModel {
    /// Estimates the wait of a new job of the kind that is served after `rounds` further ones.
    fn estimate_wait(&self, kind: &KindState, rounds: usize) -> Duration {
        let kind_ahead_us = kind.queue.jobs_ahead(rounds) as f64 * kind.estimate.mean_us();
        let rank_ahead_us =
            (kind_ahead_us * self.total_weight / kind.weight()).min(self.backlog_us);
        let fair_us = rank_ahead_us / self.expected_slots;
        let limited_us = kind_ahead_us / kind.policy.concurrency.max(1) as f64;
        Duration::from_micros((fair_us.max(limited_us) + self.residual_us) as u64)
    }
}
