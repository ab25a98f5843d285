//! One try to change the primary.

use std::cmp::Reverse;

use smallvec::SmallVec;

use crate::invariant;
use crate::types::{LogPosition, Term, Time};

use super::watch::{blocked, hears, stalled};
use super::{Action, Actions, Answer, Coordinator, Limits, Phase, Reason};

/// One try to change the primary.
#[derive(Clone, Debug)]
pub(super) struct Round {
    reason: Reason,
    phase: Phase,
    /// Primary at the start of the round.
    former: Option<usize>,
    /// Start of the stage.
    started: Time,
    deadline: Time,
    resend: Time,
    term: Term,
    granted: SmallVec<[(usize, LogPosition); 3]>,
    refused: SmallVec<[usize; 3]>,
    target: usize,
    promoted: bool,
}

/// How a stage ended.
enum Verdict {
    Wait,
    Go,
    /// The round is not needed any more.
    Cancel,
    Fail,
}

impl Round {
    pub(super) fn open(now: Time, reason: Reason, former: Option<usize>, limits: &Limits) -> Self {
        Self {
            reason,
            phase: Phase::Check,
            former,
            started: now,
            deadline: now + limits.check_timeout,
            resend: now,
            term: Term::default(),
            granted: SmallVec::new(),
            refused: SmallVec::new(),
            target: 0,
            promoted: false,
        }
    }

    pub(super) const fn phase(&self) -> Phase {
        self.phase
    }

    pub(super) const fn reason(&self) -> Reason {
        self.reason
    }

    fn enter(&mut self, now: Time, phase: Phase, limits: &Limits) {
        self.phase = phase;
        self.started = now;
        self.resend = now;
        self.deadline = now
            + match phase {
                Phase::CatchUp => limits.catchup_timeout,
                Phase::Fence => limits.fence_timeout,
                Phase::Promote => limits.promotion_timeout,
                Phase::Check | Phase::Idle => limits.check_timeout,
            };
    }

    /// Returns the upstream that should give up its role, if another one can take it.
    fn avoided(&self) -> Option<usize> {
        let avoids = matches!(self.reason, Reason::Stalled | Reason::Planned);
        self.former.filter(|_index| avoids)
    }

    fn has_ended(&self, index: usize) -> bool {
        let granted = self.granted.iter().any(|(other, _mark)| *other == index);
        granted || self.refused.contains(&index)
    }
}

impl Coordinator {
    /// Takes the answer to a fence.
    pub(super) fn take_fence(&mut self, index: usize, term: Term, answer: Option<Answer>) {
        if let Some(Answer::Refused { fenced }) = answer {
            self.highest = self.highest.max(fenced);
        }
        let Some(round) = self.round.as_mut() else {
            return;
        };
        if round.phase != Phase::Fence || round.term != term || round.has_ended(index) {
            return;
        }
        match answer {
            Some(Answer::Granted { received }) => round.granted.push((index, received)),
            Some(Answer::Refused { .. }) => round.refused.push(index),
            None => {}
        }
    }

    /// Takes the answer to a promotion.
    pub(super) fn take_promotion(&mut self, index: usize, term: Term, answer: Option<Answer>) {
        if let Some(Answer::Refused { fenced }) = answer {
            self.highest = self.highest.max(fenced);
        }
        let Some(round) = self.round.as_mut() else {
            return;
        };
        if round.phase != Phase::Promote || round.term != term || round.target != index {
            return;
        }
        match answer {
            Some(Answer::Granted { .. }) => round.promoted = true,
            Some(Answer::Refused { .. }) => round.refused.push(index),
            None => {}
        }
    }

    /// Moves a round on.
    pub(super) fn advance(&mut self, now: Time, mut round: Round, actions: &mut Actions) {
        let verdict = match round.phase {
            Phase::Check | Phase::Idle => self.judge_check(now, &round),
            Phase::CatchUp => self.judge_catch_up(now, &round),
            Phase::Fence => self.judge_fence(now, &mut round, actions),
            Phase::Promote => self.judge_promotion(now, &mut round, actions),
        };
        match verdict {
            Verdict::Wait => self.round = Some(round),
            Verdict::Go => self.proceed(now, round, actions),
            Verdict::Cancel => self.give_up(now, Reason::Silent, actions),
            Verdict::Fail => self.give_up(now, round.reason, actions),
        }
    }

