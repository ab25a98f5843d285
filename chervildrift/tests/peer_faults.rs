//! Peer links to a peer that fails, has a different fleet key or is flooded with connections.

mod support;

use std::io;
use std::net::TcpListener;
use std::time::{Duration, Instant};

use chervildrift::peer::{Error, Handle, Limits, Options, ReplyState};
use support::{
    KEY, address, bind, bind_answering, bind_client, next_forwarded, options, request, within,
};
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpStream;

/// Maximum time to detect a dead or frozen peer.
const MAX_DETECTION: Duration = Duration::from_secs(1);

fn with_limits(limits: Limits) -> Options {
    Options {
        limits,
        ..options("limited", KEY)
    }
}

/// Guards against calls between VMs with different fleet keys.
#[tokio::test]
async fn different_fleet_key() {
    let server = bind_answering("server");
    let (client, _inbound) = bind(options("foreign", b"another key of a fleet"));
    let call = client.forward(server.address(), request("k"), within(2000));
    assert_eq!(call.await.unwrap_err(), Error::Unauthenticated);
    let start = Instant::now();
    while server.counters().unauthenticated.get() == 0 {
        assert!(start.elapsed() < MAX_DETECTION);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(server.counters().accepted.get(), 0);
}

/// Guards against calls that hang when a peer accepts connections but never replies.
#[tokio::test]
async fn frozen_listener() {
    let frozen = TcpListener::bind(address()).unwrap();
    let to = frozen.local_addr().unwrap();
    let client = bind_client();
    let start = Instant::now();
    let error = client.forward(to, request("k"), within(10_000)).await;
    assert_eq!(error.unwrap_err(), Error::Unresponsive { sent: false });
    assert!(start.elapsed() < MAX_DETECTION);
    // During the backoff, the next call fails at once, so that it can be routed elsewhere.
    let start = Instant::now();
    let error = client.forward(to, request("k"), within(10_000)).await;
    assert_eq!(error.unwrap_err(), Error::Unresponsive { sent: false });
    assert!(start.elapsed() < MAX_DETECTION / 4);
}

/// Guards against calls that hang when the event loop of a peer has stopped.
#[tokio::test]
async fn frozen_event_loop() {
    let (server, mut inbound) = bind(options("server", KEY));
    let client = bind_client();
    let first = client.ping(server.address(), within(2000));
    // The link may send a ping first.
    let answers = async {
        loop {
            support::answer(inbound.recv().await.unwrap());
        }
    };
    tokio::select! {
        pong = first => pong.unwrap(),
        () = answers => unreachable!(),
    };
    let start = Instant::now();
    let call = client.forward(server.address(), request("k"), within(10_000));
    assert_eq!(call.await.unwrap_err(), Error::Unresponsive { sent: true });
    assert!(start.elapsed() < MAX_DETECTION);
}

/// Guards against calls that hang, or are reported as not sent, when their peer dies.
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
    let mut pending_replies = Vec::new();
    for _ in 0..calls.len() {
        pending_replies.push(next_forwarded(&mut inbound).await);
    }
    // The threads end with the last handle, which closes their sockets.
    drop(server);
    let start = Instant::now();
    for call in calls {
        let error = call.await.unwrap().unwrap_err();
        assert_eq!(error, Error::Disconnected { sent: true });
    }
    assert!(start.elapsed() < MAX_DETECTION);
    let unreachable = Error::Unreachable(io::ErrorKind::ConnectionRefused);
    let after = client.forward(to, request("k"), within(2000)).await;
    assert_eq!(after.unwrap_err(), unreachable);
}

/// Number of connections in a flood that send nothing.
const FLOOD_CONNECTIONS: u64 = 200;

/// Maximum number of connections of one thread in the handshake.
const MAX_HALF_OPEN: usize = 8;

