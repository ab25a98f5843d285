//! Messages that VMs exchange over peer links.

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
    /// Parameters as a JSON array.
    pub params: String,
}

/// Key and digest by which a repeated request is recognised.
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
    /// Position in the caller's session token, which the data of a read must include.
    pub min_position: Option<LogPosition>,
    /// Maximum data age that a read accepts.
    pub age_bound: Option<Duration>,
    /// Time left until the deadline, in whole milliseconds; the link sets it when it sends.
    pub remaining: Duration,
    /// Idempotency key and digest, if the caller gave a key.
    pub idempotency: Option<Idempotency>,
    /// Whether the request may change data.
    pub access: Access,
    /// Open transaction that the request belongs to.
    pub transaction: Option<String>,
    /// Generation of the sender's configuration.
    pub generation: u64,
}

/// Result of a request at its dispatcher.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReplyState {
    /// The request ran; a write has been confirmed.
    Done,
    /// The request did not run and never will.
    NotRun {
        /// Reason for the refusal.
        reason: String,
    },
    /// The upstream rejected the request.
    Failed {
        /// Code of the failure, which stays the same across versions.
        code: String,
        /// Human-readable message.
        message: String,
    },
    /// The request may or may not have run.
    Unknown,
}

/// Expected time in queue and in service of new work by rank, in milliseconds, in the order of
/// [`Rank::ALL`].
pub type Load = [u32; Rank::COUNT];

/// One upstream as its dispatcher sees it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UpstreamState {
    /// Position of the last durable log entry.
    pub received: LogPosition,
    /// Position of the last log entry that reads can see.
    pub applied: LogPosition,
    /// Age of the data in whole milliseconds; unknown until the primary has been seen.
    pub age: Option<Duration>,
    /// Load of the upstream's dispatcher.
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
    /// Result of the request.
    pub state: ReplyState,
    /// Results of the statements as JSON.
    pub answer: Vec<u8>,
    /// Log position of a write.
    pub position: Option<LogPosition>,
    /// State of the upstream's group, if the dispatcher has one.
    pub group: Option<GroupState>,
    /// Load of the dispatcher.
    pub load: Load,
    /// Generation of the dispatcher's configuration.
    pub generation: u64,
}

/// State of an upstream that moves from one dispatcher to another.
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
    /// Generation of the responding VM's configuration.
    pub generation: u64,
    /// Load of the responding VM.
    pub load: Load,
}

/// A call from another VM, with the channel for its reply.
///
/// A closed channel means that the caller no longer waits. If the channel is dropped without a
/// reply, the outcome is unknown to the caller.
#[derive(Debug)]
pub enum Inbound {
    /// Serves a caller's request.
    Forward {
        /// Request.
        request: Request,
        /// Channel for the reply.
        reply: oneshot::Sender<Reply>,
    },
    /// Runs a step of a transaction.
    Transaction {
        /// Step.
        step: TransactionStep,
        /// Request that belongs to the step.
        request: Request,
        /// Channel for the reply.
        reply: oneshot::Sender<Reply>,
    },
    /// Requests the state of a group; the reply is `None` if the VM has none.
    GroupState {
        /// Group.
        group: GroupId,
        /// Channel for the reply.
        reply: oneshot::Sender<Option<GroupState>>,
    },
    /// Requests a configuration bundle.
    Bundle {
        /// Requesting VM.
        from: Vm,
        /// Hash of the bundle.
        hash: BundleHash,
        /// Hash of the bundle that the requesting VM already has.
        base: Option<BundleHash>,
        /// Channel for the reply.
        reply: oneshot::Sender<Answer>,
    },
    /// Delivers burn rate counters.
    BurnDelta {
        /// VM that sent the counters.
        from: Vm,
        /// Counters as JSON.
        delta: Vec<u8>,
        /// Channel for the acknowledgement.
        reply: oneshot::Sender<()>,
    },
    /// Hands an upstream over to this VM.
    Handover {
        /// VM that hands the upstream over.
        from: Vm,
        /// Upstream and its state.
        handover: Handover,
        /// Channel for the decision.
        reply: oneshot::Sender<bool>,
    },
    /// Checks that the event loop of this VM makes progress.
    Ping {
        /// Channel for the reply.
        reply: oneshot::Sender<Pong>,
    },
    /// Reports that a link of this VM has failed; takes no reply.
    LinkFailed {
        /// Address of the peer.
        peer: std::net::SocketAddr,
        /// Error of the link.
        error: Error,
    },
}
