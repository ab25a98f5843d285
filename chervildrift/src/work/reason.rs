//! Reasons for which a dispatcher refuses a request, sent by their variant names to other VMs.

use derive_more::{Display, FromStr};

/// Reason for which a dispatcher did not run a request.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, PartialEq)]
pub enum Reason {
    /// The upstream is not the primary, or there is none now.
    NotPrimary,
    /// The upstream has not applied the position of the session token.
    Behind,
    /// The data is older than the request allows.
    TooOld,
    /// A queue is full, or a share or limit is used up.
    Overloaded,
    /// The request would not be completed before its deadline.
    Deadline,
    /// No connection to the upstream could be opened.
    NoConnection,
    /// The dispatcher's configuration does not declare what the request names.
    Undeclared,
    /// No such transaction is open here.
    UnknownTransaction,
    /// A statement of the transaction is still running.
    TransactionBusy,
    /// The request was cancelled under its idempotency key.
    Cancelled,
    /// The request can't be parsed.
    Malformed,
}
