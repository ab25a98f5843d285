//! Errors of the upstream adapter.

use std::time::Duration;

use quick_error::quick_error;

quick_error! {
    /// Why an upstream did not do what was asked.
    #[derive(Debug)]
    pub enum Error {
        /// No connection could be opened.
        Connect(err: tokio_postgres::Error) {
            display("connection failed: {}", err)
            source(err)
        }
        /// The connection broke, or the upstream refused the statement.
        Statement(err: tokio_postgres::Error) {
            display("statement failed: {}", err)
            source(err)
            from()
        }
        /// No answer came in time.
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
        /// An answer has an unexpected form.
        Unexpected(what: &'static str) {
            display("unexpected answer: {what}")
        }
        /// A column has a type that has no JSON form here.
        ColumnType(name: String) {
            display("column {name} has a type without a JSON form; cast it to text")
        }
        /// The same idempotency key came with other statements.
        KeyReused {
            display("the idempotency key was used for other statements")
        }
    }
}

impl Error {
    /// Returns the SQLSTATE that the upstream gave, if the upstream refused the statement.
    #[must_use]
    pub fn sqlstate(&self) -> Option<&str> {
        match self {
            Self::Connect(err) | Self::Statement(err) => {
                err.code().map(tokio_postgres::error::SqlState::code)
            }
            _ => None,
        }
    }

    /// Returns the upstream's own message, if it refused the statement.
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
