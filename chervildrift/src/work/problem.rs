//! Errors as callers see them.

use derive_more::Display;

/// What became of a request that was not answered with results.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RequestState {
    /// It did not run and never will.
    #[display("not_run")]
    NotRun,
    /// It ran, failed, and has no effect.
    #[display("failed")]
    Failed,
    /// It may or may not have taken effect.
    #[display("unknown")]
    Unknown,
}

/// Stable name of an error.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ProblemKind {
    /// The request can't be parsed.
    #[display("malformed-request")]
    MalformedRequest,
    /// No such path.
    #[display("not-found")]
    NotFound,
    /// The path takes another method.
    #[display("method-not-allowed")]
    MethodNotAllowed,
    /// The body exceeds the limit.
    #[display("body-too-large")]
    BodyTooLarge,
    /// The body did not arrive in time.
    #[display("receive-timeout")]
    ReceiveTimeout,
    /// There is no valid credential.
    #[display("unauthorized")]
    Unauthorized,
    /// The credential is for another service.
    #[display("forbidden")]
    Forbidden,
    /// The session token is forged, damaged or for another group.
    #[display("invalid-session")]
    InvalidSession,
    /// The service is not declared.
    #[display("unknown-service")]
    UnknownService,
    /// The kind of work is not declared.
    #[display("unknown-kind")]
    UnknownKind,
    /// The transaction is not open.
    #[display("unknown-transaction")]
    UnknownTransaction,
    /// A statement of this form is not taken.
    #[display("statement-not-allowed")]
    StatementNotAllowed,
    /// The idempotency key was used for other statements.
    #[display("key-reused")]
    KeyReused,
    /// The request was cancelled under its idempotency key.
    #[display("cancelled")]
    Cancelled,
    /// The VM or the upstream takes no more work of this kind now.
    #[display("overloaded")]
    Overloaded,
    /// The request could not be done within its deadline.
    #[display("deadline-exceeded")]
    DeadlineExceeded,
    /// No upstream has data that is fresh enough.
    #[display("data-too-old")]
    DataTooOld,
    /// The upstreams that are needed can't be reached.
    #[display("unavailable")]
    Unavailable,
    /// The upstream refused a statement.
    #[display("statement-failed")]
    StatementFailed,
    /// The transaction has ended.
    #[display("transaction-lost")]
    TransactionLost,
    /// The outcome could not be learnt within the deadline.
    #[display("outcome-unknown")]
    OutcomeUnknown,
    /// An invariant was about to be broken.
    #[display("internal")]
    Internal,
}

impl ProblemKind {
    /// Returns the HTTP status.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::MalformedRequest | Self::InvalidSession | Self::StatementNotAllowed => 400,
            Self::Unauthorized => 401,
            Self::Forbidden => 403,
            Self::NotFound
            | Self::UnknownService
            | Self::UnknownKind
            | Self::UnknownTransaction => 404,
            Self::MethodNotAllowed => 405,
            Self::ReceiveTimeout => 408,
            Self::KeyReused | Self::Cancelled | Self::TransactionLost => 409,
            Self::BodyTooLarge => 413,
            Self::StatementFailed => 422,
            Self::Internal => 500,
            Self::Overloaded | Self::DeadlineExceeded | Self::DataTooOld | Self::Unavailable => 503,
            Self::OutcomeUnknown => 504,
        }
    }
}

/// An error with what became of the request.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{kind} ({state}): {detail}")]
pub struct Problem {
    /// Stable name.
    pub kind: ProblemKind,
    /// What became of the request.
    pub state: RequestState,
    /// Text for people.
    pub detail: String,
    /// Path at which the outcome can be asked for.
    pub ask: Option<String>,
}

impl Problem {
    /// Builds the error of a request that did not run.
    #[must_use]
    pub fn not_run(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            state: RequestState::NotRun,
            detail: detail.into(),
            ask: None,
        }
    }

    /// Builds the error of a request that ran without effect.
    #[must_use]
    pub fn failed(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            state: RequestState::Failed,
            detail: detail.into(),
            ask: None,
        }
    }

    /// Builds the error of a request whose outcome can be asked for at `ask`.
    #[must_use]
    pub fn unknown(detail: impl Into<String>, ask: Option<String>) -> Self {
        let kind = ProblemKind::OutcomeUnknown;
        Self {
            kind,
            state: RequestState::Unknown,
            detail: detail.into(),
            ask,
        }
    }
}
