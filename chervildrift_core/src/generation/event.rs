//! What the generation is told and what it asks for.

use std::sync::Arc;

use smallvec::SmallVec;

use super::head::Head;
use super::patch::Body;
use super::version::{BundleHash, Version};
use crate::types::Vm;

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The platform answered with the head record, or that there is none.
    HeadRead(Option<Head>),
    /// The head record could not be read.
    HeadReadFailed,
    /// Another VM has a configuration in force.
    Announced {
        /// VM that has it.
        vm: Vm,
        /// Its generation and hash.
        version: Version,
    },
    /// A bundle that was asked for came in.
    Fetched {
        /// Hash that was asked for.
        hash: BundleHash,
        /// Content.
        body: Body,
    },
    /// A bundle could not be had from where it was asked for.
    FetchFailed {
        /// Hash that was asked for.
        hash: BundleHash,
    },
    /// Another VM asks for a bundle.
    Requested {
        /// VM that asks.
        vm: Vm,
        /// Hash that it wants.
        hash: BundleHash,
        /// Hash of the bundle that it has.
        base: Option<BundleHash>,
    },
    /// The answer to a VM that asked was sent, or the VM went away.
    TransferEnded {
        /// VM that asked.
        vm: Vm,
    },
    /// This VM starts or stops being a poller of its availability zone.
    PollerChanged(bool),
    /// Time passed; due every [`Limits::tick`](super::Limits::tick).
    Tick,
}

/// What to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Read the platform's head record.
    ReadHead,
    /// Ask a VM for a bundle.
    FetchPeer {
        /// VM to ask.
        vm: Vm,
        /// Hash of the bundle.
        hash: BundleHash,
        /// Hash of the bundle to patch.
        base: Option<BundleHash>,
    },
    /// Ask the object store for a bundle.
    FetchStore {
        /// Hash of the bundle.
        hash: BundleHash,
    },
    /// Put a configuration in force.
    Install {
        /// Its generation and hash.
        version: Version,
        /// Its bundle.
        bundle: Arc<[u8]>,
    },
    /// Answer a VM that asked for a bundle.
    Serve {
        /// VM that asked.
        vm: Vm,
        /// Hash that it asked for.
        hash: BundleHash,
        /// Answer.
        answer: Answer,
    },
    /// The configuration is known to be the latest that peers or the platform told of; sent once.
    Ready,
}

/// Answer to a VM that asked for a bundle.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The bundle.
    Body(Body),
    /// As many transfers as allowed are running.
    Busy,
    /// This VM does not have the bundle.
    Unknown,
}

/// What to do after one event.
pub type Actions = SmallVec<[Action; 2]>;
