//! Buffered streams of a connection, and the RPC system that runs over them.

use capnp::capability::Client as Capability;
use capnp::message::ReaderOptions;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures::io::{BufReader, BufWriter};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::compat::{Compat, TokioAsyncReadCompatExt as _, TokioAsyncWriteCompatExt as _};

/// Size of each of the two buffers of a connection, for reading and for writing.
const BUFFER_BYTES: usize = 16 << 10;

/// Maximum size of a message in words of 8 bytes.
const MAX_MESSAGE_WORDS: usize = 2 << 20;

/// Maximum size of the contents of a call or response: half of a message.
pub const MAX_CONTENT_BYTES: usize = MAX_MESSAGE_WORDS * 8 / 2;

/// Buffered read and write halves of a connection.
#[derive(Debug)]
pub struct Streams {
    pub reader: BufReader<Compat<OwnedReadHalf>>,
    pub writer: BufWriter<Compat<OwnedWriteHalf>>,
}

impl Streams {
    /// Splits a socket into buffered halves.
    pub fn split(socket: TcpStream) -> std::io::Result<Self> {
        // Each small reply is waited for, so Nagle's algorithm would only delay it.
        socket.set_nodelay(true)?;
        let (reader, writer) = socket.into_split();
        Ok(Self {
            reader: BufReader::with_capacity(BUFFER_BYTES, reader.compat()),
            writer: BufWriter::with_capacity(BUFFER_BYTES, writer.compat_write()),
        })
    }

    /// Creates the RPC system; `bootstrap` is the capability that the peer may call.
    pub fn start_rpc(self, side: Side, bootstrap: Option<Capability>) -> RpcSystem<Side> {
        let mut options = ReaderOptions::new();
        options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
        let network = twoparty::VatNetwork::new(self.reader, self.writer, side, options);
        let mut system = RpcSystem::new(Box::new(network), bootstrap);
        // Calls fail with the connection's error; the default handler would print it.
        system.set_background_error_handler(|_| ());
        system
    }
}
