//! Errors of the membership socket.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// Reason why the membership socket could not be opened.
    #[derive(Debug)]
    pub enum Error {
        /// The address could not be bound.
        Bind(err: io::Error) {
            from()
            source(err)
            display("cannot bind the membership socket: {}", err)
        }
        /// The fleet key cannot be used.
        Key(err: crate::peer::Error) {
            from()
            source(err)
            display("cannot use the fleet key: {}", err)
        }
        /// The calling thread has no Tokio runtime.
        Runtime(err: tokio::runtime::TryCurrentError) {
            from()
            source(err)
            display("the membership socket needs a Tokio runtime: {}", err)
        }
    }
}

quick_error! {
    /// Reason why a datagram was dropped.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum DropReason {
        /// The datagram is longer than the protocol allows, or too short for its header.
        WrongSize {
            display("the datagram has an invalid size")
        }
        /// The datagram has no valid proof of the fleet key.
        Unauthenticated {
            display("the datagram has no valid proof of the fleet key")
        }
        /// The proof is valid, but the content can't be decoded.
        Malformed {
            display("the datagram is malformed")
        }
        /// The datagram was received before, or is too old to tell.
        Replayed {
            display("the datagram was received before or is too old")
        }
    }
}

impl From<capnp::Error> for DropReason {
    fn from(_: capnp::Error) -> Self {
        Self::Malformed
    }
}
