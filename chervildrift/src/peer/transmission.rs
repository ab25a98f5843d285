//! Transmission of calls over an open link.

use std::cell::Cell;
use std::time::Duration;

use chervildrift_core::generation::BundleHash;
use chervildrift_core::types::GroupId;
use tokio::time::Instant;

use super::Error;
use super::call::{Call, Response};
use super::message::{Handover, Request, TransactionStep};
use super::peer_capnp::peer::Client;
use super::{bundle_conversion, conversion};

/// Minimum time left until the deadline for a request to be sent.
const MIN_REMAINING: Duration = Duration::from_millis(1);

/// Sends a call and waits for its response; sets `sent` before any byte may be sent.
pub async fn transmit(
    client: &Client,
    call: &mut Call,
    deadline: Instant,
    sent: &Cell<bool>,
) -> Result<Response, Error> {
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
    if left < MIN_REMAINING {
        return Err(Error::Deadline { sent: false });
    }
    Ok(left)
}

/// Fails if the peer refused the call.
const fn check_accepted(refused: bool) -> Result<(), Error> {
    if refused { Err(Error::Refused) } else { Ok(()) }
}

async fn forward(client: &Client, request: &Request, sent: &Cell<bool>) -> Result<Response, Error> {
    let mut call = client.forward_request();
    conversion::write_request(request, call.get().init_request());
    sent.set(true);
    let response = call.send().promise.await?;
    let results = response.get()?;
    check_accepted(results.get_refused())?;
    Ok(Response::Reply(conversion::read_reply(
        results.get_reply()?,
    )?))
}

async fn transaction(
    client: &Client,
    step: TransactionStep,
    request: &Request,
    sent: &Cell<bool>,
) -> Result<Response, Error> {
    let mut call = client.transaction_request();
    call.get().set_step(conversion::step_to_wire(step));
    conversion::write_request(request, call.get().init_request());
    sent.set(true);
    let response = call.send().promise.await?;
    let results = response.get()?;
    check_accepted(results.get_refused())?;
    Ok(Response::Reply(conversion::read_reply(
        results.get_reply()?,
    )?))
}

async fn group_state(
    client: &Client,
    group: &GroupId,
    sent: &Cell<bool>,
) -> Result<Response, Error> {
    let mut call = client.group_state_request();
    conversion::write_group_id(group, call.get().init_group());
    sent.set(true);
    let response = call.send().promise.await?;
    let results = response.get()?;
    check_accepted(results.get_refused())?;
    if !results.has_state() {
        return Ok(Response::GroupState(None));
    }
    let state = conversion::read_group(results.get_state()?)?;
    Ok(Response::GroupState(Some(state)))
}

async fn bundle(
    client: &Client,
    hash: BundleHash,
    base: Option<BundleHash>,
    sent: &Cell<bool>,
) -> Result<Response, Error> {
    let mut call = client.bundle_request();
    call.get().set_hash(hash.to_string());
    if let Some(base) = base {
        call.get().set_base(base.to_string());
    }
    sent.set(true);
    let response = call.send().promise.await?;
    let results = response.get()?;
    check_accepted(results.get_refused())?;
    let answer = bundle_conversion::read_bundle(results.get_answer()?)?;
    Ok(Response::Bundle(answer))
}

async fn burn_delta(client: &Client, delta: &[u8], sent: &Cell<bool>) -> Result<Response, Error> {
    let mut call = client.burn_delta_request();
    call.get().set_delta(delta);
    sent.set(true);
    let response = call.send().promise.await?;
    check_accepted(response.get()?.get_refused())?;
    Ok(Response::BurnDelta)
}

async fn handover(client: &Client, state: &Handover, sent: &Cell<bool>) -> Result<Response, Error> {
    let mut call = client.handover_request();
    conversion::write_handover(state, call.get().init_handover());
    sent.set(true);
    let response = call.send().promise.await?;
    let results = response.get()?;
    check_accepted(results.get_refused())?;
    Ok(Response::Handover(results.get_accepted()))
}

async fn ping(client: &Client, sent: &Cell<bool>) -> Result<Response, Error> {
    let mut call = client.ping_request();
    // The call has no parameters, but its empty struct must be initialised.
    call.get();
    sent.set(true);
    let response = call.send().promise.await?;
    let results = response.get()?;
    check_accepted(results.get_refused())?;
    Ok(Response::Pong(conversion::read_pong(results.get_pong()?)?))
}
