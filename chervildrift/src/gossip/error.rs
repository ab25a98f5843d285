//! Errors of the membership socket.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// Why the membership socket could not be opened.
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
        /// No tokio runtime runs in the calling thread.
        Runtime(err: tokio::runtime::TryCurrentError) {
            from()
            source(err)
            display("the membership socket needs a runtime: {}", err)
        }
    }
}

quick_error! {
    /// Why a datagram was dropped.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum DropReason {
        /// Longer than any datagram of the protocol, or too short for its envelope.
        WrongSize {
            display("the datagram has a wrong size")
        }
        /// Not made with the fleet key.
        Unauthenticated {
            display("the datagram is not from a member of the fleet")
        }
        /// Made with the fleet key, but its content makes no sense.
        Malformed {
            display("the datagram is malformed")
        }
        /// Received before, or too old to tell.
        Replayed {
            display("the datagram was received before")
        }
    }
}

impl From<capnp::Error> for DropReason {
    fn from(_: capnp::Error) -> Self {
        Self::Malformed
    }
}
