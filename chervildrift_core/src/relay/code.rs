//! Reasons with which a statement fails.

use derive_more::Display;

/// Why a statement failed.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum Code {
    /// The upstream or the VM has no room now.
    #[display("busy")]
    Busy,
    /// The transaction was rolled back.
    #[display("aborted")]
    Aborted,
    /// The upstream's log lacks a position that the read needs.
    #[display("lagging")]
    Lagging,
    /// The upstream is not the primary.
    #[display("read_only")]
    ReadOnly,
    /// The address belongs to another upstream.
    #[display("wrong_upstream")]
    WrongUpstream,
    /// The upstream takes no more connections.
    #[display("overloaded")]
    Overloaded,
    /// The statement may have taken effect.
    #[display("in_doubt")]
    InDoubt,
    /// The statement took longer than its limit.
    #[display("timeout")]
    Timeout,
    /// The statement ran and failed.
    #[display("failed")]
    Failed,
    /// No prepared statement has this name.
    #[display("unknown_statement")]
    UnknownStatement,
    /// The caller may not use the database.
    #[display("denied")]
    Denied,
    /// No route serves the database.
    #[display("no_database")]
    NoDatabase,
    /// The message is longer than allowed.
    #[display("too_large")]
    TooLarge,
    /// The message can't be understood, or not in this state.
    #[display("malformed")]
    Malformed,
}

impl Code {
    /// Tells whether the code promises that the statement left no effect at an upstream.
    #[must_use]
    pub const fn guarantees_no_effect(self) -> bool {
        matches!(
            self,
            Self::Busy
                | Self::Aborted
                | Self::Lagging
                | Self::ReadOnly
                | Self::WrongUpstream
                | Self::Overloaded
        )
    }
}
