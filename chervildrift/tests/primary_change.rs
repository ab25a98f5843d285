//! Changes of primary under running VMs.

mod demo;

use std::time::{Duration, Instant};

use chervildrift_standin::upstream::Fault;
use serde_json::json;

use demo::{Session, embedded};

/// Longest gap in service that a change of primary may cause.
const GAP_LIMIT: Duration = Duration::from_secs(3);

/// Guards against a confirmed write that is lost, one that runs twice, and a long gap, when the
/// primary freezes and comes back.
#[tokio::test]
async fn frozen_primary() {
    let embedded = embedded().await;
    let [first, second] = [embedded.callers()[0], embedded.callers()[1]];
    let mut session = Session::open(embedded.credential());
    session
        .run(first, "save", "create table note (id integer)", json!([]))
        .await;
    let mut confirmed = Vec::new();
    let mut gap = Duration::ZERO;
    let mut last = Instant::now();
    let start = Instant::now();
    let mut frozen = false;
    for id in 0.. {
        if !frozen && start.elapsed() > Duration::from_millis(500) {
            embedded.upstreams()[0].fault(Fault::Freeze, 1);
            frozen = true;
        }
        let vm = if id % 2 == 0 { first } else { second };
        let reply = session
            .run(vm, "save", "insert into note values ($1)", json!([id]))
            .await;
        if reply.status == 200 {
            confirmed.push(id);
            gap = gap.max(last.elapsed());
            last = Instant::now();
        }
        if start.elapsed() > Duration::from_secs(5) {
            break;
        }
    }
    gap = gap.max(last.elapsed());
    embedded.upstreams()[0].fault(Fault::Freeze, 0);
    assert!(gap < GAP_LIMIT, "gap of {gap:?}");
    let read = session
        .run(first, "look", "select id from note", json!([]))
        .await;
    let rows = read.body["results"][0]["rows"]
        .as_array()
        .expect("rows")
        .clone();
    for id in &confirmed {
        let found = rows.iter().filter(|row| row[0] == json!(id)).count();
        assert_eq!(found, 1, "confirmed write {id} is there {found} times");
    }
    assert!(
        confirmed.len() > 20,
        "only {} writes were confirmed",
        confirmed.len()
    );
    eprintln!("gap {gap:?}, {} confirmed", confirmed.len());
}
