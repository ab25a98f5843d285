//! Burn counters over repeated, lost and reordered deltas, lost VMs and an absent platform.

#[path = "net/cases.rs"]
mod net;

use std::collections::HashMap;
use std::time::Duration;

use chervildrift_core::burn::{
    Ack, Action, Alert, Burn, Event, Limits, Objective, Series, Snapshot, WINDOWS,
};
use chervildrift_core::rng::Rng;
use chervildrift_core::types::{Kind, Rank, Service, Time, Vm};
use proptest::prelude::*;

const SIZE: usize = 5;

/// VMs that send to each other over a network that loses, repeats and reorders.
struct Fleet {
    now: Time,
    rng: Rng,
    vms: Vec<Burn>,
    flying: Vec<(usize, Event)>,
    stored: HashMap<Service, (Snapshot, Time, u64)>,
    aggregator: usize,
    away: bool,
    faults: u64,
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

fn open(index: usize) -> Burn {
    let mut burn = Burn::open(name(index), 1, Limits::default());
    let objective = Objective {
        series: series(),
        target: 0.999,
    };
    burn.handle(Time(0), Event::Objectives(vec![objective]));
    burn
}

impl Fleet {
    fn open(seed: u64, faults: u64) -> Self {
        Self {
            now: Time(1_000),
            rng: Rng::new(seed),
            vms: (0..SIZE).map(open).collect(),
            flying: Vec::new(),
            stored: HashMap::new(),
            aggregator: 0,
            away: false,
            faults,
        }
    }

    /// Makes another VM the aggregator, and loses the one before when `lost`.
    fn move_to(&mut self, next: usize, lost: bool) {
        let before = std::mem::replace(&mut self.aggregator, next);
        if lost {
            self.vms[before] = open(before);
        }
        for index in 0..SIZE {
            self.flying.push((index, Event::Moved));
        }
    }

    fn step(&mut self) {
        self.now = self.now + Duration::from_secs(1);
        for index in 0..SIZE {
            self.flying.push((index, Event::Tick));
        }
        for _ in 0..4 {
            for (index, event) in std::mem::take(&mut self.flying) {
                for action in self.vms[index].handle(self.now, event) {
                    self.act(index, action);
                }
            }
        }
    }

    fn act(&mut self, index: usize, action: Action) {
        match action {
            Action::Locate { service } => {
                let vm = name(self.aggregator);
                self.flying.push((index, Event::Located { service, vm }));
            }
            Action::Report { to, batch } => self.send(&to, &Event::Batch(batch)),
            Action::Answer { to, ack } => self.send(&to, &Event::Ack(ack)),
            Action::Load { service } => {
                let event = self.load(service);
                self.flying.push((index, event));
            }
            Action::Store { snapshot, tag } => {
                let event = self.store(snapshot, tag.as_deref());
                self.flying.push((index, event));
            }
        }
    }

    fn send(&mut self, to: &Vm, event: &Event) {
        let to: usize = to.as_str().parse().expect("a number");
        let fault = self.rng.below(100) < self.faults;
        let copies = if fault { self.rng.below(3) } else { 1 };
        for _ in 0..copies {
            let place = self.rng.below(self.flying.len() as u64 + 1) as usize;
            let place = if fault { place } else { self.flying.len() };
            self.flying.insert(place, (to, event.clone()));
        }
    }

    fn load(&self, service: Service) -> Event {
        if self.away {
            return Event::LoadFailed { service };
        }
        let Some((snapshot, at, tag)) = self.stored.get(&service) else {
            return Event::Absent { service };
        };
        Event::Loaded {
            snapshot: snapshot.clone(),
            age: self.now.since(*at),
            tag: tag.to_string(),
        }
    }

