//! Kinds of work as the current policy declares them.

use super::kind::KindState;
use super::policy::KindPolicy;
use super::scheduler::Scheduler;
use crate::types::Rank;

impl Scheduler {
    /// Takes over the kinds of a policy; kinds that it no longer names keep their jobs.
    pub(super) fn declare(&mut self, kinds: &[KindPolicy]) {
        for kind in &mut self.kinds {
            kind.declared = false;
        }
        for rules in kinds {
            self.declare_kind(rules);
        }
        self.names.clear();
        self.recount();
    }

    fn declare_kind(&mut self, rules: &KindPolicy) {
        let known = |kind: &KindState| kind.rules.kind == rules.kind;
        if let Some(kind) = self.kinds.iter_mut().find(|kind| known(kind)) {
            kind.rules = rules.clone();
            kind.declared = true;
            return;
        }
        let opened = KindState::open(rules);
        match self.kinds.iter_mut().find(|kind| kind.vacant()) {
            Some(kind) => *kind = opened,
            None => self.kinds.push(opened),
        }
    }

    /// Derives names and counts of ranks from the kinds.
    fn recount(&mut self) {
        self.ranks.iter_mut().for_each(Vec::clear);
        self.queued = [0; Rank::COUNT];
        self.running = [0; Rank::COUNT];
        for (at, kind) in self.kinds.iter().enumerate() {
            let rank = kind.rules.rank.index();
            self.ranks[rank].push(at);
            self.queued[rank] += kind.queue.len();
            self.running[rank] += kind.running;
            if kind.declared {
                self.names.insert(kind.rules.kind.clone(), at);
            }
        }
    }
}
