//! Errors of the platform client.

use quick_error::quick_error;

quick_error! {
    /// Error of a request to the platform.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// The HTTP client can't be set up.
        Setup(detail: String) {
            display("cannot set up the platform client: {}", detail)
        }
        /// The connection failed or the platform is unavailable; the request had no effect.
        Unavailable {
            display("the platform is unavailable")
        }
        /// A read timed out or its response was lost.
        NoAnswer {
            display("the platform did not answer a read")
        }
        /// The response to a write was lost, so it may have taken effect; only reading back tells.
        Unknown {
            display("the outcome of a platform write is unknown")
        }
        /// The platform rejected the request with this status.
        Rejected(status: u16) {
            display("the platform rejected the request with status {}", status)
        }
        /// The value or the response is larger than this limit in bytes.
        TooLarge(limit: usize) {
            display("a platform value is larger than {} bytes", limit)
        }
        /// A response can't be parsed or verified, or a value can't be encoded.
        Malformed(detail: String) {
            display("the platform's answer is malformed: {}", detail)
        }
        /// A table, key or hash can't be used as a path segment.
        InvalidName {
            display("a table, key or hash is empty or a relative path")
        }
    }
}

impl Error {
    /// Tells whether a retry of an idempotent request may succeed.
    pub(super) const fn is_transient(&self) -> bool {
        matches!(
            self,
            Self::Unavailable | Self::NoAnswer | Self::Unknown | Self::Rejected(500..=599)
        )
    }
}
