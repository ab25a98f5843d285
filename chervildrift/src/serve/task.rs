//! Work of one job at its upstream, outside the event loop.

use std::time::Duration;

use chervildrift_core::types::Status;
use tokio::time::timeout;

use crate::upstream::{
    Error, IdempotencyRecord, Pool, PooledConnection, ReadResult, Statement, WriteOutcome,
    begin_transaction, commit, execute, read, resolve, rollback, write,
};

/// Work of one job.
#[derive(Debug)]
pub(super) enum Task {
    /// Reads on any connection.
    Read(Vec<Statement>),
    /// Writes as one transaction.
    Write(IdempotencyRecord, Vec<Statement>),
    /// Finds out whether an earlier write took effect, and cancels it if it did not.
    ResolveOutcome(IdempotencyRecord),
    /// Opens a transaction.
    Open(Option<IdempotencyRecord>, Vec<Statement>),
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
    pub connection: PooledConnection,
    pub open_status: Status,
    pub record: Option<IdempotencyRecord>,
}

/// Result of a task.
#[derive(Debug)]
pub(super) enum TaskResult {
    /// No connection was available, so nothing was sent.
    NoConnection(Error),
    /// Result of a read.
    Read(Result<ReadResult, Error>),
    /// Result of a write, a commit or the query of an outcome.
    Write(WriteOutcome),
    /// A transaction is open and idle, with the results of its statements as JSON.
    TransactionIdle(Box<OpenTransaction>, String),
    /// A transaction ended without effect.
    TransactionEnded(Option<Error>),
}

/// Runs a task within `limit`.
///
/// A task that exceeds the limit drops its connection, which closes it.
pub(super) async fn run_task(task: Task, pool: Pool, limit: Duration) -> TaskResult {
    let committing = matches!(
        task,
        Task::Write(..) | Task::ResolveOutcome(_) | Task::Commit(_)
    );
    let reading = matches!(task, Task::Read(_));
    match timeout(limit, execute_task(task, pool)).await {
        Ok(result) => result,
        // The commit may have been sent.
        Err(_elapsed) if committing => {
            TaskResult::Write(WriteOutcome::Unknown(Error::Timeout(limit)))
        }
        Err(_elapsed) if reading => TaskResult::Read(Err(Error::Timeout(limit))),
        Err(_elapsed) => TaskResult::TransactionEnded(Some(Error::Timeout(limit))),
    }
}

async fn execute_task(task: Task, pool: Pool) -> TaskResult {
    match task {
        Task::Read(statements) => match pool.acquire().await {
            Ok(connection) => TaskResult::Read(read(connection, &statements).await),
            Err(err) => TaskResult::NoConnection(err),
        },
        Task::Write(record, statements) => match pool.acquire().await {
            Ok(connection) => TaskResult::Write(write(connection, &record, &statements).await),
            Err(err) => TaskResult::NoConnection(err),
        },
        Task::ResolveOutcome(record) => match pool.acquire().await {
            Ok(connection) => TaskResult::Write(resolve(connection, &record).await),
            Err(err) => TaskResult::NoConnection(err),
        },
        Task::Open(record, statements) => match pool.acquire().await {
            Ok(connection) => open_transaction(connection, record, &statements).await,
            Err(err) => TaskResult::NoConnection(err),
        },
        Task::Execute(transaction, statements) => run_statements(transaction, &statements).await,
        Task::Commit(it) => {
            TaskResult::Write(commit(it.connection, it.record.as_ref(), it.open_status, &[]).await)
        }
        Task::Rollback(it) => {
            rollback(it.connection).await;
            TaskResult::TransactionEnded(None)
        }
    }
}

async fn open_transaction(
    connection: PooledConnection,
    record: Option<IdempotencyRecord>,
    statements: &[Statement],
) -> TaskResult {
    match begin_transaction(&connection, record.as_ref()).await {
        Ok(open_status) => {
            run_statements(
                OpenTransaction {
                    connection,
                    open_status,
                    record,
                },
                statements,
            )
            .await
        }
        Err(err) => TaskResult::TransactionEnded(Some(err)),
    }
}

async fn run_statements(transaction: OpenTransaction, statements: &[Statement]) -> TaskResult {
    match execute(&transaction.connection, statements).await {
        Ok(results) => {
            let answer = serde_json::Value::from(results).to_string();
            TaskResult::TransactionIdle(Box::new(transaction), answer)
        }
        Err(err) => {
            rollback(transaction.connection).await;
            TaskResult::TransactionEnded(Some(err))
        }
    }
}
