//! Service-level burn over several windows.
//!
//! A request is counted on the VM that decided its outcome: the dispatcher, or the entry when it
//! reached none. Each VM sends its counts as numbered deltas to one aggregator per service, chosen
//! by rendezvous, which answers for the whole fleet and stores a snapshot from time to time.
//!
//! What survives:
//!
//! - An aggregator that is lost: everything. A VM keeps its deltas until a stored snapshot holds
//!   them, and sends the rest to the next aggregator, which starts from the snapshot.
//! - A VM that is lost: all it had sent, which misses at most one report period. If its aggregator
//!   is lost too before the next snapshot, its deltas since the last one are missing.
//! - A platform that is away: an aggregator that was there before goes on. A new one starts empty
//!   and says so, until it can read the snapshot; then the deltas are sent again.
//!
//! A count is never taken twice, since each delta is merged once by the number that its VM gave it.

mod aggregator;
mod event;
mod limits;
mod reporter;
mod snapshot;
mod summary;
mod window;

use std::collections::BTreeMap;

use self::aggregator::Aggregate;
use self::reporter::Outbox;
use crate::types::{Kind, Rank, Service, Time, Vm};

pub use self::event::{Ack, Action, Actions, Batch, Count, Delta, Event, Objective, Series, Tally};
pub use self::limits::Limits;
pub use self::snapshot::{BucketTally, MergedDeltas, SeriesCounts, Snapshot};
pub use self::summary::{Alert, Row, Summary, WindowBurn};
pub use self::window::{WINDOWS, Window};

/// Service-level counters of one VM, both as a reporter and as an aggregator.
#[derive(Debug)]
pub struct BurnCounters {
    me: Vm,
    boot: u64,
    limits: Limits,
    objectives: BTreeMap<Service, BTreeMap<(Kind, Rank), f64>>,
    outboxes: BTreeMap<Service, Outbox>,
    aggregates: BTreeMap<Service, Aggregate>,
    next_close_at: Time,
    actions: Actions,
}

impl BurnCounters {
    /// Opens the counters of a VM. The boot number is that of its membership, so that a new
    /// process of the same name counts as another reporter.
    #[must_use]
    pub fn open(me: Vm, boot: u64, limits: Limits) -> Self {
        Self {
            me,
            boot,
            limits,
            objectives: BTreeMap::new(),
            outboxes: BTreeMap::new(),
            aggregates: BTreeMap::new(),
            next_close_at: Time::default(),
            actions: Actions::new(),
        }
    }

    /// Counts one finished request.
    pub fn record(&mut self, series: &Series, good: bool) {
        let outbox = match self.outboxes.get_mut(&series.service) {
            Some(outbox) => outbox,
            None => self.outboxes.entry(series.service.clone()).or_default(),
        };
        outbox.record(&series.kind, series.rank, good);
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Time, event: Event) -> Actions {
        match event {
            Event::Objectives(objectives) => self.set_objectives(objectives),
            Event::MembersChanged => self.locate_aggregators(),
            Event::AggregatorLocated { service, vm } => self.set_aggregator(now, &service, vm),
            Event::Batch(batch) => self.merge_batch(now, batch),
            Event::Ack(ack) => self.acknowledge(now, &ack),
            Event::SnapshotLoaded { snapshot, age, tag } => {
                self.restore_snapshot(now, snapshot, age, Some(tag));
            }
            Event::SnapshotAbsent { service } => self.start_empty(now, &service),
            Event::SnapshotUnreadable { service } => self.schedule_load_retry(now, &service),
            Event::SnapshotStored { service, tag } => self.confirm_store(now, &service, tag),
            Event::StoreUnconfirmed { service } => self.abandon_store(&service),
            Event::StoreConflict { service } => self.reload_snapshot(now, &service),
            Event::Tick => self.tick(now),
        }
        std::mem::take(&mut self.actions)
    }

    /// Reports the burn of a service over the whole fleet, if this VM is its aggregator.
    #[must_use]
    pub fn summary(&self, now: Time, service: &Service) -> Option<Summary> {
        let aggregate = self.aggregates.get(service)?;
        let targets = self.objectives.get(service);
        Some(aggregate.summary(now, service, targets))
    }

    /// Returns the services that this VM is the aggregator of.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.aggregates.keys()
    }

    /// Returns the number of counted requests that were dropped, since no aggregator could take
    /// them for too long.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.outboxes.values().map(Outbox::dropped).sum()
    }

    /// Returns the memory held, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let outboxes: usize = self.outboxes.values().map(Outbox::bytes).sum();
        let aggregates: usize = self.aggregates.values().map(Aggregate::bytes).sum();
        size_of::<Self>() + outboxes + aggregates
    }

    fn set_objectives(&mut self, objectives: Vec<Objective>) {
        self.objectives.clear();
        for objective in objectives {
            let Series {
                service,
                kind,
                rank,
            } = objective.series;
            let targets = self.objectives.entry(service).or_default();
            targets.insert((kind, rank), objective.target);
        }
    }

    fn locate_aggregators(&mut self) {
        let keys = self.outboxes.keys().chain(self.aggregates.keys());
        let mut services: Vec<Service> = keys.cloned().collect();
        services.sort_unstable();
        services.dedup();
        for service in services {
            self.actions.push(Action::LocateAggregator { service });
        }
    }

    fn set_aggregator(&mut self, now: Time, service: &Service, vm: Vm) {
        if vm != self.me {
            self.hand_over(now, service);
        }
        if let Some(outbox) = self.outboxes.get_mut(service) {
            outbox.set_aggregator(vm);
        }
    }

    fn tick(&mut self, now: Time) {
        if now >= self.next_close_at {
            self.next_close_at = now + self.limits.report_period;
            for outbox in self.outboxes.values_mut() {
                outbox.close_delta(now, self.limits.retained_deltas);
            }
        }
        self.send_batches(now);
        self.tick_aggregates(now);
    }
}
