//! Peer links and messages for tests.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod cases;
pub mod raw;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use chervildrift::peer::message::{Access, Idempotency, Pong, Statement};
use chervildrift::peer::{self, FleetKey, Handle, Inbound, Limits, Options, Reply, Request, State};
use chervildrift_core::generation::Answer;
use chervildrift_core::types::{LogPosition, Rank, Vm};
use tokio::sync::{mpsc, oneshot};

pub const KEY: &[u8] = b"a fleet key for tests";

pub fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub fn options(name: &str, key: &[u8]) -> Options {
    Options {
        address: address(),
        name: Vm::from(name),
        key: FleetKey::open(key).unwrap(),
        limits: Limits::default(),
    }
}

/// Binds links whose incoming calls the test answers itself.
pub fn bind(options: Options) -> (Handle, mpsc::Receiver<Inbound>) {
    let (sender, inbound) = mpsc::channel(1024);
    (peer::bind(options, sender).unwrap(), inbound)
}

/// Binds links that answer every incoming call.
pub fn bind_answering(name: &str) -> Handle {
    let (handle, mut inbound) = bind(options(name, KEY));
    tokio::spawn(async move {
        while let Some(call) = inbound.recv().await {
            answer(call);
        }
    });
    handle
}

/// Binds links that only make calls.
pub fn bind_client() -> Handle {
    bind(options("caller", KEY)).0
}

/// Waits for a forwarded request, and answers other calls such as pings.
pub async fn next_forwarded(
    inbound: &mut mpsc::Receiver<Inbound>,
) -> (Request, oneshot::Sender<Reply>) {
    loop {
        match inbound.recv().await.unwrap() {
            Inbound::Forward { request, reply } => return (request, reply),
            other => answer(other),
        }
    }
}

pub fn answer(call: Inbound) {
    match call {
        Inbound::Forward { request, reply } | Inbound::Transaction { request, reply, .. } => {
            let _ = reply.send(done_reply(&request));
        }
        Inbound::GroupState { reply, .. } => drop(reply.send(None)),
        Inbound::Bundle { reply, .. } => drop(reply.send(Answer::Busy)),
        Inbound::BurnDelta { reply, .. } => drop(reply.send(())),
        Inbound::Handover { reply, .. } => drop(reply.send(true)),
        Inbound::Ping { reply } => drop(reply.send(Pong::default())),
        Inbound::LinkFailed { .. } => {}
    }
}

pub fn done_reply(request: &Request) -> Reply {
    Reply {
        state: State::Done,
        answer: request.key.clone().into_bytes(),
        mark: request.token,
        group: None,
        load: [1, 2, 3],
        generation: request.generation,
    }
}

pub fn request(key: &str) -> Request {
    Request {
        id: 7,
        service: "ring-ledger".into(),
        kind: "confirm".into(),
        key: key.into(),
        caller: "farm-1".into(),
        rank: Rank::Routine,
        upstream: "ring-1-a".into(),
        statements: vec![Statement {
            sql: "SELECT $1".into(),
            params: "[1]".into(),
        }],
        token: Some(LogPosition::new(2, 9)),
        age_bound: Some(Duration::from_millis(250)),
        remaining: Duration::ZERO,
        idempotency: Some(Idempotency {
            key: "once".into(),
            digest: "d".into(),
        }),
        access: Access::Write,
        transaction: Some("vm-1/4".into()),
        generation: 12,
    }
}

/// Returns the deadline in `ms` milliseconds.
pub fn within(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}
