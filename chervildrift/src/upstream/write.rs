//! Writes at a primary, each with an idempotency record in the same transaction.

use chervildrift_core::types::{LogPosition, Role, Status};
use futures::future::{join_all, join3};
use serde_json::Value;
use tokio_postgres::error::SqlState;
use tokio_postgres::types::Type;

use super::read::pipeline;
use super::{Connection, Error, Lease, Statement, sql};
use crate::wall_clock;

/// Key and digest under which a request is recorded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Idempotency key.
    pub key: String,
    /// Digest of the statements and their parameters.
    pub digest: String,
}

/// A write that committed at the primary.
#[derive(Debug)]
pub struct Written {
    /// Mark that a majority must have received before the write may be acknowledged.
    pub mark: LogPosition,
    /// Results of the statements as JSON text.
    pub answer: String,
    /// Whether the key holds a cancel record, so that the request never runs.
    pub cancelled: bool,
}

/// Where a write failed.
#[derive(Debug)]
pub enum Settled {
    /// The transaction committed.
    Written(Written),
    /// The transaction did not commit and never will.
    RolledBack(Error),
    /// The commit was sent and its outcome is unknown.
    Unknown(Error),
}

/// Runs a write as one transaction with its idempotency record.
pub async fn write(lease: Lease, record: &Record, statements: &[Statement]) -> Settled {
    let opened = match begin(&lease).await {
        Ok(status) => status,
        Err(err) => return Settled::RolledBack(err),
    };
    match insert_record(&lease, record, "running").await {
        Ok(true) => {}
        Ok(false) => return recorded(lease, record, opened).await,
        Err(err) => return Settled::RolledBack(err),
    }
    let results = match execute(&lease, statements).await {
        Ok(results) => results,
        Err(err) => return roll_back(lease, err).await,
    };
    commit(lease, Some(record), opened, &results).await
}

/// Begins a transaction and returns the status of the upstream, which must be the primary.
async fn begin(lease: &Lease) -> Result<Status, Error> {
    let (begun, status) = pipeline(lease.command(sql::BEGIN), lease.status()).await;
    begun?;
    let status = status?;
    if status.role == Role::Primary {
        Ok(status)
    } else {
        Err(Error::NotPrimary)
    }
}

/// Begins a transaction of several requests, with its record if it has one.
pub async fn open(lease: &Lease, record: Option<&Record>) -> Result<Status, Error> {
    let opened = begin(lease).await?;
    if let Some(record) = record
        && !insert_record(lease, record, "running").await?
    {
        return Err(Error::KeyReused);
    }
    Ok(opened)
}

/// Runs statements inside an open transaction.
pub async fn execute(lease: &Lease, statements: &[Statement]) -> Result<Vec<Value>, Error> {
    let results = join_all(statements.iter().map(|it| lease.run(it))).await;
    results.into_iter().collect()
}

/// Commits a transaction that began at status `opened`.
///
/// The mark is taken from a status read after the commit. It counts only if the upstream has been
/// primary in one term throughout: a replaced primary that follows its successor would report a
/// position of the successor's log for a write that it has discarded.
pub async fn commit(
    lease: Lease,
    record: Option<&Record>,
    opened: Status,
    results: &[Value],
) -> Settled {
    let answer = Value::from(results).to_string();
    if let Some(record) = record
        && let Err(err) = finish_record(&lease, record, &answer).await
    {
        return roll_back(lease, err).await;
    }
    let (committed, status) = pipeline(lease.command(sql::COMMIT), lease.status()).await;
    if let Err(err) = committed {
        return refused_commit(err);
    }
    match status {
        Ok(status) => {
            lease.release();
            acknowledgeable(opened, status, answer, false)
        }
        Err(err) => Settled::Unknown(err),
    }
}

/// Rolls a transaction back; a connection that can't do so is closed, which does the same.
pub async fn rollback(lease: Lease) {
    if lease.command(sql::ROLLBACK).await.is_ok() {
        lease.release();
    }
}

