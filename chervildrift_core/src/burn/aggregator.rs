//! Aggregates the counts of a service over the whole fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use super::window::WindowCounts;
use super::{
    Ack, Action, Batch, BucketTally, BurnCounters, MergedDeltas, Row, SeriesCounts, Snapshot,
    Summary, Tally, WINDOWS,
};
use crate::types::{Kind, Rank, Service, Time, Vm};

/// Whether the counts of the stored snapshot are included.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SnapshotState {
    /// The snapshot is being read, and batches are ignored.
    Loading,
    /// The snapshot could not be read; counts are merged for reports, but not stored and thus not
    /// acknowledged as stored, so that they are sent again once the snapshot is loaded.
    Unavailable { retry_at: Time },
    /// The counts include the snapshot, or none was stored.
    Loaded,
}

/// Progress of the deltas of one process of a VM.
#[derive(Clone, Copy, Debug)]
struct ReporterProgress {
    /// Last delta that was merged.
    merged_sequence: u64,
    /// Last delta that a stored snapshot includes.
    stored_sequence: u64,
    /// Last delta that the latest snapshot includes, which may not be stored yet.
    pending_sequence: u64,
    last_batch_at: Time,
}

/// Merged counts of one service and the state of its snapshot.
#[derive(Debug)]
pub(super) struct Aggregate {
    snapshot_state: SnapshotState,
    series: BTreeMap<(Kind, Rank), WindowCounts>,
    reporters: BTreeMap<(Vm, u64), ReporterProgress>,
    next_store_at: Time,
    store_pending: bool,
    tag: Option<String>,
}

impl Aggregate {
    fn new(next_store_at: Time) -> Self {
        Self {
            snapshot_state: SnapshotState::Loading,
            series: BTreeMap::new(),
            reporters: BTreeMap::new(),
            next_store_at,
            store_pending: false,
            tag: None,
        }
    }

    /// Merges the deltas that are next in sequence, and returns the sequence numbers up to which
    /// the deltas are merged and stored.
    fn merge(&mut self, now: Time, batch: &Batch) -> (u64, u64) {
        let dropped_through = batch.floor.saturating_sub(1);
        let initial = ReporterProgress {
            merged_sequence: dropped_through,
            stored_sequence: 0,
            pending_sequence: 0,
            last_batch_at: now,
        };
        let key = (batch.from.clone(), batch.boot);
        let progress = self.reporters.entry(key).or_insert(initial);
        progress.last_batch_at = now;
        // Deltas that the VM no longer retains are in a snapshot or were dropped by the VM.
        progress.merged_sequence = progress.merged_sequence.max(dropped_through);
        for delta in &batch.deltas {
            if delta.sequence != progress.merged_sequence + 1 {
                continue;
            }
            progress.merged_sequence = delta.sequence;
            for count in &delta.counts {
                let key = (count.kind.clone(), count.rank);
                let windows = self.series.entry(key).or_default();
                windows.add(now, delta.age, count.tally);
            }
        }
        (progress.merged_sequence, progress.stored_sequence)
    }

    /// Restarts from a snapshot, and returns the processes that have to send their later deltas
    /// again.
    fn restore(&mut self, now: Time, snapshot: Snapshot, age: Duration) -> Vec<(Vm, u64)> {
        self.series.clear();
        let earlier_processes = std::mem::take(&mut self.reporters);
        self.snapshot_state = SnapshotState::Loaded;
        self.store_pending = false;
        for counts in snapshot.counted {
            let windows = self.series.entry((counts.kind, counts.rank)).or_default();
            for bucket in counts.coarse {
                windows.add_coarse(now, age + bucket.age(), bucket.tally);
            }
            for bucket in counts.fine {
                windows.add_fine(now, age + bucket.age(), bucket.tally);
            }
        }
        for deltas in snapshot.seen {
            let progress = ReporterProgress {
                merged_sequence: deltas.merged,
                stored_sequence: deltas.merged,
                pending_sequence: deltas.merged,
                last_batch_at: now,
            };
            self.reporters.insert((deltas.vm, deltas.boot), progress);
        }
        earlier_processes.into_keys().collect()
    }

