//! Events and actions of a coordinator.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::types::{LogPosition, Status, Term, Time, Vm};

/// Actions of one call, in the order in which they are to be started.
pub type Actions = SmallVec<[Action; 8]>;

/// Identity of one candidate process in fences and promotions.
///
/// It names the process, not only the VM: a restarted process that reused the identity and a term
/// of its predecessor could promote a second upstream in that term.
#[derive(Clone, Debug, Display, Eq, Hash, PartialEq)]
pub struct Promoter(Arc<str>);

impl Promoter {
    /// Builds the identity of one process; `start` differs in each start of the VM's process.
    #[must_use]
    pub fn new(vm: &Vm, start: u64) -> Self {
        Self(format!("{vm}/{start:016x}").into())
    }

    /// Restores an identity from its text, to replay a trace.
    #[must_use]
    pub fn from_text(text: &str) -> Self {
        Self(text.into())
    }

    /// Returns the identity as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Answer of an upstream to a fence or a promotion.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The upstream accepted; its log then ended at `received`.
    Granted {
        /// Last durable entry after the fence or promotion took effect.
        received: LogPosition,
    },
    /// The upstream is fenced by another promoter or at a higher term.
    Refused {
        /// Term the upstream is fenced at.
        fenced: Term,
    },
}

/// Event that a coordinator handles.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
pub enum Event {
    /// A status read ended; `None` stands for no answer.
    Observed {
        /// Upstream that was read.
        index: usize,
        /// Time at which the read was sent.
        sent: Time,
        /// Answer, if there was one.
        status: Option<Status>,
    },
    /// A fence ended; `None` stands for no answer.
    Fenced {
        /// Upstream that was fenced.
        index: usize,
        /// Term of the fence.
        term: Term,
        /// Answer, if there was one.
        answer: Option<Answer>,
    },
    /// A promotion ended; `None` stands for no answer.
    Promoted {
        /// Upstream that was promoted.
        index: usize,
        /// Term of the promotion.
        term: Term,
        /// Answer, if there was one.
        answer: Option<Answer>,
    },
    /// The candidate's rendezvous rank among the live candidates changed.
    Ranked {
        /// New rank, counted from 0.
        rank: u32,
    },
    /// An upstream starts to leave or is no longer leaving.
    Leaving {
        /// Upstream of the group.
        index: usize,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// Time passed; expected at least every 20 ms.
    Tick,
}

/// Action requested by a coordinator.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Read the status of an upstream.
    ReadStatus {
        /// Upstream of the group.
        index: usize,
    },
    /// Fence an upstream at a term.
    Fence {
        /// Upstream of the group.
        index: usize,
        /// Term of the fence.
        term: Term,
    },
    /// Promote an upstream at a term it was fenced at.
    Promote {
        /// Upstream of the group.
        index: usize,
        /// Term of the promotion.
        term: Term,
    },
    /// Make an upstream follow the primary of a term.
    Follow {
        /// Upstream of the group.
        index: usize,
        /// Primary to follow.
        primary: usize,
        /// Term of the primary.
        term: Term,
    },
    /// Hold new writes to the group until [`Action::Resume`].
    Hold,
    /// Send held writes to the primary again.
    Resume,
}

/// Why a round was started.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Reason {
    /// The primary did not answer within the detection timeout.
    #[display("silent")]
    Silent,
    /// The primary answers, but the other upstreams can't replicate from it.
    #[display("stalled")]
    Stalled,
    /// An upstream is fenced above the primary's term and can't follow it.
    #[display("blocked")]
    Blocked,
    /// The primary is leaving.
    #[display("planned")]
    Planned,
}

/// Phase of a round.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Phase {
    /// No round is in progress.
    #[display("idle")]
    Idle,
    /// Status reads decide whether the round continues.
    #[display("check")]
    Check,
    /// New writes are held until a replica has caught up.
    #[display("catch-up")]
    CatchUp,
    /// A majority is being fenced.
    #[display("fence")]
    Fence,
    /// The chosen upstream is being promoted.
    #[display("promote")]
    Promote,
}
