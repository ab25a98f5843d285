//! Holder's side of links: runs the statements of other VMs on this VM's connections.

use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::relay::{Code, Session, fallback_kind};
use chervildrift_core::types::{Rank, Upstream};
use chervildrift_platform::wire::Command;
use tokio::time::sleep;

use crate::relay::clock;
use crate::relay::connections::checkout::{Checkout, CheckoutError};
use crate::relay::connections::connection::{ConnectionError, Reply};
use crate::relay::connections::pool::AcquireRequest;
use crate::relay::fleet::link::{
    AcquireMessage, Link, LinkCommand, LinkRefusal, LinkRequest, LinkResponse, RanMessage,
    RunMessage, SessionState,
};
use crate::relay::fleet::{outliers, view};
use crate::relay::groups::confirm::await_receipt;
use crate::relay::groups::replicas;
use crate::relay::node::Node;
use crate::relay::quotas;
use crate::relay::sessions::transaction::ROLLBACK_TIMEOUT;
use crate::relay::stop::StopPhase;

/// Time after which the other VM is told that its request is queued.
const QUEUED_DELAY: Duration = Duration::from_millis(50);

/// Serves a link until it ends, beginning with its first request.
pub(in crate::relay) async fn serve(node: &Rc<Node>, mut link: Link, first: LinkRequest) {
    let mut next = Some(first);
    while let Some(request) = next {
        let served = match request {
            LinkRequest::Acquire(message) => lend(node, &mut link, message).await,
            LinkRequest::View(request) => {
                outliers::hear(node, &request.ejections);
                let view = Box::new(view::cached_view(node, &request));
                link.send(&LinkResponse::View(view)).await.is_ok()
            }
            LinkRequest::AwaitReceived(message) => {
                let position = await_receipt(node, &message).await;
                let response = LinkResponse::Position(position);
                link.send(&response).await.is_ok()
            }
            LinkRequest::Demote(message) => {
                let demoted = replicas::demote(node, &message.upstream, message.term).await;
                link.send(&LinkResponse::Demoted(demoted)).await.is_ok()
            }
            LinkRequest::Ask(ask) => {
                let grant = quotas::grant(node, &ask);
                link.send(&LinkResponse::Quota(grant)).await.is_ok()
            }
            // Nothing is acquired outside `lend`.
            LinkRequest::Run(_) | LinkRequest::Release(_) => false,
        };
        if !served {
            return;
        }
        next = link.receive().await;
    }
}

/// Lends a connection over the link; returns whether the link may be used again.
async fn lend(node: &Rc<Node>, link: &mut Link, message: AcquireMessage) -> bool {
    let loan_count = &node.loan_count;
    loan_count.set(loan_count.get() + 1);
    let (upstream, rank) = (message.upstream.clone(), message.rank);
    let served = match acquire(node, link, message).await {
        Some(Ok((mut checkout, ran))) => {
            let wait_ms = pool_wait_ms(node, &upstream, rank);
            let failed = ran.as_ref().is_some_and(|ran| ran.result.is_err());
            let response = if let Some(ran) = ran {
                LinkResponse::Ran(RanMessage { wait_ms, ..ran })
            } else {
                checkout.rest();
                LinkResponse::Granted(wait_ms)
            };
            let sent = link.send(&response).await.is_ok();
            sent && (failed || run_until_release(link, &mut checkout).await)
        }
        Some(Err(refusal)) => link.send(&LinkResponse::Refused(refusal)).await.is_ok(),
        None => false,
    };
    loan_count.set(loan_count.get() - 1);
    served
}

/// Returns the estimated wait for a connection at this VM and a slot, in milliseconds.
fn pool_wait_ms(node: &Node, upstream: &Upstream, rank: Rank) -> u64 {
    let wait = node.pool(upstream).map(|pool| pool.own_wait(rank));
    wait.unwrap_or_default().as_millis() as u64
}

