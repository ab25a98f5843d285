//! Which of two states of a VM holds.

use std::net::SocketAddr;

use super::message::{Change, Incarnation, Message, Place, State};
use super::queue::Scope;
use super::table::Record;
use super::{Action, Body, Membership};
use crate::types::{Time, Vm};

/// Where a change was learnt, which decides how far it is believed and passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Origin {
    /// This VM's own observation.
    Own,
    /// Gossip from the own availability zone.
    Near,
    /// Gossip from another availability zone.
    Far,
    /// A page from the own availability zone.
    NearPage,
    /// A page from another availability zone.
    FarPage,
}

impl Origin {
    const fn is_far(self) -> bool {
        matches!(self, Self::Far | Self::FarPage)
    }

    const fn is_page(self) -> bool {
        matches!(self, Self::NearPage | Self::FarPage)
    }
}

impl Membership {
    /// Returns the origin of gossip from `vm`.
    pub(super) fn origin(&self, vm: &Vm) -> Origin {
        match self.table.get(vm) {
            Some(record) if record.zone == self.zone => Origin::Near,
            _ => Origin::Far,
        }
    }

    /// Takes a change when it overrules what is known.
    pub(super) fn apply(&mut self, now: Time, change: &Change, origin: Origin) {
        if change.vm == self.me.vm {
            self.defend(change);
            return;
        }
        let Some(record) = self.table.get(&change.vm) else {
            self.admit(now, change, origin);
            return;
        };
        if (change.incarnation, change.state) <= (record.incarnation, record.state) {
            return;
        }
        let before = record.state;
        let reborn = change.incarnation.boot > record.incarnation.boot;
        let ours = record.zone == self.zone;
        let claimed = change.state == State::Failed && before.is_member();
        if claimed && ours && origin.is_far() {
            self.doubt(now, change);
            return;
        }
        if !change.state.is_member() && !before.is_member() && !reborn {
            return;
        }
        self.table.update(change, now);
        let scope = scope_of(before, change.state, reborn);
        self.settle(now, change, scope);
    }

    /// Spreads and reports a change that the table has taken.
    fn settle(&mut self, now: Time, change: &Change, scope: Scope) {
        self.suspicions.retain(|one| one.vm != change.vm);
        if change.state == State::Suspect {
            self.await_refutation(now, change);
        }
        if !change.state.is_member() {
            self.probes.retain(|probe| probe.vm != change.vm);
        }
        let ours = self.table.get(&change.vm).map(|record| record.zone) == Some(self.zone);
        if scope == Scope::Fleet || ours {
            self.enqueue(&change.vm, scope);
        }
        self.report(&change.vm);
    }

    /// Adds a VM that was unknown.
    fn admit(&mut self, now: Time, change: &Change, origin: Origin) {
        let Some(place) = change.place.as_ref().filter(|_| change.state.is_member()) else {
            return;
        };
        self.table.insert(change, place, now);
        // Pages bring many members that others know already; gossip brings new ones.
        if !origin.is_page() {
            self.enqueue(&change.vm, Scope::Fleet);
        }
        self.report(&change.vm);
    }

    /// Turns a failure claimed by another availability zone into a suspicion, since after a
    /// partition the other side claims every VM of this one.
    fn doubt(&mut self, now: Time, claim: &Change) {
        let Some(record) = self.table.get(&claim.vm) else {
            return;
        };
        let suspect = Change {
            state: State::Suspect,
            ..claim.clone()
        };
        let address = record.address;
        let newer = (suspect.incarnation, suspect.state) > (record.incarnation, record.state);
        if newer {
            self.table.update(&suspect, now);
            self.settle(now, &suspect, Scope::Zone);
        }
        // The claim itself has to reach the VM, so that its refutation goes to the whole fleet.
        let mut message = self.bare(Body::Gossip);
        message.changes.push(claim.clone());
        self.out.push(Action::Send {
            to: address,
            message,
        });
    }

