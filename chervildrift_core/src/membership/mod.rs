//! Failure detection and membership among the VMs.
//!
//! Each VM probes its next neighbours in the hash ring of its availability zone, and now and then
//! a random VM of another one. A probe that stays unanswered goes through helpers; then the VM is
//! suspected and may refute with a higher incarnation before it counts as failed. Changes are sent
//! at once to a few random VMs and piggybacked on later messages a bounded number of times. Random
//! pairs compare digests of their members from time to time, also with failed VMs and seeds, so
//! that both sides of a healed partition agree again.
//!
//! A VM's own availability zone decides whether it failed: a claim from elsewhere only raises a
//! suspicion there. Every VM holds all members; see `docs/CAPACITY.md` for the cost.

mod apply;
mod event;
mod limits;
mod message;
mod probe;
mod queue;
mod spread;
mod suspicion;
mod sync;
mod table;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use smallvec::SmallVec;

use self::probe::{Probe, Relay};
use self::queue::Queue;
use self::suspicion::Suspicion;
use self::table::Table;
use crate::generation::Version;
use crate::placement::name_hash;
use crate::rng::Rng;
use crate::types::{Time, Vm, Zone};

pub use self::event::{Action, Actions, Event, LocalVm, Member, Seed};
pub use self::limits::Limits;
pub use self::message::{
    BUCKETS, Body, Change, ENVELOPE_BYTES, Incarnation, MAX_DATAGRAM_BYTES, Message, Page, Place,
    State,
};

/// Ticks that may be missed before the process counts as having been frozen.
const MISSED_TICKS: u32 = 4;

/// Membership as one VM sees it.
#[derive(Debug)]
pub struct Membership {
    me: LocalVm,
    hash: u64,
    zone: u16,
    incarnation: Incarnation,
    state: State,
    version: Version,
    limits: Limits,
    rng: Rng,
    table: Table,
    queue: Queue,
    out: Actions,
    seeds: BTreeMap<SocketAddr, u8>,
    probes: SmallVec<[Probe; 4]>,
    relays: Vec<Relay>,
    suspicions: Vec<Suspicion>,
    sequence: u32,
    step: usize,
    far_turn: usize,
    opened: Option<Time>,
    ticked: Time,
    next: Due,
    allowance: u32,
    page_allowance: u32,
    fresh: bool,
    version_rounds: u8,
    joined: bool,
    replaced: bool,
}

/// Times of the next periodic steps.
#[derive(Clone, Copy, Debug, Default)]
struct Due {
    probe: Time,
    far: Time,
    push: Time,
    gossip: Time,
    sync: Time,
    forget: Time,
}

impl Membership {
    /// Opens the membership of a VM that knows no other yet.
    #[must_use]
    pub fn open(me: LocalVm, rng: Rng, limits: Limits) -> Self {
        let mut table = Table::open();
        let zone = table.zone_index(&me.place.zone);
        let far_turn = name_hash(me.vm.as_str()) as u32 as usize;
        Self {
            hash: name_hash(me.vm.as_str()),
            zone,
            incarnation: Incarnation {
                boot: me.boot,
                count: 0,
            },
            state: State::Alive,
            version: Version::default(),
            allowance: limits.gossip_burst,
            page_allowance: limits.page_burst,
            me,
            limits,
            rng,
            table,
            queue: Queue::default(),
            out: Actions::new(),
            seeds: BTreeMap::new(),
            probes: SmallVec::new(),
            relays: Vec::new(),
            suspicions: Vec::new(),
            sequence: 0,
            step: 0,
            far_turn,
            opened: None,
            ticked: Time::default(),
            next: Due::default(),
            fresh: false,
            version_rounds: 0,
            joined: false,
            replaced: false,
        }
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Time, event: Event) -> Actions {
        if self.replaced || self.state == State::Left {
            return Actions::new();
        }
        match event {
            Event::Message { from, message } => self.receive(now, from, message),
            Event::Seeds(seeds) => self.learn(seeds),
            Event::LinkObserved { vm, reachable } => self.observe(now, &vm, reachable),
            Event::VersionInstalled(version) => self.publish(version),
            Event::Leave => self.leave(),
            Event::Stop => self.stop(now),
            Event::Tick => self.tick(now),
        }
        self.push_fresh(now);
        std::mem::take(&mut self.out)
    }

