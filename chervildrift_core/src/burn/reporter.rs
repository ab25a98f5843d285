//! Deltas on their way to the aggregators.

use std::collections::{BTreeMap, VecDeque};

use super::event::Kept;
use super::{Ack, Action, Batch, BurnCounters, Count, Limits, Tally};
use crate::types::{Kind, Rank, Time, Vm};

/// Counts of one service that no stored snapshot holds yet.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    open: BTreeMap<(Kind, Rank), Tally>,
    kept: VecDeque<Kept>,
    last: u64,
    merged: u64,
    stored: u64,
    to: Option<Vm>,
    sent: Option<Time>,
    heard: Time,
    known: bool,
    dropped: u64,
}

impl Outbox {
    pub fn record(&mut self, kind: &Kind, rank: Rank, good: bool) {
        let tally = self.open.entry((kind.clone(), rank)).or_default();
        *tally += Tally {
            good: u64::from(good),
            bad: u64::from(!good),
        };
    }

    /// Ends the current delta.
    pub fn close(&mut self, now: Time, retained: usize) {
        if self.open.is_empty() {
            return;
        }
        self.last += 1;
        let counts = std::mem::take(&mut self.open);
        let counts = counts
            .into_iter()
            .map(|((kind, rank), tally)| Count { kind, rank, tally });
        self.kept.push_back(Kept {
            sequence: self.last,
            closed: now,
            counts: counts.collect(),
        });
        while self.kept.len() > retained {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some(oldest) = self.kept.pop_front() else {
            return;
        };
        if oldest.sequence <= self.merged {
            return;
        }
        let lost = oldest.counts.iter().map(|count| count.tally);
        self.dropped += lost.map(|tally| tally.good + tally.bad).sum::<u64>();
    }

    /// Sends to another aggregator from now on, starting with all that no snapshot holds.
    pub fn aim(&mut self, vm: Vm) {
        if self.to.as_ref() != Some(&vm) {
            self.to = Some(vm);
            self.merged = self.stored;
            self.sent = None;
            self.known = false;
        }
    }

    /// Takes the aggregator's answer. It may name less than before, when it started again from a
    /// snapshot.
    fn acknowledge(&mut self, now: Time, ack: &Ack) {
        if self.to.as_ref() != Some(&ack.from) {
            return;
        }
        self.stored = self.stored.max(ack.stored.min(self.last));
        self.merged = ack.merged.clamp(self.stored, self.last);
        self.sent = None;
        self.heard = now;
        self.known = true;
        let stored = self.stored;
        self.kept.retain(|kept| kept.sequence > stored);
    }

    /// Tells whether a batch is due: the aggregator lacks deltas; it has not answered yet, so it
    /// may not know that it is one; or it has not told for long whether the deltas are stored, so
    /// it may have started again from an older snapshot.
    fn is_due(&self, now: Time, limits: &Limits) -> bool {
        let waits = |at: Time| now.since(at) < limits.resend_after;
        let stale = !self.kept.is_empty() && now.since(self.heard) >= limits.snapshot_period;
        !self.sent.is_some_and(waits) && (self.last != self.merged || !self.known || stale)
    }

    /// Returns the lowest number still held.
    fn floor(&self) -> u64 {
        self.kept
            .front()
            .map_or(self.last + 1, |kept| kept.sequence)
    }

    pub const fn dropped(&self) -> u64 {
        self.dropped
    }

    pub fn bytes(&self) -> usize {
        let counts: usize = self.kept.iter().map(|kept| kept.counts.len()).sum();
        let kept = self.kept.len() * size_of::<Kept>();
        size_of::<Self>() + kept + (counts + self.open.len()) * size_of::<Count>()
    }
}

impl BurnCounters {
    pub(super) fn acknowledge(&mut self, now: Time, ack: &Ack) {
        let current = ack.boot == self.boot;
        if let Some(outbox) = self.outboxes.get_mut(&ack.service).filter(|_| current) {
            outbox.acknowledge(now, ack);
        }
        self.send_batches(now);
    }

    /// Sends what each aggregator lacks, one batch per service at a time.
    pub(super) fn send_batches(&mut self, now: Time) {
        for (service, outbox) in &mut self.outboxes {
            if !outbox.is_due(now, &self.limits) {
                continue;
            }
            let Some(to) = outbox.to.clone() else {
                let service = service.clone();
                self.out.push(Action::LocateAggregator { service });
                continue;
            };
            outbox.sent = Some(now);
            let unsent = outbox
                .kept
                .iter()
                .filter(|kept| kept.sequence > outbox.merged);
            let deltas = unsent.take(self.limits.batch).map(|kept| kept.delta(now));
            let batch = Batch {
                from: self.me.clone(),
                boot: self.boot,
                service: service.clone(),
                floor: outbox.floor(),
                deltas: deltas.collect(),
            };
            self.out.push(Action::SendBatch { to, batch });
        }
    }
}
