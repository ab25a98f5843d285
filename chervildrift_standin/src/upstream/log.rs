//! Log of committed write statements, with Raft's rules for matching logs.

use serde::{Deserialize, Serialize};

use super::value::Value;

/// Term and position of a log entry; both are zero before the first entry.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct LogPosition {
    /// Term of the primary that wrote the entry.
    pub term: i64,
    /// Index of the entry, starting at 1.
    pub position: i64,
}

/// Write statement with its parameters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Statement {
    pub sql: String,
    pub params: Vec<Value>,
}

/// Committed transaction; the entry of a promotion has no statements.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Entry {
    pub log_position: LogPosition,
    pub statements: Vec<Statement>,
}

/// Entries from position 1 on, without gaps and with terms that never decrease.
#[derive(Debug, Default)]
pub(super) struct Log {
    entries: Vec<Entry>,
}

impl Log {
    /// Returns the log position of the last entry.
    pub fn last_position(&self) -> LogPosition {
        self.entries
            .last()
            .map(|entry| entry.log_position)
            .unwrap_or_default()
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the log position of the entry at an index, if the log reaches it.
    pub fn log_position_at(&self, position: i64) -> Option<LogPosition> {
        if position == 0 {
            return Some(LogPosition::default());
        }
        let index = usize::try_from(position).ok()?.checked_sub(1)?;
        self.entries.get(index).map(|entry| entry.log_position)
    }

    /// Returns the log position of the last of the first `count` entries.
    pub fn last_position_of(&self, count: usize) -> LogPosition {
        let index = count.checked_sub(1);
        let entry = index.and_then(|index| self.entries.get(index));
        entry.map(|entry| entry.log_position).unwrap_or_default()
    }

    /// Returns the entry that follows the first `count` ones.
    pub fn get(&self, count: usize) -> Option<&Entry> {
        self.entries.get(count)
    }

    /// Checks whether the log has an entry with this term and position.
    pub fn contains(&self, log_position: LogPosition) -> bool {
        self.log_position_at(log_position.position) == Some(log_position)
    }

    /// Returns the last entry at or before `log_position` whose term isn't above its term.
    ///
    /// The result equals `log_position` if the log has that entry. Otherwise no entry after the
    /// result can be in a log that ends at `log_position`.
    pub fn last_common(&self, log_position: LogPosition) -> LogPosition {
        let end = usize::try_from(log_position.position)
            .unwrap_or(0)
            .min(self.len());
        let common = self.entries[..end]
            .partition_point(|entry| entry.log_position.term <= log_position.term);
        self.last_position_of(common)
    }

    /// Returns up to `limit` entries after a position.
    pub fn entries_after(&self, position: i64, limit: usize) -> &[Entry] {
        let start = usize::try_from(position).unwrap_or(0).min(self.len());
        let end = start.saturating_add(limit).min(self.len());
        &self.entries[start..end]
    }

    /// Appends the statements of a transaction as an entry of a term.
    pub fn append(&mut self, term: i64, statements: Vec<Statement>) {
        let position = self.last_position().position + 1;
        let log_position = LogPosition { term, position };
        self.entries.push(Entry {
            log_position,
            statements,
        });
    }

    /// Appends an entry received from a primary if it directly follows the last one.
    ///
    /// Returns whether it did.
    pub fn append_received(&mut self, entry: Entry) -> bool {
        let last = self.last_position();
        let is_next = entry.log_position.position == last.position + 1
            && entry.log_position.term >= last.term;
        if is_next {
            self.entries.push(entry);
        }
        is_next
    }

    /// Removes all entries after a position.
    pub fn truncate(&mut self, position: i64) {
        self.entries
            .truncate(usize::try_from(position).unwrap_or(0));
    }
}
