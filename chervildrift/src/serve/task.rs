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
    /// Finds out whether an earlier write took effect, and cancels it if it did not.
    ResolveOutcome(Record),
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
    pub open_status: Status,
    pub record: Option<Record>,
}

/// Result of a task.
#[derive(Debug)]
pub(super) enum TaskResult {
    /// No connection was available, so nothing was sent.
    NoConnection(Error),
    /// Result of a read.
    Read(Result<Read, Error>),
    /// Result of a write, a commit or the query of an outcome.
    Write(Settled),
    /// A transaction is open and idle, with the results of its statements as JSON.
    TransactionIdle(Box<OpenTransaction>, String),
    /// A transaction ended without effect.
    TransactionEnded(Option<Error>),
}

/// Runs a task within `limit`.
///
/// A task that exceeds the limit drops its lease, which closes the connection.
pub(super) async fn run_task(task: Task, pool: Pool, limit: Duration) -> TaskResult {
    let committing = matches!(
        task,
        Task::Write(..) | Task::ResolveOutcome(_) | Task::Commit(_)
    );
    let reading = matches!(task, Task::Read(_));
    match timeout(limit, execute_task(task, pool)).await {
        Ok(result) => result,
        // The commit may have been sent.
        Err(_elapsed) if committing => TaskResult::Write(Settled::Unknown(Error::Timeout(limit))),
        Err(_elapsed) if reading => TaskResult::Read(Err(Error::Timeout(limit))),
        Err(_elapsed) => TaskResult::TransactionEnded(Some(Error::Timeout(limit))),
    }
}

async fn execute_task(task: Task, pool: Pool) -> TaskResult {
    match task {
        Task::Read(statements) => match pool.take().await {
            Ok(lease) => TaskResult::Read(read(lease, &statements).await),
            Err(err) => TaskResult::NoConnection(err),
        },
        Task::Write(record, statements) => match pool.take().await {
            Ok(lease) => TaskResult::Write(write(lease, &record, &statements).await),
            Err(err) => TaskResult::NoConnection(err),
        },
        Task::ResolveOutcome(record) => match pool.take().await {
            Ok(lease) => TaskResult::Write(settle(lease, &record).await),
            Err(err) => TaskResult::NoConnection(err),
        },
        Task::Open(record, statements) => match pool.take().await {
            Ok(lease) => open_transaction(lease, record, &statements).await,
            Err(err) => TaskResult::NoConnection(err),
        },
        Task::Execute(transaction, statements) => run_statements(transaction, &statements).await,
        Task::Commit(it) => {
            TaskResult::Write(commit(it.lease, it.record.as_ref(), it.open_status, &[]).await)
        }
        Task::Rollback(it) => {
            rollback(it.lease).await;
            TaskResult::TransactionEnded(None)
        }
    }
}

async fn open_transaction(
    lease: Lease,
    record: Option<Record>,
    statements: &[Statement],
) -> TaskResult {
    match open(&lease, record.as_ref()).await {
        Ok(open_status) => {
            run_statements(
                OpenTransaction {
                    lease,
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
    match execute(&transaction.lease, statements).await {
        Ok(results) => {
            let answer = serde_json::Value::from(results).to_string();
            TaskResult::TransactionIdle(Box::new(transaction), answer)
        }
        Err(err) => {
            rollback(transaction.lease).await;
            TaskResult::TransactionEnded(Some(err))
        }
    }
}
