//! Log replication, its lags, fences and promotions.

mod common;

use std::time::Duration;

use chervildrift_standin::upstream::Fault;
use common::{
    connect, count, create, grant, insert, position, primary, replica, sql_state, status,
    wait_caught_up, wait_until,
};
use tokio_postgres::error::SqlState;

/// Guards against a replica that misses writes or accepts writes itself.
#[tokio::test]
async fn replica_follows() {
    let (first, second);
    first = primary();
    second = replica(&first);
    let client = connect(&first).await;
    create(&client).await;
    insert(&client, 1).await.unwrap();
    wait_caught_up(&second, &first).await;
    let reader = connect(&second).await;
    assert_eq!(count(&reader).await, 1);
    let err = insert(&reader, 2).await.unwrap_err();
    assert_eq!(sql_state(&err), Some(&SqlState::READ_ONLY_SQL_TRANSACTION));
    let row = status(&reader).await;
    assert_eq!(row.get::<_, String>("role"), "replica");
    assert_eq!(row.get::<_, i64>("received_position"), 3);
    assert!(row.get::<_, Option<i64>>("heard_ms").unwrap() < 600);
}

/// Guards against an apply lag that delays receipt, and a receive lag without effect.
#[tokio::test]
async fn separate_lags() {
    let first = primary();
    let second = replica(&first);
    second.set_fault(Fault::ApplyLagMs, 60_000);
    let client = connect(&first).await;
    create(&client).await;
    wait_until("receiving", || second.status().received == position(1, 2)).await;
    assert_ne!(second.status().applied, position(1, 2));
    second.set_fault(Fault::ApplyLagMs, 0);
    wait_caught_up(&second, &first).await;
    second.set_fault(Fault::ReceiveLagMs, 60_000);
    insert(&client, 1).await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(second.status().received, position(1, 2));
}

/// Guards against a former primary that keeps entries that its successor never received.
#[tokio::test]
async fn diverged_rejoin() {
    let first = primary();
    let second = replica(&first);
    let (old, new) = (connect(&first).await, connect(&second).await);
    create(&old).await;
    wait_caught_up(&second, &first).await;
    first.set_fault(Fault::CutReplication, 1);
    for id in 0..3 {
        insert(&old, id).await.unwrap();
    }
    assert!(grant(&new, "chervildrift_fence(2, 'a')").await);
    assert!(grant(&new, "chervildrift_promote(2, 'a')").await);
    insert(&new, 10).await.unwrap();
    first.set_fault(Fault::CutReplication, 0);
    let follow = format!("chervildrift_follow('{}', 2)", second.address());
    assert!(grant(&old, &follow).await);
    wait_caught_up(&first, &second).await;
    assert_eq!(first.status().received, position(2, 4));
    let row = old.query_one("SELECT id FROM notes", &[]).await.unwrap();
    assert_eq!(row.get::<_, i64>(0), 10);
}

/// Guards against two promoters that promote in one term, and a promotion without a fence.
#[tokio::test]
async fn rival_promoters() {
    let first = primary();
    let second = replica(&first);
    let (old, new) = (connect(&first).await, connect(&second).await);
    create(&old).await;
    wait_caught_up(&second, &first).await;
    assert!(!grant(&new, "chervildrift_promote(2, 'a')").await);
    assert!(grant(&new, "chervildrift_fence(2, 'a')").await);
    assert!(grant(&new, "chervildrift_fence(2, 'a')").await);
    assert!(!grant(&new, "chervildrift_fence(2, 'b')").await);
    assert!(!grant(&new, "chervildrift_promote(2, 'b')").await);
    assert!(grant(&new, "chervildrift_fence(3, 'b')").await);
    assert!(!grant(&new, "chervildrift_promote(2, 'a')").await);
    assert!(grant(&new, "chervildrift_promote(3, 'b')").await);
    assert!(grant(&new, "chervildrift_promote(3, 'b')").await);
    assert_eq!(second.status().received, position(3, 3));
}

/// Guards against a fenced primary that accepts a write or commits an open transaction.
#[tokio::test]
async fn fenced_primary() {
    let first = primary();
    let (writer, other) = (connect(&first).await, connect(&first).await);
    create(&writer).await;
    writer.batch_execute("BEGIN").await.unwrap();
    insert(&writer, 1).await.unwrap();
    assert!(grant(&other, "chervildrift_fence(2, 'a')").await);
    let err = writer.batch_execute("COMMIT").await.unwrap_err();
    assert_eq!(sql_state(&err), Some(&SqlState::T_R_SERIALIZATION_FAILURE));
    let err = insert(&writer, 2).await.unwrap_err();
    assert_eq!(sql_state(&err), Some(&SqlState::READ_ONLY_SQL_TRANSACTION));
    assert_eq!(
        (count(&other).await, first.status().received),
        (0, position(1, 2))
    );
}
