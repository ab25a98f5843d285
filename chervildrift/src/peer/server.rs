//! RPC server for the calls of a peer.

use std::cell::Cell;
use std::rc::Rc;

use capnp::Error;
use chervildrift_core::generation::Answer;
use chervildrift_core::types::Vm;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::connection::MAX_CONTENT_BYTES;
use super::context::Context;
use super::message::{Access, Inbound, Reply, ReplyState, Request};
use super::peer_capnp::peer;
use super::{bundle_conversion, conversion};

/// Failure code of a read whose answer is larger than a link can carry.
const ANSWER_TOO_LARGE: &str = "answer_too_large";

/// RPC server of one inbound connection.
#[derive(Debug)]
pub struct Server {
    context: Rc<Context>,
    from: Vm,
    activity: Rc<Activity>,
}

/// Activity of one inbound connection.
#[derive(Debug)]
pub struct Activity {
    /// Number of calls without a response so far.
    pub in_flight: Cell<usize>,
    /// Last time at which a call started or ended.
    pub last_change: Cell<Instant>,
}

/// Guard that counts a call as in flight until it is dropped.
#[derive(Debug)]
struct CallGuard<'a>(&'a Activity);

impl<'a> CallGuard<'a> {
    fn new(activity: &'a Activity) -> Self {
        activity.in_flight.update(|count| count + 1);
        activity.last_change.set(Instant::now());
        Self(activity)
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.update(|count| count - 1);
        self.0.last_change.set(Instant::now());
    }
}

impl Server {
    /// Creates the server of a connection from the VM `from`.
    pub fn new(context: &Rc<Context>, from: Vm, activity: &Rc<Activity>) -> Self {
        Self {
            context: Rc::clone(context),
            from,
            activity: Rc::clone(activity),
        }
    }

    /// Passes a call to the event loop; returns `None` if the call was refused.
    async fn call_event_loop<T>(
        &self,
        to_inbound: impl FnOnce(oneshot::Sender<T>) -> Inbound,
    ) -> Result<Option<T>, Error> {
        if self.context.stopping.get() {
            return Ok(self.refuse());
        }
        let (reply, answer) = oneshot::channel();
        if self.context.inbound.try_send(to_inbound(reply)).is_err() {
            return Ok(self.refuse());
        }
        let _guard = CallGuard::new(&self.activity);
        match answer.await {
            Ok(answer) => Ok(Some(answer)),
            Err(_) => Err(Error::failed("the call was dropped".into())),
        }
    }

    fn refuse<T>(&self) -> Option<T> {
        self.context.counters.refused.increment();
        None
    }

    /// Passes a ping to the event loop, queued behind the waiting calls.
    async fn ping_event_loop(&self) -> Result<super::message::Pong, Error> {
        let (reply, answer) = oneshot::channel();
        self.context
            .inbound
            .send(Inbound::Ping { reply })
            .await
            .ok()
            .ok_or_else(event_loop_stopped)?;
        answer.await.ok().ok_or_else(event_loop_stopped)
    }
}

fn event_loop_stopped() -> Error {
    Error::failed("the event loop has stopped".into())
}

/// Replaces a reply that is too large for a link.
fn replace_oversized(reply: Reply, access: Access) -> Reply {
    if reply.answer.len() <= MAX_CONTENT_BYTES {
        return reply;
    }
    let state = match access {
        Access::Write => ReplyState::Unknown,
        Access::Read => ReplyState::Failed {
            code: ANSWER_TOO_LARGE.into(),
            message: "the answer is larger than a peer link carries".into(),
        },
    };
    Reply {
        state,
        answer: Vec::new(),
        ..reply
    }
}

/// Decodes a request; its access is returned too, for the size check of its reply.
fn decode_request(
    request: super::peer_capnp::request::Reader<'_>,
) -> Result<(Request, Access), Error> {
    let request = conversion::read_request(request)?;
    let access = request.access;
    Ok((request, access))
}

