//! Opening of the connection of an outgoing link.

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

/// Client of a connection that opens or is open.
pub type Ready = Shared<LocalBoxFuture<'static, Result<Client, Error>>>;

/// A connection that opens.
pub struct Opening {
    /// Client to come.
    pub ready: Ready,
    /// Resolves when the connection has ended.
    pub ended: oneshot::Receiver<()>,
    /// Resolves with a value when the peer is about to stop.
    pub leaving: oneshot::Receiver<()>,
    /// Closes the connection when it is dropped.
    pub stop: oneshot::Sender<()>,
}

/// Ends of a connection that its driver holds.
struct Ends {
    ended: oneshot::Sender<()>,
    leaving: oneshot::Sender<()>,
    stop: oneshot::Receiver<()>,
}

/// What the peer may call over an outgoing link.
struct Notice(Cell<Option<oneshot::Sender<()>>>);

impl caller::Server for Notice {
    async fn leaving(
        self: Rc<Self>,
        _params: caller::LeavingParams,
        _results: caller::LeavingResults,
    ) -> Result<(), capnp::Error> {
        if let Some(leaving) = self.0.take() {
            // The link may just have closed the connection.
            let _ = leaving.send(());
        }
        Ok(())
    }
}

impl Opening {
    /// Starts to open a connection; it proceeds while `ready` is polled.
    pub fn start(context: &Rc<Context>, peer: SocketAddr) -> Self {
        let (ended_sender, ended) = oneshot::channel();
        let (leaving_sender, leaving) = oneshot::channel();
        let (stop, stop_receiver) = oneshot::channel();
        let ends = Ends {
            ended: ended_sender,
            leaving: leaving_sender,
            stop: stop_receiver,
        };
        let ready = open(Rc::clone(context), peer, ends).boxed_local().shared();
        Self {
            ready,
            ended,
            leaving,
            stop,
        }
    }
}

/// Connects within the time limit and starts the RPC system.
async fn open(context: Rc<Context>, peer: SocketAddr, ends: Ends) -> Result<Client, Error> {
    let limit = context.limits.opening;
    let streams = match timeout(limit, connect(&context, peer)).await {
        Ok(streams) => streams?,
        Err(_) => return Err(Error::Unresponsive { sent: false }),
    };
    context.counts.opened.raise();
    Ok(start(streams, ends))
}

async fn connect(context: &Context, peer: SocketAddr) -> Result<Streams, Error> {
    let socket = TcpStream::connect(peer)
        .await
        .map_err(|error| Error::Unreachable(error.kind()))?;
    let mut streams = Streams::open(socket).map_err(|error| Error::Unreachable(error.kind()))?;
    context
        .identity
        .connect(&mut streams.reader, &mut streams.writer)
        .await?;
    Ok(streams)
}

/// Starts the RPC system on a task of its own.
fn start(streams: Streams, ends: Ends) -> Client {
    let notice: caller::Client = capnp_rpc::new_client(Notice(Cell::new(Some(ends.leaving))));
    let mut system = streams.start(Side::Client, Some(notice.client));
    let client = system.bootstrap(Side::Server);
    spawn_local(async move {
        tokio::select! {
            // The calls of a lost connection fail with the reason.
            _ = system => {}
            _ = ends.stop => {}
        }
        drop(ends.ended);
    });
    client
}
