//! SQL statements over the wire protocol.

mod common;

use std::error::Error;

use common::{connect, count, create, insert, primary, sql_state};
use tokio_postgres::error::SqlState;
use tokio_postgres::types::{Format, IsNull, ToSql, Type};

/// Guards against values that change between binary parameters and binary results.
#[tokio::test]
async fn binary_values() {
    let handle = primary();
    let client = connect(&handle).await;
    let sql = "CREATE TABLE v (a int4, b int8, c bool, d float8, e text)";
    client.batch_execute(sql).await.unwrap();
    let insert = "INSERT INTO v (a, b, c, d, e) VALUES ($1, $2, $3, $4, $5)";
    let values: (i32, i64, bool, f64, &str) = (-7, i64::MAX, true, 0.1, "a'b");
    let params: [&(dyn ToSql + Sync); 5] = [&values.0, &values.1, &values.2, &values.3, &values.4];
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

/// Guards against a reader that sees uncommitted changes, or a writer that doesn't see its own.
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

/// Guards against a failed transaction that accepts statements or commits earlier ones.
#[tokio::test]
async fn failed_transaction() {
    let handle = primary();
    let client = connect(&handle).await;
    create(&client).await;
    client.batch_execute("BEGIN").await.unwrap();
    insert(&client, 1).await.unwrap();
    let err = insert(&client, 1).await.unwrap_err();
    assert_eq!(sql_state(&err), Some(&SqlState::UNIQUE_VIOLATION));
    let err = insert(&client, 2).await.unwrap_err();
    assert_eq!(sql_state(&err), Some(&SqlState::IN_FAILED_SQL_TRANSACTION));
    client.batch_execute("COMMIT").await.unwrap();
    assert_eq!(count(&client).await, 0);
}

/// Guards against lost or reordered replies to pipelined statements.
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

/// Parameter in text format.
#[derive(Debug)]
struct Text(&'static str);

impl ToSql for Text {
    fn to_sql(
        &self,
        _: &Type,
        out: &mut tokio_postgres::types::private::BytesMut,
    ) -> Result<IsNull, Box<dyn Error + Sync + Send>> {
        out.extend_from_slice(self.0.as_bytes());
        Ok(IsNull::No)
    }

    fn accepts(_: &Type) -> bool {
        true
    }

    fn encode_format(&self, _: &Type) -> Format {
        Format::Text
    }

    tokio_postgres::types::to_sql_checked!();
}

/// Guards against text parameters that are decoded as binary, or invalid ones that are accepted.
#[tokio::test]
async fn text_parameters() {
    let handle = primary();
    let client = connect(&handle).await;
    create(&client).await;
    let sql = "INSERT INTO notes VALUES ($1, $2) RETURNING id, body";
    let row = client
        .query_one(sql, &[&Text("42"), &Text("x")])
        .await
        .unwrap();
    assert_eq!(
        (row.get::<_, i64>("id"), row.get::<_, &str>("body")),
        (42, "x")
    );
    let err = client
        .query(sql, &[&Text("x"), &Text("x")])
        .await
        .unwrap_err();
    assert_eq!(
        sql_state(&err),
        Some(&SqlState::INVALID_TEXT_REPRESENTATION)
    );
}

/// Guards against an outcome table or a status read that fails in a write transaction.
#[tokio::test]
async fn recorded_outcome() {
    let handle = primary();
    let mut client = connect(&handle).await;
    create(&client).await;
    let transaction = client.transaction().await.unwrap();
    let status = "SELECT * FROM chervildrift_status()";
    let before: i64 = transaction
        .query_one(status, &[])
        .await
        .unwrap()
        .get("received_position");
    let sql = "INSERT INTO chervildrift_outcome (key, digest, state, made_ms) \
        VALUES ($1, $2, 'running', $3) ON CONFLICT (key) DO NOTHING";
    let done = transaction
        .execute(sql, &[&"k", &"d", &7i64])
        .await
        .unwrap();
    let again = transaction
        .execute(sql, &[&"k", &"d", &7i64])
        .await
        .unwrap();
    assert_eq!((done, again), (1, 0));
    let sql = "UPDATE chervildrift_outcome SET state = 'done', answer = $1 WHERE key = $2";
    transaction.execute(sql, &[&"[]", &"k"]).await.unwrap();
    transaction.commit().await.unwrap();
    let sql = "SELECT answer, made_ms FROM chervildrift_outcome WHERE key = $1";
    let row = client.query_one(sql, &[&"k"]).await.unwrap();
    assert_eq!((row.get::<_, &str>(0), row.get::<_, i64>(1)), ("[]", 7));
    assert_eq!(handle.status().received.position, before + 1);
}

/// Guards against a failed batch that is partly committed, and savepoints without effect.
#[tokio::test]
async fn partial_rollback() {
    let handle = primary();
    let mut client = connect(&handle).await;
    create(&client).await;
    let twice = "INSERT INTO notes VALUES (1, ''); INSERT INTO notes VALUES (1, '')";
    client.batch_execute(twice).await.unwrap_err();
    assert_eq!(count(&client).await, 0);
    let mut outer = client.transaction().await.unwrap();
    outer
        .batch_execute("INSERT INTO notes VALUES (1, '')")
        .await
        .unwrap();
    let inner = outer.transaction().await.unwrap();
    inner
        .batch_execute("INSERT INTO notes VALUES (1, '')")
        .await
        .unwrap_err();
    inner.rollback().await.unwrap();
    outer
        .batch_execute("INSERT INTO notes VALUES (2, '')")
        .await
        .unwrap();
    outer.commit().await.unwrap();
    assert_eq!(count(&client).await, 2);
}

/// Guards against wrong types of aggregates, casts, comparisons and limits.
#[tokio::test]
async fn computed_columns() {
    let handle = primary();
    let client = connect(&handle).await;
    create(&client).await;
    insert(&client, 5).await.unwrap();
    let sql = "SELECT max(n.id) AS top, count(*), id > 3 AS big, $1::int4 AS given, \
        sum(id)::float8 AS total FROM notes n WHERE n.id IN ($2, $3) LIMIT $4";
    let row = client
        .query_one(sql, &[&1i32, &5i64, &6i64, &1i64])
        .await
        .unwrap();
    let values: (i64, i64, bool, i32, f64) = (
        row.get("top"),
        row.get("count"),
        row.get("big"),
        row.get("given"),
        row.get("total"),
    );
    assert_eq!(values, (5, 1, true, 1, 5.0));
    let err = client
        .query("SELECT * FROM missing", &[])
        .await
        .unwrap_err();
    assert_eq!(sql_state(&err), Some(&SqlState::UNDEFINED_TABLE));
}

/// Guards against volatile writes, which a replica would repeat with another value.
#[tokio::test]
async fn volatile_writes() {
    let handle = primary();
    let client = connect(&handle).await;
    create(&client).await;
    for value in ["random()", "datetime('now')", "unixepoch()", "CURRENT_DATE"] {
        let sql = format!("INSERT INTO notes VALUES (1, {value})");
        let err = client.execute(&sql, &[]).await.unwrap_err();
        assert_eq!(sql_state(&err), Some(&SqlState::FEATURE_NOT_SUPPORTED));
    }
    client.query("SELECT random()", &[]).await.unwrap();
    client
        .execute("INSERT INTO notes VALUES (1, 'now')", &[])
        .await
        .unwrap();
}
