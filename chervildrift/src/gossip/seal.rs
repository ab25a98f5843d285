//! Envelope of a datagram: proof of the fleet key, sender's epoch and number, content.

use super::Fault;
use crate::peer::{Error, FleetKey};

/// Greatest datagram in bytes without the IP and UDP headers, which take 28 of 1,200.
pub const PAYLOAD_BYTES: usize = chervildrift_core::membership::MAX_DATAGRAM_BYTES - 28;

/// Length of the truncated HMAC-SHA-256 in bytes.
const PROOF_BYTES: usize = 16;

/// Length of the epoch and of the number in bytes.
const NUMBER_BYTES: usize = 8;

/// Length of the envelope in bytes.
const HEAD_BYTES: usize = PROOF_BYTES + 2 * NUMBER_BYTES;

/// Purpose of the derived key.
const PURPOSE: &str = "chervildrift gossip";

/// Seals and opens datagrams with the fleet key.
#[derive(Clone, Debug)]
pub struct Seal(FleetKey);

/// Which datagram of its sender this is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stamp {
    /// Start of the sender's process, in wall-clock milliseconds.
    pub epoch: u64,
    /// Number of the datagram since then, counted from 1.
    pub number: u64,
}

/// Content of an opened datagram.
#[derive(Clone, Copy, Debug)]
pub struct Opened<'a> {
    /// Which datagram it is.
    pub stamp: Stamp,
    /// Encoded message.
    pub content: &'a [u8],
}

impl Seal {
    /// Derives the seal from the fleet key.
    pub fn open(key: &FleetKey) -> Result<Self, Error> {
        key.derive(PURPOSE).map(Self)
    }

    /// Puts a message into its envelope; `None` if it does not fit a datagram.
    pub fn seal(&self, stamp: Stamp, content: &[u8]) -> Option<Vec<u8>> {
        if HEAD_BYTES + content.len() > PAYLOAD_BYTES {
            return None;
        }
        let epoch = stamp.epoch.to_le_bytes();
        let number = stamp.number.to_le_bytes();
        let proof = self.0.prove(&[&epoch, &number, content]);
        let parts = [&proof[..PROOF_BYTES], &epoch, &number, content];
        Some(parts.concat())
    }

    /// Checks a datagram and takes it apart.
    pub fn unseal<'a>(&self, datagram: &'a [u8]) -> Result<Opened<'a>, Fault> {
        if datagram.len() > PAYLOAD_BYTES {
            return Err(Fault::Size);
        }
        let (proof, rest) = datagram.split_at_checked(PROOF_BYTES).ok_or(Fault::Size)?;
        let (epoch, rest) = rest.split_first_chunk().ok_or(Fault::Size)?;
        let (number, content) = rest
            .split_first_chunk::<NUMBER_BYTES>()
            .ok_or(Fault::Size)?;
        if !self.0.verify(&[epoch, number, content], proof) {
            return Err(Fault::Foreign);
        }
        let stamp = Stamp {
            epoch: u64::from_le_bytes(*epoch),
            number: u64::from_le_bytes(*number),
        };
        Ok(Opened { stamp, content })
    }
}
