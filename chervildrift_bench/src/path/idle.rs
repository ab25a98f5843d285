//! Memory of idle caller connections.

use std::time::Duration;

use chervildrift::try_out::DemoFleet;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::error::Error;
use super::usage::resident;

/// Connections to open at each VM, if its limit allows.
const WANTED: usize = 2_500;

/// Time without an answer after which a VM is taken to accept no more connections.
const REFUSED_AFTER: Duration = Duration::from_millis(500);

/// Time in which connections of earlier phases close.
const SETTLE: Duration = Duration::from_millis(500);

/// Request that makes a connection allocate its buffers before it goes idle.
const REQUEST: &[u8] = b"GET /v1 HTTP/1.1\r\nhost: idle\r\n\r\n";

/// Bytes of the buffer that takes the answer.
const ANSWER_BYTES: usize = 1_024;

/// Opens idle connections and prints the growth of the resident set for each.
pub(super) async fn measure(embedded: &DemoFleet) -> Result<(), Error> {
    sleep(SETTLE).await;
    let before = resident()?;
    let mut open = Vec::new();
    for address in embedded.callers() {
        for _ in 0..WANTED {
            let mut stream = TcpStream::connect(address).await?;
            if !answered(&mut stream).await? {
                break;
            }
            open.push(stream);
        }
    }
    sleep(SETTLE).await;
    let grown = resident()?.saturating_sub(before);
    let each = grown as f64 / 1_024.0 / open.len().max(1) as f64;
    println!(
        "\nIdle connections: {}, {each:.1} KiB each (client side included)",
        open.len()
    );
    Ok(())
}

async fn answered(stream: &mut TcpStream) -> Result<bool, Error> {
    stream.write_all(REQUEST).await?;
    let mut answer = [0; ANSWER_BYTES];
    match timeout(REFUSED_AFTER, stream.read(&mut answer)).await {
        Ok(read) => Ok(read? > 0),
        Err(_elapsed) => Ok(false),
    }
}
