//! Membership messages over UDP.

mod support;

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use chervildrift::gossip::{self, Datagram, Handle, Options};
use chervildrift::peer::FleetKey;
use chervildrift_core::generation::{BundleHash, Version};
use chervildrift_core::membership::{
    Body, Change, Incarnation, MAX_DATAGRAM_BYTES, Message, Page, Place, State,
};
use chervildrift_core::types::{Vm, Zone};
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;
use proptest::sample::select;
use support::cases::cases;
use support::{KEY, address};
use tokio::sync::mpsc;

/// Size of the IP and UDP headers.
const HEADER_BYTES: usize = 28;

type InboundReceiver = tokio::sync::Mutex<mpsc::Receiver<Datagram>>;

fn bind(key: &[u8]) -> (Handle, InboundReceiver) {
    let (sender, inbound) = mpsc::channel(1024);
    let options = Options {
        address: address(),
        key: FleetKey::from_bytes(key).unwrap(),
    };
    (gossip::bind(&options, sender).unwrap(), inbound.into())
}

async fn next_datagram(inbound: &InboundReceiver) -> Datagram {
    let mut inbound = inbound.lock().await;
    let received = tokio::time::timeout(Duration::from_secs(2), inbound.recv());
    received
        .await
        .expect("no datagram arrived")
        .expect("the channel was closed")
}

fn vm() -> impl Strategy<Value = Vm> {
    "[a-z0-9-]{1,24}".prop_map(Vm::from)
}

fn incarnation() -> impl Strategy<Value = Incarnation> {
    (any::<u64>(), any::<u32>()).prop_map(|(boot, count)| Incarnation { boot, count })
}

fn change() -> impl Strategy<Value = Change> {
    let state = select(vec![
        State::Alive,
        State::Leaving,
        State::Suspect,
        State::Failed,
        State::Left,
    ]);
    let place = ("[a-z-]{1,12}", any::<SocketAddr>()).prop_map(|(zone, address)| Place {
        zone: Zone::from(zone),
        // Drops the flow label and scope of an IPv6 address, which are not transmitted.
        address: SocketAddr::new(address.ip(), address.port()),
    });
    (vm(), incarnation(), state, option::of(place)).prop_map(|(vm, incarnation, state, place)| {
        Change {
            vm,
            incarnation,
            state,
            place,
        }
    })
}

fn body() -> impl Strategy<Value = Body> {
    let page = (any::<(u8, bool)>(), option::of(vm()), option::of(vm()));
    let page = (page, vec(change(), 0..5));
    prop_oneof![
        Just(Body::Gossip),
        any::<u32>().prop_map(|sequence| Body::Ping { sequence }),
        any::<u32>().prop_map(|sequence| Body::Ack { sequence }),
        any::<u8>().prop_map(|differing| Body::SyncReply { differing }),
        (any::<u32>(), vm()).prop_map(|(sequence, vm)| Body::IndirectAck { sequence, vm }),
        (any::<u32>(), vm(), any::<[u8; 4]>(), any::<u16>()).prop_map(
            |(sequence, vm, ip, port)| Body::IndirectPing {
                sequence,
                vm,
                address: SocketAddr::from((ip, port)),
            }
        ),
        (vec(any::<u32>(), 128), any::<u8>())
            .prop_map(|(digests, budget)| Body::SyncRequest { digests, budget }),
        page.prop_map(|(((bucket, wants_reply), after, until), entries)| {
            Body::Page(Page {
                bucket,
                after,
                until,
                wants_reply,
                entries,
            })
        }),
    ]
}

fn message() -> impl Strategy<Value = Message> {
    let version = (any::<u64>(), any::<[u8; 32]>()).prop_map(|(generation, hash)| Version {
        generation,
        hash: BundleHash(hash),
    });
    (vm(), incarnation(), version, body(), vec(change(), 0..8)).prop_map(
        |(from, incarnation, version, body, changes)| Message {
            from,
            incarnation,
            version,
            body,
            changes,
        },
    )
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
}

fn ping_message() -> Message {
    Message {
        from: Vm::from("vm-1"),
        incarnation: Incarnation { boot: 5, count: 1 },
        version: Version::default(),
        body: Body::Ping { sequence: 3 },
        changes: Vec::new(),
    }
}

/// Sends a message of `from` to a plain socket and returns the bytes of its datagram.
fn capture_datagram(from: &Handle, message: &Message) -> Vec<u8> {
    let socket = UdpSocket::bind(address()).unwrap();
    from.send(socket.local_addr().unwrap(), message);
    let mut buffer = [0; 2048];
    let (length, _) = socket.recv_from(&mut buffer).unwrap();
    buffer[..length].to_vec()
}

