//! Handle of the peer threads, for any thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use chervildrift_core::generation::{self, BundleHash};
use chervildrift_core::types::GroupId;
use tokio::sync::{mpsc, oneshot};

use super::Error;
use super::call::{Answer, Call, Order};
use super::connection::CONTENT_BYTES;
use super::counts::Counts;
use super::lanes::{self, Lane};
use super::message::{GroupState, Handover, Pong, Reply, Request, TransactionStep};
use super::thread::Command;

/// Handle of the peer links; the links stop when the last clone is dropped.
///
/// Dropping the future of a call drops the call.
#[derive(Clone, Debug)]
pub struct Handle {
    address: SocketAddr,
    lanes: Arc<[Lane]>,
    counts: Arc<Counts>,
}

impl Handle {
    pub(super) fn open(address: SocketAddr, lanes: Arc<[Lane]>, counts: Arc<Counts>) -> Self {
        Self {
            address,
            lanes,
            counts,
        }
    }

    /// Returns the address that is listened on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counters.
    #[must_use]
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Forwards a request; the peer is told the time that is left until the deadline.
    pub async fn forward(
        &self,
        peer: SocketAddr,
        request: Request,
        deadline: Instant,
    ) -> Result<Reply, Error> {
        match self.call(peer, Call::Forward(request), deadline).await? {
            Answer::Reply(reply) => Ok(reply),
            _ => Err(mismatch()),
        }
    }

    /// Runs a step of a transaction.
    pub async fn transaction(
        &self,
        peer: SocketAddr,
        step: TransactionStep,
        request: Request,
        deadline: Instant,
    ) -> Result<Reply, Error> {
        let call = Call::Transaction(step, request);
        match self.call(peer, call, deadline).await? {
            Answer::Reply(reply) => Ok(reply),
            _ => Err(mismatch()),
        }
    }

    /// Asks for the state of a group.
    pub async fn group_state(
        &self,
        peer: SocketAddr,
        group: GroupId,
        deadline: Instant,
    ) -> Result<Option<GroupState>, Error> {
        match self.call(peer, Call::GroupState(group), deadline).await? {
            Answer::GroupState(state) => Ok(state),
            _ => Err(mismatch()),
        }
    }

    /// Asks for a configuration bundle, or for the changes that lead to it from `base`.
    pub async fn bundle(
        &self,
        peer: SocketAddr,
        hash: BundleHash,
        base: Option<BundleHash>,
        deadline: Instant,
    ) -> Result<generation::Answer, Error> {
        match self.call(peer, Call::Bundle(hash, base), deadline).await? {
            Answer::Bundle(answer) => Ok(answer),
            _ => Err(mismatch()),
        }
    }

    /// Delivers counters of the service-level burn.
    pub async fn burn_delta(
        &self,
        peer: SocketAddr,
        delta: Vec<u8>,
        deadline: Instant,
    ) -> Result<(), Error> {
        match self.call(peer, Call::BurnDelta(delta), deadline).await? {
            Answer::BurnDelta => Ok(()),
            _ => Err(mismatch()),
        }
    }

    /// Hands an upstream over; the answer tells whether the peer accepted it.
    pub async fn handover(
        &self,
        peer: SocketAddr,
        handover: Handover,
        deadline: Instant,
    ) -> Result<bool, Error> {
        match self.call(peer, Call::Handover(handover), deadline).await? {
            Answer::Handover(accepted) => Ok(accepted),
            _ => Err(mismatch()),
        }
    }

    /// Asks whether the event loop of the peer makes progress.
    pub async fn ping(&self, peer: SocketAddr, deadline: Instant) -> Result<Pong, Error> {
        match self.call(peer, Call::Ping, deadline).await? {
            Answer::Pong(pong) => Ok(pong),
            _ => Err(mismatch()),
        }
    }

    /// Stops: takes no further calls, waits for those in flight up to `grace`, and closes.
    pub async fn stop(&self, grace: Duration) {
        let stops = self.lanes.iter().map(|lane| stop(lane, grace));
        futures::future::join_all(stops).await;
    }

    async fn call(&self, peer: SocketAddr, call: Call, deadline: Instant) -> Result<Answer, Error> {
        if call.bytes() > CONTENT_BYTES {
            return Err(Error::Oversized);
        }
        let lane = lanes::choose(&self.lanes, peer).ok_or(Error::Stopped { sent: false })?;
        let _flight = lane.enter();
        let (reply, answer) = oneshot::channel();
        let order = Order {
            call,
            deadline: deadline.into(),
            reply,
        };
        lane.commands
            .try_send(Command::Call { peer, order })
            .map_err(|error| match error {
                mpsc::error::TrySendError::Full(_) => Error::Busy,
                mpsc::error::TrySendError::Closed(_) => Error::Stopped { sent: false },
            })?;
        // The thread ended with the call in its queue or in flight.
        let ended = Error::Stopped { sent: true };
        answer.await.unwrap_or(Err(ended))
    }
}

/// Stops one thread.
async fn stop(lane: &Lane, grace: Duration) {
    let (done, stopped) = oneshot::channel();
    if lane
        .commands
        .send(Command::Stop { grace, done })
        .await
        .is_ok()
    {
        // An error means that the thread has ended.
        let _ = stopped.await;
    }
}

fn mismatch() -> Error {
    Error::Failed("the answer belongs to another call".into())
}