impl peer::Server for Server {
    async fn forward(
        self: Rc<Self>,
        params: peer::ForwardParams,
        mut results: peer::ForwardResults,
    ) -> Result<(), Error> {
        let (request, access) = decode_request(params.get()?.get_request()?)?;
        drop(params);
        let reply = self
            .call_event_loop(|reply| Inbound::Forward { request, reply })
            .await?;
        match reply {
            None => results.get().set_refused(true),
            Some(reply) => {
                conversion::write_reply(
                    &replace_oversized(reply, access),
                    results.get().init_reply(),
                );
            }
        }
        Ok(())
    }

    async fn transaction(
        self: Rc<Self>,
        params: peer::TransactionParams,
        mut results: peer::TransactionResults,
    ) -> Result<(), Error> {
        let step = conversion::step_from_wire(params.get()?.get_step())?;
        let (request, access) = decode_request(params.get()?.get_request()?)?;
        drop(params);
        let to_inbound = |reply| Inbound::Transaction {
            step,
            request,
            reply,
        };
        match self.call_event_loop(to_inbound).await? {
            None => results.get().set_refused(true),
            Some(reply) => {
                conversion::write_reply(
                    &replace_oversized(reply, access),
                    results.get().init_reply(),
                );
            }
        }
        Ok(())
    }

    async fn group_state(
        self: Rc<Self>,
        params: peer::GroupStateParams,
        mut results: peer::GroupStateResults,
    ) -> Result<(), Error> {
        let group = conversion::read_group_id(params.get()?.get_group()?)?;
        match self
            .call_event_loop(|reply| Inbound::GroupState { group, reply })
            .await?
        {
            None => results.get().set_refused(true),
            Some(None) => {}
            Some(Some(state)) => conversion::write_group(&state, results.get().init_state()),
        }
        Ok(())
    }

    async fn bundle(
        self: Rc<Self>,
        params: peer::BundleParams,
        mut results: peer::BundleResults,
    ) -> Result<(), Error> {
        let from = self.from.clone();
        let hash = bundle_conversion::read_hash(params.get()?.get_hash())?;
        let base = bundle_conversion::read_base(params.get()?)?;
        let to_inbound = |reply| Inbound::Bundle {
            from,
            hash,
            base,
            reply,
        };
        match self.call_event_loop(to_inbound).await? {
            None => results.get().set_refused(true),
            Some(Answer::Body(body)) if body.size() > MAX_CONTENT_BYTES => {
                // The requesting VM then reads the bundle from the object store.
                bundle_conversion::write_bundle(&Answer::Unknown, results.get().init_answer());
            }
            Some(answer) => bundle_conversion::write_bundle(&answer, results.get().init_answer()),
        }
        Ok(())
    }

    async fn burn_delta(
        self: Rc<Self>,
        params: peer::BurnDeltaParams,
        mut results: peer::BurnDeltaResults,
    ) -> Result<(), Error> {
        let from = self.from.clone();
        let delta = params.get()?.get_delta()?.to_vec();
        let to_inbound = |reply| Inbound::BurnDelta { from, delta, reply };
        let reply = self.call_event_loop(to_inbound).await?;
        results.get().set_refused(reply.is_none());
        Ok(())
    }

    async fn handover(
        self: Rc<Self>,
        params: peer::HandoverParams,
        mut results: peer::HandoverResults,
    ) -> Result<(), Error> {
        let from = self.from.clone();
        let handover = conversion::read_handover(params.get()?.get_handover()?)?;
        let to_inbound = |reply| Inbound::Handover {
            from,
            handover,
            reply,
        };
        match self.call_event_loop(to_inbound).await? {
            None => results.get().set_refused(true),
            Some(accepted) => results.get().set_accepted(accepted),
        }
        Ok(())
    }

    async fn ping(
        self: Rc<Self>,
        _params: peer::PingParams,
        mut results: peer::PingResults,
    ) -> Result<(), Error> {
        let pong = self.ping_event_loop().await?;
        conversion::write_pong(pong, results.get().init_pong());
        Ok(())
    }
}
