//! Burn counters with repeated, lost and reordered deltas, lost VMs and platform outages.

#[path = "net/cases.rs"]
mod net;

use std::collections::HashMap;
use std::time::Duration;

use chervildrift_core::burn::{
    Ack, Action, Alert, BurnCounters, Event, Limits, Objective, Series, Snapshot, WINDOWS,
};
use chervildrift_core::rng::Rng;
use chervildrift_core::types::{Kind, Rank, Service, Time, Vm};
use proptest::prelude::*;

const VM_COUNT: usize = 5;

/// VMs connected by a network that loses, repeats and reorders messages.
struct Fleet {
    now: Time,
    rng: Rng,
    vms: Vec<BurnCounters>,
    in_flight: Vec<(usize, Event)>,
    snapshots: HashMap<Service, (Snapshot, Time, u64)>,
    aggregator: usize,
    platform_down: bool,
    fault_percent: u64,
}

fn series() -> Series {
    Series {
        service: Service::from("ring-ledger"),
        kind: Kind::from("confirm"),
        rank: Rank::Urgent,
    }
}

fn name(index: usize) -> Vm {
    Vm::from(index.to_string())
}

fn new_vm(index: usize) -> BurnCounters {
    let mut burn = BurnCounters::new(name(index), 1, Limits::default());
    let objective = Objective {
        series: series(),
        target: 0.999,
    };
    burn.handle(Time(0), Event::Objectives(vec![objective]));
    burn
}

impl Fleet {
    fn new(seed: u64, fault_percent: u64) -> Self {
        Self {
            now: Time(1_000),
            rng: Rng::new(seed),
            vms: (0..VM_COUNT).map(new_vm).collect(),
            in_flight: Vec::new(),
            snapshots: HashMap::new(),
            aggregator: 0,
            platform_down: false,
            fault_percent,
        }
    }

    /// Makes another VM the aggregator, and restarts the former one empty if `lost`.
    fn move_aggregator(&mut self, next: usize, lost: bool) {
        let former = std::mem::replace(&mut self.aggregator, next);
        if lost {
            self.vms[former] = new_vm(former);
        }
        for index in 0..VM_COUNT {
            self.in_flight.push((index, Event::MembersChanged));
        }
    }

    fn step(&mut self) {
        self.now = self.now + Duration::from_secs(1);
        for index in 0..VM_COUNT {
            self.in_flight.push((index, Event::Tick));
        }
        for _ in 0..4 {
            for (index, event) in std::mem::take(&mut self.in_flight) {
                for action in self.vms[index].handle(self.now, event) {
                    self.perform(index, action);
                }
            }
        }
    }

    fn perform(&mut self, index: usize, action: Action) {
        match action {
            Action::LocateAggregator { service } => {
                let vm = name(self.aggregator);
                self.in_flight
                    .push((index, Event::AggregatorLocated { service, vm }));
            }
            Action::SendBatch { to, batch } => self.send(&to, &Event::Batch(batch)),
            Action::SendAck { to, ack } => self.send(&to, &Event::Ack(ack)),
            Action::LoadSnapshot { service } => {
                let event = self.load(service);
                self.in_flight.push((index, event));
            }
            Action::StoreSnapshot { snapshot, tag } => {
                let event = self.store(snapshot, tag.as_deref());
                self.in_flight.push((index, event));
            }
        }
    }

    fn send(&mut self, to: &Vm, event: &Event) {
        let to: usize = to.as_str().parse().expect("a number");
        let fault = self.rng.below(100) < self.fault_percent;
        let copies = if fault { self.rng.below(3) } else { 1 };
        for _ in 0..copies {
            let position = self.rng.below(self.in_flight.len() as u64 + 1) as usize;
            let position = if fault {
                position
            } else {
                self.in_flight.len()
            };
            self.in_flight.insert(position, (to, event.clone()));
        }
    }

    fn load(&self, service: Service) -> Event {
        if self.platform_down {
            return Event::SnapshotUnreadable { service };
        }
        let Some((snapshot, at, tag)) = self.snapshots.get(&service) else {
            return Event::SnapshotAbsent { service };
        };
        Event::Loaded {
            snapshot: snapshot.clone(),
            age: self.now.since(*at),
            tag: tag.to_string(),
        }
    }

    fn store(&mut self, snapshot: Snapshot, expected: Option<&str>) -> Event {
        let service = snapshot.service.clone();
        if self.platform_down {
            return Event::StoreUnconfirmed { service };
        }
        let tag = self.snapshots.get(&service).map(|(_, _, tag)| *tag);
        if expected != tag.map(|tag| tag.to_string()).as_deref() {
            return Event::StoreConflict { service };
        }
        let next_tag = tag.unwrap_or(0) + 1;
        self.snapshots
            .insert(service.clone(), (snapshot, self.now, next_tag));
        let answer_lost = self.rng.below(100) < self.fault_percent / 4;
        let tag = next_tag.to_string();
        if answer_lost {
            return Event::StoreUnconfirmed { service };
        }
        Event::SnapshotStored { service, tag }
    }

    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.step();
        }
    }

    fn record(&mut self, index: usize, good: u64, bad: u64) {
        for number in 0..good + bad {
            self.vms[index].record(&series(), number < good);
        }
    }

    /// Returns the numbers of good and bad requests in the 6 hour window.
    fn counted_requests(&self) -> (u64, u64) {
        let service = series().service;
        let summary = self.vms[self.aggregator].summary(self.now, &service);
        let rows = summary.map(|summary| summary.rows).unwrap_or_default();
        let tally = rows.first().map(|row| row.spans[2].tally);
        tally.map_or((0, 0), |tally| (tally.good, tally.bad))
    }
}

