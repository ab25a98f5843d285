//! Callers of the group.

use chervildrift_core::types::LogPosition;

use super::fault::UPSTREAMS;
use super::message::Request;
use super::queue::Item;
use super::vm::Effects;
use super::world::World;
use super::write::{Outcome, Write};

impl World {
    pub(super) fn settle(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Acked { key, mark, since } => {
                self.ledger.ack(self.now, key, mark, since);
                self.read_back(key, mark);
            }
            Outcome::NotRun { key } => self.ledger.refuse(key),
            Outcome::Unknown { key } => {
                self.ledger.unknown += 1;
                self.reopen(key);
            }
            Outcome::Served { key, visible } => self.ledger.serve(key, visible),
        }
    }

    /// Reads a key through some VM at some upstream, under the session's token.
    fn read_back(&mut self, key: u64, token: LogPosition) {
        let Some(vm) = self.some_vm() else {
            return;
        };
        let upstream = self.rng.below(UPSTREAMS as u64) as usize;
        let mut effects = Effects::default();
        let read = Request::Read { key, token };
        self.vms[vm].read(self.now, upstream, read, &mut effects);
        self.run_effects(vm, effects);
    }

    /// Repeats a write whose outcome is unknown, or asks for its outcome, at some VM.
    pub(super) fn reopen(&mut self, key: u64) {
        let Some(vm) = self.some_vm() else {
            return;
        };
        let cancels = self.rng.below(2) == 0;
        let write = Write::reopen(key, cancels, self.now + self.options.patience);
        self.start(vm, write);
    }

    pub(super) fn write(&mut self) {
        let pause = self.options.write_pause;
        let next = pause / 2 + self.rng.jitter(pause);
        self.queue.push(self.now + next, Item::Write);
        let Some(vm) = self.some_vm().filter(|_vm| self.writing) else {
            return;
        };
        self.next_key += 1;
        self.ledger.begin(self.now, self.next_key);
        let patience = self.options.patience + self.rng.jitter(self.options.patience_spread);
        let write = Write::open(self.next_key, self.now + patience);
        self.start(vm, write);
    }

    pub(super) fn start(&mut self, vm: usize, write: Write) {
        let mut effects = Effects::default();
        self.vms[vm].start(self.now, write, &mut effects);
        self.run_effects(vm, effects);
    }

    /// Returns a VM that runs; callers of others go through the load balancer to it.
    pub(super) fn some_vm(&mut self) -> Option<usize> {
        let runs = |index: &usize| {
            let slot = &self.slots[UPSTREAMS + index];
            !slot.down && !slot.frozen
        };
        let running: Vec<usize> = (0..self.vms.len()).filter(runs).collect();
        let pick = self.rng.below(running.len() as u64) as usize;
        running.get(pick).copied()
    }
}
