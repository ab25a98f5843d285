//! Faults, limits and service times of the upstream stand-in.

mod common;

use std::time::{Duration, Instant};

use chervildrift_standin::upstream::{FAULT_USER, Fault, Options, spawn};
use common::{
    connect, count, create, insert, position, primary, replica, sql_state, status, try_connect,
    wait_caught_up,
};
use tokio::time::{sleep, timeout};
use tokio_postgres::Client;
use tokio_postgres::error::SqlState;

/// Time for which a frozen or cut off upstream must show no activity.
const QUIET_PERIOD: Duration = Duration::from_millis(60);

async fn set_fault(client: &Client, name: &str, value: i64) {
    let sql = "SELECT chervildrift_fault($1, $2)";
    client.execute(sql, &[&name, &value]).await.expect("fault");
}

/// Guards against a frozen upstream that replies, loses a statement or can't be unfrozen.
#[tokio::test]
async fn frozen_upstream() {
    let handle = primary();
    let client = connect(&handle).await;
    create(&client).await;
    handle.set_fault(Fault::Freeze, 1);
    let pending = insert(&client, 1);
    tokio::pin!(pending);
    timeout(QUIET_PERIOD, &mut pending).await.unwrap_err();
    let late = async { try_connect(handle.address(), "test").await.is_ok() };
    timeout(QUIET_PERIOD, late).await.unwrap_err();
    let control = try_connect(handle.address(), FAULT_USER).await.unwrap();
    set_fault(&control, "freeze", 0).await;
    assert_eq!(pending.await.unwrap(), 1);
    assert_eq!(count(&client).await, 1);
}

/// Guards against a frozen replica that still receives entries or reports a recent pull.
#[tokio::test]
async fn frozen_replica() {
    let first = primary();
    let second = replica(&first);
    let client = connect(&first).await;
    create(&client).await;
    wait_caught_up(&second, &first).await;
    second.set_fault(Fault::Freeze, 1);
    insert(&client, 1).await.unwrap();
    sleep(QUIET_PERIOD).await;
    assert_eq!(second.status().received, position(1, 2));
    assert!(second.status().since_pull.unwrap() >= QUIET_PERIOD);
    second.set_fault(Fault::Freeze, 0);
    wait_caught_up(&second, &first).await;
}

/// Guards against a dropped answer that still arrives, or whose write has no effect.
#[tokio::test]
async fn dropped_answer() {
    let handle = primary();
    let (client, other) = (connect(&handle).await, connect(&handle).await);
    create(&client).await;
    set_fault(&other, "drop_answer", 2).await;
    assert_eq!(count(&client).await, 0);
    assert!(insert(&client, 1).await.unwrap_err().code().is_none());
    assert_eq!(count(&other).await, 1);
    let fence = "SELECT chervildrift_fence(2, 'a')";
    assert!(
        other
            .execute(fence, &[])
            .await
            .unwrap_err()
            .code()
            .is_none()
    );
    assert_eq!(handle.status().fence_term, 2);
    assert_eq!(count(&connect(&handle).await).await, 1);
}

/// Guards against a delay that isn't applied, or is applied to each statement of a batch.
#[tokio::test]
async fn delayed_statements() {
    let handle = primary();
    let client = connect(&handle).await;
    set_fault(&client, "delay_ms", 100).await;
    let start = Instant::now();
    client.batch_execute("SELECT 1; SELECT 2").await.unwrap();
    assert!((100..200).contains(&start.elapsed().as_millis()));
    set_fault(&client, "delay_ms", 0).await;
    set_fault(&client, "slow_statement_ms", 100).await;
    let start = Instant::now();
    client.batch_execute("SELECT 1; SELECT 2").await.unwrap();
    assert!(start.elapsed() >= Duration::from_millis(200));
    let start = Instant::now();
    status(&client).await;
    assert!(start.elapsed() < Duration::from_millis(100));
}

/// Guards against a replication cut that works only on one side or outlasts the fault.
#[tokio::test]
async fn cut_replication() {
    let first = primary();
    let second = replica(&first);
    let client = connect(&first).await;
    create(&client).await;
    wait_caught_up(&second, &first).await;
    for (number, cut) in (1..).zip([&first, &second]) {
        cut.set_fault(Fault::CutReplication, 1);
        sleep(QUIET_PERIOD).await;
        let before = second.status().received;
        insert(&client, number).await.unwrap();
        sleep(QUIET_PERIOD).await;
        assert_eq!(second.status().received, before);
        assert!(second.status().since_pull.unwrap() >= QUIET_PERIOD);
        cut.set_fault(Fault::CutReplication, 0);
        wait_caught_up(&second, &first).await;
    }
}

/// Guards against new connections that aren't refused, and open ones that are closed.
#[tokio::test]
async fn refused_connections() {
    let handle = primary();
    let client = connect(&handle).await;
    set_fault(&client, "refuse_connections", 1).await;
    let refused = try_connect(handle.address(), "test").await;
    assert!(refused.unwrap_err().code().is_none());
    set_fault(&client, "refuse_connections", 0).await;
    connect(&handle).await;
}

