//! Values of parameters and rows, and their `PostgreSQL` types.

use pgwire::api::Type;
use pgwire::api::portal::Portal;
use pgwire::api::results::DataRowEncoder;
use pgwire::error::PgWireResult;
use rusqlite::ToSql;
use rusqlite::types::{ToSqlOutput, ValueRef};
use serde::{Deserialize, Serialize};

use super::error::{SqlError, code};

/// Value of a parameter or of a row's column.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum Value {
    Null,
    Integer(i64),
    /// Bits of a float, which keep full precision and infinities in the JSON of the log.
    Real(u64),
    Text(String),
    Blob(Vec<u8>),
}

impl From<ValueRef<'_>> for Value {
    fn from(value: ValueRef<'_>) -> Self {
        match value {
            ValueRef::Null => Self::Null,
            ValueRef::Integer(value) => Self::Integer(value),
            ValueRef::Real(value) => Self::Real(value.to_bits()),
            ValueRef::Text(text) => Self::Text(String::from_utf8_lossy(text).into_owned()),
            ValueRef::Blob(bytes) => Self::Blob(bytes.to_vec()),
        }
    }
}

impl ToSql for Value {
    fn to_sql(&self) -> rusqlite::Result<ToSqlOutput<'_>> {
        let value = match self {
            Self::Null => ValueRef::Null,
            Self::Integer(value) => ValueRef::Integer(*value),
            Self::Real(bits) => ValueRef::Real(f64::from_bits(*bits)),
            Self::Text(text) => ValueRef::Text(text.as_bytes()),
            Self::Blob(bytes) => ValueRef::Blob(bytes),
        };
        Ok(ToSqlOutput::Borrowed(value))
    }
}

impl Value {
    /// Returns the value as `PostgreSQL` prints it.
    pub fn to_text(&self) -> Option<String> {
        match self {
            Self::Null => None,
            Self::Integer(value) => Some(value.to_string()),
            Self::Real(bits) => Some(f64::from_bits(*bits).to_string()),
            Self::Text(text) => Some(text.clone()),
            Self::Blob(bytes) => Some(String::from_utf8_lossy(bytes).into_owned()),
        }
    }

    /// Converts the value to an integer, if possible.
    pub fn to_integer(&self) -> Option<i64> {
        match self {
            Self::Integer(value) => Some(*value),
            Self::Real(bits) => Some(f64::from_bits(*bits) as i64),
            Self::Text(text) => text.trim().parse().ok(),
            Self::Null | Self::Blob(_) => None,
        }
    }

    fn to_real(&self) -> Option<f64> {
        match self {
            Self::Integer(value) => Some(*value as f64),
            Self::Real(bits) => Some(f64::from_bits(*bits)),
            Self::Text(text) => text.trim().parse().ok(),
            Self::Null | Self::Blob(_) => None,
        }
    }

    fn to_bool(&self) -> Option<bool> {
        match self {
            Self::Text(text) => parse_bool(text),
            other => other.to_integer().map(|value| value != 0),
        }
    }
}

/// Returns the `PostgreSQL` type with the name in a column declaration or a cast.
pub(super) fn type_by_name(name: &str) -> Type {
    let lower = name.trim().to_ascii_lowercase();
    let base = lower.split(['(', ' ']).next().unwrap_or_default();
    match base {
        "int" | "int4" | "integer" | "serial" => Type::INT4,
        "int8" | "bigint" | "bigserial" => Type::INT8,
        "int2" | "smallint" => Type::INT2,
        "bool" | "boolean" => Type::BOOL,
        "float8" | "double" | "real" | "float" | "float4" => Type::FLOAT8,
        "bytea" | "blob" => Type::BYTEA,
        _ => Type::TEXT,
    }
}

/// Decodes the parameters of a bound statement.
pub(super) fn decode_params<S: Clone>(
    portal: &Portal<S>,
    types: &[Type],
) -> PgWireResult<Vec<Value>> {
    (0..portal.parameter_len())
        .map(|index| decode_param(portal, index, types.get(index).unwrap_or(&Type::TEXT)))
        .collect()
}

fn decode_param<S: Clone>(portal: &Portal<S>, index: usize, typ: &Type) -> PgWireResult<Value> {
    let Some(Some(bytes)) = portal.parameters.get(index) else {
        return Ok(Value::Null);
    };
    let binary = portal.parameter_format.is_binary(index);
    let value = if binary {
        from_binary(bytes, typ)
    } else {
        std::str::from_utf8(bytes)
            .ok()
            .and_then(|text| from_text(text, typ))
    };
    let code = if binary {
        code::INVALID_BINARY
    } else {
        code::INVALID_TEXT
    };
    let invalid = || SqlError::new(code, format!("invalid input for type {typ}"));
    Ok(value.ok_or_else(invalid)?)
}

fn from_binary(bytes: &[u8], typ: &Type) -> Option<Value> {
    let value = match *typ {
        Type::BOOL => Value::Integer(i64::from(*bytes.first()?)),
        Type::INT2 => Value::Integer(i16::from_be_bytes(bytes.try_into().ok()?).into()),
        Type::INT4 | Type::OID => Value::Integer(i32::from_be_bytes(bytes.try_into().ok()?).into()),
        Type::INT8 => Value::Integer(i64::from_be_bytes(bytes.try_into().ok()?)),
        Type::FLOAT4 => {
            let value = f32::from_be_bytes(bytes.try_into().ok()?);
            Value::Real(f64::from(value).to_bits())
        }
        Type::FLOAT8 => Value::Real(u64::from_be_bytes(bytes.try_into().ok()?)),
        Type::BYTEA => Value::Blob(bytes.to_vec()),
        _ => Value::Text(String::from_utf8(bytes.to_vec()).ok()?),
    };
    Some(value)
}

fn from_text(text: &str, typ: &Type) -> Option<Value> {
    let value = match *typ {
        Type::BOOL => Value::Integer(i64::from(parse_bool(text)?)),
        Type::INT2 | Type::INT4 | Type::INT8 | Type::OID => {
            Value::Integer(text.trim().parse().ok()?)
        }
        Type::FLOAT4 | Type::FLOAT8 => Value::Real(text.trim().parse::<f64>().ok()?.to_bits()),
        _ => Value::Text(text.to_owned()),
    };
    Some(value)
}

fn parse_bool(text: &str) -> Option<bool> {
    match text.trim().to_ascii_lowercase().as_str() {
        "t" | "true" | "1" | "on" | "yes" => Some(true),
        "f" | "false" | "0" | "off" | "no" => Some(false),
        _ => None,
    }
}

/// Encodes a value of a row as the type in the description of the statement.
pub(super) fn encode_value(
    row: &mut DataRowEncoder,
    value: &Value,
    typ: &Type,
) -> PgWireResult<()> {
    match *typ {
        Type::BOOL => row.encode_field(&value.to_bool()),
        Type::INT2 => row.encode_field(&value.to_integer().map(|value| value as i16)),
        Type::INT4 => row.encode_field(&value.to_integer().map(|value| value as i32)),
        Type::INT8 => row.encode_field(&value.to_integer()),
        Type::FLOAT8 => row.encode_field(&value.to_real()),
        Type::BYTEA => match value {
            Value::Blob(bytes) => row.encode_field(&bytes.as_slice()),
            other => row.encode_field(&other.to_text().map(String::into_bytes)),
        },
        _ => row.encode_field(&value.to_text()),
    }
}
