//! Observed state of one database group.
//!
//! A [`GroupView`] is built from the results of status reads. Each read counts from the time at
//! which it was sent: an answer that was delayed in a frozen process proves nothing about the time
//! after sending.

mod history;
mod reads;

use std::time::Duration;

use smallvec::SmallVec;

use self::history::History;
use crate::invariant;
use crate::types::{LogPosition, Position, Role, Status, Term, Time, Upstream};

pub use self::reads::UpstreamReads;

/// Number of upstreams of a group that are stored inline.
const INLINE_UPSTREAMS: usize = 3;

/// Confirmation of a write as far as status reads show it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Confirmation {
    /// A majority of the group has received the write.
    Confirmed,
    /// No majority has been observed with the write so far.
    Pending,
    /// A later term has started, so the write can't be confirmed any more and its outcome is
    /// unknown.
    Superseded,
}

/// Observed state of one database group.
#[derive(Clone, Debug)]
pub struct GroupView {
    upstreams: SmallVec<[Upstream; INLINE_UPSTREAMS]>,
    reads: SmallVec<[UpstreamReads; INLINE_UPSTREAMS]>,
    term: Term,
    confirmed: Option<LogPosition>,
    history: History,
}

impl GroupView {
    /// Creates a view of a group of which nothing is known.
    #[must_use]
    pub fn new(upstreams: &[Upstream]) -> Self {
        Self {
            upstreams: upstreams.iter().cloned().collect(),
            reads: upstreams
                .iter()
                .map(|_name| UpstreamReads::default())
                .collect(),
            term: Term::default(),
            confirmed: None,
            history: History::default(),
        }
    }

    /// Records the result of a status read of one upstream; `None` means that the read failed.
    pub fn observe(&mut self, sent_at: Time, now: Time, index: usize, status: Option<&Status>) {
        let Some(reads) = self.reads.get_mut(index) else {
            return;
        };
        let Some(status) = status else {
            reads.record_failure(sent_at);
            return;
        };
        if reads.record_status(sent_at, now, status) {
            self.update_term(status.received.term);
            self.update_confirmed();
            self.update_history(sent_at, index);
        }
    }

