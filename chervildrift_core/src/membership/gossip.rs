//! Gossip of changes and of the configuration in force.

use super::message::{Body, Change, MAX_DATAGRAM_BYTES, Message, State, base_size};
use super::queue::{PendingChange, Scope};
use super::{Action, Membership};
use crate::generation::Version;
use crate::types::{Time, Vm};

/// Mean number of messages that a round of all VMs of an availability zone sends per other zone.
/// Enough for some to arrive when a few are lost, and few compared with the size of a zone.
const PUSHES_PER_REMOTE_ZONE: u64 = 8;

/// Gossip rounds in which a VM announces a configuration that it has put in force.
const VERSION_ANNOUNCE_ROUNDS: u8 = 3;

/// Length of the queue above which each change is sent less often and together with others.
const CROWDED_QUEUE_CHANGES: usize = 32;

/// Retransmissions of a change beyond the first round, as a multiple of log2 of the zone's size.
const RETRANSMIT_FACTOR: f64 = 1.5;

impl Membership {
    /// Returns a message without changes.
    pub(super) fn bare_message(&self, body: Body) -> Message {
        Message {
            from: self.local.vm.clone(),
            incarnation: self.incarnation,
            version: self.version,
            body,
            changes: Vec::new(),
        }
    }

    /// Returns a message with the pending changes that fit. It also carries the receiver's state,
    /// if the receiver is held as suspected, failed or left, and in an anti-entropy exchange the
    /// own one.
    pub(super) fn message_with_changes(&mut self, to: Option<&Vm>, body: Body) -> Message {
        let mut message = self.bare_message(body);
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
        self.add_pending_changes(zone, &mut message);
        message
    }

    /// Adds the pending changes that fit to a message for a VM in `zone`.
    fn add_pending_changes(&mut self, zone: u16, message: &mut Message) {
        if self.queue.is_empty() {
            return;
        }
        let mut free_bytes = MAX_DATAGRAM_BYTES.saturating_sub(message.size());
        let mut allowance_left = self.gossip_allowance as usize;
        let own = self.own_change();
        let own_zone = self.zone;
        let crosses_zones = zone != own_zone;
        let table = &self.table;
        let changes = &mut message.changes;
        self.queue.take_for(zone, |vm, scope| {
            let current = if *vm == own.vm {
                Some(own.clone())
            } else {
                table.get(vm).map(|record| table.change(record))
            };
            // Two kinds of change count as sent without being sent: that of a VM that was removed
            // meanwhile, and between zones the failure of a VM of another zone. Only the VM's own
            // zone reports its failure to other zones, since after a partition this side is wrong
            // about the other.
            let is_third_party_failure = |change: &Change| {
                let record = table.get(&change.vm);
                crosses_zones
                    && change.state == State::Failed
                    && record.is_some_and(|one| one.zone != own_zone)
            };
            let Some(change) = current.filter(|change| !is_third_party_failure(change)) else {
                return true;
            };
            let size = change.size();
            // Suspicions and refutations are exempt: if a used-up allowance delayed them, live VMs
            // would be declared failed.
            let cost = if scope == Scope::Fleet { size } else { 0 };
            if size > free_bytes || cost > allowance_left {
                return false;
            }
            free_bytes -= size;
            allowance_left -= cost;
            changes.push(change);
            true
        });
        self.gossip_allowance = allowance_left as u32;
    }

    /// Queues a VM's state for piggybacking.
    pub(super) fn enqueue(&mut self, vm: &Vm, scope: Scope) {
        let zone = self.table.get(vm).map_or(self.zone, |record| record.zone);
        let sends_left = self.transmit_limit();
        let vm = vm.clone();
        self.queue.push(PendingChange {
            vm,
            zone,
            scope,
            sends_left,
        });
        // Many changes pushed one by one would each cost the overhead of a datagram. In a long
        // queue they wait for the next gossip round and share datagrams.
        self.push_due |= scope == Scope::Zone || self.queue.len() <= CROWDED_QUEUE_CHANGES;
    }