    fn store(&mut self, snapshot: Snapshot, expected: Option<&str>) -> Event {
        let service = snapshot.service.clone();
        if self.away {
            return Event::StoreFailed { service };
        }
        let tag = self.stored.get(&service).map(|(_, _, tag)| *tag);
        if expected != tag.map(|tag| tag.to_string()).as_deref() {
            return Event::StoreRefused { service };
        }
        let next = tag.unwrap_or(0) + 1;
        self.stored
            .insert(service.clone(), (snapshot, self.now, next));
        let lost = self.rng.below(100) < self.faults / 4;
        let tag = next.to_string();
        if lost {
            return Event::StoreFailed { service };
        }
        Event::Stored { service, tag }
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

    /// Returns the good and bad requests of the 6 hour window.
    fn total(&self) -> (u64, u64) {
        let service = series().service;
        let summary = self.vms[self.aggregator].report(self.now, &service);
        let rows = summary.map(|summary| summary.rows).unwrap_or_default();
        let tally = rows.first().map(|row| row.spans[2].tally);
        tally.map_or((0, 0), |tally| (tally.good, tally.bad))
    }
}

proptest! {
    #![proptest_config(net::cases(24))]

    /// Guards against counts that are taken twice or lost when deltas are repeated, lost and
    /// reordered, aggregators move or are lost, and the platform is away.
    #[test]
    fn every_count_once(seed: u64, faults in 0_u64..60, away: bool) {
        let mut fleet = Fleet::open(seed, faults);
        let (mut good, mut bad) = (0, 0);
        for round in 0..20 {
            // A lost VM loses what it counted itself, so only the last VM counts.
            let (more, worse) = (fleet.rng.below(50), fleet.rng.below(5));
            fleet.record(SIZE - 1, more, worse);
            (good, bad) = (good + more, bad + worse);
            fleet.away = away && round % 4 == 1;
            let pause = fleet.rng.below(90);
            fleet.run(pause);
            let next = fleet.rng.below(SIZE as u64 - 1) as usize;
            let lost = fleet.rng.below(2) == 0;
            if next != fleet.aggregator {
                fleet.move_to(next, lost);
            }
        }
        fleet.away = false;
        fleet.faults = 0;
        fleet.run(200);
        prop_assert_eq!(fleet.total(), (good, bad));
        prop_assert_eq!(fleet.vms[SIZE - 1].dropped(), 0);
    }
}

/// Guards against a service that burns its budget without an alert, and an alert for errors that
/// have stopped.
#[test]
fn burn_alert() {
    let mut fleet = Fleet::open(1, 0);
    let alert = |fleet: &Fleet| {
        let summary = fleet.vms[0].report(fleet.now, &series().service);
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

/// Guards against windows that hold counts of another time.
#[test]
fn window_bounds() {
    let mut fleet = Fleet::open(1, 0);
    let sums = |fleet: &Fleet| {
        let summary = fleet.vms[0].report(fleet.now, &series().service);
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

/// Guards against an answer to an earlier process that makes the new one drop its counts.
#[test]
fn other_process() {
    let mut vm = open(1);
    vm.record(&series(), true);
    vm.handle(Time(20_000_000), Event::Tick);
    let service = series().service;
    let located = Event::Located {
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
        |action: &Action| matches!(action, Action::Report { batch, .. } if batch.deltas.len() == 1);
    assert!(actions.iter().any(sent));
}

/// Guards against an aggregator that reports as complete what it could not read.
#[test]
fn absent_platform() {
    let mut fleet = Fleet::open(1, 0);
    fleet.record(4, 100, 0);
    fleet.run(100);
    fleet.away = true;
    fleet.move_to(1, true);
    fleet.record(4, 10, 0);
    fleet.run(30);
    let summary = fleet.vms[1].report(fleet.now, &series().service);
    assert!(!summary.expect("aggregated").complete);
    fleet.away = false;
    fleet.run(120);
    assert_eq!(fleet.total(), (110, 0));
    let text = fleet.vms[1].report(fleet.now, &series().service);
    let text = text.expect("aggregated").to_string();
    assert!(text.contains("confirm") && !text.contains("incomplete"));
}
