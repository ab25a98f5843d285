//! Terms and positions of an upstream's log.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Term of a primary, raised by every promotion.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    Eq,
    From,
    Hash,
    Into,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

impl Term {
    /// Returns the next higher term.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Index of an entry in an upstream's log, counted from 1.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    Eq,
    From,
    Hash,
    Into,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Position(pub u64);

/// Last entry of a log, given by its term and its position.
///
/// The ordering tells which of several logs is the most complete: a log that ends in a higher term
/// was promoted later and contains every confirmed entry of the lower terms.
#[derive(
    Clone,
    Copy,
    derive_more::Debug,
    Default,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[display("{term}/{position}")]
// Details of invariant breaches and trace differences print a position under this name.
#[debug("Mark {{ term: {term:?}, position: {position:?} }}")]
pub struct LogPosition {
    /// Term of the entry.
    pub term: Term,
    /// Position of the entry.
    pub position: Position,
}

impl LogPosition {
    /// Creates a log position from plain numbers.
    #[must_use]
    pub const fn new(term: u64, position: u64) -> Self {
        Self {
            term: Term(term),
            position: Position(position),
        }
    }

    /// Returns whether a log that ends here contains the confirmed entry `other`.
    ///
    /// Both parts are compared, since a diverged former primary may have a greater position in a
    /// lower term.
    #[must_use]
    pub const fn covers(self, other: Self) -> bool {
        self.term.0 >= other.term.0 && self.position.0 >= other.position.0
    }
}
