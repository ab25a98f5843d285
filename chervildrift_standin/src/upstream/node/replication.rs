//! Replication: serving log entries to replicas, and receiving and applying them.

use std::time::{Duration, Instant};

use super::super::database::Database;
use super::super::log::{Entry, LogPosition};
use super::{Node, Role};

/// Maximum number of entries that are applied without releasing the lock.
const APPLY_BATCH_SIZE: usize = 256;

/// Lags of a replica, as currently set by its faults.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::upstream) struct Lags {
    pub receive: Duration,
    pub apply: Duration,
}

impl Node {
    /// Returns the term, the last common position and the entries after it, if this is a primary.
    pub fn entries_after(
        &self,
        log_position: LogPosition,
        limit: usize,
    ) -> Option<(i64, LogPosition, &[Entry])> {
        if self.role != Role::Primary {
            return None;
        }
        let common = self.log.last_common(log_position);
        Some((
            self.fence_term,
            common,
            self.log.entries_after(common.position, limit),
        ))
    }

    /// Returns the position after which the next pull continues.
    pub fn pull_position(&self) -> LogPosition {
        let pending = self.pending.back().map(|(_, entry)| entry.log_position);
        pending.unwrap_or_else(|| self.log.last_position())
    }

    /// Records a response from a primary.
    ///
    /// Returns false if its term is below the fence or this upstream is a primary itself.
    pub fn accept_primary(&mut self, term: i64, now: Instant) -> bool {
        if self.role == Role::Primary || term < self.fence_term {
            return false;
        }
        // The term has a primary now, so that no promoter may use it any more.
        self.fence_term = term;
        self.fenced_by = None;
        self.last_pull = Some(now);
        true
    }

    /// Queues pulled entries that follow `common`, after truncating the log to it if necessary.
    ///
    /// If the log doesn't contain `common`, returns the position to pull from instead.
    pub fn receive_entries(
        &mut self,
        common: LogPosition,
        entries: Vec<Entry>,
        now: Instant,
    ) -> Option<LogPosition> {
        if common != self.pull_position() {
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
        self.receipt_times
            .truncate(self.receipt_times.len().saturating_sub(removed));
        if self.applied_count > self.log.len() {
            self.reset_databases();
        }
        self.tail.send_replace(self.log.last_position());
    }

    /// Replaces the databases by empty ones, so that `advance` applies the whole log again.
    fn reset_databases(&mut self) {
        self.abort_transactions();
        let databases = Database::open().and_then(|first| Ok((first, Database::open()?)));
        // Opening an in-memory database fails only when out of memory, which is fatal anyway.
        if let Ok((committed, uncommitted)) = databases {
            self.committed = committed;
            self.uncommitted = uncommitted;
            self.applied_count = 0;
        }
    }

    /// Receives and applies entries whose lag has passed; returns when to call it again.
    ///
    /// Applies a limited number of entries per call, so that status reads can take the lock in
    /// between.
    pub fn advance(&mut self, now: Instant, lags: Lags) -> Option<Instant> {
        self.receive_due(now, lags.receive);
        while self
            .receipt_times
            .front()
            .is_some_and(|at| *at + lags.apply <= now)
        {
            self.receipt_times.pop_front();
        }
        let due = self.log.len() - self.receipt_times.len();
        let end = due.min(self.applied_count + APPLY_BATCH_SIZE);
        while self.applied_count < end {
            self.apply_next();
        }
        if self.applied_count < due {
            return Some(now);
        }
        let receive = self.pending.front().map(|(at, _)| *at + lags.receive);
        let apply = self.receipt_times.front().map(|at| *at + lags.apply);
        receive.into_iter().chain(apply).min()
    }

    fn receive_due(&mut self, now: Instant, lag: Duration) {
        let due = |(at, _): &(Instant, Entry)| *at + lag <= now;
        let count = self.pending.iter().take_while(|item| due(item)).count();
        if count == 0 {
            return;
        }
        for (_, entry) in self.pending.drain(..count) {
            if self.log.append_received(entry) {
                self.receipt_times.push_back(now);
            }
        }
        self.tail.send_replace(self.log.last_position());
    }

    pub(super) fn apply_all(&mut self) {
        self.receipt_times.clear();
        while self.applied_count < self.log.len() {
            self.apply_next();
        }
    }

    fn apply_next(&mut self) {
        if let Some(entry) = self.log.get(self.applied_count) {
            // The primary ran the same statements on the same state, so that an error here would be
            // a bug of the stand-in; the entry then has no effect on either database.
            drop(self.committed.apply(&entry.statements));
            drop(self.uncommitted.apply(&entry.statements));
        }
        self.applied_count += 1;
    }
}
