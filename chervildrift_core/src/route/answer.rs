//! Answers that end a request.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::types::LogPosition;

use super::Repeatability;

/// Why a request did not run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The queue of the request's rank is full, or the request can't finish in time.
    #[display("overloaded")]
    Overloaded,
    /// The deadline passed before the request was sent.
    #[display("deadline passed")]
    Deadline,
    /// The group has no primary.
    #[display("no primary")]
    NoPrimary,
    /// No upstream is as fresh as the read asks for.
    #[display("data too old")]
    TooOld,
    /// The VM is not the dispatcher of the upstream any more, or is leaving.
    #[display("moved")]
    Moved,
    /// The dispatcher can't reach its upstream.
    #[display("upstream out of reach")]
    OutOfReach,
    /// The cancel record of the request's key is confirmed.
    #[display("cancelled")]
    Cancelled,
}

impl Cause {
    /// Tells whether another dispatcher or a newer group state may lift the cause.
    #[must_use]
    pub const fn is_transient(self) -> bool {
        matches!(self, Self::NoPrimary | Self::Moved | Self::OutOfReach)
    }
}

/// The request did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NotRun {
    cause: Cause,
}

impl NotRun {
    pub(super) const fn new(cause: Cause) -> Self {
        Self { cause }
    }

    /// Returns why the request did not run.
    #[must_use]
    pub const fn cause(self) -> Cause {
        self.cause
    }
}

/// Whether the request ran is not known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnknownOutcome {
    repeatability: Repeatability,
}

impl UnknownOutcome {
    pub(super) const fn new(repeatability: Repeatability) -> Self {
        Self { repeatability }
    }

    /// Tells whether the outcome can be asked for by the request's key.
    #[must_use]
    pub fn can_query_outcome(self) -> bool {
        self.repeatability == Repeatability::Keyed
    }
}

/// The write is confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConfirmedWrite {
    position: LogPosition,
}

impl ConfirmedWrite {
    pub(super) const fn new(position: LogPosition) -> Self {
        Self { position }
    }

    /// Returns the mark for the session token.
    #[must_use]
    pub const fn position(self) -> LogPosition {
        self.position
    }
}

/// Answer to a request that was not served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestFailure {
    /// It did not run.
    NotRun(NotRun),
    /// Whether it ran is not known.
    Unknown(UnknownOutcome),
}