    /// Returns the number of upstreams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.reads.len()
    }

    /// Returns whether the group has no upstream.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.reads.is_empty()
    }

    /// Returns the number of upstreams that form a majority of the group.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.reads.len() / 2 + 1
    }

    /// Returns the names of the upstreams.
    #[must_use]
    pub fn upstreams(&self) -> &[Upstream] {
        &self.upstreams
    }

    /// Returns the status reads of one upstream.
    #[must_use]
    pub fn reads(&self, index: usize) -> Option<&UpstreamReads> {
        self.reads.get(index)
    }

    /// Returns the last status of one upstream.
    #[must_use]
    pub fn status(&self, index: usize) -> Option<&Status> {
        self.reads.get(index)?.status()
    }

    /// Returns the highest term found in any log.
    #[must_use]
    pub const fn term(&self) -> Term {
        self.term
    }

    /// Returns the highest term found in any log or fence.
    #[must_use]
    pub fn highest_term(&self) -> Term {
        let fenced = self.reads.iter().filter_map(UpstreamReads::status);
        let fenced = fenced.map(|status| status.fenced).max();
        self.term.max(fenced.unwrap_or_default())
    }

    /// Returns the primary of the current term, unless a majority is fenced at a later one.
    #[must_use]
    pub fn primary(&self) -> Option<usize> {
        let mut found = None;
        for (index, reads) in self.reads.iter().enumerate() {
            if !reads.is_primary_of(self.term) {
                continue;
            }
            if found.is_some() {
                invariant::breach("one-primary-per-term", &format!("term {}", self.term));
                return None;
            }
            found = Some(index);
        }
        found.filter(|_index| !self.is_fenced_off())
    }

    /// Returns the highest position of the current term that a majority has received.
    #[must_use]
    pub const fn confirmed(&self) -> Option<LogPosition> {
        self.confirmed
    }

    /// Returns whether a write that was answered at `since` is confirmed.
    ///
    /// Only status reads sent at or after `since` count, so that a process that was frozen reads
    /// the terms again before it acknowledges. An upstream fenced at a later term does not count:
    /// it may hold the write, but its primary may already have been replaced.
    #[must_use]
    pub fn confirmation(&self, position: LogPosition, since: Time) -> Confirmation {
        if position.term < self.term {
            return Confirmation::Superseded;
        }
        let holders = self.reads.iter().filter(|reads| {
            let fresh = reads.answered_at().is_some_and(|sent_at| sent_at >= since);
            fresh
                && reads
                    .status()
                    .is_some_and(|status| holds_write(status, position))
        });
        if holders.count() >= self.majority() {
            Confirmation::Confirmed
        } else {
            Confirmation::Pending
        }
    }

    /// Returns an upper bound of the age of the data that reads at an upstream see.
    #[must_use]
    pub fn data_age(&self, now: Time, index: usize) -> Option<Duration> {
        let applied = self.status(index)?.applied;
        let current = self.history.complete_until(applied)?;
        Some(now.since(current))
    }

    /// Returns whether an upstream with this status may serve a read that requires `min_position`.
    #[must_use]
    pub fn may_serve(status: &Status, min_position: Option<LogPosition>) -> bool {
        min_position.is_none_or(|position| status.applied.covers(position))
    }

    /// Returns the time at which the last answered read of the current primary was sent.
    #[must_use]
    pub fn primary_answered_at(&self) -> Option<Time> {
        self.reads.get(self.primary()?)?.answered_at()
    }

    /// Returns whether a majority is fenced at a later term than the current one.
    fn is_fenced_off(&self) -> bool {
        let later = self.reads.iter().filter_map(UpstreamReads::status);
        let later = later.filter(|status| status.fenced > self.term);
        later.count() >= self.majority()
    }

    fn update_term(&mut self, term: Term) {
        if term > self.term {
            self.term = term;
            self.confirmed = None;
            self.history.end_term();
        }
    }

    fn update_confirmed(&mut self) {
        let mut positions: SmallVec<[Position; INLINE_UPSTREAMS]> = self
            .reads
            .iter()
            .filter_map(|reads| reads.received_in(self.term))
            .collect();
        positions.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(&position) = positions.get(self.majority() - 1) {
            let confirmed = LogPosition {
                term: self.term,
                position,
            };
            self.confirmed = self.confirmed.max(Some(confirmed));
        }
    }

    /// Updates the history of the primary with the status read of `index` sent at `sent_at`.
    ///
    /// A replaced primary that can still be read proves nothing about the age of its data, so
    /// samples count only up to the time at which a majority was still fenced at the current term.
    fn update_history(&mut self, sent_at: Time, index: usize) {
        let mut sent_times: SmallVec<[Time; INLINE_UPSTREAMS]> = self
            .reads
            .iter()
            .filter(|reads| reads.status().is_some_and(|s| s.fenced == self.term))
            .filter_map(UpstreamReads::answered_at)
            .collect();
        sent_times.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(&majority_sent) = sent_times.get(self.majority() - 1) {
            self.history.extend_verified(majority_sent);
        }
        if self.reads[index].is_primary_of(self.term)
            && let Some(status) = self.reads[index].status()
        {
            self.history.record(sent_at, status.received);
        }
    }
}

/// Returns whether an upstream holds the write at `position` and is fenced at its term.
fn holds_write(status: &Status, position: LogPosition) -> bool {
    let current = status.fenced == position.term && status.received.term == position.term;
    current && status.received.position >= position.position
}

/// Returns whether a status is that of the primary of `term`.
fn is_primary_of(status: &Status, term: Term) -> bool {
    status.role == Role::Primary && status.fenced == term && status.received.term == term
}
