//! Streams of a connection and the RPC system on top of them.

use capnp::capability::Client as Capability;
use capnp::message::ReaderOptions;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures::io::{BufReader, BufWriter};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::compat::{Compat, TokioAsyncReadCompatExt as _, TokioAsyncWriteCompatExt as _};

/// Size of the read buffer and of the write buffer of a connection in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// Greatest size of a message in words of 8 bytes.
const MAX_MESSAGE_WORDS: usize = 2 << 20;

/// Greatest size of the contents of a call or an answer in bytes, half of a message.
pub const MAX_CONTENT_BYTES: usize = MAX_MESSAGE_WORDS * 8 / 2;

/// Buffered halves of a connection.
#[derive(Debug)]
pub struct Streams {
    pub reader: BufReader<Compat<OwnedReadHalf>>,
    pub writer: BufWriter<Compat<OwnedWriteHalf>>,
}

impl Streams {
    /// Splits a socket into buffered halves.
    pub fn split(socket: TcpStream) -> std::io::Result<Self> {
        // Replies are small and each is waited for.
        socket.set_nodelay(true)?;
        let (reader, writer) = socket.into_split();
        Ok(Self {
            reader: BufReader::with_capacity(BUFFER_BYTES, reader.compat()),
            writer: BufWriter::with_capacity(BUFFER_BYTES, writer.compat_write()),
        })
    }

    /// Starts the RPC system; `bootstrap` is what the peer may call.
    pub fn start_rpc(self, side: Side, bootstrap: Option<Capability>) -> RpcSystem<Side> {
        let mut options = ReaderOptions::new();
        options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
        let network = twoparty::VatNetwork::new(self.reader, self.writer, side, options);
        let mut system = RpcSystem::new(Box::new(network), bootstrap);
        // Faults of a connection reach its calls; the default handler would print them.
        system.set_background_error_handler(|_| ());
        system
    }
}
