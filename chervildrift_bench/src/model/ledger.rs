//! Record of what happened in a run, and the invariants that it is checked against.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use chervildrift_core::types::{LogPosition, Term, Time};

use super::message::Entry;
use super::upstream::FakeUpstream;

/// Greatest number of violations kept as text.
const MAX_VIOLATIONS: usize = 20;

/// An acknowledged write.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ack {
    pub(super) key: u64,
    pub(super) at: Time,
}

/// A change of primary.
#[derive(Clone, Copy, Debug)]
pub struct PrimaryChange {
    /// Term that was started.
    pub term: Term,
    /// Upstream that was promoted.
    pub upstream: usize,
    /// Start of the status check of the round.
    pub check_start: Time,
    /// Start of the fencing of the round.
    pub fence_start: Time,
    /// Start of the promotion phase of the round, in which the promotion is first sent.
    pub promote_start: Time,
    /// Time at which the upstream accepted the promotion.
    pub promoted_at: Time,
    /// First acknowledgement in the term.
    pub first_ack: Option<Time>,
}

/// Record of what happened in a run, whatever the VMs know of it.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Descriptions of the broken invariants.
    pub violations: Vec<String>,
    /// Changes of primary, in order.
    pub changes: Vec<PrimaryChange>,
    /// Writes that were started.
    pub started_writes: u64,
    /// Unknown outcomes; a write counts again each time that its retry has one.
    pub unknown_outcomes: u64,
    /// Reads served with a minimum position.
    pub reads_served: u64,
    /// Times from the start of a write to its acknowledgement.
    pub latencies: Vec<Duration>,
    start_times: HashMap<u64, Time>,
    pub(super) acks: Vec<Ack>,
    not_run_keys: Vec<u64>,
    term_primaries: BTreeMap<Term, usize>,
    confirmed_position: LogPosition,
}

impl Ledger {
    /// Returns the number of acknowledged writes.
    #[must_use]
    pub fn ack_count(&self) -> usize {
        self.acks.len()
    }

    /// Returns the number of writes answered "not run".
    #[must_use]
    pub fn not_run_count(&self) -> usize {
        self.not_run_keys.len()
    }

    /// Returns the time of the last acknowledgement before `time`.
    #[must_use]
    pub fn last_ack_before(&self, time: Time) -> Option<Time> {
        let end = self.acks.partition_point(|ack| ack.at < time);
        Some(self.acks.get(end.checked_sub(1)?)?.at)
    }

    /// Returns the time of the first acknowledgement at or after `time`.
    #[must_use]
    pub fn first_ack_after(&self, time: Time) -> Option<Time> {
        let start = self.acks.partition_point(|ack| ack.at < time);
        Some(self.acks.get(start)?.at)
    }

    /// Returns the number of acknowledged writes that a log lacks.
    #[must_use]
    pub fn count_lost(&self, upstream: &FakeUpstream) -> usize {
        let lost = self.acks.iter().filter(|ack| !upstream.contains(ack.key));
        lost.count()
    }

    /// Returns the number of keys that a log holds more than once.
    #[must_use]
    pub fn count_duplicates(&self, log: &[Entry]) -> usize {
        let mut counts: HashMap<u64, u32> = HashMap::new();
        for entry in log.iter().filter(|entry| entry.key != 0) {
            *counts.entry(entry.key).or_default() += 1;
        }
        counts.values().filter(|&&count| count > 1).count()
    }

    /// Checks the answers given to callers against the log that remains at the end.
    pub fn check_log(&mut self, upstream: &FakeUpstream) {
        let lost = self.count_lost(upstream);
        self.require(lost == 0, || format!("{lost} confirmed writes lost"));
        let duplicates = self.count_duplicates(upstream.log());
        self.require(duplicates == 0, || format!("{duplicates} keys duplicated"));
        let refused: std::collections::BTreeSet<u64> = self.not_run_keys.iter().copied().collect();
        let ran = upstream.log().iter().filter(|entry| !entry.is_cancel);
        let ran = ran.filter(|entry| refused.contains(&entry.key)).count();
        self.require(ran == 0, || format!("{ran} writes ran after \"not run\""));
    }

    pub(super) fn record_start(&mut self, now: Time, key: u64) {
        self.started_writes += 1;
        self.start_times.insert(key, now);
    }

    pub(super) fn record_ack(
        &mut self,
        at: Time,
        key: u64,
        position: LogPosition,
        written_at: Time,
    ) {
        let replaced = self
            .changes
            .iter()
            .rev()
            .take_while(|change| change.term > position.term)
            .any(|change| change.promoted_at < written_at);
        self.require(!replaced, || {
            format!("write {key} at {position} acknowledged by a replaced primary at {at}")
        });
        self.acks.push(Ack { key, at });
        let started = self.start_times.remove(&key);
        self.latencies
            .extend(started.map(|started| at.since(started)));
        if let Some(change) = self.changes.iter_mut().rfind(|c| c.term == position.term) {
            change.first_ack.get_or_insert(at);
        }
    }

    pub(super) fn record_not_run(&mut self, key: u64) {
        self.not_run_keys.push(key);
    }

    pub(super) fn record_promotion(
        &mut self,
        change: PrimaryChange,
        upstream: &FakeUpstream,
        strict: bool,
    ) {
        if let Some(&other) = self.term_primaries.get(&change.term) {
            let same = other == change.upstream;
            self.require(same, || format!("two primaries in term {}", change.term));
            return;
        }
        self.term_primaries.insert(change.term, change.upstream);
        let newest = self
            .changes
            .last()
            .is_none_or(|last| last.term < change.term);
        // A superseded round may still promote, but nothing is confirmed in its term.
        if newest {
            self.changes.push(change);
        }
        if strict && newest {
            let lost = self.count_lost(upstream);
            self.require(lost == 0, || {
                format!(
                    "term {} starts without {lost} acknowledged writes",
                    change.term
                )
            });
            let (start, confirmed) = (upstream.received(), self.confirmed_position);
            self.require(start.position > confirmed.position, || {
                format!("term starts at {start} below the confirmed position {confirmed}")
            });
        }
    }

    /// Checks that the confirmed position of a view does not decrease.
    pub(super) fn check_confirmed(
        &mut self,
        before: Option<LogPosition>,
        after: Option<LogPosition>,
    ) {
        let (Some(before), Some(after)) = (before, after) else {
            return;
        };
        self.confirmed_position = self.confirmed_position.max(after);
        self.require(before <= after, || {
            format!("confirmed position decreased from {before} to {after}")
        });
    }

    pub(super) fn check_read(&mut self, key: u64, visible: bool) {
        self.reads_served += 1;
        self.require(visible, || format!("read did not return write {key}"));
    }

    /// Checks that an upstream shows the last write acknowledged before `complete`.
    ///
    /// A view that states an age for the upstream claims that it is complete up to that time.
    pub(super) fn check_age(&mut self, now: Time, upstream: &FakeUpstream, complete: Time) {
        let end = self.acks.partition_point(|ack| ack.at < complete);
        let Some(ack) = end.checked_sub(1).and_then(|last| self.acks.get(last)) else {
            return;
        };
        let key = ack.key;
        self.require(upstream.is_visible(now, key), || {
            format!("write {key} is missing although it is older than the stated age")
        });
    }

    fn require(&mut self, condition: bool, text: impl FnOnce() -> String) {
        if !condition && self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(text());
        }
    }
}