    /// Returns the sequence numbers up to which the deltas of a process are merged and stored.
    fn progress(&self, key: &(Vm, u64)) -> (u64, u64) {
        let progress = self.reporters.get(key);
        progress.map_or((0, 0), |it| (it.merged_sequence, it.stored_sequence))
    }

    fn take_snapshot(&mut self, now: Time, service: &Service) -> Snapshot {
        let bucket = |(age, tally): (Duration, Tally)| BucketTally {
            age_s: age.as_secs() as u32,
            tally,
        };
        let counted = self.series.iter().map(|((kind, rank), windows)| {
            let [fine, coarse] = windows.bucket_tallies(now);
            SeriesCounts {
                kind: kind.clone(),
                rank: *rank,
                fine: fine.into_iter().map(bucket).collect(),
                coarse: coarse.into_iter().map(bucket).collect(),
            }
        });
        let counted = counted.collect();
        let seen = self.reporters.iter_mut().map(|((vm, boot), progress)| {
            progress.pending_sequence = progress.merged_sequence;
            MergedDeltas {
                vm: vm.clone(),
                boot: *boot,
                merged: progress.merged_sequence,
            }
        });
        Snapshot {
            service: service.clone(),
            counted,
            seen: seen.collect(),
        }
    }

    pub fn summary(
        &self,
        now: Time,
        service: &Service,
        targets: Option<&BTreeMap<(Kind, Rank), f64>>,
    ) -> Summary {
        let rows = self.series.iter().map(|(key, windows)| {
            let target = targets.and_then(|targets| targets.get(key)).copied();
            let tallies = WINDOWS.map(|window| windows.sum(now, window));
            Row::new(key.0.clone(), key.1, target, tallies)
        });
        Summary {
            service: service.clone(),
            complete: self.snapshot_state == SnapshotState::Loaded,
            reporters: self.reporters.len(),
            rows: rows.collect(),
        }
    }

    pub fn bytes(&self) -> usize {
        let series: usize = self.series.values().map(WindowCounts::bytes).sum();
        let reporter = size_of::<((Vm, u64), ReporterProgress)>() + size_of::<u64>();
        size_of::<Self>() + series + self.reporters.len() * reporter
    }
}

impl BurnCounters {
    /// Merges a batch and acknowledges it.
    ///
    /// A batch that arrives while the snapshot is being read is ignored, and sent again by its VM.
    /// Before the snapshot has been read no delta is acknowledged as stored.
    pub(super) fn merge_batch(&mut self, now: Time, batch: Batch) {
        let service = batch.service.clone();
        let first_store_at = now + self.limits.snapshot_period;
        if !self.aggregates.contains_key(&service) {
            self.aggregates
                .insert(service.clone(), Aggregate::new(first_store_at));
            let load_service = service.clone();
            self.actions.push(Action::LoadSnapshot {
                service: load_service,
            });
            // A batch that was in flight when the aggregator moved must not create a second
            // aggregator.
            let located_service = service.clone();
            self.actions.push(Action::LocateAggregator {
                service: located_service,
            });
        }
        let Some(aggregate) = self.aggregates.get_mut(&service) else {
            return;
        };
        if aggregate.snapshot_state == SnapshotState::Loading {
            return;
        }
        let (merged, stored) = aggregate.merge(now, &batch);
        self.push_ack((batch.from, batch.boot), service, merged, stored);
    }

    fn push_ack(&mut self, (to, boot): (Vm, u64), service: Service, merged: u64, stored: u64) {
        let from = self.me.clone();
        let ack = Ack {
            from,
            boot,
            service,
            merged,
            stored,
        };
        self.actions.push(Action::SendAck { to, ack });
    }

