//! Probes, indirect probes and suspicions.

use std::net::SocketAddr;

use super::message::{Body, State};
use super::suspicion::{Reminder, Suspicion};
use super::{Action, Membership};
use crate::types::{Time, Vm};

/// Maximum number of pings forwarded for other VMs at once; more are dropped, since their answers
/// would come too late.
const MAX_FORWARDED_PINGS: usize = 64;

/// Number of VMs that failed or left from which on one of them is drawn in every period.
const DEAD_PING_SATURATION: u64 = 16;

/// Probe that waits for its answer.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub sequence: u32,
    pub vm: Vm,
    pub step: ProbeStep,
    pub next_at: Time,
    pub indirect_at: Time,
    pub fail_at: Time,
}

/// Step that a probe has reached.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum ProbeStep {
    /// Sent once.
    Sent,
    /// Sent again, which covers most lost datagrams without intermediaries.
    Resent,
    /// Sent through intermediaries.
    Indirect,
}

/// Ping sent on behalf of another VM.
#[derive(Clone, Debug)]
pub(super) struct ForwardedPing {
    sequence: u32,
    vm: Vm,
    requester: SocketAddr,
    requested_sequence: u32,
    deadline: Time,
}

impl Membership {
    /// Sends the probes that are due.
    pub(super) fn start_probes(&mut self, now: Time) {
        if now >= self.next.probe {
            self.next.probe = self.next_due(now, self.next.probe, self.limits.probe_period);
            self.probe_neighbour(now);
        }
        if now >= self.next.remote_probe {
            self.next.remote_probe =
                self.next_due(now, self.next.remote_probe, self.limits.remote_period);
            self.probe_remote(now);
            self.ping_dead_vm();
        }
    }

    /// Pings a random failed VM, more often the more there are, since one cut link may look like
    /// many failures. A VM that is reachable again refutes its failure, and its answer carries the
    /// state in which it holds this VM.
    fn ping_dead_vm(&mut self) {
        if self.rng.below(DEAD_PING_SATURATION) >= self.table.dead_count() as u64 {
            return;
        }
        let dead = self.table.random_dead(&mut self.rng).cloned();
        let failed = |vm: &Vm| self.state(vm) == Some(State::Failed);
        if let Some(vm) = dead.filter(failed) {
            let sequence = self.next_sequence();
            self.send_to(&vm, Body::Ping { sequence });
        }
    }

    /// Returns the time one period after `due`. At the first step, or if a period was missed, it is
    /// a random time within one period from `now`, so that VMs started together do not probe
    /// together.
    pub(super) fn next_due(&mut self, now: Time, due: Time, period: std::time::Duration) -> Time {
        if due != Time::default() && now.since(due) < period {
            return due + period;
        }
        now + self.rng.jitter(period)
    }

    /// Probes the next neighbour. In an availability zone with fewer VMs, the remaining turns go to
    /// VMs of other zones.
    fn probe_neighbour(&mut self, now: Time) {
        self.neighbour_index = (self.neighbour_index + 1) % self.limits.neighbours.max(1);
        if self.neighbour_index >= self.table.ring(self.zone).len() {
            self.probe_remote(now);
            return;
        }
        let neighbour = self
            .table
            .successor(self.zone, self.hash, self.neighbour_index);
        if let Some(vm) = neighbour.cloned() {
            self.probe(now, &vm);
        }
    }

