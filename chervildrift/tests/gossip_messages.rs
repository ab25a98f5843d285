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

/// Headers of IP and UDP in bytes.
const HEADER_BYTES: usize = 28;

type Inbox = tokio::sync::Mutex<mpsc::Receiver<Datagram>>;

fn bind(key: &[u8]) -> (Handle, Inbox) {
    let (sender, inbound) = mpsc::channel(1024);
    let options = Options {
        address: address(),
        key: FleetKey::open(key).unwrap(),
    };
    (gossip::bind(&options, sender).unwrap(), inbound.into())
}

async fn next(inbound: &Inbox) -> Datagram {
    let mut inbound = inbound.lock().await;
    let received = tokio::time::timeout(Duration::from_secs(2), inbound.recv());
    received.await.expect("nothing came").expect("closed")
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
        // Flow and scope of an address have no meaning between VMs.
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

fn sample() -> Message {
    Message {
        from: Vm::from("vm-1"),
        incarnation: Incarnation { boot: 5, count: 1 },
        version: Version::default(),
        body: Body::Ping { sequence: 3 },
        changes: Vec::new(),
    }
}

/// Sends one sealed datagram of `from` to a plain socket and returns its bytes.
fn captured(from: &Handle, message: &Message) -> Vec<u8> {
    let tap = UdpSocket::bind(address()).unwrap();
    from.send(tap.local_addr().unwrap(), message);
    let mut buffer = [0; 2048];
    let (length, _) = tap.recv_from(&mut buffer).unwrap();
    buffer[..length].to_vec()
}

/// Guards against a message that changes on the way, and against datagrams that are larger than
/// the core estimated or than the protocol allows.
#[test]
fn messages_survive() {
    let runtime = runtime();
    let _guard = runtime.enter();
    let (sender, _own) = bind(KEY);
    let (receiver, inbound) = bind(KEY);
    let run = |sent: Message| {
        let oversized = sender.counts().oversized.get();
        sender.send(receiver.address(), &sent);
        if sender.counts().oversized.get() > oversized {
            prop_assert!(sent.size() > MAX_DATAGRAM_BYTES);
            return Ok(());
        }
        let datagram = runtime.block_on(next(&inbound));
        prop_assert_eq!(datagram.from, sender.address());
        prop_assert_eq!(datagram.message, sent.clone());
        let length = captured(&sender, &sent).len();
        prop_assert!(length + HEADER_BYTES <= sent.size());
        Ok(())
    };
    proptest!(cases(256), |(sent in message())| {
        run(sent)?;
    });
}

/// Guards against a datagram of any bytes, or with any change on the way, that is taken or that
/// stops the receiver.
#[test]
fn damage_is_dropped() {
    let runtime = runtime();
    let _guard = runtime.enter();
    let (sender, _own) = bind(KEY);
    let (receiver, inbound) = bind(KEY);
    let raw = UdpSocket::bind(address()).unwrap();
    let to = receiver.address();
    proptest!(cases(256), |(noise in vec(any::<u8>(), 0..1500), at in any::<usize>())| {
        raw.send_to(&noise, to).unwrap();
        let mut damaged = captured(&sender, &sample());
        let at = at % damaged.len();
        damaged[at] ^= 1;
        raw.send_to(&damaged, to).unwrap();
        raw.send_to(&damaged[..at], to).unwrap();
        sender.send(to, &sample());
        let datagram = runtime.block_on(next(&inbound));
        prop_assert_eq!(datagram.from, sender.address());
    });
    let counts = receiver.counts();
    assert!(counts.foreign.get() > 0);
    assert!(counts.wrong_size.get() > 0);
    assert_eq!(counts.received.get(), sender.counts().sent.get() / 2);
}

/// Guards against senseless content from a member that stops the receiver.
#[test]
fn senseless_content() {
    let runtime = runtime();
    let _guard = runtime.enter();
    let (sender, _own) = bind(KEY);
    let (receiver, inbound) = bind(KEY);
    let raw = UdpSocket::bind(address()).unwrap();
    let key = FleetKey::open(KEY).unwrap();
    let key = key.derive("chervildrift gossip").unwrap();
    let template = captured(&sender, &sample())[32..].to_vec();
    let strategy = vec((any::<usize>(), any::<u8>()), 1..8);
    proptest!(cases(256), |(edits in strategy)| {
        let mut content = template.clone();
        for (at, byte) in edits {
            let at = at % content.len();
            content[at] = byte;
        }
        let stamp = [9_u64.to_le_bytes(), 1_u64.to_le_bytes()];
        let proof = key.prove(&[&stamp[0], &stamp[1], &content]);
        let sealed = [&proof[..16], &stamp[0], &stamp[1], &content].concat();
        raw.send_to(&sealed, receiver.address()).unwrap();
        // Edits that leave a message are passed on; the socket must go on in any case.
        sender.send(receiver.address(), &sample());
        while runtime.block_on(next(&inbound)).from != sender.address() {}
    });
    assert!(receiver.counts().malformed.get() > 0);
}

/// Guards against datagrams that are sent again by someone without the key.
#[tokio::test]
async fn replayed_datagram() {
    let (sender, _own) = bind(KEY);
    let (receiver, inbound) = bind(KEY);
    let raw = UdpSocket::bind(address()).unwrap();
    let first = captured(&sender, &sample());
    let second = captured(&sender, &sample());
    for datagram in [&second, &first, &first, &second, &first] {
        raw.send_to(datagram, receiver.address()).unwrap();
    }
    next(&inbound).await;
    next(&inbound).await;
    sender.send(receiver.address(), &sample());
    assert_eq!(next(&inbound).await.from, sender.address());
    assert_eq!(receiver.counts().replayed.get(), 3);
}

/// Guards against messages of another fleet and against messages that fit no datagram.
#[tokio::test]
async fn foreign_and_oversized() {
    let (sender, _own) = bind(KEY);
    let (foreign, _other) = bind(b"another key of a fleet");
    let (receiver, inbound) = bind(KEY);
    foreign.send(receiver.address(), &sample());
    let large = Message {
        body: Body::SyncRequest {
            digests: vec![0; 512],
            budget: 1,
        },
        ..sample()
    };
    sender.send(receiver.address(), &large);
    sender.send(receiver.address(), &sample());
    assert_eq!(next(&inbound).await.message, sample());
    assert_eq!(receiver.counts().foreign.get(), 1);
    assert_eq!(sender.counts().oversized.get(), 1);
}
