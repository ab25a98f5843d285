//! Calls over a working peer link, and orderly stops.

mod support;

use std::time::Duration;

use chervildrift::peer::message::{GroupState, Handover, TransactionStep, UpstreamState};
use chervildrift::peer::{Error, Inbound, Reply, ReplyState};
use chervildrift_core::generation::{Answer, Body, BundleHash, Patch};
use chervildrift_core::types::{GroupId, LogPosition, Term};
use support::{KEY, bind, bind_answering, bind_client, next_forwarded, options, request, within};

/// Guards against fields of a request or reply that are lost or altered in transit.
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
        state: ReplyState::Failed {
            code: "constraint".into(),
            message: "duplicate".into(),
        },
        answer: b"[1]".to_vec(),
        position: Some(LogPosition::new(3, 10)),
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
        let (request, reply_sender) = next_forwarded(&mut inbound).await;
        reply_sender.send(reply.clone()).unwrap();
        request
    };
    let (answer, mut received) = tokio::join!(call, serve);
    assert_eq!(answer.unwrap(), reply);
    assert!(received.remaining > Duration::from_millis(500));
    received.remaining = sent.remaining;
    assert_eq!(received, sent);
}

/// Guards against a type of call that is not served or gets the response of another type.
#[tokio::test]
async fn every_call_type() {
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
    let reply = client.transaction(to, TransactionStep::Commit, request("k"), within(1000));
    assert_eq!(reply.await.unwrap().state, ReplyState::Done);
    let state = client.group_state(to, group, within(1000)).await;
    assert_eq!(state.unwrap(), None);
    let answer = client.bundle(to, BundleHash::of(b"b"), None, within(1000));
    assert_eq!(answer.await.unwrap(), Answer::Busy);
    client.burn_delta(to, vec![1], within(1000)).await.unwrap();
    assert!(client.handover(to, handover, within(1000)).await.unwrap());
    client.ping(to, within(1000)).await.unwrap();
    assert_eq!(client.counters().opened.get(), 1);
}

/// Guards against calls that continue after their caller gave up or their deadline passed.
#[tokio::test]
async fn abandoned_calls() {
    let (server, mut inbound) = bind(options("server", KEY));
    let client = bind_client();
    let call = client.forward(server.address(), request("late"), within(100));
    let timed_out = call.await.unwrap_err();
    assert_eq!(timed_out, Error::Deadline { sent: true });
    let call = client.forward(server.address(), request("left"), within(10_000));
    let abandoned = tokio::time::timeout(Duration::from_millis(100), call).await;
    abandoned.unwrap_err();
    for _ in 0..2 {
        let (_, mut reply) = next_forwarded(&mut inbound).await;
        let closed = tokio::time::timeout(Duration::from_secs(1), reply.closed());
        closed
            .await
            .expect("the server must cancel an abandoned call");
    }
}

/// Guards against a stop that cuts off a call in flight, or that accepts calls afterwards.
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
    assert_eq!(answer.unwrap().state, ReplyState::Done);
    let after = client.forward(to, request("k"), within(1000)).await;
    assert!(!after.unwrap_err().sent());
    let self_ping = server.ping(to, within(1000)).await;
    assert_eq!(self_ping.unwrap_err(), Error::Stopped { sent: false });
}

/// Guards against a planned stop under load that leaves the outcome of a call unknown.
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
                    Ok(reply) => assert_eq!(reply.state, ReplyState::Done),
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

/// Guards against a stop that cuts off outgoing calls of the stopping VM.
#[tokio::test]
async fn stop_of_caller() {
    let (server, mut inbound) = bind(options("server", KEY));
    let client = bind_client();
    let call = client.forward(server.address(), request("k"), within(2000));
    let stop = async {
        let (request, reply) = next_forwarded(&mut inbound).await;
        let late_reply = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            reply.send(support::done_reply(&request)).unwrap();
        };
        tokio::join!(client.stop(Duration::from_secs(1)), late_reply);
    };
    let (answer, ()) = tokio::join!(call, stop);
    assert_eq!(answer.unwrap().state, ReplyState::Done);
}

/// Guards against bundles or patches that are altered in transit, and against a bundle that is too
/// large and breaks the link.
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
        let expected = match answer {
            Answer::Body(body) if body.size() > 8 << 20 => Answer::Unknown,
            answer => answer,
        };
        assert_eq!(received.unwrap(), expected);
    }
    assert_eq!(client.counters().failed.get(), 0);
}
