//! What really happened in a run, and the invariants it is held against.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use chervildrift_core::types::{LogPosition, Term, Time};

use super::message::Entry;
use super::node::Node;

/// Most violations kept as text.
const VIOLATIONS_KEPT: usize = 20;

/// An acknowledged write.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ack {
    pub(super) key: u64,
    pub(super) at: Time,
}

/// A change of primary.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    /// Term that was started.
    pub term: Term,
    /// Upstream that was promoted.
    pub upstream: usize,
    /// Start of the status check of the round.
    pub checked: Time,
    /// Start of the fencing of the round.
    pub fencing: Time,
    /// Time at which the promotion was first sent.
    pub promoting: Time,
    /// Time at which the upstream took the promotion.
    pub taken: Time,
    /// First acknowledgement in the term.
    pub acked: Option<Time>,
}

/// What really happened in a run.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Broken invariants.
    pub violations: Vec<String>,
    /// Changes of primary, in order.
    pub changes: Vec<Change>,
    /// Writes that were started.
    pub started: u64,
    /// Writes whose outcome was given as unknown at first.
    pub unknown: u64,
    /// Reads served under a token.
    pub served: u64,
    /// Times from the start of a write to its acknowledgement.
    pub latencies: Vec<Duration>,
    begun: HashMap<u64, Time>,
    pub(super) acks: Vec<Ack>,
    not_run: Vec<u64>,
    terms: BTreeMap<Term, usize>,
    confirmed: LogPosition,
}

impl Ledger {
    /// Returns the number of acknowledged writes.
    #[must_use]
    pub fn acked(&self) -> usize {
        self.acks.len()
    }

    /// Returns the number of writes answered "not run".
    #[must_use]
    pub fn refused(&self) -> usize {
        self.not_run.len()
    }

    /// Returns the time of the last acknowledgement before `time`.
    #[must_use]
    pub fn acked_before(&self, time: Time) -> Option<Time> {
        let end = self.acks.partition_point(|ack| ack.at < time);
        Some(self.acks.get(end.checked_sub(1)?)?.at)
    }

    /// Returns the time of the first acknowledgement at or after `time`.
    #[must_use]
    pub fn acked_after(&self, time: Time) -> Option<Time> {
        let start = self.acks.partition_point(|ack| ack.at < time);
        Some(self.acks.get(start)?.at)
    }

    /// Returns the number of acknowledged writes that a log lacks.
    #[must_use]
    pub fn lost(&self, node: &Node) -> usize {
        let lost = self.acks.iter().filter(|ack| !node.holds(ack.key));
        lost.count()
    }

    /// Returns the number of keys that a log holds more than once.
    #[must_use]
    pub fn doubled(&self, log: &[Entry]) -> usize {
        let mut counts: HashMap<u64, u32> = HashMap::new();
        for entry in log.iter().filter(|entry| entry.key != 0) {
            *counts.entry(entry.key).or_default() += 1;
        }
        counts.values().filter(|&&count| count > 1).count()
    }

    /// Checks the answers given against the log that remains at the end.
    pub fn settle(&mut self, node: &Node) {
        let lost = self.lost(node);
        self.require(lost == 0, || format!("{lost} confirmed writes lost"));
        let doubled = self.doubled(node.log());
        self.require(doubled == 0, || format!("{doubled} writes doubled"));
        let refused: std::collections::BTreeSet<u64> = self.not_run.iter().copied().collect();
        let ran = node.log().iter().filter(|entry| !entry.cancels);
        let ran = ran.filter(|entry| refused.contains(&entry.key)).count();
        self.require(ran == 0, || format!("{ran} writes ran after \"not run\""));
    }

    pub(super) fn begin(&mut self, now: Time, key: u64) {
        self.started += 1;
        self.begun.insert(key, now);
    }

    pub(super) fn ack(&mut self, at: Time, key: u64, mark: LogPosition, since: Time) {
        let replaced = self
            .changes
            .iter()
            .rev()
            .take_while(|change| change.term > mark.term)
            .any(|change| change.taken < since);
        self.require(!replaced, || {
            format!("write {key} at {mark} acknowledged by a replaced primary at {at}")
        });
        self.acks.push(Ack { key, at });
        let begun = self.begun.remove(&key);
        self.latencies.extend(begun.map(|begun| at.since(begun)));
        if let Some(change) = self.changes.iter_mut().rfind(|c| c.term == mark.term) {
            change.acked.get_or_insert(at);
        }
    }

    pub(super) fn refuse(&mut self, key: u64) {
        self.not_run.push(key);
    }

    pub(super) fn promote(&mut self, change: Change, node: &Node, checked: bool) {
        if let Some(&other) = self.terms.get(&change.term) {
            let same = other == change.upstream;
            self.require(same, || format!("two primaries in term {}", change.term));
            return;
        }
        self.terms.insert(change.term, change.upstream);
        let newest = self
            .changes
            .last()
            .is_none_or(|last| last.term < change.term);
        // A round that was overtaken may still promote, but nothing is confirmed in its term.
        if newest {
            self.changes.push(change);
        }
        if checked && newest {
            let lost = self.lost(node);
            self.require(lost == 0, || {
                format!("term {} starts without {lost} writes", change.term)
            });
            let (start, confirmed) = (node.received(), self.confirmed);
            self.require(start.position > confirmed.position, || {
                format!("term starts at {start} below the confirmed mark {confirmed}")
            });
        }
    }

    /// Takes the confirmed mark of a view that had `before`.
    pub(super) fn confirm(&mut self, before: Option<LogPosition>, after: Option<LogPosition>) {
        let (Some(before), Some(after)) = (before, after) else {
            return;
        };
        self.confirmed = self.confirmed.max(after);
        self.require(before <= after, || {
            format!("confirmed mark went from {before} to {after}")
        });
    }

    pub(super) fn serve(&mut self, key: u64, visible: bool) {
        self.served += 1;
        self.require(visible, || format!("a read served without write {key}"));
    }

    /// Checks an age that a view states for an upstream.
    pub(super) fn check_age(&mut self, now: Time, node: &Node, complete: Time) {
        let end = self.acks.partition_point(|ack| ack.at < complete);
        let Some(ack) = end.checked_sub(1).and_then(|last| self.acks.get(last)) else {
            return;
        };
        let key = ack.key;
        self.require(node.shows(now, key), || {
            format!("stated age hides write {key}")
        });
    }

    fn require(&mut self, holds: bool, text: impl FnOnce() -> String) {
        if !holds && self.violations.len() < VIOLATIONS_KEPT {
            self.violations.push(text());
        }
    }
}
