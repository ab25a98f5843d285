//! Directions to follow the current primary.

use smallvec::SmallVec;

use crate::group::GroupView;
use crate::types::{Role, Status, Time};

use super::{Action, Actions, Coordinator, Limits};

/// When each upstream was last directed.
#[derive(Clone, Debug)]
pub(super) struct Directions {
    last: SmallVec<[Option<Time>; 3]>,
}

impl Directions {
    pub(super) fn open(size: usize) -> Self {
        Self {
            last: SmallVec::from_elem(None, size),
        }
    }

    pub(super) fn note(&mut self, now: Time, index: usize) {
        if let Some(last) = self.last.get_mut(index) {
            *last = Some(now);
        }
    }

    fn due(&self, now: Time, index: usize, limits: &Limits) -> bool {
        let last = self.last.get(index).copied().flatten();
        last.is_none_or(|last| now.since(last) >= limits.follow_interval)
    }
}

impl Coordinator {
    /// Directs each upstream that does not follow the current primary to do so.
    pub(super) fn direct(&mut self, now: Time, actions: &mut Actions) {
        let Some(primary) = self.followable(now) else {
            return;
        };
        let term = self.view.term();
        for index in 0..self.view.len() {
            let strays = index != primary && self.strays(now, index);
            if strays && self.directions.due(now, index, &self.limits) {
                self.directions.note(now, index);
                actions.push(Action::Follow {
                    index,
                    primary,
                    term,
                });
            }
        }
    }

    /// Returns the primary if it answered lately and no change is in progress.
    fn followable(&self, now: Time) -> Option<usize> {
        if self.round.is_some() {
            return None;
        }
        let answered = self.view.primary_answered_at()?;
        let fresh = now.since(answered) <= self.limits.detection_timeout;
        self.view.primary().filter(|_index| fresh)
    }

    fn strays(&self, now: Time, index: usize) -> bool {
        let Some(seen) = self.view.reads(index) else {
            return false;
        };
        let last = self.directions.last.get(index).copied().flatten();
        let fresh = seen.answered_at().is_some_and(|sent| {
            now.since(sent) <= self.limits.detection_timeout && last.is_none_or(|last| sent > last)
        });
        fresh
            && seen
                .status()
                .is_some_and(|status| needs_direction(&self.view, status, &self.limits))
    }
}

fn needs_direction(view: &GroupView, status: &Status, limits: &Limits) -> bool {
    let term = view.term();
    if status.fenced > term {
        // The upstream refuses this term; a round at a higher one has to free it.
        return false;
    }
    let deaf = status
        .heard
        .is_none_or(|heard| heard > limits.detection_timeout);
    status.role == Role::Primary || status.fenced < term || deaf
}
