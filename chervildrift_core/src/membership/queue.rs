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
    zone: VecDeque<Due>,
    fleet: VecDeque<Due>,
}

impl Queue {
    pub fn is_empty(&self) -> bool {
        self.zone.is_empty() && self.fleet.is_empty()
    }

    pub fn len(&self) -> usize {
        self.zone.len() + self.fleet.len()
    }

    /// Adds a change before all others of its scope. It replaces an older one of the same VM and
    /// keeps the wider scope of the two.
    pub fn push(&mut self, mut due: Due) {
        self.zone.retain(|other| other.vm != due.vm);
        let older = self.fleet.iter().position(|other| other.vm == due.vm);
        if let Some(index) = older {
            self.fleet.remove(index);
            due.scope = Scope::Fleet;
        }
        match due.scope {
            Scope::Zone => self.zone.push_front(due),
            Scope::Fleet => self.fleet.push_front(due),
        }
    }

    /// Takes changes for a VM in `zone` while `take` accepts them, and counts them as sent. Those
    /// of the availability zone come first, since a suspected VM has little time to refute.
    pub fn fill(&mut self, zone: u16, mut take: impl FnMut(&Vm, Scope) -> bool) {
        rotate(&mut self.zone, |due| due.zone == zone, &mut take);
        rotate(&mut self.fleet, |_| true, &mut take);
    }
}

fn rotate(
    queue: &mut VecDeque<Due>,
    fits: impl Fn(&Due) -> bool,
    take: &mut impl FnMut(&Vm, Scope) -> bool,
) {
    for _ in 0..queue.len() {
        let Some(mut next) = queue.pop_front() else {
            return;
        };
        if !fits(&next) {
            queue.push_back(next);
            continue;
        }
        if !take(&next.vm, next.scope) {
            queue.push_front(next);
            return;
        }
        next.left -= 1;
        if next.left > 0 {
            queue.push_back(next);
        }
    }
}
