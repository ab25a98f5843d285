//! All VMs of a fleet in virtual time.

use std::net::SocketAddr;
use std::time::Duration;

use chervildrift_core::burn::Event as BurnEvent;
use chervildrift_core::generation::Event as GenerationEvent;
use chervildrift_core::membership::{
    Action as MemberAction, Event as MemberEvent, Member, Message, Seed, State,
};
use chervildrift_core::placement::poller_key;
use chervildrift_core::rng::Rng;
use chervildrift_core::types::{Time, Vm, Zone};

use super::cost::{Costs, Part};
use super::heap::Heap;
use super::link::Links;
use super::platform::Platform;
use super::run::Plan;
use super::vm::{self, Node, Process};

/// Period of the ticks of a VM.
const TICK: Duration = Duration::from_millis(25);

/// Membership ticks per tick of the generation.
const GENERATION_TICKS: u64 = 4;

/// Membership ticks per tick of the burn.
const BURN_TICKS: u64 = 40;

/// Seeds of a VM that starts.
const SEEDS: usize = 3;

/// Something due at a VM.
#[derive(Debug)]
pub(super) enum Due {
    Tick {
        boot: u64,
        count: u64,
    },
    Datagram {
        from: SocketAddr,
        message: Box<Message>,
    },
    Generation(GenerationEvent),
    Burn(BurnEvent),
}

/// What the VMs reported.
#[derive(Debug, Default)]
pub struct Watch {
    pub victims: Vec<(Vm, usize, Time)>,
    pub near: Vec<f64>,
    pub far: Vec<f64>,
    pub installs: Vec<f64>,
    pub wrong: u64,
}

/// All VMs of a fleet.
#[derive(Debug)]
pub struct World {
    pub now: Time,
    pub nodes: Vec<Node>,
    pub links: Links,
    pub platform: Platform,
    pub costs: Costs,
    pub watch: Watch,
    pub published: Vec<Time>,
    pub(super) heap: Heap<(usize, Due)>,
    zones: Vec<Zone>,
    rng: Rng,
    probe: Duration,
}

impl World {
    pub fn open(plan: &Plan) -> Self {
        let mut rng = Rng::new(plan.seed);
        let links = Links::open(plan.size, Rng::new(rng.next()));
        let zones = (0..links.zones)
            .map(|index| links.zone_name(index))
            .collect();
        let mut world = Self {
            now: Time(1_000_000),
            nodes: Vec::new(),
            links,
            platform: Platform::open(plan.bundle),
            costs: Costs::default(),
            watch: Watch::default(),
            published: Vec::new(),
            heap: Heap::open(),
            zones,
            rng,
            probe: plan.probe,
        };
        world.fill(plan.size);
        world
    }

    /// Starts all VMs with all members known, since a common start is no measured event.
    fn fill(&mut self, size: usize) {
        for index in 0..size {
            let node = self.fresh(index, 1);
            self.nodes.push(node);
            self.schedule(index);
        }
        let known: Vec<_> = (0..size)
            .map(|index| self.nodes[index].change(index, &self.zones[self.links.zone(index)]))
            .collect();
        for index in 0..size {
            let node = &mut self.nodes[index];
            node.membership.restore(self.now, &known);
            for change in &known {
                if let Some(place) = &change.place {
                    node.placement.add(&change.vm, &place.zone);
                }
            }
        }
        (0..size).for_each(|index| self.choose_poller(index));
    }

    fn fresh(&mut self, index: usize, boot: u64) -> Node {
        let zone = &self.zones[self.links.zone(index)];
        let mut node = Node::open(index, zone, boot, self.rng.next(), self.probe);
        node.assign(self.nodes.len().max(index + 1), index);
        node
    }

    fn schedule(&mut self, index: usize) {
        let boot = self.nodes[index].boot;
        let at = self.now + self.rng.jitter(TICK);
        let count = self.rng.below(BURN_TICKS);
        self.heap.push(at, (index, Due::Tick { boot, count }));
    }

