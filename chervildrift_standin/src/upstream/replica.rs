//! Tasks of a replica: pulling the log from its primary, and moving lagging entries on.

use std::sync::Arc;
use std::time::{Duration, Instant};

use quick_error::quick_error;
use tokio::select;
use tokio::time::{sleep, sleep_until, timeout};
use tokio_postgres::{Client, NoTls, Row, Statement};

use super::REPLICA_USER;
use super::faults::Fault;
use super::log::{Entry, LogPosition};
use super::node::Source;
use super::shared::Shared;

/// Pause after a failed pull.
const RETRY: Duration = Duration::from_millis(20);

/// Time after which a pull or a connection attempt counts as failed.
///
/// Under half of the detection time, so that a pull can fail once without a failover.
const PULL_TIMEOUT: Duration = Duration::from_millis(250);

/// Entries that one pull asks for.
const PULL_LIMIT: i64 = 1000;

quick_error! {
    /// Reason why pulling stopped.
    #[derive(Debug)]
    enum PullError {
        Postgres(err: tokio_postgres::Error) {
            from()
            display("{err}")
        }
        Entry(err: serde_json::Error) {
            from()
            display("unreadable log entry: {err}")
        }
        Timeout(err: tokio::time::error::Elapsed) {
            from()
            display("{err}")
        }
        Refused {
            display("replication is cut, or the term of the primary is below the fence")
        }
    }
}

/// Answer of a primary to one pull.
struct Pulled {
    term: i64,
    common: LogPosition,
    entries: Vec<Entry>,
}

/// Pulls from whichever primary the upstream is told to follow.
pub(super) async fn pull(shared: Arc<Shared>) {
    let mut source = shared.node().watch_source();
    loop {
        let current = source.borrow_and_update().clone();
        select! {
            changed = source.changed() => if changed.is_err() { return },
            () = pull_while_possible(&shared, current.as_ref()) => sleep(RETRY).await,
        }
    }
}

/// Moves entries on when their lag has passed.
pub(super) async fn advance(shared: Arc<Shared>) {
    loop {
        shared.faults.thawed().await;
        let due = shared.advance();
        let lagging = shared.lagging.notified();
        match due {
            Some(due) => select! {
                () = sleep_until(due.into()) => {}
                () = lagging => {}
            },
            None => lagging.await,
        }
    }
}

async fn pull_while_possible(shared: &Shared, source: Option<&Source>) {
    match source {
        // Every failure is answered in the same way: by connecting again after a pause.
        Some(source) => drop(pull_from(shared, source).await),
        None => std::future::pending().await,
    }
}

async fn pull_from(shared: &Shared, source: &Source) -> Result<(), PullError> {
    check_pull(shared).await?;
    let client = timeout(PULL_TIMEOUT, connect(&source.address)).await??;
    let sql = "SELECT * FROM chervildrift_log($1, $2, $3)";
    let statement = timeout(PULL_TIMEOUT, client.prepare(sql)).await??;
    let mut mark = shared.node().pulled();
    loop {
        let answer = timeout(PULL_TIMEOUT, pull_once(&client, &statement, mark)).await??;
        check_pull(shared).await?;
        mark = take(shared, answer)?;
    }
}

/// Waits while the upstream is frozen, and fails while replication is cut.
async fn check_pull(shared: &Shared) -> Result<(), PullError> {
    shared.faults.thawed().await;
    if shared.faults.is_on(Fault::CutReplication) {
        return Err(PullError::Refused);
    }
    Ok(())
}

async fn connect(address: &str) -> Result<Client, tokio_postgres::Error> {
    let (host, port) = address.rsplit_once(':').unwrap_or((address, ""));
    let config = format!("host={host} port={port} user={REPLICA_USER}");
    let (client, connection) = tokio_postgres::connect(&config, NoTls).await?;
    // Ends with the client; its failures are those of the client's requests.
    drop(tokio::spawn(connection));
    Ok(client)
}

async fn pull_once(
    client: &Client,
    statement: &Statement,
    mark: LogPosition,
) -> Result<Pulled, PullError> {
    let params = [mark.term, mark.position, PULL_LIMIT];
    let rows = client
        .query(statement, &[&params[0], &params[1], &params[2]])
        .await?;
    let Some(first) = rows.first() else {
        return Err(PullError::Refused);
    };
    Ok(Pulled {
        term: first.try_get(0)?,
        common: LogPosition {
            term: first.try_get(1)?,
            position: first.try_get(2)?,
        },
        entries: rows[1..].iter().map(entry).collect::<Result<_, _>>()?,
    })
}

fn entry(row: &Row) -> Result<Entry, PullError> {
    let mark = LogPosition {
        term: row.try_get(3)?,
        position: row.try_get(4)?,
    };
    let statements = serde_json::from_str(row.try_get(5)?)?;
    Ok(Entry { mark, statements })
}

/// Takes an answer and returns the mark of the next pull.
fn take(shared: &Shared, pulled: Pulled) -> Result<LogPosition, PullError> {
    let next = {
        let mut node = shared.node();
        let now = Instant::now();
        if !node.hear(pulled.term, now) {
            return Err(PullError::Refused);
        }
        let again = node.receive(pulled.common, pulled.entries, now);
        again.unwrap_or_else(|| node.pulled())
    };
    shared.advance();
    shared.lagging.notify_one();
    Ok(next)
}
