//! Coordination of failovers and planned changes of primary.
//!
//! Each candidate VM of a group runs a [`Coordinator`]. It reads the status of every upstream,
//! notices when the group has no working primary, and then fences a majority at a higher term and
//! promotes the fenced upstream with the most complete log. Any number of candidates may do this at
//! once, because an upstream grants each term to one promoter only.

mod detector;
mod event;
mod follow_orders;
mod limits;
mod round;

use smallvec::SmallVec;

use crate::group::GroupView;
use crate::rng::Rng;
use crate::types::{Status, Term, Time};

use self::detector::Detector;
use self::follow_orders::FollowOrders;
use self::round::Round;

pub use self::event::{Action, Actions, Answer, Event, Phase, Promoter, Reason};
pub use self::limits::Limits;

/// Candidate for the coordination of one group.
#[derive(Debug)]
pub struct Coordinator {
    view: GroupView,
    promoter: Promoter,
    rank: u32,
    rng: Rng,
    limits: Limits,
    detector: Detector,
    follow_orders: FollowOrders,
    round: Option<Round>,
    /// Highest term that was observed or used; no round uses a term again.
    highest_term: Term,
    /// No round starts before this time.
    earliest_round: Time,
    /// Time of the next status reads.
    next_poll: Time,
    leaving: SmallVec<[bool; 3]>,
    holding_writes: bool,
}

impl Coordinator {
    /// Creates a candidate of the given rank, counted from 0.
    #[must_use]
    pub fn new(group: GroupView, promoter: Promoter, rank: u32, rng: Rng, limits: Limits) -> Self {
        let size = group.len();
        Self {
            view: group,
            promoter,
            rank,
            rng,
            limits,
            detector: Detector::default(),
            follow_orders: FollowOrders::new(size),
            round: None,
            highest_term: Term::default(),
            earliest_round: Time::default(),
            next_poll: Time::default(),
            leaving: SmallVec::from_elem(false, size),
            holding_writes: false,
        }
    }

    /// Returns the observed state of the group.
    #[must_use]
    pub const fn view(&self) -> &GroupView {
        &self.view
    }

    /// Returns the identity that fences and promotions carry.
    #[must_use]
    pub const fn promoter(&self) -> &Promoter {
        &self.promoter
    }

    /// Returns the phase of the round in progress.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.round.as_ref().map_or(Phase::Idle, Round::phase)
    }

    /// Returns why the round in progress was started.
    #[must_use]
    pub fn reason(&self) -> Option<Reason> {
        self.round.as_ref().map(Round::reason)
    }

    /// Handles an event and returns the actions that follow.
    pub fn handle(&mut self, now: Time, event: Event) -> Actions {
        let mut actions = Actions::new();
        self.detector.start(now);
        self.apply(now, event);
        self.poll_statuses(now, &mut actions);
        match self.round.take() {
            Some(round) => self.advance(now, round, &mut actions),
            None => self.start_round_if_due(now, &mut actions),
        }
        self.send_follow_orders(now, &mut actions);
        actions
    }

    fn apply(&mut self, now: Time, event: Event) {
        match event {
            Event::Observed {
                index,
                sent,
                status,
            } => self.record_status(now, index, sent, status.as_ref()),
            Event::Fenced {
                index,
                term,
                answer,
            } => self.record_fence_answer(index, term, answer),
            Event::Promoted {
                index,
                term,
                answer,
            } => self.record_promotion_answer(index, term, answer),
            Event::Ranked { rank } => self.rank = rank,
            Event::Leaving { index, leaving } => {
                if let Some(flag) = self.leaving.get_mut(index) {
                    *flag = leaving;
                }
            }
            Event::Tick => {}
        }
    }

    fn record_status(&mut self, now: Time, index: usize, sent: Time, status: Option<&Status>) {
        self.view.observe(sent, now, index, status);
        self.highest_term = self.highest_term.max(self.view.highest_term());
        if status.is_some() && self.view.primary() == Some(index) {
            self.detector.record_answer(sent);
        }
    }

    /// Reads the status of all upstreams when the next poll is due.
    fn poll_statuses(&mut self, now: Time, actions: &mut Actions) {
        if now < self.next_poll {
            return;
        }
        let catching_up = self.phase() == Phase::CatchUp;
        let interval = if catching_up {
            self.limits.catchup_interval
        } else {
            self.limits.poll_interval
        };
        self.next_poll = now + interval;
        self.read_all_statuses(actions);
    }

    fn read_all_statuses(&self, actions: &mut Actions) {
        actions.extend((0..self.view.len()).map(|index| Action::ReadStatus { index }));
    }

    /// Starts a round if there is a reason to and this candidate's delay is over.
    fn start_round_if_due(&mut self, now: Time, actions: &mut Actions) {
        let leaving = self.primary_is_leaving();
        self.detector.update(now, &self.view, &self.limits, leaving);
        if now < self.earliest_round {
            return;
        }
        if let Some(reason) = self.detector.reason(now, self.rank, &self.limits) {
            self.read_all_statuses(actions);
            self.round = Some(Round::new(now, reason, self.view.primary(), &self.limits));
        }
    }

    fn primary_is_leaving(&self) -> bool {
        let primary = self.view.primary();
        primary.is_some_and(|index| self.leaving.get(index).copied().unwrap_or(false))
    }
}
