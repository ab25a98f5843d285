//! Calls to a peer that are queued or in flight.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use chervildrift_core::generation::{self, BundleHash};
use chervildrift_core::types::GroupId;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

use super::Error;
use super::message::{GroupState, Handover, Pong, Reply, Request, TransactionStep};
use super::peer_capnp::peer::Client;
use super::transmission::transmit;

/// A call to a peer.
#[derive(Debug)]
pub enum Call {
    Forward(Request),
    Transaction(TransactionStep, Request),
    GroupState(GroupId),
    Bundle(BundleHash, Option<BundleHash>),
    BurnDelta(Vec<u8>),
    Handover(Handover),
    Ping,
}

impl Call {
    /// Estimates the size of the call's contents in bytes.
    pub fn content_bytes(&self) -> usize {
        match self {
            Self::Forward(request) | Self::Transaction(_, request) => request_bytes(request),
            Self::BurnDelta(delta) => delta.len(),
            Self::Handover(handover) => handover.state.len(),
            Self::GroupState(_) | Self::Bundle(..) | Self::Ping => 0,
        }
    }
}

fn request_bytes(request: &Request) -> usize {
    let statements = request
        .statements
        .iter()
        .map(|statement| statement.sql.len() + statement.params.len())
        .sum::<usize>();
    statements + request.key.len()
}

/// Response of a peer, with one variant for each type of response.
#[derive(Debug)]
pub enum Response {
    Reply(Reply),
    GroupState(Option<GroupState>),
    Bundle(generation::Answer),
    BurnDelta,
    Handover(bool),
    Pong(Pong),
}

/// A call that waits for its response.
///
/// Dropping it fails the call with the error of its link.
#[derive(Debug)]
pub struct PendingCall {
    call: Call,
    deadline: Instant,
    reply: Option<oneshot::Sender<Result<Response, Error>>>,
    sent: Cell<bool>,
    link_error: Rc<RefCell<Error>>,
}

/// A call that another thread has put into the queue of a peer thread.
#[derive(Debug)]
pub struct QueuedCall {
    pub call: Call,
    pub deadline: Instant,
    pub reply: oneshot::Sender<Result<Response, Error>>,
}

impl QueuedCall {
    /// Fails the call before it was sent.
    pub fn fail(self, error: &Error) {
        // Sending fails if the caller has stopped waiting.
        let _ = self.reply.send(Err(error.for_call(false)));
    }
}

impl PendingCall {
    /// Creates a pending call from a queued one; if it is dropped, it fails with `link_error`.
    pub fn new(queued_call: QueuedCall, link_error: Rc<RefCell<Error>>) -> Self {
        Self {
            call: queued_call.call,
            deadline: queued_call.deadline,
            reply: Some(queued_call.reply),
            sent: Cell::new(false),
            link_error,
        }
    }

    /// Runs the call once `client` resolves, unless its caller stops waiting.
    pub async fn run(mut self, client: impl Future<Output = Result<Client, Error>>) {
        let Self {
            call,
            deadline,
            reply,
            sent,
            ..
        } = &mut self;
        let result = tokio::select! {
            biased;
            () = wait_closed(reply.as_mut()) => None,
            result = exchange(call, *deadline, sent, client) => Some(result),
        };
        let reply = self.reply.take();
        if let (Some(reply), Some(result)) = (reply, result) {
            // Sending fails if the caller has just stopped waiting.
            let _ = reply.send(result);
        }
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        if let Some(reply) = self.reply.take() {
            let error = self.link_error.borrow().for_call(self.sent.get());
            // Sending fails if the caller has stopped waiting.
            let _ = reply.send(Err(error));
        }
    }
}

/// Waits until the receiver of the reply is dropped.
async fn wait_closed(reply: Option<&mut oneshot::Sender<Result<Response, Error>>>) {
    if let Some(reply) = reply {
        reply.closed().await;
    }
}

/// Waits for the client, sends the call and waits for its response until the deadline.
async fn exchange(
    call: &mut Call,
    deadline: Instant,
    sent: &Cell<bool>,
    client: impl Future<Output = Result<Client, Error>>,
) -> Result<Response, Error> {
    let response = async {
        let client = client.await?;
        transmit(&client, call, deadline, sent).await
    };
    match timeout_at(deadline, response).await {
        Ok(result) => result.map_err(|error| error.for_call(sent.get())),
        Err(_) => Err(Error::Deadline { sent: sent.get() }),
    }
}
