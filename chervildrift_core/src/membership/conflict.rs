//! Resolution of conflicting states of a VM.

use std::net::SocketAddr;

use super::message::{Change, Incarnation, Message, Place, State};
use super::queue::Scope;
use super::table::Record;
use super::{Action, Body, Membership};
use crate::types::{Time, Vm};

/// Source of a change, which decides how far the change is trusted and passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Origin {
    /// This VM's own observation.
    Own,
    /// Gossip from the own availability zone.
    Local,
    /// Gossip from another availability zone.
    Remote,
    /// A page from the own availability zone.
    LocalPage,
    /// A page from another availability zone.
    RemotePage,
}

impl Origin {
    const fn is_remote(self) -> bool {
        matches!(self, Self::Remote | Self::RemotePage)
    }

    const fn is_page(self) -> bool {
        matches!(self, Self::LocalPage | Self::RemotePage)
    }
}

impl Membership {
    /// Returns the origin of gossip from `vm`.
    pub(super) fn origin(&self, vm: &Vm) -> Origin {
        match self.table.get(vm) {
            Some(record) if record.zone == self.zone => Origin::Local,
            _ => Origin::Remote,
        }
    }

    /// Applies a change if it overrides the known state.
    pub(super) fn apply_change(&mut self, now: Time, change: &Change, origin: Origin) {
        if change.vm == self.local.vm {
            self.refute_change(change);
            return;
        }
        let Some(record) = self.table.get(&change.vm) else {
            self.add_member(now, change, origin);
            return;
        };
        if (change.incarnation, change.state) <= (record.incarnation, record.state) {
            return;
        }
        let before = record.state;
        let restarted = change.incarnation.boot > record.incarnation.boot;
        let in_own_zone = record.zone == self.zone;
        let is_failure = change.state == State::Failed && before.is_member();
        if is_failure && in_own_zone && origin.is_remote() {
            self.suspect_remote_failure(now, change);
            return;
        }
        if !change.state.is_member() && !before.is_member() && !restarted {
            return;
        }
        self.table.update(change, now);
        let scope = scope_of(before, change.state, restarted);
        self.propagate(now, change, scope);
    }

    /// Queues and reports a change that the table has applied.
    fn propagate(&mut self, now: Time, change: &Change, scope: Scope) {
        self.suspicions.retain(|one| one.vm != change.vm);
        if change.state == State::Suspect {
            self.start_suspicion(now, change);
        }
        if !change.state.is_member() {
            self.probes.retain(|probe| probe.vm != change.vm);
        }
        let in_own_zone = self.table.get(&change.vm).map(|record| record.zone) == Some(self.zone);
        if scope == Scope::Fleet || in_own_zone {
            self.enqueue(&change.vm, scope);
        }
        self.report_member(&change.vm);
    }

    /// Adds a VM that was unknown.
    fn add_member(&mut self, now: Time, change: &Change, origin: Origin) {
        let Some(place) = change.place.as_ref().filter(|_| change.state.is_member()) else {
            return;
        };
        self.table.insert(change, place, now);
        // Pages list many members that others already know; gossip lists new ones.
        if !origin.is_page() {
            self.enqueue(&change.vm, Scope::Fleet);
        }
        self.report_member(&change.vm);
    }

    /// Turns a failure reported by another availability zone into a suspicion, since after a
    /// partition the other side reports every VM of this zone as failed.
    fn suspect_remote_failure(&mut self, now: Time, failure: &Change) {
        let Some(record) = self.table.get(&failure.vm) else {
            return;
        };
        let suspect = Change {
            state: State::Suspect,
            ..failure.clone()
        };
        let address = record.address;
        let newer = (suspect.incarnation, suspect.state) > (record.incarnation, record.state);
        if newer {
            self.table.update(&suspect, now);
            self.propagate(now, &suspect, Scope::Zone);
        }
        // The reported failure itself has to reach the VM, so that it refutes it to the whole
        // fleet.
        let mut message = self.bare_message(Body::Gossip);
        message.changes.push(failure.clone());
        self.actions.push(Action::Send {
            to: address,
            message,
        });
    }

    /// Suspects a VM that does not answer.
    pub(super) fn suspect(&mut self, now: Time, vm: &Vm) {
        let Some(record) = self.table.get(vm) else {
            return;
        };
        let change = Change {
            vm: vm.clone(),
            incarnation: record.incarnation,
            state: State::Suspect,
            place: None,
        };
        self.apply_change(now, &change, Origin::Own);
        self.remind_suspect(now, vm);
    }

    /// Withdraws a suspicion that was not passed on.
    pub(super) fn withdraw_suspicion(&mut self, vm: &Vm) {
        self.table.clear_suspicion(vm);
        self.report_member(vm);
    }

