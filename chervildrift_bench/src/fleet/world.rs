//! Event loop of all VMs of a fleet in virtual time.

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
use super::event_queue::EventQueue;
use super::link::Links;
use super::platform::Platform;
use super::run::Plan;
use super::vm::{self, FleetVm, Process};

/// Period of the membership ticks of a VM.
const TICK_PERIOD: Duration = Duration::from_millis(25);

/// Membership ticks per tick of the generation.
const GENERATION_TICKS: u64 = 4;

/// Membership ticks per tick of the burn.
const BURN_TICKS: u64 = 40;

/// Number of seeds that a restarted VM contacts.
const SEED_COUNT: usize = 3;

/// Event at a VM.
#[derive(Debug)]
pub(super) enum VmEvent {
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

/// Detections, in seconds from the failure, and other observations that the VMs report.
#[derive(Debug, Default)]
pub struct Observations {
    pub failed_vms: Vec<(Vm, usize, Time)>,
    pub local_detections: Vec<f64>,
    pub remote_detections: Vec<f64>,
    pub install_times: Vec<f64>,
    pub false_failures: u64,
}

/// All VMs of a fleet.
#[derive(Debug)]
pub struct World {
    pub now: Time,
    pub vms: Vec<FleetVm>,
    pub links: Links,
    pub platform: Platform,
    pub costs: Costs,
    pub observations: Observations,
    pub publish_times: Vec<Time>,
    pub(super) queue: EventQueue<(usize, VmEvent)>,
    zones: Vec<Zone>,
    rng: Rng,
    probe_period: Duration,
}

impl World {
    pub fn new(plan: &Plan) -> Self {
        let mut rng = Rng::new(plan.seed);
        let links = Links::new(plan.size, Rng::new(rng.next()));
        let zones = (0..links.zones)
            .map(|index| links.zone_name(index))
            .collect();
        let mut world = Self {
            now: Time(1_000_000),
            vms: Vec::new(),
            links,
            platform: Platform::new(plan.bundle_bytes),
            costs: Costs::default(),
            observations: Observations::default(),
            publish_times: Vec::new(),
            queue: EventQueue::new(),
            zones,
            rng,
            probe_period: plan.probe_period,
        };
        world.start_all(plan.size);
        world
    }

    /// Starts all VMs with all members known, since a simultaneous start is not measured.
    fn start_all(&mut self, size: usize) {
        for index in 0..size {
            let vm_state = self.new_vm(index, 1);
            self.vms.push(vm_state);
            self.schedule(index);
        }
        let known: Vec<_> = (0..size)
            .map(|index| self.vms[index].change(index, &self.zones[self.links.zone(index)]))
            .collect();
        for index in 0..size {
            let vm_state = &mut self.vms[index];
            vm_state.membership.restore(self.now, &known);
            for change in &known {
                if let Some(place) = &change.place {
                    vm_state.placement.add(&change.vm, &place.zone);
                }
            }
        }
        (0..size).for_each(|index| self.choose_poller(index));
    }

    fn new_vm(&mut self, index: usize, boot: u64) -> FleetVm {
        let zone = &self.zones[self.links.zone(index)];
        let mut vm_state = FleetVm::new(index, zone, boot, self.rng.next(), self.probe_period);
        vm_state.assign(self.vms.len().max(index + 1), index);
        vm_state
    }

    fn schedule(&mut self, index: usize) {
        let boot = self.vms[index].boot;
        let at = self.now + self.rng.jitter(TICK_PERIOD);
        let count = self.rng.below(BURN_TICKS);
        self.queue.push(at, (index, VmEvent::Tick { boot, count }));
    }

