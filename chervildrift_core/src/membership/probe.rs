//! Probes, indirect probes and suspicions.

use std::net::SocketAddr;

use super::message::{Body, State};
use super::suspicion::{Raised, Suspicion};
use super::{Action, Membership};
use crate::types::{Time, Vm};

/// Relayed probes held for others; more are refused, since their answers would come too late.
const RELAYS: usize = 64;

/// Failed VMs from which on one is pinged in every period.
const KNOCK_DEAD: u64 = 16;

/// A probe that waits for its answer.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub sequence: u32,
    pub vm: Vm,
    pub step: Step,
    pub next_at: Time,
    pub relay_at: Time,
    pub fail_at: Time,
}

/// How far a probe has come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Step {
    /// Sent once.
    First,
    /// Sent again, which settles most lost datagrams without helpers.
    Again,
    /// Sent through helpers.
    Indirect,
}

/// A probe sent for another VM.
#[derive(Clone, Debug)]
pub(super) struct Relay {
    sequence: u32,
    vm: Vm,
    asker: SocketAddr,
    asked: u32,
    until: Time,
}

impl Membership {
    /// Sends the probes that are due.
    pub(super) fn start_probes(&mut self, now: Time) {
        if now >= self.next.probe {
            self.next.probe = self.after(now, self.next.probe, self.limits.probe_period);
            self.probe_next(now);
        }
        if now >= self.next.far {
            self.next.far = self.after(now, self.next.far, self.limits.remote_period);
            self.probe_far(now);
            self.knock();
        }
    }

    /// Pings a VM that failed, more often the more there are, since many failed VMs may be one
    /// cut link. If it is back, it refutes, and its answer names what it holds of this VM.
    fn knock(&mut self) {
        if self.rng.below(KNOCK_DEAD) >= self.table.dead() as u64 {
            return;
        }
        let dead = self.table.random_dead(&mut self.rng).cloned();
        let failed = |vm: &Vm| self.state(vm) == Some(State::Failed);
        if let Some(vm) = dead.filter(failed) {
            let sequence = self.count_up();
            self.send_to(&vm, Body::Ping { sequence });
        }
    }

    /// Returns the time one period after `due`, or a random time within one after `now` when
    /// periods were missed, so that VMs started together do not probe together.
    pub(super) fn after(&mut self, now: Time, due: Time, period: std::time::Duration) -> Time {
        if due != Time::default() && now.since(due) < period {
            return due + period;
        }
        now + self.rng.jitter(period)
    }

    /// Probes the next of the watched neighbours. An availability zone with fewer VMs has the
    /// remaining turns for VMs of others.
    fn probe_next(&mut self, now: Time) {
        self.step = (self.step + 1) % self.limits.neighbours.max(1);
        if self.step >= self.table.ring(self.zone).len() {
            self.probe_far(now);
            return;
        }
        let neighbour = self.table.successor(self.zone, self.hash, self.step);
        if let Some(vm) = neighbour.cloned() {
            self.probe(now, &vm);
        }
    }

    /// Probes the next VM of the round over the other availability zones. Each VM starts at
    /// another place, so that together they soon cover all.
    fn probe_far(&mut self, now: Time) {
        self.far_turn = self.far_turn.wrapping_add(1);
        let far = self.table.far_at(self.zone, self.far_turn);
        if let Some(vm) = far.cloned() {
            self.probe(now, &vm);
        }
    }

    fn probe(&mut self, now: Time, vm: &Vm) {
        if self.probes.iter().any(|probe| probe.vm == *vm) {
            return;
        }
        let Some(record) = self.table.get(vm) else {
            return;
        };
        let (near, address) = (record.zone == self.zone, record.address);
        let (direct, total) = if near {
            (self.limits.direct_timeout, self.limits.probe_timeout)
        } else {
            (self.limits.remote_direct, self.limits.remote_timeout)
        };
        let sequence = self.count_up();
        self.probes.push(Probe {
            sequence,
            vm: vm.clone(),
            step: Step::First,
            next_at: now + direct / 2,
            relay_at: now + direct,
            fail_at: now + total,
        });
        self.send(Some(vm), address, Body::Ping { sequence });
    }

    /// Acts on probes that have waited long enough.
    pub(super) fn check_probes(&mut self, now: Time) {
        let mut waiting = std::mem::take(&mut self.probes);
        for probe in &mut waiting {
            self.advance(now, probe);
        }
        let failed = |probe: &&Probe| now >= probe.fail_at;
        let lost: Vec<Vm> = waiting
            .iter()
            .filter(failed)
            .map(|one| one.vm.clone())
            .collect();
        waiting.retain(|probe| now < probe.fail_at);
        self.probes = waiting;
        for vm in lost {
            self.suspect(now, &vm);
        }
    }

    /// Takes a probe to its next step, when that is due.
    fn advance(&mut self, now: Time, probe: &mut Probe) {
        if now < probe.next_at {
            return;
        }
        match probe.step {
            Step::First => {
                probe.step = Step::Again;
                probe.next_at = probe.relay_at;
                let sequence = probe.sequence;
                let address = self.table.get(&probe.vm).map(|record| record.address);
                if let Some(address) = address {
                    self.send(Some(&probe.vm), address, Body::Ping { sequence });
                }
            }
            Step::Again => {
                probe.step = Step::Indirect;
                self.probe_again(&probe.vm, probe.sequence);
            }
            Step::Indirect => {}
        }
    }

