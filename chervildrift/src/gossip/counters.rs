//! Counters of the membership socket.

use super::DropReason;
use crate::peer::Counter;

/// Counters of datagrams.
#[derive(Debug, Default)]
pub struct Counters {
    /// Datagrams that were sent.
    pub sent: Counter,
    /// Datagrams that the socket could not send at once.
    pub unsent: Counter,
    /// Messages that were not sent because they do not fit into a datagram.
    pub oversized: Counter,
    /// Received datagrams whose message was passed to the event loop.
    pub received: Counter,
    /// Received datagrams that are too long or too short.
    pub wrong_size: Counter,
    /// Received datagrams without a valid proof of the fleet key.
    pub unauthenticated: Counter,
    /// Received datagrams with a valid proof and invalid content.
    pub malformed: Counter,
    /// Received datagrams that arrived twice or too late.
    pub replayed: Counter,
    /// Received datagrams dropped because the queue of the event loop was full.
    pub overrun: Counter,
}

impl Counters {
    /// Counts a dropped datagram by the reason.
    pub(super) fn count_dropped(&self, reason: DropReason) {
        match reason {
            DropReason::WrongSize => self.wrong_size.increment(),
            DropReason::Unauthenticated => self.unauthenticated.increment(),
            DropReason::Malformed => self.malformed.increment(),
            DropReason::Replayed => self.replayed.increment(),
        }
    }
}
