//! Peers with a newer schema, and peers that stop responding after the handshake.

mod support;

use std::rc::Rc;
use std::time::{Duration, Instant};

use capnp::message::{Builder, ReaderOptions};
use capnp::serialize;
use capnp::traits::HasTypeId as _;
use capnp_rpc::rpc_twoparty_capnp::Side;
use chervildrift::peer::peer_capnp as wire;
use chervildrift::peer::{Error, ReplyState};
use chervildrift_core::types::Rank;
use support::raw::RawPeer;
use support::{KEY, address, bind, bind_client, next_forwarded, options, request, within};
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};

/// Offset of a message's root struct in bytes, after the segment table and the root pointer.
const ROOT_OFFSET: usize = 16;

/// Serializes a message with an additional data word in its root struct, as a newer schema would.
fn with_extra_word(message: &Builder<capnp::message::HeapAllocator>) -> Vec<u8> {
    let mut bytes = serialize::write_message_to_words(message);
    let words = u32::from_le_bytes(bytes[4..8].try_into().unwrap()) + 1;
    bytes[4..8].copy_from_slice(&words.to_le_bytes());
    let data_words = u16::from_le_bytes(bytes[12..14].try_into().unwrap());
    bytes[12..14].copy_from_slice(&(data_words + 1).to_le_bytes());
    let end = ROOT_OFFSET + usize::from(data_words) * 8;
    bytes.splice(end..end, [0xff; 8]);
    bytes
}

/// Returns a request with a field and a rank that this version does not know.
fn newer_request() -> Vec<u8> {
    let mut message = Builder::new_default();
    let mut request = message.init_root::<wire::request::Builder<'_>>();
    request.set_key("newer");
    request.set_rank(wire::Rank::Bulk);
    request.set_remaining_ms(1000);
    let mut bytes = with_extra_word(&message);
    // The rank is the first 16-bit field and follows the 8 bytes of the identifier.
    assert_eq!(bytes[ROOT_OFFSET + 8], wire::Rank::Bulk as u8);
    bytes[ROOT_OFFSET + 8] = 77;
    bytes
}

/// Guards against a newer peer whose calls are rejected, misread or break the connection.
#[tokio::test]
async fn newer_caller() {
    let (server, mut inbound) = bind(options("server", KEY));
    let serve = tokio::spawn(async move {
        let (request, reply) = next_forwarded(&mut inbound).await;
        reply.send(support::done_reply(&request)).unwrap();
        request
    });
    let run = async {
        let raw = RawPeer::connect(server.address()).await;
        let mut system = raw.start(Side::Client, None);
        let client: wire::peer::Client = system.bootstrap(Side::Server);
        spawn_local(system);
        // A method that only a newer schema defines.
        let unknown: capnp::capability::Request<
            wire::peer::ping_params::Owned,
            wire::peer::ping_results::Owned,
        > = client
            .client
            .new_call(wire::peer::Client::TYPE_ID, 42, None);
        let error = unknown.send().promise.await.err().unwrap();
        assert_eq!(error.kind, capnp::ErrorKind::Unimplemented);
        let mut call = client.forward_request();
        let bytes = newer_request();
        let request = serialize::read_message(&mut &*bytes, ReaderOptions::new()).unwrap();
        call.get().set_request(request.get_root().unwrap()).unwrap();
        let response = call.send().promise.await.unwrap();
        let reply = response.get().unwrap().get_reply().unwrap();
        assert_eq!(reply.get_answer().unwrap(), b"newer");
    };
    LocalSet::new().run_until(run).await;
    let request = serve.await.unwrap();
    assert_eq!((&*request.key, request.rank), ("newer", Rank::Bulk));
}

/// Server whose replies have a state that this version does not know.
struct NewerServer;

impl wire::peer::Server for NewerServer {
    async fn forward(
        self: Rc<Self>,
        _params: wire::peer::ForwardParams,
        mut results: wire::peer::ForwardResults,
    ) -> Result<(), capnp::Error> {
        let mut message = Builder::new_default();
        let mut reply = message.init_root::<wire::reply::Builder<'_>>();
        reply.reborrow().init_state().set_done(());
        reply.set_answer(b"[]");
        let mut bytes = with_extra_word(&message);
        assert_eq!(bytes[ROOT_OFFSET], 1);
        bytes[ROOT_OFFSET] = 77;
        let reply = serialize::read_message(&mut &*bytes, ReaderOptions::new())?;
        results.get().set_reply(reply.get_root()?)
    }
}

/// Guards against an unknown state of a reply that is treated as a success.
#[tokio::test]
async fn newer_server() {
    let listener = TcpListener::bind(address()).await.unwrap();
    let to = listener.local_addr().unwrap();
    let client = bind_client();
    let run = async {
        spawn_local(async move {
            let raw = RawPeer::accept(listener.accept().await.unwrap().0).await;
            let peer: wire::peer::Client = capnp_rpc::new_client(NewerServer);
            raw.start(Side::Server, Some(peer.client)).await
        });
        client.forward(to, request("k"), within(2000)).await
    };
    let reply = LocalSet::new().run_until(run).await.unwrap();
    assert_eq!(reply.state, ReplyState::Unknown);
    assert_eq!(reply.answer, b"[]");
}

/// Guards against calls that hang when a peer stops responding after the handshake.
#[tokio::test]
async fn unresponsive_peer() {
    let listener = TcpListener::bind(address()).await.unwrap();
    let to = listener.local_addr().unwrap();
    let client = bind_client();
    let call = client.forward(to, request("k"), within(10_000));
    let accept = async {
        let raw = RawPeer::accept(listener.accept().await.unwrap().0).await;
        (raw, Instant::now())
    };
    let (result, (_raw, start)) = tokio::join!(call, accept);
    assert_eq!(result.unwrap_err(), Error::Unresponsive { sent: true });
    assert!(start.elapsed() < Duration::from_secs(1));
}