/// Guards against messages that are altered in transit, and against datagrams that are larger than
/// their estimated size or than the protocol allows.
#[test]
fn messages_round_trip() {
    let runtime = runtime();
    let _guard = runtime.enter();
    let (sender, _inbound) = bind(KEY);
    let (receiver, inbound) = bind(KEY);
    let run = |sent: Message| {
        let oversized = sender.counters().oversized.get();
        sender.send(receiver.address(), &sent);
        if sender.counters().oversized.get() > oversized {
            prop_assert!(sent.size() > MAX_DATAGRAM_BYTES);
            return Ok(());
        }
        let datagram = runtime.block_on(next_datagram(&inbound));
        prop_assert_eq!(datagram.from, sender.address());
        prop_assert_eq!(datagram.message, sent.clone());
        let length = capture_datagram(&sender, &sent).len();
        prop_assert!(length + HEADER_BYTES <= sent.size());
        Ok(())
    };
    proptest!(cases(256), |(sent in message())| {
        run(sent)?;
    });
}

/// Guards against random or damaged datagrams that are accepted or stop the receiver.
#[test]
fn damaged_datagrams_are_dropped() {
    let runtime = runtime();
    let _guard = runtime.enter();
    let (sender, _inbound) = bind(KEY);
    let (receiver, inbound) = bind(KEY);
    let socket = UdpSocket::bind(address()).unwrap();
    let to = receiver.address();
    proptest!(cases(256), |(noise in vec(any::<u8>(), 0..1500), index in any::<usize>())| {
        socket.send_to(&noise, to).unwrap();
        let mut damaged = capture_datagram(&sender, &ping_message());
        let index = index % damaged.len();
        damaged[index] ^= 1;
        socket.send_to(&damaged, to).unwrap();
        socket.send_to(&damaged[..index], to).unwrap();
        sender.send(to, &ping_message());
        let datagram = runtime.block_on(next_datagram(&inbound));
        prop_assert_eq!(datagram.from, sender.address());
    });
    let counters = receiver.counters();
    assert!(counters.unauthenticated.get() > 0);
    assert!(counters.wrong_size.get() > 0);
    assert_eq!(counters.received.get(), sender.counters().sent.get() / 2);
}

/// Guards against malformed content with a valid proof that stops the receiver.
#[test]
fn malformed_content() {
    let runtime = runtime();
    let _guard = runtime.enter();
    let (sender, _inbound) = bind(KEY);
    let (receiver, inbound) = bind(KEY);
    let socket = UdpSocket::bind(address()).unwrap();
    let key = FleetKey::from_bytes(KEY).unwrap();
    let key = key.derive("chervildrift gossip").unwrap();
    let template = capture_datagram(&sender, &ping_message())[32..].to_vec();
    let strategy = vec((any::<usize>(), any::<u8>()), 1..8);
    proptest!(cases(256), |(edits in strategy)| {
        let mut content = template.clone();
        for (index, byte) in edits {
            let index = index % content.len();
            content[index] = byte;
        }
        let header = [9_u64.to_le_bytes(), 1_u64.to_le_bytes()];
        let proof = key.prove(&[&header[0], &header[1], &content]);
        let datagram = [&proof[..16], &header[0], &header[1], &content].concat();
        socket.send_to(&datagram, receiver.address()).unwrap();
        // Some edits still yield a valid message; the receiver must continue in any case.
        sender.send(receiver.address(), &ping_message());
        while runtime.block_on(next_datagram(&inbound)).from != sender.address() {}
    });
    assert!(receiver.counters().malformed.get() > 0);
}

/// Guards against datagrams that are replayed by a sender without the key.
#[tokio::test]
async fn replayed_datagram() {
    let (sender, _inbound) = bind(KEY);
    let (receiver, inbound) = bind(KEY);
    let socket = UdpSocket::bind(address()).unwrap();
    let first = capture_datagram(&sender, &ping_message());
    let second = capture_datagram(&sender, &ping_message());
    for datagram in [&second, &first, &first, &second, &first] {
        socket.send_to(datagram, receiver.address()).unwrap();
    }
    next_datagram(&inbound).await;
    next_datagram(&inbound).await;
    sender.send(receiver.address(), &ping_message());
    assert_eq!(next_datagram(&inbound).await.from, sender.address());
    assert_eq!(receiver.counters().replayed.get(), 3);
}

/// Guards against messages of another fleet and messages that do not fit into a datagram.
#[tokio::test]
async fn unauthenticated_and_oversized() {
    let (sender, _inbound) = bind(KEY);
    let (outsider, _other_inbound) = bind(b"another key of a fleet");
    let (receiver, inbound) = bind(KEY);
    outsider.send(receiver.address(), &ping_message());
    let large = Message {
        body: Body::SyncRequest {
            digests: vec![0; 512],
            budget: 1,
        },
        ..ping_message()
    };
    sender.send(receiver.address(), &large);
    sender.send(receiver.address(), &ping_message());
    assert_eq!(next_datagram(&inbound).await.message, ping_message());
    assert_eq!(receiver.counters().unauthenticated.get(), 1);
    assert_eq!(sender.counters().oversized.get(), 1);
}
