//! Errors of session tokens.

use quick_error::quick_error;

quick_error! {
    /// Reason why a token is refused.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum TokenError {
        /// The text is not a token of this layout.
        Malformed {
            display("the session token is malformed")
        }
        /// The tag does not match the fleet's key.
        Forged {
            display("the session token has a wrong signature")
        }
        /// The token belongs to another service.
        OtherService {
            display("the session token belongs to another service")
        }
        /// The settings hold no usable key.
        Key {
            display("the key of session tokens is empty")
        }
    }
}
