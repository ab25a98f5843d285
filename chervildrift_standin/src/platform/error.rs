//! Errors of the platform stand-in.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// Error at the start of a platform stand-in.
    #[derive(Debug)]
    pub enum Error {
        /// The listener or its threads could not be started.
        Io(err: io::Error) {
            from()
            source(err)
            display("cannot start the platform stand-in: {err}")
        }
    }
}

quick_error! {
    /// Reason for closing a connection without a response.
    #[derive(Clone, Copy, Debug)]
    pub enum ResponseDropped {
        /// The fault `lose_answer` is set.
        Fault {
            display("the answer is lost")
        }
    }
}
