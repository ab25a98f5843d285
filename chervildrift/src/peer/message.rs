//! Messages that VMs exchange over peer links, as plain structs.

use std::time::Duration;

use chervildrift_core::generation::{Answer, BundleHash};
use chervildrift_core::types::{
    Caller, GroupId, Kind, LogPosition, Rank, Service, Term, Upstream, Vm,
};
use smallvec::SmallVec;
use tokio::sync::oneshot;

use super::Error;

/// One statement with its parameters.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Statement {
    /// SQL text.
    pub sql: String,
    /// Parameters as the text of a JSON array.
    pub params: String,
}

/// Key and digest that make a repeated request recognisable.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Idempotency {
    /// Idempotency key.
    pub key: String,
    /// Digest of the statements and their parameters.
    pub digest: String,
}

/// Whether a request may change data.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Access {
    /// Changes data.
    Write,
    /// Only reads.
    Read,
}

/// Step of a transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TransactionStep {
    /// Opens a transaction.
    Open,
    /// Runs statements in an open transaction.
    Execute,
    /// Commits a transaction.
    Commit,
    /// Rolls a transaction back.
    Rollback,
}

/// A caller's request on its way from an entry to a dispatcher.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Identifier for logs and traces.
    pub id: u64,
    /// Service that is addressed.
    pub service: Service,
    /// Kind of work.
    pub kind: Kind,
    /// Key that selects the service's instance.
    pub key: String,
    /// Caller that sent the request.
    pub caller: Caller,
    /// Rank of the kind.
    pub rank: Rank,
    /// Upstream that is to serve the request.
    pub upstream: Upstream,
    /// Statements in the order in which they run.
    pub statements: Vec<Statement>,
    /// Mark of the caller's session token.
    pub min_position: Option<LogPosition>,
    /// Greatest data age that a read accepts.
    pub age_bound: Option<Duration>,
    /// Time left until the deadline; a link sets it at the moment of sending, in whole ms.
    pub remaining: Duration,
    /// Key of a request that may be repeated.
    pub idempotency: Option<Idempotency>,
    /// Whether the request may change data.
    pub access: Access,
    /// Open transaction that the request belongs to.
    pub transaction: Option<String>,
    /// Generation of the sender's configuration.
    pub generation: u64,
}

/// What became of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplyState {
    /// Ran and is confirmed.
    Done,
    /// Did not run and never will.
    NotRun {
        /// Why it was refused.
        reason: String,
    },
    /// Was rejected by the upstream.
    Failed {
        /// Stable code of the failure.
        code: String,
        /// Text for people.
        message: String,
    },
    /// May or may not have run.
    Unknown,
}

/// Queued work by rank, in the order of [`Rank::ALL`].
pub type Load = [u32; Rank::COUNT];

/// One upstream as its dispatcher sees it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UpstreamState {
    /// Last durable entry.
    pub received: LogPosition,
    /// Last entry that reads can see.
    pub applied: LogPosition,
    /// Age of the data in whole ms, unknown before the primary was first seen.
    pub age: Option<Duration>,
    /// Queued work by rank.
    pub load: Load,
}

/// A database group as a dispatcher sees it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GroupState {
    /// Index of the primary in `upstreams`.
    pub primary: Option<u32>,
    /// Term of the primary.
    pub term: Term,
    /// Upstreams in the order of their declaration.
    pub upstreams: SmallVec<[UpstreamState; 3]>,
}

/// Answer to a forwarded request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// What became of the request.
    pub state: ReplyState,
    /// Answer as JSON.
    pub answer: Vec<u8>,
    /// Mark of the write.
    pub position: Option<LogPosition>,
    /// State of the upstream's group, when the dispatcher holds one.
    pub group: Option<GroupState>,
    /// Load of the dispatcher.
    pub load: Load,
    /// Generation of the dispatcher's configuration.
    pub generation: u64,
}

/// State of an upstream that passes from one dispatcher to the next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Handover {
    /// Group of the upstream.
    pub group: GroupId,
    /// Upstream that moves.
    pub upstream: Upstream,
    /// Generation of the sender's configuration.
    pub generation: u64,
    /// State of the dispatcher as a JSON object.
    pub state: Vec<u8>,
}

/// Answer to a ping.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Pong {
    /// Generation of the answering VM's configuration.
    pub generation: u64,
    /// Load of the answering VM.
    pub load: Load,
}

/// A call from another VM, with the channel for its answer.
///
/// A closed channel means that the caller no longer waits. Dropping a channel without an answer
/// tells the caller that the outcome is not known.
#[derive(Debug)]
pub enum Inbound {
    /// Serves a caller's request.
    Forward {
        /// Request.
        request: Request,
        /// Channel for the answer.
        reply: oneshot::Sender<Reply>,
    },
    /// Runs a step of a transaction.
    Transaction {
        /// Step.
        step: TransactionStep,
        /// Request that belongs to the step.
        request: Request,
        /// Channel for the answer.
        reply: oneshot::Sender<Reply>,
    },
    /// Asks for the state of a group; the answer is `None` when the VM holds none.
    GroupState {
        /// Group.
        group: GroupId,
        /// Channel for the answer.
        reply: oneshot::Sender<Option<GroupState>>,
    },
    /// Asks for a configuration bundle.
    Bundle {
        /// VM that asks.
        from: Vm,
        /// Hash of the bundle.
        hash: BundleHash,
        /// Hash of the bundle that the asking VM holds.
        base: Option<BundleHash>,
        /// Channel for the answer.
        reply: oneshot::Sender<Answer>,
    },
    /// Delivers counters of the service-level burn.
    BurnDelta {
        /// VM that counted.
        from: Vm,
        /// Counters as JSON.
        delta: Vec<u8>,
        /// Channel for the acknowledgement.
        reply: oneshot::Sender<()>,
    },
    /// Hands an upstream over to this VM.
    Handover {
        /// VM that gives the upstream away.
        from: Vm,
        /// State that moves.
        handover: Handover,
        /// Channel for the decision.
        reply: oneshot::Sender<bool>,
    },
    /// Asks whether the event loop of this VM makes progress.
    Ping {
        /// Channel for the answer.
        reply: oneshot::Sender<Pong>,
    },
    /// Reports a link of this VM that failed; no answer is expected.
    LinkFailed {
        /// Address of the peer.
        peer: std::net::SocketAddr,
        /// Why the link failed.
        error: Error,
    },
}
