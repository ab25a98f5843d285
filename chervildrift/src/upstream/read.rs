//! Read-only requests at an upstream.

use chervildrift_core::types::Status;
use futures::future::{join, join_all, join4};
use serde_json::Value;

use super::{Error, PooledConnection, Statement, sql};

/// Result of a read.
#[derive(Debug)]
pub struct ReadResult {
    /// Status of the upstream, read on the same connection before the statements ran.
    pub status: Status,
    /// Results of the statements.
    pub results: Vec<Value>,
}

/// Runs statements in a read-only transaction, pipelined after a status read.
///
/// The results may be used only if the status has reached the position that the caller must see.
pub async fn read(
    connection: PooledConnection,
    statements: &[Statement],
) -> Result<ReadResult, Error> {
    let begin = connection.command(sql::BEGIN_READ);
    let status = connection.status();
    let results = join_all(statements.iter().map(|it| connection.run(it)));
    let end = connection.command(sql::ROLLBACK);
    let (begin, status, results, end) = join4(begin, status, results, end).await;
    begin?;
    end?;
    connection.release();
    let results = results.into_iter().collect::<Result<Vec<_>, _>>()?;
    Ok(ReadResult {
        status: status?,
        results,
    })
}

/// Pipelines two calls on one connection, in this order.
pub(super) async fn pipeline<A, B>(
    first: impl Future<Output = A>,
    second: impl Future<Output = B>,
) -> (A, B) {
    join(first, second).await
}
