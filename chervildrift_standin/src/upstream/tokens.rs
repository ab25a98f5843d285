//! Minimal SQL tokenizer.

/// Kind of a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Kind {
    /// Keyword or name.
    Word,
    /// Parameter `$n`.
    Param(usize),
    /// Number, text or quoted literal.
    Literal,
    /// Operator, parenthesis or other symbol.
    Symbol,
}

/// Token with its text.
#[derive(Clone, Copy, Debug)]
pub(super) struct Token<'a> {
    pub kind: Kind,
    pub text: &'a str,
    /// Byte offset of the text in the statement.
    pub start: usize,
}

impl Token<'_> {
    /// Checks whether this is the given keyword or symbol, ignoring case.
    pub fn is(&self, text: &str) -> bool {
        self.kind != Kind::Literal && self.text.eq_ignore_ascii_case(text)
    }

    /// Returns the byte offset after the token.
    pub fn end(&self) -> usize {
        self.start + self.text.len()
    }

    /// Returns the token as a name in lower case without quotes.
    pub fn name(&self) -> String {
        self.text.trim_matches('"').to_ascii_lowercase()
    }

    /// Returns the content of a literal without quotes.
    pub fn unquoted(&self) -> String {
        match self.text.strip_prefix('\'') {
            Some(rest) => rest.strip_suffix('\'').unwrap_or(rest).replace("''", "'"),
            None => self.text.to_owned(),
        }
    }
}

/// Splits a text into tokens and skips whitespace and comments.
pub(super) fn tokenize(sql: &str) -> Vec<Token<'_>> {
    let mut tokens = Vec::new();
    let mut start = 0;
    while let Some(first) = sql[start..].chars().next() {
        let rest = &sql[start..];
        let (kind, length) = scan_token(rest, first);
        if let Some(kind) = kind {
            let text = &rest[..length];
            tokens.push(Token { kind, text, start });
        }
        start += length;
    }
    tokens
}

/// Returns the kind and length of the first token; whitespace and comments have no kind.
fn scan_token(rest: &str, first: char) -> (Option<Kind>, usize) {
    if first.is_whitespace() {
        return (None, first.len_utf8());
    }
    if rest.starts_with("--") {
        return (None, rest.find('\n').unwrap_or(rest.len()));
    }
    if rest.starts_with("/*") {
        return (None, rest.find("*/").map_or(rest.len(), |end| end + 2));
    }
    match first {
        '\'' => (Some(Kind::Literal), quoted_length(rest, '\'')),
        '"' => (Some(Kind::Word), quoted_length(rest, '"')),
        '$' => scan_parameter(rest),
        '0'..='9' => (Some(Kind::Literal), prefix_length(rest, is_number_char)),
        _ if is_word_char(first) => (Some(Kind::Word), prefix_length(rest, is_word_char)),
        _ => (Some(Kind::Symbol), symbol_length(rest, first)),
    }
}

fn scan_parameter(rest: &str) -> (Option<Kind>, usize) {
    let digits = prefix_length(&rest[1..], |char| char.is_ascii_digit());
    match rest[1..=digits].parse::<u16>() {
        Ok(number) if number > 0 => (Some(Kind::Param(number.into())), digits + 1),
        _ => (Some(Kind::Symbol), 1),
    }
}

fn symbol_length(rest: &str, first: char) -> usize {
    const DOUBLE: [&str; 8] = ["::", "<=", ">=", "<>", "!=", "||", "->", "=="];
    let double = DOUBLE.iter().any(|char| rest.starts_with(char));
    if double { 2 } else { first.len_utf8() }
}

/// Returns the length of a quoted text, in which a doubled quote is an escaped one.
fn quoted_length(rest: &str, quote: char) -> usize {
    let mut chars = rest.char_indices().skip(1).peekable();
    while let Some((at, char)) = chars.next() {
        if char != quote {
            continue;
        }
        if chars.next_if(|&(_, next)| next == quote).is_none() {
            return at + 1;
        }
    }
    rest.len()
}

fn prefix_length(rest: &str, test: impl Fn(char) -> bool) -> usize {
    rest.find(|char| !test(char)).unwrap_or(rest.len())
}

fn is_number_char(char: char) -> bool {
    char.is_ascii_alphanumeric() || char == '.'
}

fn is_word_char(char: char) -> bool {
    char.is_alphanumeric() || char == '_'
}
