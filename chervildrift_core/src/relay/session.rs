//! One caller's session: its values, prepared statements and transaction.

use std::collections::{BTreeMap, HashMap, HashSet};

use smallvec::SmallVec;

use super::group::SessionCommit;
use super::statement::{Access, PreparedStatement};

/// Values of a session by name.
pub type SessionVariables = BTreeMap<Box<str>, Box<str>>;

/// Where a session stands between two requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TransactionStatus {
    /// Outside a transaction.
    #[default]
    Idle,
    /// Inside a transaction.
    Open(Access),
    /// Inside a transaction that has failed; only its end is accepted.
    Failed,
}

/// A step that brings an upstream connection to the state that a session needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SetupStep<'a> {
    /// Clears all values and prepared statements of the connection.
    Reset,
    /// Sets a value.
    Set(&'a str, &'a str),
    /// Prepares a shape under its own name.
    Prepare(&'a PreparedStatement),
}

/// One caller's session.
#[derive(Clone, Debug, Default)]
pub struct Session {
    /// Where the session stands.
    pub transaction: TransactionStatus,
    /// Newest commit of the session by service.
    pub last_commit: Option<SessionCommit>,
    variables: SessionVariables,
    prepared: HashMap<Box<str>, PreparedStatement>,
}

impl Session {
    /// Sets a value.
    pub fn set(&mut self, name: &str, value: &str) {
        self.variables.insert(name.into(), value.into());
    }

    /// Prepares a statement, in place of one with the same name.
    pub fn prepare(&mut self, name: &str, statement: PreparedStatement) {
        self.prepared.insert(name.into(), statement);
    }

    /// Forgets a prepared statement; false if there is none.
    pub fn deallocate(&mut self, name: &str) -> bool {
        self.prepared.remove(name).is_some()
    }

    /// Returns a prepared statement.
    #[must_use]
    pub fn prepared(&self, name: &str) -> Option<&PreparedStatement> {
        self.prepared.get(name)
    }

    /// Returns the steps after which a connection with these values and prepared names may run a
    /// statement of the session.
    #[must_use]
    pub fn setup_steps<'a>(
        &'a self,
        connection_variables: &SessionVariables,
        prepared: &HashSet<Box<str>>,
        statement: Option<&'a PreparedStatement>,
    ) -> SmallVec<[SetupStep<'a>; 4]> {
        let mut steps = SmallVec::new();
        // A value can't be unset alone, so one that the session lacks takes a reset.
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
