//! Peer that implements the handshake without the library's links.

use std::net::SocketAddr;

use capnp::message::{Builder, HeapAllocator, Reader, ReaderOptions};
use capnp::serialize::OwnedSegments;
use capnp_futures::serialize::{read_message, write_message};
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use chervildrift::peer::FleetKey;
use chervildrift::peer::peer_capnp as wire;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::compat::{Compat, TokioAsyncReadCompatExt as _, TokioAsyncWriteCompatExt as _};

/// Protocol version that no current peer uses.
const UNKNOWN_VERSION: u32 = 99;

const NONCE: [u8; 32] = [7; 32];

pub struct RawPeer {
    reader: Compat<OwnedReadHalf>,
    writer: Compat<OwnedWriteHalf>,
}

impl RawPeer {
    pub async fn connect(to: SocketAddr) -> Self {
        let mut raw = Self::new(TcpStream::connect(to).await.unwrap());
        raw.send(|message| {
            let mut hello = message.init_root::<wire::hello::Builder<'_>>();
            hello.set_version(UNKNOWN_VERSION);
            hello.set_name("raw");
            hello.set_nonce(&NONCE);
        })
        .await;
        let message = raw.receive().await;
        let welcome: wire::welcome::Reader<'_> = message.get_root().unwrap();
        let name = welcome.get_name().unwrap().to_str().unwrap();
        let parts: [&[u8]; 7] = [
            b"connector",
            &UNKNOWN_VERSION.to_le_bytes(),
            &welcome.get_version().to_le_bytes(),
            b"raw",
            name.as_bytes(),
            &NONCE,
            welcome.get_nonce().unwrap(),
        ];
        let proof = compute_proof(&parts);
        raw.send(|message| {
            let mut builder = message.init_root::<wire::proof::Builder<'_>>();
            builder.set_proof(&proof);
        })
        .await;
        let message = raw.receive().await;
        let verdict: wire::verdict::Reader<'_> = message.get_root().unwrap();
        assert!(verdict.get_accepted());
        raw
    }

    pub async fn accept(socket: TcpStream) -> Self {
        let mut raw = Self::new(socket);
        let message = raw.receive().await;
        let hello: wire::hello::Reader<'_> = message.get_root().unwrap();
        let name = hello.get_name().unwrap().to_str().unwrap();
        let parts: [&[u8]; 7] = [
            b"listener",
            &hello.get_version().to_le_bytes(),
            &UNKNOWN_VERSION.to_le_bytes(),
            name.as_bytes(),
            b"raw",
            hello.get_nonce().unwrap(),
            &NONCE,
        ];
        let proof = compute_proof(&parts);
        raw.send(|message| {
            let mut welcome = message.init_root::<wire::welcome::Builder<'_>>();
            welcome.set_version(UNKNOWN_VERSION);
            welcome.set_name("raw");
            welcome.set_nonce(&NONCE);
            welcome.set_proof(&proof);
        })
        .await;
        raw.receive().await;
        raw.send(|message| {
            let mut verdict = message.init_root::<wire::verdict::Builder<'_>>();
            verdict.set_accepted(true);
        })
        .await;
        raw
    }

    pub fn start(
        self,
        side: Side,
        bootstrap: Option<capnp::capability::Client>,
    ) -> RpcSystem<Side> {
        let options = ReaderOptions::new();
        let network = twoparty::VatNetwork::new(self.reader, self.writer, side, options);
        RpcSystem::new(Box::new(network), bootstrap)
    }

    fn new(socket: TcpStream) -> Self {
        let (reader, writer) = socket.into_split();
        Self {
            reader: reader.compat(),
            writer: writer.compat_write(),
        }
    }

    async fn send(&mut self, fill: impl FnOnce(&mut Builder<HeapAllocator>)) {
        let mut message = Builder::new_default();
        fill(&mut message);
        write_message(&mut self.writer, &message).await.unwrap();
    }

    async fn receive(&mut self) -> Reader<OwnedSegments> {
        read_message(&mut self.reader, ReaderOptions::new())
            .await
            .unwrap()
    }
}

fn compute_proof(parts: &[&[u8]]) -> [u8; 32] {
    let key = FleetKey::from_bytes(super::KEY).unwrap();
    key.derive("chervildrift peer hello").unwrap().prove(parts)
}
