//! Reply lines of a database.

use std::fmt::Write;

/// Appends the rows and the completion line of a successful statement.
pub(super) fn write_success(rows: &[String], signature: &str, out: &mut String) {
    for row in rows {
        out.push_str(&["ROW ", row, "\r\n"].concat());
    }
    out.push_str(&["COMPLETE ", signature, "\r\n"].concat());
}

/// Appends the error line of a failed statement.
pub(super) fn write_failure(code: &str, out: &mut String) {
    out.push_str(&["ERROR ", code, " stand-in\r\n"].concat());
}

/// Appends the line that ends a reply, with the transaction state and the applied position.
pub(super) fn write_ready(state: char, position: (u64, u64), out: &mut String) {
    // Writing to a string can't fail.
    let _result = write!(out, "READY {state} {}.{}\r\n", position.0, position.1);
}
