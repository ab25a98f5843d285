//! Coordination of a change of primary.
//!
//! Each candidate VM of a group runs a [`Coordinator`]. It reads the status of every upstream,
//! notices when the group has no working primary, and then fences a majority at a higher term and
//! promotes the fenced upstream with the most complete log. Any number of candidates may do this at
//! once, because an upstream grants each term to one promoter only.

mod direct;
mod event;
mod limits;
mod round;
mod watch;

use smallvec::SmallVec;

use crate::group::GroupView;
use crate::rng::Rng;
use crate::types::{Status, Term, Time};

use self::direct::Directions;
use self::round::Round;
use self::watch::Watch;

pub use self::event::{Action, Actions, Answer, Event, Phase, Promoter, Reason};
pub use self::limits::Limits;

/// Candidate for the coordination of one group.
#[derive(Debug)]
pub struct Coordinator {
    view: GroupView,
    me: Promoter,
    rank: u32,
    rng: Rng,
    limits: Limits,
    watch: Watch,
    directions: Directions,
    round: Option<Round>,
    /// Greatest term that was seen or used; a round never uses a term twice.
    highest: Term,
    /// No round starts before this time.
    pause: Time,
    /// Time of the next status reads.
    poll: Time,
    leaving: SmallVec<[bool; 3]>,
    held: bool,
}

impl Coordinator {
    /// Opens a candidate of the given rank, counted from 0.
    #[must_use]
    pub fn open(group: GroupView, me: Promoter, rank: u32, rng: Rng, limits: Limits) -> Self {
        let size = group.len();
        Self {
            view: group,
            me,
            rank,
            rng,
            limits,
            watch: Watch::default(),
            directions: Directions::open(size),
            round: None,
            highest: Term::default(),
            pause: Time::default(),
            poll: Time::default(),
            leaving: SmallVec::from_elem(false, size),
            held: false,
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
        &self.me
    }

    /// Returns the stage of the round in progress.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.round.as_ref().map_or(Phase::Idle, Round::phase)
    }

    /// Returns why the round in progress was started.
    #[must_use]
    pub fn reason(&self) -> Option<Reason> {
        self.round.as_ref().map(Round::reason)
    }

    /// Takes an event and returns what to do.
    pub fn handle(&mut self, now: Time, event: Event) -> Actions {
        let mut actions = Actions::new();
        self.watch.open(now);
        self.take(now, event);
        self.read(now, &mut actions);
        match self.round.take() {
            Some(round) => self.advance(now, round, &mut actions),
            None => self.consider(now, &mut actions),
        }
        self.direct(now, &mut actions);
        actions
    }

    fn take(&mut self, now: Time, event: Event) {
        match event {
            Event::Observed {
                index,
                sent,
                status,
            } => self.observe(now, index, sent, status.as_ref()),
            Event::Fenced {
                index,
                term,
                answer,
            } => self.take_fence(index, term, answer),
            Event::Promoted {
                index,
                term,
                answer,
            } => self.take_promotion(index, term, answer),
            Event::Ranked { rank } => self.rank = rank,
            Event::Leaving { index, leaving } => {
                if let Some(flag) = self.leaving.get_mut(index) {
                    *flag = leaving;
                }
            }
            Event::Tick => {}
        }
    }

    fn observe(&mut self, now: Time, index: usize, sent: Time, status: Option<&Status>) {
        self.view.observe(sent, now, index, status);
        self.highest = self.highest.max(self.view.highest_term());
        if status.is_some() && self.view.primary() == Some(index) {
            self.watch.hear(sent);
        }
    }

    /// Reads the status of all upstreams when it is time to.
    fn read(&mut self, now: Time, actions: &mut Actions) {
        if now < self.poll {
            return;
        }
        let waits = self.phase() == Phase::CatchUp;
        let pace = if waits {
            self.limits.catchup_interval
        } else {
            self.limits.poll_interval
        };
        self.poll = now + pace;
        self.read_all(actions);
    }

    fn read_all(&self, actions: &mut Actions) {
        actions.extend((0..self.view.len()).map(|index| Action::ReadStatus { index }));
    }

    /// Starts a round if there is a reason to and it is this candidate's turn.
    fn consider(&mut self, now: Time, actions: &mut Actions) {
        let leaving = self.leads_while_leaving();
        self.watch.update(now, &self.view, &self.limits, leaving);
        if now < self.pause {
            return;
        }
        if let Some(reason) = self.watch.reason(now, self.rank, &self.limits) {
            self.read_all(actions);
            self.round = Some(Round::open(now, reason, self.view.primary(), &self.limits));
        }
    }

    fn leads_while_leaving(&self) -> bool {
        let primary = self.view.primary();
        primary.is_some_and(|index| self.leaving.get(index).copied().unwrap_or(false))
    }
}
