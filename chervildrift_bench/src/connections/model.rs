//! Holder of connections in virtual time, before an upstream whose slots statements and openings
//! occupy.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use chervildrift_core::relay::{
    ConnectionCache, ConnectionRequest, ConnectionStep, IdleConnection,
};
use chervildrift_core::rng::Rng;
use chervildrift_core::types::{Organisation, Time};

/// Exponent of the organisations' rates.
const SKEW: f64 = 1.2;

/// Slots of the upstream.
const SLOTS: usize = 4;

/// Statements that the holder runs at a time.
const RUNNING: usize = 8;

/// Slot time of a statement.
const SERVICE_TIME: Duration = Duration::from_millis(10);

/// Slot time of an opening.
const SETUP_TIME: Duration = Duration::from_millis(12);

/// Time constant of the rule by rate.
const RATE_WINDOW: Duration = Duration::from_secs(60);

/// Load of one run.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub organisations: usize,
    pub connections: usize,
    pub rate: f64,
    pub once_share: f64,
    pub seconds: u64,
}

/// Rule by which an idle connection is closed for another organisation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// The one used least recently.
    LeastRecent,
    /// The one whose organisation sends at the lowest rate.
    Rate,
    /// The rule of the product: fewest repeated uses, and a wait before a further one is opened.
    Repeats,
}

impl Rule {
    pub const ALL: [Self; 3] = [Self::LeastRecent, Self::Rate, Self::Repeats];

    pub const fn label(self) -> &'static str {
        match self {
            Self::LeastRecent => "least recently used",
            Self::Rate => "rate",
            Self::Repeats => "repeated uses",
        }
    }
}

/// Result of one run.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Connections opened for each statement.
    pub opened_share: f64,
    /// Mean time from the arrival of a statement to its slot.
    pub mean_wait: Duration,
    /// Share of the used slot time that openings took.
    pub opening_share: f64,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    Finish(Organisation),
    /// The statement looks for a connection again, as it has since the time.
    Retry(Organisation, Time, Time),
}

struct Holder {
    rule: Rule,
    limit: usize,
    cache: ConnectionCache,
    rates: HashMap<Organisation, (f64, Time)>,
    idle: Vec<(Organisation, Time)>,
    in_use: HashMap<Organisation, usize>,
    /// Times at which the slots are free.
    slots: [Time; SLOTS],
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    last_event: u64,
    running: usize,
    opened: usize,
    waited: Duration,
}

impl Holder {
    fn schedule(&mut self, at: Time, event: Event) {
        self.last_event += 1;
        self.events.push(Reverse((at, self.last_event, event)));
    }

    /// Occupies the slot that is free first and returns the time at which the work ends.
    fn occupy(&mut self, now: Time, work: Duration) -> Time {
        let first = (0..SLOTS).min_by_key(|at| self.slots[*at]).unwrap_or(0);
        let end = self.slots[first].max(now) + work;
        self.slots[first] = end;
        end
    }

    fn rate(&self, now: Time, owner: &Organisation) -> f64 {
        let (count, last) = self.rates.get(owner).copied().unwrap_or_default();
        count * (-now.since(last).as_secs_f64() / RATE_WINDOW.as_secs_f64()).exp()
    }

    /// Decides by the rule how a statement without an idle connection gets one.
    fn decide(&self, now: Time, owner: &Organisation, since: Time) -> ConnectionStep {
        let in_use = |owner: &Organisation| self.in_use.get(owner).copied().unwrap_or(0);
        let same = |owner: &Organisation| self.idle.iter().filter(|it| it.0 == *owner).count();
        let open = self.idle.len() + self.in_use.values().sum::<usize>();
        if self.rule == Rule::Repeats {
            let idle = self.idle.iter();
            let idle: Vec<IdleConnection<'_>> = idle
                .map(|(owner, last_used)| IdleConnection {
                    owner: Some(owner),
                    open: same(owner) + in_use(owner),
                    last_used: *last_used,
                })
                .collect();
            let request = ConnectionRequest {
                since,
                in_use: in_use(owner),
                open,
                limit: self.limit,
                idle: &idle,
            };
            return self.cache.decide(now, &request);
        }
        if open < self.limit {
            return ConnectionStep::Open(None);
        }
        let indexes = 0..self.idle.len();
        ConnectionStep::Open(if self.rule == Rule::LeastRecent {
            indexes.min_by_key(|at| self.idle[*at].1)
        } else {
            let rate = |at: &usize| self.rate(now, &self.idle[*at].0);
            indexes.min_by(|a, b| rate(a).total_cmp(&rate(b)))
        })
    }

