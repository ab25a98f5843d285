//! Conversion of replies to responses of the wire protocol.

use std::sync::Arc;

use futures::stream;
use pgwire::api::portal::Format;
use pgwire::api::results::{DataRowEncoder, FieldInfo, QueryResponse, Response, Tag};
use pgwire::error::PgWireResult;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::data::{FieldDescription, NoData, RowDescription};

use super::super::database::Column;
use super::super::reply::Reply;
use super::super::value::{Value, encode_value};

/// Builds the response to a statement.
pub(super) fn build_response(
    reply: Reply,
    columns: &[Column],
    format: &Format,
) -> PgWireResult<Response> {
    let response = match reply {
        Reply::Rows { tag, rows } => Response::Query(query_response(tag, &rows, columns, format)?),
        Reply::Done(tag, Some(changed)) => Response::Execution(Tag::new(tag).with_rows(changed)),
        Reply::Done(tag, None) => Response::Execution(Tag::new(tag)),
        Reply::TransactionStarted(tag) => Response::TransactionStart(Tag::new(tag)),
        Reply::TransactionEnded(tag) => Response::TransactionEnd(Tag::new(tag)),
    };
    Ok(response)
}

/// Returns the field descriptions of the columns of a result.
pub(super) fn field_infos(columns: &[Column], format: &Format) -> Vec<FieldInfo> {
    let field = |(index, column): (usize, &Column)| {
        let name = column.name.clone();
        FieldInfo::new(
            name,
            None,
            None,
            column.typ.clone(),
            format.format_for(index),
        )
    };
    columns.iter().enumerate().map(field).collect()
}

/// Builds the message that describes the columns of a result, or `NoData` if it has none.
pub(super) fn describe_columns(columns: &[Column], format: &Format) -> PgWireBackendMessage {
    if columns.is_empty() {
        return PgWireBackendMessage::NoData(NoData::new());
    }
    let fields = field_infos(columns, format);
    let fields = fields.iter().map(FieldDescription::from).collect();
    PgWireBackendMessage::RowDescription(RowDescription::new(fields))
}

fn query_response(
    tag: &str,
    rows: &[Vec<Value>],
    columns: &[Column],
    format: &Format,
) -> PgWireResult<QueryResponse> {
    let fields = Arc::new(field_infos(columns, format));
    let mut encoder = DataRowEncoder::new(Arc::clone(&fields));
    let mut data_rows = Vec::with_capacity(rows.len());
    for row in rows {
        for (value, column) in row.iter().zip(columns) {
            encode_value(&mut encoder, value, &column.typ)?;
        }
        data_rows.push(Ok(encoder.take_row()));
    }
    let mut response = QueryResponse::new(fields, stream::iter(data_rows));
    response.set_command_tag(tag);
    Ok(response)
}
