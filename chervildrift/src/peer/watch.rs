//! Watch over the connection of an outgoing link.

use std::time::Duration;

use futures::future::{FutureExt as _, LocalBoxFuture};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Error;
use super::opening::{Opening, Ready};
use super::peer_capnp::peer::Client;

/// A ping that waits for its pong.
struct Ping {
    sent: Instant,
    answer: LocalBoxFuture<'static, capnp::Result<()>>,
}

/// What happens to a connection.
pub enum Turn {
    /// It failed to open or was lost.
    Lost(Error),
    /// The peer is about to stop.
    Leaving,
}

/// Connection of a link from its opening to its loss.
///
/// Dropping it closes the connection.
pub struct Watch {
    ready: Ready,
    client: Option<Client>,
    ping: Option<Ping>,
    /// Resolves when the connection has ended.
    ended: oneshot::Receiver<()>,
    /// Resolves when the peer is about to stop; `None` once it has.
    leaving: Option<oneshot::Receiver<()>>,
    /// Closes the connection when it is dropped.
    _stop: oneshot::Sender<()>,
}

impl Watch {
    /// Starts the watch over a connection that opens.
    pub fn open(opening: Opening) -> Self {
        Self {
            ready: opening.ready,
            client: None,
            ping: None,
            ended: opening.ended,
            leaving: Some(opening.leaving),
            _stop: opening.stop,
        }
    }

    /// Returns the client to come.
    pub fn ready(&self) -> Ready {
        self.ready.clone()
    }

    /// Tells whether the connection has been opened.
    pub const fn opened(&self) -> bool {
        self.client.is_some()
    }

    /// Waits until the connection fails to open, is lost or is to be given up.
    ///
    /// Cancelling the wait loses nothing.
    pub async fn turn(&mut self) -> Turn {
        if self.client.is_none() {
            match self.ready.clone().await {
                Ok(client) => self.client = Some(client),
                Err(error) => return Turn::Lost(error),
            }
        }
        loop {
            tokio::select! {
                _ = &mut self.ended => return Turn::Lost(Error::Disconnected { sent: true }),
                () = notice(&mut self.leaving) => return Turn::Leaving,
                () = pong(&mut self.ping) => self.ping = None,
            }
        }
    }

    /// Sends a ping unless one waits for its pong.
    pub fn ping(&mut self, now: Instant) {
        let Some(client) = &self.client else {
            return;
        };
        if self.ping.is_some() {
            return;
        }
        let answer = client.ping_request().send().promise;
        self.ping = Some(Ping {
            sent: now,
            answer: answer.map(|result| result.map(|_| ())).boxed_local(),
        });
    }

    /// Tells whether a ping has waited for its pong for `limit`.
    pub fn silent(&self, now: Instant, limit: Duration) -> bool {
        self.ping
            .as_ref()
            .is_some_and(|ping| now.saturating_duration_since(ping.sent) >= limit)
    }

    /// Restarts the wait for a pong, which may lie unread after a pause of this process.
    pub fn forgive(&mut self, now: Instant) {
        if let Some(ping) = &mut self.ping {
            ping.sent = now;
        }
    }
}

/// Waits for the notice that the peer is about to stop.
async fn notice(leaving: &mut Option<oneshot::Receiver<()>>) {
    let result = match leaving {
        Some(receiver) => receiver.await,
        None => std::future::pending().await,
    };
    *leaving = None;
    if result.is_err() {
        // The connection has ended, which is reported elsewhere.
        std::future::pending::<()>().await;
    }
}

/// Waits for the pong; a failed ping counts as unanswered.
async fn pong(ping: &mut Option<Ping>) {
    if let Some(waiting) = ping {
        match (&mut waiting.answer).await {
            Ok(()) => return,
            Err(_) => waiting.answer = std::future::pending().boxed_local(),
        }
    }
    std::future::pending::<()>().await;
}
