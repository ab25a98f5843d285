//! Sessions through a relaying VM: variables, prepared statements, transactions and malformed
//! input.

mod relay_fleet;

use std::time::Duration;

use chervildrift_standin::deployment::Options;

use relay_fleet::{Fleet, Session, unique_id};

/// Time after which a statement that a VM has received has run.
const RUN_TIME: Duration = Duration::from_millis(300);

/// Guards against statements on connections with the session variables of another session.
#[tokio::test(flavor = "multi_thread")]
async fn session_variables() {
    let fleet = Fleet::spawn(1, &Options::default()).await;
    let vm = &fleet.vms[0];
    let (mut a, mut b, mut c) = (
        vm.session("strict").await,
        vm.session("strict").await,
        vm.session("strict").await,
    );
    a.run("SET path a b").await;
    b.run("SET path other").await;
    b.run("SET style plain").await;
    for round in 0..10 {
        for (session, name) in [(&mut a, "a"), (&mut b, "b"), (&mut c, "c")] {
            let response = session.run(&format!("READ {name}{round}")).await;
            assert!(response.succeeded(), "{response:?}");
        }
    }
    for run in fleet.platform.databases.executions() {
        let variables: Vec<_> = run
            .variables
            .iter()
            .map(|(k, v)| format!("{k}={v}"))
            .collect();
        let expected: &[&str] = match run.text.as_bytes()[5] {
            b'a' => &["path=a b"],
            b'b' => &["path=other", "style=plain"],
            _ => &[],
        };
        assert_eq!(variables, expected, "{run:?}");
    }
}

/// Guards against a prepared name that runs the statement of another session.
#[tokio::test(flavor = "multi_thread")]
async fn colliding_names() {
    let fleet = Fleet::spawn(1, &Options::default()).await;
    let vm = &fleet.vms[0];
    let (mut a, mut b) = (vm.session("own").await, vm.session("own").await);
    a.run("PREPARE s1 WRITE shape-a").await;
    b.run("PREPARE s1 READ shape-b").await;
    for round in 0..5 {
        assert!(
            a.run(&format!("EXECUTE s1 a{round} data"))
                .await
                .succeeded()
        );
        assert!(b.run(&format!("EXECUTE s1 b{round}")).await.succeeded());
    }
    assert_eq!(a.run("EXECUTE none x").await.code(), "UNKNOWN");
    b.run("DEALLOCATE s1").await;
    assert_eq!(b.run("EXECUTE s1 x").await.code(), "UNKNOWN");
    for run in fleet.platform.databases.executions() {
        let item = run.text.split(' ').nth(1).expect("an item");
        let shape = format!("shape-{}", &item[..1]);
        assert!(run.text.starts_with(&shape), "{run:?}");
    }
}

/// Guards against statements that run in another session's transaction, and against transactions
/// that are applied partially.
#[tokio::test(flavor = "multi_thread")]
async fn separate_transactions() {
    let fleet = Fleet::spawn(1, &Options::default()).await;
    let vm = &fleet.vms[0];
    let (mut a, mut b) = (vm.session("strict").await, vm.session("strict").await);
    for session in [&mut a, &mut b] {
        assert_eq!(session.run("BEGIN").await.ready, "READY T -");
    }
    assert!(a.run("WRITE x 1").await.succeeded());
    assert!(b.run("WRITE y 2").await.succeeded());
    assert_eq!(a.run("READ x").await.rows, ["1"]);
    assert_eq!(
        b.run("READ x").await.rows,
        ["-"],
        "read an uncommitted write"
    );
    assert!(a.run("COMMIT").await.succeeded());
    assert_eq!(b.run("ROLLBACK").await.ready, "READY I -");
    assert_eq!(b.run("READ x").await.rows, ["1"]);
    assert_eq!(
        b.run("READ y").await.rows,
        ["-"],
        "read a write that was rolled back"
    );
    let runs = fleet.platform.databases.executions();
    let connections = |item: &str| -> Vec<u64> {
        let inside = runs
            .iter()
            .filter(|it| it.in_transaction && it.text.contains(item));
        inside.map(|it| it.connection).collect()
    };
    assert!(connections("WRITE x") != connections("WRITE y"));
}

/// Guards against reuse of a connection whose caller disconnected inside a transaction.
#[tokio::test(flavor = "multi_thread")]
async fn abandoned_transaction() {
    let fleet = Fleet::spawn(1, &Options::default()).await;
    let vm = &fleet.vms[0];
    for _ in 0..6 {
        let mut gone = vm.session("strict").await;
        gone.run("BEGIN").await;
        gone.run("WRITE x lost").await;
        drop(gone);
    }
    let mut session = vm.session("strict").await;
    assert!(session.run("WRITE y kept").await.succeeded());
    assert_eq!(session.run("READ x").await.rows, ["-"]);
    let runs = fleet.platform.databases.executions();
    let write = runs.iter().find(|it| it.text == "WRITE y kept");
    assert!(!write.expect("the write ran").in_transaction);
}

