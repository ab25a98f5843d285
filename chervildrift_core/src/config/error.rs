//! Errors of the configuration.

use quick_error::quick_error;

quick_error! {
    /// Why a bundle could not be read.
    #[derive(Debug)]
    pub enum Error {
        /// The bundle is not the JSON of a bundle.
        Malformed(err: serde_json::Error) {
            display("malformed bundle: {}", err)
            source(err)
            from()
        }
        /// Two operator files declare the same service.
        Duplicate(service: String) {
            display("service {service} is declared twice")
        }
    }
}
