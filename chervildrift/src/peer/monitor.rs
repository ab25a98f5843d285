//! Monitoring of the connection of an outgoing link.

use std::time::Duration;

use futures::future::{FutureExt as _, LocalBoxFuture};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Error;
use super::driver::{ClientFuture, ConnectionHandle};
use super::peer_capnp::peer::Client;

/// A ping without a pong so far.
struct Ping {
    sent_at: Instant,
    pong: LocalBoxFuture<'static, capnp::Result<()>>,
}

/// Event of a connection that its link must handle.
pub enum LinkEvent {
    /// The connection failed to open or was lost.
    Lost(Error),
    /// The peer is about to stop.
    PeerLeaving,
}

/// Connection of a link, with the state of its pings.
///
/// Dropping it closes the connection.
pub struct MonitoredConnection {
    client_future: ClientFuture,
    client: Option<Client>,
    ping: Option<Ping>,
    /// Resolves when the connection has ended.
    ended: oneshot::Receiver<()>,
    /// Resolves when the peer is about to stop; `None` once it has resolved.
    leaving: Option<oneshot::Receiver<()>>,
    /// Closes the connection when it is dropped.
    _stop: oneshot::Sender<()>,
}

impl MonitoredConnection {
    /// Starts to monitor a connection that is being opened.
    pub fn new(handle: ConnectionHandle) -> Self {
        Self {
            client_future: handle.client,
            client: None,
            ping: None,
            ended: handle.ended,
            leaving: Some(handle.leaving),
            _stop: handle.stop,
        }
    }

    /// Returns the future that resolves to the client.
    pub fn client_future(&self) -> ClientFuture {
        self.client_future.clone()
    }

    /// Returns whether the connection has been opened.
    pub const fn is_open(&self) -> bool {
        self.client.is_some()
    }

    /// Waits until the connection fails to open, is lost or must be drained.
    ///
    /// This method is cancel safe.
    pub async fn next_event(&mut self) -> LinkEvent {
        if self.client.is_none() {
            match self.client_future.clone().await {
                Ok(client) => self.client = Some(client),
                Err(error) => return LinkEvent::Lost(error),
            }
        }
        loop {
            tokio::select! {
                _ = &mut self.ended => return LinkEvent::Lost(Error::Disconnected { sent: true }),
                () = wait_for_leaving(&mut self.leaving) => return LinkEvent::PeerLeaving,
                () = wait_for_pong(&mut self.ping) => self.ping = None,
            }
        }
    }

    /// Sends a ping unless one is outstanding.
    pub fn ping(&mut self, now: Instant) {
        let Some(client) = &self.client else {
            return;
        };
        if self.ping.is_some() {
            return;
        }
        let pong = client.ping_request().send().promise;
        self.ping = Some(Ping {
            sent_at: now,
            pong: pong.map(|result| result.map(|_| ())).boxed_local(),
        });
    }

    /// Returns whether a ping has been outstanding for `timeout`.
    pub fn ping_timed_out(&self, now: Instant, timeout: Duration) -> bool {
        self.ping
            .as_ref()
            .is_some_and(|ping| now.saturating_duration_since(ping.sent_at) >= timeout)
    }

    /// Restarts the ping timeout after a pause of this process, when a pong may still be unread.
    pub fn restart_ping_timeout(&mut self, now: Instant) {
        if let Some(ping) = &mut self.ping {
            ping.sent_at = now;
        }
    }
}

/// Waits until the peer announces that it is about to stop.
async fn wait_for_leaving(leaving: &mut Option<oneshot::Receiver<()>>) {
    let result = match leaving {
        Some(receiver) => receiver.await,
        None => std::future::pending().await,
    };
    *leaving = None;
    if result.is_err() {
        // The connection has ended, which `ended` reports.
        std::future::pending::<()>().await;
    }
}

/// Waits for the pong; a ping that failed stays outstanding until it times out.
async fn wait_for_pong(ping: &mut Option<Ping>) {
    if let Some(ping) = ping {
        match (&mut ping.pong).await {
            Ok(()) => return,
            Err(_) => ping.pong = std::future::pending().boxed_local(),
        }
    }
    std::future::pending::<()>().await;
}
