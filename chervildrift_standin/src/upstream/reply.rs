//! Answers to statements, before they take the form of the protocol.

use super::database::Outcome;
use super::sql::Command;
use super::value::Value;

/// Answer to one statement.
#[derive(Debug)]
pub(super) enum Reply {
    /// Rows under a command tag.
    Rows {
        tag: &'static str,
        rows: Vec<Vec<Value>>,
    },
    /// Command tag, with the number of changed rows if the command has one.
    Done(&'static str, Option<usize>),
    /// Command tag of a statement that started a transaction.
    Started(&'static str),
    /// Command tag of a statement that ended a transaction.
    Ended(&'static str),
}

impl Reply {
    /// Returns the answer to a statement that ran in the database.
    pub fn of(command: &Command, outcome: Outcome) -> Self {
        if outcome.columns {
            return Self::Rows {
                tag: command.tag,
                rows: outcome.rows,
            };
        }
        let counted = matches!(command.tag, "INSERT 0" | "UPDATE" | "DELETE");
        Self::Done(command.tag, counted.then_some(outcome.changed))
    }
}
