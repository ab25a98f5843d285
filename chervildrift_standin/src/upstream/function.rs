//! Parser of calls of the upstream's own functions.

use pgwire::api::Type;

use super::error::{SqlError, code};
use super::tokens::{Kind, Token};
use super::value::Value;

/// Function that an upstream provides in addition to SQL.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Function {
    Status,
    Fence,
    Promote,
    Follow,
    Log,
    Fault,
}

/// Name and type of a result column.
pub(super) type ColumnType = (&'static str, Type);

const GRANT_COLUMNS: [ColumnType; 4] = [
    ("granted", Type::BOOL),
    ("fenced", Type::INT8),
    ("received_term", Type::INT8),
    ("received_position", Type::INT8),
];
const STATUS_COLUMNS: [ColumnType; 7] = [
    ("role", Type::TEXT),
    ("fenced", Type::INT8),
    ("received_term", Type::INT8),
    ("received_position", Type::INT8),
    ("applied_term", Type::INT8),
    ("applied_position", Type::INT8),
    ("heard_ms", Type::INT8),
];
const LOG_COLUMNS: [ColumnType; 6] = [
    ("primary_term", Type::INT8),
    ("match_term", Type::INT8),
    ("match_position", Type::INT8),
    ("term", Type::INT8),
    ("position", Type::INT8),
    ("statements", Type::TEXT),
];
const FAULT_COLUMNS: [ColumnType; 1] = [("chervildrift_fault", Type::BOOL)];

impl Function {
    fn parse(name: &str) -> Option<Self> {
        let function = match name {
            "chervildrift_status" => Self::Status,
            "chervildrift_fence" => Self::Fence,
            "chervildrift_promote" => Self::Promote,
            "chervildrift_follow" => Self::Follow,
            "chervildrift_log" => Self::Log,
            "chervildrift_fault" => Self::Fault,
            _ => return None,
        };
        Some(function)
    }

    /// Returns the argument types.
    pub fn params(self) -> &'static [Type] {
        match self {
            Self::Status => &[],
            Self::Fence | Self::Promote => &[Type::INT8, Type::TEXT],
            Self::Follow | Self::Fault => &[Type::TEXT, Type::INT8],
            Self::Log => &[Type::INT8, Type::INT8, Type::INT8],
        }
    }

    /// Returns the result columns.
    pub fn columns(self) -> &'static [ColumnType] {
        match self {
            Self::Status => &STATUS_COLUMNS,
            Self::Fence | Self::Promote | Self::Follow => &GRANT_COLUMNS,
            Self::Log => &LOG_COLUMNS,
            Self::Fault => &FAULT_COLUMNS,
        }
    }
}

/// Argument of a call.
#[derive(Clone, Debug)]
enum Argument {
    Param(usize),
    Value(Value),
}

/// Call of a function.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub function: Function,
    arguments: Vec<Argument>,
}

impl Call {
    /// Parses `SELECT f(...)` and `SELECT * FROM f(...)`; returns `None` for other statements.
    pub fn parse(tokens: &[Token<'_>]) -> Result<Option<Self>, SqlError> {
        let rest = match tokens {
            [select, star, from, rest @ ..]
                if select.is("select") && star.is("*") && from.is("from") =>
            {
                rest
            }
            [select, rest @ ..] if select.is("select") => rest,
            _ => return Ok(None),
        };
        let Some(function) = rest.first().and_then(|name| Function::parse(&name.name())) else {
            return Ok(None);
        };
        let arguments = parse_arguments(&rest[1..])?;
        if arguments.len() != function.params().len() {
            let message = format!("wrong number of arguments for {}", rest[0].text);
            return Err(SqlError::new(code::UNDEFINED_FUNCTION, message));
        }
        Ok(Some(Self {
            function,
            arguments,
        }))
    }

    /// Returns the numbers and types of the parameters among the arguments.
    pub fn param_types(&self) -> Vec<(usize, Type)> {
        let types = self.arguments.iter().zip(self.function.params());
        types
            .filter_map(|(argument, typ)| match argument {
                Argument::Param(number) => Some((*number, typ.clone())),
                Argument::Value(_) => None,
            })
            .collect()
    }

    /// Returns an argument as an integer.
    pub fn integer(&self, index: usize, params: &[Value]) -> Result<i64, SqlError> {
        self.value(index, params)
            .to_integer()
            .ok_or_else(|| invalid_argument(index))
    }

    /// Returns an argument as text.
    pub fn text(&self, index: usize, params: &[Value]) -> Result<String, SqlError> {
        self.value(index, params)
            .to_text()
            .ok_or_else(|| invalid_argument(index))
    }

    fn value(&self, index: usize, params: &[Value]) -> Value {
        let value = match &self.arguments[index] {
            Argument::Param(number) => params.get(number.wrapping_sub(1)),
            Argument::Value(value) => Some(value),
        };
        value.cloned().unwrap_or(Value::Null)
    }
}

fn invalid_argument(index: usize) -> SqlError {
    let message = format!("argument {} is missing or has the wrong type", index + 1);
    SqlError::new(code::INVALID_TEXT, message)
}

/// Parses an argument list with optional casts, which must end the statement.
fn parse_arguments(rest: &[Token<'_>]) -> Result<Vec<Argument>, SqlError> {
    let mut args = Vec::new();
    let mut negative = false;
    let mut index = 1;
    while let Some(token) = rest.get(index) {
        index += 1;
        match token.kind {
            Kind::Param(number) => args.push(Argument::Param(number)),
            Kind::Literal => args.push(Argument::Value(parse_literal(token, negative))),
            Kind::Word if token.is("true") => args.push(Argument::Value(Value::Integer(1))),
            Kind::Word if token.is("false") => args.push(Argument::Value(Value::Integer(0))),
            Kind::Symbol if token.is("::") => index += 1,
            Kind::Symbol if token.is(")") && is_end(&rest[index..]) => return Ok(args),
            Kind::Symbol if token.is("-") || token.is(",") => {}
            _ => break,
        }
        negative = token.is("-");
    }
    let message = "a call of the upstream takes literals and parameters, and stands alone";
    Err(SqlError::new(code::SYNTAX_ERROR, message))
}

fn is_end(rest: &[Token<'_>]) -> bool {
    rest.iter().all(|token| token.is(";"))
}

fn parse_literal(token: &Token<'_>, negative: bool) -> Value {
    let text = token.unquoted();
    match text.parse::<i64>() {
        Ok(number) if !token.text.starts_with('\'') => {
            Value::Integer(if negative { -number } else { number })
        }
        _ => Value::Text(text),
    }
}
