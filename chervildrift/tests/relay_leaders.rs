//! Leader changes with relaying VMs: leaders that fail, leave, are replaced or unknown.

mod relay_fleet;

use std::time::{Duration, Instant};

use chervildrift_standin::deployment::{DatabaseGroup, Options};

use relay_fleet::{Fleet, Session, await_true};

/// Maximum gap in service during a failover, from the design targets.
const MAX_FAILOVER_GAP: Duration = Duration::from_secs(3);

/// Opens a session and writes an item in it.
async fn session_after_write(fleet: &Fleet) -> Session {
    let mut session = fleet.vms[0].session("own").await;
    assert!(session.run("WRITE x 1").await.succeeded());
    session
}

/// Makes the primary unresponsive until an order to replace it was answered or timed out.
async fn block_primary_until_order(fleet: &Fleet) {
    let database = &fleet.platform.databases;
    database.set_unresponsive(0, true);
    await_true("order", async || fleet.vms[0].logged("promotion ordered")).await;
    database.set_unresponsive(0, false);
}

/// Guards against a failed primary that is not replaced, and against loss of confirmed writes.
#[tokio::test(flavor = "multi_thread")]
async fn dead_primary() {
    let fleet = Fleet::spawn(3, &Options::default()).await;
    let mut session = fleet.vms[0].session("own").await;
    for round in 0..20 {
        assert!(session.run(&format!("WRITE k{round} v")).await.succeeded());
    }
    fleet.platform.databases.set_unresponsive(0, true);
    let start = Instant::now();
    let mut gap = None;
    while gap.is_none() && start.elapsed() < 3 * MAX_FAILOVER_GAP {
        if session.run("WRITE after v").await.succeeded() {
            gap = Some(start.elapsed());
        }
    }
    assert!(gap.is_some_and(|gap| gap <= MAX_FAILOVER_GAP), "{gap:?}");
    let mut reader = fleet.vms[1].session("strict").await;
    for round in 0..20 {
        assert_eq!(reader.run(&format!("READ k{round}")).await.rows, ["v"]);
    }
}

/// Guards against a primary that leaves before another one leads.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_primary() {
    let fleet = Fleet::spawn(2, &Options::default()).await;
    let mut session = session_after_write(&fleet).await;
    fleet.platform.databases.mark_draining(0);
    fleet.platform.register();
    await_true("new primary", async || {
        fleet.platform.databases.primary() != Some(0)
    })
    .await;
    let response = session.run("WRITE x 2").await;
    assert!(response.succeeded(), "{response:?}");
    assert_eq!(session.run("READ x").await.rows, ["2"]);
}

