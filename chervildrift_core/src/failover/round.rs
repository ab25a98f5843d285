//! Rounds of the coordinator.

use std::cmp::Reverse;

use smallvec::SmallVec;

use crate::invariant;
use crate::types::{LogPosition, Term, Time};

use super::detector::{is_blocked, is_connected, is_stalled};
use super::{Action, Actions, Answer, Coordinator, Limits, Phase, Reason};

/// One attempt to replace the primary.
#[derive(Clone, Debug)]
pub(super) struct Round {
    reason: Reason,
    phase: Phase,
    /// Primary at the start of the round.
    former_primary: Option<usize>,
    /// Start of the phase.
    phase_start: Time,
    deadline: Time,
    next_send: Time,
    term: Term,
    grants: SmallVec<[(usize, LogPosition); 3]>,
    refusals: SmallVec<[usize; 3]>,
    target: usize,
    promotion_granted: bool,
}

/// Outcome of evaluating a phase.
enum Progress {
    Wait,
    Proceed,
    /// The round is no longer needed.
    Cancel,
    Fail,
}

impl Round {
    pub(super) fn new(
        now: Time,
        reason: Reason,
        former_primary: Option<usize>,
        limits: &Limits,
    ) -> Self {
        Self {
            reason,
            phase: Phase::Check,
            former_primary,
            phase_start: now,
            deadline: now + limits.check_timeout,
            next_send: now,
            term: Term::default(),
            grants: SmallVec::new(),
            refusals: SmallVec::new(),
            target: 0,
            promotion_granted: false,
        }
    }

    pub(super) const fn phase(&self) -> Phase {
        self.phase
    }

    pub(super) const fn reason(&self) -> Reason {
        self.reason
    }

    fn enter_phase(&mut self, now: Time, phase: Phase, limits: &Limits) {
        self.phase = phase;
        self.phase_start = now;
        self.next_send = now;
        self.deadline = now
            + match phase {
                Phase::CatchUp => limits.catchup_timeout,
                Phase::Fence => limits.fence_timeout,
                Phase::Promote => limits.promotion_timeout,
                Phase::Check | Phase::Idle => limits.check_timeout,
            };
    }

    /// Returns the primary that should be replaced, if another upstream can take its role.
    fn outgoing_primary(&self) -> Option<usize> {
        let is_outgoing = matches!(self.reason, Reason::Stalled | Reason::Planned);
        self.former_primary.filter(|_index| is_outgoing)
    }

    fn has_answered(&self, index: usize) -> bool {
        let granted = self.grants.iter().any(|(other, _position)| *other == index);
        granted || self.refusals.contains(&index)
    }
}

impl Coordinator {
    /// Records the answer to a fence.
    pub(super) fn record_fence_answer(&mut self, index: usize, term: Term, answer: Option<Answer>) {
        if let Some(Answer::Refused { fenced }) = answer {
            self.highest_term = self.highest_term.max(fenced);
        }
        let Some(round) = self.round.as_mut() else {
            return;
        };
        if round.phase != Phase::Fence || round.term != term || round.has_answered(index) {
            return;
        }
        match answer {
            Some(Answer::Granted { received }) => round.grants.push((index, received)),
            Some(Answer::Refused { .. }) => round.refusals.push(index),
            None => {}
        }
    }

    /// Records the answer to a promotion.
    pub(super) fn record_promotion_answer(
        &mut self,
        index: usize,
        term: Term,
        answer: Option<Answer>,
    ) {
        if let Some(Answer::Refused { fenced }) = answer {
            self.highest_term = self.highest_term.max(fenced);
        }
        let Some(round) = self.round.as_mut() else {
            return;
        };
        if round.phase != Phase::Promote || round.term != term || round.target != index {
            return;
        }
        match answer {
            Some(Answer::Granted { .. }) => round.promotion_granted = true,
            Some(Answer::Refused { .. }) => round.refusals.push(index),
            None => {}
        }
    }

