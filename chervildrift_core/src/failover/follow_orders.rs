//! Orders to follow the current primary.

use smallvec::SmallVec;

use crate::group::GroupView;
use crate::types::{Role, Status, Time};

use super::{Action, Actions, Coordinator, Limits};

/// Time of the last follow order to each upstream.
#[derive(Clone, Debug)]
pub(super) struct FollowOrders {
    last: SmallVec<[Option<Time>; 3]>,
}

impl FollowOrders {
    pub(super) fn new(size: usize) -> Self {
        Self {
            last: SmallVec::from_elem(None, size),
        }
    }

    pub(super) fn record(&mut self, now: Time, index: usize) {
        if let Some(last) = self.last.get_mut(index) {
            *last = Some(now);
        }
    }

    fn is_due(&self, now: Time, index: usize, limits: &Limits) -> bool {
        let last_order = self.last.get(index).copied().flatten();
        last_order.is_none_or(|last_order| now.since(last_order) >= limits.follow_interval)
    }
}

impl Coordinator {
    /// Orders each upstream that does not follow the current primary to do so.
    pub(super) fn send_follow_orders(&mut self, now: Time, actions: &mut Actions) {
        let Some(primary) = self.reachable_primary(now) else {
            return;
        };
        let term = self.view.term();
        for index in 0..self.view.len() {
            let detached = index != primary && self.is_detached(now, index);
            if detached && self.follow_orders.is_due(now, index, &self.limits) {
                self.follow_orders.record(now, index);
                actions.push(Action::Follow {
                    index,
                    primary,
                    term,
                });
            }
        }
    }

    /// Returns the primary if it answered recently and no round is in progress.
    fn reachable_primary(&self, now: Time) -> Option<usize> {
        if self.round.is_some() {
            return None;
        }
        let answered_at = self.view.primary_answered_at()?;
        let fresh = now.since(answered_at) <= self.limits.detection_timeout;
        self.view.primary().filter(|_index| fresh)
    }

    /// Returns whether a status read after the last follow order shows that another one is needed.
    fn is_detached(&self, now: Time, index: usize) -> bool {
        let Some(reads) = self.view.reads(index) else {
            return false;
        };
        let last_order = self.follow_orders.last.get(index).copied().flatten();
        let fresh = reads.answered_at().is_some_and(|sent_at| {
            now.since(sent_at) <= self.limits.detection_timeout
                && last_order.is_none_or(|last_order| sent_at > last_order)
        });
        fresh
            && reads
                .status()
                .is_some_and(|status| needs_follow(&self.view, status, &self.limits))
    }
}

fn needs_follow(view: &GroupView, status: &Status, limits: &Limits) -> bool {
    let term = view.term();
    if status.fenced > term {
        // The upstream refuses this term until a round promotes at a higher one.
        return false;
    }
    let disconnected = status
        .heard
        .is_none_or(|heard| heard > limits.detection_timeout);
    status.role == Role::Primary || status.fenced < term || disconnected
}
