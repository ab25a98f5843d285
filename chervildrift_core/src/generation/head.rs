//! The platform's head record.

use serde::{Deserialize, Serialize};

use super::version::{BundleHash, PublishId, Version};

/// Number of earlier publishes that a head record names. Enough to tell the outcome of a publish
/// whose answer was lost while others followed.
pub const MAX_PAST_PUBLISHES: usize = 16;

/// One publish that took effect.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Publish {
    /// Generation that it made.
    pub generation: u64,
    /// Its publish id.
    pub id: PublishId,
    /// Operator who published.
    pub author: String,
}

/// The head record: the latest publish, its bundle and the publishes before it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Latest publish.
    pub latest: Publish,
    /// Hash of its bundle.
    pub hash: BundleHash,
    /// Publishes before it, latest first.
    pub past: Vec<Publish>,
}

impl Head {
    /// Returns the generation and hash.
    #[must_use]
    pub const fn version(&self) -> Version {
        Version {
            generation: self.latest.generation,
            hash: self.hash,
        }
    }

    /// Returns the publish that made `generation`, if the record still names it.
    #[must_use]
    pub fn find_publish(&self, generation: u64) -> Option<&Publish> {
        std::iter::once(&self.latest)
            .chain(&self.past)
            .find(|publish| publish.generation == generation)
    }

    /// Returns the record that follows `base`, or the first record of a table without one.
    #[must_use]
    pub fn next(base: Option<&Self>, latest: Publish, hash: BundleHash) -> Self {
        let before = base.map(|head| std::iter::once(&head.latest).chain(&head.past));
        let past = before.map(|publishes| publishes.take(MAX_PAST_PUBLISHES).cloned().collect());
        Self {
            latest,
            hash,
            past: past.unwrap_or_default(),
        }
    }
}
