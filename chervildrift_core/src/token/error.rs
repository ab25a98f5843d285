//! Errors of session tokens.

use quick_error::quick_error;

quick_error! {
    /// Reason why a session token is rejected.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum TokenError {
        /// The text is not a token of the current layout.
        Malformed {
            display("the session token is malformed")
        }
        /// The authentication tag does not match the fleet's key.
        Forged {
            display("the session token has a wrong signature")
        }
        /// The token belongs to another service.
        OtherService {
            display("the session token belongs to another service")
        }
        /// The key in the settings is unusable.
        Key {
            display("the key of session tokens is empty")
        }
    }
}
