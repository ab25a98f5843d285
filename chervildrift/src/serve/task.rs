//! Work of one job at its upstream, outside the event loop.

use std::time::Duration;

use chervildrift_core::types::Status;
use tokio::time::timeout;

use crate::upstream::{
    Error, Lease, Pool, Read, Record, Settled, Statement, commit, execute, open, read, rollback,
    settle, write,
};

/// Work of one job.
#[derive(Debug)]
pub(super) enum Task {
    /// Reads on any connection.
    Read(Vec<Statement>),
    /// Writes as one transaction.
    Write(Record, Vec<Statement>),
    /// Settles the outcome of an earlier write.
    Settle(Record),
    /// Opens a transaction.
    Open(Option<Record>, Vec<Statement>),
    /// Runs statements in an open transaction.
    Execute(OpenTransaction, Vec<Statement>),
    /// Commits a transaction.
    Commit(OpenTransaction),
    /// Rolls a transaction back.
    Rollback(OpenTransaction),
}

/// Connection and state of an open transaction between its statements.
#[derive(Debug)]
pub(super) struct OpenTransaction {
    pub lease: Lease,
    pub opened: Status,
    pub record: Option<Record>,
}

/// What became of a task.
#[derive(Debug)]
pub(super) enum Ran {
    /// No connection was to be had; nothing was sent.
    NoConnection(Error),
    /// A read ended.
    Read(Result<Read, Error>),
    /// A write, commit or settlement ended.
    Settled(Settled),
    /// A transaction is open and idle, with the results of its statements as JSON.
    Idle(Box<OpenTransaction>, String),
    /// A transaction ended without effect.
    Ended(Option<Error>),
}

/// Runs a task within `limit`.
///
/// A task that is cut off drops its lease, which closes the connection.
pub(super) async fn run(task: Task, pool: Pool, limit: Duration) -> Ran {
    let committing = matches!(task, Task::Write(..) | Task::Settle(_) | Task::Commit(_));
    let reading = matches!(task, Task::Read(_));
    match timeout(limit, perform(task, pool)).await {
        Ok(ran) => ran,
        // The commit may have been sent.
        Err(_elapsed) if committing => Ran::Settled(Settled::Unknown(Error::Timeout(limit))),
        Err(_elapsed) if reading => Ran::Read(Err(Error::Timeout(limit))),
        Err(_elapsed) => Ran::Ended(Some(Error::Timeout(limit))),
    }
}

async fn perform(task: Task, pool: Pool) -> Ran {
    match task {
        Task::Read(statements) => match pool.take().await {
            Ok(lease) => Ran::Read(read(lease, &statements).await),
            Err(err) => Ran::NoConnection(err),
        },
        Task::Write(record, statements) => match pool.take().await {
            Ok(lease) => Ran::Settled(write(lease, &record, &statements).await),
            Err(err) => Ran::NoConnection(err),
        },
        Task::Settle(record) => match pool.take().await {
            Ok(lease) => Ran::Settled(settle(lease, &record).await),
            Err(err) => Ran::NoConnection(err),
        },
        Task::Open(record, statements) => match pool.take().await {
            Ok(lease) => begin(lease, record, &statements).await,
            Err(err) => Ran::NoConnection(err),
        },
        Task::Execute(transaction, statements) => proceed(transaction, &statements).await,
        Task::Commit(it) => {
            Ran::Settled(commit(it.lease, it.record.as_ref(), it.opened, &[]).await)
        }
        Task::Rollback(it) => {
            rollback(it.lease).await;
            Ran::Ended(None)
        }
    }
}

async fn begin(lease: Lease, record: Option<Record>, statements: &[Statement]) -> Ran {
    match open(&lease, record.as_ref()).await {
        Ok(opened) => {
            proceed(
                OpenTransaction {
                    lease,
                    opened,
                    record,
                },
                statements,
            )
            .await
        }
        Err(err) => Ran::Ended(Some(err)),
    }
}

async fn proceed(transaction: OpenTransaction, statements: &[Statement]) -> Ran {
    match execute(&transaction.lease, statements).await {
        Ok(results) => {
            let answer = serde_json::Value::from(results).to_string();
            Ran::Idle(Box::new(transaction), answer)
        }
        Err(err) => {
            rollback(transaction.lease).await;
            Ran::Ended(Some(err))
        }
    }
}
