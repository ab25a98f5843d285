//! Errors that callers receive.

use derive_more::Display;

/// Whether a request that was answered with an error took effect.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RequestState {
    /// The request did not run and never will.
    #[display("not_run")]
    NotRun,
    /// The request ran and failed without any effect.
    #[display("failed")]
    Failed,
    /// The request may or may not have taken effect.
    #[display("unknown")]
    Unknown,
}

/// Type of an error; the displayed name is part of the HTTP interface.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ProblemKind {
    /// The request can't be parsed.
    #[display("malformed-request")]
    MalformedRequest,
    /// No such path.
    #[display("not-found")]
    NotFound,
    /// The path does not support the method.
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
    /// A statement begins with an unsupported keyword or contains a reserved name.
    #[display("statement-not-allowed")]
    StatementNotAllowed,
    /// The idempotency key was used for other statements.
    #[display("key-reused")]
    KeyReused,
    /// The request was cancelled under its idempotency key.
    #[display("cancelled")]
    Cancelled,
    /// The VM or the upstream accepts no more work of this kind at present.
    #[display("overloaded")]
    Overloaded,
    /// The request could not be completed within its deadline.
    #[display("deadline-exceeded")]
    DeadlineExceeded,
    /// No upstream has data that is fresh enough.
    #[display("data-too-old")]
    DataTooOld,
    /// No upstream that can serve the request is available or can be reached.
    #[display("unavailable")]
    Unavailable,
    /// The upstream refused a statement.
    #[display("statement-failed")]
    StatementFailed,
    /// The transaction is no longer open.
    #[display("transaction-lost")]
    TransactionLost,
    /// The outcome could not be determined within the deadline.
    #[display("outcome-unknown")]
    OutcomeUnknown,
    /// The request would have violated an invariant.
    #[display("internal")]
    Internal,
}

impl ProblemKind {
    /// Returns the HTTP status code.
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

/// Error of a request, which also states whether the request took effect.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{kind} ({state}): {detail}")]
pub struct Problem {
    /// Type of the error.
    pub kind: ProblemKind,
    /// Whether the request took effect.
    pub state: RequestState,
    /// Human-readable description.
    pub detail: String,
    /// Path at which the caller can query the outcome.
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

    /// Builds the error of a request that ran and failed without any effect.
    #[must_use]
    pub fn failed(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            state: RequestState::Failed,
            detail: detail.into(),
            ask: None,
        }
    }

    /// Builds the error of a request whose outcome is unknown and can be queried at `ask`.
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
