//! Requests of callers and their results, as the HTTP listener and the event loop exchange them.

mod problem;
mod reason;
mod statement;

use std::time::{Duration, Instant};

use chervildrift_core::types::{Caller, Kind, Service};
use derive_more::Display;

pub use self::problem::{Problem, ProblemKind, RequestState};
pub use self::reason::Reason;
pub use self::statement::check_statement;

/// Identifier of a request in logs and traces.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display("{_0:016x}")]
pub struct RequestId(pub u64);

/// Request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identifier of the request.
    pub id: RequestId,
    /// Caller that sent it.
    pub caller: Caller,
    /// Service that the caller's credential is for.
    pub service: Service,
    /// Session token as the caller sent it.
    pub session_token: Option<String>,
    /// Time at which the complete request had been received.
    pub received_at: Instant,
    /// Operation that the caller requests.
    pub operation: Operation,
}

/// Operation that a caller requests.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Runs statements as one request.
    Run(StatementBatch),
    /// Opens a transaction and runs its first statements, if there are any.
    Open(StatementBatch),
    /// Runs statements in an open transaction.
    Execute {
        /// Identifier of the transaction.
        transaction: String,
        /// Statements in the order in which they run.
        statements: Vec<crate::peer::message::Statement>,
    },
    /// Commits a transaction.
    Commit {
        /// Identifier of the transaction.
        transaction: String,
    },
    /// Rolls a transaction back.
    Rollback {
        /// Identifier of the transaction.
        transaction: String,
    },
    /// Finds out whether an earlier request took effect, and cancels it if it did not.
    ResolveOutcome {
        /// Key that picks the instance.
        key: String,
        /// Idempotency key of the earlier request.
        idempotency_key: String,
    },
}

/// Statements with the limits under which they run.
#[derive(Clone, Debug)]
pub struct StatementBatch {
    /// Kind of work.
    pub kind: Kind,
    /// Key that picks the instance.
    pub key: String,
    /// Statements in the order in which they run.
    pub statements: Vec<crate::peer::message::Statement>,
    /// Maximum age of the data, if the caller wants it lower than the limit of the kind.
    pub max_age: Option<Duration>,
    /// Time limit, if the caller wants it shorter than that of the kind.
    pub deadline: Option<Duration>,
    /// Idempotency key.
    pub idempotency_key: Option<String>,
}

/// Result of a request that succeeded.
#[derive(Clone, Debug, Default)]
pub struct Success {
    /// Results as the text of a JSON array.
    pub results: String,
    /// Session token for the caller's next request.
    pub session_token: Option<String>,
    /// Name of the upstream that served the request.
    pub upstream: Option<String>,
    /// Age of the data, for reads.
    pub age: Option<Duration>,
    /// Identifier of the transaction, if the request opened one.
    pub transaction: Option<String>,
}

/// Result of a call.
pub type CallResult = Result<Success, Problem>;
