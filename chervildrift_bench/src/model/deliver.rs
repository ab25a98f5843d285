//! Work of the parties.

use std::time::Duration;

use chervildrift_core::types::Time;

use super::ledger::Change;
use super::message::{Party, Request};
use super::queue::Work;
use super::vm::{Effects, IDENTITIES, Rule};
use super::world::{CALL_LIMIT, PULL, TICK, World};

impl World {
    pub(super) fn work_upstream(&mut self, index: usize, work: Work) {
        let me = Party::Upstream(index);
        match work {
            Work::Request { from, id, request } => self.answer(index, from, id, request),
            Work::Pull => {
                if let Some((primary, request)) = self.nodes[index].pull(self.now) {
                    let to = Party::Upstream(primary);
                    let work = Work::Request {
                        from: me,
                        id: 0,
                        request,
                    };
                    self.send(me, to, work, Duration::ZERO);
                }
                self.schedule(me, Work::Pull, PULL);
            }
            Work::Pulled { from, reply } => self.nodes[index].take(self.now, from, &reply),
            Work::Tick | Work::Reply { .. } | Work::Expire { .. } => {}
        }
    }

    fn answer(&mut self, index: usize, from: Party, id: u64, request: Request) {
        let lag = match from {
            Party::Upstream(replica) => self.nodes[replica].receive_lag(),
            Party::Vm(_) => Duration::ZERO,
        };
        let led = self.nodes[index].leads();
        let reply = self.nodes[index].handle(self.now, request, lag);
        if !led && self.nodes[index].leads() {
            self.note_promotion(index, request);
        }
        let work = match from {
            Party::Upstream(_) => Work::Pulled { from: index, reply },
            Party::Vm(_) => Work::Reply { id, reply },
        };
        let service = self.network.service;
        self.send(Party::Upstream(index), from, work, service);
    }

    fn note_promotion(&mut self, index: usize, request: Request) {
        let Request::Promote { term, promoter } = request else {
            return;
        };
        let [checked, fencing, promoting] = self.vms[(promoter / IDENTITIES) as usize].entered;
        let change = Change {
            term,
            upstream: index,
            checked,
            fencing,
            promoting,
            taken: self.now,
            acked: None,
        };
        let strict = self.options.rule == Rule::Majority;
        self.ledger.promote(change, &self.nodes[index], strict);
    }

    pub(super) fn work_vm(&mut self, index: usize, work: Work) {
        let mut effects = Effects::default();
        let before = self.vms[index].view().confirmed();
        let term = self.vms[index].view().term();
        match work {
            Work::Tick => {
                self.vms[index].tick(self.now, &mut effects);
                self.share_acked(index);
                self.check_ages(index);
                self.schedule(Party::Vm(index), Work::Tick, TICK);
            }
            Work::Reply { id, reply } => {
                self.vms[index].end(self.now, id, Some(reply), &mut effects);
            }
            Work::Expire { id } => self.vms[index].end(self.now, id, None, &mut effects),
            Work::Pull | Work::Request { .. } | Work::Pulled { .. } => {}
        }
        if term == self.vms[index].view().term() {
            let after = self.vms[index].view().confirmed();
            self.ledger.confirm(before, after);
        }
        self.run_effects(index, effects);
    }

    pub(super) fn run_effects(&mut self, index: usize, effects: Effects) {
        let me = Party::Vm(index);
        for (id, upstream, request, pause) in effects.calls {
            let work = Work::Request {
                from: me,
                id,
                request,
            };
            self.send(me, Party::Upstream(upstream), work, pause);
            self.schedule(me, Work::Expire { id }, CALL_LIMIT + pause);
        }
        for outcome in effects.outcomes {
            self.settle(outcome);
        }
    }

    /// Tells the other VMs the greatest acknowledged mark, for the gated rule.
    pub(super) fn share_acked(&mut self, from: usize) {
        if self.options.rule != Rule::Gated {
            return;
        }
        let acked = self.vms[from].acked;
        for to in 0..self.vms.len() {
            let link = (Party::Vm(from), Party::Vm(to));
            if self.network.carry(link.0, link.1, &mut self.rng).is_some() {
                self.vms[to].acked = self.vms[to].acked.max(acked);
            }
        }
    }

    pub(super) fn check_ages(&mut self, vm: usize) {
        for index in 0..self.nodes.len() {
            let Some(age) = self.vms[vm].view().data_age(self.now, index) else {
                continue;
            };
            let complete = Time(self.now.0.saturating_sub(age.as_micros() as u64));
            self.ledger
                .check_age(self.now, &self.nodes[index], complete);
        }
    }
}
