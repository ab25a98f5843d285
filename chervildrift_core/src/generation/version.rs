//! Hashes, generations and publish ids of configurations.

use std::fmt::{Display, Formatter, Result as FormatResult};
use std::str::FromStr;

use derive_more::Display;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

quick_error! {
    /// Errors of parsing a hash.
    #[derive(Debug, Clone, Copy, Eq, PartialEq)]
    pub enum HashError {
        /// Not 64 hexadecimal digits.
        InvalidDigits {
            display("a hash has 64 hexadecimal digits")
        }
    }
}

/// SHA-256 of a bundle.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(into = "String", try_from = "String")]
pub struct BundleHash(pub [u8; 32]);

impl BundleHash {
    /// Computes the hash of a bundle.
    #[must_use]
    pub fn of(bundle: &[u8]) -> Self {
        Self(Sha256::digest(bundle).into())
    }
}

impl Display for BundleHash {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        let mut bytes = self.0.iter();
        bytes.try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for BundleHash {
    type Err = HashError;

    fn from_str(text: &str) -> Result<Self, HashError> {
        let mut bytes = [0; 32];
        if text.len() != 2 * bytes.len() || !text.is_ascii() {
            return Err(HashError::InvalidDigits);
        }
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = text.get(2 * index..2 * index + 2).unwrap_or_default();
            *byte = u8::from_str_radix(digits, 16).map_err(|_error| HashError::InvalidDigits)?;
        }
        Ok(Self(bytes))
    }
}

impl From<BundleHash> for String {
    fn from(hash: BundleHash) -> Self {
        hash.to_string()
    }
}

impl TryFrom<String> for BundleHash {
    type Error = HashError;

    fn try_from(text: String) -> Result<Self, HashError> {
        text.parse()
    }
}

/// Generation and hash of the configuration that a VM has in force; generation 0 is none.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Version {
    /// Generation, which only rises.
    pub generation: u64,
    /// Hash of the bundle.
    pub hash: BundleHash,
}

/// Random number that identifies a publish.
#[derive(
    Clone,
    Copy,
    Debug,
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
#[serde(transparent)]
pub struct PublishId(pub u64);
