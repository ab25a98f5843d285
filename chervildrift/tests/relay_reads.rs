//! Reads through a relaying VM: freshness by route and session, and unresponsive replicas.

mod relay_fleet;

use std::time::Duration;

use chervildrift_standin::deployment::Options;

use relay_fleet::Fleet;

/// Lag with which replicas never apply a commit during a test.
const UNBOUNDED_LAG: Duration = Duration::from_secs(600);

/// Time after which replicas without lag have applied a commit.
const APPLY_TIME: Duration = Duration::from_millis(100);

/// Guards against reads at replicas that have not applied the last commit of the session.
#[tokio::test(flavor = "multi_thread")]
async fn own_commits() {
    let fleet = Fleet::spawn(2, &Options::default()).await;
    fleet.platform.databases.set_apply_lag(UNBOUNDED_LAG);
    for round in 0..10 {
        let vm = &fleet.vms[round % 2];
        let mut session = vm.session("own").await;
        let value = format!("v{round}");
        assert!(session.run(&format!("WRITE x {value}")).await.succeeded());
        assert_eq!(session.run("READ x").await.rows, [value]);
    }
}

/// Guards against stale reads on a route that allows none, through another VM than the write.
#[tokio::test(flavor = "multi_thread")]
async fn strict_reads() {
    let fleet = Fleet::spawn(2, &Options::default()).await;
    fleet.platform.databases.set_apply_lag(UNBOUNDED_LAG);
    let mut writer = fleet.vms[0].session("strict").await;
    let mut reader = fleet.vms[1].session("strict").await;
    for round in 0..20 {
        let value = format!("v{round}");
        assert!(writer.run(&format!("WRITE x {value}")).await.succeeded());
        assert_eq!(reader.run("READ x").await.rows, [value]);
    }
    let runs = fleet.platform.databases.executions();
    let reads = runs.iter().filter(|it| it.text == "READ x");
    assert!(
        reads
            .into_iter()
            .all(|it| it.in_transaction && it.member == 0)
    );
}

/// Guards against reads that are staler than the route's bound, and against reads that all go to
/// the primary.
#[tokio::test(flavor = "multi_thread")]
async fn bounded_reads() {
    let fleet = Fleet::spawn(2, &Options::default()).await;
    let mut writer = fleet.vms[0].session("strict").await;
    let mut reader = fleet.vms[1].session("loose").await;
    assert!(writer.run("WRITE x first").await.succeeded());
    tokio::time::sleep(Duration::from_millis(1_600)).await;
    for _ in 0..20 {
        assert_eq!(reader.run("READ x").await.rows, ["first"]);
    }
    let runs = fleet.platform.databases.executions();
    let at_replicas = runs
        .iter()
        .filter(|it| it.text == "READ x" && it.member > 0);
    assert!(at_replicas.count() >= 10, "reads went to the primary");
    fleet.platform.databases.set_apply_lag(UNBOUNDED_LAG);
    assert!(writer.run("WRITE x second").await.succeeded());
    tokio::time::sleep(Duration::from_millis(1_700)).await;
    assert_eq!(reader.run("READ x").await.rows, ["second"]);
}

/// Guards against a read that fails because its replicas are unresponsive.
#[tokio::test(flavor = "multi_thread")]
async fn unresponsive_replicas() {
    let fleet = Fleet::spawn(1, &Options::default()).await;
    let mut session = fleet.vms[0].session("loose").await;
    assert!(session.run("READ x").await.succeeded());
    for member in [1, 2] {
        fleet.platform.databases.set_unresponsive(member, true);
    }
    for _ in 0..5 {
        let response = session.run("READ x").await;
        assert!(response.succeeded(), "{response:?}");
    }
}

/// Guards against a stale read after a write whose reply was cut off inside the log position, which
/// then reads as a lower one.
#[tokio::test(flavor = "multi_thread")]
async fn cut_position() {
    let fleet = Fleet::spawn(1, &Options::default()).await;
    let databases = &fleet.platform.databases;
    // Positions have two digits from the tenth commit on.
    for cut_bytes in [3, 2, 1] {
        databases.set_apply_lag(Duration::ZERO);
        let mut session = fleet.vms[0].session("own").await;
        for round in 0..10 {
            assert!(session.run(&format!("WRITE x {round}")).await.succeeded());
        }
        tokio::time::sleep(APPLY_TIME).await;
        databases.set_apply_lag(UNBOUNDED_LAG);
        databases.cut_reply(cut_bytes);
        let written = session.run("WRITE x last").await;
        let read = session.run("READ x").await;
        let is_stale = written.succeeded() && read.rows != ["last"];
        assert!(!is_stale, "{cut_bytes} bytes cut: {written:?} {read:?}");
        assert_eq!(written.code(), "INDOUBT", "{cut_bytes} bytes cut");
    }
}
