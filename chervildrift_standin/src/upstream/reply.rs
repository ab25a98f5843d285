//! Replies to statements, independent of the wire protocol.

use super::database::StatementResult;
use super::sql::Command;
use super::value::Value;

/// Reply to a statement.
#[derive(Debug)]
pub(super) enum Reply {
    /// Rows with a command tag.
    Rows {
        tag: &'static str,
        rows: Vec<Vec<Value>>,
    },
    /// Command tag, with the number of changed rows if the command has one.
    Done(&'static str, Option<usize>),
    /// Command tag of a statement that started a transaction.
    TransactionStarted(&'static str),
    /// Command tag of a statement that ended a transaction.
    TransactionEnded(&'static str),
}

impl Reply {
    /// Creates the reply to a statement that ran in the database.
    pub fn new(command: &Command, result: StatementResult) -> Self {
        if result.returns_rows {
            return Self::Rows {
                tag: command.tag,
                rows: result.rows,
            };
        }
        let counted = matches!(command.tag, "INSERT 0" | "UPDATE" | "DELETE");
        Self::Done(command.tag, counted.then_some(result.changed))
    }
}
