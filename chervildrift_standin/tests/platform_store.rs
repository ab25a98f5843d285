//! Table service, object store, VM list and faults of the platform.

use std::time::{Duration, Instant};

use chervildrift_standin::platform::{Faults, Handle, Options, Vm, VmState, spawn};
use reqwest::{Client, Response, StatusCode};
use serde_json::{Value, json};

const EMPTY_HASH: &str = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";

fn platform() -> Handle {
    spawn(&Options::default()).expect("spawn")
}

async fn put(handle: &Handle, path: &str, condition: (&str, &str), body: Value) -> Response {
    let request = Client::new().put(handle.url(path)).json(&body);
    let request = request.header(condition.0, condition.1);
    request.send().await.expect("put")
}

fn tag(response: &Response) -> String {
    response.headers()["etag"].to_str().unwrap().to_owned()
}

async fn json_of(handle: &Handle, path: &str) -> Value {
    let response = reqwest::get(handle.url(path)).await.expect("get");
    response.json().await.expect("json")
}

/// Guards against a conditional write that takes effect on another version of the record.
#[tokio::test]
async fn conditional_writes() {
    let handle = platform();
    let path = "/tables/heads/a%20b/c";
    let created = put(&handle, path, ("if-none-match", "*"), json!(1)).await;
    assert_eq!(created.status(), StatusCode::CREATED);
    let again = put(&handle, path, ("if-none-match", "*"), json!(2)).await;
    assert_eq!(again.status(), StatusCode::PRECONDITION_FAILED);
    assert_eq!(tag(&again), tag(&created));
    let moved = put(&handle, path, ("if-match", &tag(&created)), json!(3)).await;
    assert_eq!(moved.status(), StatusCode::OK);
    let stale = put(&handle, path, ("if-match", &tag(&created)), json!(4)).await;
    assert_eq!(stale.status(), StatusCode::PRECONDITION_FAILED);
    let listed = json_of(&handle, "/tables/heads").await;
    assert_eq!(
        listed,
        json!([{"key": "a b/c", "tag": tag(&moved), "value": 3}])
    );
    let delete = Client::new().delete(handle.url(path));
    let deleted = delete.header("if-match", tag(&moved)).send().await.unwrap();
    assert_eq!(deleted.status(), StatusCode::NO_CONTENT);
    let gone = reqwest::get(handle.url(path)).await.unwrap();
    assert_eq!(gone.status(), StatusCode::NOT_FOUND);
}

/// Guards against two concurrent conditional writes that both succeed.
#[tokio::test]
async fn racing_writes() {
    const RACERS: u64 = 16;
    let handle = platform();
    for round in 0..10u64 {
        let path = format!("/tables/heads/{round}");
        let writes = (0..RACERS).map(|n| put(&handle, &path, ("if-none-match", "*"), json!(n)));
        let answers = futures::future::join_all(writes).await;
        let is_created = |answer: &&Response| answer.status() == StatusCode::CREATED;
        assert_eq!(answers.iter().filter(is_created).count(), 1);
    }
}

/// Guards against scans that skip or repeat records between pages.
#[tokio::test]
async fn paged_scan() {
    let handle = platform();
    for key in ["a1", "a2", "a3", "b1"] {
        put(&handle, &format!("/tables/t/{key}"), ("x", ""), json!(key)).await;
    }
    put(&handle, "/tables/u/a9", ("x", ""), json!(0)).await;
    let keys = |page: &Value| -> Vec<String> {
        let records = page.as_array().unwrap().iter();
        records
            .map(|record| record["key"].as_str().unwrap().to_owned())
            .collect()
    };
    let first = json_of(&handle, "/tables/t?prefix=a&limit=2").await;
    assert_eq!(keys(&first), ["a1", "a2"]);
    let second = json_of(&handle, "/tables/t?prefix=a&after=a2&limit=2").await;
    assert_eq!(keys(&second), ["a3"]);
}

/// Guards against an object whose content doesn't match its name.
#[tokio::test]
async fn hashed_objects() {
    let handle = platform();
    let url = handle.url(&format!("/objects/{EMPTY_HASH}"));
    let client = Client::new();
    let wrong = client.put(&url).body("x").send().await.unwrap();
    assert_eq!(wrong.status(), StatusCode::BAD_REQUEST);
    let stored = client.put(&url).body("").send().await.unwrap();
    assert_eq!(stored.status(), StatusCode::CREATED);
    assert_eq!(reqwest::get(&url).await.unwrap().status(), StatusCode::OK);
}

/// Guards against a dropped response that still arrives, or whose write has no effect.
#[tokio::test]
async fn lost_answer() {
    let handle = platform();
    put(&handle, "/faults", ("x", ""), json!({"lose_answer": 1})).await;
    let url = handle.url("/tables/t/k");
    let lost = Client::new().put(&url).json(&1).send().await.unwrap_err();
    assert_eq!(lost.status(), None);
    assert_eq!(json_of(&handle, "/tables/t/k").await, json!(1));
    assert_eq!(
        put(&handle, "/tables/t/k", ("x", ""), json!(2))
            .await
            .status(),
        StatusCode::OK
    );
}

/// Guards against faults that can't be turned off, or that affect requests to `/faults`.
#[tokio::test]
async fn down_and_slow() {
    let handle = platform();
    put(&handle, "/faults", ("x", ""), json!({"down": true})).await;
    let down = put(&handle, "/tables/t/k", ("x", ""), json!(1)).await;
    assert_eq!(down.status(), StatusCode::SERVICE_UNAVAILABLE);
    put(
        &handle,
        "/faults",
        ("x", ""),
        json!({"down": false, "slow_ms": 50}),
    )
    .await;
    let start = Instant::now();
    let slow = reqwest::get(handle.url("/tables/t/k")).await.unwrap();
    assert_eq!(slow.status(), StatusCode::NOT_FOUND);
    assert!(start.elapsed() >= Duration::from_millis(50));
    let unknown = put(&handle, "/faults", ("x", ""), json!({"slow": 1})).await;
    assert_eq!(unknown.status(), StatusCode::BAD_REQUEST);
}

/// Guards against a list of VMs that ignores the lag fault.
#[tokio::test]
async fn lagging_list() {
    let handle = platform();
    let vm = json!({"address": "127.0.0.1:1", "zone": "gore", "state": "leaving"});
    put(&handle, "/vms/a", ("x", ""), vm.clone()).await;
    let mut listed = vm;
    listed["name"] = json!("a");
    assert_eq!(json_of(&handle, "/vms").await, json!([listed]));
    handle.set_faults(Faults {
        list_lag_ms: 60_000,
        ..Faults::default()
    });
    assert_eq!(json_of(&handle, "/vms").await, json!([]));
    handle.set_faults(Faults::default());
    handle.put_vm(Vm {
        name: "a".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        zone: "gore".to_owned(),
        state: VmState::Live,
    });
    assert_eq!(json_of(&handle, "/vms").await[0]["state"], "live");
    let delete = Client::new().delete(handle.url("/vms/a"));
    assert_eq!(
        delete.send().await.unwrap().status(),
        StatusCode::NO_CONTENT
    );
    assert_eq!(json_of(&handle, "/vms").await, json!([]));
    handle.stop().await;
}
