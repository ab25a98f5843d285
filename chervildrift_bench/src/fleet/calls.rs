//! Calls between VMs and to the platform, for the generation and the burn.

use std::time::Duration;

use chervildrift_core::burn::{Action as BurnAction, Event as BurnEvent};
use chervildrift_core::generation::{
    Action as GenerationAction, Answer, BundleHash, Event as GenerationEvent,
};
use chervildrift_core::membership::Event as MemberEvent;
use chervildrift_core::placement::aggregator_key;
use chervildrift_core::types::Vm;

use super::cost::Part;
use super::platform::{DELAY, REQUEST_BYTES};
use super::vm;
use super::world::{Due, World};

/// Estimated bytes of a call between VMs without content.
const CALL_BYTES: u64 = 200;

/// Time that a VM needs to send one bundle.
const SEND_TIME: Duration = Duration::from_millis(2);

impl World {
    /// Hands an event to a VM's generation.
    pub(super) fn generation(&mut self, index: usize, event: GenerationEvent) {
        let (node, now) = (&mut self.nodes[index], self.now);
        let before = node.generations.version().generation;
        let handle = || node.generations.handle(now, event);
        let actions = self.costs.time(Part::Generation, handle);
        for action in actions {
            self.carry_out(index, before, action);
        }
    }

    fn carry_out(&mut self, index: usize, before: u64, action: GenerationAction) {
        match action {
            GenerationAction::ReadHead => {
                let event = self.platform.head();
                self.ask_platform(index, 0, Due::Generation(event));
            }
            GenerationAction::FetchStore { hash } => {
                let event = self.platform.fetch(hash);
                let size = match &event {
                    GenerationEvent::Fetched { body, .. } => body.size() as u64,
                    _ => 0,
                };
                self.ask_platform(index, size, Due::Generation(event));
            }
            GenerationAction::FetchPeer { vm, hash, base } => {
                let asked = GenerationEvent::Requested {
                    vm: self.nodes[index].name.clone(),
                    hash,
                    base,
                };
                self.call(
                    Part::Generation,
                    index,
                    &vm,
                    CALL_BYTES,
                    Due::Generation(asked),
                );
            }
            GenerationAction::Serve { vm, hash, answer } => self.serve(index, &vm, hash, answer),
            GenerationAction::Install { version, .. } => {
                for generation in before.max(1)..version.generation {
                    let at = self.published[generation as usize];
                    self.watch.installs.push(self.now.since(at).as_secs_f64());
                }
                self.member(index, MemberEvent::VersionInstalled(version));
            }
            GenerationAction::Ready => {}
        }
    }

    fn serve(&mut self, index: usize, vm: &Vm, hash: BundleHash, answer: Answer) {
        let (size, event) = match answer {
            Answer::Body(body) => {
                let sent = GenerationEvent::TransferEnded { vm: vm.clone() };
                let done = self.now + SEND_TIME;
                self.heap.push(done, (index, Due::Generation(sent)));
                (body.size() as u64, GenerationEvent::Fetched { hash, body })
            }
            Answer::Busy | Answer::Unknown => (0, GenerationEvent::FetchFailed { hash }),
        };
        let due = Due::Generation(event);
        self.call(Part::Generation, index, vm, CALL_BYTES + size, due);
    }

    /// Sends a message over a peer link.
    fn call(&mut self, part: Part, index: usize, vm: &Vm, bytes: u64, due: Due) {
        let Some(target) = vm::index_of(vm) else {
            return;
        };
        let cost = self.costs.of(part);
        cost.messages += 1;
        cost.sent += bytes;
        cost.received += bytes;
        if let Some(delay) = self.links.call(index, target) {
            self.heap.push(self.now + delay, (target, due));
        }
    }

    fn ask_platform(&mut self, index: usize, bytes: u64, due: Due) {
        let part = match &due {
            Due::Burn(_) => Part::Burn,
            _ => Part::Generation,
        };
        let cost = self.costs.of(part);
        cost.messages += 1;
        cost.sent += REQUEST_BYTES / 2;
        cost.received += REQUEST_BYTES / 2 + bytes;
        self.heap.push(self.now + DELAY, (index, due));
    }

    /// Hands an event to a VM's burn.
    pub(super) fn burn(&mut self, index: usize, event: BurnEvent) {
        let (node, now) = (&mut self.nodes[index], self.now);
        let handle = || node.burn.handle(now, event);
        let actions = self.costs.time(Part::Burn, handle);
        for action in actions {
            match action {
                BurnAction::LocateAggregator { service } => {
                    let placement = &self.nodes[index].placement;
                    let best = || placement.top_vms(&aggregator_key(&service), None);
                    let best = self.costs.time(Part::Burn, best);
                    if let Some(vm) = best.into_iter().next() {
                        self.burn(index, BurnEvent::AggregatorLocated { service, vm });
                    }
                }
                BurnAction::SendBatch { to, batch } => {
                    let bytes = batch.encoded_size() as u64;
                    self.call(
                        Part::Burn,
                        index,
                        &to,
                        bytes,
                        Due::Burn(BurnEvent::Batch(batch)),
                    );
                }
                BurnAction::SendAck { to, ack } => {
                    let bytes = ack.encoded_size() as u64;
                    self.call(
                        Part::Burn,
                        index,
                        &to,
                        bytes,
                        Due::Burn(BurnEvent::Ack(ack)),
                    );
                }
                BurnAction::LoadSnapshot { service } => {
                    let event = self.platform.load(self.now, service);
                    self.ask_platform(index, 0, Due::Burn(event));
                }
                BurnAction::StoreSnapshot { snapshot, tag } => {
                    self.costs.of(Part::Burn).sent += snapshot.encoded_size() as u64;
                    let event = self.platform.store(self.now, snapshot, tag.as_deref());
                    self.ask_platform(index, 0, Due::Burn(event));
                }
            }
        }
    }
}
