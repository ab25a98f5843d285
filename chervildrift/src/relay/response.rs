//! Answers to callers' statements.

use std::borrow::Cow;
use std::time::Duration;

use chervildrift_core::relay::Code;
use chervildrift_platform::wire;

/// Answer to a statement.
#[derive(Clone, Debug)]
pub(super) enum Response {
    /// The statement succeeded at an upstream.
    Upstream {
        /// Rows as the upstream sent them.
        rows: Vec<String>,
        /// The upstream's signature.
        signature: String,
    },
    /// The VM itself took the statement.
    Accepted,
    /// The statement failed.
    Failed(Failure),
}

/// Why a statement failed.
#[derive(Clone, Debug)]
pub(super) struct Failure {
    /// Code for the caller.
    pub code: Code,
    /// Explanation for the caller and the log.
    pub detail: String,
    /// When a statement that has not run may be sent again with a chance.
    pub retry_delay: Option<Duration>,
}

impl Failure {
    /// Builds a failure.
    pub(super) fn new(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            detail: detail.into(),
            retry_delay: None,
        }
    }

    /// Adds when the statement may be sent again.
    pub(super) fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_delay = Some(delay);
        self
    }

    /// Returns the explanation with the time of the next try, for which the protocol has no field.
    fn message(&self) -> Cow<'_, str> {
        match self.retry_delay {
            None => Cow::Borrowed(&self.detail),
            Some(delay) => {
                let ms = delay.as_millis();
                Cow::Owned(format!("{}; retry after {ms} ms", self.detail))
            }
        }
    }
}

impl Response {
    /// Builds a failed answer.
    pub(super) fn failed(code: Code, detail: impl Into<String>) -> Self {
        Self::Failed(Failure::new(code, detail))
    }

    /// Returns why the statement failed, if it did.
    pub(super) const fn code(&self) -> Option<Code> {
        match self {
            Self::Failed(failure) => Some(failure.code),
            Self::Upstream { .. } | Self::Accepted => None,
        }
    }

    /// Writes the answer for the caller.
    pub(super) fn encode(&self, out: &mut String) {
        match self {
            Self::Upstream { rows, signature } => {
                wire::encode_success(rows, Some(signature), out);
            }
            Self::Accepted => wire::encode_success(&[], None, out),
            Self::Failed(failure) => wire::encode_error(failure.code, &failure.message(), out),
        }
    }
}

impl From<Failure> for Response {
    fn from(failure: Failure) -> Self {
        Self::Failed(failure)
    }
}
