//! Check of the statements that callers send.

use super::{Problem, ProblemKind};

/// First keywords of statements that neither end a transaction nor leave state on a connection.
const ALLOWED_KEYWORDS: [&str; 11] = [
    "select", "insert", "update", "delete", "with", "values", "create", "alter", "drop", "merge",
    "truncate",
];

/// Prefix of the functions and tables that belong to the proxy.
const RESERVED_PREFIX: &str = "chervildrift_";

/// Rejects a statement that could end its transaction, change its connection or use reserved names.
///
/// A caller's `COMMIT` would end the transaction that holds its idempotency record, and a `SET`
/// would change the connection for the next caller.
pub fn check_statement(sql: &str) -> Result<(), Problem> {
    let lower = sql.to_ascii_lowercase();
    let keyword = first_keyword(&lower);
    if !ALLOWED_KEYWORDS.contains(&keyword) {
        let detail = format!("statements that begin with `{keyword}` are not taken");
        return Err(Problem::not_run(ProblemKind::StatementNotAllowed, detail));
    }
    if lower.contains(RESERVED_PREFIX) {
        let detail = "names that begin with `chervildrift_` are reserved";
        return Err(Problem::not_run(ProblemKind::StatementNotAllowed, detail));
    }
    Ok(())
}

/// Returns the first keyword after whitespace, opening parentheses, semicolons and comments.
fn first_keyword(sql: &str) -> &str {
    let mut rest = sql;
    loop {
        rest = rest.trim_start_matches(|c: char| c.is_whitespace() || c == '(' || c == ';');
        if let Some(comment) = rest.strip_prefix("--") {
            rest = comment.split_once('\n').map_or("", |(_, after)| after);
        } else if let Some(comment) = rest.strip_prefix("/*") {
            rest = comment.split_once("*/").map_or("", |(_, after)| after);
        } else {
            break;
        }
    }
    let end = rest
        .find(|c: char| !c.is_ascii_alphabetic())
        .unwrap_or(rest.len());
    &rest[..end]
}
