//! Request handlers of the platform.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use percent_encoding::percent_decode_str;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::{Digest, Sha256};
use xitca_web::WebContext;
use xitca_web::body::ResponseBody;
use xitca_web::http::header::{CONTENT_TYPE, ETAG, HeaderName, IF_MATCH, IF_NONE_MATCH};
use xitca_web::http::{HeaderValue, StatusCode, WebResponse};

use super::faults::FaultChange;
use super::state::SharedState;
use super::table::{Condition, ScanQuery, WriteResult};
use super::vms::Vm;

/// Maximum and default number of records in the response to a scan.
const MAX_SCAN_RECORDS: usize = 1000;

/// Request context of the handlers.
pub(super) type Context<'r> = WebContext<'r, Arc<SharedState>>;

/// Marker on the response to a write that took effect.
#[derive(Clone, Copy, Debug)]
pub(super) struct AppliedWrite;

/// Reads a record.
pub(super) async fn read_record(ctx: &Context<'_>) -> WebResponse {
    let (table, key) = (path_param(ctx, "table"), path_param(ctx, "key"));
    let contents = ctx.state().lock();
    let Some(record) = contents.tables.get(&table, &key) else {
        return empty(StatusCode::NOT_FOUND);
    };
    let unchanged = !condition(ctx).holds(Some(&record.tag));
    let response = if unchanged {
        empty(StatusCode::NOT_MODIFIED)
    } else {
        json_response(&record.value)
    };
    with_tag(response, Some(&record.tag))
}

/// Writes a record.
pub(super) async fn write_record(ctx: &Context<'_>, body: Vec<u8>) -> WebResponse {
    let Ok(value) = serde_json::from_slice(&body) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let (table, key) = (path_param(ctx, "table"), path_param(ctx, "key"));
    let mut contents = ctx.state().lock();
    let result = contents.tables.put(&table, &key, value, &condition(ctx));
    write_response(&result)
}

/// Deletes a record.
pub(super) async fn delete_record(ctx: &Context<'_>) -> WebResponse {
    let (table, key) = (path_param(ctx, "table"), path_param(ctx, "key"));
    let mut contents = ctx.state().lock();
    let result = contents.tables.delete(&table, &key, &condition(ctx));
    write_response(&result)
}

/// Lists records of a table.
pub(super) async fn list_records(ctx: &Context<'_>) -> WebResponse {
    let mut scan = ScanQuery {
        limit: MAX_SCAN_RECORDS,
        ..ScanQuery::default()
    };
    let query = ctx.req().uri().query().unwrap_or_default();
    for (name, value) in form_urlencoded::parse(query.as_bytes()) {
        match &*name {
            "prefix" => scan.prefix = value.into_owned(),
            "after" => scan.after = Some(value.into_owned()).filter(|after| !after.is_empty()),
            "limit" => match value.parse::<usize>() {
                Ok(limit) => scan.limit = limit.min(MAX_SCAN_RECORDS),
                Err(_) => return empty(StatusCode::BAD_REQUEST),
            },
            _ => return empty(StatusCode::BAD_REQUEST),
        }
    }
    let table = path_param(ctx, "table");
    json_response(&ctx.state().lock().tables.scan(&table, &scan))
}

/// Reads an object.
pub(super) async fn read_object(ctx: &Context<'_>) -> WebResponse {
    let hash = path_param(ctx, "hash");
    match ctx.state().lock().objects.get(&hash) {
        Some(object) => WebResponse::new(ResponseBody::bytes(object.clone())),
        None => empty(StatusCode::NOT_FOUND),
    }
}

/// Writes an object, whose name must be its SHA-256.
pub(super) async fn write_object(ctx: &Context<'_>, body: Vec<u8>) -> WebResponse {
    let hash = path_param(ctx, "hash");
    if hash != hex(&Sha256::digest(&body)) {
        return empty(StatusCode::BAD_REQUEST);
    }
    let replaced = ctx.state().lock().objects.insert(hash, body).is_some();
    let status = if replaced {
        StatusCode::OK
    } else {
        StatusCode::CREATED
    };
    mark_applied(empty(status))
}

/// Lists the VMs as of `list_lag_ms` ago.
pub(super) async fn list_vms(ctx: &Context<'_>) -> WebResponse {
    let contents = ctx.state().lock();
    let lag = Duration::from_millis(contents.faults.list_lag_ms);
    json_response(&contents.vms.list(lag))
}

/// Adds or replaces a VM.
pub(super) async fn write_vm(ctx: &Context<'_>, body: Vec<u8>) -> WebResponse {
    let Some(mut vm) = parse_json::<Vm>(&body) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    vm.name = path_param(ctx, "name");
    ctx.state().lock().vms.put(vm);
    empty(StatusCode::NO_CONTENT)
}

/// Removes a VM.
pub(super) async fn delete_vm(ctx: &Context<'_>) -> WebResponse {
    ctx.state().lock().vms.delete(&path_param(ctx, "name"));
    empty(StatusCode::NO_CONTENT)
}

/// Returns the faults.
pub(super) async fn read_faults(ctx: &Context<'_>) -> WebResponse {
    json_response(&ctx.state().lock().faults)
}

/// Sets the faults that the body names.
pub(super) async fn write_faults(ctx: &Context<'_>, body: Vec<u8>) -> WebResponse {
    let Some(change) = parse_json::<FaultChange>(&body) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let mut contents = ctx.state().lock();
    contents.faults.apply(change);
    json_response(&contents.faults)
}

/// Builds a response without a body.
pub(super) fn empty(status: StatusCode) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::empty());
    *response.status_mut() = status;
    response
}

fn write_response(result: &WriteResult) -> WebResponse {
    match result {
        WriteResult::Created(tag) => mark_applied(with_tag(empty(StatusCode::CREATED), Some(tag))),
        WriteResult::Replaced(tag) => mark_applied(with_tag(empty(StatusCode::OK), Some(tag))),
        WriteResult::Deleted => mark_applied(empty(StatusCode::NO_CONTENT)),
        WriteResult::NotFound => empty(StatusCode::NOT_FOUND),
        WriteResult::Refused(tag) => with_tag(empty(StatusCode::PRECONDITION_FAILED), tag.as_ref()),
    }
}

fn mark_applied(mut response: WebResponse) -> WebResponse {
    response.extensions_mut().insert(AppliedWrite);
    response
}

fn with_tag(mut response: WebResponse, tag: Option<&String>) -> WebResponse {
    if let Some(tag) = tag.and_then(|tag| HeaderValue::from_str(tag).ok()) {
        response.headers_mut().insert(ETAG, tag);
    }
    response
}

fn json_response(value: &impl Serialize) -> WebResponse {
    let Ok(text) = serde_json::to_vec(value) else {
        return empty(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut response = WebResponse::new(ResponseBody::bytes(text));
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}

/// Returns a decoded path parameter; a key spans the rest of the path, including slashes.
fn path_param(ctx: &Context<'_>, name: &str) -> String {
    let raw = ctx.req().body().params().get(name).unwrap_or_default();
    percent_decode_str(raw).decode_utf8_lossy().into_owned()
}

fn condition(ctx: &Context<'_>) -> Condition {
    let header = |name: HeaderName| {
        let value = ctx.req().headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    Condition {
        if_match: header(IF_MATCH),
        if_none_match: header(IF_NONE_MATCH),
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        // Writing to a string can't fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}
