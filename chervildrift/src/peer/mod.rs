//! Messages between VMs; the link itself follows with its own change.

/// One statement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Statement {
    /// SQL text.
    pub sql: String,
    /// Parameters as the text of a JSON array.
    pub params: String,
}