/// Cancels a request under its key, or returns what it did if it ran before.
pub async fn settle(lease: Lease, record: &Record) -> Settled {
    let opened = match begin(&lease).await {
        Ok(status) => status,
        Err(err) => return Settled::RolledBack(err),
    };
    match insert_record(&lease, record, "cancelled").await {
        Ok(true) => cancelled(commit(lease, None, opened, &[]).await),
        Ok(false) => recorded(lease, record, opened).await,
        Err(err) => Settled::RolledBack(err),
    }
}

async fn roll_back(lease: Lease, err: Error) -> Settled {
    rollback(lease).await;
    Settled::RolledBack(err)
}

/// Tells a commit that the upstream refused from one whose answer was lost.
fn refused_commit(err: Error) -> Settled {
    let refused = err.sqlstate().is_some_and(|state| !state.starts_with("08"));
    if refused {
        Settled::RolledBack(err)
    } else {
        Settled::Unknown(err)
    }
}

fn cancelled(settled: Settled) -> Settled {
    match settled {
        Settled::Written(written) => Settled::Written(Written {
            cancelled: true,
            ..written
        }),
        other => other,
    }
}

fn acknowledgeable(opened: Status, now: Status, answer: String, cancelled: bool) -> Settled {
    let same_term = now.received.term == opened.received.term;
    if now.role == Role::Primary && same_term {
        Settled::Written(Written {
            mark: now.received,
            answer,
            cancelled,
        })
    } else {
        Settled::Unknown(Error::NotPrimary)
    }
}

/// Inserts the record; false when the key is there already.
async fn insert_record(lease: &Connection, record: &Record, state: &str) -> Result<bool, Error> {
    let made_ms = i64::try_from(wall_clock::now_ms()).unwrap_or(i64::MAX);
    let params: [(&(dyn tokio_postgres::types::ToSql + Sync), Type); 4] = [
        (&record.key, Type::TEXT),
        (&record.digest, Type::TEXT),
        (&state, Type::TEXT),
        (&made_ms, Type::INT8),
    ];
    match lease.query(sql::INSERT_RECORD, &params).await {
        Ok(_rows) => Ok(true),
        Err(err) if err.sqlstate() == Some(SqlState::UNIQUE_VIOLATION.code()) => Ok(false),
        Err(err) => Err(err),
    }
}

async fn finish_record(lease: &Connection, record: &Record, answer: &str) -> Result<(), Error> {
    let params: [(&(dyn tokio_postgres::types::ToSql + Sync), Type); 2] =
        [(&record.key, Type::TEXT), (&answer, Type::TEXT)];
    lease.query(sql::FINISH_RECORD, &params).await.map(drop)
}

/// Returns what an earlier try under the same key did.
async fn recorded(lease: Lease, record: &Record, opened: Status) -> Settled {
    let rolled = lease.command(sql::ROLLBACK);
    let params: [(&(dyn tokio_postgres::types::ToSql + Sync), Type); 1] =
        [(&record.key, Type::TEXT)];
    let found = lease.query(sql::READ_RECORD, &params);
    let (rolled, found, status) = join3(rolled, found, lease.status()).await;
    let parsed = rolled.and(found).and_then(|rows| {
        let row = rows
            .first()
            .ok_or(Error::Unexpected("a record that is gone"))?;
        let digest: String = row.try_get(0)?;
        let state: String = row.try_get(1)?;
        let answer: String = row.try_get(2)?;
        Ok((digest, state, answer))
    });
    match (parsed, status) {
        (Ok((digest, state, answer)), Ok(status)) => {
            lease.release();
            judge_record(record, opened, status, &digest, &state, answer)
        }
        (Err(err), _) | (_, Err(err)) => Settled::Unknown(err),
    }
}

fn judge_record(
    record: &Record,
    opened: Status,
    status: Status,
    digest: &str,
    state: &str,
    answer: String,
) -> Settled {
    // A cancel record counts only once it is confirmed: one that is lost at a failover would let
    // the request run after all.
    if state == "cancelled" {
        return acknowledgeable(opened, status, answer, true);
    }
    // A record is finished in the transaction that inserts it, so no other state is ever committed.
    if state != "done" {
        return Settled::Unknown(Error::Unexpected("an unfinished record"));
    }
    // A request that asks for an outcome states no digest.
    if !record.digest.is_empty() && digest != record.digest {
        return Settled::RolledBack(Error::KeyReused);
    }
    acknowledgeable(opened, status, answer, false)
}
