//! Sends the deltas of this VM to the aggregators.

use std::collections::{BTreeMap, VecDeque};

use super::event::RetainedDelta;
use super::{Ack, Action, Batch, BurnCounters, Count, Limits, Tally};
use crate::types::{Kind, Rank, Time, Vm};

/// Counts of one service that no stored snapshot includes yet.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    current: BTreeMap<(Kind, Rank), Tally>,
    retained: VecDeque<RetainedDelta>,
    last_sequence: u64,
    merged_sequence: u64,
    stored_sequence: u64,
    aggregator: Option<Vm>,
    sent_at: Option<Time>,
    acked_at: Time,
    acked: bool,
    dropped_requests: u64,
}

impl Outbox {
    pub fn record(&mut self, kind: &Kind, rank: Rank, good: bool) {
        let tally = self.current.entry((kind.clone(), rank)).or_default();
        *tally += Tally {
            good: u64::from(good),
            bad: u64::from(!good),
        };
    }

    /// Closes the current delta and drops the oldest ones above the limit.
    pub fn close_delta(&mut self, now: Time, max_retained: usize) {
        if self.current.is_empty() {
            return;
        }
        self.last_sequence += 1;
        let counts = std::mem::take(&mut self.current);
        let counts = counts
            .into_iter()
            .map(|((kind, rank), tally)| Count { kind, rank, tally });
        self.retained.push_back(RetainedDelta {
            sequence: self.last_sequence,
            closed_at: now,
            counts: counts.collect(),
        });
        while self.retained.len() > max_retained {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some(oldest) = self.retained.pop_front() else {
            return;
        };
        if oldest.sequence <= self.merged_sequence {
            return;
        }
        let dropped = oldest.counts.iter().map(|count| count.tally);
        self.dropped_requests += dropped.map(|tally| tally.good + tally.bad).sum::<u64>();
    }

    /// Switches to another aggregator, starting with the first delta that no stored snapshot
    /// includes.
    pub fn set_aggregator(&mut self, vm: Vm) {
        if self.aggregator.as_ref() != Some(&vm) {
            self.aggregator = Some(vm);
            self.merged_sequence = self.stored_sequence;
            self.sent_at = None;
            self.acked = false;
        }
    }

    /// Records an acknowledgement, whose sequence number of merged deltas may go back if the
    /// aggregator has restarted from a snapshot.
    fn acknowledge(&mut self, now: Time, ack: &Ack) {
        if self.aggregator.as_ref() != Some(&ack.from) {
            return;
        }
        self.stored_sequence = self.stored_sequence.max(ack.stored.min(self.last_sequence));
        self.merged_sequence = ack.merged.clamp(self.stored_sequence, self.last_sequence);
        self.sent_at = None;
        self.acked_at = now;
        self.acked = true;
        let stored_sequence = self.stored_sequence;
        self.retained
            .retain(|delta| delta.sequence > stored_sequence);
    }

    /// Returns whether a batch is due.
    ///
    /// It is due if the aggregator lacks deltas; if it has not acknowledged any batch yet, so it
    /// may not know that it is the aggregator; or if retained deltas have gone without an
    /// acknowledgement for a snapshot period, so it may have restarted from an older snapshot.
    fn is_due(&self, now: Time, limits: &Limits) -> bool {
        let awaits_ack = |at: Time| now.since(at) < limits.resend_after;
        let stale = !self.retained.is_empty() && now.since(self.acked_at) >= limits.snapshot_period;
        !self.sent_at.is_some_and(awaits_ack)
            && (self.last_sequence != self.merged_sequence || !self.acked || stale)
    }

    /// Returns the sequence number of the first retained delta, or of the next one if none is.
    fn first_sequence(&self) -> u64 {
        self.retained
            .front()
            .map_or(self.last_sequence + 1, |delta| delta.sequence)
    }

    pub const fn dropped(&self) -> u64 {
        self.dropped_requests
    }

    pub fn bytes(&self) -> usize {
        let counts: usize = self.retained.iter().map(|delta| delta.counts.len()).sum();
        let retained = self.retained.len() * size_of::<RetainedDelta>();
        size_of::<Self>() + retained + (counts + self.current.len()) * size_of::<Count>()
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

    /// Sends the deltas that each aggregator lacks, one batch per service at a time.
    pub(super) fn send_batches(&mut self, now: Time) {
        for (service, outbox) in &mut self.outboxes {
            if !outbox.is_due(now, &self.limits) {
                continue;
            }
            let Some(to) = outbox.aggregator.clone() else {
                let service = service.clone();
                self.actions.push(Action::LocateAggregator { service });
                continue;
            };
            outbox.sent_at = Some(now);
            let unsent = outbox
                .retained
                .iter()
                .filter(|delta| delta.sequence > outbox.merged_sequence);
            let deltas = unsent
                .take(self.limits.batch_deltas)
                .map(|delta| delta.to_delta(now));
            let batch = Batch {
                from: self.me.clone(),
                boot: self.boot,
                service: service.clone(),
                floor: outbox.first_sequence(),
                deltas: deltas.collect(),
            };
            self.actions.push(Action::SendBatch { to, batch });
        }
    }
}
