//! Spreading of changes and of the configuration in force.

use super::message::{Body, Change, MAX_DATAGRAM_BYTES, Message, State, base_size};
use super::queue::{Due, Scope};
use super::{Action, Membership};
use crate::generation::Version;
use crate::types::{Time, Vm};

/// VMs of each other availability zone that one round of all VMs of an availability zone reaches.
/// Enough that some arrive when a few are lost, and few against the size of a zone.
const FAR_PUSHES: u64 = 8;

/// Rounds in which a VM announces a configuration that it has put in force.
const VERSION_ROUNDS: u8 = 3;

/// Changes due from which on each is sent less often and together with others.
const CROWDED: usize = 32;

/// Retransmissions of a change beyond the first round, as a multiple of log2 of the zone's size.
const SPREAD_FACTOR: f64 = 1.5;

impl Membership {
    /// Returns a message without changes.
    pub(super) fn bare(&self, body: Body) -> Message {
        Message {
            from: self.me.vm.clone(),
            incarnation: self.incarnation,
            version: self.version,
            body,
            changes: Vec::new(),
        }
    }

    /// Returns a message with what is held against its receiver and the changes that fit.
    pub(super) fn laden(&mut self, to: Option<&Vm>, body: Body) -> Message {
        let mut message = self.bare(body);
        let record = to.and_then(|vm| self.table.get(vm));
        let zone = record.map_or(u16::MAX, |record| record.zone);
        if let Some(record) = record
            && !matches!(record.state, State::Alive | State::Leaving)
        {
            message.changes.push(self.table.change(record));
        }
        if matches!(
            message.body,
            Body::SyncRequest { .. } | Body::SyncReply { .. }
        ) {
            message.changes.push(self.own_change());
        }
        self.fill(zone, &mut message);
        message
    }

    /// Adds the changes due to a message for a VM in `zone`.
    fn fill(&mut self, zone: u16, message: &mut Message) {
        if self.queue.is_empty() {
            return;
        }
        let mut room = MAX_DATAGRAM_BYTES.saturating_sub(message.size());
        let mut allowed = self.allowance as usize;
        let own = self.own_change();
        let home = self.zone;
        let crossing = zone != home;
        let table = &self.table;
        let changes = &mut message.changes;
        self.queue.fill(zone, |vm, scope| {
            let known = if *vm == own.vm {
                Some(own.clone())
            } else {
                table.get(vm).map(|record| table.change(record))
            };
            // A VM that was forgotten meanwhile uses up its turns without being sent, and so does a
            // failure of another availability zone's VM on its way to a third: only its own zone
            // tells of it there, since after a cut this side is wrong about the other.
            let hearsay = |change: &Change| {
                let record = table.get(&change.vm);
                crossing
                    && change.state == State::Failed
                    && record.is_some_and(|one| one.zone != home)
            };
            let Some(change) = known.filter(|change| !hearsay(change)) else {
                return true;
            };
            let size = change.size();
            // Suspicions are exempt: without them a short allowance would make VMs fail.
            let charged = if scope == Scope::Fleet { size } else { 0 };
            if size > room || charged > allowed {
                return false;
            }
            room -= size;
            allowed -= charged;
            changes.push(change);
            true
        });
        self.allowance = allowed as u32;
    }

    /// Queues a VM's state for piggybacking.
    pub(super) fn enqueue(&mut self, vm: &Vm, scope: Scope) {
        let zone = self.table.get(vm).map_or(self.zone, |record| record.zone);
        let left = self.transmissions();
        let vm = vm.clone();
        self.queue.push(Due {
            vm,
            zone,
            scope,
            left,
        });
        // Many single changes would each pay for the rest of their datagrams; crowded ones wait
        // for the next gossip and share them.
        self.fresh |= scope == Scope::Zone || self.queue.len() <= CROWDED;
    }

    /// Returns how often a change is sent by each VM. When many are due, such as after a cut, each
    /// is sent less often, which the allowance would enforce anyway but for the first ones only;
    /// anti-entropy brings the few that are missed.
    fn transmissions(&self) -> u8 {
        if self.queue.len() > CROWDED {
            return self.limits.fanout as u8;
        }
        let size = self.table.ring(self.zone).len() as f64 + 2.0;
        let repeats = (SPREAD_FACTOR * size.log2()).ceil();
        self.limits.fanout as u8 + repeats as u8
    }

    /// Takes the configuration that this VM has put in force.
    pub(super) fn publish(&mut self, version: Version) {
        if version == self.version {
            return;
        }
        self.version = version;
        self.version_rounds = VERSION_ROUNDS;
        self.fresh = true;
    }

    /// Sends what is new at once, unless a round has just been sent.
    pub(super) fn push_fresh(&mut self, now: Time) {
        if self.fresh && now >= self.next.push {
            self.next.push = now + self.limits.push_period;
            self.fresh = false;
            self.round(self.limits.fanout);
        }
    }

    /// Sends what is still due, once per period.
    pub(super) fn start_gossip(&mut self, now: Time) {
        if now < self.next.gossip {
            return;
        }
        self.next.gossip = self.after(now, self.next.gossip, self.limits.gossip_period);
        if !self.queue.is_empty() || self.version_rounds > 0 {
            self.round(self.limits.fanout / 2);
        }
    }

    /// Sends one round to random VMs of the own availability zone and some of the others.
    fn round(&mut self, count: usize) {
        let announce = self.version_rounds > 0;
        self.version_rounds = self.version_rounds.saturating_sub(1);
        for _ in 0..count {
            let near = self.table.random(self.zone, &mut self.rng).cloned();
            self.gossip(near, announce);
        }
        let size = self.table.ring(self.zone).len() as u64 + 1;
        for _ in 0..self.table.other_zones(self.zone) {
            if self.rng.below(size) < FAR_PUSHES {
                let far = self.table.random_far(self.zone, &mut self.rng).cloned();
                self.gossip(far, announce);
            }
        }
    }

    fn gossip(&mut self, vm: Option<Vm>, announce: bool) {
        let Some(vm) = vm else {
            return;
        };
        let Some(record) = self.table.get(&vm) else {
            return;
        };
        let to = record.address;
        let message = self.laden(Some(&vm), Body::Gossip);
        if message.changes.is_empty() && !announce {
            return;
        }
        let cost = base_size(&self.me.vm) as u32;
        self.allowance = self.allowance.saturating_sub(cost);
        self.out.push(Action::Send { to, message });
    }

    /// Renews the allowances for changes and pages.
    pub(super) fn refill(&mut self, now: Time) {
        let passed = now.since(self.ticked).as_secs_f64();
        let limits = &self.limits;
        let renew = |left: u32, rate: u32, burst: u32| {
            let gained = (passed * f64::from(rate)).min(f64::from(burst)) as u32;
            left.saturating_add(gained).min(burst)
        };
        self.allowance = renew(self.allowance, limits.gossip_rate, limits.gossip_burst);
        self.page_allowance = renew(self.page_allowance, limits.page_rate, limits.page_burst);
    }

    /// Announces that this VM is leaving.
    pub(super) fn leave(&mut self) {
        if self.state == State::Alive {
            self.restate(State::Leaving);
        }
    }

    /// Announces that this VM's process ends, at once and without a later chance.
    pub(super) fn stop(&mut self, now: Time) {
        self.restate(State::Left);
        self.next.push = now;
        self.push_fresh(now);
    }

    fn restate(&mut self, state: State) {
        self.state = state;
        self.incarnation.count += 1;
        let me = self.me.vm.clone();
        self.enqueue(&me, Scope::Fleet);
    }
}