    /// Returns how often each VM sends a change. In a long queue, such as after a partition, each
    /// change is sent less often, since the first ones would otherwise use up the allowance;
    /// anti-entropy delivers the few that are missed.
    fn transmit_limit(&self) -> u8 {
        if self.queue.len() > CROWDED_QUEUE_CHANGES {
            return self.limits.fanout as u8;
        }
        let size = self.table.ring(self.zone).len() as f64 + 2.0;
        let repeats = (RETRANSMIT_FACTOR * size.log2()).ceil();
        self.limits.fanout as u8 + repeats as u8
    }

    /// Announces the configuration that this VM has put in force.
    pub(super) fn set_version(&mut self, version: Version) {
        if version == self.version {
            return;
        }
        self.version = version;
        self.version_rounds = VERSION_ANNOUNCE_ROUNDS;
        self.push_due = true;
    }

    /// Pushes new changes, unless a push has been sent within the push period.
    pub(super) fn push_if_due(&mut self, now: Time) {
        if self.push_due && now >= self.next.push {
            self.next.push = now + self.limits.push_period;
            self.push_due = false;
            self.gossip_round(self.limits.fanout);
        }
    }

    /// Sends a gossip round once per period while changes or announcements are pending.
    pub(super) fn start_gossip(&mut self, now: Time) {
        if now < self.next.gossip {
            return;
        }
        self.next.gossip = self.next_due(now, self.next.gossip, self.limits.gossip_period);
        if !self.queue.is_empty() || self.version_rounds > 0 {
            self.gossip_round(self.limits.fanout / 2);
        }
    }

    /// Sends one round to random VMs of the own availability zone and some of the others.
    fn gossip_round(&mut self, count: usize) {
        let announce = self.version_rounds > 0;
        self.version_rounds = self.version_rounds.saturating_sub(1);
        for _ in 0..count {
            let local_vm = self.table.random(self.zone, &mut self.rng).cloned();
            self.send_gossip(local_vm, announce);
        }
        let size = self.table.ring(self.zone).len() as u64 + 1;
        for _ in 0..self.table.other_zone_count(self.zone) {
            if self.rng.below(size) < PUSHES_PER_REMOTE_ZONE {
                let remote_vm = self.table.random_remote(self.zone, &mut self.rng).cloned();
                self.send_gossip(remote_vm, announce);
            }
        }
    }

    fn send_gossip(&mut self, vm: Option<Vm>, announce: bool) {
        let Some(vm) = vm else {
            return;
        };
        let Some(record) = self.table.get(&vm) else {
            return;
        };
        let to = record.address;
        let message = self.message_with_changes(Some(&vm), Body::Gossip);
        if message.changes.is_empty() && !announce {
            return;
        }
        let cost = base_size(&self.local.vm) as u32;
        self.gossip_allowance = self.gossip_allowance.saturating_sub(cost);
        self.actions.push(Action::Send { to, message });
    }

    /// Refills the allowances for changes and pages.
    pub(super) fn refill(&mut self, now: Time) {
        let elapsed = now.since(self.last_tick).as_secs_f64();
        let limits = &self.limits;
        let renew = |remaining: u32, rate: u32, burst: u32| {
            let gained = (elapsed * f64::from(rate)).min(f64::from(burst)) as u32;
            remaining.saturating_add(gained).min(burst)
        };
        self.gossip_allowance = renew(
            self.gossip_allowance,
            limits.gossip_rate,
            limits.gossip_burst,
        );
        self.page_allowance = renew(self.page_allowance, limits.page_rate, limits.page_burst);
    }

    /// Announces that this VM is leaving.
    pub(super) fn leave(&mut self) {
        if self.state == State::Alive {
            self.announce_state(State::Leaving);
        }
    }

    /// Announces that this VM's process ends. The push is not delayed, since none follows.
    pub(super) fn stop(&mut self, now: Time) {
        self.announce_state(State::Left);
        self.next.push = now;
        self.push_if_due(now);
    }

    fn announce_state(&mut self, state: State) {
        self.state = state;
        self.incarnation.count += 1;
        let vm = self.local.vm.clone();
        self.enqueue(&vm, Scope::Fleet);
    }
}
