//! Final outcomes of a request.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::types::LogPosition;

use super::Repeatability;

/// Reason why a request did not run.
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
    /// No upstream is as fresh as the read requires.
    #[display("data too old")]
    TooOld,
    /// The VM is no longer the dispatcher of the upstream, or is leaving.
    #[display("moved")]
    Moved,
    /// The dispatcher can't reach its upstream.
    #[display("upstream out of reach")]
    OutOfReach,
    /// The cancel record for the request's key is confirmed.
    #[display("cancelled")]
    Cancelled,
}

impl Cause {
    /// Returns whether another dispatcher or newer group state may remove the cause.
    #[must_use]
    pub const fn is_transient(self) -> bool {
        matches!(self, Self::NoPrimary | Self::Moved | Self::OutOfReach)
    }
}

/// Outcome of a request that did not run.
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

/// Outcome of a request that may or may not have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnknownOutcome {
    repeatability: Repeatability,
}

impl UnknownOutcome {
    pub(super) const fn new(repeatability: Repeatability) -> Self {
        Self { repeatability }
    }

    /// Returns whether the outcome can be queried by the request's idempotency key.
    #[must_use]
    pub fn can_query_outcome(self) -> bool {
        self.repeatability == Repeatability::Keyed
    }
}

/// Outcome of a write that is confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConfirmedWrite {
    position: LogPosition,
}

impl ConfirmedWrite {
    pub(super) const fn new(position: LogPosition) -> Self {
        Self { position }
    }

    /// Returns the log position for the session token.
    #[must_use]
    pub const fn position(self) -> LogPosition {
        self.position
    }
}

/// Outcome of a request that was not served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestFailure {
    /// The request did not run.
    NotRun(NotRun),
    /// Whether the request ran is unknown.
    Unknown(UnknownOutcome),
}
