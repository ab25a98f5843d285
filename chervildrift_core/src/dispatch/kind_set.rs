//! Updates the kinds of work to those of a new policy.

use super::kind_state::KindState;
use super::policy::KindPolicy;
use super::scheduler::Scheduler;
use crate::types::Rank;

impl Scheduler {
    /// Applies the kinds of a policy; a kind that it no longer declares keeps its jobs.
    pub(super) fn set_kinds(&mut self, kinds: &[KindPolicy]) {
        for kind in &mut self.kinds {
            kind.declared = false;
        }
        for policy in kinds {
            self.set_kind(policy);
        }
        self.kind_indexes.clear();
        self.rebuild_indexes();
    }

    fn set_kind(&mut self, policy: &KindPolicy) {
        let known = |kind: &KindState| kind.policy.kind == policy.kind;
        if let Some(kind) = self.kinds.iter_mut().find(|kind| known(kind)) {
            kind.policy = policy.clone();
            kind.declared = true;
            return;
        }
        let state = KindState::new(policy);
        match self.kinds.iter_mut().find(|kind| kind.is_unused()) {
            Some(kind) => *kind = state,
            None => self.kinds.push(state),
        }
    }

    /// Rebuilds the indexes by name and rank and the job counts of the ranks.
    fn rebuild_indexes(&mut self) {
        self.rank_kinds.iter_mut().for_each(Vec::clear);
        self.queued = [0; Rank::COUNT];
        self.running = [0; Rank::COUNT];
        for (index, kind) in self.kinds.iter().enumerate() {
            let rank = kind.policy.rank.index();
            self.rank_kinds[rank].push(index);
            self.queued[rank] += kind.queue.len();
            self.running[rank] += kind.running;
            if kind.declared {
                self.kind_indexes.insert(kind.policy.kind.clone(), index);
            }
        }
    }
}