/// Guards against malformed messages that stop the VM or reach an upstream.
#[tokio::test(flavor = "multi_thread")]
async fn bad_messages() {
    let fleet = Fleet::spawn(1, &Options::default()).await;
    let vm = &fleet.vms[0];
    let mut session = Session::connect(vm.callers).await;
    assert_eq!(session.send("QUERY 1 READ x").await.code(), "MALFORMED");
    let mut session = Session::connect(vm.callers).await;
    assert_eq!(
        session.send("START nowhere tester").await.code(),
        "NODATABASE"
    );
    let mut session = Session::connect(vm.callers).await;
    let long = "x".repeat((1 << 20) + 10);
    assert_eq!(
        session.send(&format!("START {long}")).await.code(),
        "TOOLARGE"
    );
    let mut session = vm.session("strict").await;
    for text in [
        "EXPLAIN x",
        "READ",
        "WRITE",
        "COMMIT",
        "ROLLBACK",
        "STATUS",
        "SET x",
    ] {
        assert_eq!(session.run(text).await.code(), "MALFORMED", "{text}");
    }
    assert_eq!(session.send("NONSENSE").await.code(), "MALFORMED");
    assert!(session.run("READ x").await.succeeded());
    let texts: Vec<String> = fleet
        .platform
        .databases
        .executions()
        .into_iter()
        .map(|it| it.text)
        .collect();
    assert_eq!(texts, ["READ x"]);
}

/// Guards against retries of a write or commit whose response was lost.
#[tokio::test(flavor = "multi_thread")]
async fn lost_response() {
    let fleet = Fleet::spawn(1, &Options::default()).await;
    let mut session = fleet.vms[0].session("own").await;
    fleet.platform.databases.lose_answers(1);
    let id = unique_id();
    let response = session.send(&format!("QUERY {id} WRITE x once")).await;
    assert_eq!(response.code(), "INDOUBT", "{response:?}");
    let runs = fleet.platform.databases.executions();
    assert_eq!(runs.iter().filter(|it| it.id == id).count(), 1);
    assert_eq!(session.run("BEGIN").await.ready, "READY T -");
    assert!(session.run("WRITE x twice").await.succeeded());
    fleet.platform.databases.lose_answers(1);
    assert_eq!(session.run("COMMIT").await.code(), "INDOUBT");
}

/// Guards against writes whose outcome is reported as unknown although their connection had been
/// closed before.
#[tokio::test(flavor = "multi_thread")]
async fn ended_connection() {
    let fleet = Fleet::spawn(1, &Options::default()).await;
    let mut session = fleet.vms[0].session("own").await;
    for round in 0..5 {
        assert!(session.run(&format!("WRITE x {round}")).await.succeeded());
        fleet.platform.databases.close_connections();
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

/// Guards against running the part of a statement that had arrived when its caller was killed.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_statement() {
    let fleet = Fleet::spawn(1, &Options::default()).await;
    for ending in ["", "\r"] {
        let session = fleet.vms[0].session("strict").await;
        let text = format!("QUERY {} WRITE x part{ending}", unique_id());
        session.send_unfinished(&text).await;
    }
    tokio::time::sleep(RUN_TIME).await;
    let mut session = fleet.vms[0].session("strict").await;
    assert!(session.run("WRITE y whole").await.succeeded());
    let runs = fleet.platform.databases.executions();
    let texts: Vec<&str> = runs.iter().map(|it| it.text.as_str()).collect();
    assert_eq!(texts, ["WRITE y whole"]);
}

/// Guards against a line feed in a caller's field that ends the statement, so that the rest of the
/// field runs as another one.
#[tokio::test(flavor = "multi_thread")]
async fn line_feeds() {
    let fleet = Fleet::spawn(1, &Options::default()).await;
    let mut session = fleet.vms[0].session("strict").await;
    let smuggled = format!("lift\nQUERY {} WRITE y taken", unique_id());
    let value = format!("a\rb\n{smuggled}");
    let written = session.run(&format!("WRITE x {value}")).await;
    let read = session.run("READ x").await;
    let set = session.run(&format!("SET note {smuggled}")).await;
    let last = session.run("WRITE z 1").await;
    let runs = fleet.platform.databases.executions();
    let texts: Vec<&str> = runs.iter().map(|it| it.text.as_str()).collect();
    assert_eq!(texts, [&format!("WRITE x {value}"), "READ x", "WRITE z 1"]);
    assert!(
        written.succeeded() && last.succeeded(),
        "{written:?} {last:?}"
    );
    assert_eq!(read.rows, [value]);
    assert_eq!(set.result, "COMPLETE -");
}
