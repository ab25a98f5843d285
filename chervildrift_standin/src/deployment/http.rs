//! HTTP interface of the store and of promotion orders.

use std::collections::HashMap;
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

use super::Handle;

/// Closes the connection without a response.
#[derive(Debug)]
struct ResponseDropped;

impl std::fmt::Display for ResponseDropped {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer is lost")
    }
}

impl std::error::Error for ResponseDropped {}

/// Serves one connection.
pub(super) async fn serve(handle: Handle, stream: TcpStream) {
    let silences = handle.store.silences();
    let service = service_fn(async |request| {
        let response = handle_request(&handle, request).await;
        if handle.store.silences() != silences {
            std::future::pending::<()>().await;
        }
        response
    });
    let connection = hyper::server::conn::http1::Builder::new();
    // Ends when the client closes the connection or a response is dropped.
    let _ended = connection
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn handle_request(
    handle: &Handle,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, ResponseDropped> {
    // Promotion orders go to another part of the platform, which an outage of the store spares.
    if handle.store.is_down() && request.uri().path().starts_with("/v1/") {
        return Ok(reply(StatusCode::SERVICE_UNAVAILABLE, None));
    }
    let (parts, body) = request.into_parts();
    let body = body.collect().await.ok().ok_or(ResponseDropped)?.to_bytes();
    let content: Value = serde_json::from_slice(&body).unwrap_or_default();
    let query = parts.uri.query().unwrap_or_default().as_bytes();
    let query: HashMap<String, String> = form_urlencoded::parse(query).into_owned().collect();
    let table = query.get("table").map_or("", String::as_str);
    let number_param = |name: &str| query.get(name).and_then(|it| it.parse().ok()).unwrap_or(0);
    match (&parts.method, parts.uri.path()) {
        (&Method::GET, "/v1/rows-get") => {
            let listing = handle.store.list(table);
            if handle.is_muted(table) {
                std::future::pending::<()>().await;
            }
            Ok(reply(StatusCode::OK, Some(listing)))
        }
        (&Method::GET, "/v1/rows-feed") => {
            let wait = Duration::from_millis(number_param("wait_ms"));
            let changes = handle.store.feed(table, number_param("after"), wait).await;
            let status = changes
                .as_ref()
                .map_or(StatusCode::GONE, |_| StatusCode::OK);
            if handle.is_muted(table) {
                std::future::pending::<()>().await;
            }
            Ok(reply(status, changes))
        }
        (&Method::POST, "/v1/rows-tx") => {
            let outcome = handle.store.transact(&content);
            tokio::time::sleep(handle.store.delay()).await;
            match outcome {
                (_, true, _) => Err(ResponseDropped),
                (true, false, body) => Ok(reply(StatusCode::OK, Some(body))),
                (false, false, body) => Ok(reply(StatusCode::PRECONDITION_FAILED, Some(body))),
            }
        }
        (&Method::POST, "/promotion") => {
            if handle.databases.consume_ignored_order() {
                std::future::pending::<()>().await;
            }
            let token = parts.headers.get("X-Chervildrift-Fencing-Token");
            let token = token.and_then(|it| it.to_str().ok()?.parse().ok());
            let (id, token) = (
                content["id"].as_str().unwrap_or_default(),
                token.unwrap_or(0),
            );
            if let Some(delay) = handle.databases.consume_order_delay() {
                handle.promote_after(id, token, delay);
                std::future::pending::<()>().await;
            }
            let accepted = handle.promote(id, token);
            let status = if accepted {
                StatusCode::OK
            } else {
                StatusCode::CONFLICT
            };
            Ok(reply(status, None))
        }
        _ => Ok(reply(StatusCode::NOT_FOUND, None)),
    }
}

fn reply(status: StatusCode, body: Option<Value>) -> Response<Full<Bytes>> {
    let body = body.map(|body| body.to_string()).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
