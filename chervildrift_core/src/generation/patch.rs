//! Differences between two bundles.
//!
//! A publish changes few files, and a bundle is canonical text in a fixed order, so most of its
//! start and end stay the same. Sending only the middle keeps 6,400 changes a day within the
//! traffic limit of a VM, which sending the whole bundle each time would exceed.

use std::sync::Arc;

use super::version::BundleHash;

/// Estimated bytes of a patch without its middle.
const PATCH_OVERHEAD_BYTES: usize = 104;

/// The change from one bundle to the next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Patch {
    /// Hash of the bundle it applies to.
    pub base: BundleHash,
    /// Hash of the bundle it makes.
    pub hash: BundleHash,
    /// Bytes kept from the start.
    pub prefix: usize,
    /// Bytes kept from the end.
    pub suffix: usize,
    /// Bytes between them.
    pub middle: Arc<[u8]>,
}

impl Patch {
    /// Computes the change from `old` to `new`, whose hashes are `base` and `hash`.
    #[must_use]
    pub fn between(old: &[u8], base: BundleHash, new: &[u8], hash: BundleHash) -> Self {
        let same = |(a, b): &(&u8, &u8)| a == b;
        let prefix = old.iter().zip(new).take_while(same).count();
        let (old_end, new_end) = (&old[prefix..], &new[prefix..]);
        let ends = old_end.iter().rev().zip(new_end.iter().rev());
        let suffix = ends.take_while(same).count();
        Self {
            base,
            hash,
            prefix,
            suffix,
            middle: Arc::from(&new_end[..new_end.len() - suffix]),
        }
    }

    /// Applies the change, unless it does not fit `old`. The caller checks the hash.
    #[must_use]
    pub fn apply(&self, old: &[u8]) -> Option<Vec<u8>> {
        let start = old.get(..self.prefix)?;
        let suffix_start = old.len().checked_sub(self.suffix)?;
        let end = old.get(suffix_start..)?;
        Some([start, &self.middle, end].concat())
    }

    /// Estimates the encoded size in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        PATCH_OVERHEAD_BYTES + self.middle.len()
    }
}

/// A bundle as a peer or the object store sends it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Body {
    /// All its bytes.
    Whole(Arc<[u8]>),
    /// Changes to apply in turn to the bundle that the receiver has.
    Patches(Vec<Patch>),
}

impl Body {
    /// Estimates the encoded size in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        match self {
            Self::Whole(bytes) => bytes.len(),
            Self::Patches(patches) => patches.iter().map(Patch::size).sum(),
        }
    }
}
