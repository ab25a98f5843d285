//! Errors of the upstream stand-in and their SQLSTATE codes.

use std::io;

use pgwire::error::{ErrorInfo, PgWireError};
use quick_error::quick_error;

quick_error! {
    /// Error at the start of an upstream stand-in.
    #[derive(Debug)]
    pub enum Error {
        /// The listener or its threads could not be started.
        Io(err: io::Error) {
            from()
            source(err)
            display("cannot start the upstream stand-in: {err}")
        }
        /// The in-memory database could not be opened.
        Database(err: rusqlite::Error) {
            from()
            source(err)
            display("cannot open the database: {err}")
        }
    }
}

/// SQLSTATE codes that the stand-in returns.
pub(super) mod code {
    pub const PROTOCOL_VIOLATION: &str = "08P01";
    pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
    pub const INVALID_TEXT: &str = "22P02";
    pub const INVALID_BINARY: &str = "22P03";
    pub const NOT_NULL_VIOLATION: &str = "23502";
    pub const FOREIGN_KEY_VIOLATION: &str = "23503";
    pub const UNIQUE_VIOLATION: &str = "23505";
    pub const CHECK_VIOLATION: &str = "23514";
    pub const READ_ONLY_TRANSACTION: &str = "25006";
    pub const FAILED_TRANSACTION: &str = "25P02";
    pub const SERIALIZATION_FAILURE: &str = "40001";
    pub const SYNTAX_ERROR: &str = "42601";
    pub const UNDEFINED_COLUMN: &str = "42703";
    pub const UNDEFINED_FUNCTION: &str = "42883";
    pub const UNDEFINED_TABLE: &str = "42P01";
    pub const DUPLICATE_TABLE: &str = "42P07";
    pub const TOO_MANY_CONNECTIONS: &str = "53300";
    pub const NOT_IN_PREREQUISITE_STATE: &str = "55000";
    pub const CANNOT_CONNECT_NOW: &str = "57P03";
    pub const INTERNAL_ERROR: &str = "XX000";
}

/// Error of a statement, returned with its SQLSTATE.
#[derive(Clone, Debug)]
pub(super) struct SqlError {
    code: &'static str,
    message: String,
}

impl SqlError {
    /// Creates an error from its SQLSTATE and message.
    pub fn new(code: &'static str, message: impl Into<String>) -> Self {
        let message = message.into();
        Self { code, message }
    }

    /// Reports a write on an upstream that isn't the primary.
    pub fn read_only() -> Self {
        let message = "cannot execute a write: this upstream is not the primary";
        Self::new(code::READ_ONLY_TRANSACTION, message)
    }

    /// Reports a write in a read-only transaction.
    pub fn read_only_transaction() -> Self {
        let message = "cannot execute a write in a read-only transaction";
        Self::new(code::READ_ONLY_TRANSACTION, message)
    }

    /// Reports a statement in a transaction that has already failed.
    pub fn failed_transaction() -> Self {
        let message = "current transaction is aborted, commands ignored until end of transaction";
        Self::new(code::FAILED_TRANSACTION, message)
    }

    /// Reports a transaction that the upstream aborted because its role or log changed.
    pub fn aborted() -> Self {
        let message = "transaction aborted: the upstream was fenced, promoted or rebuilt";
        Self::new(code::SERIALIZATION_FAILURE, message)
    }
}

impl From<rusqlite::Error> for SqlError {
    fn from(err: rusqlite::Error) -> Self {
        let text = err.to_string();
        Self::new(sqlstate(&err, &text), text)
    }
}

impl From<SqlError> for PgWireError {
    fn from(err: SqlError) -> Self {
        let info = ErrorInfo::new("ERROR".to_owned(), err.code.to_owned(), err.message);
        Self::UserError(Box::new(info))
    }
}

/// Maps an `SQLite` error to the SQLSTATE that `PostgreSQL` returns for it.
fn sqlstate(err: &rusqlite::Error, text: &str) -> &'static str {
    use rusqlite::ffi;

    let extended = err.sqlite_error().map_or(0, |err| err.extended_code);
    match extended {
        ffi::SQLITE_CONSTRAINT_UNIQUE
        | ffi::SQLITE_CONSTRAINT_PRIMARYKEY
        | ffi::SQLITE_CONSTRAINT_ROWID => code::UNIQUE_VIOLATION,
        ffi::SQLITE_CONSTRAINT_NOTNULL => code::NOT_NULL_VIOLATION,
        ffi::SQLITE_CONSTRAINT_CHECK => code::CHECK_VIOLATION,
        ffi::SQLITE_CONSTRAINT_FOREIGNKEY => code::FOREIGN_KEY_VIOLATION,
        _ => sqlstate_of_text(text),
    }
}

/// Maps errors that `SQLite` distinguishes only by their message.
fn sqlstate_of_text(text: &str) -> &'static str {
    const PATTERNS: [(&str, &str); 8] = [
        ("no such table", code::UNDEFINED_TABLE),
        ("no such column", code::UNDEFINED_COLUMN),
        ("has no column named", code::UNDEFINED_COLUMN),
        ("no such function", code::UNDEFINED_FUNCTION),
        ("already exists", code::DUPLICATE_TABLE),
        ("syntax error", code::SYNTAX_ERROR),
        ("incomplete input", code::SYNTAX_ERROR),
        ("unrecognized token", code::SYNTAX_ERROR),
    ];
    PATTERNS
        .iter()
        .find(|(pattern, _)| text.contains(pattern))
        .map_or(code::INTERNAL_ERROR, |(_, code)| code)
}
