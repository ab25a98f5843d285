//! Last status reads of one upstream.

use crate::invariant;
use crate::types::{LogPosition, Position, Status, Term, Time};

/// Last status reads of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamReads {
    last: Option<Answer>,
    failed: Option<Time>,
    reached: LogPosition,
}

/// An answer to a status read with the times of the read.
#[derive(Clone, Copy, Debug)]
struct Answer {
    status: Status,
    sent: Time,
    received: Time,
}

impl UpstreamReads {
    /// Returns the last status.
    #[must_use]
    pub fn status(&self) -> Option<&Status> {
        self.last.as_ref().map(|answer| &answer.status)
    }

    /// Returns the send time of the last read that was answered.
    #[must_use]
    pub fn answered_at(&self) -> Option<Time> {
        self.last.map(|answer| answer.sent)
    }

    /// Returns the time at which the last status arrived.
    #[must_use]
    pub fn received_at(&self) -> Option<Time> {
        self.last.map(|answer| answer.received)
    }

    /// Returns the send time of the last read that failed.
    #[must_use]
    pub const fn failed_at(&self) -> Option<Time> {
        self.failed
    }

    /// Returns the status if its read was sent at or after `since`.
    #[must_use]
    pub fn status_since(&self, since: Time) -> Option<&Status> {
        let answer = self.last.as_ref()?;
        (answer.sent >= since).then_some(&answer.status)
    }

    /// Tells whether a read that was sent at or after `since` has ended, in either way.
    #[must_use]
    pub fn has_ended_since(&self, since: Time) -> bool {
        self.answered_at().max(self.failed) >= Some(since)
    }

    pub(super) fn leads(&self, term: Term) -> bool {
        self.status()
            .is_some_and(|status| super::leads(status, term))
    }

    pub(super) fn reached(&self, term: Term) -> Option<Position> {
        (self.reached.term == term).then_some(self.reached.position)
    }

    pub(super) fn fail(&mut self, sent: Time) {
        self.failed = self.failed.max(Some(sent));
    }

    /// Takes an answer and tells whether it is news.
    pub(super) fn take(&mut self, sent: Time, received: Time, status: &Status) -> bool {
        if self.last.is_some_and(|answer| answer.sent > sent) {
            return false;
        }
        if self.regressed(sent, status) {
            // An upstream that lost durable state must not count towards any majority.
            self.fail(sent);
            return false;
        }
        self.last = Some(Answer {
            status: *status,
            sent,
            received,
        });
        self.reached = self.reached.max(status.received);
        true
    }

    fn regressed(&self, sent: Time, status: &Status) -> bool {
        let Some(answer) = self.last.filter(|answer| answer.received <= sent) else {
            return false;
        };
        let before = answer.status;
        let shorter = status.fenced == before.fenced
            && status.received.term == before.received.term
            && status.received.position < before.received.position;
        let regressed = status.fenced < before.fenced || shorter;
        if regressed {
            invariant::breach("durable-state", &format!("{before:?} then {status:?}"));
        }
        regressed
    }
}
