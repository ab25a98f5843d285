//! Error codes of statements.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Reason why a statement failed.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
pub enum Code {
    /// The upstream or the VM has no free capacity.
    #[display("busy")]
    Busy,
    /// The transaction was rolled back.
    #[display("aborted")]
    Aborted,
    /// The upstream's log lacks a position that the read requires.
    #[display("lagging")]
    Lagging,
    /// The upstream is not the primary.
    #[display("read_only")]
    ReadOnly,
    /// The address belongs to another upstream.
    #[display("wrong_upstream")]
    WrongUpstream,
    /// The upstream accepts no more connections.
    #[display("overloaded")]
    Overloaded,
    /// The statement may have taken effect.
    #[display("in_doubt")]
    InDoubt,
    /// The statement exceeded its time limit.
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
    /// No route leads to the database.
    #[display("no_database")]
    NoDatabase,
    /// The message is longer than allowed.
    #[display("too_large")]
    TooLarge,
    /// The message can't be parsed, or is not valid in the current state.
    #[display("malformed")]
    Malformed,
}

impl Code {
    /// Returns whether the code guarantees that the statement left no effect at an upstream.
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