    /// Takes members known from elsewhere, such as another process on the same VM before a
    /// restart, instead of a join.
    pub fn restore<'a>(&mut self, now: Time, members: impl IntoIterator<Item = &'a Change>) {
        for change in members {
            if let Some(place) = change.place.as_ref().filter(|_| change.vm != self.me.vm) {
                self.table.insert(change, place, now);
            }
        }
        self.joined = true;
    }

    /// Returns the own incarnation.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Tells whether the members are known.
    #[must_use]
    pub const fn joined(&self) -> bool {
        self.joined
    }

    /// Returns the number of members, this VM included.
    #[must_use]
    pub const fn member_count(&self) -> usize {
        self.table.members() + 1
    }

    /// Returns the state of another VM, if it is known.
    #[must_use]
    pub fn state(&self, vm: &Vm) -> Option<State> {
        self.table.get(vm).map(|record| record.state)
    }

    /// Returns another VM, if it is known.
    #[must_use]
    pub fn member(&self, vm: &Vm) -> Option<Member> {
        self.table.get(vm).map(|record| self.describe(record))
    }

    /// Returns all other known VMs.
    pub fn members(&self) -> impl Iterator<Item = Member> + '_ {
        self.table.records().map(|record| self.describe(record))
    }

    /// Returns the VMs that may be dispatchers, this one included unless it is leaving.
    pub fn live(&self) -> impl Iterator<Item = (&Vm, &Zone)> + Clone {
        let me = (&self.me.vm, &self.me.place.zone);
        let own = (self.state == State::Alive).then_some(me);
        own.into_iter().chain(self.table.live())
    }

    /// Returns the memory held, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let queue = self.queue.len() * size_of::<queue::Due>();
        let seeds = self.seeds.len() * size_of::<(SocketAddr, u8)>();
        size_of::<Self>() + self.table.bytes() + queue + seeds
    }

    fn describe(&self, record: &table::Record) -> Member {
        Member {
            vm: record.vm.clone(),
            place: self.table.place(record),
            incarnation: record.incarnation,
            state: record.state,
            leaving: record.leaving,
        }
    }

    fn receive(&mut self, now: Time, from: SocketAddr, message: Message) {
        if message.from == self.me.vm {
            self.meet_namesake(from, &message);
            return;
        }
        if self.turn_away(from, &message) {
            return;
        }
        self.seeds.remove(&from);
        self.greet(now, from, &message);
        self.hear(&message);
        let origin = self.origin(&message.from);
        let incarnation = self.incarnation;
        for change in &message.changes {
            self.apply(now, change, origin);
        }
        let sender = message.from;
        if self.incarnation != incarnation {
            self.refute(from);
        }
        match message.body {
            Body::Gossip => {}
            Body::Ping { sequence } => self.answer(from, &sender, sequence),
            Body::Ack { sequence } => self.acknowledge(&sender, sequence),
            Body::IndirectPing {
                sequence,
                vm,
                address,
            } => self.relay(now, from, sequence, &vm, address),
            Body::IndirectAck { sequence, vm } => self.relayed(sequence, &vm),
            Body::SyncRequest { digests, budget } => self.compare(from, &sender, &digests, budget),
            Body::SyncReply { differing } => self.synced(now, differing),
            Body::Page(page) => self.merge(now, from, &sender, &page),
        }
    }

    /// Reports a configuration that the own one does not cover.
    fn hear(&mut self, message: &Message) {
        let newer = message.version.generation > self.version.generation;
        let same = message.version.generation == self.version.generation;
        if newer || (same && message.version.hash != self.version.hash) {
            self.out.push(Action::VersionAnnounced {
                vm: message.from.clone(),
                version: message.version,
            });
        }
    }

    fn tick(&mut self, now: Time) {
        self.opened.get_or_insert(now);
        self.resume(now);
        self.refill(now);
        self.ticked = now;
        self.check_probes(now);
        self.check_suspicions(now);
        self.start_probes(now);
        self.start_gossip(now);
        self.start_sync(now);
        self.forget(now);
    }

    /// Moves all deadlines by the time that this process was frozen, since answers that came in
    /// meanwhile are not read yet.
    fn resume(&mut self, now: Time) {
        let gap = now.since(self.ticked);
        if self.ticked == Time::default() || gap < self.limits.tick_period * MISSED_TICKS {
            return;
        }
        for probe in &mut self.probes {
            probe.next_at = probe.next_at + gap;
            probe.relay_at = probe.relay_at + gap;
            probe.fail_at = probe.fail_at + gap;
        }
        for suspicion in &mut self.suspicions {
            suspicion.until = suspicion.until + gap;
        }
    }

    fn forget(&mut self, now: Time) {
        if now < self.next.forget {
            return;
        }
        self.next.forget = now + self.limits.forget_after / 10;
        let keep = self.limits.forget_after;
        for vm in self.table.expired(now, keep) {
            self.table.remove(&vm);
        }
    }
}
