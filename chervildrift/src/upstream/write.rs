//! Writes at a primary, with an idempotency record in the same transaction.

use chervildrift_core::types::{LogPosition, Role, Status};
use futures::future::{join_all, join3};
use serde_json::Value;
use tokio_postgres::error::SqlState;
use tokio_postgres::types::Type;

use super::read::pipeline;
use super::{Connection, Error, PooledConnection, Statement, sql};
use crate::wall_clock;

/// Key and digest of a request in its idempotency record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IdempotencyRecord {
    /// Idempotency key.
    pub key: String,
    /// Digest of the statements and their parameters.
    pub digest: String,
}

/// A write that committed at the primary.
#[derive(Debug)]
pub struct CommittedWrite {
    /// Log position that a majority must have received before the write may be acknowledged.
    pub position: LogPosition,
    /// Results of the statements as JSON text.
    pub answer: String,
    /// Whether the record of the key is a cancellation, so that the request never runs.
    pub cancelled: bool,
}

/// Outcome of a write at the primary.
#[derive(Debug)]
pub enum WriteOutcome {
    /// The transaction committed.
    Committed(CommittedWrite),
    /// The transaction did not commit, and never will.
    RolledBack(Error),
    /// The commit was sent, but its outcome is unknown.
    Unknown(Error),
}

/// Runs a write and inserts its idempotency record, in one transaction.
pub async fn write(
    connection: PooledConnection,
    record: &IdempotencyRecord,
    statements: &[Statement],
) -> WriteOutcome {
    let open_status = match begin(&connection).await {
        Ok(status) => status,
        Err(err) => return WriteOutcome::RolledBack(err),
    };
    match insert_record(&connection, record, "running").await {
        Ok(true) => {}
        Ok(false) => return recorded_outcome(connection, record, open_status).await,
        Err(err) => return WriteOutcome::RolledBack(err),
    }
    let results = match execute(&connection, statements).await {
        Ok(results) => results,
        Err(err) => return rollback_with_error(connection, err).await,
    };
    commit(connection, Some(record), open_status, &results).await
}

/// Begins a transaction and returns the status of the upstream; fails unless it is the primary.
async fn begin(connection: &PooledConnection) -> Result<Status, Error> {
    let (begin_result, status) =
        pipeline(connection.command(sql::BEGIN), connection.status()).await;
    begin_result?;
    let status = status?;
    if status.role == Role::Primary {
        Ok(status)
    } else {
        Err(Error::NotPrimary)
    }
}

/// Begins a transaction that spans several requests, and inserts its record if it has one.
pub async fn begin_transaction(
    connection: &PooledConnection,
    record: Option<&IdempotencyRecord>,
) -> Result<Status, Error> {
    let open_status = begin(connection).await?;
    if let Some(record) = record
        && !insert_record(connection, record, "running").await?
    {
        return Err(Error::KeyReused);
    }
    Ok(open_status)
}

/// Runs statements inside an open transaction.
pub async fn execute(
    connection: &PooledConnection,
    statements: &[Statement],
) -> Result<Vec<Value>, Error> {
    let results = join_all(statements.iter().map(|it| connection.run(it))).await;
    results.into_iter().collect()
}

/// Commits a transaction that began at `open_status`.
///
/// The position of the write comes from a status read after the commit. It is valid only if the
/// upstream has been the primary of one term throughout: a primary that was replaced and follows
/// its successor would report a position in the successor's log for a write that it has discarded.
pub async fn commit(
    connection: PooledConnection,
    record: Option<&IdempotencyRecord>,
    open_status: Status,
    results: &[Value],
) -> WriteOutcome {
    let answer = Value::from(results).to_string();
    if let Some(record) = record
        && let Err(err) = finish_record(&connection, record, &answer).await
    {
        return rollback_with_error(connection, err).await;
    }
    let (commit_result, status) =
        pipeline(connection.command(sql::COMMIT), connection.status()).await;
    if let Err(err) = commit_result {
        return commit_error_outcome(err);
    }
    match status {
        Ok(status) => {
            connection.release();
            outcome_if_still_primary(open_status, status, answer, false)
        }
        Err(err) => WriteOutcome::Unknown(err),
    }
}

/// Rolls a transaction back; if this fails, the connection is closed, to the same effect.
pub async fn rollback(connection: PooledConnection) {
    if connection.command(sql::ROLLBACK).await.is_ok() {
        connection.release();
    }
}

/// Cancels a request under its idempotency key, or returns its outcome if it already ran.
pub async fn resolve(connection: PooledConnection, record: &IdempotencyRecord) -> WriteOutcome {
    let open_status = match begin(&connection).await {
        Ok(status) => status,
        Err(err) => return WriteOutcome::RolledBack(err),
    };
    match insert_record(&connection, record, "cancelled").await {
        Ok(true) => mark_cancelled(commit(connection, None, open_status, &[]).await),
        Ok(false) => recorded_outcome(connection, record, open_status).await,
        Err(err) => WriteOutcome::RolledBack(err),
    }
}

