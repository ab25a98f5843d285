//! Tests of invalid requests to the listener for callers.

mod demo;

use std::time::Duration;

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use demo::{Session, spawn_demo};

/// Guards against invalid requests that are executed or rejected without a specific error.
#[tokio::test]
async fn clear_errors() {
    let fleet = spawn_demo().await;
    let vm = fleet.callers()[0];
    let mut session = Session::new(fleet.credential());
    let good = r#"{"key":"a","statements":[{"sql":"select 1"}]}"#;
    let large = format!(r#"{{"key":"{}"}}"#, "x".repeat(300_000));
    let cases = [
        ("/v1/demo/look", "{", 400, "malformed-request"),
        (
            "/v1/demo/look",
            r#"{"key":"a","stmts":[]}"#,
            400,
            "malformed-request",
        ),
        (
            "/v1/demo/look",
            r#"{"key":"","statements":[{"sql":"select 1"}]}"#,
            400,
            "malformed-request",
        ),
        ("/v1/demo/nothing", good, 404, "unknown-kind"),
        ("/v1/other/look", good, 403, "forbidden"),
        ("/v2/demo/look", good, 404, "not-found"),
        ("/v1/demo/look", large.as_str(), 413, "body-too-large"),
        (
            "/v1/demo/save",
            r#"{"key":"a","statements":[{"sql":"commit"}]}"#,
            400,
            "statement-not-allowed",
        ),
        (
            "/v1/demo/save",
            r#"{"key":"a","statements":[{"sql":" /* */ SET x = 1"}]}"#,
            400,
            "statement-not-allowed",
        ),
        (
            "/v1/demo/save",
            r#"{"key":"a","statements":[{"sql":"select chervildrift_promote(9, 'x')"}]}"#,
            400,
            "statement-not-allowed",
        ),
        (
            "/v1/transactions/none/commit",
            "",
            404,
            "unknown-transaction",
        ),
    ];
    for (path, body, status, problem) in cases {
        let reply = session.post(vm, path, body).await;
        assert_eq!(
            (reply.status, reply.problem()),
            (status, problem),
            "{path} {:?}",
            reply.body
        );
        assert_eq!(reply.state(), "not_run", "{path}");
    }
    let failed = session
        .run(vm, "save", "insert into nothing values (1)", json!([]))
        .await;
    assert_eq!(
        (failed.status, failed.state()),
        (422, "failed"),
        "{:?}",
        failed.body
    );
}

/// Guards against a connection that is closed while its caller still sends an oversized body, so
/// that the error response or the next request is lost.
#[tokio::test]
async fn oversized_bodies() {
    let fleet = spawn_demo().await;
    let vm = fleet.callers()[0];
    let body = format!(r#"{{"key":"{}"}}"#, "x".repeat(900_000));
    for credential in [fleet.credential(), "wrong"] {
        let mut session = Session::new(credential);
        for _ in 0..50 {
            let reply = session.post(vm, "/v1/demo/look", body.as_str()).await;
            assert!([401, 413].contains(&reply.status), "{:?}", reply.body);
            // The connection that carried the error also carries the next request.
            let next = session.run(vm, "look", "select 1", json!([])).await;
            assert!([200, 401].contains(&next.status), "{:?}", next.body);
        }
    }
}

/// Guards against a credential or session token that isn't verified.
#[tokio::test]
async fn forged_tokens() {
    let fleet = spawn_demo().await;
    let vm = fleet.callers()[0];
    let reply = Session::new("wrong")
        .run(vm, "look", "select 1", json!([]))
        .await;
    assert_eq!((reply.status, reply.problem()), (401, "unauthorized"));
    let mut session = Session::new(fleet.credential());
    session
        .run(vm, "save", "create table note (id text)", json!([]))
        .await;
    let token = session.token.clone().expect("a write gives a token");
    let changed_end = if token.ends_with('A') { 'B' } else { 'A' };
    session.token = Some(format!("{}{changed_end}", &token[..token.len() - 1]));
    let reply = session.run(vm, "look", "select 1", json!([])).await;
    assert_eq!(
        (reply.status, reply.problem()),
        (400, "invalid-session"),
        "{:?}",
        reply.body
    );
}

/// Guards against writes in requests of a read kind.
#[tokio::test]
async fn writing_reads() {
    let fleet = spawn_demo().await;
    let vm = fleet.callers()[0];
    let mut session = Session::new(fleet.credential());
    session
        .run(vm, "save", "create table note (id text)", json!([]))
        .await;
    for kind in ["look", "list"] {
        let reply = session
            .run(vm, kind, "insert into note values ('x')", json!([]))
            .await;
        assert_eq!(
            (reply.status, reply.state()),
            (422, "failed"),
            "{kind}: {:?}",
            reply.body
        );
    }
    let read = session
        .run(vm, "look", "select count(*) from note", json!([]))
        .await;
    assert_eq!(read.body["results"][0]["rows"][0][0], json!(0));
}

/// Guards against slow senders that block other callers or are never disconnected.
#[tokio::test]
async fn slow_senders() {
    let fleet = spawn_demo().await;
    let vm = fleet.callers()[0];
    let mut slow = Vec::new();
    for _ in 0..100 {
        let mut stream = TcpStream::connect(vm).await.expect("connects");
        stream
            .write_all(b"POST /v1/demo/look HTTP/1.1\r\nhost: x\r\n")
            .await
            .expect("writes");
        slow.push(stream);
    }
    let mut session = Session::new(fleet.credential());
    let served = session.run(vm, "look", "select 1", json!([])).await;
    assert_eq!(served.status, 200, "{:?}", served.body);
    let mut rest = Vec::new();
    let closed = slow[0].read_to_end(&mut rest);
    let closed = tokio::time::timeout(Duration::from_secs(10), closed).await;
    assert!(
        closed.is_ok(),
        "a connection that never sends its head stays open"
    );
}

/// Guards against a flood of idle connections that locks out open or new connections of others.
#[tokio::test]
async fn connection_flood() {
    let fleet = spawn_demo().await;
    let vm = fleet.callers()[0];
    let mut known = Session::new(fleet.credential());
    known.run(vm, "look", "select 1", json!([])).await;
    let mut flood = Vec::new();
    for _ in 0..1_050 {
        flood.push(TcpStream::connect(vm).await.expect("connects"));
    }
    let served = known.run(vm, "look", "select 1", json!([])).await;
    assert_eq!(
        served.status, 200,
        "an open connection is not served: {:?}",
        served.body
    );
    let mut late = Session::new(fleet.credential());
    let served = late.run(vm, "look", "select 1", json!([]));
    let served = tokio::time::timeout(Duration::from_secs(15), served).await;
    assert!(
        served.is_ok_and(|it| it.status == 200),
        "a new caller is locked out"
    );
}
