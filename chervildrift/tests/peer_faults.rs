//! Peer links whose other side fails, is foreign or is flooded.

mod support;

use std::io;
use std::net::TcpListener;
use std::time::{Duration, Instant};

use chervildrift::peer::{Error, Handle, Limits, Options, State};
use support::{
    KEY, address, bind, bind_answering, bind_client, next_forwarded, options, request, within,
};
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpStream;

/// Longest time until a dead or frozen peer is noticed.
const DETECTION: Duration = Duration::from_secs(1);

fn limited(limits: Limits) -> Options {
    Options {
        limits,
        ..options("limited", KEY)
    }
}

/// Guards against a VM of another fleet that reaches this one, in either direction.
#[tokio::test]
async fn foreign_key() {
    let server = bind_answering("server");
    let (client, _inbound) = bind(options("foreign", b"another key of a fleet"));
    let call = client.forward(server.address(), request("k"), within(2000));
    assert_eq!(call.await.unwrap_err(), Error::Foreign);
    let waited = Instant::now();
    while server.counts().foreign.get() == 0 {
        assert!(waited.elapsed() < DETECTION);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(server.counts().accepted.get(), 0);
}

/// Guards against callers that wait for a peer which accepts connections and never answers.
#[tokio::test]
async fn frozen_listener() {
    let frozen = TcpListener::bind(address()).unwrap();
    let to = frozen.local_addr().unwrap();
    let client = bind_client();
    let begin = Instant::now();
    let error = client.forward(to, request("k"), within(10_000)).await;
    assert_eq!(error.unwrap_err(), Error::Unresponsive { sent: false });
    assert!(begin.elapsed() < DETECTION);
    // The failure is remembered, so that the next call goes elsewhere at once.
    let begin = Instant::now();
    let error = client.forward(to, request("k"), within(10_000)).await;
    assert_eq!(error.unwrap_err(), Error::Unresponsive { sent: false });
    assert!(begin.elapsed() < DETECTION / 4);
}

/// Guards against callers that wait for a peer whose event loop has stopped.
#[tokio::test]
async fn frozen_loop() {
    let (server, mut inbound) = bind(options("server", KEY));
    let client = bind_client();
    let first = client.ping(server.address(), within(2000));
    // The link's own ping may come first.
    let answers = async {
        loop {
            support::answer(inbound.recv().await.unwrap());
        }
    };
    tokio::select! {
        pong = first => pong.unwrap(),
        () = answers => unreachable!(),
    };
    let begin = Instant::now();
    let call = client.forward(server.address(), request("k"), within(10_000));
    assert_eq!(call.await.unwrap_err(), Error::Unresponsive { sent: true });
    assert!(begin.elapsed() < DETECTION);
}

/// Guards against calls that hang, or are called unsent, when their peer dies.
#[tokio::test]
async fn killed_peer() {
    let (server, mut inbound) = bind(options("server", KEY));
    let to = server.address();
    let client = bind_client();
    let calls: Vec<_> = (0..20)
        .map(|_| {
            let client = client.clone();
            tokio::spawn(async move { client.forward(to, request("k"), within(10_000)).await })
        })
        .collect();
    let mut held = Vec::new();
    for _ in 0..calls.len() {
        held.push(next_forwarded(&mut inbound).await);
    }
    // The threads end with the last handle, and their sockets with them.
    drop(server);
    let begin = Instant::now();
    for call in calls {
        let error = call.await.unwrap().unwrap_err();
        assert_eq!(error, Error::Disconnected { sent: true });
    }
    assert!(begin.elapsed() < DETECTION);
    let refused = Error::Unreachable(io::ErrorKind::ConnectionRefused);
    let after = client.forward(to, request("k"), within(2000)).await;
    assert_eq!(after.unwrap_err(), refused);
}

/// Silent connections of a flood.
const FLOOD: u64 = 200;

/// Connections of one thread that may be half open.
const HALF_OPEN: usize = 8;

/// Opens silent connections, then makes a call as a member.
async fn flood(server: &Handle) -> Vec<TcpStream> {
    let mut flood = Vec::new();
    for _ in 0..FLOOD {
        flood.push(TcpStream::connect(server.address()).await.unwrap());
    }
    let client = bind_client();
    let reply = client.forward(server.address(), request("k"), within(2000));
    assert_eq!(reply.await.unwrap().state, State::Done);
    flood
}

/// Tells whether a silent connection is closed in time.
async fn closes(silent: &mut TcpStream) -> bool {
    let mut byte = [0];
    match tokio::time::timeout(DETECTION, silent.read(&mut byte)).await {
        Ok(read) => !matches!(read, Ok(1..)),
        Err(_) => false,
    }
}

fn flooded(hello: Duration) -> Handle {
    let (server, mut inbound) = bind(limited(Limits {
        half_open: HALF_OPEN,
        hello,
        ..Limits::default()
    }));
    tokio::spawn(async move {
        while let Some(call) = inbound.recv().await {
            support::answer(call);
        }
    });
    server
}

/// Guards against a flood of silent connections that keeps members out, before any is late.
#[tokio::test]
async fn half_open_flood() {
    let server = flooded(Duration::from_secs(60));
    let mut flood = flood(&server).await;
    let limit = (HALF_OPEN * Limits::default().threads) as u64;
    for silent in flood.iter_mut().take((FLOOD - limit) as usize) {
        assert!(closes(silent).await);
    }
    assert!(server.counts().crowded.get() >= FLOOD - limit);
    assert_eq!(server.counts().late.get(), 0);
}

/// Guards against silent connections that stay open.
#[tokio::test]
async fn late_hello() {
    let server = flooded(Duration::from_millis(300));
    for silent in &mut flood(&server).await {
        assert!(closes(silent).await);
    }
    let counts = server.counts();
    let waited = Instant::now();
    // A connection is closed just before it is counted.
    while counts.crowded.get() + counts.late.get() < FLOOD {
        assert!(waited.elapsed() < DETECTION);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(counts.late.get() > 0);
}

/// Guards against calls that pile up behind a slow peer.
#[tokio::test]
async fn full_link() {
    let (server, mut inbound) = bind(options("server", KEY));
    let (client, _own) = bind(limited(Limits {
        calls: 4,
        ..Limits::default()
    }));
    let to = server.address();
    let mut calls = Vec::new();
    let mut held = Vec::new();
    for _ in 0..4 {
        let client = client.clone();
        calls.push(tokio::spawn(async move {
            client.forward(to, request("k"), within(5000)).await
        }));
        held.push(next_forwarded(&mut inbound).await);
    }
    let begin = Instant::now();
    let error = client.forward(to, request("k"), within(5000)).await;
    assert_eq!(error.unwrap_err(), Error::Busy);
    assert!(begin.elapsed() < DETECTION / 4);
    for (request, reply) in held {
        reply.send(support::done_reply(&request)).unwrap();
    }
    for call in calls {
        assert_eq!(call.await.unwrap().unwrap().state, State::Done);
    }
}

/// Guards against links that are never closed, and against calls that fail after the close.
#[tokio::test]
async fn idle_link() {
    let server = bind_answering("server");
    let (client, _own) = bind(limited(Limits {
        idle: Duration::from_millis(100),
        ping: Duration::from_millis(20),
        ..Limits::default()
    }));
    for opened in 1..=3 {
        let reply = client.forward(server.address(), request("k"), within(2000));
        assert_eq!(reply.await.unwrap().state, State::Done);
        assert_eq!(client.counts().opened.get(), opened);
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    assert_eq!(client.counts().failed.get(), 0);
}