    /// Raises the suspicion of a VM that does not answer.
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
        self.apply(now, &change, Origin::Own);
        self.remind(now, vm);
    }

    /// Takes back a suspicion that was told to no one.
    pub(super) fn withdraw(&mut self, vm: &Vm) {
        self.table.clear(vm);
        self.report(vm);
    }

    /// Declares a suspected VM failed.
    pub(super) fn fail(&mut self, now: Time, vm: &Vm, incarnation: Incarnation) {
        let change = Change {
            vm: vm.clone(),
            incarnation,
            state: State::Failed,
            place: None,
        };
        self.apply(now, &change, Origin::Own);
    }

    /// Refutes what others hold of this VM, or learns that it was replaced.
    fn defend(&mut self, change: &Change) {
        if change.incarnation.boot < self.incarnation.boot {
            return;
        }
        if change.incarnation.boot > self.incarnation.boot {
            self.meet_successor(change.incarnation);
            return;
        }
        let same = change.state == self.state;
        if change.incarnation.count < self.incarnation.count || same {
            return;
        }
        self.incarnation.count = change.incarnation.count + 1;
        let scope = match change.state {
            State::Suspect => Scope::Zone,
            _ => Scope::Fleet,
        };
        let me = self.me.vm.clone();
        self.enqueue(&me, scope);
    }

    /// Sends this VM's own state to one that held it as suspected or failed. Its neighbours do not
    /// pass that on to other availability zones, as they never held another.
    pub(super) fn refute(&mut self, to: SocketAddr) {
        let mut message = self.bare(Body::Gossip);
        message.changes.push(self.own_change());
        self.out.push(Action::Send { to, message });
    }

    /// A greater boot to an older process while this one joins, whose clock may have been
    /// ahead; afterwards it belongs to a newer process.
    fn meet_successor(&mut self, other: Incarnation) {
        if !self.joined {
            self.incarnation.boot = other.boot + 1;
            self.incarnation.count = 0;
            return;
        }
        self.replaced = true;
        self.out.push(Action::Replaced);
    }

    /// Handles a message of another process with this VM's name.
    pub(super) fn meet_namesake(&mut self, from: SocketAddr, message: &Message) {
        if message.incarnation.boot > self.incarnation.boot {
            self.meet_successor(message.incarnation);
            return;
        }
        if message.incarnation.boot < self.incarnation.boot {
            self.refute(from);
        }
    }

    /// Tells an old process that a newer one with its name has joined.
    pub(super) fn turn_away(&mut self, from: SocketAddr, message: &Message) -> bool {
        let record = self.table.get(&message.from);
        let newer = |record: &&Record| record.incarnation.boot > message.incarnation.boot;
        let Some(record) = record.filter(newer) else {
            return false;
        };
        let mut reply = self.bare(Body::Gossip);
        reply.changes.push(self.table.change(record));
        self.out.push(Action::Send {
            to: from,
            message: reply,
        });
        true
    }

    /// Takes what the header of a message shows of its sender.
    pub(super) fn greet(&mut self, now: Time, from: SocketAddr, message: &Message) {
        let Some(record) = self.table.get(&message.from) else {
            return;
        };
        let (theirs, known) = (message.incarnation, record.incarnation);
        let doubted = !matches!(record.state, State::Alive | State::Leaving);
        let reborn = theirs.boot > known.boot;
        let refuted = theirs.boot == known.boot && theirs.count > known.count && doubted;
        if reborn || refuted {
            let state = if record.leaving && !reborn {
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
            self.apply(now, &change, Origin::Own);
            return;
        }
        let outdated = theirs <= known && doubted;
        let answered = matches!(message.body, Body::Ping { .. } | Body::SyncRequest { .. });
        if outdated && !answered {
            self.send(Some(&message.from), from, Body::Gossip);
        }
    }

    fn report(&mut self, vm: &Vm) {
        if let Some(member) = self.member(vm) {
            self.out.push(Action::MemberChanged(member));
        }
    }

    /// Returns this VM's own state.
    pub(super) fn own_change(&self) -> Change {
        Change {
            vm: self.me.vm.clone(),
            incarnation: self.incarnation,
            state: self.state,
            place: Some(self.me.place.clone()),
        }
    }
}

/// Returns how far a change spreads: suspicions and their refutations stay in one availability
/// zone, since every lost probe would otherwise reach the whole fleet.
const fn scope_of(before: State, after: State, reborn: bool) -> Scope {
    let doubt = matches!(after, State::Suspect);
    let refuted = matches!(before, State::Suspect | State::Alive) && matches!(after, State::Alive);
    if !reborn && (doubt || refuted) {
        Scope::Zone
    } else {
        Scope::Fleet
    }
}