/// Opens connections that send nothing, then makes a call as a member of the fleet.
async fn open_flood(server: &Handle) -> Vec<TcpStream> {
    let mut flood = Vec::new();
    for _ in 0..FLOOD_CONNECTIONS {
        flood.push(TcpStream::connect(server.address()).await.unwrap());
    }
    let client = bind_client();
    let reply = client.forward(server.address(), request("k"), within(2000));
    assert_eq!(reply.await.unwrap().state, ReplyState::Done);
    flood
}

/// Returns whether the server closes a connection in time.
async fn closes_in_time(socket: &mut TcpStream) -> bool {
    let mut byte = [0];
    match tokio::time::timeout(MAX_DETECTION, socket.read(&mut byte)).await {
        Ok(read) => !matches!(read, Ok(1..)),
        Err(_) => false,
    }
}

fn bind_answering_limited(handshake_timeout: Duration) -> Handle {
    let (server, mut inbound) = bind(with_limits(Limits {
        max_half_open: MAX_HALF_OPEN,
        handshake_timeout,
        ..Limits::default()
    }));
    tokio::spawn(async move {
        while let Some(call) = inbound.recv().await {
            support::answer(call);
        }
    });
    server
}

/// Guards against a flood of idle connections that locks members out before the handshake timeout.
#[tokio::test]
async fn half_open_flood() {
    let server = bind_answering_limited(Duration::from_secs(60));
    let mut flood = open_flood(&server).await;
    let limit = (MAX_HALF_OPEN * Limits::default().threads) as u64;
    for socket in flood.iter_mut().take((FLOOD_CONNECTIONS - limit) as usize) {
        assert!(closes_in_time(socket).await);
    }
    assert!(server.counters().evicted.get() >= FLOOD_CONNECTIONS - limit);
    assert_eq!(server.counters().handshake_timeouts.get(), 0);
}

/// Guards against connections that send nothing and stay open.
#[tokio::test]
async fn handshake_timeout() {
    let server = bind_answering_limited(Duration::from_millis(300));
    for socket in &mut open_flood(&server).await {
        assert!(closes_in_time(socket).await);
    }
    let counters = server.counters();
    let start = Instant::now();
    // A connection is counted just after it is closed.
    while counters.evicted.get() + counters.handshake_timeouts.get() < FLOOD_CONNECTIONS {
        assert!(start.elapsed() < MAX_DETECTION);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(counters.handshake_timeouts.get() > 0);
}

/// Guards against an unbounded queue of calls to a slow peer.
#[tokio::test]
async fn call_limit_reached() {
    let (server, mut inbound) = bind(options("server", KEY));
    let (client, _inbound) = bind(with_limits(Limits {
        max_calls: 4,
        ..Limits::default()
    }));
    let to = server.address();
    let mut calls = Vec::new();
    let mut pending_replies = Vec::new();
    for _ in 0..4 {
        let client = client.clone();
        calls.push(tokio::spawn(async move {
            client.forward(to, request("k"), within(5000)).await
        }));
        pending_replies.push(next_forwarded(&mut inbound).await);
    }
    let start = Instant::now();
    let error = client.forward(to, request("k"), within(5000)).await;
    assert_eq!(error.unwrap_err(), Error::Busy);
    assert!(start.elapsed() < MAX_DETECTION / 4);
    for (request, reply) in pending_replies {
        reply.send(support::done_reply(&request)).unwrap();
    }
    for call in calls {
        assert_eq!(call.await.unwrap().unwrap().state, ReplyState::Done);
    }
}

/// Guards against idle links that are never closed, and against calls that fail after the closing.
#[tokio::test]
async fn idle_link() {
    let server = bind_answering("server");
    let (client, _inbound) = bind(with_limits(Limits {
        idle_timeout: Duration::from_millis(100),
        ping_interval: Duration::from_millis(20),
        ..Limits::default()
    }));
    for opened in 1..=3 {
        let reply = client.forward(server.address(), request("k"), within(2000));
        assert_eq!(reply.await.unwrap().state, ReplyState::Done);
        assert_eq!(client.counters().opened.get(), opened);
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    assert_eq!(client.counters().failed.get(), 0);
}
