//! Counts of a service over the whole fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use super::window::Windows;
use super::{
    Ack, Action, Batch, BurnCounters, Counted, Row, Seen, Slot, Snapshot, Summary, Tally, WINDOWS,
};
use crate::types::{Kind, Rank, Service, Time, Vm};

/// Whether the stored counts are included.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Base {
    /// The snapshot is being read.
    Loading,
    /// The snapshot could not be read yet; counts are taken for reports, but acknowledged only
    /// as merged, so that they are sent again on top of the snapshot.
    Missing { retry_at: Time },
    /// The counts hold the snapshot, or there was none.
    Loaded,
}

/// Deltas taken from one process of a VM.
#[derive(Clone, Copy, Debug)]
struct Progress {
    merged: u64,
    stored: u64,
    pending: u64,
    heard: Time,
}

/// Merged counts of one service.
#[derive(Debug)]
pub(super) struct Merged {
    base: Base,
    series: BTreeMap<(Kind, Rank), Windows>,
    reporters: BTreeMap<(Vm, u64), Progress>,
    store_at: Time,
    storing: bool,
    tag: Option<String>,
}

impl Merged {
    fn open(store_at: Time) -> Self {
        Self {
            base: Base::Loading,
            series: BTreeMap::new(),
            reporters: BTreeMap::new(),
            store_at,
            storing: false,
            tag: None,
        }
    }

    /// Merges the deltas that come next in order, and returns how far they are merged and stored.
    fn merge(&mut self, now: Time, batch: &Batch) -> (u64, u64) {
        let floor = batch.floor.saturating_sub(1);
        let first = Progress {
            merged: floor,
            stored: 0,
            pending: 0,
            heard: now,
        };
        let key = (batch.from.clone(), batch.boot);
        let progress = self.reporters.entry(key).or_insert(first);
        progress.heard = now;
        // What the VM no longer has is in a snapshot or was dropped there.
        progress.merged = progress.merged.max(floor);
        for delta in &batch.deltas {
            if delta.sequence != progress.merged + 1 {
                continue;
            }
            progress.merged = delta.sequence;
            for count in &delta.counts {
                let key = (count.kind.clone(), count.rank);
                let windows = self.series.entry(key).or_default();
                windows.add(now, delta.age, count.tally);
            }
        }
        (progress.merged, progress.stored)
    }

    /// Starts again from a snapshot, and returns the processes that have to send what came after it.
    fn restore(&mut self, now: Time, snapshot: Snapshot, age: Duration) -> Vec<(Vm, u64)> {
        self.series.clear();
        let before = std::mem::take(&mut self.reporters);
        self.base = Base::Loaded;
        self.storing = false;
        for counted in snapshot.counted {
            let windows = self.series.entry((counted.kind, counted.rank)).or_default();
            for slot in counted.coarse {
                windows.restore(now, age + slot.age(), slot.tally);
            }
            for slot in counted.fine {
                windows.restore_fine(now, age + slot.age(), slot.tally);
            }
        }
        for seen in snapshot.seen {
            let progress = Progress {
                merged: seen.merged,
                stored: seen.merged,
                pending: seen.merged,
                heard: now,
            };
            self.reporters.insert((seen.vm, seen.boot), progress);
        }
        before.into_keys().collect()
    }

    /// Returns how far the deltas of a process are merged and stored.
    fn progress(&self, key: &(Vm, u64)) -> (u64, u64) {
        let progress = self.reporters.get(key);
        progress.map_or((0, 0), |one| (one.merged, one.stored))
    }

    fn snapshot(&mut self, now: Time, service: &Service) -> Snapshot {
        let slot = |(age, tally): (Duration, Tally)| Slot {
            age_s: age.as_secs() as u32,
            tally,
        };
        let counted = self.series.iter().map(|((kind, rank), windows)| {
            let [fine, coarse] = windows.slots(now);
            Counted {
                kind: kind.clone(),
                rank: *rank,
                fine: fine.into_iter().map(slot).collect(),
                coarse: coarse.into_iter().map(slot).collect(),
            }
        });
        let counted = counted.collect();
        let seen = self.reporters.iter_mut().map(|((vm, boot), progress)| {
            progress.pending = progress.merged;
            Seen {
                vm: vm.clone(),
                boot: *boot,
                merged: progress.merged,
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
            Row::of(key.0.clone(), key.1, target, tallies)
        });
        Summary {
            service: service.clone(),
            complete: self.base == Base::Loaded,
            reporters: self.reporters.len(),
            rows: rows.collect(),
        }
    }

    pub fn bytes(&self) -> usize {
        let series: usize = self.series.values().map(Windows::bytes).sum();
        let reporter = size_of::<((Vm, u64), Progress)>() + size_of::<u64>();
        size_of::<Self>() + series + self.reporters.len() * reporter
    }
}

impl BurnCounters {
    /// Takes a batch. Until the snapshot was read nothing is acknowledged as stored.
    pub(super) fn merge(&mut self, now: Time, batch: Batch) {
        let service = batch.service.clone();
        let first = now + self.limits.snapshot_period;
        if !self.merged.contains_key(&service) {
            self.merged.insert(service.clone(), Merged::open(first));
            let load = service.clone();
            self.out.push(Action::LoadSnapshot { service: load });
            // A batch that was under way when the aggregator moved must not make a second one.
            let locate = service.clone();
            self.out.push(Action::LocateAggregator { service: locate });
        }
        let Some(merged) = self.merged.get_mut(&service) else {
            return;
        };
        if merged.base == Base::Loading {
            return;
        }
        let (merged, stored) = merged.merge(now, &batch);
        self.answer((batch.from, batch.boot), service, merged, stored);
    }

