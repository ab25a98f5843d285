//! Start and end of faults.

use chervildrift_core::failover::Event;

use super::fault::Fault;
use super::message::Party;
use super::queue::{Task, WorldEvent};
use super::vm::{Effects, FakeVm};
use super::world::{MAX_SLOW_DELAY, PULL_PERIOD, TICK_PERIOD, World};

impl World {
    /// Starts a fault and schedules its end.
    pub fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Crash(party, span) => {
                self.crash(party);
                self.queue.push(self.now + span, WorldEvent::Restart(party));
            }
            Fault::Freeze(party, span) => {
                self.party_state(party).frozen = true;
                self.queue
                    .push(self.now + span, WorldEvent::Unfreeze(party));
            }
            Fault::Partition(party, others, span) => {
                for &other in &others {
                    self.network.set_cut(party, other, true);
                }
                self.queue
                    .push(self.now + span, WorldEvent::RestoreLinks(party, others));
            }
            Fault::MessageLoss(share, span) => {
                self.network.loss_share = share;
                self.queue.push(self.now + span, WorldEvent::RestoreNetwork);
            }
            Fault::MessageDelay(share, span) => {
                self.network.delay_share = share;
                self.network.max_delay = MAX_SLOW_DELAY;
                self.queue.push(self.now + span, WorldEvent::RestoreNetwork);
            }
            Fault::Lag(index, lag, span) => {
                self.upstreams[index].set_lag(self.now, lag, lag + lag / 2);
                self.queue
                    .push(self.now + span, WorldEvent::ClearLag(index));
            }
            Fault::Leave(index, span) => {
                self.set_leaving(index, true);
                self.queue
                    .push(self.now + span, WorldEvent::CancelLeave(index));
            }
        }
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.network.heal();
        for index in 0..self.upstreams.len() {
            self.handle(WorldEvent::ClearLag(index));
            self.handle(WorldEvent::CancelLeave(index));
        }
        let upstreams = (0..self.upstreams.len()).map(Party::Upstream);
        let vms = (0..self.vms.len()).map(Party::Vm);
        for party in upstreams.chain(vms).collect::<Vec<_>>() {
            self.handle(WorldEvent::Restart(party));
            self.handle(WorldEvent::Unfreeze(party));
        }
    }

    pub(super) fn set_leaving(&mut self, index: usize, leaving: bool) {
        for vm in 0..self.vms.len() {
            let mut effects = Effects::default();
            let event = Event::Leaving { index, leaving };
            self.vms[vm].handle_event(self.now, event, &mut effects);
            self.run_effects(vm, effects);
        }
    }

    fn crash(&mut self, party: Party) {
        let party_state = self.party_state(party);
        party_state.down = true;
        party_state.frozen = false;
        party_state.epoch += 1;
        party_state.inbox.clear();
        if let Party::Vm(index) = party {
            let writes = std::mem::take(&mut self.vms[index].writes);
            for write in writes {
                self.ledger.unknown_outcomes += 1;
                self.retry_unknown(write.key);
            }
        }
    }

    pub(super) fn restart(&mut self, party: Party) {
        if !std::mem::take(&mut self.party_state(party).down) {
            return;
        }
        let boot = u64::from(self.party_state(party).epoch);
        match party {
            Party::Upstream(index) => {
                self.upstreams[index].restart();
                self.schedule(party, Task::Pull, PULL_PERIOD);
            }
            Party::Vm(index) => {
                let (rule, limits) = (self.options.rule, self.options.limits);
                self.vms[index] = FakeVm::new(index, boot, rule, limits, self.rng.next());
                self.schedule(party, Task::Tick, TICK_PERIOD);
            }
        }
    }

    pub(super) fn unfreeze(&mut self, party: Party) {
        let party_state = self.party_state(party);
        party_state.frozen = false;
        let epoch = party_state.epoch;
        for task in std::mem::take(&mut party_state.inbox) {
            self.deliver(party, epoch, task);
        }
    }
}
