//! Events and actions of the generation.

use std::sync::Arc;

use smallvec::SmallVec;

use super::head::Head;
use super::patch::Body;
use super::version::{BundleHash, Version};
use crate::types::Vm;

/// Event that the generation handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// The platform answered with the head record, or that there is none.
    HeadRead(Option<Head>),
    /// The head record could not be read.
    HeadReadFailed,
    /// Another VM announced the configuration that it has in force.
    Announced {
        /// VM that has it.
        vm: Vm,
        /// Its generation and hash.
        version: Version,
    },
    /// A requested bundle was received.
    Fetched {
        /// Requested hash.
        hash: BundleHash,
        /// Content of the bundle.
        body: Body,
    },
    /// A requested bundle could not be fetched.
    FetchFailed {
        /// Requested hash.
        hash: BundleHash,
    },
    /// Another VM requests a bundle.
    Requested {
        /// VM that requests it.
        vm: Vm,
        /// Hash of the requested bundle.
        hash: BundleHash,
        /// Hash of the bundle that it has.
        base: Option<BundleHash>,
    },
    /// The answer to a VM that requested a bundle was sent, or the VM is gone.
    TransferEnded {
        /// VM that requested the bundle.
        vm: Vm,
    },
    /// This VM starts or stops being a poller of its availability zone.
    PollerChanged(bool),
    /// Time passed; due every [`Limits::tick_period`](super::Limits::tick_period).
    Tick,
}

/// Action requested by the generation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Read the platform's head record.
    ReadHead,
    /// Request a bundle from a VM.
    FetchPeer {
        /// VM that has the bundle.
        vm: Vm,
        /// Hash of the bundle.
        hash: BundleHash,
        /// Hash of the bundle to patch.
        base: Option<BundleHash>,
    },
    /// Request a bundle from the object store.
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
    /// Answer a VM that requested a bundle.
    Serve {
        /// VM that requested the bundle.
        vm: Vm,
        /// Requested hash.
        hash: BundleHash,
        /// Answer.
        answer: Answer,
    },
    /// The configuration is the latest that peers or the platform have named; sent once.
    Ready,
}

/// Answer to a VM that requested a bundle.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The bundle.
    Body(Body),
    /// The maximum number of transfers is already running.
    Busy,
    /// This VM does not have the bundle.
    Unknown,
}

/// Actions that follow one event.
pub type Actions = SmallVec<[Action; 2]>;
