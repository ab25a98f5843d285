//! Measures the statement rate of an upstream stand-in.

use std::error::Error;
use std::time::{Duration, Instant};

use chervildrift_standin::upstream::{Fault, Handle, Options, spawn};
use futures::future::try_join_all;
use tokio_postgres::types::Type;
use tokio_postgres::{Client, NoTls};

const CONNECTIONS: usize = 16;
const MEASURE_TIME: Duration = Duration::from_secs(2);
/// Time for active pulls to end.
const PULL_DRAIN: Duration = Duration::from_millis(100);
const RECORD_COUNT: i64 = 10_000;

type BoxError = Box<dyn Error + Send + Sync>;

#[tokio::main]
async fn main() -> Result<(), BoxError> {
    let primary = spawn(Options::default())?;
    let replica = spawn(Options::replica(primary.address()))?;
    let mut clients = Vec::new();
    for _ in 0..CONNECTIONS {
        clients.push(connect(&primary).await?);
    }
    let sql = "CREATE TABLE notes (id bigint PRIMARY KEY, body text)";
    clients[0].batch_execute(sql).await?;

    let writes = measure(
        &clients,
        "INSERT INTO notes VALUES ($1, 'x') ON CONFLICT DO NOTHING",
    )
    .await?;
    println!("prepared writes/s: {writes}");
    let sql = "SELECT body FROM notes WHERE id = $1";
    println!("prepared reads/s: {}", measure(&clients, sql).await?);
    println!(
        "unprepared reads/s: {}",
        measure_unprepared(&clients, sql).await?
    );

    let start = Instant::now();
    while replica.status().applied != primary.status().received {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    println!("entries: {}", primary.status().received.position);
    println!("replica caught up after: {:?}", start.elapsed());
    let (total, longest) = rejoin(&primary, &replica, &clients[0]).await?;
    println!("rejoin of the diverged primary: {total:?}, longest status read: {longest:?}");
    Ok(())
}

/// Promotes the replica and measures the time in which the former primary rebuilds its state.
async fn rejoin(
    former: &Handle,
    next: &Handle,
    client: &Client,
) -> Result<(Duration, Duration), BoxError> {
    former.set_fault(Fault::CutReplication, 1);
    tokio::time::sleep(PULL_DRAIN).await;
    client
        .batch_execute("INSERT INTO notes VALUES (-1, '')")
        .await?;
    let promoter = connect(next).await?;
    promoter
        .batch_execute("SELECT chervildrift_fence(2, 'rate')")
        .await?;
    promoter
        .batch_execute("SELECT chervildrift_promote(2, 'rate')")
        .await?;
    former.set_fault(Fault::CutReplication, 0);
    let start = Instant::now();
    let mut longest = Duration::ZERO;
    if !former.follow(&next.address().to_string(), 2) {
        return Err("the former primary does not follow".into());
    }
    while former.status().applied != next.status().received {
        let sent_at = Instant::now();
        client
            .batch_execute("SELECT * FROM chervildrift_status()")
            .await?;
        longest = longest.max(sent_at.elapsed());
    }
    Ok((start.elapsed(), longest))
}

async fn connect(handle: &Handle) -> Result<Client, BoxError> {
    let address = handle.address();
    let config = format!("host={} port={} user=rate", address.ip(), address.port());
    let (client, connection) = tokio_postgres::connect(&config, NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// Returns the prepared statements per second over all connections, one at a time on each.
async fn measure(clients: &[Client], sql: &str) -> Result<u64, BoxError> {
    let start = Instant::now();
    let run = |client| async move {
        let statement = Client::prepare(client, sql).await?;
        let mut done = 0;
        while start.elapsed() < MEASURE_TIME {
            let id = done % RECORD_COUNT;
            client.query(&statement, &[&id]).await?;
            done += 1;
        }
        Ok::<_, tokio_postgres::Error>(done)
    };
    rate(try_join_all(clients.iter().map(run)).await?)
}

/// Returns the rate of statements that are parsed at each execution.
async fn measure_unprepared(clients: &[Client], sql: &str) -> Result<u64, BoxError> {
    let start = Instant::now();
    let run = |client| async move {
        let mut done = 0;
        while start.elapsed() < MEASURE_TIME {
            let id = done % RECORD_COUNT;
            Client::query_typed(client, sql, &[(&id, Type::INT8)]).await?;
            done += 1;
        }
        Ok::<_, tokio_postgres::Error>(done)
    };
    rate(try_join_all(clients.iter().map(run)).await?)
}

fn rate(done: Vec<i64>) -> Result<u64, BoxError> {
    let total = u64::try_from(done.into_iter().sum::<i64>())?;
    Ok(total / MEASURE_TIME.as_secs())
}