    /// Starts a new process of a VM.
    pub fn restart(&mut self, index: usize) {
        let boot = self.nodes[index].boot + 1;
        let zone = self.zones[self.links.zone(index)].clone();
        self.nodes[index] = self.fresh(index, boot);
        self.nodes[index].placement.add(&vm::name(index), &zone);
        self.schedule(index);
        let size = self.nodes.len() as u64;
        let mut seeds = Vec::new();
        while seeds.len() < SEEDS.min(self.nodes.len() - 1) {
            let other = self.rng.below(size) as usize;
            if other != index && self.nodes[other].runs() {
                let address = vm::address(other);
                seeds.push(Seed { vm: None, address });
            }
        }
        self.member(index, MemberEvent::Seeds(seeds));
    }

    /// Lets `span` pass.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some((at, (index, due))) = self.heap.pop(end) {
            self.now = at;
            self.step(index, due);
        }
        self.now = end;
    }

    fn step(&mut self, index: usize, due: Due) {
        match due {
            Due::Tick { boot, count } => self.tick(index, boot, count),
            _ if !self.nodes[index].runs() => {}
            Due::Datagram { from, message } => {
                self.costs.of(Part::Membership).received += message.size() as u64;
                let message = *message;
                self.member(index, MemberEvent::Message { from, message });
            }
            Due::Generation(event) => self.generation(index, event),
            Due::Burn(event) => self.burn(index, event),
        }
    }

    fn tick(&mut self, index: usize, boot: u64, count: u64) {
        let node = &mut self.nodes[index];
        if node.boot != boot || node.process == Process::Ended {
            return;
        }
        let next = Due::Tick {
            boot,
            count: count + 1,
        };
        self.heap.push(self.now + TICK, (index, next));
        if node.process == Process::Frozen {
            return;
        }
        self.member(index, MemberEvent::Tick);
        if count.is_multiple_of(GENERATION_TICKS) {
            self.generation(index, GenerationEvent::Tick);
        }
        if count.is_multiple_of(BURN_TICKS) {
            self.tick_burn(index);
        }
    }

    fn tick_burn(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        for series in &node.series {
            node.burn.record(series, true);
        }
        if std::mem::take(&mut node.moved) {
            self.choose_poller(index);
            self.burn(index, BurnEvent::MembersChanged);
        }
        self.burn(index, BurnEvent::Tick);
    }

    /// Hands an event to a VM's membership.
    pub fn member(&mut self, index: usize, event: MemberEvent) {
        let (node, now) = (&mut self.nodes[index], self.now);
        let handle = || node.membership.handle(now, event);
        let actions = self.costs.time(Part::Membership, handle);
        for action in actions {
            match action {
                MemberAction::Send { to, message } => self.send(index, to, message),
                MemberAction::MemberChanged(member) => self.changed(index, &member),
                MemberAction::VersionAnnounced { vm, version } => {
                    self.generation(index, GenerationEvent::Announced { vm, version });
                }
                MemberAction::Joined | MemberAction::Replaced => {}
            }
        }
    }

    fn send(&mut self, index: usize, to: SocketAddr, message: Message) {
        let cost = self.costs.of(Part::Membership);
        cost.messages += 1;
        cost.sent += message.size() as u64;
        let Some(target) = vm::index_at(to).filter(|target| *target < self.nodes.len()) else {
            return;
        };
        if let Some(delay) = self.links.datagram(index, target) {
            let due = Due::Datagram {
                from: vm::address(index),
                message: Box::new(message),
            };
            self.heap.push(self.now + delay, (target, due));
        }
    }

    /// Takes a change that a VM reports, as its program would.
    fn changed(&mut self, index: usize, member: &Member) {
        self.observe(index, member);
        let node = &mut self.nodes[index];
        let live = member.state.is_member() && !member.leaving;
        let before = node.placement.version();
        let work = || {
            if live {
                node.placement.add(&member.vm, &member.place.zone);
            } else {
                node.placement.remove(&member.vm);
            }
        };
        self.costs.time(Part::Membership, work);
        let node = &mut self.nodes[index];
        node.moved |= node.placement.version() != before;
    }

    fn observe(&mut self, index: usize, member: &Member) {
        if member.state != State::Failed {
            return;
        }
        let Some(subject) = vm::index_of(&member.vm) else {
            return;
        };
        let known = self
            .watch
            .victims
            .iter()
            .find(|(vm, _, _)| *vm == member.vm);
        let Some((_, _, at)) = known else {
            self.watch.wrong += u64::from(self.nodes[subject].runs());
            return;
        };
        let waited = self.now.since(*at).as_secs_f64();
        if self.links.zone(index) == self.links.zone(subject) {
            self.watch.near.push(waited);
        } else {
            self.watch.far.push(waited);
        }
    }

    fn choose_poller(&mut self, index: usize) {
        let zone = &self.zones[self.links.zone(index)];
        let node = &mut self.nodes[index];
        let name = &node.name;
        let placement = &node.placement;
        let choose = || placement.top_vms(&poller_key(zone), Some(zone));
        let chosen = self.costs.time(Part::Generation, choose);
        let poller = chosen.iter().take(2).any(|vm| vm == name);
        if poller != node.poller {
            node.poller = poller;
            self.generation(index, GenerationEvent::PollerChanged(poller));
        }
    }

    /// Counts running VMs without the latest generation.
    pub fn behind(&self) -> usize {
        let latest = self.published.len() as u64;
        let running = self.nodes.iter().filter(|node| node.runs());
        running
            .filter(|node| node.generations.version().generation != latest)
            .count()
    }

    /// Counts pairs of a running VM and a victim of its own availability zone that it does not
    /// hold as failed.
    pub fn missed(&self) -> usize {
        let victims = &self.watch.victims;
        let zone = |index: usize| self.links.zone(index);
        let missed = |index: usize| {
            let node = &self.nodes[index];
            let near = victims.iter().filter(|(_, at, _)| zone(*at) == zone(index));
            near.filter(|(vm, _, _)| node.membership.state(vm) != Some(State::Failed))
                .count()
        };
        let running = (0..self.nodes.len()).filter(|index| self.nodes[*index].runs());
        running.map(missed).sum()
    }

    /// Counts running VMs whose number of members is not that of the running VMs on their side.
    pub fn parted(&self, inside: impl Fn(&Self, usize) -> bool) -> usize {
        let running = || (0..self.nodes.len()).filter(|index| self.nodes[*index].runs());
        let first = running().filter(|index| inside(self, *index)).count();
        let second = running().count() - first;
        let wrong = |index: &usize| {
            let side = if inside(self, *index) { first } else { second };
            self.nodes[*index].membership.member_count() != side
        };
        running().filter(wrong).count()
    }

    /// Counts running VMs whose number of members is not the number of running VMs.
    pub fn disagreeing(&self) -> usize {
        let running = || self.nodes.iter().filter(|node| node.runs());
        let count = running().count();
        running()
            .filter(|node| node.membership.member_count() != count)
            .count()
    }

    /// Returns the mean and greatest state of a VM in bytes.
    pub fn state(&self) -> (f64, f64) {
        let sizes = self.nodes.iter().map(|node| {
            let core = node.membership.bytes() + node.placement.memory_bytes();
            (core + node.generations.bytes() + node.burn.bytes()) as f64
        });
        let sizes: Vec<f64> = sizes.collect();
        let mean = sizes.iter().sum::<f64>() / sizes.len().max(1) as f64;
        (mean, sizes.into_iter().fold(0.0, f64::max))
    }
}

/// Returns the index of a VM's availability zone.
pub const fn zone_of(world: &World, index: usize) -> usize {
    world.links.zone(index)
}
