//! Handle of the peer threads, for any thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use chervildrift_core::generation::{self, BundleHash};
use chervildrift_core::types::GroupId;
use tokio::sync::{mpsc, oneshot};

use super::Error;
use super::call::{Call, QueuedCall, Response};
use super::connection::MAX_CONTENT_BYTES;
use super::counters::Counters;
use super::message::{GroupState, Handover, Pong, Reply, Request, TransactionStep};
use super::thread::Command;
use super::workers::{self, Worker};

/// Handle of the peer links; the links stop when the last clone is dropped.
///
/// Dropping the future of a call drops the call.
#[derive(Clone, Debug)]
pub struct Handle {
    address: SocketAddr,
    workers: Arc<[Worker]>,
    counters: Arc<Counters>,
}

impl Handle {
    pub(super) fn new(
        address: SocketAddr,
        workers: Arc<[Worker]>,
        counters: Arc<Counters>,
    ) -> Self {
        Self {
            address,
            workers,
            counters,
        }
    }

    /// Returns the address that is listened on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Forwards a request; the peer is told the time that is left until the deadline.
    pub async fn forward(
        &self,
        peer: SocketAddr,
        request: Request,
        deadline: Instant,
    ) -> Result<Reply, Error> {
        match self.call(peer, Call::Forward(request), deadline).await? {
            Response::Reply(reply) => Ok(reply),
            _ => Err(mismatched_response()),
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
            Response::Reply(reply) => Ok(reply),
            _ => Err(mismatched_response()),
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
            Response::GroupState(state) => Ok(state),
            _ => Err(mismatched_response()),
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
            Response::Bundle(answer) => Ok(answer),
            _ => Err(mismatched_response()),
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
            Response::BurnDelta => Ok(()),
            _ => Err(mismatched_response()),
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
            Response::Handover(accepted) => Ok(accepted),
            _ => Err(mismatched_response()),
        }
    }

    /// Asks whether the event loop of the peer makes progress.
    pub async fn ping(&self, peer: SocketAddr, deadline: Instant) -> Result<Pong, Error> {
        match self.call(peer, Call::Ping, deadline).await? {
            Response::Pong(pong) => Ok(pong),
            _ => Err(mismatched_response()),
        }
    }

    /// Stops: takes no further calls, waits for those in flight up to `grace`, and closes.
    pub async fn stop(&self, grace: Duration) {
        let stops = self.workers.iter().map(|worker| stop_worker(worker, grace));
        futures::future::join_all(stops).await;
    }

    async fn call(
        &self,
        peer: SocketAddr,
        call: Call,
        deadline: Instant,
    ) -> Result<Response, Error> {
        if call.content_bytes() > MAX_CONTENT_BYTES {
            return Err(Error::Oversized);
        }
        let worker = workers::choose(&self.workers, peer).ok_or(Error::Stopped { sent: false })?;
        let _guard = worker.start_call();
        let (reply, response) = oneshot::channel();
        let call = QueuedCall {
            call,
            deadline: deadline.into(),
            reply,
        };
        worker
            .commands
            .try_send(Command::Call { peer, call })
            .map_err(|error| match error {
                mpsc::error::TrySendError::Full(_) => Error::Busy,
                mpsc::error::TrySendError::Closed(_) => Error::Stopped { sent: false },
            })?;
        // The thread ended with the call in its queue or in flight.
        let ended = Error::Stopped { sent: true };
        response.await.unwrap_or(Err(ended))
    }
}

/// Stops one thread.
async fn stop_worker(worker: &Worker, grace: Duration) {
    let (done, stopped) = oneshot::channel();
    if worker
        .commands
        .send(Command::Stop { grace, done })
        .await
        .is_ok()
    {
        // An error means that the thread has ended.
        let _ = stopped.await;
    }
}

fn mismatched_response() -> Error {
    Error::Failed("the answer belongs to another call".into())
}
