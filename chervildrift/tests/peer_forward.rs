//! Calls over a healthy peer link.

mod support;

use std::time::Duration;

use chervildrift::peer::message::{GroupState, Handover, Step, UpstreamState};
use chervildrift::peer::{Error, Inbound, Reply, State};
use chervildrift_core::generation::{Answer, Body, BundleHash, Patch};
use chervildrift_core::types::{GroupId, LogPosition, Term};
use support::{KEY, bind, bind_answering, bind_client, next_forwarded, options, request, within};

/// Guards against a field of a request or reply that is lost or changed on the way.
#[tokio::test]
async fn every_field_arrives() {
    let (server, mut inbound) = bind(options("server", KEY));
    let sent = request("key-1");
    let state = UpstreamState {
        received: LogPosition::new(3, 10),
        applied: LogPosition::new(3, 8),
        age: Some(Duration::from_millis(70)),
        load: [4, 5, 6],
    };
    let reply = Reply {
        state: State::Failed {
            code: "constraint".into(),
            message: "duplicate".into(),
        },
        answer: b"[1]".to_vec(),
        mark: Some(LogPosition::new(3, 10)),
        group: Some(GroupState {
            primary: Some(1),
            term: Term(3),
            upstreams: [UpstreamState::default(), state].into_iter().collect(),
        }),
        load: [7, 8, 9],
        generation: 13,
    };
    let client = bind_client();
    let call = client.forward(server.address(), sent.clone(), within(1000));
    let serve = async {
        let (request, to) = next_forwarded(&mut inbound).await;
        to.send(reply.clone()).unwrap();
        request
    };
    let (answer, mut received) = tokio::join!(call, serve);
    assert_eq!(answer.unwrap(), reply);
    assert!(received.remaining > Duration::from_millis(500));
    received.remaining = sent.remaining;
    assert_eq!(received, sent);
}

/// Guards against a call that is mixed up with another or not served at all.
#[tokio::test]
async fn other_calls() {
    let server = bind_answering("server");
    let client = bind_client();
    let to = server.address();
    let group = GroupId {
        service: "ring-ledger".into(),
        instance: "1".into(),
    };
    let handover = Handover {
        group: group.clone(),
        upstream: "ring-1-a".into(),
        generation: 4,
        state: b"{}".to_vec(),
    };
    let reply = client.transaction(to, Step::Commit, request("k"), within(1000));
    assert_eq!(reply.await.unwrap().state, State::Done);
    let state = client.group_state(to, group, within(1000)).await;
    assert_eq!(state.unwrap(), None);
    let answer = client.bundle(to, BundleHash::of(b"b"), None, within(1000));
    assert_eq!(answer.await.unwrap(), Answer::Busy);
    client.burn_delta(to, vec![1], within(1000)).await.unwrap();
    assert!(client.handover(to, handover, within(1000)).await.unwrap());
    client.ping(to, within(1000)).await.unwrap();
    assert_eq!(client.counts().opened.get(), 1);
}

/// Guards against calls that outlive their caller or their deadline.
#[tokio::test]
async fn dropped_calls() {
    let (server, mut inbound) = bind(options("server", KEY));
    let client = bind_client();
    let call = client.forward(server.address(), request("late"), within(100));
    let late = call.await.unwrap_err();
    assert_eq!(late, Error::Deadline { sent: true });
    let call = client.forward(server.address(), request("left"), within(10_000));
    let left = tokio::time::timeout(Duration::from_millis(100), call).await;
    left.unwrap_err();
    for _ in 0..2 {
        let (_, mut reply) = next_forwarded(&mut inbound).await;
        let closed = tokio::time::timeout(Duration::from_secs(1), reply.closed());
        closed.await.expect("the server still works for nobody");
    }
}

/// Guards against a stop that cuts a call in flight, and against calls after it.
#[tokio::test]
async fn orderly_stop() {
    let (server, mut inbound) = bind(options("server", KEY));
    let client = bind_client();
    let to = server.address();
    let call = client.forward(to, request("k"), within(2000));
    let stop = async {
        let (request, reply) = next_forwarded(&mut inbound).await;
        let clone = server.clone();
        let stopped = tokio::spawn(async move { clone.stop(Duration::from_secs(1)).await });
        tokio::time::sleep(Duration::from_millis(50)).await;
        reply.send(support::done_reply(&request)).unwrap();
        stopped.await.unwrap();
    };
    let (answer, ()) = tokio::join!(call, stop);
    assert_eq!(answer.unwrap().state, State::Done);
    let after = client.forward(to, request("k"), within(1000)).await;
    assert!(!after.unwrap_err().sent());
    let own = server.ping(to, within(1000)).await;
    assert_eq!(own.unwrap_err(), Error::Stopped { sent: false });
}

/// Guards against a planned stop that leaves the outcome of a call open.
#[tokio::test]
async fn busy_stop() {
    let server = bind_answering("server");
    let client = bind_client();
    let to = server.address();
    let callers = (0..32).map(|_| {
        let client = client.clone();
        tokio::spawn(async move {
            loop {
                match client.forward(to, request("k"), within(2000)).await {
                    Ok(reply) => assert_eq!(reply.state, State::Done),
                    Err(error) => return error,
                }
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    tokio::time::sleep(Duration::from_millis(100)).await;
    server.stop(Duration::from_secs(1)).await;
    for caller in callers {
        let error = caller.await.unwrap();
        assert!(!error.sent(), "{error}");
    }
}

/// Guards against a stop that cuts the calls which this VM itself has in flight.
#[tokio::test]
async fn stop_of_caller() {
    let (server, mut inbound) = bind(options("server", KEY));
    let client = bind_client();
    let call = client.forward(server.address(), request("k"), within(2000));
    let stop = async {
        let (request, reply) = next_forwarded(&mut inbound).await;
        let late = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            reply.send(support::done_reply(&request)).unwrap();
        };
        tokio::join!(client.stop(Duration::from_secs(1)), late);
    };
    let (answer, ()) = tokio::join!(call, stop);
    assert_eq!(answer.unwrap().state, State::Done);
}

/// Guards against a bundle or patch that changes on the way, and against an oversized bundle that
/// breaks the link.
#[tokio::test]
async fn bundles_arrive() {
    let (server, mut inbound) = bind(options("server", KEY));
    let client = bind_client();
    let (old, new) = (b"the old bundle", b"the new bundle");
    let (base, hash) = (BundleHash::of(old), BundleHash::of(new));
    let patch = Patch::between(old, base, new, hash);
    let large: std::sync::Arc<[u8]> = vec![0; 9 << 20].into();
    let answers = [
        Answer::Body(Body::Patches(vec![patch.clone(), patch])),
        Answer::Body(Body::Whole(new.as_slice().into())),
        Answer::Body(Body::Whole(large)),
        Answer::Unknown,
    ];
    for answer in answers {
        let call = client.bundle(server.address(), hash, Some(base), within(2000));
        let serve = async {
            let (from, reply) = loop {
                match inbound.recv().await.unwrap() {
                    Inbound::Bundle { from, reply, .. } => break (from, reply),
                    other => support::answer(other),
                }
            };
            assert_eq!(from.as_str(), "caller");
            reply.send(answer.clone()).unwrap();
        };
        let (received, ()) = tokio::join!(call, serve);
        let carried = match answer {
            Answer::Body(body) if body.size() > 8 << 20 => Answer::Unknown,
            answer => answer,
        };
        assert_eq!(received.unwrap(), carried);
    }
    assert_eq!(client.counts().failed.get(), 0);
}
