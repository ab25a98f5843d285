//! HTTP responses to callers.

use serde::Serialize;
use serde_json::json;
use serde_json::value::RawValue;
use xitca_web::body::ResponseBody;
use xitca_web::http::{HeaderName, HeaderValue, StatusCode, WebResponse, header};

use super::memory::{Memory, SMALL_BYTES};
use crate::work::{CallResult, Problem, ProblemKind, RequestId, Success};

/// Header that carries the session token.
pub(super) const SESSION_HEADER: &str = "chervildrift-session";

/// Cookie that carries the session token.
pub(super) const SESSION_COOKIE: &str = "chervildrift_session";

/// Header that carries the identifier of the request.
const REQUEST_HEADER: &str = "chervildrift-request";

/// Value of the `Retry-After` header of an overload response, in seconds.
const RETRY_AFTER_SECONDS: &str = "1";

/// Builds the HTTP response to a call; `closing` asks the caller to close its connection.
pub(super) fn build_response(
    id: RequestId,
    result: CallResult,
    closing: bool,
    memory: &Memory,
) -> WebResponse {
    let mut response = match result {
        Ok(success) => success_response(id, &success, memory),
        Err(problem) => problem_response(id, &problem),
    };
    set_header(&mut response, REQUEST_HEADER, &id.to_string());
    if closing {
        set_header(&mut response, header::CONNECTION.as_str(), "close");
    }
    response
}

fn success_response(id: RequestId, success: &Success, memory: &Memory) -> WebResponse {
    let body = match encode_body(success) {
        Ok(body) => body,
        Err(err) => return problem_response(id, &Problem::unknown(err.to_string(), None)),
    };
    let body = if body.len() > SMALL_BYTES {
        ResponseBody::boxed(memory.track_answer(body.into()))
    } else {
        ResponseBody::from(body)
    };
    let mut response = WebResponse::new(body);
    set_header(
        &mut response,
        header::CONTENT_TYPE.as_str(),
        "application/json",
    );
    if let Some(session) = &success.session_token {
        set_header(&mut response, SESSION_HEADER, session);
        let cookie = format!("{SESSION_COOKIE}={session}; Path=/; HttpOnly; SameSite=Strict");
        set_header(&mut response, header::SET_COOKIE.as_str(), &cookie);
    }
    response
}

/// JSON body of a successful response.
#[derive(Serialize)]
struct SuccessBody<'a> {
    results: &'a RawValue,
    #[serde(skip_serializing_if = "Option::is_none")]
    served_by: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    age_ms: Option<u128>,
    #[serde(skip_serializing_if = "Option::is_none")]
    transaction: Option<&'a str>,
}

fn encode_body(success: &Success) -> Result<String, serde_json::Error> {
    let results = if success.results.is_empty() {
        "[]"
    } else {
        &success.results
    };
    serde_json::to_string(&SuccessBody {
        results: serde_json::from_str(results)?,
        served_by: success.upstream.as_deref(),
        age_ms: success.age.map(|age| age.as_millis()),
        transaction: success.transaction.as_deref(),
    })
}

fn problem_response(id: RequestId, problem: &Problem) -> WebResponse {
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
    set_header(
        &mut response,
        header::CONTENT_TYPE.as_str(),
        "application/problem+json",
    );
    if problem.kind == ProblemKind::Overloaded {
        set_header(
            &mut response,
            header::RETRY_AFTER.as_str(),
            RETRY_AFTER_SECONDS,
        );
    }
    if problem.kind == ProblemKind::Unauthorized {
        set_header(&mut response, header::WWW_AUTHENTICATE.as_str(), "Bearer");
    }
    response
}

fn set_header(response: &mut WebResponse, name: &str, value: &str) {
    if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), HeaderValue::from_str(value)) {
        response.headers_mut().insert(name, value);
    }
}
