//! Handle for calls to peers from any thread.

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
/// Dropping the future of a call cancels the call.
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

    /// Returns the address on which this VM accepts connections of peers.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counters of the peer links.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Forwards a request, together with the time left until the deadline.
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

    /// Requests the state of a group.
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

    /// Requests a configuration bundle, or the patches that turn `base` into it.
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

    /// Sends burn rate counters.
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

    /// Hands an upstream over, and returns whether the peer accepted it.
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

    /// Checks that the event loop of the peer makes progress.
    pub async fn ping(&self, peer: SocketAddr, deadline: Instant) -> Result<Pong, Error> {
        match self.call(peer, Call::Ping, deadline).await? {
            Response::Pong(pong) => Ok(pong),
            _ => Err(mismatched_response()),
        }
    }

    /// Rejects further calls, waits up to `grace` for those in flight, and closes all links.
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
        // The thread ended while the call was queued or in flight.
        let ended = Error::Stopped { sent: true };
        response.await.unwrap_or(Err(ended))
    }
}

/// Stops one peer thread and waits for its end.
async fn stop_worker(worker: &Worker, grace: Duration) {
    let (done, stopped) = oneshot::channel();
    if worker
        .commands
        .send(Command::Stop { grace, done })
        .await
        .is_ok()
    {
        // An error means that the thread has already ended.
        let _ = stopped.await;
    }
}

fn mismatched_response() -> Error {
    Error::Failed("the response belongs to another type of call".into())
}
