//! Failure detection and membership among the VMs, by a gossip protocol like SWIM.
//!
//! Each VM probes its next neighbours in the hash ring of its availability zone, and less often VMs
//! of other zones. An unanswered probe is repeated through intermediaries. If they get no answer
//! either, the VM is suspected, and counts as failed unless it refutes the suspicion with a higher
//! incarnation in time. A change is pushed to a few random VMs at once and then piggybacked on
//! later messages a bounded number of times. Random pairs of VMs compare digests of their members
//! from time to time (anti-entropy). Such exchanges also go to failed VMs and seeds, so that both
//! sides of a healed partition agree again.
//!
//! Only a VM's own availability zone decides that it failed; a failure reported by another zone
//! just raises a suspicion there. Every VM holds all members; see `docs/CAPACITY.md` for the cost.

mod conflict;
mod event;
mod gossip;
mod limits;
mod message;
mod probe;
mod queue;
mod suspicion;
mod sync;
mod table;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use smallvec::SmallVec;

use self::probe::{ForwardedPing, Probe};
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

/// Tick periods without a tick after which the process counts as having been frozen.
const MAX_MISSED_TICKS: u32 = 4;

/// Membership of the fleet as known to one VM.
#[derive(Debug)]
pub struct Membership {
    local: LocalVm,
    hash: u64,
    zone: u16,
    incarnation: Incarnation,
    state: State,
    version: Version,
    limits: Limits,
    rng: Rng,
    table: Table,
    queue: Queue,
    actions: Actions,
    seeds: BTreeMap<SocketAddr, u8>,
    probes: SmallVec<[Probe; 4]>,
    forwarded_pings: Vec<ForwardedPing>,
    suspicions: Vec<Suspicion>,
    sequence: u32,
    /// Offset from this VM in the ring of its zone of the neighbour probed last.
    neighbour_index: usize,
    /// Position of the VM probed last among the members of the other zones.
    remote_index: usize,
    first_tick: Option<Time>,
    last_tick: Time,
    next: Schedule,
    gossip_allowance: u32,
    page_allowance: u32,
    push_due: bool,
    version_rounds: u8,
    joined: bool,
    replaced: bool,
}

/// Times of the next periodic steps.
#[derive(Clone, Copy, Debug, Default)]
struct Schedule {
    probe: Time,
    remote_probe: Time,
    push: Time,
    gossip: Time,
    sync: Time,
    cleanup: Time,
}

impl Membership {
    /// Creates the membership of a VM that knows no other VM yet.
    #[must_use]
    pub fn new(local: LocalVm, rng: Rng, limits: Limits) -> Self {
        let mut table = Table::new();
        let zone = table.zone_index(&local.place.zone);
        let remote_index = name_hash(local.vm.as_str()) as u32 as usize;
        Self {
            hash: name_hash(local.vm.as_str()),
            zone,
            incarnation: Incarnation {
                boot: local.boot,
                count: 0,
            },
            state: State::Alive,
            version: Version::default(),
            gossip_allowance: limits.gossip_burst,
            page_allowance: limits.page_burst,
            local,
            limits,
            rng,
            table,
            queue: Queue::default(),
            actions: Actions::new(),
            seeds: BTreeMap::new(),
            probes: SmallVec::new(),
            forwarded_pings: Vec::new(),
            suspicions: Vec::new(),
            sequence: 0,
            neighbour_index: 0,
            remote_index,
            first_tick: None,
            last_tick: Time::default(),
            next: Schedule::default(),
            push_due: false,
            version_rounds: 0,
            joined: false,
            replaced: false,
        }
    }

    /// Handles an event and returns the actions that follow.
    pub fn handle(&mut self, now: Time, event: Event) -> Actions {
        if self.replaced || self.state == State::Left {
            return Actions::new();
        }
        match event {
            Event::Message { from, message } => self.receive(now, from, message),
            Event::Seeds(seeds) => self.add_seeds(seeds),
            Event::LinkObserved { vm, reachable } => self.record_link_state(now, &vm, reachable),
            Event::VersionInstalled(version) => self.set_version(version),
            Event::Leave => self.leave(),
            Event::Stop => self.stop(now),
            Event::Tick => self.tick(now),
        }
        self.push_if_due(now);
        std::mem::take(&mut self.actions)
    }

