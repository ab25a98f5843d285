//! Changes of primary while the VMs serve requests.

mod demo;

use std::time::{Duration, Instant};

use chervildrift::try_out::DemoFleet;
use chervildrift_standin::upstream::Fault;
use serde_json::json;

use demo::{Session, spawn_demo};

/// Maximum time without a confirmed write during a change of primary.
const MAX_GAP: Duration = Duration::from_secs(3);

/// Time from the first write to the fault.
const FAULT_DELAY: Duration = Duration::from_millis(500);

/// Time for which the test writes.
const WRITE_DURATION: Duration = Duration::from_secs(5);

/// Writes through both VMs in turn, injects a fault once, and checks every confirmed write.
async fn write_through_fault(fleet: &DemoFleet, inject_fault: impl FnOnce()) {
    let vms = fleet.callers();
    let mut session = Session::new(fleet.credential());
    session
        .run(vms[0], "save", "create table note (id integer)", json!([]))
        .await;
    let mut inject_fault = Some(inject_fault);
    let (mut confirmed, mut gap, mut last) = (Vec::new(), Duration::ZERO, Instant::now());
    let start = Instant::now();
    for id in 0.. {
        if start.elapsed() > FAULT_DELAY
            && let Some(inject_fault) = inject_fault.take()
        {
            inject_fault();
        }
        let sql = "insert into note values ($1)";
        let reply = session.run(vms[id % 2], "save", sql, json!([id])).await;
        // The deadline of 5 s exceeds the maximum gap, so a write is delayed and never refused.
        assert_ne!(reply.state(), "not_run", "{:?}", reply.body);
        if reply.status == 200 {
            confirmed.push(id);
            gap = gap.max(last.elapsed());
            last = Instant::now();
        }
        if start.elapsed() > WRITE_DURATION {
            break;
        }
    }
    gap = gap.max(last.elapsed());
    assert!(gap < MAX_GAP, "gap of {gap:?}");
    check_confirmed(fleet, &mut session, &confirmed).await;
}

async fn check_confirmed(fleet: &DemoFleet, session: &mut Session, confirmed: &[usize]) {
    let sql = "select id from note";
    let read = session
        .run(fleet.callers()[0], "look", sql, json!([]))
        .await;
    let rows = read.body["results"][0]["rows"]
        .as_array()
        .expect("rows")
        .clone();
    for id in confirmed {
        let found = rows.iter().filter(|row| row[0] == json!(id)).count();
        assert_eq!(found, 1, "confirmed write {id} occurs {found} times");
    }
}

/// Guards against a lost or repeated confirmed write, and a long gap, when the primary freezes.
#[tokio::test]
async fn frozen_primary() {
    let fleet = spawn_demo().await;
    write_through_fault(&fleet, || {
        fleet.upstreams()[0].set_fault(Fault::Freeze, 1);
    })
    .await;
    fleet.upstreams()[0].set_fault(Fault::Freeze, 0);
}

/// Guards against confirmed writes that a primary loses because it is cut off from its replicas
/// while the VMs still reach it.
#[tokio::test]
async fn cut_off_primary() {
    let fleet = spawn_demo().await;
    write_through_fault(&fleet, || {
        fleet.upstreams()[0].set_fault(Fault::CutReplication, 1);
    })
    .await;
}

/// Guards against writes that run again because their answers were lost after they took effect.
#[tokio::test]
async fn lost_answers() {
    let fleet = spawn_demo().await;
    write_through_fault(&fleet, || {
        fleet.upstreams()[0].set_fault(Fault::DropAnswer, 5);
    })
    .await;
    lose_another_answer(&fleet).await;
}

/// Writes once more while the primary loses an answer and is cut off from its replicas.
async fn lose_another_answer(fleet: &DemoFleet) {
    let vms = fleet.callers();
    let mut session = Session::new(fleet.credential());
    let primary = &fleet.upstreams()[0];
    primary.set_fault(Fault::DropAnswer, 1);
    primary.set_fault(Fault::CutReplication, 1);
    let reply = session
        .run(vms[1], "save", "insert into note values (-1)", json!([]))
        .await;
    assert_eq!(reply.status, 200, "{:?}", reply.body);
    let sql = "select count(*) from note where id = -1";
    let read = session.run(vms[0], "look", sql, json!([])).await;
    assert_eq!(
        read.body["results"][0]["rows"][0][0],
        json!(1),
        "{:?}",
        read.body
    );
}

/// Guards against confirming a write that only the primary has received because both replicas
/// lag, and against a failing query of its outcome.
#[tokio::test]
async fn replicas_behind() {
    let fleet = spawn_demo().await;
    let vms = fleet.callers();
    let mut session = Session::new(fleet.credential());
    session
        .run(vms[0], "save", "create table note (id integer)", json!([]))
        .await;
    for upstream in &fleet.upstreams()[1..] {
        upstream.set_fault(Fault::ReceiveLagMs, 60_000);
    }
    let body = json!({
        "key": "a", "deadline_ms": 700, "idempotency_key": "behind-1",
        "statements": [{ "sql": "insert into note values (1)" }],
    });
    let reply = session
        .post(vms[0], "/v1/demo/save", body.to_string())
        .await;
    assert_eq!(
        (reply.status, reply.state()),
        (504, "unknown"),
        "{:?}",
        reply.body
    );
    let outcome_path = reply.body["ask"]
        .as_str()
        .expect("an outcome path")
        .to_owned();
    for upstream in &fleet.upstreams()[1..] {
        upstream.set_fault(Fault::ReceiveLagMs, 0);
    }
    let outcome = session.get(vms[1], &outcome_path).await;
    assert_eq!(outcome.status, 200, "{:?}", outcome.body);
    let read = session
        .run(vms[1], "look", "select count(*) from note", json!([]))
        .await;
    assert_eq!(read.body["results"][0]["rows"][0][0], json!(1));
}

/// Guards against a read of data older than its bound at a replica that has lost its primary.
#[tokio::test]
async fn stale_reads() {
    let fleet = spawn_demo().await;
    let vms = fleet.callers();
    let mut session = Session::new(fleet.credential());
    session
        .run(vms[0], "save", "create table note (id integer)", json!([]))
        .await;
    for upstream in &fleet.upstreams()[..2] {
        upstream.set_fault(Fault::Freeze, 1);
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let read = |max_age: u32| {
        json!({
            "key": "a", "max_age_ms": max_age, "deadline_ms": 800,
            "statements": [{ "sql": "select count(*) from note" }],
        })
        .to_string()
    };
    let within_bound = session.post(vms[0], "/v1/demo/list", read(60_000)).await;
    assert_eq!(within_bound.status, 200, "{:?}", within_bound.body);
    let past_bound = session.post(vms[0], "/v1/demo/list", read(200)).await;
    assert_eq!(past_bound.state(), "not_run", "{:?}", past_bound.body);
    for upstream in &fleet.upstreams()[..2] {
        upstream.set_fault(Fault::Freeze, 0);
    }
}
