//! Outgoing link to one peer; its connection is opened on demand.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use futures::future::{FutureExt as _, LocalBoxFuture};
use futures::stream::{FuturesUnordered, StreamExt as _};
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::Error;
use super::call::{PendingCall, QueuedCall};
use super::context::Context;
use super::driver::{ClientFuture, ConnectionHandle};
use super::message::Inbound;
use super::monitor::{LinkEvent, MonitoredConnection};

/// State of a link's connection.
enum LinkState {
    /// There is no connection; the next call opens one.
    Closed,
    /// The peer failed or refused; calls fail with `error` until the time `until`.
    BackingOff { until: Instant, error: Error },
    /// The connection is open or being opened.
    Open(MonitoredConnection),
    /// The peer is about to stop; the connection closes once the calls in flight have ended.
    Draining(MonitoredConnection),
}

/// Outgoing link to one peer.
struct Link {
    context: Rc<Context>,
    peer: SocketAddr,
    state: LinkState,
    calls: FuturesUnordered<LocalBoxFuture<'static, ()>>,
    /// Error that a call returns when it is dropped unanswered.
    abort_error: Rc<RefCell<Error>>,
    /// Last time at which a call was seen in flight.
    last_used: Instant,
}

/// Runs a link until it has been idle for the idle timeout or its queue is closed.
pub async fn run(context: Rc<Context>, peer: SocketAddr, mut queue: mpsc::Receiver<QueuedCall>) {
    let mut ticks = interval(context.limits.ping_interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut link = Link::new(context, peer);
    loop {
        tokio::select! {
            call = queue.recv() => match call {
                Some(call) => link.start_call(call),
                None => break,
            },
            Some(()) = link.calls.next() => link.close_if_drained(),
            event = next_event(&mut link.state) => match event {
                LinkEvent::Lost(error) => link.fail(&error),
                LinkEvent::PeerLeaving => link.start_draining(),
            },
            due = ticks.tick() => {
                link.tick(due);
                // No call can enter the queue between this check and the drop of the receiver.
                if link.is_idle() && queue.is_empty() {
                    return;
                }
            }
        }
    }
    link.drain().await;
}

/// Waits for the next event of the connection, if there is one.
async fn next_event(state: &mut LinkState) -> LinkEvent {
    match state {
        LinkState::Open(connection) | LinkState::Draining(connection) => {
            connection.next_event().await
        }
        LinkState::Closed | LinkState::BackingOff { .. } => std::future::pending().await,
    }
}

impl Link {
    fn new(context: Rc<Context>, peer: SocketAddr) -> Self {
        Self {
            context,
            peer,
            state: LinkState::Closed,
            calls: FuturesUnordered::new(),
            abort_error: Rc::new(RefCell::new(Error::Stopped { sent: false })),
            last_used: Instant::now(),
        }
    }

    /// Starts a call, or fails it if too many are in flight or the peer is unavailable.
    fn start_call(&mut self, call: QueuedCall) {
        if self.calls.len() >= self.context.limits.max_calls {
            call.fail(&Error::Busy);
            return;
        }
        match self.ensure_connection() {
            Ok(client) => {
                let pending = PendingCall::new(call, Rc::clone(&self.abort_error));
                self.calls.push(pending.run(client).boxed_local());
            }
            Err(error) => call.fail(&error),
        }
    }

    /// Returns the client of the connection, which is opened if there is none.
    fn ensure_connection(&mut self) -> Result<ClientFuture, Error> {
        match &self.state {
            LinkState::Open(connection) => return Ok(connection.client_future()),
            LinkState::BackingOff { until, error } if Instant::now() < *until => {
                return Err(error.clone());
            }
            LinkState::Draining(_) => return Err(Error::Refused),
            LinkState::BackingOff { .. } | LinkState::Closed => {}
        }
        let connection = MonitoredConnection::new(ConnectionHandle::open(&self.context, self.peer));
        let client = connection.client_future();
        self.state = LinkState::Open(connection);
        Ok(client)
    }

    /// Sends a ping if calls are in flight, and fails the link if a ping has timed out.
    fn tick(&mut self, due: Instant) {
        let now = Instant::now();
        if !self.calls.is_empty() {
            self.last_used = now;
        }
        let (LinkState::Open(connection) | LinkState::Draining(connection)) = &mut self.state
        else {
            return;
        };
        if now.saturating_duration_since(due) >= self.context.limits.ping_interval {
            connection.restart_ping_timeout(now);
        }
        if connection.ping_timed_out(due, self.context.limits.ping_timeout) {
            self.fail(&Error::Unresponsive { sent: true });
        } else if !self.calls.is_empty() {
            connection.ping(due);
        }
    }

    /// Returns whether no call has been in flight for the idle timeout.
    fn is_idle(&self) -> bool {
        self.calls.is_empty() && self.last_used.elapsed() >= self.context.limits.idle_timeout
    }

    /// Closes the connection and fails all calls in flight.
    fn fail(&mut self, error: &Error) {
        self.state = self.state_after(error);
        self.abort_error.replace(error.clone());
        self.calls.clear();
        self.abort_error.replace(Error::Stopped { sent: false });
        self.context.counters.failed.increment();
        // The report is only a hint; if the queue is full, other work is more urgent.
        let _ = self.context.inbound.try_send(Inbound::LinkFailed {
            peer: self.peer,
            error: error.clone(),
        });
    }

    /// Returns the state after a failure: an open connection that was lost may be reopened at once.
    fn state_after(&self, error: &Error) -> LinkState {
        let (LinkState::Open(connection) | LinkState::Draining(connection)) = &self.state else {
            return LinkState::Closed;
        };
        if connection.is_open() && !matches!(error, Error::Unresponsive { .. }) {
            return LinkState::Closed;
        }
        self.backing_off(error)
    }

    /// Returns the state in which calls fail with the error during the backoff.
    fn backing_off(&self, error: &Error) -> LinkState {
        LinkState::BackingOff {
            until: Instant::now() + self.context.limits.connect_backoff,
            error: error.for_call(false),
        }
    }

    /// Stops sending calls over the connection, since the peer is about to stop.
    fn start_draining(&mut self) {
        let state = std::mem::replace(&mut self.state, LinkState::Closed);
        if let LinkState::Open(connection) = state {
            self.state = LinkState::Draining(connection);
        }
        self.close_if_drained();
    }

    /// Closes the connection to a peer that is about to stop, once no call is in flight.
    fn close_if_drained(&mut self) {
        if self.calls.is_empty() && matches!(self.state, LinkState::Draining(_)) {
            self.state = self.backing_off(&Error::Refused);
        }
    }

    /// Waits for the calls in flight.
    async fn drain(&mut self) {
        while self.calls.next().await.is_some() {}
    }
}
