//! Event loop of a group, its VMs and its callers in virtual time.

use std::time::Duration;

use chervildrift_core::failover::Limits;
use chervildrift_core::rng::Rng;
use chervildrift_core::types::Time;

use super::fault::UPSTREAMS;
use super::ledger::Ledger;
use super::message::Party;
use super::network::Network;
use super::queue::{EventQueue, PartyState, Task, WorldEvent};
use super::upstream::FakeUpstream;
use super::vm::{FakeVm, Rule};

/// Time between two ticks of a VM.
pub(super) const TICK_PERIOD: Duration = Duration::from_millis(20);

/// Time between two pulls of a replica.
pub(super) const PULL_PERIOD: Duration = Duration::from_millis(5);

/// Time after which a call without an answer counts as failed.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Greatest extra delay of a message during a message delay fault.
pub(super) const MAX_SLOW_DELAY: Duration = Duration::from_millis(400);

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
    pub write_interval: Duration,
    /// Shortest time after which a caller gives up a write.
    pub write_timeout: Duration,
    /// Greatest random addition to that time.
    pub write_timeout_spread: Duration,
}

/// A group, its VMs and its callers in virtual time.
#[derive(Debug)]
pub struct World {
    /// Current time.
    pub now: Time,
    /// Record of what happened.
    pub ledger: Ledger,
    /// Upstreams of the group.
    pub upstreams: Vec<FakeUpstream>,
    /// VMs.
    pub vms: Vec<FakeVm>,
    /// Network between the parties.
    pub network: Network,
    /// Number of events so far.
    pub events: u64,
    pub(super) options: Options,
    pub(super) rng: Rng,
    pub(super) queue: EventQueue,
    pub(super) party_states: Vec<PartyState>,
    pub(super) next_key: u64,
    pub(super) writing: bool,
}

impl World {
    /// Creates a group without a primary.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let mut rng = Rng::new(options.seed);
        let vms = (0..options.vms)
            .map(|index| FakeVm::new(index, 0, options.rule, options.limits, rng.next()));
        let vms: Vec<_> = vms.collect();
        let mut world = Self {
            now: Time(0),
            ledger: Ledger::default(),
            upstreams: (0..UPSTREAMS)
                .map(|_index| FakeUpstream::default())
                .collect(),
            party_states: (0..UPSTREAMS + vms.len())
                .map(|_index| PartyState::default())
                .collect(),
            vms,
            network: options.network.clone(),
            events: 0,
            options,
            rng,
            queue: EventQueue::default(),
            next_key: 0,
            writing: true,
        };
        world.start_timers();
        world
    }

    /// Runs until the time `end`.
    pub fn run(&mut self, end: Time) {
        while let Some((at, event)) = self.queue.pop(end) {
            self.now = at;
            self.events += 1;
            self.handle(event);
        }
        self.now = end;
    }

    /// Runs for the duration `span`.
    pub fn run_for(&mut self, span: Duration) {
        self.run(self.now + span);
    }

    /// Stops or starts new writes.
    pub const fn set_writing(&mut self, writing: bool) {
        self.writing = writing;
    }

    /// Returns the upstream that accepts writes in the highest term, if there is one.
    #[must_use]
    pub fn primary(&self) -> Option<usize> {
        let writable =
            (0..self.upstreams.len()).filter(|&index| self.upstreams[index].accepts_writes());
        writable.max_by_key(|&index| self.upstreams[index].received().term)
    }

    /// Returns the number of writes without an outcome.
    #[must_use]
    pub fn open_writes(&self) -> usize {
        self.vms.iter().map(|vm| vm.writes.len()).sum()
    }

    fn start_timers(&mut self) {
        for index in 0..self.upstreams.len() {
            self.schedule(Party::Upstream(index), Task::Pull, PULL_PERIOD);
        }
        for index in 0..self.vms.len() {
            self.schedule(Party::Vm(index), Task::Tick, TICK_PERIOD);
        }
        self.queue.push(self.now, WorldEvent::StartWrite);
    }

    pub(super) fn handle(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Task { party, epoch, task } => self.deliver(party, epoch, task),
            WorldEvent::StartWrite => self.generate_write(),
            WorldEvent::Unfreeze(party) => self.unfreeze(party),
            WorldEvent::Restart(party) => self.restart(party),
            WorldEvent::RestoreLinks(party, others) => {
                for other in others {
                    self.network.set_cut(party, other, false);
                }
            }
            WorldEvent::RestoreNetwork => {
                self.network.loss_share = self.options.network.loss_share;
                self.network.delay_share = self.options.network.delay_share;
                self.network.max_delay = self.options.network.max_delay;
            }
            WorldEvent::ClearLag(index) => {
                self.upstreams[index].set_lag(self.now, Duration::ZERO, Duration::ZERO);
            }
            WorldEvent::CancelLeave(index) => self.set_leaving(index, false),
        }
    }

    pub(super) fn deliver(&mut self, party: Party, epoch: u32, task: Task) {
        let party_state = self.party_state(party);
        if party_state.down || party_state.epoch != epoch {
            return;
        }
        if party_state.frozen {
            party_state.inbox.push_back(task);
            return;
        }
        match party {
            Party::Upstream(index) => self.run_upstream_task(index, task),
            Party::Vm(index) => self.run_vm_task(index, task),
        }
    }

    pub(super) fn send(&mut self, from: Party, to: Party, task: Task, extra_delay: Duration) {
        if let Some(delay) = self.network.transit_time(from, to, &mut self.rng) {
            self.schedule(to, task, delay + extra_delay);
        }
    }

    pub(super) fn schedule(&mut self, party: Party, task: Task, delay: Duration) {
        let epoch = self.party_state(party).epoch;
        let event = WorldEvent::Task { party, epoch, task };
        self.queue.push(self.now + delay, event);
    }

    pub(super) fn party_state(&mut self, party: Party) -> &mut PartyState {
        match party {
            Party::Upstream(index) => &mut self.party_states[index],
            Party::Vm(index) => &mut self.party_states[UPSTREAMS + index],
        }
    }
}
