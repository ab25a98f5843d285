//! Simulated network of memberships with loss, delay, partitions and frozen VMs.

#![allow(
    dead_code,
    reason = "each test file compiles this module and uses a part"
)]

mod cases;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use chervildrift_core::membership::{
    Action, Event, Limits, LocalVm, MAX_DATAGRAM_BYTES, Member, Membership, Message, Place, Seed,
    State,
};
use chervildrift_core::rng::Rng;
use chervildrift_core::types::{Time, Vm, Zone};

pub use self::cases::cases;

/// One VM of the network.
pub struct Node {
    pub vm: Vm,
    pub zone: usize,
    pub membership: Membership,
    pub up: bool,
    pub frozen: bool,
    pub notices: Vec<Action>,
    pub announced_generation: u64,
    inbox: Vec<(SocketAddr, Message)>,
    tick_offset: u64,
}

/// A change that a VM reported.
pub struct Report {
    pub at: Time,
    pub by: usize,
    pub member: Member,
}

type Datagram = (SocketAddr, usize, Box<Message>);

/// Simulated network.
pub struct Net {
    pub now: Time,
    pub nodes: Vec<Node>,
    pub reports: Vec<Report>,
    pub loss: u64,
    pub is_cut: fn(usize, usize) -> bool,
    rng: Rng,
    limits: Limits,
    deliveries: BinaryHeap<Reverse<(Time, u64)>>,
    in_flight: std::collections::HashMap<u64, Datagram>,
    sent_count: u64,
}

pub const ZONES: [&str; 3] = ["hamilton", "ashburton", "gore"];

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 200) as u8, (index % 200) as u8], 7000))
}

impl Net {
    pub fn new(seed: u64, loss_percent: u64) -> Self {
        Self {
            now: Time(1_000),
            nodes: Vec::new(),
            reports: Vec::new(),
            loss: loss_percent,
            is_cut: |_, _| false,
            rng: Rng::new(seed),
            limits: Limits::default(),
            deliveries: BinaryHeap::new(),
            in_flight: std::collections::HashMap::new(),
            sent_count: 0,
        }
    }

    /// Creates a network of `size` VMs in three availability zones that know each other.
    pub fn with_members(seed: u64, loss_percent: u64, size: usize) -> Self {
        let mut net = Self::new(seed, loss_percent);
        let all: Vec<_> = (0..size)
            .map(|index| net.start(&format!("vm-{index}"), index % 3, 1, &[]))
            .collect();
        let known: Vec<_> = (0..size)
            .map(|index| chervildrift_core::membership::Change {
                vm: net.nodes[index].vm.clone(),
                incarnation: net.nodes[index].membership.incarnation(),
                state: State::Alive,
                place: Some(place(index, index % 3)),
            })
            .collect();
        for index in all {
            net.nodes[index].membership.restore(net.now, &known);
        }
        net
    }

    /// Starts a VM and returns its index.
    pub fn start(&mut self, name: &str, zone: usize, boot: u64, seeds: &[usize]) -> usize {
        let index = self.nodes.len();
        let local = LocalVm {
            vm: Vm::from(name),
            place: place(index, zone),
            boot,
        };
        let rng = Rng::new(self.rng.next());
        self.nodes.push(Node {
            vm: local.vm.clone(),
            zone,
            membership: Membership::new(local, rng, self.limits.clone()),
            up: true,
            frozen: false,
            notices: Vec::new(),
            announced_generation: 0,
            inbox: Vec::new(),
            tick_offset: self.rng.below(25_000),
        });
        let seeds = seeds.iter().map(|seed| Seed {
            vm: Some(self.nodes[*seed].vm.clone()),
            address: address(*seed),
        });
        let seeds = seeds.collect();
        self.handle_event(index, Event::Seeds(seeds));
        index
    }

