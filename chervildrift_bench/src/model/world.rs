//! Virtual time, the parties and what happens to them.

use std::time::Duration;

use chervildrift_core::failover::Limits;
use chervildrift_core::rng::Rng;
use chervildrift_core::types::Time;

use super::fault::UPSTREAMS;
use super::ledger::Ledger;
use super::message::Party;
use super::network::Network;
use super::node::Node;
use super::queue::{Item, Queue, Slot, Work};
use super::vm::{Rule, VmState};

/// Time between two ticks of a VM.
pub(super) const TICK: Duration = Duration::from_millis(20);

/// Time between two pulls of a replica.
pub(super) const PULL: Duration = Duration::from_millis(5);

/// Time after which a call without an answer counts as failed.
pub(super) const CALL_LIMIT: Duration = Duration::from_millis(300);

/// Greatest extra delay of a slow message.
pub(super) const SLOW_TAIL: Duration = Duration::from_millis(400);

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the run.
    pub seed: u64,
    /// Number of candidate VMs.
    pub vms: usize,
    /// When writes are acknowledged.
    pub rule: Rule,
    /// Time limits of the candidates.
    pub limits: Limits,
    /// Network between the parties.
    pub network: Network,
    /// Mean time between two writes.
    pub write_pause: Duration,
    /// Shortest time after which a caller gives up a write.
    pub patience: Duration,
    /// Spread of that time above the shortest.
    pub patience_spread: Duration,
}

/// A group, its VMs and its callers in virtual time.
#[derive(Debug)]
pub struct World {
    /// Current time.
    pub now: Time,
    /// What really happened.
    pub ledger: Ledger,
    /// Upstreams of the group.
    pub nodes: Vec<Node>,
    /// VMs.
    pub vms: Vec<VmState>,
    /// Network between the parties.
    pub network: Network,
    /// Number of events so far.
    pub events: u64,
    pub(super) options: Options,
    pub(super) rng: Rng,
    pub(super) queue: Queue,
    pub(super) slots: Vec<Slot>,
    pub(super) next_key: u64,
    pub(super) writing: bool,
}

impl World {
    /// Opens a group without a primary.
    #[must_use]
    pub fn open(options: Options) -> Self {
        let mut rng = Rng::new(options.seed);
        let vms = (0..options.vms)
            .map(|index| VmState::open(index, 0, options.rule, options.limits, rng.next()));
        let vms: Vec<_> = vms.collect();
        let mut world = Self {
            now: Time(0),
            ledger: Ledger::default(),
            nodes: (0..UPSTREAMS).map(|_index| Node::default()).collect(),
            slots: (0..UPSTREAMS + vms.len())
                .map(|_index| Slot::default())
                .collect(),
            vms,
            network: options.network.clone(),
            events: 0,
            options,
            rng,
            queue: Queue::default(),
            next_key: 0,
            writing: true,
        };
        world.start_timers();
        world
    }

    /// Runs until `end`.
    pub fn run(&mut self, end: Time) {
        while let Some((at, item)) = self.queue.pop(end) {
            self.now = at;
            self.events += 1;
            self.take(item);
        }
        self.now = end;
    }

    /// Runs for `span`.
    pub fn run_for(&mut self, span: Duration) {
        self.run(self.now + span);
    }

    /// Stops or starts new writes.
    pub const fn set_writing(&mut self, writing: bool) {
        self.writing = writing;
    }

    /// Returns the upstream that takes writes in the highest term, if there is one.
    #[must_use]
    pub fn primary(&self) -> Option<usize> {
        let leads = (0..self.nodes.len()).filter(|&index| self.nodes[index].leads());
        leads.max_by_key(|&index| self.nodes[index].received().term)
    }

    /// Returns the number of writes without an outcome.
    #[must_use]
    pub fn open_writes(&self) -> usize {
        self.vms.iter().map(|vm| vm.writes.len()).sum()
    }

    fn start_timers(&mut self) {
        for index in 0..self.nodes.len() {
            self.schedule(Party::Upstream(index), Work::Pull, PULL);
        }
        for index in 0..self.vms.len() {
            self.schedule(Party::Vm(index), Work::Tick, TICK);
        }
        self.queue.push(self.now, Item::Write);
    }

    pub(super) fn take(&mut self, item: Item) {
        match item {
            Item::Work { party, epoch, work } => self.deliver(party, epoch, work),
            Item::Write => self.write(),
            Item::Thaw(party) => self.thaw(party),
            Item::Return(party) => self.restart(party),
            Item::Heal(party, others) => {
                for other in others {
                    self.network.cut(party, other, false);
                }
            }
            Item::Calm => {
                self.network.loss = self.options.network.loss;
                self.network.slow = self.options.network.slow;
                self.network.tail = self.options.network.tail;
            }
            Item::Catch(index) => {
                self.nodes[index].set_lag(self.now, Duration::ZERO, Duration::ZERO);
            }
            Item::Stay(index) => self.set_leaving(index, false),
        }
    }

    pub(super) fn deliver(&mut self, party: Party, epoch: u32, work: Work) {
        let slot = self.slot(party);
        if slot.down || slot.epoch != epoch {
            return;
        }
        if slot.frozen {
            slot.inbox.push_back(work);
            return;
        }
        match party {
            Party::Upstream(index) => self.work_upstream(index, work),
            Party::Vm(index) => self.work_vm(index, work),
        }
    }

    pub(super) fn send(&mut self, from: Party, to: Party, work: Work, pause: Duration) {
        if let Some(delay) = self.network.carry(from, to, &mut self.rng) {
            self.schedule(to, work, delay + pause);
        }
    }

    pub(super) fn schedule(&mut self, party: Party, work: Work, delay: Duration) {
        let epoch = self.slot(party).epoch;
        let item = Item::Work { party, epoch, work };
        self.queue.push(self.now + delay, item);
    }

    pub(super) fn slot(&mut self, party: Party) -> &mut Slot {
        match party {
            Party::Upstream(index) => &mut self.slots[index],
            Party::Vm(index) => &mut self.slots[UPSTREAMS + index],
        }
    }
}
