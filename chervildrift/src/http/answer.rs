//! Answers as callers receive them.

use serde::Serialize;
use serde_json::json;
use serde_json::value::RawValue;
use xitca_web::body::ResponseBody;
use xitca_web::http::{HeaderName, HeaderValue, StatusCode, WebResponse, header};

use crate::work::{CallResult, Problem, ProblemKind, RequestId, Success};

/// Header that carries the session token.
pub(super) const SESSION_HEADER: &str = "chervildrift-session";

/// Cookie that carries the session token.
pub(super) const SESSION_COOKIE: &str = "chervildrift_session";

/// Header that carries the identifier of the request.
const REQUEST_HEADER: &str = "chervildrift-request";

/// Seconds after which a caller may try again when the fleet is overloaded.
const RETRY_AFTER_SECONDS: &str = "1";

/// Builds the response to a call.
pub(super) fn respond(id: RequestId, answer: CallResult, closing: bool) -> WebResponse {
    let mut response = match answer {
        Ok(done) => success(id, &done),
        Err(problem) => failure(id, &problem),
    };
    set(&mut response, REQUEST_HEADER, &id.to_string());
    if closing {
        set(&mut response, header::CONNECTION.as_str(), "close");
    }
    response
}

fn success(id: RequestId, done: &Success) -> WebResponse {
    let body = match render(done) {
        Ok(body) => body,
        Err(err) => return failure(id, &Problem::unknown(err.to_string(), None)),
    };
    let mut response = WebResponse::new(ResponseBody::from(body));
    set(
        &mut response,
        header::CONTENT_TYPE.as_str(),
        "application/json",
    );
    if let Some(session) = &done.session_token {
        set(&mut response, SESSION_HEADER, session);
        let cookie = format!("{SESSION_COOKIE}={session}; Path=/; HttpOnly; SameSite=Strict");
        set(&mut response, header::SET_COOKIE.as_str(), &cookie);
    }
    response
}

/// Body of an answer with results.
#[derive(Serialize)]
struct DoneBody<'a> {
    results: &'a RawValue,
    #[serde(skip_serializing_if = "Option::is_none")]
    served_by: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    age_ms: Option<u128>,
    #[serde(skip_serializing_if = "Option::is_none")]
    transaction: Option<&'a str>,
}

fn render(done: &Success) -> Result<String, serde_json::Error> {
    let results = if done.results.is_empty() {
        "[]"
    } else {
        &done.results
    };
    serde_json::to_string(&DoneBody {
        results: serde_json::from_str(results)?,
        served_by: done.upstream.as_deref(),
        age_ms: done.age.map(|age| age.as_millis()),
        transaction: done.transaction.as_deref(),
    })
}

fn failure(id: RequestId, problem: &Problem) -> WebResponse {
    let status = problem.kind.status();
    let mut body = json!({
        "type": format!("urn:chervildrift:problem:{}", problem.kind),
        "title": problem.kind.to_string().replace('-', " "),
        "status": status,
        "detail": problem.detail,
        "state": problem.state.to_string(),
        "instance": format!("urn:chervildrift:request:{id}"),
    });
    if let Some(ask) = &problem.ask {
        body["ask"] = json!(ask);
    }
    let mut response = WebResponse::new(ResponseBody::from(body.to_string()));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    set(
        &mut response,
        header::CONTENT_TYPE.as_str(),
        "application/problem+json",
    );
    if problem.kind == ProblemKind::Overloaded {
        set(
            &mut response,
            header::RETRY_AFTER.as_str(),
            RETRY_AFTER_SECONDS,
        );
    }
    if problem.kind == ProblemKind::Unauthorized {
        set(&mut response, header::WWW_AUTHENTICATE.as_str(), "Bearer");
    }
    response
}

fn set(response: &mut WebResponse, name: &str, value: &str) {
    if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), HeaderValue::from_str(value)) {
        response.headers_mut().insert(name, value);
    }
}