    fn answer(&mut self, (to, boot): (Vm, u64), service: Service, merged: u64, stored: u64) {
        let from = self.me.clone();
        let ack = Ack {
            from,
            boot,
            service,
            merged,
            stored,
        };
        self.out.push(Action::SendAck { to, ack });
    }

    pub(super) fn restore(
        &mut self,
        now: Time,
        snapshot: Snapshot,
        age: Duration,
        tag: Option<String>,
    ) {
        if let Some(merged) = self.merged.get_mut(&snapshot.service)
            && merged.base != Base::Loaded
        {
            let service = snapshot.service.clone();
            let before = merged.restore(now, snapshot, age);
            merged.tag = tag;
            let progress: Vec<_> = before.iter().map(|key| merged.progress(key)).collect();
            for (key, (merged, stored)) in before.into_iter().zip(progress) {
                self.answer(key, service.clone(), merged, stored);
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

    pub(super) fn retry_load(&mut self, now: Time, service: &Service) {
        if let Some(merged) = self.merged.get_mut(service)
            && merged.base != Base::Loaded
        {
            let retry_at = now + self.limits.load_pause;
            merged.base = Base::Missing { retry_at };
        }
    }

    /// Takes the answer to a store, unless it is for counts that were dropped meanwhile.
    pub(super) fn stored(&mut self, now: Time, service: &Service, tag: String) {
        let current = self.merged.get_mut(service);
        let Some(merged) = current.filter(|merged| merged.storing) else {
            return;
        };
        merged.storing = false;
        merged.tag = Some(tag);
        merged.store_at = now + self.limits.snapshot_period;
        for progress in merged.reporters.values_mut() {
            progress.stored = progress.pending;
        }
    }

    pub(super) fn store_failed(&mut self, service: &Service) {
        if let Some(merged) = self.merged.get_mut(service) {
            merged.storing = false;
        }
    }

    /// Starts again from the snapshot that another aggregator stored.
    pub(super) fn reload(&mut self, now: Time, service: &Service) {
        if let Some(merged) = self.merged.get_mut(service) {
            merged.base = Base::Loading;
            merged.storing = false;
            merged.store_at = now + self.limits.snapshot_period;
            let service = service.clone();
            self.out.push(Action::LoadSnapshot { service });
        }
    }

    /// Stores and forgets a service whose aggregator is another VM now.
    pub(super) fn hand_over(&mut self, now: Time, service: &Service) {
        let Some(mut merged) = self.merged.remove(service) else {
            return;
        };
        if merged.base == Base::Loaded {
            let snapshot = merged.snapshot(now, service);
            let tag = merged.tag;
            self.out.push(Action::StoreSnapshot { snapshot, tag });
        }
    }

    /// Stores the snapshots that are due, and tries failed reads again.
    pub(super) fn tick_merged(&mut self, now: Time) {
        for (service, merged) in &mut self.merged {
            let forget = self.limits.forget_after;
            merged
                .reporters
                .retain(|_, progress| now.since(progress.heard) < forget);
            if let Base::Missing { retry_at } = merged.base
                && now >= retry_at
            {
                merged.base = Base::Missing {
                    retry_at: now + self.limits.load_pause,
                };
                let service = service.clone();
                self.out.push(Action::LoadSnapshot { service });
            }
            if merged.base == Base::Loaded && now >= merged.store_at && !merged.storing {
                merged.storing = true;
                merged.store_at = now + self.limits.snapshot_period;
                let snapshot = merged.snapshot(now, service);
                let tag = merged.tag.clone();
                self.out.push(Action::StoreSnapshot { snapshot, tag });
            }
        }
    }
}
