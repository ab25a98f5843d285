//! Inference of `PostgreSQL` types that `SQLite` doesn't know: of parameters and computed columns.
//!
//! The rules cover the statements of the proxy and of usual tests. Anything else is text, unless a
//! cast such as `$1::int8` or `sum(a)::int8` sets the type.

use pgwire::api::Type;

use super::database::Schema;
use super::sql::depth_change;
use super::tokens::{Kind, Token, tokenize};
use super::value::type_by_name;

/// Operators whose two operands have the same type.
const OPERATORS: [&str; 12] = [
    "=", "<", ">", "<=", ">=", "<>", "!=", "+", "-", "*", "like", "||",
];

/// Returns the name that `PostgreSQL` gives to a result column: for a call, that of the function.
pub(super) fn column_name(name: &str) -> String {
    let is_word = |sign: char| sign.is_alphanumeric() || sign == '_';
    match name.split_once('(') {
        Some((function, _)) if !function.is_empty() && function.chars().all(is_word) => {
            function.to_ascii_lowercase()
        }
        _ => name.to_owned(),
    }
}

/// Infers the types of the parameters of a statement, in the order of their numbers.
pub(super) fn param_types(sql: &str, schema: &Schema) -> Vec<Type> {
    let tokens = tokenize(sql);
    let schema = &mentioned_tables(&tokens, schema);
    let mut types = Vec::new();
    for (index, token) in tokens.iter().enumerate() {
        let Kind::Param(number) = token.kind else {
            continue;
        };
        if types.len() < number {
            types.resize(number, None);
        }
        if types[number - 1].is_none() {
            types[number - 1] = param_type(&tokens, index, schema);
        }
    }
    let text = |typ: Option<Type>| typ.unwrap_or(Type::TEXT);
    types.into_iter().map(text).collect()
}