    pub(super) fn restore(
        &mut self,
        now: Time,
        snapshot: Snapshot,
        age: Duration,
        tag: Option<String>,
    ) {
        if let Some(aggregate) = self.aggregates.get_mut(&snapshot.service)
            && aggregate.snapshot_state != SnapshotState::Loaded
        {
            let service = snapshot.service.clone();
            let earlier_processes = aggregate.restore(now, snapshot, age);
            aggregate.tag = tag;
            let progress: Vec<_> = earlier_processes
                .iter()
                .map(|key| aggregate.progress(key))
                .collect();
            for (key, (merged, stored)) in earlier_processes.into_iter().zip(progress) {
                self.push_ack(key, service.clone(), merged, stored);
            }
        }
    }

    pub(super) fn start_empty(&mut self, now: Time, service: &Service) {
        let snapshot = Snapshot {
            service: service.clone(),
            counted: Vec::new(),
            seen: Vec::new(),
        };
        self.restore(now, snapshot, Duration::ZERO, None);
    }

    pub(super) fn schedule_load_retry(&mut self, now: Time, service: &Service) {
        if let Some(aggregate) = self.aggregates.get_mut(service)
            && aggregate.snapshot_state != SnapshotState::Loaded
        {
            let retry_at = now + self.limits.load_retry;
            aggregate.snapshot_state = SnapshotState::Unavailable { retry_at };
        }
    }

    /// Marks the deltas of a stored snapshot as stored, unless their counts were dropped meanwhile.
    pub(super) fn confirm_store(&mut self, now: Time, service: &Service, tag: String) {
        let current = self.aggregates.get_mut(service);
        let Some(aggregate) = current.filter(|aggregate| aggregate.store_pending) else {
            return;
        };
        aggregate.store_pending = false;
        aggregate.tag = Some(tag);
        aggregate.next_store_at = now + self.limits.snapshot_period;
        for progress in aggregate.reporters.values_mut() {
            progress.stored_sequence = progress.pending_sequence;
        }
    }

    pub(super) fn abandon_store(&mut self, service: &Service) {
        if let Some(aggregate) = self.aggregates.get_mut(service) {
            aggregate.store_pending = false;
        }
    }

    /// Restarts from the snapshot that another aggregator stored.
    pub(super) fn reload_snapshot(&mut self, now: Time, service: &Service) {
        if let Some(aggregate) = self.aggregates.get_mut(service) {
            aggregate.snapshot_state = SnapshotState::Loading;
            aggregate.store_pending = false;
            aggregate.next_store_at = now + self.limits.snapshot_period;
            let service = service.clone();
            self.actions.push(Action::LoadSnapshot { service });
        }
    }

    /// Stores a snapshot of a service whose aggregator is now another VM, and drops its counts.
    pub(super) fn hand_over(&mut self, now: Time, service: &Service) {
        let Some(mut aggregate) = self.aggregates.remove(service) else {
            return;
        };
        if aggregate.snapshot_state == SnapshotState::Loaded {
            let snapshot = aggregate.take_snapshot(now, service);
            let tag = aggregate.tag;
            self.actions.push(Action::StoreSnapshot { snapshot, tag });
        }
    }

    /// Stores the snapshots that are due, retries failed reads and drops reporters that have sent
    /// nothing for long.
    pub(super) fn tick_aggregates(&mut self, now: Time) {
        for (service, aggregate) in &mut self.aggregates {
            let forget_after = self.limits.forget_after;
            aggregate
                .reporters
                .retain(|_, progress| now.since(progress.last_batch_at) < forget_after);
            if let SnapshotState::Unavailable { retry_at } = aggregate.snapshot_state
                && now >= retry_at
            {
                aggregate.snapshot_state = SnapshotState::Unavailable {
                    retry_at: now + self.limits.load_retry,
                };
                let service = service.clone();
                self.actions.push(Action::LoadSnapshot { service });
            }
            if aggregate.snapshot_state == SnapshotState::Loaded
                && now >= aggregate.next_store_at
                && !aggregate.store_pending
            {
                aggregate.store_pending = true;
                aggregate.next_store_at = now + self.limits.snapshot_period;
                let snapshot = aggregate.take_snapshot(now, service);
                let tag = aggregate.tag.clone();
                self.actions.push(Action::StoreSnapshot { snapshot, tag });
            }
        }
    }
}
