//! A caller's request and its answer inside one VM.

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

/// What a caller asks for.
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
    /// Time at which the request had arrived whole.
    pub received_at: Instant,
    /// What is to be done.
    pub operation: Operation,
}

/// What is to be done for a caller.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Run statements as one request.
    Run(StatementBatch),
    /// Open a transaction.
    Open(StatementBatch),
    /// Run statements in a transaction.
    Execute {
        /// Transaction.
        transaction: String,
        /// Statements.
        statements: Vec<crate::peer::message::Statement>,
    },
    /// Commit a transaction.
    Commit {
        /// Transaction.
        transaction: String,
    },
    /// Roll a transaction back.
    Rollback {
        /// Transaction.
        transaction: String,
    },
    /// Settle the outcome of an earlier request.
    ResolveOutcome {
        /// Key that picks the instance.
        key: String,
        /// Idempotency key of the earlier request.
        idempotency_key: String,
    },
}

/// Statements and their conditions.
#[derive(Clone, Debug)]
pub struct StatementBatch {
    /// Kind of work.
    pub kind: Kind,
    /// Key that picks the instance.
    pub key: String,
    /// Statements in the order in which they run.
    pub statements: Vec<crate::peer::message::Statement>,
    /// Greatest age of data, if the caller wants it fresher than its kind allows.
    pub max_age: Option<Duration>,
    /// Deadline, if the caller wants it sooner than its kind's.
    pub deadline: Option<Duration>,
    /// Idempotency key.
    pub idempotency_key: Option<String>,
}

/// Answer to a request that ran.
#[derive(Clone, Debug, Default)]
pub struct Success {
    /// Results as the text of a JSON array.
    pub results: String,
    /// Session token.
    pub session_token: Option<String>,
    /// Name of the upstream that served it.
    pub upstream: Option<String>,
    /// Age of the data.
    pub age: Option<Duration>,
    /// Identifier of the transaction that was opened.
    pub transaction: Option<String>,
}

/// Answer to a call.
pub type CallResult = Result<Success, Problem>;
