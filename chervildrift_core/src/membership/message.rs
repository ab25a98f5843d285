//! Messages between the VMs, and estimates of their encoded sizes.

use std::net::SocketAddr;

use derive_more::Display;

use crate::generation::Version;
use crate::types::{Vm, Zone};

/// Size of the largest datagram in bytes; fits every common path without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Bytes around an encoded message: IP and UDP headers (28) and an HMAC-SHA-256 (32).
pub const ENVELOPE_BYTES: usize = 60;

/// Number of anti-entropy buckets; fixed, since both sides must partition the members identically.
pub const BUCKETS: usize = 128;

/// Bytes of a Cap'n Proto word.
const WORD: usize = 8;

/// Encoded size of an address: a struct with port and family, and a data pointer with 16 bytes.
const ADDRESS_BYTES: usize = 5 * WORD;

/// Encoded size of an empty message: segment table, root pointer, and the data and pointers of the
/// incarnation, version, name, body and changes.
const MESSAGE_OVERHEAD_BYTES: usize = 11 * WORD + 32;

/// Incarnation of a VM's process, ordered by boot, then by count.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{boot}.{count}")]
pub struct Incarnation {
    /// Number of the process, greater than that of every earlier process of the same name.
    pub boot: u64,
    /// Times that the process refuted a suspicion or changed its own state.
    pub count: u32,
}

/// State of a VM. At the same incarnation a later variant overrides an earlier one.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum State {
    /// Answers probes.
    #[display("alive")]
    Alive,
    /// Answers probes, finishes its work and takes no new work.
    #[display("leaving")]
    Leaving,
    /// Missed a probe and may still refute.
    #[display("suspect")]
    Suspect,
    /// Missed a probe and did not refute in time.
    #[display("failed")]
    Failed,
    /// Announced the end of its process.
    #[display("left")]
    Left,
}

impl State {
    /// Returns whether the VM still counts as a member.
    #[must_use]
    pub const fn is_member(self) -> bool {
        matches!(self, Self::Alive | Self::Leaving | Self::Suspect)
    }
}

/// Availability zone and address of a VM. Its TCP and UDP peer listeners share the address.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Place {
    /// Availability zone of the VM.
    pub zone: Zone,
    /// Address of its peer listeners.
    pub address: SocketAddr,
}

/// State of one VM as known to the sender.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// VM concerned.
    pub vm: Vm,
    /// Incarnation the state belongs to.
    pub incarnation: Incarnation,
    /// State of the VM.
    pub state: State,
    /// Place of the VM; absent for a VM that is suspected, failed or left.
    pub place: Option<Place>,
}

impl Change {
    /// Estimates the encoded size in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        let place = self.place.as_ref().map_or(0, |place| {
            2 * WORD + text_bytes(place.zone.as_str()) + ADDRESS_BYTES
        });
        4 * WORD + text_bytes(self.vm.as_str()) + place
    }
}

/// Body of a message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Body {
    /// Asks for an [`Body::Ack`].
    Ping {
        /// Number that the answer repeats.
        sequence: u32,
    },
    /// Answers a [`Body::Ping`].
    Ack {
        /// Number of the ping.
        sequence: u32,
    },
    /// Asks the receiver to ping `vm` and report its answer.
    IndirectPing {
        /// Number that the report repeats.
        sequence: u32,
        /// VM to ping.
        vm: Vm,
        /// Its address.
        address: SocketAddr,
    },
    /// Reports that `vm` answered the ping requested by a [`Body::IndirectPing`].
    IndirectAck {
        /// Number of the request.
        sequence: u32,
        /// VM that answered.
        vm: Vm,
    },
    /// Carries changes only.
    Gossip,
    /// Asks for the members of buckets whose digests differ.
    SyncRequest {
        /// Digest of each bucket.
        digests: Vec<u32>,
        /// Maximum number of buckets that the sender accepts in answer.
        budget: u8,
    },
    /// Answers a [`Body::SyncRequest`] with the number of buckets that differ.
    SyncReply {
        /// Differing buckets, whether or not their pages were sent.
        differing: u8,
    },
    /// Members of one bucket, in order of name.
    Page(Page),
}

/// Range of a bucket: all its members after `after` up to and including `until`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Page {
    /// Index of the bucket.
    pub bucket: u8,
    /// Name before the first entry, or none if the range starts with the bucket.
    pub after: Option<Vm>,
    /// Name of the last entry, or none if the range ends with the bucket.
    pub until: Option<Vm>,
    /// Whether the receiver answers with newer and missing entries.
    pub wants_reply: bool,
    /// Members in the range.
    pub entries: Vec<Change>,
}

/// One datagram of the membership protocol.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Message {
    /// Sender.
    pub from: Vm,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Configuration that the sender has in force.
    pub version: Version,
    /// Body of the message.
    pub body: Body,
    /// Piggybacked changes.
    pub changes: Vec<Change>,
}

impl Message {
    /// Estimates the size of the datagram in bytes, headers and HMAC included.
    #[must_use]
    pub fn size(&self) -> usize {
        let changes: usize = self.changes.iter().map(Change::size).sum();
        base_size(&self.from) + self.body.size() + changes
    }
}

impl Body {
    /// Estimates the encoded size in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        match self {
            Self::Gossip => 0,
            Self::Ping { .. } | Self::Ack { .. } | Self::SyncReply { .. } => WORD,
            Self::IndirectPing { vm, .. } => 3 * WORD + text_bytes(vm.as_str()) + ADDRESS_BYTES,
            Self::IndirectAck { vm, .. } => 2 * WORD + text_bytes(vm.as_str()),
            Self::SyncRequest { digests, .. } => 2 * WORD + digests.len() * size_of::<u32>(),
            Self::Page(page) => page.size(),
        }
    }
}

impl Page {
    fn size(&self) -> usize {
        let name = |vm: &Option<Vm>| vm.as_ref().map_or(0, |vm| text_bytes(vm.as_str()));
        let entries: usize = self.entries.iter().map(Change::size).sum();
        5 * WORD + name(&self.after) + name(&self.until) + entries
    }
}

/// Returns the size of a datagram from `from` without body and changes.
pub(super) fn base_size(from: &Vm) -> usize {
    ENVELOPE_BYTES + MESSAGE_OVERHEAD_BYTES + text_bytes(from.as_str())
}

/// Returns the encoded size of a text, with its terminating zero and padded to whole words.
fn text_bytes(text: &str) -> usize {
    (text.len() + 1).next_multiple_of(WORD)
}
