//! Secret key shared by all VMs of a fleet.

use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use super::Error;

/// Minimum length of a fleet key.
const MIN_KEY_BYTES: usize = 16;

/// Length of an untruncated proof.
pub const PROOF_BYTES: usize = 32;

/// HMAC-SHA-256 key with which a VM proves that it belongs to the fleet.
#[derive(Clone)]
pub struct FleetKey(Hmac<Sha256>);

impl FleetKey {
    /// Creates the key from the bytes in the settings.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() < MIN_KEY_BYTES {
            return Err(Error::WeakKey);
        }
        hmac_with_key(bytes).map(Self)
    }

    /// Derives a key for one purpose, so that its proofs are invalid for any other purpose.
    pub fn derive(&self, purpose: &str) -> Result<Self, Error> {
        hmac_with_key(&self.prove(&[purpose.as_bytes()])).map(Self)
    }

    /// Computes the proof over the parts.
    #[must_use]
    pub fn prove(&self, parts: &[&[u8]]) -> [u8; PROOF_BYTES] {
        self.mac(parts).finalize().into_bytes().into()
    }

    /// Verifies in constant time a proof over the parts, which may be truncated.
    #[must_use]
    pub fn verify(&self, parts: &[&[u8]], proof: &[u8]) -> bool {
        self.mac(parts).verify_truncated_left(proof).is_ok()
    }

    /// Hashes each part after its length, so that bytes can't shift from one part to the next.
    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        for part in parts {
            mac.update(&(part.len() as u64).to_le_bytes());
            mac.update(part);
        }
        mac
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey")
    }
}

fn hmac_with_key(bytes: &[u8]) -> Result<Hmac<Sha256>, Error> {
    Hmac::new_from_slice(bytes).ok().ok_or(Error::WeakKey)
}
