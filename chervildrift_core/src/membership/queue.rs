//! Changes that wait to be piggybacked.

use std::collections::VecDeque;

use crate::types::Vm;

/// How far a change spreads.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Scope {
    /// The availability zone of the VM concerned, for suspicions and their refutations.
    Zone,
    /// All availability zones.
    Fleet,
}

/// One change due, told by the VM's name; its content is read when it is sent.
#[derive(Clone, Debug)]
pub(super) struct Due {
    pub vm: Vm,
    pub zone: u16,
    pub scope: Scope,
    pub left: u8,
}

/// Changes due, the least often sent first.
#[derive(Debug, Default)]
pub(super) struct Queue {
    due: VecDeque<Due>,
}

impl Queue {
    pub fn is_empty(&self) -> bool {
        self.due.is_empty()
    }

    pub fn len(&self) -> usize {
        self.due.len()
    }

    /// Adds a change before all others. It replaces an older one of the same VM and keeps the
    /// wider scope of the two.
    pub fn push(&mut self, mut due: Due) {
        if let Some(index) = self.due.iter().position(|other| other.vm == due.vm) {
            let older = self.due.remove(index);
            due.scope = due
                .scope
                .max(older.map_or(Scope::Zone, |older| older.scope));
        }
        self.due.push_front(due);
    }

    /// Takes changes for a VM in `zone` while `take` accepts them, and counts them as sent.
    pub fn fill(&mut self, zone: u16, mut take: impl FnMut(&Vm) -> bool) {
        for _ in 0..self.due.len() {
            let Some(mut next) = self.due.pop_front() else {
                return;
            };
            if next.scope == Scope::Zone && next.zone != zone {
                self.due.push_back(next);
                continue;
            }
            if !take(&next.vm) {
                self.due.push_front(next);
                return;
            }
            next.left -= 1;
            if next.left > 0 {
                self.due.push_back(next);
            }
        }
    }
}