proptest! {
    #![proptest_config(net::cases(24))]

    /// Guards against requests that are counted twice or not at all when deltas are repeated, lost
    /// and reordered, aggregators move or are lost, and the platform is unavailable.
    #[test]
    fn each_request_counted_once(seed: u64, fault_percent in 0_u64..60, outages: bool) {
        let mut fleet = Fleet::new(seed, fault_percent);
        let (mut good, mut bad) = (0, 0);
        for round in 0..20 {
            // A lost VM loses the requests that it counted, so only the last VM, which is never
            // lost, counts any.
            let (more_good, more_bad) = (fleet.rng.below(50), fleet.rng.below(5));
            fleet.record(VM_COUNT - 1, more_good, more_bad);
            (good, bad) = (good + more_good, bad + more_bad);
            fleet.platform_down = outages && round % 4 == 1;
            let pause = fleet.rng.below(90);
            fleet.run(pause);
            let next = fleet.rng.below(VM_COUNT as u64 - 1) as usize;
            let lost = fleet.rng.below(2) == 0;
            if next != fleet.aggregator {
                fleet.move_aggregator(next, lost);
            }
        }
        fleet.platform_down = false;
        fleet.fault_percent = 0;
        fleet.run(200);
        prop_assert_eq!(fleet.counted_requests(), (good, bad));
        prop_assert_eq!(fleet.vms[VM_COUNT - 1].dropped(), 0);
    }
}

/// Guards against a missing alert while the error budget burns, and against an alert for errors
/// that have stopped.
#[test]
fn burn_alert() {
    let mut fleet = Fleet::new(1, 0);
    let alert = |fleet: &Fleet| {
        let summary = fleet.vms[0].summary(fleet.now, &series().service);
        summary.expect("aggregated").rows[0].alert
    };
    fleet.record(1, 10_000, 1);
    fleet.run(20);
    assert_eq!(alert(&fleet), Alert::None);
    fleet.record(2, 500, 500);
    fleet.run(20);
    assert_eq!(alert(&fleet), Alert::Fast);
    fleet.run(600);
    fleet.record(3, 1_000, 0);
    fleet.run(20);
    assert_eq!(alert(&fleet), Alert::Slow);
    fleet.run(7 * 3_600);
    assert_eq!(alert(&fleet), Alert::None);
}

/// Guards against windows that include counts from outside their time.
#[test]
fn window_bounds() {
    let mut fleet = Fleet::new(1, 0);
    let sums = |fleet: &Fleet| {
        let summary = fleet.vms[0].summary(fleet.now, &series().service);
        let rows = summary.expect("aggregated").rows;
        WINDOWS.map(|window| {
            let span = rows[0].spans.iter().find(|span| span.window == window);
            span.expect("listed").tally.good
        })
    };
    fleet.record(1, 7, 0);
    fleet.run(60);
    assert_eq!(sums(&fleet), [7, 7, 7]);
    fleet.run(10 * 60);
    assert_eq!(sums(&fleet), [0, 7, 7]);
    fleet.run(3_600);
    assert_eq!(sums(&fleet), [0, 0, 7]);
    fleet.run(6 * 3_600);
    assert_eq!(sums(&fleet), [0, 0, 0]);
}

/// Guards against an acknowledgement for an earlier process of a VM that makes the new process drop
/// its counts.
#[test]
fn ack_for_earlier_process() {
    let mut vm = new_vm(1);
    vm.record(&series(), true);
    vm.handle(Time(20_000_000), Event::Tick);
    let service = series().service;
    let located = Event::AggregatorLocated {
        service: service.clone(),
        vm: name(0),
    };
    vm.handle(Time(20_000_000), located);
    let ack = Ack {
        from: name(0),
        boot: 0,
        service,
        merged: 90,
        stored: 90,
    };
    vm.handle(Time(21_000_000), Event::Ack(ack));
    let actions = vm.handle(Time(40_000_000), Event::Tick);
    let sent =
        |it: &Action| matches!(it, Action::SendBatch { batch, .. } if batch.deltas.len() == 1);
    assert!(actions.iter().any(sent));
}

/// Guards against an aggregator that reports counts as complete although it could not read the
/// snapshot.
#[test]
fn platform_outage() {
    let mut fleet = Fleet::new(1, 0);
    fleet.record(4, 100, 0);
    fleet.run(100);
    fleet.platform_down = true;
    fleet.move_aggregator(1, true);
    fleet.record(4, 10, 0);
    fleet.run(30);
    let summary = fleet.vms[1].summary(fleet.now, &series().service);
    assert!(!summary.expect("aggregated").complete);
    fleet.platform_down = false;
    fleet.run(120);
    assert_eq!(fleet.counted_requests(), (110, 0));
    let text = fleet.vms[1].summary(fleet.now, &series().service);
    let text = text.expect("aggregated").to_string();
    assert!(text.contains("confirm") && !text.contains("incomplete"));
}
