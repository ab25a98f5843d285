//! Errors of a relaying VM.

use quick_error::quick_error;

quick_error! {
    /// Reason why the VM could not start.
    #[derive(Debug)]
    pub enum Error {
        /// A socket, signal or runtime failed.
        Io(err: std::io::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The metrics could not be registered.
        Metrics(err: prometheus::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The operators' listener could not be opened.
        Listen(err: crate::http::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The client for the platform's store could not be built.
        Store(err: chervildrift_platform::store::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// The client for promotions could not be built.
        Promotion(err: chervildrift_platform::promotion::Error) {
            display("{}", err)
            source(err)
            from()
        }
    }
}
