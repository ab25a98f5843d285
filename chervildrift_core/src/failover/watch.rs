//! Detection of a group without a working primary.

use std::time::Duration;

use crate::group::GroupView;
use crate::types::{Status, Time};

use super::{Limits, Reason};

/// Since when each reason for a round has held.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Watch {
    heard: Option<Time>,
    stalled: Option<Time>,
    blocked: Option<Time>,
    planned: Option<Time>,
}

impl Watch {
    /// Starts the detection time at the first event.
    pub(super) fn open(&mut self, now: Time) {
        self.heard.get_or_insert(now);
    }

    /// Notes that the primary answered a read sent at `sent`.
    pub(super) fn hear(&mut self, sent: Time) {
        self.heard = self.heard.max(Some(sent));
    }

    /// Forgets all reasons after a promotion.
    pub(super) fn reset(&mut self, now: Time) {
        *self = Self {
            heard: Some(now),
            ..Self::default()
        };
    }

    pub(super) fn update(&mut self, now: Time, view: &GroupView, limits: &Limits, leaving: bool) {
        let since = Time(
            now.0
                .saturating_sub(limits.detection_timeout.as_micros() as u64),
        );
        keep(&mut self.stalled, stalled(view, since, limits), now);
        keep(&mut self.blocked, blocked(view, since), now);
        keep(&mut self.planned, leaving, now);
    }

    /// Returns the reason that has held for long enough for a candidate of this rank.
    pub(super) fn reason(&self, now: Time, rank: u32, limits: &Limits) -> Option<Reason> {
        let turn = limits.rank_delay * rank;
        let held = |since: Option<Time>, limit: Duration| {
            since.is_some_and(|since| now.since(since) >= limit + turn)
        };
        if held(self.heard, limits.detection_timeout) {
            Some(Reason::Silent)
        } else if held(self.stalled, limits.stall_timeout) {
            Some(Reason::Stalled)
        } else if held(self.blocked, limits.stall_timeout) {
            Some(Reason::Blocked)
        } else if held(self.planned, Duration::ZERO) {
            Some(Reason::Planned)
        } else {
            None
        }
    }
}

/// Sets the start of a condition when it begins to hold and clears it when it ends.
fn keep(since: &mut Option<Time>, holds: bool, now: Time) {
    if holds {
        since.get_or_insert(now);
    } else {
        *since = None;
    }
}

/// Tells whether a replica with this status hears the primary of the current term.
pub(super) fn hears(view: &GroupView, status: &Status, limits: &Limits) -> bool {
    // A replica of a replaced primary may hear that primary well.
    let current = status.fenced >= view.term();
    current
        && status
            .heard
            .is_some_and(|heard| heard <= limits.detection_timeout)
}

/// Returns the upstreams other than the primary that were read since `since`.
fn others(view: &GroupView, since: Time) -> impl Iterator<Item = &Status> {
    let primary = view.primary();
    (0..view.len())
        .filter(move |&index| Some(index) != primary)
        .filter_map(move |index| view.reads(index)?.status_since(since))
}

/// Tells whether a majority without the primary was reached and none of it hears the primary.
///
/// The primary then answers callers, but no write can be confirmed any more.
pub(super) fn stalled(view: &GroupView, since: Time, limits: &Limits) -> bool {
    let deaf = others(view, since).all(|status| !hears(view, status, limits));
    let reached = others(view, since).count();
    view.primary().is_some() && deaf && reached >= view.majority()
}

/// Tells whether an upstream is fenced above the term of the primary.
pub(super) fn blocked(view: &GroupView, since: Time) -> bool {
    let above = others(view, since).any(|status| status.fenced > view.term());
    view.primary().is_some() && above
}
