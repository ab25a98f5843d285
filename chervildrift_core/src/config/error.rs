//! Errors of decoding or creating bundles.

use quick_error::quick_error;

quick_error! {
    /// Error of decoding or creating a bundle.
    #[derive(Debug)]
    pub enum Error {
        /// The text is not a bundle in JSON.
        Malformed(err: serde_json::Error) {
            display("malformed bundle: {}", err)
            source(err)
            from()
        }
        /// Two declarations are of the same service.
        Duplicate(service: String) {
            display("service {service} is declared twice")
        }
    }
}
