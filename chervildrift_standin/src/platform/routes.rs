//! Requests of the platform.

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
use super::state::State;
use super::table::{Condition, Scan, Written};
use super::vms::Vm;

/// Records that a scan lists at most, and if the request names no limit.
const SCAN_LIMIT: usize = 1000;

/// Request as the handlers see it.
pub(super) type Context<'r> = WebContext<'r, Arc<State>>;

/// Marks the response to a write that took effect.
#[derive(Clone, Copy, Debug)]
pub(super) struct TookEffect;

/// Reads a record.
pub(super) async fn read(ctx: &Context<'_>) -> WebResponse {
    let (table, key) = (param(ctx, "table"), param(ctx, "key"));
    let store = ctx.state().store();
    let Some(record) = store.tables.get(&table, &key) else {
        return empty(StatusCode::NOT_FOUND);
    };
    let unchanged = !condition(ctx).holds(Some(&record.tag));
    let response = if unchanged {
        empty(StatusCode::NOT_MODIFIED)
    } else {
        json(&record.value)
    };
    tagged(response, Some(&record.tag))
}

/// Writes a record.
pub(super) async fn write(ctx: &Context<'_>, body: Vec<u8>) -> WebResponse {
    let Ok(value) = serde_json::from_slice(&body) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let (table, key) = (param(ctx, "table"), param(ctx, "key"));
    let mut store = ctx.state().store();
    let written = store.tables.put(&table, &key, value, &condition(ctx));
    written_response(&written)
}

/// Deletes a record.
pub(super) async fn remove(ctx: &Context<'_>) -> WebResponse {
    let (table, key) = (param(ctx, "table"), param(ctx, "key"));
    let mut store = ctx.state().store();
    let written = store.tables.delete(&table, &key, &condition(ctx));
    written_response(&written)
}

/// Lists records of a table.
pub(super) async fn scan(ctx: &Context<'_>) -> WebResponse {
    let mut scan = Scan {
        limit: SCAN_LIMIT,
        ..Scan::default()
    };
    let query = ctx.req().uri().query().unwrap_or_default();
    for (name, value) in form_urlencoded::parse(query.as_bytes()) {
        match &*name {
            "prefix" => scan.prefix = value.into_owned(),
            "after" => scan.after = Some(value.into_owned()).filter(|after| !after.is_empty()),
            "limit" => match value.parse::<usize>() {
                Ok(limit) => scan.limit = limit.min(SCAN_LIMIT),
                Err(_) => return empty(StatusCode::BAD_REQUEST),
            },
            _ => return empty(StatusCode::BAD_REQUEST),
        }
    }
    let table = param(ctx, "table");
    json(&ctx.state().store().tables.scan(&table, &scan))
}

/// Reads an object.
pub(super) async fn read_object(ctx: &Context<'_>) -> WebResponse {
    let hash = param(ctx, "hash");
    match ctx.state().store().objects.get(&hash) {
        Some(object) => WebResponse::new(ResponseBody::bytes(object.clone())),
        None => empty(StatusCode::NOT_FOUND),
    }
}

/// Writes an object, whose name has to be its SHA-256.
pub(super) async fn write_object(ctx: &Context<'_>, body: Vec<u8>) -> WebResponse {
    let hash = param(ctx, "hash");
    if hash != hex(&Sha256::digest(&body)) {
        return empty(StatusCode::BAD_REQUEST);
    }
    let replaced = ctx.state().store().objects.insert(hash, body).is_some();
    let status = if replaced {
        StatusCode::OK
    } else {
        StatusCode::CREATED
    };
    effective(empty(status))
}

/// Lists the VMs, as they were some time ago.
pub(super) async fn list_vms(ctx: &Context<'_>) -> WebResponse {
    let store = ctx.state().store();
    let lag = Duration::from_millis(store.faults.list_lag_ms);
    json(&store.vms.list(lag))
}

/// Adds or replaces a VM.
pub(super) async fn write_vm(ctx: &Context<'_>, body: Vec<u8>) -> WebResponse {
    let Some(mut vm) = parse::<Vm>(&body) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    vm.name = param(ctx, "name");
    ctx.state().store().vms.put(vm);
    empty(StatusCode::NO_CONTENT)
}

/// Removes a VM.
pub(super) async fn remove_vm(ctx: &Context<'_>) -> WebResponse {
    ctx.state().store().vms.delete(&param(ctx, "name"));
    empty(StatusCode::NO_CONTENT)
}

/// Returns the faults.
pub(super) async fn read_faults(ctx: &Context<'_>) -> WebResponse {
    json(&ctx.state().store().faults)
}

/// Sets the faults that the body names.
pub(super) async fn write_faults(ctx: &Context<'_>, body: Vec<u8>) -> WebResponse {
    let Some(change) = parse::<FaultChange>(&body) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let mut store = ctx.state().store();
    store.faults.change(change);
    json(&store.faults)
}

/// Returns an answer without a body.
pub(super) fn empty(status: StatusCode) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::empty());
    *response.status_mut() = status;
    response
}

fn written_response(written: &Written) -> WebResponse {
    match written {
        Written::Created(tag) => effective(tagged(empty(StatusCode::CREATED), Some(tag))),
        Written::Replaced(tag) => effective(tagged(empty(StatusCode::OK), Some(tag))),
        Written::Deleted => effective(empty(StatusCode::NO_CONTENT)),
        Written::Missing => empty(StatusCode::NOT_FOUND),
        Written::Refused(tag) => tagged(empty(StatusCode::PRECONDITION_FAILED), tag.as_ref()),
    }
}

fn effective(mut response: WebResponse) -> WebResponse {
    response.extensions_mut().insert(TookEffect);
    response
}

fn tagged(mut response: WebResponse, tag: Option<&String>) -> WebResponse {
    if let Some(tag) = tag.and_then(|tag| HeaderValue::from_str(tag).ok()) {
        response.headers_mut().insert(ETAG, tag);
    }
    response
}

fn json(value: &impl Serialize) -> WebResponse {
    let Ok(text) = serde_json::to_vec(value) else {
        return empty(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut response = WebResponse::new(ResponseBody::bytes(text));
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}

/// Returns a part of the path, which a key may fill to the end, slashes included.
fn param(ctx: &Context<'_>, name: &str) -> String {
    let raw = ctx.req().body().params().get(name).unwrap_or_default();
    percent_decode_str(raw).decode_utf8_lossy().into_owned()
}

fn condition(ctx: &Context<'_>) -> Condition {
    let header = |name: HeaderName| {
        let value = ctx.req().headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    Condition {
        matches: header(IF_MATCH),
        differs: header(IF_NONE_MATCH),
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}