    fn judge_check(&self, now: Time, round: &Round) -> Verdict {
        let leads = self.view.primary().and_then(|index| self.view.reads(index));
        let answers = leads.is_some_and(|seen| seen.status_since(round.started).is_some());
        if round.reason == Reason::Silent && answers {
            return Verdict::Cancel;
        }
        if round.reason != Reason::Silent && answers && self.view.primary() != round.former {
            return Verdict::Cancel;
        }
        let mut all = (0..self.view.len()).filter_map(|index| self.view.reads(index));
        if now < round.deadline && !all.all(|seen| seen.has_ended_since(round.started)) {
            return Verdict::Wait;
        }
        self.judge_reached(round)
    }

    /// Decides by the upstreams that answered whether the change is needed and possible.
    fn judge_reached(&self, round: &Round) -> Verdict {
        let since = round.started;
        let fresh =
            (0..self.view.len()).filter_map(|index| self.view.reads(index)?.status_since(since));
        let reached: SmallVec<[_; 3]> = fresh.collect();
        if reached.len() < self.view.majority() {
            return Verdict::Fail;
        }
        let needed = match round.reason {
            Reason::Silent => {
                // A majority that hears the primary shows that only this VM's link is cut.
                let hearing = reached
                    .iter()
                    .filter(|status| hears(&self.view, status, &self.limits));
                hearing.count() * 2 <= reached.len()
            }
            Reason::Stalled => stalled(&self.view, since, &self.limits),
            Reason::Blocked => blocked(&self.view, since),
            Reason::Planned => self.leads_while_leaving(),
        };
        if needed { Verdict::Go } else { Verdict::Cancel }
    }

    /// Waits until a replica that stays has everything that the leaving primary has.
    fn judge_catch_up(&self, now: Time, round: &Round) -> Verdict {
        let fresh = |index| self.view.reads(index)?.status_since(round.started);
        let Some(former) = round
            .former
            .filter(|&index| self.view.primary() == Some(index))
        else {
            return Verdict::Cancel;
        };
        let caught_up = fresh(former).is_some_and(|leader| {
            let mut others = (0..self.view.len()).filter(|&index| index != former);
            others.any(|index| {
                let stays = !self.leaving.get(index).copied().unwrap_or(false);
                stays && fresh(index).is_some_and(|other| other.received == leader.received)
            })
        });
        if caught_up {
            Verdict::Go
        } else if now < round.deadline {
            Verdict::Wait
        } else {
            Verdict::Fail
        }
    }

    fn judge_fence(&self, now: Time, round: &mut Round, actions: &mut Actions) -> Verdict {
        let size = self.view.len();
        if round.refused.len() > size - self.view.majority() {
            return Verdict::Fail;
        }
        if self.view.term() > round.term {
            return Verdict::Fail;
        }
        let late = now >= round.deadline;
        if let Some(target) = self.choose(round, late) {
            round.target = target;
            return self.check_target(round);
        }
        if late {
            return Verdict::Fail;
        }
        if now >= round.resend {
            round.resend = now + self.limits.resend_interval;
            let term = round.term;
            let open = (0..size).filter(|&index| !round.has_ended(index));
            actions.extend(open.map(|index| Action::Fence { index, term }));
        }
        Verdict::Wait
    }

    /// Refuses a promotion that would drop a confirmed write.
    fn check_target(&self, round: &Round) -> Verdict {
        let mut granted = round.granted.iter();
        let chosen = granted.find(|(index, _mark)| *index == round.target);
        let chosen = chosen.map(|(_index, mark)| *mark);
        if chosen >= self.view.confirmed() {
            return Verdict::Go;
        }
        let detail = format!("{chosen:?} below {:?}", self.view.confirmed());
        invariant::breach("promotion-keeps-confirmed", &detail);
        Verdict::Fail
    }

