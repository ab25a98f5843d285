//! Inbound connections.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use capnp_rpc::rpc_twoparty_capnp::Side;
use chervildrift_core::types::Vm;
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, interval, timeout};

use super::Error;
use super::connection::Streams;
use super::context::Context;
use super::peer_capnp::caller;
use super::peer_capnp::peer::Client;
use super::server::{Activity, Server};

/// Connections that have not completed the handshake, oldest first.
#[derive(Debug, Default)]
struct HalfOpen {
    next_id: u64,
    tasks: VecDeque<(u64, AbortHandle)>,
}

/// Serves inbound connections.
#[derive(Debug)]
pub struct Listener {
    context: Rc<Context>,
    half_open: Rc<RefCell<HalfOpen>>,
}

impl Listener {
    /// Creates a listener without connections.
    pub fn new(context: &Rc<Context>) -> Self {
        Self {
            context: Rc::clone(context),
            half_open: Rc::default(),
        }
    }

    /// Serves a connection on a new task.
    ///
    /// If too many connections have not completed the handshake, the oldest of them is closed. A
    /// member needs only a few milliseconds for it, so a flood of idle connections rarely evicts
    /// one.
    pub fn spawn_serve(&self, socket: TcpStream) {
        let mut half_open = self.half_open.borrow_mut();
        if half_open.tasks.len() >= self.context.limits.max_half_open
            && let Some((_, task)) = half_open.tasks.pop_front()
        {
            task.abort();
            self.context.counters.evicted.increment();
        }
        let id = half_open.next_id;
        half_open.next_id += 1;
        let task = spawn_local(serve(
            Rc::clone(&self.context),
            Rc::clone(&self.half_open),
            id,
            socket,
        ));
        half_open.tasks.push_back((id, task.abort_handle()));
    }
}

/// Performs the handshake of a connection, then serves its calls.
async fn serve(context: Rc<Context>, half_open: Rc<RefCell<HalfOpen>>, id: u64, socket: TcpStream) {
    let result = timeout(
        context.limits.handshake_timeout,
        handshake(&context, socket),
    )
    .await;
    half_open
        .borrow_mut()
        .tasks
        .retain(|(other, _)| *other != id);
    match result {
        Ok(Ok((streams, from))) => serve_calls(&context, streams, from).await,
        Ok(Err(_)) => context.counters.unauthenticated.increment(),
        Err(_) => context.counters.handshake_timeouts.increment(),
    }
}

async fn handshake(context: &Context, socket: TcpStream) -> Result<(Streams, Vm), Error> {
    let mut streams = Streams::split(socket).map_err(|error| Error::Unreachable(error.kind()))?;
    let from = context
        .identity
        .accept(&mut streams.reader, &mut streams.writer)
        .await?;
    Ok((streams, from))
}

/// Serves the calls of a connection until it ends, is idle for too long or this VM stops.
async fn serve_calls(context: &Rc<Context>, streams: Streams, from: Vm) {
    context.counters.accepted.increment();
    let activity = Rc::new(Activity {
        in_flight: Cell::new(0),
        last_change: Cell::new(Instant::now()),
    });
    let server = Server::new(context, from, &activity);
    let client: Client = capnp_rpc::new_client(server);
    let mut system = streams.start_rpc(Side::Server, Some(client.client));
    // Requested here, since the RPC library panics if the connection has already been lost.
    let caller: caller::Client = system.bootstrap(Side::Client);
    let mut closing = context.closing.subscribe();
    tokio::select! {
        // The peer sees the reason itself.
        _ = &mut system => return,
        () = wait_until_idle(context, &activity) => return,
        _ = closing.wait_for(|closing| *closing) => {}
    }
    // The peer closes the connection after its last response; if the notice fails, it already has.
    let notice = caller.leaving_request().send().promise;
    let _ = futures::join!(system, notice);
}

/// Waits until the peer has made no call for twice its own idle timeout.
///
/// This closes the connections of a peer that disappeared without closing them.
async fn wait_until_idle(context: &Context, activity: &Activity) {
    let timeout = context.limits.idle_timeout * 2;
    let mut ticks = interval(timeout / 4);
    loop {
        ticks.tick().await;
        if activity.in_flight.get() == 0 && activity.last_change.get().elapsed() >= timeout {
            return;
        }
    }
}
