//! Begin and end of faults.

use chervildrift_core::failover::Event;

use super::fault::Fault;
use super::message::Party;
use super::queue::{Item, Work};
use super::vm::{Effects, VmState};
use super::world::{PULL, SLOW_TAIL, TICK, World};

impl World {
    /// Begins a fault.
    pub fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Crash(party, span) => {
                self.crash(party);
                self.queue.push(self.now + span, Item::Return(party));
            }
            Fault::Freeze(party, span) => {
                self.slot(party).frozen = true;
                self.queue.push(self.now + span, Item::Thaw(party));
            }
            Fault::Cut(party, others, span) => {
                for &other in &others {
                    self.network.cut(party, other, true);
                }
                self.queue.push(self.now + span, Item::Heal(party, others));
            }
            Fault::Lossy(share, span) => {
                self.network.loss = share;
                self.queue.push(self.now + span, Item::Calm);
            }
            Fault::Slow(share, span) => {
                self.network.slow = share;
                self.network.tail = SLOW_TAIL;
                self.queue.push(self.now + span, Item::Calm);
            }
            Fault::Lag(index, lag, span) => {
                self.nodes[index].set_lag(self.now, lag, lag + lag / 2);
                self.queue.push(self.now + span, Item::Catch(index));
            }
            Fault::Leave(index, span) => {
                self.set_leaving(index, true);
                self.queue.push(self.now + span, Item::Stay(index));
            }
        }
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.network.heal();
        for index in 0..self.nodes.len() {
            self.take(Item::Catch(index));
            self.take(Item::Stay(index));
        }
        let upstreams = (0..self.nodes.len()).map(Party::Upstream);
        let vms = (0..self.vms.len()).map(Party::Vm);
        for party in upstreams.chain(vms).collect::<Vec<_>>() {
            self.take(Item::Return(party));
            self.take(Item::Thaw(party));
        }
    }

    pub(super) fn set_leaving(&mut self, index: usize, leaving: bool) {
        for vm in 0..self.vms.len() {
            let mut effects = Effects::default();
            let event = Event::Leaving { index, leaving };
            self.vms[vm].event(self.now, event, &mut effects);
            self.run_effects(vm, effects);
        }
    }

    fn crash(&mut self, party: Party) {
        let slot = self.slot(party);
        slot.down = true;
        slot.frozen = false;
        slot.epoch += 1;
        slot.inbox.clear();
        if let Party::Vm(index) = party {
            let writes = std::mem::take(&mut self.vms[index].writes);
            for write in writes {
                self.ledger.unknown += 1;
                self.reopen(write.key);
            }
        }
    }

    pub(super) fn restart(&mut self, party: Party) {
        if !std::mem::take(&mut self.slot(party).down) {
            return;
        }
        let start = u64::from(self.slot(party).epoch);
        match party {
            Party::Upstream(index) => {
                self.nodes[index].restart();
                self.schedule(party, Work::Pull, PULL);
            }
            Party::Vm(index) => {
                let (rule, limits) = (self.options.rule, self.options.limits);
                self.vms[index] = VmState::open(index, start, rule, limits, self.rng.next());
                self.schedule(party, Work::Tick, TICK);
            }
        }
    }

    pub(super) fn thaw(&mut self, party: Party) {
        let slot = self.slot(party);
        slot.frozen = false;
        let epoch = slot.epoch;
        for work in std::mem::take(&mut slot.inbox) {
            self.deliver(party, epoch, work);
        }
    }
}