    /// Probes the next VM in the cycle over the other availability zones. Each VM starts at another
    /// position, so that together they soon cover all.
    fn probe_remote(&mut self, now: Time) {
        self.remote_index = self.remote_index.wrapping_add(1);
        let remote = self.table.remote_at(self.zone, self.remote_index);
        if let Some(vm) = remote.cloned() {
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
        let (is_local, address) = (record.zone == self.zone, record.address);
        let (direct, total) = if is_local {
            (self.limits.direct_timeout, self.limits.probe_timeout)
        } else {
            (self.limits.remote_direct, self.limits.remote_timeout)
        };
        let sequence = self.next_sequence();
        self.probes.push(Probe {
            sequence,
            vm: vm.clone(),
            step: ProbeStep::Sent,
            next_at: now + direct / 2,
            indirect_at: now + direct,
            fail_at: now + total,
        });
        self.send(Some(vm), address, Body::Ping { sequence });
    }

    /// Advances the waiting probes, and suspects the VMs whose probes have timed out.
    pub(super) fn check_probes(&mut self, now: Time) {
        let mut waiting = std::mem::take(&mut self.probes);
        for probe in &mut waiting {
            self.advance_probe(now, probe);
        }
        let failed = |probe: &&Probe| now >= probe.fail_at;
        let unanswered: Vec<Vm> = waiting
            .iter()
            .filter(failed)
            .map(|one| one.vm.clone())
            .collect();
        waiting.retain(|probe| now < probe.fail_at);
        self.probes = waiting;
        for vm in unanswered {
            self.suspect(now, &vm);
        }
    }

    /// Moves a probe to its next step when that is due.
    fn advance_probe(&mut self, now: Time, probe: &mut Probe) {
        if now < probe.next_at {
            return;
        }
        match probe.step {
            ProbeStep::Sent => {
                probe.step = ProbeStep::Resent;
                probe.next_at = probe.indirect_at;
                let sequence = probe.sequence;
                let address = self.table.get(&probe.vm).map(|record| record.address);
                if let Some(address) = address {
                    self.send(Some(&probe.vm), address, Body::Ping { sequence });
                }
            }
            ProbeStep::Resent => {
                probe.step = ProbeStep::Indirect;
                self.probe_indirectly(&probe.vm, probe.sequence);
            }
            ProbeStep::Indirect => {}
        }
    }

    /// Probes a VM directly and through intermediaries.
    pub(super) fn probe_indirectly(&mut self, vm: &Vm, sequence: u32) {
        let Some(record) = self.table.get(vm) else {
            return;
        };
        let (address, zone) = (record.address, record.zone);
        self.send(Some(vm), address, Body::Ping { sequence });
        for index in 0..self.limits.intermediaries {
            let intermediary = self.choose_intermediary(zone, index);
            let Some(intermediary) = intermediary.filter(|intermediary| intermediary != vm) else {
                continue;
            };
            let body = Body::IndirectPing {
                sequence,
                vm: vm.clone(),
                address,
            };
            self.send_to(&intermediary, body);
        }
    }

    /// Returns a random intermediary for a VM of `zone`. For another availability zone most
    /// intermediaries are in a third one, since only the link between the two may be cut.
    fn choose_intermediary(&mut self, zone: u16, index: usize) -> Option<Vm> {
        let within_zone = zone == self.zone && self.table.ring(zone).len() > 1;
        if within_zone || index % 3 == 1 {
            return self.table.random(zone, &mut self.rng).cloned();
        }
        let third_vm = self.table.random_excluding(self.zone, zone, &mut self.rng);
        if let Some(vm) = third_vm {
            return Some(vm.clone());
        }
        self.table.random(self.zone, &mut self.rng).cloned()
    }

    /// Answers a ping.
    pub(super) fn answer_ping(&mut self, from: SocketAddr, sender: &Vm, sequence: u32) {
        self.send(Some(sender), from, Body::Ack { sequence });
    }

    /// Completes the probe that was answered, and reports the answer if the ping was forwarded for
    /// another VM.
    pub(super) fn handle_ack(&mut self, sender: &Vm, sequence: u32) {
        self.complete_probe(sender, sequence);
        let found = self
            .forwarded_pings
            .iter()
            .position(|ping| ping.sequence == sequence && ping.vm == *sender);
        if let Some(index) = found {
            let ping = self.forwarded_pings.swap_remove(index);
            let body = Body::IndirectAck {
                sequence: ping.requested_sequence,
                vm: ping.vm,
            };
            self.send(None, ping.requester, body);
        }
    }

    /// Pings a VM on behalf of another.
    pub(super) fn forward_ping(
        &mut self,
        now: Time,
        requester: SocketAddr,
        number: u32,
        vm: &Vm,
        address: SocketAddr,
    ) {
        self.forwarded_pings.retain(|ping| now < ping.deadline);
        if self.forwarded_pings.len() >= MAX_FORWARDED_PINGS {
            return;
        }
        let sequence = self.next_sequence();
        self.forwarded_pings.push(ForwardedPing {
            sequence,
            vm: vm.clone(),
            requester,
            requested_sequence: number,
            deadline: now + self.limits.remote_timeout,
        });
        self.send(Some(vm), address, Body::Ping { sequence });
    }

    /// Completes the probe of a VM that answered an intermediary.
    pub(super) fn handle_indirect_ack(&mut self, sequence: u32, vm: &Vm) {
        self.complete_probe(vm, sequence);
    }

    /// Ends the probe that was answered. A suspicion of a VM in another availability zone is
    /// withdrawn too: it was not passed on, and the VM itself may be unable to reach this one to
    /// refute it.
    fn complete_probe(&mut self, vm: &Vm, sequence: u32) {
        self.probes
            .retain(|probe| probe.sequence != sequence || probe.vm != *vm);
        let refutes = |one: &Suspicion| {
            let is_later =
                |reminder: Reminder| sequence.wrapping_sub(reminder.first_sequence) <= u32::MAX / 2;
            one.vm == *vm && one.reminder.is_some_and(is_later)
        };
        let is_remote = self
            .table
            .get(vm)
            .is_some_and(|record| record.zone != self.zone);
        if is_remote && self.suspicions.iter().any(refutes) {
            self.suspicions.retain(|one| one.vm != *vm);
            self.withdraw_suspicion(vm);
        }
    }

    /// Records whether a VM answered on a peer connection. If not, it is probed at once and through
    /// intermediaries, since only the connection may be cut.
    pub(super) fn record_link_state(&mut self, now: Time, vm: &Vm, reachable: bool) {
        if reachable {
            self.probes.retain(|probe| probe.vm != *vm);
            return;
        }
        let member = self.table.get(vm).filter(|one| one.state.is_member());
        let in_progress = |one: &Probe| one.vm == *vm && one.step == ProbeStep::Indirect;
        if member.is_none() || self.probes.iter().any(in_progress) {
            return;
        }
        self.probes.retain(|probe| probe.vm != *vm);
        let wait = self
            .limits
            .probe_timeout
            .saturating_sub(self.limits.direct_timeout);
        let probe = Probe {
            sequence: self.next_sequence(),
            vm: vm.clone(),
            step: ProbeStep::Indirect,
            next_at: now,
            indirect_at: now,
            fail_at: now + wait,
        };
        self.probe_indirectly(vm, probe.sequence);
        self.probes.push(probe);
    }

    pub(super) fn next_sequence(&mut self) -> u32 {
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
        let message = self.message_with_changes(to, body);
        self.actions.push(Action::Send {
            to: address,
            message,
        });
    }
}
