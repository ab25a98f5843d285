//! Records of the table service, with conditional writes by entity tag.

use std::collections::BTreeMap;
use std::ops::Bound;

use serde::Serialize;
use serde_json::Value;

/// Precondition of a request, from its headers.
#[derive(Clone, Debug, Default)]
pub(super) struct Condition {
    /// Value of `If-Match`.
    pub if_match: Option<String>,
    /// Value of `If-None-Match`.
    pub if_none_match: Option<String>,
}

impl Condition {
    /// Checks the condition against the tag of a record, or against the absence of one.
    pub fn holds(&self, tag: Option<&str>) -> bool {
        let matches = |wanted: &str| match tag {
            Some(tag) => wanted.trim() == "*" || wanted.split(',').any(|part| part.trim() == tag),
            None => false,
        };
        self.if_match.as_deref().is_none_or(matches)
            && !self.if_none_match.as_deref().is_some_and(matches)
    }
}

/// Record with its entity tag.
#[derive(Clone, Debug, Serialize)]
pub(super) struct TaggedRecord {
    pub tag: String,
    pub value: Value,
}

/// Record with its key, as a scan returns it.
#[derive(Clone, Debug, Serialize)]
pub(super) struct ListedRecord {
    pub key: String,
    #[serde(flatten)]
    pub record: TaggedRecord,
}

/// Outcome of a conditional write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum WriteResult {
    /// The record was created with this tag.
    Created(String),
    /// The record was replaced and now has this tag.
    Replaced(String),
    /// The record was deleted.
    Deleted,
    /// The record to delete doesn't exist.
    NotFound,
    /// The condition doesn't hold; contains the tag of the record, if it exists.
    Refused(Option<String>),
}

/// Selection of records for a scan.
#[derive(Clone, Debug, Default)]
pub(super) struct ScanQuery {
    pub prefix: String,
    /// Exclusive start of the scan.
    pub after: Option<String>,
    pub limit: usize,
}

/// Records of all tables; tags are never reused.
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

    /// Returns records of a table in key order.
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