    /// Starts a new process of a VM.
    pub fn restart(&mut self, index: usize) {
        let boot = self.vms[index].boot + 1;
        let zone = self.zones[self.links.zone(index)].clone();
        self.vms[index] = self.new_vm(index, boot);
        self.vms[index].placement.add(&vm::vm_name(index), &zone);
        self.schedule(index);
        let size = self.vms.len() as u64;
        let mut seeds = Vec::new();
        while seeds.len() < SEED_COUNT.min(self.vms.len() - 1) {
            let other = self.rng.below(size) as usize;
            if other != index && self.vms[other].is_running() {
                let address = vm::address(other);
                seeds.push(Seed { vm: None, address });
            }
        }
        self.handle_membership(index, MemberEvent::Seeds(seeds));
    }

    /// Runs for the duration `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some((at, (index, event))) = self.queue.pop(end) {
            self.now = at;
            self.handle_event(index, event);
        }
        self.now = end;
    }

    fn handle_event(&mut self, index: usize, event: VmEvent) {
        match event {
            VmEvent::Tick { boot, count } => self.tick(index, boot, count),
            _ if !self.vms[index].is_running() => {}
            VmEvent::Datagram { from, message } => {
                self.costs.part_mut(Part::Membership).received += message.size() as u64;
                let message = *message;
                self.handle_membership(index, MemberEvent::Message { from, message });
            }
            VmEvent::Generation(event) => self.handle_generation(index, event),
            VmEvent::Burn(event) => self.handle_burn(index, event),
        }
    }

    fn tick(&mut self, index: usize, boot: u64, count: u64) {
        let vm_state = &mut self.vms[index];
        if vm_state.boot != boot || vm_state.process == Process::Ended {
            return;
        }
        let next = VmEvent::Tick {
            boot,
            count: count + 1,
        };
        self.queue.push(self.now + TICK_PERIOD, (index, next));
        if vm_state.process == Process::Frozen {
            return;
        }
        self.handle_membership(index, MemberEvent::Tick);
        if count.is_multiple_of(GENERATION_TICKS) {
            self.handle_generation(index, GenerationEvent::Tick);
        }
        if count.is_multiple_of(BURN_TICKS) {
            self.tick_burn(index);
        }
    }

    fn tick_burn(&mut self, index: usize) {
        let vm_state = &mut self.vms[index];
        for series in &vm_state.series {
            vm_state.burn.record(series, true);
        }
        if std::mem::take(&mut vm_state.placement_changed) {
            self.choose_poller(index);
            self.handle_burn(index, BurnEvent::MembersChanged);
        }
        self.handle_burn(index, BurnEvent::Tick);
    }

    /// Passes an event to the membership of a VM and runs the resulting actions.
    pub fn handle_membership(&mut self, index: usize, event: MemberEvent) {
        let (vm_state, now) = (&mut self.vms[index], self.now);
        let handle = || vm_state.membership.handle(now, event);
        let actions = self.costs.measure(Part::Membership, handle);
        for action in actions {
            match action {
                MemberAction::Send { to, message } => self.send(index, to, message),
                MemberAction::MemberChanged(member) => self.apply_member_change(index, &member),
                MemberAction::VersionAnnounced { vm, version } => {
                    self.handle_generation(index, GenerationEvent::Announced { vm, version });
                }
                MemberAction::Joined | MemberAction::Replaced => {}
            }
        }
    }

    fn send(&mut self, index: usize, to: SocketAddr, message: Message) {
        let cost = self.costs.part_mut(Part::Membership);
        cost.messages += 1;
        cost.sent += message.size() as u64;
        let Some(target) = vm::index_of_address(to).filter(|target| *target < self.vms.len())
        else {
            return;
        };
        if let Some(delay) = self.links.datagram_delay(index, target) {
            let event = VmEvent::Datagram {
                from: vm::address(index),
                message: Box::new(message),
            };
            self.queue.push(self.now + delay, (target, event));
        }
    }

    /// Updates the placement of a VM after a change in its membership, as the program does.
    fn apply_member_change(&mut self, index: usize, member: &Member) {
        self.record_detection(index, member);
        let vm_state = &mut self.vms[index];
        let live = member.state.is_member() && !member.leaving;
        let before = vm_state.placement.version();
        let work = || {
            if live {
                vm_state.placement.add(&member.vm, &member.place.zone);
            } else {
                vm_state.placement.remove(&member.vm);
            }
        };
        self.costs.measure(Part::Membership, work);
        let vm_state = &mut self.vms[index];
        vm_state.placement_changed |= vm_state.placement.version() != before;
    }

    fn record_detection(&mut self, index: usize, member: &Member) {
        if member.state != State::Failed {
            return;
        }
        let Some(subject) = vm::vm_index(&member.vm) else {
            return;
        };
        let known = self
            .observations
            .failed_vms
            .iter()
            .find(|(vm, _, _)| *vm == member.vm);
        let Some((_, _, at)) = known else {
            self.observations.false_failures += u64::from(self.vms[subject].is_running());
            return;
        };
        let detection_time = self.now.since(*at).as_secs_f64();
        if self.links.zone(index) == self.links.zone(subject) {
            self.observations.local_detections.push(detection_time);
        } else {
            self.observations.remote_detections.push(detection_time);
        }
    }

    fn choose_poller(&mut self, index: usize) {
        let zone = &self.zones[self.links.zone(index)];
        let vm_state = &mut self.vms[index];
        let name = &vm_state.name;
        let placement = &vm_state.placement;
        let choose = || placement.top_vms(&poller_key(zone), Some(zone));
        let chosen = self.costs.measure(Part::Generation, choose);
        let is_poller = chosen.iter().take(2).any(|vm| vm == name);
        if is_poller != vm_state.is_poller {
            vm_state.is_poller = is_poller;
            self.handle_generation(index, GenerationEvent::PollerChanged(is_poller));
        }
    }

    /// Counts running VMs without the latest generation.
    pub fn count_behind(&self) -> usize {
        let latest = self.publish_times.len() as u64;
        let running = self.vms.iter().filter(|vm_state| vm_state.is_running());
        running
            .filter(|vm_state| vm_state.generations.version().generation != latest)
            .count()
    }

    /// Counts pairs of a running VM and a failed VM of its own availability zone that it does not
    /// list as failed.
    pub fn count_missed(&self) -> usize {
        let failed_vms = &self.observations.failed_vms;
        let zone = |index: usize| self.links.zone(index);
        let missed = |index: usize| {
            let vm_state = &self.vms[index];
            let local = failed_vms
                .iter()
                .filter(|(_, failed, _)| zone(*failed) == zone(index));
            local
                .filter(|(vm, _, _)| vm_state.membership.state(vm) != Some(State::Failed))
                .count()
        };
        let running = (0..self.vms.len()).filter(|index| self.vms[*index].is_running());
        running.map(missed).sum()
    }

    /// Counts running VMs whose number of members is not that of the running VMs on their side of
    /// the cut.
    pub fn count_unsplit(&self, inside: impl Fn(&Self, usize) -> bool) -> usize {
        let running = || (0..self.vms.len()).filter(|index| self.vms[*index].is_running());
        let first = running().filter(|index| inside(self, *index)).count();
        let second = running().count() - first;
        let disagrees = |index: &usize| {
            let side = if inside(self, *index) { first } else { second };
            self.vms[*index].membership.member_count() != side
        };
        running().filter(disagrees).count()
    }

    /// Counts running VMs whose number of members is not the number of running VMs.
    pub fn count_disagreeing(&self) -> usize {
        let running = || self.vms.iter().filter(|vm_state| vm_state.is_running());
        let count = running().count();
        running()
            .filter(|vm_state| vm_state.membership.member_count() != count)
            .count()
    }

    /// Returns the mean and the greatest size of a VM's state in bytes.
    pub fn state_bytes(&self) -> (f64, f64) {
        let sizes = self.vms.iter().map(|vm_state| {
            let core = vm_state.membership.bytes() + vm_state.placement.memory_bytes();
            (core + vm_state.generations.bytes() + vm_state.burn.bytes()) as f64
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