    /// Runs a statement, or lets it look again later.
    fn start(&mut self, now: Time, owner: Organisation, arrived: Time, since: Time) {
        let mut ready = now;
        if let Some(own) = self.idle.iter().rposition(|it| it.0 == owner) {
            self.idle.remove(own);
        } else {
            match self.decide(now, &owner, since) {
                ConnectionStep::Wait(_) => {
                    let again = now + Duration::from_millis(1);
                    self.schedule(again, Event::Retry(owner, arrived, since));
                    return;
                }
                ConnectionStep::Open(closed) => {
                    if let Some(closed) = closed {
                        self.idle.remove(closed);
                    }
                }
            }
            self.opened += 1;
            ready = self.occupy(now, SETUP_TIME);
            self.cache.record_setup(ready.since(now));
        }
        let in_use = self.in_use.entry(owner.clone()).or_default();
        self.cache.record_use(now, Some(&owner), *in_use);
        *in_use += 1;
        let rate = self.rate(now, &owner);
        self.rates.insert(owner.clone(), (rate + 1.0, now));
        let end = self.occupy(ready, SERVICE_TIME);
        self.waited += end.since(arrived).saturating_sub(SERVICE_TIME);
        self.schedule(end, Event::Finish(owner));
    }
}

/// Runs a holder under a load.
pub fn run_model(load: &Load, rule: Rule, seed: u64) -> Outcome {
    let mut rng = Rng::new(seed);
    let names: Vec<Organisation> = (0..load.organisations)
        .map(|at| Organisation::from(format!("o{at}")))
        .collect();
    let weights: Vec<f64> = (1..=load.organisations)
        .map(|at| (at as f64).powf(-SKEW))
        .collect();
    let total: f64 = weights.iter().sum();
    let mut holder = Holder {
        rule,
        limit: load.connections,
        cache: ConnectionCache::default(),
        rates: HashMap::new(),
        idle: Vec::new(),
        in_use: HashMap::new(),
        slots: [Time(0); SLOTS],
        events: BinaryHeap::new(),
        last_event: 0,
        running: 0,
        opened: 0,
        waited: Duration::ZERO,
    };
    let mut waiting: VecDeque<(Organisation, Time)> = VecDeque::new();
    let mut arrivals: u32 = 0;
    holder.schedule(Time(0), Event::Arrive);
    let end = Time(load.seconds * 1_000_000);
    while let Some(Reverse((now, _, event))) = holder.events.pop() {
        match event {
            Event::Arrive if now >= end => {}
            Event::Arrive => {
                arrivals += 1;
                let owner = if rng.unit_f64() < load.once_share {
                    Organisation::from(format!("once{arrivals}"))
                } else {
                    let mut at = rng.unit_f64() * total;
                    let chosen = weights.iter().position(|weight| {
                        at -= weight;
                        at < 0.0
                    });
                    names[chosen.unwrap_or(0)].clone()
                };
                waiting.push_back((owner, now));
                let gap = -(1.0 - rng.unit_f64()).ln() / load.rate;
                holder.schedule(now + Duration::from_secs_f64(gap), Event::Arrive);
            }
            Event::Finish(owner) => {
                holder.running -= 1;
                let in_use = holder.in_use.remove(&owner).unwrap_or(1) - 1;
                if in_use > 0 {
                    holder.in_use.insert(owner.clone(), in_use);
                }
                holder.idle.push((owner, now));
            }
            Event::Retry(owner, arrived, since) => holder.start(now, owner, arrived, since),
        }
        while holder.running < RUNNING
            && let Some((owner, arrived)) = waiting.pop_front()
        {
            holder.running += 1;
            holder.start(now, owner, arrived, now);
        }
    }
    let opening = SETUP_TIME.mul_f64(holder.opened as f64).as_secs_f64();
    let serving = SERVICE_TIME.mul_f64(f64::from(arrivals)).as_secs_f64();
    Outcome {
        opened_share: holder.opened as f64 / f64::from(arrivals),
        mean_wait: holder.waited / arrivals,
        opening_share: opening / (opening + serving),
    }
}
