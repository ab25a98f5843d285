//! Calls between VMs and to the platform, for configuration generations and burn rates.

use std::time::Duration;

use chervildrift_core::burn::{Action as BurnAction, Event as BurnEvent};
use chervildrift_core::generation::{
    Action as GenerationAction, Answer, BundleHash, Event as GenerationEvent,
};
use chervildrift_core::membership::Event as MemberEvent;
use chervildrift_core::placement::aggregator_key;
use chervildrift_core::types::Vm;

use super::cost::Part;
use super::platform::{REQUEST_BYTES, REQUEST_DELAY};
use super::vm;
use super::world::{VmEvent, World};

/// Estimated bytes of a call between VMs without its payload.
const CALL_BYTES: u64 = 200;

/// Time that a VM needs to send one bundle.
const BUNDLE_SEND_TIME: Duration = Duration::from_millis(2);

impl World {
    /// Passes an event to the configuration state of a VM and runs the resulting actions.
    pub(super) fn handle_generation(&mut self, index: usize, event: GenerationEvent) {
        let (vm_state, now) = (&mut self.vms[index], self.now);
        let before = vm_state.generations.version().generation;
        let handle = || vm_state.generations.handle(now, event);
        let actions = self.costs.measure(Part::Generation, handle);
        for action in actions {
            self.run_generation_action(index, before, action);
        }
    }

    fn run_generation_action(&mut self, index: usize, before: u64, action: GenerationAction) {
        match action {
            GenerationAction::ReadHead => {
                let event = self.platform.read_head();
                self.call_platform(index, 0, VmEvent::Generation(event));
            }
            GenerationAction::FetchStore { hash } => {
                let event = self.platform.fetch_object(hash);
                let size = match &event {
                    GenerationEvent::Fetched { body, .. } => body.size() as u64,
                    _ => 0,
                };
                self.call_platform(index, size, VmEvent::Generation(event));
            }
            GenerationAction::FetchPeer { vm, hash, base } => {
                let event = GenerationEvent::Requested {
                    vm: self.vms[index].name.clone(),
                    hash,
                    base,
                };
                self.send_call(
                    Part::Generation,
                    index,
                    &vm,
                    CALL_BYTES,
                    VmEvent::Generation(event),
                );
            }
            GenerationAction::Serve { vm, hash, answer } => self.serve(index, &vm, hash, answer),
            GenerationAction::Install { version, .. } => {
                for generation in before.max(1)..version.generation {
                    let at = self.publish_times[generation as usize];
                    self.observations
                        .install_times
                        .push(self.now.since(at).as_secs_f64());
                }
                self.handle_membership(index, MemberEvent::VersionInstalled(version));
            }
            GenerationAction::Ready => {}
        }
    }

    fn serve(&mut self, index: usize, vm: &Vm, hash: BundleHash, answer: Answer) {
        let (size, event) = match answer {
            Answer::Body(body) => {
                let sent = GenerationEvent::TransferEnded { vm: vm.clone() };
                let done = self.now + BUNDLE_SEND_TIME;
                self.queue.push(done, (index, VmEvent::Generation(sent)));
                (body.size() as u64, GenerationEvent::Fetched { hash, body })
            }
            Answer::Busy | Answer::Unknown => (0, GenerationEvent::FetchFailed { hash }),
        };
        let event = VmEvent::Generation(event);
        self.send_call(Part::Generation, index, vm, CALL_BYTES + size, event);
    }

    /// Sends a message to another VM over TCP.
    fn send_call(&mut self, part: Part, index: usize, vm: &Vm, bytes: u64, event: VmEvent) {
        let Some(target) = vm::vm_index(vm) else {
            return;
        };
        let cost = self.costs.part_mut(part);
        cost.messages += 1;
        cost.sent += bytes;
        cost.received += bytes;
        if let Some(delay) = self.links.call_delay(index, target) {
            self.queue.push(self.now + delay, (target, event));
        }
    }

    fn call_platform(&mut self, index: usize, bytes: u64, event: VmEvent) {
        let part = match &event {
            VmEvent::Burn(_) => Part::Burn,
            _ => Part::Generation,
        };
        let cost = self.costs.part_mut(part);
        cost.messages += 1;
        cost.sent += REQUEST_BYTES / 2;
        cost.received += REQUEST_BYTES / 2 + bytes;
        self.queue.push(self.now + REQUEST_DELAY, (index, event));
    }

    /// Passes an event to the burn counters of a VM and runs the resulting actions.
    pub(super) fn handle_burn(&mut self, index: usize, event: BurnEvent) {
        let (vm_state, now) = (&mut self.vms[index], self.now);
        let handle = || vm_state.burn.handle(now, event);
        let actions = self.costs.measure(Part::Burn, handle);
        for action in actions {
            match action {
                BurnAction::LocateAggregator { service } => {
                    let placement = &self.vms[index].placement;
                    let best = || placement.top_vms(&aggregator_key(&service), None);
                    let best = self.costs.measure(Part::Burn, best);
                    if let Some(vm) = best.into_iter().next() {
                        self.handle_burn(index, BurnEvent::AggregatorLocated { service, vm });
                    }
                }
                BurnAction::SendBatch { to, batch } => {
                    let bytes = batch.encoded_size() as u64;
                    self.send_call(
                        Part::Burn,
                        index,
                        &to,
                        bytes,
                        VmEvent::Burn(BurnEvent::Batch(batch)),
                    );
                }
                BurnAction::SendAck { to, ack } => {
                    let bytes = ack.encoded_size() as u64;
                    self.send_call(
                        Part::Burn,
                        index,
                        &to,
                        bytes,
                        VmEvent::Burn(BurnEvent::Ack(ack)),
                    );
                }
                BurnAction::LoadSnapshot { service } => {
                    let event = self.platform.load_snapshot(self.now, service);
                    self.call_platform(index, 0, VmEvent::Burn(event));
                }
                BurnAction::StoreSnapshot { snapshot, tag } => {
                    self.costs.part_mut(Part::Burn).sent += snapshot.encoded_size() as u64;
                    let event = self
                        .platform
                        .store_snapshot(self.now, snapshot, tag.as_deref());
                    self.call_platform(index, 0, VmEvent::Burn(event));
                }
            }
        }
    }
}
