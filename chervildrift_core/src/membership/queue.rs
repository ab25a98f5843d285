//! Queue of the changes that are piggybacked on messages.

use std::collections::VecDeque;

use crate::types::Vm;

/// Part of the fleet that a change is sent to.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Scope {
    /// The availability zone of the VM concerned, for suspicions and their refutations.
    Zone,
    /// All availability zones.
    Fleet,
}

/// Pending change of one VM. It holds only the name, since the state is read when it is sent.
#[derive(Clone, Debug)]
pub(super) struct PendingChange {
    pub vm: Vm,
    pub zone: u16,
    pub scope: Scope,
    pub sends_left: u8,
}

/// Pending changes, those sent least often first.
#[derive(Debug, Default)]
pub(super) struct Queue {
    zone: VecDeque<PendingChange>,
    fleet: VecDeque<PendingChange>,
}

impl Queue {
    pub fn is_empty(&self) -> bool {
        self.zone.is_empty() && self.fleet.is_empty()
    }

    pub fn len(&self) -> usize {
        self.zone.len() + self.fleet.len()
    }

    /// Adds a change in front of all others of its scope. It replaces an older change of the same
    /// VM and keeps the wider of the two scopes.
    pub fn push(&mut self, mut change: PendingChange) {
        self.zone.retain(|other| other.vm != change.vm);
        let older = self.fleet.iter().position(|other| other.vm == change.vm);
        if let Some(index) = older {
            self.fleet.remove(index);
            change.scope = Scope::Fleet;
        }
        match change.scope {
            Scope::Zone => self.zone.push_front(change),
            Scope::Fleet => self.fleet.push_front(change),
        }
    }

    /// Takes changes for a VM in `zone` while `accept` accepts them, and counts them as sent. Those
    /// of the availability zone come first, since a suspected VM has little time to refute.
    pub fn take_for(&mut self, zone: u16, mut accept: impl FnMut(&Vm, Scope) -> bool) {
        rotate(&mut self.zone, |change| change.zone == zone, &mut accept);
        rotate(&mut self.fleet, |_| true, &mut accept);
    }
}

fn rotate(
    queue: &mut VecDeque<PendingChange>,
    is_eligible: impl Fn(&PendingChange) -> bool,
    accept: &mut impl FnMut(&Vm, Scope) -> bool,
) {
    for _ in 0..queue.len() {
        let Some(mut next) = queue.pop_front() else {
            return;
        };
        if !is_eligible(&next) {
            queue.push_back(next);
            continue;
        }
        if !accept(&next.vm, next.scope) {
            queue.push_front(next);
            return;
        }
        next.sends_left -= 1;
        if next.sends_left > 0 {
            queue.push_back(next);
        }
    }
}
