//! Organisations, the keys by which their callers are known, and their quotas.
//!
//! Keys are secrets, so only their digests are kept and passed between VMs.

use std::collections::HashMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::types::Organisation;

/// Length of a digest in bytes; long enough that two keys never share one.
const DIGEST_BYTES: usize = 16;

/// Digest of a caller's key.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[display("{:032x}", u128::from_be_bytes(*_0))]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Returns the digest of a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        let full = Sha256::digest(key.as_bytes());
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&full[..DIGEST_BYTES]);
        Self(digest)
    }
}

/// Limit on the operations of an organisation, over the whole fleet.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Quota {
    /// Sustained rate, in operations per second.
    pub rate: f64,
    /// Operations that may exceed the sustained rate after a quiet time.
    pub burst: f64,
}

/// Configuration of an organisation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OrganisationRules {
    /// Name of the organisation.
    pub name: Organisation,
    /// Digests of the keys of its callers.
    pub keys: Vec<KeyDigest>,
    /// Limit on its operations, if it has one.
    pub quota: Option<Quota>,
}

/// Organisations of a configuration, indexed by name and by key.
#[derive(Clone, Debug, Default)]
pub struct OrganisationTable {
    by_key: HashMap<KeyDigest, Organisation>,
    quotas: HashMap<Organisation, Quota>,
}

impl OrganisationTable {
    /// Indexes the organisations of a configuration.
    #[must_use]
    pub fn new(organisations: &[OrganisationRules]) -> Self {
        let mut table = Self::default();
        for rules in organisations {
            for key in &rules.keys {
                table.by_key.insert(*key, rules.name.clone());
            }
            if let Some(quota) = rules.quota {
                table.quotas.insert(rules.name.clone(), quota);
            }
        }
        table
    }

    /// Returns the organisation to which a key belongs.
    #[must_use]
    pub fn find(&self, key: &KeyDigest) -> Option<&Organisation> {
        self.by_key.get(key)
    }

    /// Returns the quota of an organisation, if it has one.
    #[must_use]
    pub fn quota(&self, organisation: &Organisation) -> Option<Quota> {
        self.quotas.get(organisation).copied()
    }

    /// Returns the organisations that have a quota.
    pub fn quotas(&self) -> impl Iterator<Item = (&Organisation, Quota)> {
        self.quotas.iter().map(|(name, quota)| (name, *quota))
    }
}
