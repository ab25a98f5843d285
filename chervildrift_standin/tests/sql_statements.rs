//! SQL over the wire protocol.

mod common;

use common::{connect, count, create, insert, primary, state};
use tokio_postgres::error::SqlState;

/// Guards against values that change between a binary parameter and a binary result.
#[tokio::test]
async fn binary_values() {
    let handle = primary();
    let client = connect(&handle).await;
    let sql = "CREATE TABLE v (a int4, b int8, c bool, d float8, e text)";
    client.batch_execute(sql).await.unwrap();
    let insert = "INSERT INTO v (a, b, c, d, e) VALUES ($1, $2, $3, $4, $5)";
    let values: (i32, i64, bool, f64, &str) = (-7, i64::MAX, true, 0.1, "a'b");
    let params: [&(dyn tokio_postgres::types::ToSql + Sync); 5] =
        [&values.0, &values.1, &values.2, &values.3, &values.4];
    assert_eq!(client.execute(insert, &params).await.unwrap(), 1);
    let row = client
        .query_one("SELECT * FROM v WHERE a = $1 AND c = $2", &[&-7i32, &true])
        .await
        .unwrap();
    assert_eq!(
        (row.get(0), row.get(1), row.get(2), row.get(3), row.get(4)),
        values
    );
}

/// Guards against a reader that sees uncommitted changes, and a writer that doesn't see its own.
#[tokio::test]
async fn uncommitted_changes() {
    let handle = primary();
    let (mut writer, reader) = (connect(&handle).await, connect(&handle).await);
    create(&writer).await;
    let transaction = writer.transaction().await.unwrap();
    transaction
        .execute("INSERT INTO notes (id, body) VALUES (1, 'a')", &[])
        .await
        .unwrap();
    let own = transaction.query("SELECT * FROM notes", &[]).await.unwrap();
    assert_eq!((own.len(), count(&reader).await), (1, 0));
    transaction.commit().await.unwrap();
    assert_eq!(count(&reader).await, 1);
}

/// Guards against a failed transaction that goes on, or commits its first half.
#[tokio::test]
async fn failed_transaction() {
    let handle = primary();
    let client = connect(&handle).await;
    create(&client).await;
    client.batch_execute("BEGIN").await.unwrap();
    insert(&client, 1).await.unwrap();
    let err = insert(&client, 1).await.unwrap_err();
    assert_eq!(state(&err), Some(&SqlState::UNIQUE_VIOLATION));
    let err = insert(&client, 2).await.unwrap_err();
    assert_eq!(state(&err), Some(&SqlState::IN_FAILED_SQL_TRANSACTION));
    client.batch_execute("COMMIT").await.unwrap();
    assert_eq!(count(&client).await, 0);
}

/// Guards against answers of pipelined statements that get lost or change places.
#[tokio::test]
async fn pipelined_statements() {
    let handle = primary();
    let client = connect(&handle).await;
    create(&client).await;
    let (begin, first, status, commit) = tokio::join!(
        client.batch_execute("BEGIN"),
        insert(&client, 1),
        client.query_one("SELECT * FROM chervildrift_status()", &[]),
        client.batch_execute("COMMIT"),
    );
    assert!(begin.is_ok() && first.is_ok() && commit.is_ok());
    assert_eq!(status.unwrap().get::<_, String>("role"), "primary");
    assert_eq!(count(&client).await, 1);
}
