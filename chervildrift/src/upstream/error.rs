//! Errors of the upstream adapter.

use std::time::Duration;

use quick_error::quick_error;

quick_error! {
    /// Reason why an operation at an upstream failed.
    #[derive(Debug)]
    pub enum Error {
        /// The connection could not be opened.
        Connect(err: tokio_postgres::Error) {
            display("connection failed: {}", err)
            source(err)
        }
        /// The connection was lost, or the upstream rejected the statement.
        Statement(err: tokio_postgres::Error) {
            display("statement failed: {}", err)
            source(err)
            from()
        }
        /// No reply arrived within the time limit.
        Timeout(limit: Duration) {
            display("no answer within {limit:?}")
        }
        /// All connections of the pool are in use.
        Exhausted {
            display("all connections are in use")
        }
        /// The upstream is not the primary, or was replaced while the transaction ran.
        NotPrimary {
            display("the upstream is not the primary")
        }
        /// A reply has an unexpected form.
        Unexpected(what: &'static str) {
            display("unexpected answer: {what}")
        }
        /// A column has a type without a conversion to JSON.
        ColumnType(name: String) {
            display("column {name} has a type without a JSON form; cast it to text")
        }
        /// The idempotency key was used before with other statements.
        KeyReused {
            display("the idempotency key was used for other statements")
        }
    }
}

impl Error {
    /// Returns the SQLSTATE with which the upstream rejected the connection or statement.
    #[must_use]
    pub fn sqlstate(&self) -> Option<&str> {
        match self {
            Self::Connect(err) | Self::Statement(err) => {
                err.code().map(tokio_postgres::error::SqlState::code)
            }
            _ => None,
        }
    }

    /// Returns the message with which the upstream rejected the connection or statement.
    #[must_use]
    pub fn message(&self) -> Option<&str> {
        match self {
            Self::Connect(err) | Self::Statement(err) => err
                .as_db_error()
                .map(tokio_postgres::error::DbError::message),
            _ => None,
        }
    }
}
