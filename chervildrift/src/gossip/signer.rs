//! Signing and verification of datagrams.
//!
//! A datagram consists of a proof of the fleet key, an epoch, a number and the content.

use super::DropReason;
use crate::peer::{Error, FleetKey};

/// Maximum size of a datagram without the IP and UDP headers, which take 28 of 1,200 bytes.
pub const MAX_PAYLOAD_BYTES: usize = chervildrift_core::membership::MAX_DATAGRAM_BYTES - 28;

/// Length of the proof, a truncated HMAC-SHA-256.
const PROOF_BYTES: usize = 16;

/// Length of the epoch, and of the number.
const NUMBER_BYTES: usize = 8;

/// Length of the header that precedes the content.
const HEADER_BYTES: usize = PROOF_BYTES + 2 * NUMBER_BYTES;

/// Purpose from which the datagram key is derived.
const KEY_PURPOSE: &str = "chervildrift gossip";

/// Signs and verifies datagrams with a key derived from the fleet key.
#[derive(Clone, Debug)]
pub struct DatagramSigner(FleetKey);

/// Identifier of a datagram, unique for its sender.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DatagramId {
    /// Start of the sender's process as wall-clock time in milliseconds.
    pub epoch: u64,
    /// Number of the datagram since then, counted from 1.
    pub number: u64,
}

/// Identifier and content of a verified datagram.
#[derive(Clone, Copy, Debug)]
pub struct VerifiedDatagram<'a> {
    /// Identifier of the datagram.
    pub id: DatagramId,
    /// Encoded message.
    pub content: &'a [u8],
}

impl DatagramSigner {
    /// Derives the datagram key from the fleet key.
    pub fn new(key: &FleetKey) -> Result<Self, Error> {
        key.derive(KEY_PURPOSE).map(Self)
    }

    /// Builds a signed datagram; returns `None` if the content does not fit into one.
    pub fn sign(&self, id: DatagramId, content: &[u8]) -> Option<Vec<u8>> {
        if HEADER_BYTES + content.len() > MAX_PAYLOAD_BYTES {
            return None;
        }
        let epoch = id.epoch.to_le_bytes();
        let number = id.number.to_le_bytes();
        let proof = self.0.prove(&[&epoch, &number, content]);
        let parts = [&proof[..PROOF_BYTES], &epoch, &number, content];
        Some(parts.concat())
    }

    /// Verifies a datagram and returns its identifier and content.
    pub fn verify<'a>(&self, datagram: &'a [u8]) -> Result<VerifiedDatagram<'a>, DropReason> {
        if datagram.len() > MAX_PAYLOAD_BYTES {
            return Err(DropReason::WrongSize);
        }
        let (proof, rest) = datagram
            .split_at_checked(PROOF_BYTES)
            .ok_or(DropReason::WrongSize)?;
        let (epoch, rest) = rest.split_first_chunk().ok_or(DropReason::WrongSize)?;
        let (number, content) = rest
            .split_first_chunk::<NUMBER_BYTES>()
            .ok_or(DropReason::WrongSize)?;
        if !self.0.verify(&[epoch, number, content], proof) {
            return Err(DropReason::Unauthenticated);
        }
        let id = DatagramId {
            epoch: u64::from_le_bytes(*epoch),
            number: u64::from_le_bytes(*number),
        };
        Ok(VerifiedDatagram { id, content })
    }
}
