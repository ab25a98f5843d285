//! Sending of calls over an open link.

use std::cell::Cell;
use std::time::Duration;

use chervildrift_core::generation::BundleHash;
use chervildrift_core::types::GroupId;
use tokio::time::Instant;

use super::Error;
use super::call::{Answer, Call};
use super::message::{Handover, Request, TransactionStep};
use super::peer_capnp::peer::Client;
use super::{convert, convert_bundle};

/// Least time that is left of a deadline when a call is sent.
const LEAST_REMAINING: Duration = Duration::from_millis(1);

/// Sends a call and waits for its answer; sets `sent` before the first byte may leave.
pub async fn transmit(
    client: &Client,
    call: &mut Call,
    deadline: Instant,
    sent: &Cell<bool>,
) -> Result<Answer, Error> {
    match call {
        Call::Forward(request) => {
            request.remaining = remaining(deadline)?;
            forward(client, request, sent).await
        }
        Call::Transaction(step, request) => {
            request.remaining = remaining(deadline)?;
            transaction(client, *step, request, sent).await
        }
        Call::GroupState(group) => group_state(client, group, sent).await,
        Call::Bundle(hash, base) => bundle(client, *hash, *base, sent).await,
        Call::BurnDelta(delta) => burn_delta(client, delta, sent).await,
        Call::Handover(state) => handover(client, state, sent).await,
        Call::Ping => ping(client, sent).await,
    }
}

/// Returns the time left until the deadline.
fn remaining(deadline: Instant) -> Result<Duration, Error> {
    let left = deadline.saturating_duration_since(Instant::now());
    if left < LEAST_REMAINING {
        return Err(Error::Deadline { sent: false });
    }
    Ok(left)
}

/// Passes a call that the peer has taken.
const fn taken(refused: bool) -> Result<(), Error> {
    if refused { Err(Error::Refused) } else { Ok(()) }
}

async fn forward(client: &Client, request: &Request, sent: &Cell<bool>) -> Result<Answer, Error> {
    let mut call = client.forward_request();
    convert::write_request(request, call.get().init_request());
    sent.set(true);
    let response = call.send().promise.await?;
    let results = response.get()?;
    taken(results.get_refused())?;
    Ok(Answer::Reply(convert::read_reply(results.get_reply()?)?))
}

async fn transaction(
    client: &Client,
    step: TransactionStep,
    request: &Request,
    sent: &Cell<bool>,
) -> Result<Answer, Error> {
    let mut call = client.transaction_request();
    call.get().set_step(convert::step_out(step));
    convert::write_request(request, call.get().init_request());
    sent.set(true);
    let response = call.send().promise.await?;
    let results = response.get()?;
    taken(results.get_refused())?;
    Ok(Answer::Reply(convert::read_reply(results.get_reply()?)?))
}

async fn group_state(client: &Client, group: &GroupId, sent: &Cell<bool>) -> Result<Answer, Error> {
    let mut call = client.group_state_request();
    convert::write_group_id(group, call.get().init_group());
    sent.set(true);
    let response = call.send().promise.await?;
    let results = response.get()?;
    taken(results.get_refused())?;
    if !results.has_state() {
        return Ok(Answer::GroupState(None));
    }
    let state = convert::read_group(results.get_state()?)?;
    Ok(Answer::GroupState(Some(state)))
}

async fn bundle(
    client: &Client,
    hash: BundleHash,
    base: Option<BundleHash>,
    sent: &Cell<bool>,
) -> Result<Answer, Error> {
    let mut call = client.bundle_request();
    call.get().set_hash(hash.to_string());
    if let Some(base) = base {
        call.get().set_base(base.to_string());
    }
    sent.set(true);
    let response = call.send().promise.await?;
    let results = response.get()?;
    taken(results.get_refused())?;
    let answer = convert_bundle::read_bundle(results.get_answer()?)?;
    Ok(Answer::Bundle(answer))
}

async fn burn_delta(client: &Client, delta: &[u8], sent: &Cell<bool>) -> Result<Answer, Error> {
    let mut call = client.burn_delta_request();
    call.get().set_delta(delta);
    sent.set(true);
    let response = call.send().promise.await?;
    taken(response.get()?.get_refused())?;
    Ok(Answer::BurnDelta)
}

async fn handover(client: &Client, state: &Handover, sent: &Cell<bool>) -> Result<Answer, Error> {
    let mut call = client.handover_request();
    convert::write_handover(state, call.get().init_handover());
    sent.set(true);
    let response = call.send().promise.await?;
    let results = response.get()?;
    taken(results.get_refused())?;
    Ok(Answer::Handover(results.get_accepted()))
}

async fn ping(client: &Client, sent: &Cell<bool>) -> Result<Answer, Error> {
    let mut call = client.ping_request();
    // The call has no parameters, but it needs its empty struct.
    call.get();
    sent.set(true);
    let response = call.send().promise.await?;
    let results = response.get()?;
    taken(results.get_refused())?;
    Ok(Answer::Pong(convert::read_pong(results.get_pong()?)?))
}