/// Guards against a disconnect that leaves a connection or transaction open, or loses commits.
#[tokio::test]
async fn closed_connections() {
    let handle = primary();
    let client = connect(&handle).await;
    create(&client).await;
    insert(&client, 1).await.unwrap();
    client.batch_execute("BEGIN").await.unwrap();
    insert(&client, 2).await.unwrap();
    let control = try_connect(handle.address(), FAULT_USER).await.unwrap();
    set_fault(&control, "disconnect", 1).await;
    assert!(insert(&client, 2).await.unwrap_err().code().is_none());
    let client = connect(&handle).await;
    insert(&client, 3).await.unwrap();
    assert_eq!(count(&client).await, 2);
}

/// Guards against connections beyond the limit, and closed ones that still count.
#[tokio::test]
async fn connection_limit() {
    let options = Options {
        max_connections: 1,
        connect_time: Duration::from_millis(30),
        ..Options::default()
    };
    let handle = spawn(options).unwrap();
    let start = Instant::now();
    let client = connect(&handle).await;
    assert!(start.elapsed() >= Duration::from_millis(30));
    let refused = try_connect(handle.address(), "test").await.unwrap_err();
    assert_eq!(sql_state(&refused), Some(&SqlState::TOO_MANY_CONNECTIONS));
    drop(client);
    let start = Instant::now();
    while try_connect(handle.address(), "test").await.is_err() {
        assert!(start.elapsed() < Duration::from_secs(2));
    }
}

/// Guards against statement times that the write lock serializes.
#[tokio::test]
async fn statement_time() {
    const WRITERS: u32 = 8;
    let time = Duration::from_millis(20);
    let options = Options {
        statement_time: time,
        ..Options::default()
    };
    let handle = spawn(options).unwrap();
    create(&connect(&handle).await).await;
    let write = async |id: i64| {
        let client = connect(&handle).await;
        let sql = format!("BEGIN; INSERT INTO notes VALUES ({id}, ''); SELECT 1; COMMIT");
        let start = Instant::now();
        client.batch_execute(&sql).await.unwrap();
        assert!(start.elapsed() >= time * 2);
    };
    let start = Instant::now();
    futures::future::join_all((0..i64::from(WRITERS)).map(write)).await;
    assert!(start.elapsed() < time * 2 * WRITERS);
}

/// Guards against more concurrent statements than slots.
#[tokio::test]
async fn limited_slots() {
    let time = Duration::from_millis(100);
    let options = Options {
        statement_time: time,
        slots: Some(2),
        ..Options::default()
    };
    let handle = spawn(options).unwrap();
    let client = connect(&handle).await;
    let others = [
        connect(&handle).await,
        connect(&handle).await,
        connect(&handle).await,
    ];
    let sql = "SELECT 1";
    let start = Instant::now();
    let (a, b, c) = tokio::join!(
        others[0].batch_execute(sql),
        others[1].batch_execute(sql),
        others[2].batch_execute(sql),
    );
    assert!(a.is_ok() && b.is_ok() && c.is_ok());
    assert!(start.elapsed() >= time * 2);
    let start = Instant::now();
    status(&client).await;
    assert!(start.elapsed() < time);
}

/// Guards against a writer that waits forever, and an idle one that isn't aborted for it.
#[tokio::test]
async fn waiting_writers() {
    let options = Options {
        lock_timeout: Duration::from_millis(100),
        idle_timeout: Duration::from_secs(60),
        ..Options::default()
    };
    let handle = spawn(options.clone()).unwrap();
    let (holder, waiter) = (connect(&handle).await, connect(&handle).await);
    create(&holder).await;
    holder.batch_execute("BEGIN").await.unwrap();
    insert(&holder, 1).await.unwrap();
    let err = insert(&waiter, 2).await.unwrap_err();
    assert_eq!(sql_state(&err), Some(&SqlState::T_R_SERIALIZATION_FAILURE));

    let idle_timeout = Duration::from_millis(20);
    let handle = spawn(Options {
        idle_timeout,
        ..options
    })
    .unwrap();
    let (holder, waiter) = (connect(&handle).await, connect(&handle).await);
    create(&holder).await;
    holder.batch_execute("BEGIN").await.unwrap();
    insert(&holder, 1).await.unwrap();
    insert(&waiter, 2).await.unwrap();
    let err = holder.batch_execute("COMMIT").await.unwrap_err();
    assert_eq!(sql_state(&err), Some(&SqlState::T_R_SERIALIZATION_FAILURE));
    assert_eq!(count(&waiter).await, 1);
}

/// Guards against a stop that aborts an active statement or leaves the port in use.
#[tokio::test]
async fn graceful_stop() {
    let statement_time = Duration::from_millis(50);
    let options = Options {
        statement_time,
        ..Options::default()
    };
    let handle = spawn(options).unwrap();
    let _second = replica(&handle);
    let address = handle.address();
    let client = connect(&handle).await;
    let running = tokio::spawn(async move { client.query("SELECT 1", &[]).await });
    sleep(statement_time / 2).await;
    let start = Instant::now();
    handle.stop().await;
    assert!(start.elapsed() < Duration::from_secs(1));
    assert_eq!(running.await.unwrap().unwrap().len(), 1);
    spawn(Options {
        address,
        ..Options::default()
    })
    .unwrap();
}
