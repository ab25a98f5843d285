//! Responses to the statements of callers.

use std::borrow::Cow;
use std::time::Duration;

use chervildrift_core::relay::Code;
use chervildrift_platform::wire;

/// Response to a statement.
#[derive(Clone, Debug)]
pub(in crate::relay) enum Response {
    /// An upstream ran the statement successfully.
    Upstream {
        /// Rows as the upstream sent them.
        rows: Vec<String>,
        /// The upstream's signature.
        signature: String,
    },
    /// The VM handled the statement itself.
    Accepted,
    /// The statement failed.
    Failed(Failure),
}

/// Reason why a statement failed.
#[derive(Clone, Debug)]
pub(in crate::relay) struct Failure {
    /// Error code for the caller.
    pub code: Code,
    /// Description for the caller and the log.
    pub detail: String,
    /// Time after which the caller may retry a statement that has not run.
    pub retry_delay: Option<Duration>,
}

impl Failure {
    /// Builds a failure.
    pub(in crate::relay) fn new(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            detail: detail.into(),
            retry_delay: None,
        }
    }

    /// Sets the time after which the caller may retry.
    pub(in crate::relay) fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_delay = Some(delay);
        self
    }

    /// Returns the description with the retry time appended, since the protocol has no field for
    /// it.
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
    /// Builds the response to a failed statement.
    pub(in crate::relay) fn failed(code: Code, detail: impl Into<String>) -> Self {
        Self::Failed(Failure::new(code, detail))
    }

    /// Returns the error code, if the statement failed.
    pub(in crate::relay) const fn code(&self) -> Option<Code> {
        match self {
            Self::Failed(failure) => Some(failure.code),
            Self::Upstream { .. } | Self::Accepted => None,
        }
    }

    /// Encodes the response for the caller.
    pub(in crate::relay) fn encode(&self, out: &mut String) {
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
