//! Events and actions of the membership.

use std::net::SocketAddr;

use smallvec::SmallVec;

use super::message::{Incarnation, Message, Place, State};
use crate::generation::Version;
use crate::types::Vm;

/// Name, place and boot number of this VM.
#[derive(Clone, Debug)]
pub struct LocalVm {
    /// Own name.
    pub vm: Vm,
    /// Own availability zone and peer address.
    pub place: Place,
    /// Number of this process, such as the wall-clock time of its start in milliseconds.
    pub boot: u64,
}

/// A VM from which the members may be requested.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Seed {
    /// Name of the VM, or none for an address from settings.
    pub vm: Option<Vm>,
    /// Address of its peer listeners.
    pub address: SocketAddr,
}

/// A VM with its place and state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Name of the VM.
    pub vm: Vm,
    /// Its availability zone and address.
    pub place: Place,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its state.
    pub state: State,
    /// Whether it has announced that it is leaving; such a VM is not chosen as a dispatcher.
    pub leaving: bool,
}

/// Event that the membership handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// A datagram was received.
    Message {
        /// Address of the sender.
        from: SocketAddr,
        /// Its content.
        message: Message,
    },
    /// The settings or the platform's list name VMs. Members are requested from them, but they
    /// never override what the protocol observes.
    Seeds(Vec<Seed>),
    /// A peer connection showed whether a VM answers.
    LinkObserved {
        /// VM at the other end of the connection.
        vm: Vm,
        /// Whether it answered.
        reachable: bool,
    },
    /// This VM has put another configuration in force.
    VersionInstalled(Version),
    /// This VM starts to leave.
    Leave,
    /// This VM's process is about to end.
    Stop,
    /// Time passed; due every [`Limits::tick_period`](super::Limits::tick_period).
    Tick,
}

/// Action requested by the membership.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Receiver.
        to: SocketAddr,
        /// Content.
        message: Message,
    },
    /// The state, place or incarnation of a VM changed.
    MemberChanged(Member),
    /// A VM has a configuration in force that is newer than or conflicts with the own one.
    VersionAnnounced {
        /// VM that has it.
        vm: Vm,
        /// Its generation and hash.
        version: Version,
    },
    /// The join is complete, so the members are known; sent once.
    Joined,
    /// A newer process with this VM's name has joined. This one must stop; sent once.
    Replaced,
}

/// Actions that follow one event.
pub type Actions = SmallVec<[Action; 2]>;
