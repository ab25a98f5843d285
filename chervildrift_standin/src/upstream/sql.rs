//! Statement parser, which finds the commands of the stand-in and translates the rest for `SQLite`.

use std::sync::Arc;

use super::error::{SqlError, code};
use super::function::Call;
use super::tokens::{Token, tokenize};
use super::volatility;

/// Action of a statement in its session.
#[derive(Clone, Debug)]
pub(super) enum Action {
    /// Starts a transaction.
    Begin { read_only: bool },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Sets, releases or rolls back to a savepoint.
    Savepoint {
        /// Whether it rolls back to the savepoint.
        rolls_back: bool,
    },
    /// Changes a setting, which the stand-in ignores.
    Setting(&'static str),
    /// Calls one of the upstream's own functions.
    Call(Call),
    /// Runs in `SQLite`.
    Query,
}

/// Parsed statement.
#[derive(Clone, Debug)]
pub(super) struct Command {
    /// Text as the client sent it.
    pub text: Arc<str>,
    /// Text for `SQLite`, without `PostgreSQL`'s casts and locking clauses.
    pub sql: Arc<str>,
    /// Command tag of the reply.
    pub tag: &'static str,
    pub action: Action,
    /// First volatile expression, with which replicas couldn't repeat a write.
    volatile_word: Option<String>,
}

impl Command {
    /// Parses a statement; returns `None` if it is empty.
    pub fn parse(sql: &str) -> Result<Option<Self>, SqlError> {
        let tokens = tokenize(sql);
        let Some(first) = tokens.first() else {
            return Ok(None);
        };
        let tag = command_tag(&tokens);
        let action = parse_action(&tokens, first)?;
        Ok(Some(Self {
            text: Arc::from(sql),
            sql: Arc::from(translate(sql, &tokens)),
            tag,
            action,
            volatile_word: volatility::find_volatile(&tokens),
        }))
    }

    /// Returns an error for a write that replicas couldn't repeat from its text.
    pub fn check_deterministic(&self) -> Result<(), SqlError> {
        let Some(word) = &self.volatile_word else {
            return Ok(());
        };
        let message = format!("a write cannot use {word}: replicas run its text again");
        Err(SqlError::new(code::FEATURE_NOT_SUPPORTED, message))
    }
}

/// Splits the text of a simple query into statements.
pub(super) fn split_statements(sql: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut start = 0;
    for token in tokenize(sql).iter().filter(|token| token.is(";")) {
        parts.push(&sql[start..token.start]);
        start = token.end();
    }
    parts.push(&sql[start..]);
    parts
}

fn parse_action(tokens: &[Token<'_>], first: &Token<'_>) -> Result<Action, SqlError> {
    let word = first.text.to_ascii_lowercase();
    let to_savepoint = tokens.iter().any(|token| token.is("to"));
    let action = match word.as_str() {
        "begin" | "start" => Action::Begin {
            read_only: tokens.iter().any(|token| token.is("only")),
        },
        "commit" | "end" => Action::Commit,
        "rollback" | "abort" if !to_savepoint => Action::Rollback,
        "rollback" => Action::Savepoint { rolls_back: true },
        "savepoint" | "release" => Action::Savepoint { rolls_back: false },
        "set" => Action::Setting("SET"),
        "reset" => Action::Setting("RESET"),
        "discard" => Action::Setting("DISCARD ALL"),
        "deallocate" => Action::Setting("DEALLOCATE"),
        "pragma" | "attach" | "detach" | "vacuum" | "explain" | "copy" | "listen" => {
            let message = format!("{} is not supported", word.to_ascii_uppercase());
            return Err(SqlError::new(code::FEATURE_NOT_SUPPORTED, message));
        }
        _ => Call::parse(tokens)?.map_or(Action::Query, Action::Call),
    };
    Ok(action)
}

/// Returns the command tag; for a query that starts with WITH, that of its main statement.
fn command_tag(tokens: &[Token<'_>]) -> &'static str {
    const TAGS: [(&str, &str); 12] = [
        ("select", "SELECT"),
        ("values", "SELECT"),
        ("insert", "INSERT 0"),
        ("replace", "INSERT 0"),
        ("update", "UPDATE"),
        ("delete", "DELETE"),
        ("begin", "BEGIN"),
        ("start", "START TRANSACTION"),
        ("commit", "COMMIT"),
        ("rollback", "ROLLBACK"),
        ("savepoint", "SAVEPOINT"),
        ("release", "RELEASE"),
    ];
    let mut depth = 0;
    for token in tokens {
        depth += depth_change(token);
        let known = TAGS.iter().find(|(word, _)| token.is(word));
        if let (0, Some((_, tag))) = (depth, known) {
            return tag;
        }
        if depth == 0 && (token.is("create") || token.is("drop") || token.is("alter")) {
            return ddl_tag(token);
        }
    }
    "OK"
}

fn ddl_tag(token: &Token<'_>) -> &'static str {
    if token.is("create") {
        "CREATE TABLE"
    } else if token.is("drop") {
        "DROP TABLE"
    } else {
        "ALTER TABLE"
    }
}

/// Returns the change of the nesting depth of parentheses at a token.
pub(super) fn depth_change(token: &Token<'_>) -> i32 {
    i32::from(token.is("(")) - i32::from(token.is(")"))
}

/// Removes casts and locking clauses, which `SQLite` doesn't support.
fn translate(sql: &str, tokens: &[Token<'_>]) -> String {
    let mut text = String::with_capacity(sql.len());
    let mut copied = 0;
    let mut index = 0;
    while let Some(token) = tokens.get(index) {
        let length = if token.is("::") {
            cast_token_count(&tokens[index..])
        } else {
            locking_token_count(&tokens[index..])
        };
        if length == 0 {
            index += 1;
            continue;
        }
        let last = &tokens[index + length - 1];
        text.push_str(&sql[copied..token.start]);
        copied = last.end();
        index += length;
    }
    text.push_str(&sql[copied..]);
    text
}

/// Returns the number of tokens of a cast: `::`, the type name and its optional size.
fn cast_token_count(rest: &[Token<'_>]) -> usize {
    let Some(name) = rest.get(1) else {
        return 1;
    };
    let is = |index: usize, text: &str| rest.get(index).is_some_and(|token| token.is(text));
    let words = 2 + usize::from(name.is("double") && is(2, "precision"));
    if !is(words, "(") {
        return words;
    }
    let close = rest.iter().position(|token| token.is(")"));
    close.map_or(words, |close| close + 1)
}

/// Returns the number of tokens of a locking clause at the end of a query, or 0.
fn locking_token_count(rest: &[Token<'_>]) -> usize {
    match rest {
        [first, second] if first.is("for") && (second.is("update") || second.is("share")) => 2,
        _ => 0,
    }
}
