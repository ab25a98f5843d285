//! Requests from a caller through the two VMs of the demo fleet to an upstream and back.

mod demo;

use chervildrift_standin::upstream::Fault;
use serde_json::json;

use demo::{Session, spawn_demo};

/// Guards against a read that misses an earlier write of its session.
///
/// The read goes through another VM than the write, and the replicas lag by a minute.
#[tokio::test]
async fn read_your_writes() {
    let fleet = spawn_demo().await;
    let [first, second] = [fleet.callers()[0], fleet.callers()[1]];
    let mut session = Session::new(fleet.credential());
    let created = session
        .run(first, "save", "create table note (id text)", json!([]))
        .await;
    assert_eq!(created.status, 200, "{:?}", created.body);
    for upstream in &fleet.upstreams()[1..] {
        upstream.set_fault(Fault::ApplyLagMs, 60_000);
    }
    for count in 1..=5 {
        let sql = "insert into note values ($1)";
        let written = session
            .run(first, "save", sql, json!([format!("n{count}")]))
            .await;
        assert_eq!(written.status, 200, "{:?}", written.body);
        let read = session
            .run(second, "list", "select count(*) from note", json!([]))
            .await;
        assert_eq!(
            read.body["results"][0]["rows"][0][0],
            json!(count),
            "{:?}",
            read.body
        );
    }
    assert!(fleet.stop().await, "the stop cut off a request");
}

/// Guards against a write that runs again when it is repeated under its idempotency key.
#[tokio::test]
async fn repeated_idempotency_key() {
    let fleet = spawn_demo().await;
    let [first, second] = [fleet.callers()[0], fleet.callers()[1]];
    let mut session = Session::new(fleet.credential());
    session
        .run(
            first,
            "save",
            "create table deposit (amount integer)",
            json!([]),
        )
        .await;
    let body = |amount: u32| {
        json!({
            "key": "a", "idempotency_key": "deposit-1",
            "statements": [{ "sql": "insert into deposit values ($1)", "params": [amount] }],
        })
        .to_string()
    };
    for vm in [first, second, first] {
        let reply = session.post(vm, "/v1/demo/save", body(10)).await;
        assert_eq!(reply.status, 200, "{:?}", reply.body);
    }
    let other = session.post(second, "/v1/demo/save", body(11)).await;
    assert_eq!((other.status, other.problem()), (409, "key-reused"));
    let read = session
        .run(second, "look", "select count(*) from deposit", json!([]))
        .await;
    assert_eq!(read.body["results"][0]["rows"][0][0], json!(1));
}

/// Guards against a request that runs after the query of its outcome answered that it did not.
#[tokio::test]
async fn outcome_request_cancels() {
    let fleet = spawn_demo().await;
    let [first, second] = [fleet.callers()[0], fleet.callers()[1]];
    let mut session = Session::new(fleet.credential());
    session
        .run(first, "save", "create table note (id text)", json!([]))
        .await;
    let outcome = session.get(second, "/v1/outcomes/demo/a/late-1").await;
    assert_eq!(
        (outcome.state(), outcome.problem()),
        ("not_run", "cancelled"),
        "{:?}",
        outcome.body
    );
    let body = json!({
        "key": "a", "idempotency_key": "late-1",
        "statements": [{ "sql": "insert into note values ('late')" }],
    });
    let late = session.post(first, "/v1/demo/save", body.to_string()).await;
    assert_eq!(
        (late.state(), late.problem()),
        ("not_run", "cancelled"),
        "{:?}",
        late.body
    );
    let read = session
        .run(first, "look", "select count(*) from note", json!([]))
        .await;
    assert_eq!(read.body["results"][0]["rows"][0][0], json!(0));
}
/// Guards against a transaction that works only through the VM that opened it, or whose writes
/// other requests see before the commit.
#[tokio::test]
async fn transaction_through_two_vms() {
    let fleet = spawn_demo().await;
    let [first, second] = [fleet.callers()[0], fleet.callers()[1]];
    let mut session = Session::new(fleet.credential());
    session
        .run(first, "save", "create table note (id text)", json!([]))
        .await;
    let opened = session
        .post(first, "/v1/demo/save/transactions", r#"{"key":"a"}"#)
        .await;
    let id = opened.body["transaction"]
        .as_str()
        .expect("an identifier")
        .to_owned();
    let insert = r#"{"statements":[{"sql":"insert into note values ('t')"}]}"#;
    let path = |action: &str| format!("/v1/transactions/{id}/{action}");
    let executed = session.post(second, &path("execute"), insert).await;
    assert_eq!(executed.status, 200, "{:?}", executed.body);
    let before_commit = session
        .run(first, "look", "select count(*) from note", json!([]))
        .await;
    assert_eq!(
        before_commit.body["results"][0]["rows"][0][0],
        json!(0),
        "{:?}",
        before_commit.body
    );
    let committed = session.post(first, &path("commit"), "").await;
    assert_eq!(committed.status, 200, "{:?}", committed.body);
    let after_commit = session
        .run(second, "list", "select count(*) from note", json!([]))
        .await;
    assert_eq!(
        after_commit.body["results"][0]["rows"][0][0],
        json!(1),
        "{:?}",
        after_commit.body
    );
    let second_commit = session.post(second, &path("commit"), "").await;
    assert_eq!(
        (second_commit.status, second_commit.problem()),
        (409, "transaction-lost")
    );
}
