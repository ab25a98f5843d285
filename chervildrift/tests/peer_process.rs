//! Peer processes that are killed or stopped with calls in flight.

mod support;

use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use chervildrift::peer::{Error, Handle, Inbound};
use support::{KEY, answer, bind, bind_client, options, request, within};

/// Set in the process that serves.
const SERVES: &str = "CHERVILDRIFT_TEST_SERVES";

/// Marks the line with the address.
const ADDRESS: &str = "address ";

/// Longest time until a dead or frozen peer is noticed.
const DETECTION: Duration = Duration::from_secs(1);

/// A serving process, which ends with the test.
struct Process {
    child: Child,
    address: SocketAddr,
}

impl Process {
    fn start() -> Self {
        let mut child = Command::new(std::env::current_exe().unwrap())
            .args(["--exact", "serving_process", "--nocapture"])
            .env(SERVES, "1")
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let address = lines.map_while(Result::ok).find_map(|line| {
            let at = line.find(ADDRESS)?;
            line[at + ADDRESS.len()..].parse().ok()
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

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Serves in the process that the other tests start; passes at once otherwise.
#[test]
fn serving_process() {
    if std::env::var_os(SERVES).is_none() {
        return;
    }
    let (handle, mut inbound) = bind(options("process", KEY));
    println!("{ADDRESS}{}", handle.address());
    let mut held = Vec::new();
    while let Some(call) = inbound.blocking_recv() {
        match call {
            Inbound::Forward { reply, .. } => held.push(reply),
            other => answer(other),
        }
    }
}

/// Starts calls that the process never answers, over all threads, and waits until they are sent.
async fn pending(
    client: &Handle,
    to: SocketAddr,
) -> Vec<tokio::task::JoinHandle<Result<chervildrift::peer::Reply, Error>>> {
    let calls = (0..64).map(|_| {
        let client = client.clone();
        tokio::spawn(async move { client.forward(to, request("k"), within(10_000)).await })
    });
    let calls = calls.collect();
    // Pongs keep the links alive beyond the limit of silence while calls are in flight.
    tokio::time::sleep(DETECTION).await;
    assert_eq!(client.counts().failed.get(), 0);
    calls
}

/// Guards against calls that hang when the process of their peer is killed.
#[tokio::test]
async fn killed_process() {
    let mut process = Process::start();
    let client = bind_client();
    let calls = pending(&client, process.address).await;
    let begin = Instant::now();
    process.child.kill().unwrap();
    for call in calls {
        let error = call.await.unwrap().unwrap_err();
        assert_eq!(error, Error::Disconnected { sent: true });
    }
    assert!(begin.elapsed() < DETECTION);
}

/// Guards against calls that hang when the process of their peer is frozen, and against a link
/// that does not recover afterwards.
#[tokio::test]
async fn stopped_process() {
    let process = Process::start();
    let client = bind_client();
    let calls = pending(&client, process.address).await;
    let begin = Instant::now();
    process.signal("STOP");
    for call in calls {
        let error = call.await.unwrap().unwrap_err();
        assert_eq!(error, Error::Unresponsive { sent: true });
    }
    assert!(begin.elapsed() < DETECTION);
    process.signal("CONT");
    while client.ping(process.address, within(500)).await.is_err() {
        assert!(begin.elapsed() < DETECTION * 5);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
