//! Counters of the membership socket.

use super::DropReason;
use crate::peer::Counter;

/// Counters of datagrams.
#[derive(Debug, Default)]
pub struct Counters {
    /// Sent datagrams.
    pub sent: Counter,
    /// Datagrams that the socket did not take.
    pub unsent: Counter,
    /// Messages that were not sent because they fit no datagram.
    pub oversized: Counter,
    /// Received datagrams that were passed on.
    pub received: Counter,
    /// Received datagrams of a wrong size.
    pub wrong_size: Counter,
    /// Received datagrams without a valid proof of the fleet key.
    pub unauthenticated: Counter,
    /// Received datagrams with a valid proof and senseless content.
    pub malformed: Counter,
    /// Received datagrams that came twice or too late.
    pub replayed: Counter,
    /// Received datagrams dropped because the event loop is behind.
    pub overrun: Counter,
}

impl Counters {
    /// Counts a dropped datagram.
    pub(super) fn count_dropped(&self, reason: DropReason) {
        match reason {
            DropReason::WrongSize => self.wrong_size.increment(),
            DropReason::Unauthenticated => self.unauthenticated.increment(),
            DropReason::Malformed => self.malformed.increment(),
            DropReason::Replayed => self.replayed.increment(),
        }
    }
}
