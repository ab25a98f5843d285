//! Background tasks of a replica: pulling the log from its primary and applying it after the lags.

use std::sync::Arc;
use std::time::{Duration, Instant};

use quick_error::quick_error;
use tokio::select;
use tokio::time::{sleep, sleep_until, timeout};
use tokio_postgres::{Client, NoTls, Row, Statement};

use super::REPLICA_USER;
use super::faults::Fault;
use super::log::{Entry, LogPosition};
use super::node::PullSource;
use super::shared::Shared;

/// Pause before the next connection attempt after a failed pull.
const PULL_BACKOFF: Duration = Duration::from_millis(20);

/// Timeout of a pull and of a connection attempt.
///
/// Under half of the failure detection time, so that one failed pull doesn't cause a failover.
const PULL_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum number of entries that a pull requests.
const MAX_PULL_ENTRIES: i64 = 1000;

quick_error! {
    /// Error that ends pulling over a connection.
    #[derive(Debug)]
    enum PullError {
        Postgres(err: tokio_postgres::Error) {
            from()
            display("{err}")
        }
        InvalidEntry(err: serde_json::Error) {
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

/// Response of a primary to a pull.
struct PullResponse {
    term: i64,
    common: LogPosition,
    entries: Vec<Entry>,
}

/// Pulls from the primary that the upstream follows, and switches when that changes.
pub(super) async fn pull_loop(shared: Arc<Shared>) {
    let mut source = shared.node().watch_source();
    loop {
        let current = source.borrow_and_update().clone();
        select! {
            changed = source.changed() => if changed.is_err() { return },
            () = pull_until_error(&shared, current.as_ref()) => sleep(PULL_BACKOFF).await,
        }
    }
}

/// Receives and applies entries when their lag has passed.
pub(super) async fn advance_loop(shared: Arc<Shared>) {
    loop {
        shared.faults.wait_unfrozen().await;
        let due = shared.advance_log();
        let wakeup = shared.advance_wakeup.notified();
        match due {
            Some(due) => select! {
                () = sleep_until(due.into()) => {}
                () = wakeup => {}
            },
            None => wakeup.await,
        }
    }
}

async fn pull_until_error(shared: &Shared, source: Option<&PullSource>) {
    match source {
        // The caller handles every error in the same way: it connects again after a pause.
        Some(source) => drop(pull_from(shared, source).await),
        None => std::future::pending().await,
    }
}

async fn pull_from(shared: &Shared, source: &PullSource) -> Result<(), PullError> {
    check_replication(shared).await?;
    let client = timeout(PULL_TIMEOUT, connect(&source.address)).await??;
    let sql = "SELECT * FROM chervildrift_log($1, $2, $3)";
    let statement = timeout(PULL_TIMEOUT, client.prepare(sql)).await??;
    let mut log_position = shared.node().pull_position();
    loop {
        let response =
            timeout(PULL_TIMEOUT, pull_once(&client, &statement, log_position)).await??;
        check_replication(shared).await?;
        log_position = apply_response(shared, response)?;
    }
}

/// Waits while the upstream is frozen; returns an error while replication is cut.
async fn check_replication(shared: &Shared) -> Result<(), PullError> {
    shared.faults.wait_unfrozen().await;
    if shared.faults.is_on(Fault::CutReplication) {
        return Err(PullError::Refused);
    }
    Ok(())
}

async fn connect(address: &str) -> Result<Client, tokio_postgres::Error> {
    let (host, port) = address.rsplit_once(':').unwrap_or((address, ""));
    let config = format!("host={host} port={port} user={REPLICA_USER}");
    let (client, connection) = tokio_postgres::connect(&config, NoTls).await?;
    // The task ends with the client, whose requests report its errors.
    drop(tokio::spawn(connection));
    Ok(client)
}

async fn pull_once(
    client: &Client,
    statement: &Statement,
    log_position: LogPosition,
) -> Result<PullResponse, PullError> {
    let params = [log_position.term, log_position.position, MAX_PULL_ENTRIES];
    let rows = client
        .query(statement, &[&params[0], &params[1], &params[2]])
        .await?;
    let Some(first) = rows.first() else {
        return Err(PullError::Refused);
    };
    Ok(PullResponse {
        term: first.try_get(0)?,
        common: LogPosition {
            term: first.try_get(1)?,
            position: first.try_get(2)?,
        },
        entries: rows[1..]
            .iter()
            .map(parse_entry)
            .collect::<Result<_, _>>()?,
    })
}

fn parse_entry(row: &Row) -> Result<Entry, PullError> {
    let log_position = LogPosition {
        term: row.try_get(3)?,
        position: row.try_get(4)?,
    };
    let statements = serde_json::from_str(row.try_get(5)?)?;
    Ok(Entry {
        log_position,
        statements,
    })
}

/// Adds the pulled entries to the log and returns the position of the next pull.
fn apply_response(shared: &Shared, response: PullResponse) -> Result<LogPosition, PullError> {
    let next = {
        let mut node = shared.node();
        let now = Instant::now();
        if !node.accept_primary(response.term, now) {
            return Err(PullError::Refused);
        }
        let retry_position = node.receive_entries(response.common, response.entries, now);
        retry_position.unwrap_or_else(|| node.pull_position())
    };
    shared.advance_log();
    shared.advance_wakeup.notify_one();
    Ok(next)
}
