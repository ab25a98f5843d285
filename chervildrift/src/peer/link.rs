//! An outgoing link: one connection to one peer, opened when a call needs it.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use futures::future::{FutureExt as _, LocalBoxFuture};
use futures::stream::{FuturesUnordered, StreamExt as _};
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::Error;
use super::call::{Order, Pending};
use super::context::Context;
use super::message::Inbound;
use super::opening::{Opening, Ready};
use super::watch::{Turn, Watch};

/// State of the connection of a link.
enum LinkState {
    /// There is no connection.
    Closed,
    /// The peer failed; calls fail with the error until the time.
    Refused { until: Instant, error: Error },
    /// The connection opens or is open.
    Open(Watch),
    /// The peer is about to stop; the connection is closed after the calls in flight.
    Leaving(Watch),
}

/// One outgoing link.
struct Link {
    context: Rc<Context>,
    peer: SocketAddr,
    state: LinkState,
    calls: FuturesUnordered<LocalBoxFuture<'static, ()>>,
    /// What calls fail with when they are dropped.
    failure: Rc<RefCell<Error>>,
    /// Time at which a call was last in flight.
    used: Instant,
}

/// Runs a link until it has been idle for the stated time or its queue is closed.
pub async fn run(context: Rc<Context>, peer: SocketAddr, mut orders: mpsc::Receiver<Order>) {
    let mut ticks = interval(context.limits.ping);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut link = Link::open(context, peer);
    loop {
        tokio::select! {
            order = orders.recv() => match order {
                Some(order) => link.take(order),
                None => break,
            },
            Some(()) = link.calls.next() => link.settle(),
            turn = turn(&mut link.state) => match turn {
                Turn::Lost(error) => link.fail(&error),
                Turn::Leaving => link.leave(),
            },
            due = ticks.tick() => {
                link.tick(due);
                // Nothing can enter the queue between this check and the drop of the receiver.
                if link.idle() && orders.is_empty() {
                    return;
                }
            }
        }
    }
    link.drain().await;
}

/// Waits until something happens to the connection.
async fn turn(state: &mut LinkState) -> Turn {
    match state {
        LinkState::Open(watch) | LinkState::Leaving(watch) => watch.turn().await,
        LinkState::Closed | LinkState::Refused { .. } => std::future::pending().await,
    }
}

impl Link {
    fn open(context: Rc<Context>, peer: SocketAddr) -> Self {
        Self {
            context,
            peer,
            state: LinkState::Closed,
            calls: FuturesUnordered::new(),
            failure: Rc::new(RefCell::new(Error::Stopped { sent: false })),
            used: Instant::now(),
        }
    }

    /// Starts a call, or fails it at once when too many are in flight.
    fn take(&mut self, order: Order) {
        if self.calls.len() >= self.context.limits.calls {
            order.fail(&Error::Busy);
            return;
        }
        match self.ready() {
            Ok(ready) => {
                let pending = Pending::open(order, Rc::clone(&self.failure));
                self.calls.push(pending.run(ready).boxed_local());
            }
            Err(error) => order.fail(&error),
        }
    }

    /// Returns the client to come, and starts to open the connection if there is none.
    fn ready(&mut self) -> Result<Ready, Error> {
        match &self.state {
            LinkState::Open(watch) => return Ok(watch.ready()),
            LinkState::Refused { until, error } if Instant::now() < *until => {
                return Err(error.clone());
            }
            LinkState::Leaving(_) => return Err(Error::Refused),
            LinkState::Refused { .. } | LinkState::Closed => {}
        }
        let watch = Watch::open(Opening::start(&self.context, self.peer));
        let ready = watch.ready();
        self.state = LinkState::Open(watch);
        Ok(ready)
    }

    /// Sends a ping if calls are in flight, and fails the link when the peer is silent.
    fn tick(&mut self, due: Instant) {
        let now = Instant::now();
        if !self.calls.is_empty() {
            self.used = now;
        }
        let (LinkState::Open(watch) | LinkState::Leaving(watch)) = &mut self.state else {
            return;
        };
        if now.saturating_duration_since(due) >= self.context.limits.ping {
            watch.forgive(now);
        }
        if watch.silent(due, self.context.limits.silence) {
            self.fail(&Error::Unresponsive { sent: true });
        } else if !self.calls.is_empty() {
            watch.ping(due);
        }
    }

    /// Tells whether no call has been in flight for the stated time.
    fn idle(&self) -> bool {
        self.calls.is_empty() && self.used.elapsed() >= self.context.limits.idle
    }

    /// Closes the connection and fails all calls in flight.
    fn fail(&mut self, error: &Error) {
        self.state = self.closed(error);
        self.failure.replace(error.clone());
        self.calls.clear();
        self.failure.replace(Error::Stopped { sent: false });
        self.context.counts.failed.raise();
        // The report is a hint; a full queue has more urgent work.
        let _ = self.context.inbound.try_send(Inbound::LinkFailed {
            peer: self.peer,
            error: error.clone(),
        });
    }

    /// Returns the state after a failure.
    fn closed(&self, error: &Error) -> LinkState {
        let (LinkState::Open(watch) | LinkState::Leaving(watch)) = &self.state else {
            return LinkState::Closed;
        };
        if watch.opened() && !matches!(error, Error::Unresponsive { .. }) {
            return LinkState::Closed;
        }
        self.refused(error)
    }

    /// Returns the state that fails calls with the error for a while.
    fn refused(&self, error: &Error) -> LinkState {
        LinkState::Refused {
            until: Instant::now() + self.context.limits.refusal,
            error: error.for_call(false),
        }
    }

    /// Sends nothing more over the connection, since the peer is about to stop.
    fn leave(&mut self) {
        let state = std::mem::replace(&mut self.state, LinkState::Closed);
        if let LinkState::Open(watch) = state {
            self.state = LinkState::Leaving(watch);
        }
        self.settle();
    }

    /// Closes the connection to a peer that is about to stop after its last answer.
    fn settle(&mut self) {
        if self.calls.is_empty() && matches!(self.state, LinkState::Leaving(_)) {
            self.state = self.refused(&Error::Refused);
        }
    }

    /// Finishes the calls in flight; no further ones come.
    async fn drain(&mut self) {
        while self.calls.next().await.is_some() {}
    }
}