/// Acquires a connection and runs the commands of the request, if any; `None` if the link ends
/// meanwhile.
async fn acquire(
    node: &Rc<Node>,
    link: &mut Link,
    message: AcquireMessage,
) -> Option<Result<(Checkout, Option<RanMessage>), LinkRefusal>> {
    if *node.stop_phase.borrow() > StopPhase::Serving {
        return Some(Err(LinkRefusal::Stopping));
    }
    let pool = node.pool(&message.upstream);
    let Some(pool) = pool.filter(|it| it.holders().may_hold(&node.settings.vm)) else {
        return Some(Err(LinkRefusal::NotHolder));
    };
    let kind = if pool.declares(&message.kind) {
        message.kind
    } else {
        fallback_kind(message.rank)
    };
    let request = AcquireRequest {
        kind,
        rank: message.rank,
        caller: message.caller,
        organisation: message.organisation,
        deadline: clock::now() + Duration::from_millis(message.remaining_ms),
    };
    let session = Session::with_variables(message.state.variables);
    let prepared = message.state.prepared.as_ref();
    let run = message.run.as_ref();
    let opening = async {
        let mut checkout = Checkout::open_local(node, &pool, request, &session, prepared).await?;
        let Some(run) = run else {
            return Ok((checkout, None));
        };
        let started = clock::now();
        let result = run_commands(&mut checkout, run).await;
        let ran = RanMessage {
            wait_ms: 0,
            run_ms: clock::now().since(started).as_millis() as u64,
            result,
        };
        Ok((checkout, Some(ran)))
    };
    tokio::pin!(opening);
    let mut queued = false;
    let opened = loop {
        tokio::select! {
            biased;
            opened = &mut opening => break opened,
            () = sleep(QUEUED_DELAY), if !queued => {
                link.send(&LinkResponse::Queued).await.ok()?;
                queued = true;
            }
            // The other VM sends nothing before the response unless it gives up.
            _ended = link.receive::<LinkRequest>() => return None,
        }
    };
    Some(opened.map_err(|err| match err {
        CheckoutError::Refused(failure) => {
            let retry = failure.retry_delay.unwrap_or_default();
            LinkRefusal::Busy(failure.detail, retry.as_millis() as u64)
        }
        CheckoutError::Connection(err) => LinkRefusal::Connection(err),
    }))
}

/// Runs commands of the other VM until it returns the connection or the link ends; rolls back a
/// transaction that is open then.
async fn run_until_release(link: &mut Link, checkout: &mut Checkout) -> bool {
    let served = loop {
        match link.receive().await {
            Some(LinkRequest::Run(message)) => {
                let result = run_commands(checkout, &message).await;
                let failed = result.is_err();
                let response = match result {
                    Ok(replies) => LinkResponse::Replies(replies),
                    Err(err) => LinkResponse::Failed(err),
                };
                let sent = link.send(&response).await.is_ok();
                if !sent || failed {
                    break sent;
                }
            }
            Some(LinkRequest::Release(completion)) => {
                checkout.set_completion(completion);
                break true;
            }
            _ => break false,
        }
    };
    if !checkout.is_reusable() && !checkout.has_pending() {
        // Without a reply the connection stays pending and is closed when it is returned.
        let _answered = checkout
            .run_pipeline(&[Command::Rollback], ROLLBACK_TIMEOUT)
            .await;
    }
    served
}

async fn run_commands(
    checkout: &mut Checkout,
    message: &RunMessage,
) -> Result<Vec<Reply>, ConnectionError> {
    let commands: Vec<Command<'_>> = message
        .commands
        .iter()
        .map(LinkCommand::as_command)
        .collect();
    if commands.is_empty() {
        return Err(ConnectionError::Refused(
            Code::Malformed,
            "no command".into(),
        ));
    }
    let limit = Duration::from_millis(message.limit_ms);
    let Some(SessionState {
        variables,
        prepared,
    }) = message.state.clone()
    else {
        return checkout.run_pipeline(&commands, limit).await;
    };
    let session = Session::with_variables(variables);
    checkout
        .run_in_session(&session, prepared.as_ref(), &commands, limit)
        .await
}