    /// Returns the upstream to promote once enough of them are fenced.
    fn choose(&self, round: &Round, late: bool) -> Option<usize> {
        let majority = self.view.majority();
        let avoided = round.avoided();
        let others = round
            .granted
            .iter()
            .filter(|(index, _mark)| Some(*index) != avoided);
        // Any fenced majority holds every confirmed write, also one without the former primary.
        if avoided.is_some() && others.clone().count() >= majority {
            return furthest(others, |index| self.preference(round, index));
        }
        let complete = round.granted.len() + round.refused.len() == self.view.len();
        let waits = round.reason != Reason::Silent && !late && !complete;
        if round.granted.len() < majority || waits {
            return None;
        }
        furthest(round.granted.iter(), |index| self.preference(round, index))
    }

    /// Ranks upstreams whose logs are equally complete.
    fn preference(&self, round: &Round, index: usize) -> (bool, bool) {
        let leaving = self.leaving.get(index).copied().unwrap_or(false);
        let keeps = round.avoided().is_none() && round.former == Some(index);
        (!leaving && round.avoided() != Some(index), keeps)
    }

    fn judge_promotion(&self, now: Time, round: &mut Round, actions: &mut Actions) -> Verdict {
        let seen = self.view.primary() == Some(round.target) && self.view.term() == round.term;
        if round.promoted || seen {
            return Verdict::Go;
        }
        if now >= round.deadline || round.refused.contains(&round.target) {
            return Verdict::Fail;
        }
        if now >= round.resend {
            round.resend = now + self.limits.resend_interval;
            actions.push(Action::Promote {
                index: round.target,
                term: round.term,
            });
        }
        Verdict::Wait
    }

    fn proceed(&mut self, now: Time, mut round: Round, actions: &mut Actions) {
        match round.phase {
            Phase::Check if round.reason == Reason::Planned => {
                round.enter(now, Phase::CatchUp, &self.limits);
                self.held = true;
                actions.push(Action::Hold);
                self.read_all(actions);
                self.round = Some(round);
            }
            Phase::Check | Phase::CatchUp | Phase::Idle => {
                self.highest = self.highest.next();
                round.term = self.highest;
                round.enter(now, Phase::Fence, &self.limits);
                self.advance(now, round, actions);
            }
            Phase::Fence => {
                round.refused.clear();
                round.enter(now, Phase::Promote, &self.limits);
                self.advance(now, round, actions);
            }
            Phase::Promote => self.finish(now, &round, actions),
        }
    }

    /// Directs the other upstreams to the new primary.
    fn finish(&mut self, now: Time, round: &Round, actions: &mut Actions) {
        let primary = round.target;
        for index in (0..self.view.len()).filter(|&index| index != primary) {
            self.directions.note(now, index);
            actions.push(Action::Follow {
                index,
                primary,
                term: round.term,
            });
        }
        self.watch.reset(now);
        self.resume(actions);
        self.read_all(actions);
    }

    fn give_up(&mut self, now: Time, reason: Reason, actions: &mut Actions) {
        let base = if reason == Reason::Planned {
            self.limits.planned_backoff
        } else {
            self.limits.resend_interval
        };
        self.pause = now + base + self.rng.jitter(self.limits.max_backoff);
        self.resume(actions);
    }

    fn resume(&mut self, actions: &mut Actions) {
        if std::mem::take(&mut self.held) {
            actions.push(Action::Resume);
        }
    }
}

/// Returns the upstream with the most complete log.
fn furthest<'a>(
    granted: impl Iterator<Item = &'a (usize, LogPosition)>,
    preference: impl Fn(usize) -> (bool, bool),
) -> Option<usize> {
    let best = granted.max_by_key(|(index, mark)| (*mark, preference(*index), Reverse(*index)));
    best.map(|(index, _mark)| *index)
}
