//! Opening of an outgoing connection, and the task that drives its RPC system.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use capnp_rpc::rpc_twoparty_capnp::Side;
use futures::future::{FutureExt as _, LocalBoxFuture, Shared};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::Error;
use super::connection::Streams;
use super::context::Context;
use super::peer_capnp::caller;
use super::peer_capnp::peer::Client;

/// Resolves to the client of a connection once it is open.
pub type ClientFuture = Shared<LocalBoxFuture<'static, Result<Client, Error>>>;

/// Handle of a connection that is open or being opened.
pub struct ConnectionHandle {
    /// Client for calls, available once the connection is open.
    pub client: ClientFuture,
    /// Resolves when the connection has ended.
    pub ended: oneshot::Receiver<()>,
    /// Resolves with a value when the peer is about to stop.
    pub leaving: oneshot::Receiver<()>,
    /// Closes the connection when it is dropped.
    pub stop: oneshot::Sender<()>,
}

/// Channel ends of a connection that its driver task holds.
struct DriverChannels {
    ended: oneshot::Sender<()>,
    leaving: oneshot::Sender<()>,
    stop: oneshot::Receiver<()>,
}

/// Server of the calls that the peer may make over an outgoing link.
struct CallerServer(Cell<Option<oneshot::Sender<()>>>);

impl caller::Server for CallerServer {
    async fn leaving(
        self: Rc<Self>,
        _params: caller::LeavingParams,
        _results: caller::LeavingResults,
    ) -> Result<(), capnp::Error> {
        if let Some(leaving) = self.0.take() {
            // Sending fails if the link has just closed the connection.
            let _ = leaving.send(());
        }
        Ok(())
    }
}

impl ConnectionHandle {
    /// Prepares a connection, which opens while `client` is polled.
    pub fn open(context: &Rc<Context>, peer: SocketAddr) -> Self {
        let (ended_sender, ended) = oneshot::channel();
        let (leaving_sender, leaving) = oneshot::channel();
        let (stop, stop_receiver) = oneshot::channel();
        let channels = DriverChannels {
            ended: ended_sender,
            leaving: leaving_sender,
            stop: stop_receiver,
        };
        let client = open_client(Rc::clone(context), peer, channels)
            .boxed_local()
            .shared();
        Self {
            client,
            ended,
            leaving,
            stop,
        }
    }
}

/// Connects within the connect timeout and starts the RPC system.
async fn open_client(
    context: Rc<Context>,
    peer: SocketAddr,
    channels: DriverChannels,
) -> Result<Client, Error> {
    let limit = context.limits.connect_timeout;
    let streams = match timeout(limit, connect(&context, peer)).await {
        Ok(streams) => streams?,
        Err(_) => return Err(Error::Unresponsive { sent: false }),
    };
    context.counters.opened.increment();
    Ok(start_rpc(streams, channels))
}

async fn connect(context: &Context, peer: SocketAddr) -> Result<Streams, Error> {
    let socket = TcpStream::connect(peer)
        .await
        .map_err(|error| Error::Unreachable(error.kind()))?;
    let mut streams = Streams::split(socket).map_err(|error| Error::Unreachable(error.kind()))?;
    context
        .identity
        .connect(&mut streams.reader, &mut streams.writer)
        .await?;
    Ok(streams)
}

/// Starts the RPC system on a new task.
fn start_rpc(streams: Streams, channels: DriverChannels) -> Client {
    let caller_server: caller::Client =
        capnp_rpc::new_client(CallerServer(Cell::new(Some(channels.leaving))));
    let mut system = streams.start_rpc(Side::Client, Some(caller_server.client));
    let client = system.bootstrap(Side::Server);
    spawn_local(async move {
        tokio::select! {
            // The calls of a lost connection fail with its error.
            _ = system => {}
            _ = channels.stop => {}
        }
        drop(channels.ended);
    });
    client
}
