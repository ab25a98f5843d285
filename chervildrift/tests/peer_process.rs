//! Peer processes that are killed or suspended with calls in flight.

mod support;

use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use chervildrift::peer::{Error, Handle, Inbound};
use support::{KEY, answer, bind, bind_client, options, request, within};

/// Environment variable that is set in the server process.
const SERVER_ENV: &str = "CHERVILDRIFT_TEST_SERVES";

/// Prefix of the output line with the address.
const ADDRESS_PREFIX: &str = "address ";

/// Maximum time to detect a dead or frozen peer.
const MAX_DETECTION: Duration = Duration::from_secs(1);

/// Server process, killed when it is dropped.
struct ServerProcess {
    child: Child,
    address: SocketAddr,
}

impl ServerProcess {
    fn start() -> Self {
        let mut child = Command::new(std::env::current_exe().unwrap())
            .args(["--exact", "serving_process", "--nocapture"])
            .env(SERVER_ENV, "1")
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let address = lines.map_while(Result::ok).find_map(|line| {
            let at = line.find(ADDRESS_PREFIX)?;
            line[at + ADDRESS_PREFIX.len()..].parse().ok()
        });
        Self {
            child,
            address: address.unwrap(),
        }
    }

    fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        let status = Command::new("sh").args(["-c", &command]).status();
        assert!(status.unwrap().success());
    }
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Entry point of the server process that the other tests start; otherwise does nothing.
#[test]
fn serving_process() {
    if std::env::var_os(SERVER_ENV).is_none() {
        return;
    }
    let (handle, mut inbound) = bind(options("process", KEY));
    println!("{ADDRESS_PREFIX}{}", handle.address());
    let mut pending_replies = Vec::new();
    while let Some(call) = inbound.blocking_recv() {
        match call {
            Inbound::Forward { reply, .. } => pending_replies.push(reply),
            other => answer(other),
        }
    }
}

/// Starts calls over all threads that the server never answers, and waits until they are sent.
async fn start_unanswered_calls(
    client: &Handle,
    to: SocketAddr,
) -> Vec<tokio::task::JoinHandle<Result<chervildrift::peer::Reply, Error>>> {
    let calls = (0..64).map(|_| {
        let client = client.clone();
        tokio::spawn(async move { client.forward(to, request("k"), within(10_000)).await })
    });
    let calls = calls.collect();
    // Pongs keep the links open beyond the ping timeout while calls are in flight.
    tokio::time::sleep(MAX_DETECTION).await;
    assert_eq!(client.counters().failed.get(), 0);
    calls
}

/// Guards against calls that hang when the process of the peer is killed.
#[tokio::test]
async fn killed_process() {
    let mut process = ServerProcess::start();
    let client = bind_client();
    let calls = start_unanswered_calls(&client, process.address).await;
    let start = Instant::now();
    process.child.kill().unwrap();
    for call in calls {
        let error = call.await.unwrap().unwrap_err();
        assert_eq!(error, Error::Disconnected { sent: true });
    }
    assert!(start.elapsed() < MAX_DETECTION);
}

/// Guards against calls that hang when the process of the peer is suspended, and against a link
/// that does not recover after it resumes.
#[tokio::test]
async fn stopped_process() {
    let process = ServerProcess::start();
    let client = bind_client();
    let calls = start_unanswered_calls(&client, process.address).await;
    let start = Instant::now();
    process.signal("STOP");
    for call in calls {
        let error = call.await.unwrap().unwrap_err();
        assert_eq!(error, Error::Unresponsive { sent: true });
    }
    assert!(start.elapsed() < MAX_DETECTION);
    process.signal("CONT");
    while client.ping(process.address, within(500)).await.is_err() {
        assert!(start.elapsed() < MAX_DETECTION * 5);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
