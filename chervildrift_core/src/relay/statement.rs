//! Statements of callers, distinguished as far as the proxy needs.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Digest bytes in the upstream name of a prepared statement; 2^64 names make collisions
/// negligible.
const NAME_DIGEST_BYTES: usize = 8;

/// Access mode of a statement or transaction.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Access {
    /// Reads only.
    Read,
    /// Reads and writes.
    Write,
}

/// Statement of a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Statement<'a> {
    /// Begins a transaction.
    Begin(Access),
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Sets a session variable.
    Set {
        /// Name of the variable.
        name: &'a str,
        /// Value as text.
        value: &'a str,
    },
    /// Prepares a statement under a name of the session.
    Prepare {
        /// Name within the session.
        name: &'a str,
        /// Access mode of the statement.
        access: Access,
        /// Text to prepare.
        query: &'a str,
    },
    /// Removes a prepared statement.
    Deallocate(&'a str),
    /// Executes a prepared statement.
    Execute {
        /// Name within the session.
        name: &'a str,
        /// Text after the name.
        arguments: &'a str,
    },
    /// Runs a statement without preparing it.
    Plain(Access),
}

/// Prepared statement.
///
/// Names chosen by sessions may collide, so the statement has a separate name at upstreams, which
/// is derived from its text and shared by all sessions that prepare the same text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PreparedStatement {
    /// Access mode of the statement.
    pub access: Access,
    /// Prepared text.
    pub text: Box<str>,
    /// Name at upstreams.
    pub name: Box<str>,
}

impl PreparedStatement {
    /// Creates a prepared statement and derives its upstream name.
    #[must_use]
    pub fn new(access: Access, text: &str) -> Self {
        let access_tag: &[u8] = match access {
            Access::Read => b"r",
            Access::Write => b"w",
        };
        let digest = Sha256::new()
            .chain_update(access_tag)
            .chain_update(text)
            .finalize();
        Self {
            access,
            text: text.into(),
            name: format!("s{}", hex::encode(&digest[..NAME_DIGEST_BYTES])).into(),
        }
    }
}
