//! Shared helpers of the upstream stand-in's tests.

#![allow(dead_code, reason = "each test file uses some of the helpers")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use chervildrift_standin::upstream::{Handle, LogPosition, Options, spawn};
use tokio::time::sleep;
use tokio_postgres::error::SqlState;
use tokio_postgres::{Client, Error, NoTls, Row};

/// Timeout for a condition to become true.
const WAIT_TIMEOUT: Duration = Duration::from_secs(3);

/// Seed of random tests unless `CHERVILDRIFT_SEED` sets another.
const DEFAULT_SEED: u64 = 20_261_204;

pub fn primary() -> Handle {
    spawn(Options::default()).expect("spawn")
}

pub fn replica(primary: &Handle) -> Handle {
    spawn(Options::replica(primary.address())).expect("spawn")
}

pub async fn try_connect(address: SocketAddr, user: &str) -> Result<Client, Error> {
    let config = format!("host={} port={} user={user}", address.ip(), address.port());
    let (client, connection) = tokio_postgres::connect(&config, NoTls).await?;
    drop(tokio::spawn(connection));
    Ok(client)
}

pub async fn connect(handle: &Handle) -> Client {
    try_connect(handle.address(), "test")
        .await
        .expect("connect")
}

pub async fn grant(client: &Client, call: &str) -> bool {
    let sql = format!("SELECT * FROM {call}");
    client
        .query_one(&sql, &[])
        .await
        .expect("grant")
        .get("granted")
}

pub async fn status(client: &Client) -> Row {
    let sql = "SELECT * FROM chervildrift_status()";
    client.query_one(sql, &[]).await.expect("status")
}

pub async fn count(client: &Client) -> i64 {
    let sql = "SELECT count(*) FROM notes";
    client.query_one(sql, &[]).await.expect("count").get(0)
}

pub async fn insert(client: &Client, id: i64) -> Result<u64, Error> {
    let sql = "INSERT INTO notes (id, body) VALUES ($1, $2)";
    client.execute(sql, &[&id, &"text"]).await
}

pub async fn create(client: &Client) {
    let sql = "CREATE TABLE notes (id bigint PRIMARY KEY, body text)";
    client.batch_execute(sql).await.expect("create");
}

pub fn sql_state(err: &Error) -> Option<&SqlState> {
    err.code()
}

pub const fn position(term: i64, position: i64) -> LogPosition {
    LogPosition { term, position }
}

/// Waits until a condition holds.
pub async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "{what} took too long");
        sleep(Duration::from_millis(2)).await;
    }
}

/// Waits until a replica has applied the whole log of its primary.
pub async fn wait_caught_up(replica: &Handle, primary: &Handle) {
    wait_until("replication", || {
        replica.status().applied == primary.status().received
    })
    .await;
}

pub fn seed() -> u64 {
    env_or("CHERVILDRIFT_SEED", DEFAULT_SEED)
}

pub fn cases(default: u32) -> u32 {
    env_or("CHERVILDRIFT_CASES", default)
}

fn env_or<T: std::str::FromStr>(name: &str, default: T) -> T {
    let value = std::env::var(name).ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}
