//! State of a caller's session: variables, prepared statements and transaction.

use std::collections::{BTreeMap, HashMap, HashSet};

use smallvec::SmallVec;

use super::group::SessionCommit;
use super::statement::{Access, PreparedStatement};

/// Session variables by name.
pub type SessionVariables = BTreeMap<Box<str>, Box<str>>;

/// Transaction status of a session between two requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TransactionStatus {
    /// Outside a transaction.
    #[default]
    Idle,
    /// Inside a transaction.
    Open(Access),
    /// Inside a failed transaction, in which only its end is accepted.
    Failed,
}

/// Step that brings an upstream connection into the state that a session requires.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SetupStep<'a> {
    /// Clears all variables and prepared statements of the connection.
    Reset,
    /// Sets a variable.
    Set(&'a str, &'a str),
    /// Prepares a statement under its upstream name.
    Prepare(&'a PreparedStatement),
}

/// Session of one caller connection.
#[derive(Clone, Debug, Default)]
pub struct Session {
    /// Transaction status.
    pub transaction: TransactionStatus,
    /// Latest commit of the session.
    pub last_commit: Option<SessionCommit>,
    variables: SessionVariables,
    prepared: HashMap<Box<str>, PreparedStatement>,
    /// Memory of the variables and prepared statements.
    bytes: usize,
}

impl Session {
    /// Memory of a variable or prepared statement beside its texts, with the map's own records.
    pub const ENTRY_BYTES: usize = 128;

    /// Creates a session with these variables and no prepared statements.
    #[must_use]
    pub fn with_variables(variables: SessionVariables) -> Self {
        Self {
            variables,
            ..Self::default()
        }
    }

    /// Returns the variables.
    #[must_use]
    pub const fn variables(&self) -> &SessionVariables {
        &self.variables
    }

    /// Sets a variable.
    pub fn set(&mut self, name: &str, value: &str) {
        self.bytes += entry_bytes(name, value);
        if let Some(old) = self.variables.insert(name.into(), value.into()) {
            self.bytes -= entry_bytes(name, &old);
        }
    }

    /// Adds a prepared statement, replacing any with the same name.
    pub fn prepare(&mut self, name: &str, statement: PreparedStatement) {
        self.bytes += entry_bytes(name, &statement.text);
        if let Some(old) = self.prepared.insert(name.into(), statement) {
            self.bytes -= entry_bytes(name, &old.text);
        }
    }

    /// Removes a prepared statement and returns whether it existed.
    pub fn deallocate(&mut self, name: &str) -> bool {
        let removed = self.prepared.remove(name);
        if let Some(old) = &removed {
            self.bytes -= entry_bytes(name, &old.text);
        }
        removed.is_some()
    }

    /// Returns the memory that the session would take with one more entry.
    #[must_use]
    pub const fn bytes_with(&self, name: &str, text: &str) -> usize {
        self.bytes + entry_bytes(name, text)
    }

    /// Returns the memory that variables and prepared statements take, in bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the prepared statement with this name.
    #[must_use]
    pub fn prepared(&self, name: &str) -> Option<&PreparedStatement> {
        self.prepared.get(name)
    }

    /// Returns the steps after which a connection with these variables and prepared names may run a
    /// statement of the session.
    #[must_use]
    pub fn setup_steps<'a>(
        &'a self,
        connection_variables: &SessionVariables,
        prepared: &HashSet<Box<str>>,
        statement: Option<&'a PreparedStatement>,
    ) -> SmallVec<[SetupStep<'a>; 4]> {
        let mut steps = SmallVec::new();
        // A single variable can't be unset, so one that the session lacks requires a reset.
        let reset = connection_variables
            .keys()
            .any(|name| !self.variables.contains_key(name));
        if reset {
            steps.push(SetupStep::Reset);
        }
        for (name, value) in &self.variables {
            if reset || connection_variables.get(name) != Some(value) {
                steps.push(SetupStep::Set(name, value));
            }
        }
        if let Some(statement) = statement
            && (reset || !prepared.contains(&statement.name))
        {
            steps.push(SetupStep::Prepare(statement));
        }
        steps
    }
}

/// Returns the memory of a variable or a prepared statement.
const fn entry_bytes(name: &str, text: &str) -> usize {
    name.len() + text.len() + Session::ENTRY_BYTES
}
