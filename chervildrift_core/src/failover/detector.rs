//! Detection of a group without a working primary.

use std::time::Duration;

use crate::group::GroupView;
use crate::types::{Status, Time};

use super::{Limits, Reason};

/// Time since which each reason for a round has held.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Detector {
    last_answer: Option<Time>,
    stalled_since: Option<Time>,
    blocked_since: Option<Time>,
    planned_since: Option<Time>,
}

impl Detector {
    /// Starts the detection timeout at the first event.
    pub(super) fn start(&mut self, now: Time) {
        self.last_answer.get_or_insert(now);
    }

    /// Records that the primary answered a read sent at `sent`.
    pub(super) fn record_answer(&mut self, sent: Time) {
        self.last_answer = self.last_answer.max(Some(sent));
    }

    /// Clears all reasons after a promotion.
    pub(super) fn reset(&mut self, now: Time) {
        *self = Self {
            last_answer: Some(now),
            ..Self::default()
        };
    }

    /// Updates the start times of the reasons other than the lack of answers.
    pub(super) fn update(&mut self, now: Time, view: &GroupView, limits: &Limits, leaving: bool) {
        let since = Time(
            now.0
                .saturating_sub(limits.detection_timeout.as_micros() as u64),
        );
        track_since(
            &mut self.stalled_since,
            is_stalled(view, since, limits),
            now,
        );
        track_since(&mut self.blocked_since, is_blocked(view, since), now);
        track_since(&mut self.planned_since, leaving, now);
    }

    /// Returns the reason that has held for long enough for a candidate of this rank.
    pub(super) fn reason(&self, now: Time, rank: u32, limits: &Limits) -> Option<Reason> {
        let delay = limits.rank_delay * rank;
        let lasted = |since: Option<Time>, limit: Duration| {
            since.is_some_and(|since| now.since(since) >= limit + delay)
        };
        if lasted(self.last_answer, limits.detection_timeout) {
            Some(Reason::Silent)
        } else if lasted(self.stalled_since, limits.stall_timeout) {
            Some(Reason::Stalled)
        } else if lasted(self.blocked_since, limits.stall_timeout) {
            Some(Reason::Blocked)
        } else if lasted(self.planned_since, Duration::ZERO) {
            Some(Reason::Planned)
        } else {
            None
        }
    }
}

/// Sets the start of a condition when it begins to hold and clears it when it ends.
fn track_since(since: &mut Option<Time>, holds: bool, now: Time) {
    if holds {
        since.get_or_insert(now);
    } else {
        *since = None;
    }
}

/// Returns whether a replica with this status is connected to the primary of the current term.
pub(super) fn is_connected(view: &GroupView, status: &Status, limits: &Limits) -> bool {
    // A replica of a replaced primary may still be connected to that primary.
    let current = status.fenced >= view.term();
    current
        && status
            .heard
            .is_some_and(|heard| heard <= limits.detection_timeout)
}

/// Returns the statuses of the upstreams other than the primary that were read since `since`.
fn replica_statuses(view: &GroupView, since: Time) -> impl Iterator<Item = &Status> {
    let primary = view.primary();
    (0..view.len())
        .filter(move |&index| Some(index) != primary)
        .filter_map(move |index| view.reads(index)?.status_since(since))
}

/// Returns whether a majority without the primary was read and none of it is connected to the
/// primary.
///
/// The primary then still answers callers, but no write can be confirmed.
pub(super) fn is_stalled(view: &GroupView, since: Time, limits: &Limits) -> bool {
    let disconnected =
        replica_statuses(view, since).all(|status| !is_connected(view, status, limits));
    let reached = replica_statuses(view, since).count();
    view.primary().is_some() && disconnected && reached >= view.majority()
}

/// Returns whether an upstream is fenced above the term of the primary.
pub(super) fn is_blocked(view: &GroupView, since: Time) -> bool {
    let fenced_above = replica_statuses(view, since).any(|status| status.fenced > view.term());
    view.primary().is_some() && fenced_above
}
