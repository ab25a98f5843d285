//! Finds expressions whose value differs each time that they run.

use super::tokens::Token;

/// Words without brackets.
const WORDS: [&str; 3] = ["current_date", "current_time", "current_timestamp"];

/// Functions that are volatile whatever their arguments.
const FUNCTIONS: [&str; 5] = [
    "random",
    "randomblob",
    "last_insert_rowid",
    "changes",
    "total_changes",
];

/// Functions that are volatile without a date or with `'now'`.
const DATES: [&str; 6] = [
    "date",
    "time",
    "datetime",
    "julianday",
    "unixepoch",
    "strftime",
];

/// Returns the first volatile word of a statement.
pub(super) fn find(found: &[Token<'_>]) -> Option<String> {
    let mut rest = found;
    while let [token, after @ ..] = rest {
        if is_volatile(token, after) {
            return Some(token.text.to_owned());
        }
        rest = after;
    }
    None
}

fn is_volatile(token: &Token<'_>, after: &[Token<'_>]) -> bool {
    let any = |names: &[&str]| names.iter().any(|name| token.is(name));
    let [open, arguments @ ..] = after else {
        return any(&WORDS);
    };
    any(&WORDS) || (open.is("(") && (any(&FUNCTIONS) || (any(&DATES) && are_now(arguments))))
}

/// Tells whether the arguments of a date function stand for the current time.
fn are_now(arguments: &[Token<'_>]) -> bool {
    let now = |token: &Token<'_>| token.unquoted().eq_ignore_ascii_case("now");
    let end = arguments.iter().position(|token| token.is(")"));
    let inside = &arguments[..end.unwrap_or(arguments.len())];
    inside.is_empty() || inside.iter().any(now)
}
