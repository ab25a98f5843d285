//! Conversion between JSON and the values of `PostgreSQL`'s wire protocol.

use std::error::Error as StdError;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio_postgres::types::private::BytesMut;
use tokio_postgres::types::{Format, IsNull, ToSql, Type, to_sql_checked};
use tokio_postgres::{Column, Row};

use super::Error;

/// One SQL statement with its parameters.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Statement {
    /// Text of the statement, with placeholders `$1`, `$2` and so on.
    pub sql: String,
    /// Values of the placeholders.
    #[serde(default)]
    pub params: Vec<Value>,
}

/// A JSON parameter, sent in text format so that the upstream infers the type of a string.
#[derive(Debug)]
pub(super) struct Param<'a>(pub &'a Value);

impl Param<'_> {
    /// Returns the type with which the parameter is declared.
    pub(super) fn declared_type(&self) -> Type {
        match self.0 {
            Value::Bool(_) => Type::BOOL,
            Value::Number(number) if number.is_f64() => Type::FLOAT8,
            Value::Number(_) => Type::INT8,
            Value::Array(_) | Value::Object(_) => Type::JSONB,
            Value::Null | Value::String(_) => Type::UNKNOWN,
        }
    }
}

impl ToSql for Param<'_> {
    fn to_sql(
        &self,
        _ty: &Type,
        out: &mut BytesMut,
    ) -> Result<IsNull, Box<dyn StdError + Sync + Send>> {
        match self.0 {
            Value::Null => return Ok(IsNull::Yes),
            Value::String(text) => out.extend_from_slice(text.as_bytes()),
            other => out.extend_from_slice(other.to_string().as_bytes()),
        }
        Ok(IsNull::No)
    }

    fn accepts(_ty: &Type) -> bool {
        true
    }

    fn encode_format(&self, _ty: &Type) -> Format {
        Format::Text
    }

    to_sql_checked!();
}

/// Converts a row to a JSON array.
pub(super) fn row_to_json(row: &Row) -> Result<Value, Error> {
    let cells = row.columns().iter().enumerate();
    cells
        .map(|(index, column)| cell_to_json(row, index, column))
        .collect()
}

fn cell_to_json(row: &Row, index: usize, column: &Column) -> Result<Value, Error> {
    let value = match *column.type_() {
        Type::BOOL => row.try_get::<_, Option<bool>>(index)?.map(Value::from),
        Type::INT2 => row.try_get::<_, Option<i16>>(index)?.map(Value::from),
        Type::INT4 => row.try_get::<_, Option<i32>>(index)?.map(Value::from),
        Type::INT8 => row.try_get::<_, Option<i64>>(index)?.map(Value::from),
        Type::FLOAT4 => row.try_get::<_, Option<f32>>(index)?.map(Value::from),
        Type::FLOAT8 => row.try_get::<_, Option<f64>>(index)?.map(Value::from),
        Type::TEXT | Type::VARCHAR | Type::BPCHAR | Type::NAME | Type::UNKNOWN => {
            row.try_get::<_, Option<String>>(index)?.map(Value::from)
        }
        _ => return Err(Error::ColumnType(column.name().to_owned())),
    };
    Ok(value.unwrap_or(Value::Null))
}