/// Returns the tables that a statement mentions, so that columns of other tables give no type.
fn mentioned_tables(tokens: &[Token<'_>], schema: &Schema) -> Schema {
    let words = tokens.iter().filter(|token| token.kind == Kind::Word);
    words
        .filter_map(|token| schema.get_key_value(&token.name()))
        .map(|(table, columns)| (table.clone(), columns.clone()))
        .collect()
}

fn param_type(tokens: &[Token<'_>], index: usize, schema: &Schema) -> Option<Type> {
    cast_type_after(tokens, index)
        .or_else(|| inserted_type(tokens, index, schema))
        .or_else(|| limit_type(tokens, index))
        .or_else(|| compared_type(tokens, index, schema))
        .or_else(|| listed_type(tokens, index, schema))
}

/// Returns the type of a cast `::type` after a token.
fn cast_type_after(tokens: &[Token<'_>], index: usize) -> Option<Type> {
    let cast = tokens.get(index + 1)?.is("::");
    let name = tokens.get(index + 2)?;
    cast.then(|| type_by_name(name.text))
}

/// Returns the type of the column that an INSERT writes a parameter to.
fn inserted_type(tokens: &[Token<'_>], index: usize, schema: &Schema) -> Option<Type> {
    let into = tokens.iter().position(|token| token.is("into"))?;
    let values = tokens.iter().position(|token| token.is("values"))?;
    let conflict = tokens.iter().position(|token| token.is("conflict"));
    if index < values || conflict.is_some_and(|conflict| index > conflict) {
        return None;
    }
    let columns = schema.get(&tokens.get(into + 1)?.name())?;
    let open = (values..index).rev().find(|&at| tokens[at].is("("))?;
    let column_index = (open..index).filter(|&at| tokens[at].is(",")).count();
    let names: Vec<_> = tokens
        .get(into + 2..values)?
        .iter()
        .filter(|token| token.kind == Kind::Word)
        .map(Token::name)
        .collect();
    if names.is_empty() {
        return columns.get(column_index).map(|(_, typ)| typ.clone());
    }
    let name = names.get(column_index)?;
    columns
        .iter()
        .find(|(column, _)| column == name)
        .map(|(_, typ)| typ.clone())
}

fn limit_type(tokens: &[Token<'_>], index: usize) -> Option<Type> {
    let before = tokens.get(index.checked_sub(1)?)?;
    (before.is("limit") || before.is("offset")).then_some(Type::INT8)
}

/// Returns the type of the operand on the other side of an operator.
fn compared_type(tokens: &[Token<'_>], index: usize, schema: &Schema) -> Option<Type> {
    let operator = |at: usize| {
        let token = tokens.get(at)?;
        OPERATORS.iter().any(|sign| token.is(sign)).then_some(())
    };
    let left = || {
        operator(index.checked_sub(1)?)?;
        operand_type(tokens.get(index.checked_sub(2)?)?, schema)
    };
    let right = || {
        operator(index + 1)?;
        let qualified = tokens.get(index + 3).is_some_and(|token| token.is("."));
        operand_type(tokens.get(index + if qualified { 4 } else { 2 })?, schema)
    };
    left().or_else(right)
}

/// Returns the type of the operand before the IN or BETWEEN that a parameter belongs to.
fn listed_type(tokens: &[Token<'_>], index: usize, schema: &Schema) -> Option<Type> {
    let keyword = (0..index)
        .rev()
        .take_while(|&at| !tokens[at].is("where") && !tokens[at].is("set"))
        .find(|&at| tokens[at].is("in") || tokens[at].is("between"))?;
    operand_type(tokens.get(keyword.checked_sub(1)?)?, schema)
}

fn operand_type(token: &Token<'_>, schema: &Schema) -> Option<Type> {
    match token.kind {
        Kind::Word => schema_column_type(&token.name(), schema),
        Kind::Literal if token.text.starts_with('\'') => Some(Type::TEXT),
        Kind::Literal => Some(Type::INT4),
        Kind::Param(_) | Kind::Symbol => None,
    }
}

/// Returns the type of a column, whichever table it is in.
fn schema_column_type(name: &str, schema: &Schema) -> Option<Type> {
    let mut columns = schema.values().flatten();
    let column = columns.find(|(column, _)| column == name);
    column.map(|(_, typ)| typ.clone())
}

/// Infers the type of a computed result column.
pub(super) fn result_type(sql: &str, index: usize, name: &str, schema: &Schema) -> Type {
    let tokens = tokenize(sql);
    let schema = &mentioned_tables(&tokens, schema);
    let item = select_item(&tokens, index).unwrap_or_default();
    let item = if item.is_empty() {
        tokenize(name)
    } else {
        item
    };
    expression_type(&item, schema)
}

fn expression_type(item: &[Token<'_>], schema: &Schema) -> Type {
    let Some(first) = item.first() else {
        return Type::TEXT;
    };
    if let Some(cast) = cast_type(item) {
        return cast;
    }
    match first.name().as_str() {
        "count" | "length" | "row_number" | "rank" => return Type::INT8,
        "exists" | "not" | "true" | "false" => return Type::BOOL,
        "avg" => return Type::FLOAT8,
        _ => {}
    }
    let compares =
        |token: &Token<'_>| ["=", "<", ">", "<=", ">=", "<>", "!="].contains(&token.text);
    if item.iter().any(compares) && !first.is("case") {
        return Type::BOOL;
    }
    let mut known = item.iter().filter(|token| token.kind == Kind::Word);
    let typ = known
        .find_map(|token| schema_column_type(&token.name(), schema))
        .or_else(|| item.iter().find_map(literal_type));
    match typ {
        Some(Type::INT4) if first.is("sum") => Type::INT8,
        Some(typ) => typ,
        None => Type::TEXT,
    }
}

/// Returns the type of `CAST(x AS type)` or of the last `x::type`.
fn cast_type(item: &[Token<'_>]) -> Option<Type> {
    if let Some(at) = item.iter().rposition(|token| token.is("::")) {
        return cast_type_after(item, at - usize::from(at > 0));
    }
    if !item.first()?.is("cast") {
        return None;
    }
    let mut depth = 0;
    let keyword = item.iter().position(|token| {
        depth += depth_change(token);
        depth == 1 && token.is("as")
    })?;
    item.get(keyword + 1).map(|name| type_by_name(name.text))
}

fn literal_type(token: &Token<'_>) -> Option<Type> {
    match token.kind {
        Kind::Literal if token.text.starts_with('\'') => Some(Type::TEXT),
        Kind::Literal if token.text.contains('.') => Some(Type::FLOAT8),
        Kind::Literal => Some(Type::INT4),
        _ => None,
    }
}

/// Returns the tokens of an item of the RETURNING or SELECT list.
///
/// Returns `None` if a `*` at or before it hides its place in the list.
fn select_item<'a>(tokens: &[Token<'a>], index: usize) -> Option<Vec<Token<'a>>> {
    let start = tokens
        .iter()
        .position(|token| token.is("returning"))
        .or_else(|| tokens.iter().position(|token| token.is("select")))?;
    let mut depth = 0;
    let mut items = vec![Vec::new()];
    for token in &tokens[start + 1..] {
        depth += depth_change(token);
        if depth < 0 || (depth == 0 && token.is("from")) {
            break;
        }
        if depth == 0 && token.is(",") {
            items.push(Vec::new());
        } else if let Some(last) = items.last_mut() {
            last.push(*token);
        }
    }
    let star = |item: &Vec<Token<'_>>| item.last().is_some_and(|token| token.is("*"));
    if items.iter().take(index + 1).any(star) {
        return None;
    }
    items.into_iter().nth(index)
}
