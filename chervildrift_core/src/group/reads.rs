//! Results of the status reads of one upstream.

use crate::invariant;
use crate::types::{LogPosition, Position, Status, Term, Time};

/// Results of the latest status reads of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamReads {
    last_answer: Option<StatusAnswer>,
    failed_at: Option<Time>,
    max_received: LogPosition,
}

/// Answer to a status read, with the times of the read.
#[derive(Clone, Copy, Debug)]
struct StatusAnswer {
    status: Status,
    sent_at: Time,
    received_at: Time,
}

impl UpstreamReads {
    /// Returns the latest status.
    #[must_use]
    pub fn status(&self) -> Option<&Status> {
        self.last_answer.as_ref().map(|answer| &answer.status)
    }

    /// Returns the time at which the last answered read was sent.
    #[must_use]
    pub fn answered_at(&self) -> Option<Time> {
        self.last_answer.map(|answer| answer.sent_at)
    }

    /// Returns the time at which the latest status arrived.
    #[must_use]
    pub fn received_at(&self) -> Option<Time> {
        self.last_answer.map(|answer| answer.received_at)
    }

    /// Returns the time at which the last failed read was sent.
    #[must_use]
    pub const fn failed_at(&self) -> Option<Time> {
        self.failed_at
    }

    /// Returns the status if its read was sent at or after `since`.
    #[must_use]
    pub fn status_since(&self, since: Time) -> Option<&Status> {
        let answer = self.last_answer.as_ref()?;
        (answer.sent_at >= since).then_some(&answer.status)
    }

    /// Returns whether a read that was sent at or after `since` was answered or has failed.
    #[must_use]
    pub fn has_ended_since(&self, since: Time) -> bool {
        self.answered_at().max(self.failed_at) >= Some(since)
    }

    pub(super) fn is_primary_of(&self, term: Term) -> bool {
        self.status()
            .is_some_and(|status| super::is_primary_of(status, term))
    }

    pub(super) fn received_in(&self, term: Term) -> Option<Position> {
        (self.max_received.term == term).then_some(self.max_received.position)
    }

    pub(super) fn record_failure(&mut self, sent_at: Time) {
        self.failed_at = self.failed_at.max(Some(sent_at));
    }

    /// Records an answer and returns whether it is newer than the last one and plausible.
    pub(super) fn record_status(
        &mut self,
        sent_at: Time,
        received_at: Time,
        status: &Status,
    ) -> bool {
        if self
            .last_answer
            .is_some_and(|answer| answer.sent_at > sent_at)
        {
            return false;
        }
        if self.has_regressed(sent_at, status) {
            // An upstream that lost durable state must not count towards any majority.
            self.record_failure(sent_at);
            return false;
        }
        self.last_answer = Some(StatusAnswer {
            status: *status,
            sent_at,
            received_at,
        });
        self.max_received = self.max_received.max(status.received);
        true
    }

    fn has_regressed(&self, sent_at: Time, status: &Status) -> bool {
        let Some(answer) = self
            .last_answer
            .filter(|answer| answer.received_at <= sent_at)
        else {
            return false;
        };
        let previous = answer.status;
        let log_shrank = status.fenced == previous.fenced
            && status.received.term == previous.received.term
            && status.received.position < previous.received.position;
        let regressed = status.fenced < previous.fenced || log_shrank;
        if regressed {
            invariant::breach("durable-state", &format!("{previous:?} then {status:?}"));
        }
        regressed
    }
}
