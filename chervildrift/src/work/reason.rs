//! Why a dispatcher did not run a request, as it crosses a peer link.

use derive_more::{Display, FromStr};

/// Why a dispatcher did not run a request.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, PartialEq)]
pub enum Reason {
    /// The upstream is not the primary, or there is none now.
    NotPrimary,
    /// The upstream has not applied what the session token covers.
    Behind,
    /// The data is older than the request allows.
    TooOld,
    /// A queue, a share or a limit is full.
    Overloaded,
    /// The work would end after its deadline.
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
    /// The request can't be read.
    Malformed,
}