    /// Adds members that are known from another source, such as an earlier process of the same VM,
    /// in place of a join.
    pub fn restore<'a>(&mut self, now: Time, members: impl IntoIterator<Item = &'a Change>) {
        for change in members {
            if let Some(place) = change.place.as_ref().filter(|_| change.vm != self.local.vm) {
                self.table.insert(change, place, now);
            }
        }
        self.joined = true;
    }

    /// Returns the incarnation of this VM.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns whether the join is complete, so that the members are known.
    #[must_use]
    pub const fn is_joined(&self) -> bool {
        self.joined
    }

    /// Returns the number of members, this VM included.
    #[must_use]
    pub const fn member_count(&self) -> usize {
        self.table.member_count() + 1
    }

    /// Returns the state of another VM, if it is known.
    #[must_use]
    pub fn state(&self, vm: &Vm) -> Option<State> {
        self.table.get(vm).map(|record| record.state)
    }

    /// Returns another VM, if it is known.
    #[must_use]
    pub fn member(&self, vm: &Vm) -> Option<Member> {
        self.table.get(vm).map(|record| self.to_member(record))
    }

    /// Returns all other known VMs.
    pub fn members(&self) -> impl Iterator<Item = Member> + '_ {
        self.table.records().map(|record| self.to_member(record))
    }

    /// Returns the VMs that may be dispatchers, this one included unless it is leaving.
    pub fn live(&self) -> impl Iterator<Item = (&Vm, &Zone)> + Clone {
        let local = (&self.local.vm, &self.local.place.zone);
        let own = (self.state == State::Alive).then_some(local);
        own.into_iter().chain(self.table.live())
    }

    /// Estimates the memory used, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let queue = self.queue.len() * size_of::<queue::PendingChange>();
        let seeds = self.seeds.len() * size_of::<(SocketAddr, u8)>();
        size_of::<Self>() + self.table.bytes() + queue + seeds
    }

    fn to_member(&self, record: &table::Record) -> Member {
        Member {
            vm: record.vm.clone(),
            place: self.table.place(record),
            incarnation: record.incarnation,
            state: record.state,
            leaving: record.leaving,
        }
    }

    fn receive(&mut self, now: Time, from: SocketAddr, message: Message) {
        if message.from == self.local.vm {
            self.handle_same_name(from, &message);
            return;
        }
        if self.reject_replaced(from, &message) {
            return;
        }
        self.seeds.remove(&from);
        self.process_sender(now, from, &message);
        self.report_version(&message);
        let origin = self.origin(&message.from);
        let incarnation = self.incarnation;
        for change in &message.changes {
            self.apply_change(now, change, origin);
        }
        let sender = message.from;
        if self.incarnation != incarnation {
            self.send_own_state(from);
        }
        match message.body {
            Body::Gossip => {}
            Body::Ping { sequence } => self.answer_ping(from, &sender, sequence),
            Body::Ack { sequence } => self.handle_ack(&sender, sequence),
            Body::IndirectPing {
                sequence,
                vm,
                address,
            } => self.forward_ping(now, from, sequence, &vm, address),
            Body::IndirectAck { sequence, vm } => self.handle_indirect_ack(sequence, &vm),
            Body::SyncRequest { digests, budget } => self.compare(from, &sender, &digests, budget),
            Body::SyncReply { differing } => self.handle_sync_reply(now, differing),
            Body::Page(page) => self.merge_page(now, from, &sender, &page),
        }
    }

    /// Reports the sender's configuration if it is newer than or conflicts with the own one.
    fn report_version(&mut self, message: &Message) {
        let newer = message.version.generation > self.version.generation;
        let same = message.version.generation == self.version.generation;
        if newer || (same && message.version.hash != self.version.hash) {
            self.actions.push(Action::VersionAnnounced {
                vm: message.from.clone(),
                version: message.version,
            });
        }
    }

    fn tick(&mut self, now: Time) {
        self.first_tick.get_or_insert(now);
        self.extend_deadlines(now);
        self.refill(now);
        self.last_tick = now;
        self.check_probes(now);
        self.check_suspicions(now);
        self.start_probes(now);
        self.start_gossip(now);
        self.start_sync(now);
        self.remove_expired(now);
    }

    /// Extends all deadlines by the time for which this process was frozen, since answers that
    /// arrived meanwhile have not been read yet.
    fn extend_deadlines(&mut self, now: Time) {
        let gap = now.since(self.last_tick);
        if self.last_tick == Time::default() || gap < self.limits.tick_period * MAX_MISSED_TICKS {
            return;
        }
        for probe in &mut self.probes {
            probe.next_at = probe.next_at + gap;
            probe.indirect_at = probe.indirect_at + gap;
            probe.fail_at = probe.fail_at + gap;
        }
        for suspicion in &mut self.suspicions {
            suspicion.deadline = suspicion.deadline + gap;
        }
    }

    fn remove_expired(&mut self, now: Time) {
        if now < self.next.cleanup {
            return;
        }
        self.next.cleanup = now + self.limits.forget_after / 10;
        let keep = self.limits.forget_after;
        for vm in self.table.expired(now, keep) {
            self.table.remove(&vm);
        }
    }
}