async fn rollback_with_error(connection: PooledConnection, err: Error) -> WriteOutcome {
    rollback(connection).await;
    WriteOutcome::RolledBack(err)
}

/// Distinguishes a commit that the upstream rejected from one whose reply was lost.
fn commit_error_outcome(err: Error) -> WriteOutcome {
    let refused = err.sqlstate().is_some_and(|state| !state.starts_with("08"));
    if refused {
        WriteOutcome::RolledBack(err)
    } else {
        WriteOutcome::Unknown(err)
    }
}

fn mark_cancelled(outcome: WriteOutcome) -> WriteOutcome {
    match outcome {
        WriteOutcome::Committed(committed) => WriteOutcome::Committed(CommittedWrite {
            cancelled: true,
            ..committed
        }),
        other => other,
    }
}

fn outcome_if_still_primary(
    open_status: Status,
    status: Status,
    answer: String,
    cancelled: bool,
) -> WriteOutcome {
    let same_term = status.received.term == open_status.received.term;
    if status.role == Role::Primary && same_term {
        WriteOutcome::Committed(CommittedWrite {
            position: status.received,
            answer,
            cancelled,
        })
    } else {
        WriteOutcome::Unknown(Error::NotPrimary)
    }
}

/// Inserts the record; returns false if there already is one with its key.
async fn insert_record(
    connection: &Connection,
    record: &IdempotencyRecord,
    state: &str,
) -> Result<bool, Error> {
    let made_ms = i64::try_from(wall_clock::now_ms()).unwrap_or(i64::MAX);
    let params: [(&(dyn tokio_postgres::types::ToSql + Sync), Type); 4] = [
        (&record.key, Type::TEXT),
        (&record.digest, Type::TEXT),
        (&state, Type::TEXT),
        (&made_ms, Type::INT8),
    ];
    match connection.query(sql::INSERT_RECORD, &params).await {
        Ok(_rows) => Ok(true),
        Err(err) if err.sqlstate() == Some(SqlState::UNIQUE_VIOLATION.code()) => Ok(false),
        Err(err) => Err(err),
    }
}

async fn finish_record(
    connection: &Connection,
    record: &IdempotencyRecord,
    answer: &str,
) -> Result<(), Error> {
    let params: [(&(dyn tokio_postgres::types::ToSql + Sync), Type); 2] =
        [(&record.key, Type::TEXT), (&answer, Type::TEXT)];
    connection
        .query(sql::FINISH_RECORD, &params)
        .await
        .map(drop)
}

/// Returns the outcome of an earlier attempt under the same key.
async fn recorded_outcome(
    connection: PooledConnection,
    record: &IdempotencyRecord,
    open_status: Status,
) -> WriteOutcome {
    let rollback = connection.command(sql::ROLLBACK);
    let params: [(&(dyn tokio_postgres::types::ToSql + Sync), Type); 1] =
        [(&record.key, Type::TEXT)];
    let rows = connection.query(sql::READ_RECORD, &params);
    let (rollback, rows, status) = join3(rollback, rows, connection.status()).await;
    let parsed_record = rollback.and(rows).and_then(|rows| {
        let row = rows
            .first()
            .ok_or(Error::Unexpected("a record that is gone"))?;
        let digest: String = row.try_get(0)?;
        let state: String = row.try_get(1)?;
        let answer: String = row.try_get(2)?;
        Ok((digest, state, answer))
    });
    match (parsed_record, status) {
        (Ok((digest, state, answer)), Ok(status)) => {
            connection.release();
            outcome_of_record(record, open_status, status, &digest, &state, answer)
        }
        (Err(err), _) | (_, Err(err)) => WriteOutcome::Unknown(err),
    }
}

fn outcome_of_record(
    record: &IdempotencyRecord,
    open_status: Status,
    status: Status,
    digest: &str,
    state: &str,
    answer: String,
) -> WriteOutcome {
    // A cancellation counts only once it is confirmed: if its record were lost in a failover, the
    // request could still run.
    if state == "cancelled" {
        return outcome_if_still_primary(open_status, status, answer, true);
    }
    // The transaction that inserts a record also finishes it, so no other state is ever committed.
    if state != "done" {
        return WriteOutcome::Unknown(Error::Unexpected("an unfinished record"));
    }
    // A query for an outcome carries no digest.
    if !record.digest.is_empty() && digest != record.digest {
        return WriteOutcome::RolledBack(Error::KeyReused);
    }
    outcome_if_still_primary(open_status, status, answer, false)
}
