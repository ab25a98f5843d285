//! Burn rates of the services' error budgets over several windows.
//!
//! A request is counted on the VM that determined its outcome: the dispatcher, or the entry if the
//! request reached no dispatcher. Each VM sends its counts as numbered deltas to one aggregator per
//! service, chosen by rendezvous hashing, which reports for the whole fleet and stores a snapshot
//! periodically.
//!
//! Effects of failures:
//!
//! - Loss of an aggregator: no counts are lost. A VM retains its deltas until a stored snapshot
//!   includes them and sends the rest to the next aggregator, which starts from the snapshot.
//! - Loss of a VM: the counts that it has not sent are lost, which is at most one report period. If
//!   its aggregator is also lost before the next snapshot, its deltas since the last snapshot are
//!   lost.
//! - Outage of the platform: an existing aggregator continues. A new one starts empty and reports
//!   its counts as incomplete until it can read the snapshot; then the deltas are sent again.
//!
//! No request is counted twice, because each delta is merged only once, by its sequence number.

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

/// Error budget counters of one VM, both as a reporter and as an aggregator.
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
    /// Creates the counters of a VM.
    ///
    /// The boot number is that of the VM's membership, so that a restarted process of the same name
    /// counts as another reporter.
    #[must_use]
    pub fn new(me: Vm, boot: u64, limits: Limits) -> Self {
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

    /// Handles an event and returns the actions that follow.
    pub fn handle(&mut self, now: Time, event: Event) -> Actions {
        match event {
            Event::Objectives(objectives) => self.set_objectives(objectives),
            Event::MembersChanged => self.locate_aggregators(),
            Event::AggregatorLocated { service, vm } => self.set_aggregator(now, &service, vm),
            Event::Batch(batch) => self.merge_batch(now, batch),
            Event::Ack(ack) => self.acknowledge(now, &ack),
            Event::Loaded { snapshot, age, tag } => self.restore(now, snapshot, age, Some(tag)),
            Event::SnapshotAbsent { service } => self.start_empty(now, &service),
            Event::SnapshotUnreadable { service } => self.schedule_load_retry(now, &service),
            Event::SnapshotStored { service, tag } => self.confirm_store(now, &service, tag),
            Event::StoreUnconfirmed { service } => self.abandon_store(&service),
            Event::StoreConflict { service } => self.reload_snapshot(now, &service),
            Event::Tick => self.tick(now),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the burn rates of a service over the whole fleet if this VM is its aggregator.
    #[must_use]
    pub fn summary(&self, now: Time, service: &Service) -> Option<Summary> {
        let aggregate = self.aggregates.get(service)?;
        let targets = self.objectives.get(service);
        Some(aggregate.summary(now, service, targets))
    }

    /// Returns the services that this VM aggregates.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.aggregates.keys()
    }

    /// Returns the number of counted requests that were dropped because no aggregator had received
    /// them when the limit of retained deltas was reached.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.outboxes.values().map(Outbox::dropped).sum()
    }

    /// Estimates the memory used, in bytes.
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