    /// Advances a round, or ends it.
    pub(super) fn advance(&mut self, now: Time, mut round: Round, actions: &mut Actions) {
        let progress = match round.phase {
            Phase::Check | Phase::Idle => self.evaluate_check(now, &round),
            Phase::CatchUp => self.evaluate_catch_up(now, &round),
            Phase::Fence => self.advance_fence(now, &mut round, actions),
            Phase::Promote => self.advance_promotion(now, &mut round, actions),
        };
        match progress {
            Progress::Wait => self.round = Some(round),
            Progress::Proceed => self.enter_next_phase(now, round, actions),
            Progress::Cancel => self.abandon_round(now, Reason::Silent, actions),
            Progress::Fail => self.abandon_round(now, round.reason, actions),
        }
    }

    fn evaluate_check(&self, now: Time, round: &Round) -> Progress {
        let primary = self.view.primary().and_then(|index| self.view.reads(index));
        let answered = primary.is_some_and(|reads| reads.status_since(round.phase_start).is_some());
        if round.reason == Reason::Silent && answered {
            return Progress::Cancel;
        }
        if round.reason != Reason::Silent && answered && self.view.primary() != round.former_primary
        {
            return Progress::Cancel;
        }
        let mut all_reads = (0..self.view.len()).filter_map(|index| self.view.reads(index));
        if now < round.deadline && !all_reads.all(|reads| reads.has_ended_since(round.phase_start))
        {
            return Progress::Wait;
        }
        self.evaluate_statuses(round)
    }

    /// Decides by the statuses of the upstreams that answered whether the change is needed and
    /// possible.
    fn evaluate_statuses(&self, round: &Round) -> Progress {
        let since = round.phase_start;
        let fresh =
            (0..self.view.len()).filter_map(|index| self.view.reads(index)?.status_since(since));
        let statuses: SmallVec<[_; 3]> = fresh.collect();
        if statuses.len() < self.view.majority() {
            return Progress::Fail;
        }
        let needed = match round.reason {
            Reason::Silent => {
                // If most of them are connected to the primary, only this VM's link to it is cut.
                let connected = statuses
                    .iter()
                    .filter(|status| is_connected(&self.view, status, &self.limits));
                connected.count() * 2 <= statuses.len()
            }
            Reason::Stalled => is_stalled(&self.view, since, &self.limits),
            Reason::Blocked => is_blocked(&self.view, since),
            Reason::Planned => self.primary_is_leaving(),
        };
        if needed {
            Progress::Proceed
        } else {
            Progress::Cancel
        }
    }

    /// Waits until a replica that is not leaving has received the whole log of the leaving primary.
    fn evaluate_catch_up(&self, now: Time, round: &Round) -> Progress {
        let fresh = |index| self.view.reads(index)?.status_since(round.phase_start);
        let Some(former) = round
            .former_primary
            .filter(|&index| self.view.primary() == Some(index))
        else {
            return Progress::Cancel;
        };
        let caught_up = fresh(former).is_some_and(|leader| {
            let mut others = (0..self.view.len()).filter(|&index| index != former);
            others.any(|index| {
                let not_leaving = !self.leaving.get(index).copied().unwrap_or(false);
                not_leaving && fresh(index).is_some_and(|other| other.received == leader.received)
            })
        });
        if caught_up {
            Progress::Proceed
        } else if now < round.deadline {
            Progress::Wait
        } else {
            Progress::Fail
        }
    }

    fn advance_fence(&self, now: Time, round: &mut Round, actions: &mut Actions) -> Progress {
        let size = self.view.len();
        if round.refusals.len() > size - self.view.majority() {
            return Progress::Fail;
        }
        if self.view.term() > round.term {
            return Progress::Fail;
        }
        let expired = now >= round.deadline;
        if let Some(target) = self.choose_target(round, expired) {
            round.target = target;
            return self.verify_target(round);
        }
        if expired {
            return Progress::Fail;
        }
        if now >= round.next_send {
            round.next_send = now + self.limits.resend_interval;
            let term = round.term;
            let unanswered = (0..size).filter(|&index| !round.has_answered(index));
            actions.extend(unanswered.map(|index| Action::Fence { index, term }));
        }
        Progress::Wait
    }

    /// Rejects a promotion that would lose a confirmed write.
    fn verify_target(&self, round: &Round) -> Progress {
        let mut granted = round.grants.iter();
        let chosen = granted.find(|(index, _position)| *index == round.target);
        let chosen = chosen.map(|(_index, position)| *position);
        if chosen >= self.view.confirmed() {
            return Progress::Proceed;
        }
        let detail = format!("{chosen:?} below {:?}", self.view.confirmed());
        invariant::breach("promotion-keeps-confirmed", &detail);
        Progress::Fail
    }

