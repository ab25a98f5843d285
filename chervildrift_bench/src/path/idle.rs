//! Memory of idle caller connections.

use std::time::Duration;

use chervildrift::try_out::DemoFleet;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::error::Error;
use super::usage::resident_bytes;

/// Greatest number of connections to open at each VM; its own limit may be lower.
const MAX_CONNECTIONS_PER_VM: usize = 2_500;

/// Time without an answer after which a VM is considered to be at its connection limit.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for connections of earlier phases to close.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Request that makes a connection allocate its buffers before it goes idle.
const REQUEST: &[u8] = b"GET /v1 HTTP/1.1\r\nhost: idle\r\n\r\n";

/// Size of the buffer for the answer.
const ANSWER_BYTES: usize = 1_024;

/// Opens idle connections and prints by how much each one grows the resident set.
pub(super) async fn measure(fleet: &DemoFleet) -> Result<(), Error> {
    sleep(SETTLE_TIME).await;
    let bytes_before = resident_bytes()?;
    let mut connections = Vec::new();
    for address in fleet.callers() {
        for _ in 0..MAX_CONNECTIONS_PER_VM {
            let mut stream = TcpStream::connect(address).await?;
            if !send_request(&mut stream).await? {
                break;
            }
            connections.push(stream);
        }
    }
    sleep(SETTLE_TIME).await;
    let growth = resident_bytes()?.saturating_sub(bytes_before);
    let kib_each = growth as f64 / 1_024.0 / connections.len().max(1) as f64;
    println!(
        "\nIdle connections: {}, {kib_each:.1} KiB each (client side included)",
        connections.len()
    );
    Ok(())
}

async fn send_request(stream: &mut TcpStream) -> Result<bool, Error> {
    stream.write_all(REQUEST).await?;
    let mut answer = [0; ANSWER_BYTES];
    match timeout(ANSWER_TIMEOUT, stream.read(&mut answer)).await {
        Ok(read) => Ok(read? > 0),
        Err(_elapsed) => Ok(false),
    }
}
