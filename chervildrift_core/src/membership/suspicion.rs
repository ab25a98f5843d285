//! Suspicions and the time to refute them.

use super::Membership;
use super::message::{Change, Incarnation};
use crate::types::{Time, Vm};

/// A suspicion that its VM may still refute.
#[derive(Clone, Debug)]
pub(super) struct Suspicion {
    pub vm: Vm,
    pub incarnation: Incarnation,
    pub until: Time,
    pub own: Option<Raised>,
}

/// A suspicion's part that only the VM that raised it has.
#[derive(Clone, Copy, Debug)]
pub(super) struct Raised {
    pub first: u32,
    pub remind_at: Time,
}

impl Membership {
    /// Starts the time that a suspected VM has to refute.
    pub(super) fn await_refutation(&mut self, now: Time, change: &Change) {
        let near = self.table.get(&change.vm).map(|record| record.zone) == Some(self.zone);
        let wait = if near {
            self.limits.suspicion_timeout
        } else {
            self.limits.remote_suspicion
        };
        self.suspicions.push(Suspicion {
            vm: change.vm.clone(),
            incarnation: change.incarnation,
            until: now + wait,
            own: None,
        });
    }

    /// Probes a suspected VM again, which also tells it to refute.
    pub(super) fn remind(&mut self, now: Time, vm: &Vm) {
        let Some(record) = self.table.get(vm) else {
            return;
        };
        let near = record.zone == self.zone;
        let period = if near {
            self.limits.probe_period
        } else {
            self.limits.remote_timeout
        };
        let sequence = self.count_up();
        let Some(suspicion) = self.suspicions.iter_mut().find(|one| one.vm == *vm) else {
            return;
        };
        let first = suspicion.own.map_or(sequence, |raised| raised.first);
        let remind_at = now + period;
        suspicion.own = Some(Raised { first, remind_at });
        self.probe_again(vm, sequence);
    }

    /// Reminds suspected VMs, and declares those failed that did not refute in time.
    pub(super) fn check_suspicions(&mut self, now: Time) {
        if self.suspicions.is_empty() {
            return;
        }
        let over = |one: &&Suspicion| now >= one.until;
        let waiting = |one: &Suspicion| one.own.is_some_and(|own| now >= own.remind_at);
        let due = |one: &&Suspicion| now < one.until && waiting(one);
        let failed: Vec<Suspicion> = self.suspicions.iter().filter(over).cloned().collect();
        let remind: Vec<Suspicion> = self.suspicions.iter().filter(due).cloned().collect();
        self.suspicions.retain(|one| now < one.until);
        for one in failed {
            self.fail(now, &one.vm, one.incarnation);
        }
        for one in remind {
            self.remind(now, &one.vm);
        }
    }
}
