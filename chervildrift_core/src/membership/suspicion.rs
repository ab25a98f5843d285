//! Suspicions and the time limits for refuting them.

use super::Membership;
use super::message::{Change, Incarnation};
use crate::types::{Time, Vm};

/// Suspicion that its VM can still refute.
#[derive(Clone, Debug)]
pub(super) struct Suspicion {
    pub vm: Vm,
    pub incarnation: Incarnation,
    pub deadline: Time,
    pub reminder: Option<Reminder>,
}

/// Repeated probes of a suspected VM; only the VM that raised the suspicion sends them.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reminder {
    pub first_sequence: u32,
    pub remind_at: Time,
}

impl Membership {
    /// Starts the time limit in which a suspected VM can refute.
    pub(super) fn start_suspicion(&mut self, now: Time, change: &Change) {
        let is_local = self.table.get(&change.vm).map(|record| record.zone) == Some(self.zone);
        let wait = if is_local {
            self.limits.suspicion_timeout
        } else {
            self.limits.remote_suspicion
        };
        self.suspicions.push(Suspicion {
            vm: change.vm.clone(),
            incarnation: change.incarnation,
            deadline: now + wait,
            reminder: None,
        });
    }

    /// Probes a suspected VM again, which also tells it of the suspicion that it has to refute.
    pub(super) fn remind_suspect(&mut self, now: Time, vm: &Vm) {
        let Some(record) = self.table.get(vm) else {
            return;
        };
        let is_local = record.zone == self.zone;
        let period = if is_local {
            self.limits.probe_period
        } else {
            self.limits.remote_timeout
        };
        let sequence = self.next_sequence();
        let Some(suspicion) = self.suspicions.iter_mut().find(|one| one.vm == *vm) else {
            return;
        };
        let first_sequence = suspicion
            .reminder
            .map_or(sequence, |reminder| reminder.first_sequence);
        let remind_at = now + period;
        suspicion.reminder = Some(Reminder {
            first_sequence,
            remind_at,
        });
        self.probe_indirectly(vm, sequence);
    }

    /// Reminds suspected VMs, and declares those failed that did not refute in time.
    pub(super) fn check_suspicions(&mut self, now: Time) {
        if self.suspicions.is_empty() {
            return;
        }
        let expired = |one: &&Suspicion| now >= one.deadline;
        let reminder_due = |one: &Suspicion| one.reminder.is_some_and(|it| now >= it.remind_at);
        let to_remind = |one: &&Suspicion| now < one.deadline && reminder_due(one);
        let failed: Vec<Suspicion> = self.suspicions.iter().filter(expired).cloned().collect();
        let reminders: Vec<Suspicion> = self.suspicions.iter().filter(to_remind).cloned().collect();
        self.suspicions.retain(|one| now < one.deadline);
        for one in failed {
            self.declare_failed(now, &one.vm, one.incarnation);
        }
        for one in reminders {
            self.remind_suspect(now, &one.vm);
        }
    }
}