    /// Hands an event to a VM and carries out its actions.
    pub fn handle_event(&mut self, index: usize, event: Event) {
        let node = &mut self.nodes[index];
        for action in node.membership.handle(self.now, event) {
            match action {
                Action::Send { to, message } => self.send(index, to, message),
                Action::MemberChanged(member) => self.reports.push(Report {
                    at: self.now,
                    by: index,
                    member,
                }),
                Action::VersionAnnounced { version, .. } => {
                    let node = &mut self.nodes[index];
                    node.announced_generation = node.announced_generation.max(version.generation);
                }
                Action::Joined | Action::Replaced => self.nodes[index].notices.push(action),
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let size = message.size();
        assert!(
            size <= MAX_DATAGRAM_BYTES,
            "{size} bytes: {:?}",
            message.body
        );
        let Some(target) = (0..self.nodes.len()).find(|index| address(*index) == to) else {
            return;
        };
        let lost = self.rng.below(100) < self.loss;
        if lost || (self.is_cut)(self.nodes[from].zone, self.nodes[target].zone) {
            return;
        }
        let same_zone = self.nodes[from].zone == self.nodes[target].zone;
        let span = Duration::from_millis(if same_zone { 1 } else { 20 });
        let at = self.now + Duration::from_micros(200) + self.rng.jitter(span);
        self.sent_count += 1;
        self.deliveries.push(Reverse((at, self.sent_count)));
        self.in_flight
            .insert(self.sent_count, (address(from), target, Box::new(message)));
    }

    /// Advances the time by `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            let step = Time(self.now.0 + 1_000);
            while let Some(Reverse((at, number))) = self.deliveries.peek().copied() {
                if at > step {
                    break;
                }
                self.deliveries.pop();
                self.now = at;
                if let Some((from, target, message)) = self.in_flight.remove(&number) {
                    self.deliver(from, target, *message);
                }
            }
            self.now = step;
            for index in 0..self.nodes.len() {
                let node = &self.nodes[index];
                let due = (self.now.0 / 1_000 + node.tick_offset / 1_000).is_multiple_of(25);
                if due && node.up && !node.frozen {
                    self.handle_event(index, Event::Tick);
                }
            }
        }
    }

    fn deliver(&mut self, from: SocketAddr, target: usize, message: Message) {
        let node = &mut self.nodes[target];
        if node.frozen {
            node.inbox.push((from, message));
        } else if node.up {
            self.handle_event(target, Event::Message { from, message });
        }
    }

    /// Resumes a frozen VM; it first reads the datagrams that arrived meanwhile.
    pub fn unfreeze(&mut self, index: usize) {
        self.nodes[index].frozen = false;
        for (from, message) in std::mem::take(&mut self.nodes[index].inbox) {
            self.handle_event(index, Event::Message { from, message });
        }
    }

    /// Returns the latest time at which a running VM of `zone` reported `vm` in `state`, or none
    /// when one of them holds it in another.
    pub fn agreed_at(&self, zone: usize, vm: &Vm, state: State) -> Option<Time> {
        let running = |node: &&Node| node.up && !node.frozen && node.zone == zone;
        let agreed = self
            .nodes
            .iter()
            .filter(running)
            .all(|node| node.vm == *vm || node.membership.state(vm) == Some(state));
        let matching = |one: &&Report| one.member.vm == *vm && one.member.state == state;
        let zone_of = |one: &Report| self.nodes[one.by].zone;
        let times = self.reports.iter().filter(matching);
        let last = times.filter(|one| zone_of(one) == zone).map(|one| one.at);
        if agreed { last.max() } else { None }
    }

    /// Returns whether all running VMs hold exactly the running VMs as members, each of them alive.
    pub fn all_agree(&self) -> bool {
        let running: Vec<&Node> = self.nodes.iter().filter(|node| node.up).collect();
        running.iter().all(|node| {
            let considers_alive = |other: &&Node| {
                other.vm == node.vm || node.membership.state(&other.vm) == Some(State::Alive)
            };
            node.membership.member_count() == running.len() && running.iter().all(considers_alive)
        })
    }

    /// Runs until all agree, and returns whether they did within `span`.
    pub fn run_until_agreed(&mut self, span: Duration) -> bool {
        let end = self.now + span;
        while self.now < end && !self.all_agree() {
            self.run(Duration::from_millis(100));
        }
        self.all_agree()
    }

    /// Counts failure reports of VMs that were running.
    pub fn false_failures(&self) -> usize {
        let failed = |one: &&Report| one.member.state == State::Failed;
        let up = |one: &&Report| {
            let found = self.nodes.iter().find(|node| node.vm == one.member.vm);
            found.is_some_and(|node| node.up)
        };
        self.reports.iter().filter(failed).filter(up).count()
    }
}

pub fn place(index: usize, zone: usize) -> Place {
    Place {
        zone: Zone::from(ZONES[zone]),
        address: address(index),
    }
}
