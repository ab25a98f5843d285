//! Errors during the start of a VM.

use quick_error::quick_error;

quick_error! {
    /// Error that prevents a VM from starting.
    #[derive(Debug)]
    pub enum Error {
        /// A key in the settings is not hexadecimal.
        Key(err: hex::FromHexError) {
            display("a key in the settings is not hexadecimal: {err}")
            source(err)
            from()
        }
        /// The session key is invalid.
        Session(err: chervildrift_core::token::TokenError) {
            display("session key: {err}")
            source(err)
            from()
        }
        /// A listener could not be opened.
        Listener(err: crate::http::Error) {
            display("{err}")
            source(err)
            from()
        }
        /// The peer links could not be opened.
        Peer(err: crate::peer::Error) {
            display("peer links: {err}")
            source(err)
            from()
        }
        /// The socket for membership messages could not be opened.
        Gossip(err: crate::gossip::Error) {
            display("membership socket: {err}")
            source(err)
            from()
        }
        /// The platform adapter could not be opened.
        Platform(err: crate::control_store::Error) {
            display("platform: {err}")
            source(err)
            from()
        }
        /// A thread or runtime could not be started.
        Runtime(err: std::io::Error) {
            display("runtime: {err}")
            source(err)
            from()
        }
        /// The metrics could not be registered.
        Metrics(err: prometheus::Error) {
            display("metrics: {err}")
            source(err)
            from()
        }
    }
}
