//! Errors of peer links.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// Reason why a call over a peer link has no response.
    #[derive(Clone, Debug, Eq, PartialEq)]
    #[allow(missing_docs, reason = "the macro takes no docs on fields; `sent` is explained at the method")]
    pub enum Error {
        /// The address could not be bound, or a thread could not be started.
        Bind(kind: io::ErrorKind) {
            display("cannot listen for peers: {}", kind)
        }
        /// The fleet key is shorter than the minimum length.
        WeakKey {
            display("the fleet key is too short")
        }
        /// The peer links of this VM are stopping or have stopped.
        Stopped { sent: bool } {
            display("peer links are stopped, sent: {}", sent)
        }
        /// Too many calls are in flight.
        Busy {
            display("too many calls in flight to the peer")
        }
        /// The TCP connection could not be opened.
        Unreachable(kind: io::ErrorKind) {
            display("cannot connect to the peer: {}", kind)
        }
        /// The peer does not have the fleet key, or does not speak the protocol.
        Unauthenticated {
            display("the peer has not proved the fleet key")
        }
        /// The peer has not answered a ping, or completed its handshake, in time.
        Unresponsive { sent: bool } {
            display("the peer does not respond, sent: {}", sent)
        }
        /// The connection was lost.
        Disconnected { sent: bool } {
            display("the connection to the peer was lost, sent: {}", sent)
        }
        /// The deadline of the call passed before a response arrived.
        Deadline { sent: bool } {
            display("the deadline of the call has passed, sent: {}", sent)
        }
        /// The peer refused the call without running it: it is overloaded or stopping.
        Refused {
            display("the peer refused the call without running it")
        }
        /// The peer does not implement the call.
        Unsupported {
            display("the peer does not support the call")
        }
        /// The call is larger than a link can carry.
        Oversized {
            display("the call is too large for a peer link")
        }
        /// The peer reported an internal error, or its response is invalid.
        Failed(detail: String) {
            display("the peer failed to answer: {}", detail)
        }
    }
}

impl Error {
    /// Returns whether the peer may have received the call.
    #[must_use]
    pub const fn sent(&self) -> bool {
        match self {
            Self::Stopped { sent }
            | Self::Unresponsive { sent }
            | Self::Disconnected { sent }
            | Self::Deadline { sent } => *sent,
            Self::Failed(_) => true,
            Self::Bind(_)
            | Self::WeakKey
            | Self::Busy
            | Self::Unreachable(_)
            | Self::Unauthenticated
            | Self::Refused
            | Self::Unsupported
            | Self::Oversized => false,
        }
    }

    /// Converts the error of a link to that of one of its calls.
    pub(super) fn for_call(&self, sent: bool) -> Self {
        match self {
            Self::Stopped { .. } => Self::Stopped { sent },
            Self::Unresponsive { .. } => Self::Unresponsive { sent },
            Self::Disconnected { .. } => Self::Disconnected { sent },
            Self::Deadline { .. } => Self::Deadline { sent },
            other => other.clone(),
        }
    }
}

impl From<capnp::Error> for Error {
    fn from(error: capnp::Error) -> Self {
        match error.kind {
            capnp::ErrorKind::Unimplemented => Self::Unsupported,
            capnp::ErrorKind::Disconnected => Self::Disconnected { sent: true },
            _ => Self::Failed(error.extra),
        }
    }
}
