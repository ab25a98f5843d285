//! Reading, parsing and validation of request bodies.

use std::pin::pin;
use std::time::Duration;

use serde::Deserialize;
use serde_json::value::RawValue;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout;
use xitca_web::body::{BodyExt, RequestBody};

use super::memory::{Memory, SMALL_BYTES};
use crate::peer::message::Statement;
use crate::work::{Problem, ProblemKind, check_statement};

/// Size limit of a request body.
pub(super) const MAX_BODY_BYTES: usize = 256 * 1024;

/// Limit of bytes read of an oversized body, beyond which its connection is closed.
///
/// A caller that is still sending when its connection closes sees a broken connection instead of
/// the error response, so the rest of a moderately oversized body is read and discarded.
const MAX_READ_BYTES: usize = 4 * MAX_BODY_BYTES;

/// Limit of statements in one request.
const MAX_STATEMENTS: usize = 64;

/// JSON body of a request that runs statements or opens a transaction.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RunBody {
    pub key: String,
    #[serde(default)]
    pub statements: Vec<StatementBody>,
    pub max_age_ms: Option<u64>,
    pub deadline_ms: Option<u64>,
    pub idempotency_key: Option<String>,
}

/// JSON body of a request that executes statements in an open transaction.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ExecuteBody {
    pub statements: Vec<StatementBody>,
}

/// Statement in the JSON form that callers send.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct StatementBody {
    sql: String,
    params: Option<Box<RawValue>>,
}

/// Body of a request, with the memory that it holds.
pub(super) struct ReceivedBody {
    pub bytes: Vec<u8>,
    /// Dropped when the request was answered.
    pub permit: Option<OwnedSemaphorePermit>,
}

/// Receives a body of limited size within the time `limit`.
pub(super) async fn receive(
    body: RequestBody,
    limit: Duration,
    memory: &Memory,
) -> Result<ReceivedBody, Problem> {
    timeout(limit, read_limited(body, memory))
        .await
        .unwrap_or_else(|_elapsed| {
            let detail = format!("the body did not arrive within {limit:?}");
            Err(Problem::not_run(ProblemKind::ReceiveTimeout, detail))
        })
}

async fn read_limited(body: RequestBody, memory: &Memory) -> Result<ReceivedBody, Problem> {
    memory.await_answer_room().await;
    let mut body = pin!(body);
    let mut permit = None;
    let mut bytes = Vec::new();
    let mut received = 0;
    while let Some(chunk) = body.as_mut().data().await {
        let chunk = chunk
            .map_err(|err| Problem::not_run(ProblemKind::MalformedRequest, err.to_string()))?;
        received += chunk.len();
        if received > SMALL_BYTES && permit.is_none() {
            permit = memory.hold_request().await;
        }
        if received <= MAX_BODY_BYTES {
            bytes.extend_from_slice(&chunk);
        }
        if received > MAX_READ_BYTES {
            break;
        }
    }
    if received > MAX_BODY_BYTES {
        let detail = format!("a body has at most {MAX_BODY_BYTES} bytes");
        return Err(Problem::not_run(ProblemKind::BodyTooLarge, detail));
    }
    Ok(ReceivedBody { bytes, permit })
}

/// Parses a JSON body.
pub(super) fn parse_json<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, Problem> {
    serde_json::from_slice(bytes)
        .map_err(|err| Problem::not_run(ProblemKind::MalformedRequest, err.to_string()))
}

/// Validates and converts the statements of a request.
pub(super) fn convert_statements(list: Vec<StatementBody>) -> Result<Vec<Statement>, Problem> {
    if list.len() > MAX_STATEMENTS {
        let detail = format!("a request has at most {MAX_STATEMENTS} statements");
        return Err(Problem::not_run(ProblemKind::MalformedRequest, detail));
    }
    list.into_iter().map(convert_statement).collect()
}

fn convert_statement(body: StatementBody) -> Result<Statement, Problem> {
    check_statement(&body.sql)?;
    let params = body
        .params
        .map_or_else(|| "[]".to_owned(), |raw| raw.get().to_owned());
    if !params.starts_with('[') {
        let detail = "`params` is a list";
        return Err(Problem::not_run(ProblemKind::MalformedRequest, detail));
    }
    Ok(Statement {
        sql: body.sql,
        params,
    })
}
