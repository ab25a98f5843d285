//! Records of the table service, with conditional writes by entity tag.

use std::collections::BTreeMap;
use std::ops::Bound;

use serde::Serialize;
use serde_json::Value;

/// Condition of a write or a read, from the request's headers.
#[derive(Clone, Debug, Default)]
pub(super) struct Condition {
    /// Value of `If-Match`.
    pub if_match: Option<String>,
    /// Value of `If-None-Match`.
    pub if_none_match: Option<String>,
}

impl Condition {
    /// Tells whether a record with this tag, or the lack of one, meets the condition.
    pub fn holds(&self, tag: Option<&str>) -> bool {
        let matches = |wanted: &str| match tag {
            Some(tag) => wanted.trim() == "*" || wanted.split(',').any(|part| part.trim() == tag),
            None => false,
        };
        self.if_match.as_deref().is_none_or(matches)
            && !self.if_none_match.as_deref().is_some_and(matches)
    }
}

/// Record and its entity tag.
#[derive(Clone, Debug, Serialize)]
pub(super) struct TaggedRecord {
    pub tag: String,
    pub value: Value,
}

/// Record with its key, as a scan lists it.
#[derive(Clone, Debug, Serialize)]
pub(super) struct ListedRecord {
    pub key: String,
    #[serde(flatten)]
    pub record: TaggedRecord,
}

/// Outcome of a conditional write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum WriteResult {
    /// The record is new and has this tag.
    Created(String),
    /// The record was there and has this tag now.
    Replaced(String),
    /// The record was there and is gone.
    Deleted,
    /// There is no such record.
    NotFound,
    /// The condition does not hold; the record has this tag, if it is there.
    Refused(Option<String>),
}

/// Which records a scan lists.
#[derive(Clone, Debug, Default)]
pub(super) struct ScanQuery {
    pub prefix: String,
    /// Key after which the list starts.
    pub after: Option<String>,
    pub limit: usize,
}

/// All tables; a tag is never used twice.
#[derive(Debug, Default)]
pub(super) struct Tables {
    records: BTreeMap<(String, String), TaggedRecord>,
    last_tag: u64,
}

impl Tables {
    /// Returns a record.
    pub fn get(&self, table: &str, key: &str) -> Option<&TaggedRecord> {
        self.records.get(&(table.to_owned(), key.to_owned()))
    }

    /// Writes a record if the condition holds.
    pub fn put(
        &mut self,
        table: &str,
        key: &str,
        value: Value,
        condition: &Condition,
    ) -> WriteResult {
        let current_tag = self.get(table, key).map(|record| record.tag.clone());
        if !condition.holds(current_tag.as_deref()) {
            return WriteResult::Refused(current_tag);
        }
        self.last_tag += 1;
        let tag = format!("\"{}\"", self.last_tag);
        let record = TaggedRecord {
            tag: tag.clone(),
            value,
        };
        let id = (table.to_owned(), key.to_owned());
        match self.records.insert(id, record) {
            Some(_) => WriteResult::Replaced(tag),
            None => WriteResult::Created(tag),
        }
    }

    /// Deletes a record if the condition holds.
    pub fn delete(&mut self, table: &str, key: &str, condition: &Condition) -> WriteResult {
        let current_tag = self.get(table, key).map(|record| record.tag.clone());
        if !condition.holds(current_tag.as_deref()) {
            return WriteResult::Refused(current_tag);
        }
        let id = (table.to_owned(), key.to_owned());
        match self.records.remove(&id) {
            Some(_) => WriteResult::Deleted,
            None => WriteResult::NotFound,
        }
    }

    /// Lists records of a table in the order of their keys.
    pub fn scan(&self, table: &str, scan: &ScanQuery) -> Vec<ListedRecord> {
        let id = |key: &str| (table.to_owned(), key.to_owned());
        let start = match &scan.after {
            Some(after) if *after >= scan.prefix => Bound::Excluded(id(after)),
            _ => Bound::Included(id(&scan.prefix)),
        };
        self.records
            .range((start, Bound::Unbounded))
            .take_while(|((name, key), _)| name == table && key.starts_with(&scan.prefix))
            .take(scan.limit)
            .map(|((_, key), record)| ListedRecord {
                key: key.clone(),
                record: record.clone(),
            })
            .collect()
    }
}