    /// Returns the upstream to promote once enough of them are fenced.
    fn choose_target(&self, round: &Round, expired: bool) -> Option<usize> {
        let majority = self.view.majority();
        let outgoing_primary = round.outgoing_primary();
        let others = round
            .grants
            .iter()
            .filter(|(index, _position)| Some(*index) != outgoing_primary);
        // Any fenced majority holds every confirmed write, even without the former primary.
        if outgoing_primary.is_some() && others.clone().count() >= majority {
            return most_complete(others, |index| self.preference(round, index));
        }
        let complete = round.grants.len() + round.refusals.len() == self.view.len();
        let awaits_more = round.reason != Reason::Silent && !expired && !complete;
        if round.grants.len() < majority || awaits_more {
            return None;
        }
        most_complete(round.grants.iter(), |index| self.preference(round, index))
    }

    /// Ranks upstreams whose logs are equally complete.
    fn preference(&self, round: &Round, index: usize) -> (bool, bool) {
        let leaving = self.leaving.get(index).copied().unwrap_or(false);
        let keeps_primary =
            round.outgoing_primary().is_none() && round.former_primary == Some(index);
        (
            !leaving && round.outgoing_primary() != Some(index),
            keeps_primary,
        )
    }

    fn advance_promotion(&self, now: Time, round: &mut Round, actions: &mut Actions) -> Progress {
        let observed = self.view.primary() == Some(round.target) && self.view.term() == round.term;
        if round.promotion_granted || observed {
            return Progress::Proceed;
        }
        if now >= round.deadline || round.refusals.contains(&round.target) {
            return Progress::Fail;
        }
        if now >= round.next_send {
            round.next_send = now + self.limits.resend_interval;
            actions.push(Action::Promote {
                index: round.target,
                term: round.term,
            });
        }
        Progress::Wait
    }

    fn enter_next_phase(&mut self, now: Time, mut round: Round, actions: &mut Actions) {
        match round.phase {
            Phase::Check if round.reason == Reason::Planned => {
                round.enter_phase(now, Phase::CatchUp, &self.limits);
                self.holding_writes = true;
                actions.push(Action::Hold);
                self.read_all_statuses(actions);
                self.round = Some(round);
            }
            Phase::Check | Phase::CatchUp | Phase::Idle => {
                self.highest_term = self.highest_term.next();
                round.term = self.highest_term;
                round.enter_phase(now, Phase::Fence, &self.limits);
                self.advance(now, round, actions);
            }
            Phase::Fence => {
                round.refusals.clear();
                round.enter_phase(now, Phase::Promote, &self.limits);
                self.advance(now, round, actions);
            }
            Phase::Promote => self.finish_round(now, &round, actions),
        }
    }

    /// Orders the other upstreams to follow the new primary.
    fn finish_round(&mut self, now: Time, round: &Round, actions: &mut Actions) {
        let primary = round.target;
        for index in (0..self.view.len()).filter(|&index| index != primary) {
            self.follow_orders.record(now, index);
            actions.push(Action::Follow {
                index,
                primary,
                term: round.term,
            });
        }
        self.detector.reset(now);
        self.resume_writes(actions);
        self.read_all_statuses(actions);
    }

    fn abandon_round(&mut self, now: Time, reason: Reason, actions: &mut Actions) {
        let base = if reason == Reason::Planned {
            self.limits.planned_backoff
        } else {
            self.limits.resend_interval
        };
        self.earliest_round = now + base + self.rng.jitter(self.limits.max_backoff);
        self.resume_writes(actions);
    }

    fn resume_writes(&mut self, actions: &mut Actions) {
        if std::mem::take(&mut self.holding_writes) {
            actions.push(Action::Resume);
        }
    }
}

/// Returns the upstream with the most complete log.
fn most_complete<'a>(
    grants: impl Iterator<Item = &'a (usize, LogPosition)>,
    preference: impl Fn(usize) -> (bool, bool),
) -> Option<usize> {
    let best =
        grants.max_by_key(|(index, position)| (*position, preference(*index), Reverse(*index)));
    best.map(|(index, _position)| *index)
}
