//! Statements of callers, as far as the proxy has to tell them apart.

use sha2::{Digest, Sha256};

/// Bytes of the digest that name a shape at upstreams; 2^64 names make collisions negligible.
const NAME_DIGEST_BYTES: usize = 8;

/// What a statement or transaction may do.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Access {
    /// Reads only.
    Read,
    /// Reads and writes.
    Write,
}

/// A statement of a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Statement<'a> {
    /// Begins a transaction.
    Begin(Access),
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Sets a value of the session.
    Set {
        /// Name of the value.
        name: &'a str,
        /// Text of the value.
        value: &'a str,
    },
    /// Prepares a statement under a name of the session.
    Prepare {
        /// Name in the session.
        name: &'a str,
        /// What the statement may do.
        access: Access,
        /// Text that is prepared.
        query: &'a str,
    },
    /// Forgets a prepared statement.
    Deallocate(&'a str),
    /// Runs a prepared statement.
    Execute {
        /// Name in the session.
        name: &'a str,
        /// Everything after the name.
        arguments: &'a str,
    },
    /// Runs a statement as it stands.
    Plain(Access),
}

/// A prepared statement.
///
/// Sessions choose colliding names, so a shape has a name of its own at upstreams, which all
/// sessions with the same shape share.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PreparedStatement {
    /// What the statement may do.
    pub access: Access,
    /// Text that is prepared.
    pub text: Box<str>,
    /// Name at upstreams.
    pub name: Box<str>,
}

impl PreparedStatement {
    /// Builds a shape and its name at upstreams.
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