    /// Probes a VM directly and through helpers.
    pub(super) fn probe_again(&mut self, vm: &Vm, sequence: u32) {
        let Some(record) = self.table.get(vm) else {
            return;
        };
        let (address, zone) = (record.address, record.zone);
        self.send(Some(vm), address, Body::Ping { sequence });
        for turn in 0..self.limits.intermediaries {
            let helper = self.helper(zone, turn);
            let Some(helper) = helper.filter(|helper| helper != vm) else {
                continue;
            };
            let body = Body::IndirectPing {
                sequence,
                vm: vm.clone(),
                address,
            };
            self.send_to(&helper, body);
        }
    }

    /// Returns a random VM to probe a VM of `zone` through. For another availability zone most
    /// helpers are in third ones, since only the link between the two may be cut.
    fn helper(&mut self, zone: u16, turn: usize) -> Option<Vm> {
        let inside = zone == self.zone && self.table.ring(zone).len() > 1;
        if inside || turn % 3 == 1 {
            return self.table.random(zone, &mut self.rng).cloned();
        }
        let third = self.table.random_third(self.zone, zone, &mut self.rng);
        if let Some(vm) = third {
            return Some(vm.clone());
        }
        self.table.random(self.zone, &mut self.rng).cloned()
    }

    /// Answers a ping.
    pub(super) fn answer(&mut self, from: SocketAddr, sender: &Vm, sequence: u32) {
        self.send(Some(sender), from, Body::Ack { sequence });
    }

    /// Takes the answer of a VM to a ping of this VM, and reports it when it was for another.
    pub(super) fn acknowledge(&mut self, sender: &Vm, sequence: u32) {
        self.settle_probe(sender, sequence);
        let found = self
            .relays
            .iter()
            .position(|relay| relay.sequence == sequence && relay.vm == *sender);
        if let Some(index) = found {
            let relay = self.relays.swap_remove(index);
            let body = Body::IndirectAck {
                sequence: relay.asked,
                vm: relay.vm,
            };
            self.send(None, relay.asker, body);
        }
    }

    /// Pings a VM for another.
    pub(super) fn relay(
        &mut self,
        now: Time,
        asker: SocketAddr,
        number: u32,
        vm: &Vm,
        address: SocketAddr,
    ) {
        self.relays.retain(|relay| now < relay.until);
        if self.relays.len() >= RELAYS {
            return;
        }
        let sequence = self.count_up();
        self.relays.push(Relay {
            sequence,
            vm: vm.clone(),
            asker,
            asked: number,
            until: now + self.limits.remote_timeout,
        });
        self.send(Some(vm), address, Body::Ping { sequence });
    }

    /// Takes the report that a VM answered a helper.
    pub(super) fn relayed(&mut self, sequence: u32, vm: &Vm) {
        self.settle_probe(vm, sequence);
    }

    /// Ends the probe that was answered. A suspicion of a VM in another availability zone is
    /// withdrawn too: it was told to no one, and the VM itself may be out of reach for refuting.
    fn settle_probe(&mut self, vm: &Vm, sequence: u32) {
        self.probes
            .retain(|probe| probe.sequence != sequence || probe.vm != *vm);
        let answers = |one: &Suspicion| {
            let later = |raised: Raised| sequence.wrapping_sub(raised.first) <= u32::MAX / 2;
            one.vm == *vm && one.own.is_some_and(later)
        };
        let far = self
            .table
            .get(vm)
            .is_some_and(|record| record.zone != self.zone);
        if far && self.suspicions.iter().any(answers) {
            self.suspicions.retain(|one| one.vm != *vm);
            self.withdraw(vm);
        }
    }

    /// Takes what a peer link showed. A VM that does not answer there is probed again at once and
    /// through helpers, since the link alone may be cut.
    pub(super) fn observe(&mut self, now: Time, vm: &Vm, reachable: bool) {
        if reachable {
            self.probes.retain(|probe| probe.vm != *vm);
            return;
        }
        let member = self.table.get(vm).filter(|one| one.state.is_member());
        let asked = |one: &Probe| one.vm == *vm && one.step == Step::Indirect;
        if member.is_none() || self.probes.iter().any(asked) {
            return;
        }
        self.probes.retain(|probe| probe.vm != *vm);
        let wait = self
            .limits
            .probe_timeout
            .saturating_sub(self.limits.direct_timeout);
        let probe = Probe {
            sequence: self.count_up(),
            vm: vm.clone(),
            step: Step::Indirect,
            next_at: now,
            relay_at: now,
            fail_at: now + wait,
        };
        self.probe_again(vm, probe.sequence);
        self.probes.push(probe);
    }

    pub(super) fn count_up(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    fn send_to(&mut self, vm: &Vm, body: Body) {
        let address = self.table.get(vm).map(|record| record.address);
        if let Some(address) = address {
            self.send(Some(vm), address, body);
        }
    }

    /// Sends a message with the changes that fit it.
    pub(super) fn send(&mut self, to: Option<&Vm>, address: SocketAddr, body: Body) {
        let message = self.laden(to, body);
        self.out.push(Action::Send {
            to: address,
            message,
        });
    }
}
