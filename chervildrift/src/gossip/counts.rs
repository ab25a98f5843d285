//! Counters of the membership socket.

use super::Fault;
use crate::peer::Count;

/// Counters of datagrams.
#[derive(Debug, Default)]
pub struct Counts {
    /// Sent datagrams.
    pub sent: Count,
    /// Datagrams that the socket did not take.
    pub unsent: Count,
    /// Messages that were not sent because they fit no datagram.
    pub oversized: Count,
    /// Received datagrams that were passed on.
    pub received: Count,
    /// Received datagrams of a wrong size.
    pub wrong_size: Count,
    /// Received datagrams without a valid proof of the fleet key.
    pub foreign: Count,
    /// Received datagrams with a valid proof and senseless content.
    pub malformed: Count,
    /// Received datagrams that came twice or too late.
    pub replayed: Count,
    /// Received datagrams dropped because the event loop is behind.
    pub overrun: Count,
}

impl Counts {
    /// Counts a dropped datagram.
    pub(super) fn drop_for(&self, fault: Fault) {
        match fault {
            Fault::Size => self.wrong_size.raise(),
            Fault::Foreign => self.foreign.raise(),
            Fault::Malformed => self.malformed.raise(),
            Fault::Replayed => self.replayed.raise(),
        }
    }
}
