//! Errors of the platform adapter.

use quick_error::quick_error;

quick_error! {
    /// Why the platform gave no usable answer.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// The HTTP client could not be set up.
        Setup(detail: String) {
            display("cannot set up the platform client: {}", detail)
        }
        /// The platform refuses connections or says that it is unavailable; nothing took effect.
        Unavailable {
            display("the platform is unavailable")
        }
        /// A read was not answered in time or its answer was lost.
        NoAnswer {
            display("the platform did not answer a read")
        }
        /// The answer to a write was lost: it may have taken effect, and only reading back tells.
        Unknown {
            display("the outcome of a platform write is unknown")
        }
        /// The platform rejected the request with this status.
        Rejected(status: u16) {
            display("the platform rejected the request with status {}", status)
        }
        /// The value or the answer is larger than the stated size in bytes.
        TooLarge(limit: usize) {
            display("a platform value is larger than {} bytes", limit)
        }
        /// The answer cannot be understood.
        Malformed(detail: String) {
            display("the platform's answer is malformed: {}", detail)
        }
        /// A table, key or hash cannot be part of a path.
        InvalidName {
            display("a table, key or hash is empty or a relative path")
        }
    }
}

impl Error {
    /// Tells whether another try of a repeatable request may succeed.
    pub(super) const fn is_transient(&self) -> bool {
        matches!(
            self,
            Self::Unavailable | Self::NoAnswer | Self::Unknown | Self::Rejected(500..=599)
        )
    }
}
