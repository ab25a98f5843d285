//! Parsing of callers' requests into operations.

use std::time::Duration;

use chervildrift_core::types::{Kind, Service};
use xitca_web::http::{HeaderMap, Method, header};

use super::body::{ExecuteBody, RunBody, convert_statements, parse_json};
use super::response::{SESSION_COOKIE, SESSION_HEADER};
use crate::work::{Operation, Problem, ProblemKind, StatementBatch};

/// Length limit of a key that selects an instance and of an idempotency key.
const MAX_KEY_BYTES: usize = 255;

/// Returns the session token from its header or else from its cookie.
pub(super) fn session_token(headers: &HeaderMap) -> Option<String> {
    let from_header = headers
        .get(SESSION_HEADER)
        .and_then(|value| value.to_str().ok());
    from_header.or_else(|| cookie(headers)).map(str::to_owned)
}

fn cookie(headers: &HeaderMap) -> Option<&str> {
    let cookie_headers = headers
        .get_all(header::COOKIE)
        .iter()
        .filter_map(|value| value.to_str().ok());
    let pairs = cookie_headers.flat_map(|line| line.split(';'));
    pairs
        .filter_map(|pair| pair.trim().split_once('='))
        .find(|(name, _)| *name == SESSION_COOKIE)
        .map(|(_, value)| value)
}

/// Parses the operation and, if the path names one, the service.
pub(super) fn parse_operation(
    method: &Method,
    path: &str,
    body: &[u8],
) -> Result<(Option<Service>, Operation), Problem> {
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    match segments.as_slice() {
        ["v1", "outcomes", service, key, idempotency_key] => {
            check_method(method, &Method::GET)?;
            let operation = Operation::ResolveOutcome {
                key: decode_segment(key)?,
                idempotency_key: decode_segment(idempotency_key)?,
            };
            Ok((Some(Service::from(*service)), operation))
        }
        ["v1", "transactions", id, action] => {
            check_method(method, &Method::POST)?;
            Ok((None, transaction_operation(id, action, body)?))
        }
        ["v1", service, kind, "transactions"] => {
            check_method(method, &Method::POST)?;
            Ok((
                Some(Service::from(*service)),
                Operation::Open(parse_batch(kind, body, false)?),
            ))
        }
        ["v1", service, kind] => {
            check_method(method, &Method::POST)?;
            Ok((
                Some(Service::from(*service)),
                Operation::Run(parse_batch(kind, body, true)?),
            ))
        }
        _ => Err(Problem::not_run(
            ProblemKind::NotFound,
            format!("nothing is at {path}"),
        )),
    }
}

fn check_method(method: &Method, expected: &Method) -> Result<(), Problem> {
    if method == expected {
        return Ok(());
    }
    let detail = format!("this path takes {expected}");
    Err(Problem::not_run(ProblemKind::MethodNotAllowed, detail))
}

fn transaction_operation(id: &str, action: &str, body: &[u8]) -> Result<Operation, Problem> {
    let transaction = id.to_owned();
    match action {
        "execute" => {
            let body: ExecuteBody = parse_json(body)?;
            Ok(Operation::Execute {
                transaction,
                statements: convert_statements(body.statements)?,
            })
        }
        "commit" => Ok(Operation::Commit { transaction }),
        "rollback" => Ok(Operation::Rollback { transaction }),
        _ => Err(Problem::not_run(
            ProblemKind::NotFound,
            format!("no action {action}"),
        )),
    }
}

fn parse_batch(
    kind: &str,
    body: &[u8],
    statements_needed: bool,
) -> Result<StatementBatch, Problem> {
    let body: RunBody = parse_json(body)?;
    check_key("key", &body.key)?;
    if let Some(idempotency_key) = &body.idempotency_key {
        check_key("idempotency_key", idempotency_key)?;
    }
    if statements_needed && body.statements.is_empty() {
        let detail = "`statements` holds at least one statement";
        return Err(Problem::not_run(ProblemKind::MalformedRequest, detail));
    }
    Ok(StatementBatch {
        kind: Kind::from(kind),
        key: body.key,
        statements: convert_statements(body.statements)?,
        max_age: body.max_age_ms.map(Duration::from_millis),
        deadline: body.deadline_ms.map(Duration::from_millis),
        idempotency_key: body.idempotency_key,
    })
}

fn check_key(field: &str, key: &str) -> Result<(), Problem> {
    if !key.is_empty() && key.len() <= MAX_KEY_BYTES && !key.chars().any(char::is_control) {
        return Ok(());
    }
    let detail = format!("`{field}` has 1 to {MAX_KEY_BYTES} bytes without control characters");
    Err(Problem::not_run(ProblemKind::MalformedRequest, detail))
}

/// Decodes the percent-encoding of a path segment that holds a key, and checks the key.
fn decode_segment(segment: &str) -> Result<String, Problem> {
    let text = percent_encoding::percent_decode_str(segment).decode_utf8();
    let text =
        text.map_err(|err| Problem::not_run(ProblemKind::MalformedRequest, err.to_string()))?;
    check_key("key", &text)?;
    Ok(text.into_owned())
}
