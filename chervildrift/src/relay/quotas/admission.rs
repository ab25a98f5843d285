//! Permits for operations.

use std::net::SocketAddr;
use std::time::Duration;

use chervildrift_core::quota::{Ask, Grant, Permit};
use chervildrift_core::relay::Code;
use chervildrift_core::types::Organisation;
use slog::info;
use tokio::time::timeout;

use super::shares;
use crate::relay::clock;
use crate::relay::fleet::link::{LinkRequest, LinkResponse};
use crate::relay::log_quotas::RequestEvent;
use crate::relay::node::Node;
use crate::relay::sessions::response::Failure;

/// Timeout for the response of a keeper; several times the network delay between regions.
const ASK_TIMEOUT: Duration = Duration::from_millis(200);

/// Time after which no further keeper is asked for an operation, so that a fleet with lost keepers
/// refuses it while the caller can still try elsewhere.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(450);

/// Time for which a VM that gave no response is not asked.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// Returns a permit for one operation, or `None` if the organisation has no quota; fails if the
/// quota is used up.
pub(in crate::relay) async fn admit(
    node: &Node,
    organisation: &Organisation,
    id: &str,
) -> Result<Option<Permit>, Failure> {
    let Some(quota) = shares::quota(node, organisation) else {
        return Ok(None);
    };
    let wallet = &node.quotas.wallet;
    let label = node.quotas.label(organisation);
    let started = clock::now();
    wallet.borrow_mut().count_operation(started, organisation);
    loop {
        let now = clock::now();
        if let Some(permit) = wallet.borrow_mut().take(now, organisation) {
            node.metrics.count_quota(label, "admitted");
            return Ok(Some(permit));
        }
        let is_late = now.since(started) >= ADMISSION_TIMEOUT;
        let source = wallet.borrow().next_source(now, organisation);
        let Some(source) = source.filter(|_| !is_late) else {
            break;
        };
        let ask = wallet.borrow().ask(organisation);
        let grant = request_grant(node, source, ask).await;
        let mut wallet = wallet.borrow_mut();
        wallet.apply(clock::now(), now, organisation, source, grant);
    }
    node.metrics.count_quota(label, "refused");
    let delay = wallet.borrow().retry_delay(clock::now(), organisation);
    if let Some(dropped) = node.admit_log_line(RequestEvent::Quota) {
        let recent = wallet.borrow().recent(organisation);
        info!(node.log, "quota used up"; "event" => "quota", "request" => id,
            "organisation" => %organisation, "rate" => quota.rate, "burst" => quota.burst,
            "asked_here" => recent.asked, "granted_here" => recent.granted,
            "retry_ms" => delay.as_millis() as u64, "dropped" => dropped);
    }
    let detail = format!("quota of {organisation} used up");
    Err(Failure::new(Code::Busy, detail).retry_after(delay))
}

/// Asks the keeper of a zone; `None` if there is none or it gives no response.
async fn request_grant(node: &Node, source: usize, ask: Ask) -> Option<Grant> {
    let now = clock::now();
    let zone = node.quotas.zones.get(source)?;
    let (vm, address) = {
        let roster = node.quotas.roster.borrow();
        let keeper = roster.keeper(now, zone, &ask.organisation)?;
        (keeper.vm.clone(), keeper.address)
    };
    if vm == node.settings.vm {
        return shares::grant(node, &ask);
    }
    let failed_at = node.links.failed_at(address);
    if failed_at.is_some_and(|at| now.since(at) < FAILURE_PAUSE) {
        return None;
    }
    timeout(ASK_TIMEOUT, exchange(node, address, ask))
        .await
        .ok()?
}

async fn exchange(node: &Node, address: SocketAddr, ask: Ask) -> Option<Grant> {
    let mut link = node.links.take(address).await.ok()?;
    link.send(&LinkRequest::Ask(ask)).await.ok()?;
    match link.receive().await? {
        LinkResponse::Quota(grant) => {
            node.links.put(address, link);
            grant
        }
        _ => None,
    }
}