/// Guards against work at a leaving primary after its drain time, if the VM learns late that it
/// leaves and it isn't replaced.
#[tokio::test(flavor = "multi_thread")]
async fn late_drain() {
    let drain = Duration::from_secs(4);
    let fleet = Fleet::spawn_with(1, &Options::default(), "drain_ms: 4000\n").await;
    let mut session = session_after_write(&fleet).await;
    fleet.platform.databases.ignore_orders(u32::MAX);
    fleet.platform.databases.mark_draining(0);
    fleet.platform.store.silence_connections();
    fleet.platform.register();
    let start = Instant::now();
    while start.elapsed() < drain {
        session.run("WRITE x 2").await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let response = session.run("WRITE x 3").await;
    assert!(!response.succeeded(), "{response:?}");
}

/// Guards against reads and writes at a primary that was replaced without a report in the store.
#[tokio::test(flavor = "multi_thread")]
async fn unreported_change() {
    let fleet = Fleet::spawn(2, &Options::default()).await;
    let mut sessions = Vec::new();
    for vm in &fleet.vms {
        let mut session = vm.session("strict").await;
        assert!(session.run("WRITE x 1").await.succeeded());
        sessions.push(session);
    }
    fleet
        .platform
        .databases
        .promote(&DatabaseGroup::member_id(1));
    let (first, rest) = sessions.split_at_mut(1);
    assert!(first[0].run("WRITE x 2").await.succeeded());
    assert_eq!(rest[0].run("READ x").await.rows, ["2"]);
    let runs = fleet.platform.databases.executions();
    let last = runs.last().expect("a read ran");
    assert_eq!(last.member, 1, "{last:?}");
}

/// Guards against a second lease when the response to the first one is lost.
#[tokio::test(flavor = "multi_thread")]
async fn lost_lease_response() {
    let fleet = Fleet::spawn(1, &Options::default()).await;
    let _session = session_after_write(&fleet).await;
    fleet.platform.store.lose_answers(4);
    fleet.platform.databases.set_unresponsive(0, true);
    await_true("new primary", async || {
        fleet.platform.databases.primary() != Some(0)
    })
    .await;
    let lease = fleet.platform.store.get("chervildrift", "claim/ledger");
    let lease: serde_json::Value = serde_json::from_slice(&lease.expect("a lease")).expect("JSON");
    assert_eq!(lease["token"], 1, "{lease}");
}

/// Guards against a promotion that overrides a new primary which took over while the response to
/// the lease was delayed.
#[tokio::test(flavor = "multi_thread")]
async fn late_lease_response() {
    let fleet = Fleet::spawn(1, &Options::default()).await;
    let _session = session_after_write(&fleet).await;
    let token = || {
        let lease = fleet.platform.store.get("chervildrift", "claim/ledger")?;
        let lease: serde_json::Value = serde_json::from_slice(&lease).ok()?;
        lease["token"].as_u64()
    };
    await_true("lease", async || token() == Some(1)).await;
    fleet.platform.store.set_delay(Duration::from_millis(800));
    fleet.platform.databases.set_unresponsive(0, true);
    await_true("second lease", async || token() == Some(2)).await;
    fleet
        .platform
        .databases
        .promote(&DatabaseGroup::member_id(1));
    fleet.platform.register();
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(fleet.platform.databases.primary(), Some(1));
}

/// Guards against an error for a missing primary without a retry time, and against one that is
/// delayed for longer than the settings allow.
#[tokio::test(flavor = "multi_thread")]
async fn no_primary() {
    let fleet = Fleet::spawn_with(1, &Options::default(), "hold_ms: 300\n").await;
    let mut session = fleet.vms[0].session("strict").await;
    assert!(session.run("WRITE x 1").await.succeeded());
    for member in 0..3 {
        fleet.platform.databases.set_unresponsive(member, true);
    }
    fleet.platform.databases.close_connections();
    await_true("refusal", async || {
        let mut session = fleet.vms[0].session("strict").await;
        let start = Instant::now();
        let response = session.run("READ x").await;
        let found = response.result.contains("no primary is known");
        found && {
            assert!(start.elapsed() < Duration::from_secs(1), "{response:?}");
            assert!(response.result.starts_with("ERROR BUSY"), "{response:?}");
            response.result.ends_with("retry after 1000 ms")
        }
    })
    .await;
}

/// Guards against failed writes and a promotion during a store outage, and against a VM that keeps
/// an old configuration after it because the store's history was compacted.
#[tokio::test(flavor = "multi_thread")]
async fn store_outage() {
    let fleet = Fleet::spawn(2, &Options::default()).await;
    let mut session = fleet.vms[0].session("own").await;
    fleet.platform.store.set_down(true);
    tokio::time::sleep(Duration::from_secs(1)).await;
    for round in 0..5 {
        assert!(session.run(&format!("WRITE x {round}")).await.succeeded());
    }
    fleet.platform.store.set_down(false);
    fleet.platform.store.compact();
    fleet.platform.configure(2, &[("late", "primary", 0)]);
    await_true("new route", async || {
        let mut probe = relay_fleet::Session::connect(fleet.vms[1].callers).await;
        probe.send("START late tester").await.ready == "READY I -"
    })
    .await;
    assert_eq!(fleet.platform.databases.primary(), Some(0));
}

/// Guards against a commit that is logged as unconfirmed although a replica could confirm it, and
/// against an unconfirmed one that is not logged.
#[tokio::test(flavor = "multi_thread")]
async fn unconfirmed_commit() {
    let fleet = Fleet::spawn(1, &Options::default()).await;
    let mut session = session_after_write(&fleet).await;
    for member in [1, 2] {
        fleet.platform.databases.set_replication_cut(member, true);
    }
    assert!(session.run("WRITE x 2").await.succeeded());
    await_true("log line", async || {
        let log = fleet.vms[0].log();
        log.iter().any(|line| line["event"] == "unconfirmed")
    })
    .await;
    let lines = fleet.vms[0].log();
    let unconfirmed = lines.iter().filter(|line| line["event"] == "unconfirmed");
    assert_eq!(unconfirmed.count(), 1);
}

/// Guards against an error that says the write did not run although it was sent, when its response
/// is lost after the time for which statements are delayed.
#[tokio::test(flavor = "multi_thread")]
async fn lost_response_without_delay() {
    let fleet = Fleet::spawn_with(1, &Options::default(), "hold_ms: 0\n").await;
    let mut session = session_after_write(&fleet).await;
    fleet.platform.databases.lose_answers(1);
    assert_eq!(session.run("WRITE x 2").await.code(), "INDOUBT");
    assert_eq!(fleet.platform.databases.value("x").as_deref(), Some("2"));
}

/// Guards against the loss of commits that only an unresponsive replica has received, if the
/// service acknowledges a commit once one replica has received it.
#[tokio::test(flavor = "multi_thread")]
async fn unresponsive_replica_with_commit() {
    let options = Options {
        sync_replicas: 1,
        ..Options::default()
    };
    let fleet = Fleet::spawn(1, &options).await;
    let mut session = fleet.vms[0].session("own").await;
    fleet.platform.databases.set_replication_cut(1, true);
    assert!(session.run("WRITE x kept").await.succeeded());
    for member in [0, 2] {
        fleet.platform.databases.set_unresponsive(member, true);
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(fleet.platform.databases.primary(), Some(0), "too early");
    fleet.platform.databases.set_unresponsive(2, false);
    await_true("new primary", async || {
        fleet.platform.databases.primary() == Some(2)
    })
    .await;
    assert_eq!(fleet.platform.databases.value("x").as_deref(), Some("kept"));
}

/// Guards against the loss of a commit that only one replica has confirmed, when this replica
/// responds again soon.
#[tokio::test(flavor = "multi_thread")]
async fn briefly_unresponsive_replica() {
    let fleet = Fleet::spawn(1, &Options::default()).await;
    let mut session = fleet.vms[0].session("own").await;
    fleet.platform.databases.set_replication_cut(1, true);
    assert!(session.run("WRITE x kept").await.succeeded());
    for member in [0, 2] {
        fleet.platform.databases.set_unresponsive(member, true);
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.platform.databases.set_unresponsive(2, false);
    await_true("new primary", async || {
        fleet.platform.databases.primary() != Some(0)
    })
    .await;
    assert_eq!(fleet.platform.databases.primary(), Some(2));
    assert_eq!(fleet.platform.databases.value("x").as_deref(), Some("kept"));
}

/// Guards against commits that a replica receives during a planned change although it was not
/// selected, and against replicas that stay fenced afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn fenced_replicas() {
    let fleet = Fleet::spawn(2, &Options::default()).await;
    let _session = session_after_write(&fleet).await;
    fleet.platform.databases.mark_draining(0);
    fleet.platform.register();
    let mut fenced = Vec::new();
    let start = Instant::now();
    while fleet.platform.databases.primary() == Some(0) && start.elapsed() < MAX_FAILOVER_GAP {
        let now = fleet.platform.databases.fenced_members();
        if now.len() > fenced.len() {
            fenced = now;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let primary = fleet.platform.databases.primary().expect("a primary");
    assert_eq!(fenced, [3 - primary], "all but the old and the new primary");
    assert!(fleet.platform.databases.fenced_members().is_empty());
}

/// Guards against replicas that receive nothing during and after unanswered orders to promote, and
/// against promoting one that lacks commits of a primary which still runs.
#[tokio::test(flavor = "multi_thread")]
async fn unanswered_orders() {
    let fleet = Fleet::spawn(2, &Options::default()).await;
    let mut session = session_after_write(&fleet).await;
    fleet.platform.databases.ignore_orders(7);
    fleet.platform.databases.mark_draining(0);
    fleet.platform.register();
    let mut round = 1;
    await_true("new primary", async || {
        fleet.platform.databases.primary() != Some(0)
    })
    .await;
    await_true("replicas without fences", async || {
        fleet.platform.databases.fenced_members().is_empty()
    })
    .await;
    while round < 20 {
        round += 1;
        assert!(session.run(&format!("WRITE x {round}")).await.succeeded());
    }
    let primary = fleet.platform.databases.primary().expect("a primary");
    let received = fleet.platform.databases.log_lengths();
    assert_eq!(received[3 - primary], received[primary], "{received:?}");
}

/// Guards against an unanswered order that takes effect after the old primary responds again, which
/// rolls back the commits acknowledged since.
#[tokio::test(flavor = "multi_thread")]
async fn revoked_order() {
    let fleet = Fleet::spawn(1, &Options::default()).await;
    let database = &fleet.platform.databases;
    let mut session = session_after_write(&fleet).await;
    database.delay_orders(2, Duration::from_secs(3));
    block_primary_until_order(&fleet).await;
    let ordered = Instant::now();
    let mut round = 1;
    while ordered.elapsed() < Duration::from_secs(4) {
        round += 1;
        let response = session.run(&format!("WRITE x {round}")).await;
        assert!(response.succeeded(), "{response:?}");
    }
    assert_eq!(database.primary(), Some(0));
    assert_eq!(database.value("x"), Some(round.to_string()));
    assert!(database.fenced_members().is_empty());
}

/// Guards against an unanswered order that takes effect after a later one under the same lease,
/// while the store is unavailable and no VM can acquire a new lease.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_order() {
    let fleet = Fleet::spawn(1, &Options::default()).await;
    let database = &fleet.platform.databases;
    let mut session = session_after_write(&fleet).await;
    await_true("lease", async || fleet.vms[0].logged("lease acquired")).await;
    fleet.platform.store.set_down(true);
    database.delay_orders(1, Duration::from_secs(7));
    database.set_unresponsive(0, true);
    await_true("second primary", async || database.primary() != Some(0)).await;
    let second = database.primary().expect("a primary");
    assert!(session.run("WRITE x 2").await.succeeded());
    tokio::time::sleep(Duration::from_secs(4)).await;
    database.set_unresponsive(0, false);
    database.set_unresponsive(second, true);
    await_true("third primary", async || database.primary() != Some(second)).await;
    let third = database.primary();
    database.set_unresponsive(second, false);
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(database.primary(), third);
}

/// Guards against unanswered orders that take effect after the old primary responds again, when the
/// time for orders under the lease is over by then.
#[tokio::test(flavor = "multi_thread")]
async fn late_primary_return() {
    let fleet = Fleet::spawn(2, &Options::default()).await;
    let database = &fleet.platform.databases;
    let _session = session_after_write(&fleet).await;
    database.delay_orders(100, Duration::from_secs(8));
    database.set_unresponsive(0, true);
    tokio::time::sleep(Duration::from_secs(6)).await;
    database.set_unresponsive(0, false);
    await_true("write", async || {
        let mut session = fleet.vms[0].session("own").await;
        session.run("WRITE x 2").await.succeeded()
    })
    .await;
    database.delay_orders(0, Duration::ZERO);
    tokio::time::sleep(Duration::from_secs(9)).await;
    assert_eq!(database.primary(), Some(0));
    assert_eq!(database.value("x").as_deref(), Some("2"));
    assert!(database.fenced_members().is_empty());
}

/// Guards against commits that replicas receive from an old primary which responds again before an
/// accepted promotion takes effect, although they were not selected.
#[tokio::test(flavor = "multi_thread")]
async fn slow_promotion() {
    let options = Options {
        promotion_time: Duration::from_secs(2),
        ..Options::default()
    };
    let fleet = Fleet::spawn(1, &options).await;
    let database = &fleet.platform.databases;
    let _session = session_after_write(&fleet).await;
    block_primary_until_order(&fleet).await;
    let ordered = Instant::now();
    while ordered.elapsed() < Duration::from_millis(1_500) {
        assert_eq!(database.primary(), Some(0));
        assert_eq!(database.fenced_members().len(), 1);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    await_true("new primary", async || database.primary() != Some(0)).await;
    await_true("no fences", async || database.fenced_members().is_empty()).await;
}

/// Guards against revoking orders where the platform does not check fencing tokens: it would carry
/// them out although it has seen greater tokens.
#[tokio::test(flavor = "multi_thread")]
async fn unchecked_tokens() {
    let extra_settings = "tokens_checked: false\n";
    let fleet = Fleet::spawn_with(1, &Options::default(), extra_settings).await;
    let database = &fleet.platform.databases;
    let mut session = session_after_write(&fleet).await;
    database.ignore_orders(2);
    block_primary_until_order(&fleet).await;
    assert!(session.run("WRITE x 2").await.succeeded());
    await_true("no fences", async || database.fenced_members().is_empty()).await;
    assert!(!fleet.vms[0].logged("order revoked"));
}

/// Guards against an old primary that goes on beside its successor where the platform does not
/// check fencing tokens and nothing else ends its lead.
#[tokio::test(flavor = "multi_thread")]
async fn overlapping_leaders() {
    let extra_settings = "tokens_checked: false\n";
    let fleet = Fleet::spawn_with(2, &Options::default(), extra_settings).await;
    let mut session = session_after_write(&fleet).await;
    let databases = &fleet.platform.databases;
    databases.mark_draining(0);
    fleet.platform.register();
    await_true("new primary", async || {
        databases.primary().is_some_and(|it| it != 0)
    })
    .await;
    assert_eq!(databases.overlapping_promotions(), 0);
    let response = session.run("WRITE x 2").await;
    assert!(response.succeeded(), "{response:?}");
}