    /// Declares a suspected VM failed.
    pub(super) fn declare_failed(&mut self, now: Time, vm: &Vm, incarnation: Incarnation) {
        let change = Change {
            vm: vm.clone(),
            incarnation,
            state: State::Failed,
            place: None,
        };
        self.apply_change(now, &change, Origin::Own);
    }

    /// Refutes a wrong state of this VM, or handles a newer process with its name.
    fn refute_change(&mut self, change: &Change) {
        if change.incarnation.boot < self.incarnation.boot {
            return;
        }
        if change.incarnation.boot > self.incarnation.boot {
            self.handle_newer_process(change.incarnation);
            return;
        }
        let same_state = change.state == self.state;
        if change.incarnation.count < self.incarnation.count || same_state {
            return;
        }
        self.incarnation.count = change.incarnation.count + 1;
        let scope = match change.state {
            State::Suspect => Scope::Zone,
            _ => Scope::Fleet,
        };
        let vm = self.local.vm.clone();
        self.enqueue(&vm, scope);
    }

    /// Sends this VM's own state to a VM that held it as suspected or failed. Its neighbours do not
    /// pass the refutation on to other availability zones, since they never held another state.
    pub(super) fn send_own_state(&mut self, to: SocketAddr) {
        let mut message = self.bare_message(Body::Gossip);
        message.changes.push(self.own_change());
        self.actions.push(Action::Send { to, message });
    }

    /// Handles a greater boot number under this VM's name. While this process joins, the number
    /// belongs to an older process, whose clock may have been ahead, and is exceeded; afterwards it
    /// belongs to a newer process.
    fn handle_newer_process(&mut self, other: Incarnation) {
        if !self.joined {
            self.incarnation.boot = other.boot + 1;
            self.incarnation.count = 0;
            return;
        }
        self.replaced = true;
        self.actions.push(Action::Replaced);
    }

    /// Handles a message of another process with this VM's name.
    pub(super) fn handle_same_name(&mut self, from: SocketAddr, message: &Message) {
        if message.incarnation.boot > self.incarnation.boot {
            self.handle_newer_process(message.incarnation);
            return;
        }
        if message.incarnation.boot < self.incarnation.boot {
            self.send_own_state(from);
        }
    }

    /// Returns whether the sender is an old process, and if so notifies it that a newer one with
    /// its name has joined.
    pub(super) fn reject_replaced(&mut self, from: SocketAddr, message: &Message) -> bool {
        let record = self.table.get(&message.from);
        let newer = |record: &&Record| record.incarnation.boot > message.incarnation.boot;
        let Some(record) = record.filter(newer) else {
            return false;
        };
        let mut reply = self.bare_message(Body::Gossip);
        reply.changes.push(self.table.change(record));
        self.actions.push(Action::Send {
            to: from,
            message: reply,
        });
        true
    }

    /// Updates the state of the sender from the header of its message.
    pub(super) fn process_sender(&mut self, now: Time, from: SocketAddr, message: &Message) {
        let Some(record) = self.table.get(&message.from) else {
            return;
        };
        let (theirs, known) = (message.incarnation, record.incarnation);
        let disputed = !matches!(record.state, State::Alive | State::Leaving);
        let restarted = theirs.boot > known.boot;
        let refuted = theirs.boot == known.boot && theirs.count > known.count && disputed;
        if restarted || refuted {
            let state = if record.leaving && !restarted {
                State::Leaving
            } else {
                State::Alive
            };
            let place = Place {
                zone: self.table.zone(record.zone).clone(),
                address: from,
            };
            let change = Change {
                vm: message.from.clone(),
                incarnation: theirs,
                state,
                place: Some(place),
            };
            self.apply_change(now, &change, Origin::Own);
            return;
        }
        let stale = theirs <= known && disputed;
        let gets_answer = matches!(message.body, Body::Ping { .. } | Body::SyncRequest { .. });
        if stale && !gets_answer {
            self.send(Some(&message.from), from, Body::Gossip);
        }
    }

    fn report_member(&mut self, vm: &Vm) {
        if let Some(member) = self.member(vm) {
            self.actions.push(Action::MemberChanged(member));
        }
    }

    /// Returns this VM's own state.
    pub(super) fn own_change(&self) -> Change {
        Change {
            vm: self.local.vm.clone(),
            incarnation: self.incarnation,
            state: self.state,
            place: Some(self.local.place.clone()),
        }
    }
}

/// Returns the scope of a change. Suspicions and their refutations stay in one availability zone,
/// since every lost probe would otherwise reach the whole fleet.
const fn scope_of(before: State, after: State, restarted: bool) -> Scope {
    let suspected = matches!(after, State::Suspect);
    let refuted = matches!(before, State::Suspect | State::Alive) && matches!(after, State::Alive);
    if !restarted && (suspected || refuted) {
        Scope::Zone
    } else {
        Scope::Fleet
    }
}
