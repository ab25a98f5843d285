//! Benchmark of requests forwarded between two processes, in requests per second.
//!
//! The program starts a second instance of itself as the server. Options: `--seconds N` (duration),
//! `--callers N` (calls in flight), `--threads N` (runtime threads of the callers),
//! `--peer-threads N` (threads for the links).

use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use chervildrift::peer::message::{Access, Pong, Statement};
use chervildrift::peer::{
    self, FleetKey, Handle, Inbound, Limits, Options, Reply, ReplyState, Request,
};
use chervildrift_core::types::{LogPosition, Rank, Vm};
use hdrhistogram::Histogram;
use tokio::sync::mpsc;

type BenchError = Box<dyn std::error::Error + Send + Sync>;

/// Flag of the instance that serves.
const SERVE_FLAG: &str = "--serve";

fn main() -> Result<(), BenchError> {
    let is_server = std::env::args().any(|argument| argument == SERVE_FLAG);
    let threads = option_or("--threads", 2);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(if is_server { 1 } else { threads })
        .enable_all()
        .build()?;
    runtime.block_on(async {
        if is_server {
            serve().await
        } else {
            measure().await
        }
    })
}

/// Returns the value of a numeric option, or its default.
fn option_or(option: &str, default: usize) -> usize {
    let mut arguments = std::env::args().skip_while(|argument| argument != option);
    arguments
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

fn bind(name: &str) -> Result<(Handle, mpsc::Receiver<Inbound>), BenchError> {
    let (sender, inbound) = mpsc::channel(65_536);
    let options = Options {
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        name: Vm::from(name),
        key: FleetKey::from_bytes(b"a fleet key for measurements")?,
        limits: Limits {
            threads: option_or("--peer-threads", Limits::default().threads),
            ..Limits::default()
        },
    };
    Ok((peer::bind(options, sender)?, inbound))
}

/// Replies to each call at once.
async fn serve() -> Result<(), BenchError> {
    let (handle, mut inbound) = bind("server")?;
    println!("{}", handle.address());
    while let Some(call) = inbound.recv().await {
        match call {
            Inbound::Forward { request, reply } => drop(reply.send(done_reply(&request))),
            Inbound::Ping { reply } => drop(reply.send(Pong::default())),
            _ => {}
        }
    }
    Ok(())
}

fn done_reply(request: &Request) -> Reply {
    Reply {
        state: ReplyState::Done,
        answer: b"[[1]]".to_vec(),
        position: request.min_position,
        group: None,
        load: [0; 3],
        generation: request.generation,
    }
}

fn request(id: u64) -> Request {
    Request {
        id,
        service: "ring-ledger".into(),
        kind: "confirm".into(),
        key: "farm-1".into(),
        caller: "caller-1".into(),
        rank: Rank::Urgent,
        upstream: "ring-1-a".into(),
        statements: vec![Statement {
            sql: "SELECT id FROM booking WHERE id = $1".into(),
            params: "[1]".into(),
        }],
        min_position: Some(LogPosition::new(1, 1)),
        age_bound: None,
        remaining: Duration::ZERO,
        idempotency: None,
        access: Access::Read,
        transaction: None,
        generation: 1,
    }
}

/// Starts the server process and reads its address from its output.
fn start_server() -> Result<(Child, SocketAddr), BenchError> {
    let mut child = Command::new(std::env::current_exe()?)
        .arg(SERVE_FLAG)
        .args(std::env::args().skip(1))
        .stdout(Stdio::piped())
        .spawn()?;
    let output = child.stdout.take().ok_or("no output")?;
    let mut line = String::new();
    BufReader::new(output).read_line(&mut line)?;
    Ok((child, line.trim().parse()?))
}

async fn measure() -> Result<(), BenchError> {
    let (mut child, server) = start_server()?;
    let (handle, _inbound) = bind("caller")?;
    let callers = option_or("--callers", 512);
    let duration = Duration::from_secs(option_or("--seconds", 5) as u64);
    let failed = Arc::new(AtomicU64::new(0));
    let start = Instant::now();
    let tasks: Vec<_> = (0..callers)
        .map(|_| {
            let task = call_until(
                handle.clone(),
                server,
                start + duration,
                Arc::clone(&failed),
            );
            tokio::spawn(task)
        })
        .collect();
    let mut latencies = Histogram::<u64>::new(3)?;
    for task in tasks {
        latencies.add(task.await??)?;
    }
    let rate = latencies.len() as f64 / start.elapsed().as_secs_f64();
    println!(
        "callers {callers}: {rate:.0} requests/s, p50 {} us, p99 {} us, failed {}",
        latencies.value_at_quantile(0.5),
        latencies.value_at_quantile(0.99),
        failed.load(Ordering::Relaxed),
    );
    child.kill()?;
    child.wait()?;
    Ok(())
}

/// Makes calls one after another until `end` and returns their latencies in microseconds.
async fn call_until(
    handle: Handle,
    server: SocketAddr,
    end: Instant,
    failed: Arc<AtomicU64>,
) -> Result<Histogram<u64>, BenchError> {
    let mut latencies = Histogram::new(3)?;
    while Instant::now() < end {
        let start = Instant::now();
        let deadline = start + Duration::from_secs(2);
        match handle.forward(server, request(1), deadline).await {
            Ok(_) => latencies.record(start.elapsed().as_micros() as u64)?,
            Err(_) => {
                failed.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
    Ok(latencies)
}
