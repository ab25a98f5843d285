//! Callers of the group: random writes, retries of unknown outcomes, and reads after writes.

use chervildrift_core::types::LogPosition;

use super::fault::UPSTREAMS;
use super::message::Request;
use super::queue::WorldEvent;
use super::vm::Effects;
use super::world::World;
use super::write::{Outcome, Write};

impl World {
    pub(super) fn record_outcome(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Acked {
                key,
                position,
                written_at,
            } => {
                self.ledger.record_ack(self.now, key, position, written_at);
                self.read_back(key, position);
            }
            Outcome::NotRun { key } => self.ledger.record_not_run(key),
            Outcome::Unknown { key } => {
                self.ledger.unknown_outcomes += 1;
                self.retry_unknown(key);
            }
            Outcome::Served { key, visible } => self.ledger.check_read(key, visible),
        }
    }

    /// Reads a key through a random VM at a random upstream, with a minimum position.
    fn read_back(&mut self, key: u64, min_position: LogPosition) {
        let Some(vm) = self.random_running_vm() else {
            return;
        };
        let upstream = self.rng.below(UPSTREAMS as u64) as usize;
        let mut effects = Effects::default();
        let read = Request::Read { key, min_position };
        self.vms[vm].read(self.now, upstream, read, &mut effects);
        self.run_effects(vm, effects);
    }

    /// Retries a write whose outcome is unknown at a random VM, or cancels it to learn the outcome.
    pub(super) fn retry_unknown(&mut self, key: u64) {
        let Some(vm) = self.random_running_vm() else {
            return;
        };
        let is_cancel = self.rng.below(2) == 0;
        let write = Write::retry(key, is_cancel, self.now + self.options.write_timeout);
        self.start_write(vm, write);
    }

    pub(super) fn generate_write(&mut self) {
        let interval = self.options.write_interval;
        let delay = interval / 2 + self.rng.jitter(interval);
        self.queue.push(self.now + delay, WorldEvent::StartWrite);
        let Some(vm) = self.random_running_vm().filter(|_vm| self.writing) else {
            return;
        };
        self.next_key += 1;
        self.ledger.record_start(self.now, self.next_key);
        let write_timeout =
            self.options.write_timeout + self.rng.jitter(self.options.write_timeout_spread);
        let write = Write::new(self.next_key, self.now + write_timeout);
        self.start_write(vm, write);
    }

    pub(super) fn start_write(&mut self, vm: usize, write: Write) {
        let mut effects = Effects::default();
        self.vms[vm].start_write(self.now, write, &mut effects);
        self.run_effects(vm, effects);
    }

    /// Returns a random running VM, as a load balancer in front of the VMs would.
    pub(super) fn random_running_vm(&mut self) -> Option<usize> {
        let runs = |index: &usize| {
            let party_state = &self.party_states[UPSTREAMS + index];
            !party_state.down && !party_state.frozen
        };
        let running: Vec<usize> = (0..self.vms.len()).filter(runs).collect();
        let pick = self.rng.below(running.len() as u64) as usize;
        running.get(pick).copied()
    }
}
