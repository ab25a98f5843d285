//! Tasks of upstreams and VMs, and the messages that they send.

use std::time::Duration;

use chervildrift_core::types::Time;

use super::ledger::PrimaryChange;
use super::message::{Party, Request};
use super::queue::Task;
use super::vm::{Effects, IDENTITIES_PER_VM, Rule};
use super::world::{CALL_TIMEOUT, PULL_PERIOD, TICK_PERIOD, World};

impl World {
    pub(super) fn run_upstream_task(&mut self, index: usize, task: Task) {
        let me = Party::Upstream(index);
        match task {
            Task::Request { from, id, request } => self.answer(index, from, id, request),
            Task::Pull => {
                if let Some((primary, request)) = self.upstreams[index].start_pull(self.now) {
                    let to = Party::Upstream(primary);
                    let task = Task::Request {
                        from: me,
                        id: 0,
                        request,
                    };
                    self.send(me, to, task, Duration::ZERO);
                }
                self.schedule(me, Task::Pull, PULL_PERIOD);
            }
            Task::Pulled { from, reply } => self.upstreams[index].end_pull(self.now, from, &reply),
            Task::Tick | Task::Reply { .. } | Task::CallTimeout { .. } => {}
        }
    }

    fn answer(&mut self, index: usize, from: Party, id: u64, request: Request) {
        let lag = match from {
            Party::Upstream(replica) => self.upstreams[replica].receive_lag(),
            Party::Vm(_) => Duration::ZERO,
        };
        let accepted_writes = self.upstreams[index].accepts_writes();
        let reply = self.upstreams[index].handle(self.now, request, lag);
        if !accepted_writes && self.upstreams[index].accepts_writes() {
            self.record_promotion(index, request);
        }
        let task = match from {
            Party::Upstream(_) => Task::Pulled { from: index, reply },
            Party::Vm(_) => Task::Reply { id, reply },
        };
        let service_time = self.network.service_time;
        self.send(Party::Upstream(index), from, task, service_time);
    }

    fn record_promotion(&mut self, index: usize, request: Request) {
        let Request::Promote { term, promoter } = request else {
            return;
        };
        let [check_start, fence_start, promote_start] =
            self.vms[(promoter / IDENTITIES_PER_VM) as usize].phase_starts;
        let change = PrimaryChange {
            term,
            upstream: index,
            check_start,
            fence_start,
            promote_start,
            promoted_at: self.now,
            first_ack: None,
        };
        let strict = self.options.rule == Rule::Majority;
        self.ledger
            .record_promotion(change, &self.upstreams[index], strict);
    }

    pub(super) fn run_vm_task(&mut self, index: usize, task: Task) {
        let mut effects = Effects::default();
        let before = self.vms[index].view().confirmed();
        let term = self.vms[index].view().term();
        match task {
            Task::Tick => {
                self.vms[index].tick(self.now, &mut effects);
                self.share_acked_position(index);
                self.check_ages(index);
                self.schedule(Party::Vm(index), Task::Tick, TICK_PERIOD);
            }
            Task::Reply { id, reply } => {
                self.vms[index].end_call(self.now, id, Some(reply), &mut effects);
            }
            Task::CallTimeout { id } => self.vms[index].end_call(self.now, id, None, &mut effects),
            Task::Pull | Task::Request { .. } | Task::Pulled { .. } => {}
        }
        if term == self.vms[index].view().term() {
            let after = self.vms[index].view().confirmed();
            self.ledger.check_confirmed(before, after);
        }
        self.run_effects(index, effects);
    }

    pub(super) fn run_effects(&mut self, index: usize, effects: Effects) {
        let me = Party::Vm(index);
        for (id, upstream, request, delay) in effects.calls {
            let task = Task::Request {
                from: me,
                id,
                request,
            };
            self.send(me, Party::Upstream(upstream), task, delay);
            self.schedule(me, Task::CallTimeout { id }, CALL_TIMEOUT + delay);
        }
        for outcome in effects.outcomes {
            self.record_outcome(outcome);
        }
    }

    /// Sends the greatest acknowledged position to the other VMs, as [`Rule::Gated`] needs it.
    pub(super) fn share_acked_position(&mut self, from: usize) {
        if self.options.rule != Rule::Gated {
            return;
        }
        let acked_position = self.vms[from].acked_position;
        for to in 0..self.vms.len() {
            let link = (Party::Vm(from), Party::Vm(to));
            if self
                .network
                .transit_time(link.0, link.1, &mut self.rng)
                .is_some()
            {
                self.vms[to].acked_position = self.vms[to].acked_position.max(acked_position);
            }
        }
    }

    pub(super) fn check_ages(&mut self, vm: usize) {
        for index in 0..self.upstreams.len() {
            let Some(age) = self.vms[vm].view().data_age(self.now, index) else {
                continue;
            };
            let complete = Time(self.now.0.saturating_sub(age.as_micros() as u64));
            self.ledger
                .check_age(self.now, &self.upstreams[index], complete);
        }
    }
}
