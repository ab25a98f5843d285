//! Replication: entries for replicas, and entries from the primary.

use std::time::{Duration, Instant};

use super::super::database::Database;
use super::super::log::{Entry, LogPosition};
use super::{Node, Role};

/// Entries that are applied without giving the lock away.
const APPLY_LIMIT: usize = 256;

/// Lags of a replica, read from its faults at each use.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::upstream) struct Lags {
    pub receive: Duration,
    pub apply: Duration,
}

impl Node {
    /// Returns the entries after the last common mark, if the upstream is a primary.
    pub fn entries_after(
        &self,
        mark: LogPosition,
        limit: usize,
    ) -> Option<(i64, LogPosition, &[Entry])> {
        if self.role != Role::Primary {
            return None;
        }
        let common = self.log.last_common(mark);
        Some((self.fenced, common, self.log.after(common.position, limit)))
    }

    /// Returns the mark after which the next pull continues.
    pub fn pulled(&self) -> LogPosition {
        let pending = self.pending.back().map(|(_, entry)| entry.mark);
        pending.unwrap_or_else(|| self.log.last())
    }

    /// Notes an answer of a primary, unless its term is below the fence.
    pub fn hear(&mut self, term: i64, now: Instant) -> bool {
        if self.role == Role::Primary || term < self.fenced {
            return false;
        }
        // From here on this term has a primary, so no other promoter may use it.
        self.fenced = term;
        self.fenced_by = None;
        self.heard = Some(now);
        true
    }

    /// Takes pulled entries that follow `common`; returns where to ask again on a mismatch.
    pub fn receive(
        &mut self,
        common: LogPosition,
        entries: Vec<Entry>,
        now: Instant,
    ) -> Option<LogPosition> {
        if common != self.pulled() {
            self.pending.clear();
            if !self.log.contains(common) {
                return Some(self.log.last_common(common));
            }
            self.truncate(common.position);
        }
        self.pending
            .extend(entries.into_iter().map(|entry| (now, entry)));
        None
    }

    fn truncate(&mut self, position: i64) {
        let before = self.log.len();
        self.log.truncate(position);
        let removed = before - self.log.len();
        self.lagging
            .truncate(self.lagging.len().saturating_sub(removed));
        if self.applied > self.log.len() {
            self.restart();
        }
        self.tail.send_replace(self.log.last());
    }

    /// Empties the databases, so that `advance` applies the whole log again.
    fn restart(&mut self) {
        self.abort_transactions();
        let databases = Database::open().and_then(|first| Ok((first, Database::open()?)));
        // Opening a database in memory fails only without memory, which nothing here outlives.
        if let Ok((committed, work)) = databases {
            self.committed = committed;
            self.work = work;
            self.applied = 0;
        }
    }

    /// Moves entries on whose lag has passed; returns when to call again.
    ///
    /// Applies a limited number of entries, so that status reads get their turn in between.
    pub fn advance(&mut self, now: Instant, lags: Lags) -> Option<Instant> {
        self.receive_due(now, lags.receive);
        while self
            .lagging
            .front()
            .is_some_and(|at| *at + lags.apply <= now)
        {
            self.lagging.pop_front();
        }
        let due = self.log.len() - self.lagging.len();
        let end = due.min(self.applied + APPLY_LIMIT);
        while self.applied < end {
            self.apply_next();
        }
        if self.applied < due {
            return Some(now);
        }
        let receive = self.pending.front().map(|(at, _)| *at + lags.receive);
        let apply = self.lagging.front().map(|at| *at + lags.apply);
        receive.into_iter().chain(apply).min()
    }

    fn receive_due(&mut self, now: Instant, lag: Duration) {
        let due = |(at, _): &(Instant, Entry)| *at + lag <= now;
        let count = self.pending.iter().take_while(|item| due(item)).count();
        if count == 0 {
            return;
        }
        for (_, entry) in self.pending.drain(..count) {
            if self.log.receive(entry) {
                self.lagging.push_back(now);
            }
        }
        self.tail.send_replace(self.log.last());
    }

    pub(super) fn apply_all(&mut self) {
        self.lagging.clear();
        while self.applied < self.log.len() {
            self.apply_next();
        }
    }

    fn apply_next(&mut self) {
        if let Some(entry) = self.log.get(self.applied) {
            // The primary has run the same statements on the same state, so that a failure here
            // would be one of the stand-in itself; the entry then has no effect on both databases.
            drop(self.committed.apply(&entry.statements));
            drop(self.work.apply(&entry.statements));
        }
        self.applied += 1;
    }
}
