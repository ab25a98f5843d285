//! Detection of volatile expressions, whose value differs between executions.

use super::tokens::Token;

/// Volatile keywords, which take no arguments.
const VOLATILE_WORDS: [&str; 3] = ["current_date", "current_time", "current_timestamp"];

/// Functions that are volatile regardless of their arguments.
const VOLATILE_FUNCTIONS: [&str; 5] = [
    "random",
    "randomblob",
    "last_insert_rowid",
    "changes",
    "total_changes",
];

/// Functions that are volatile without arguments or with `'now'`.
const DATE_FUNCTIONS: [&str; 6] = [
    "date",
    "time",
    "datetime",
    "julianday",
    "unixepoch",
    "strftime",
];

/// Returns the keyword or function of the first volatile expression in a statement.
pub(super) fn find_volatile(tokens: &[Token<'_>]) -> Option<String> {
    let mut rest = tokens;
    while let [token, after @ ..] = rest {
        if is_volatile(token, after) {
            return Some(token.text.to_owned());
        }
        rest = after;
    }
    None
}

fn is_volatile(token: &Token<'_>, after: &[Token<'_>]) -> bool {
    let is_any = |names: &[&str]| names.iter().any(|name| token.is(name));
    let [open, arguments @ ..] = after else {
        return is_any(&VOLATILE_WORDS);
    };
    is_any(&VOLATILE_WORDS)
        || (open.is("(")
            && (is_any(&VOLATILE_FUNCTIONS)
                || (is_any(&DATE_FUNCTIONS) && mean_current_time(arguments))))
}

/// Checks whether the arguments of a date function mean the current time.
fn mean_current_time(arguments: &[Token<'_>]) -> bool {
    let is_now = |token: &Token<'_>| token.unquoted().eq_ignore_ascii_case("now");
    let end = arguments.iter().position(|token| token.is(")"));
    let inside = &arguments[..end.unwrap_or(arguments.len())];
    inside.is_empty() || inside.iter().any(is_now)
}
