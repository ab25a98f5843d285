//! Queries for the log state of upstreams, and removal of fences from replicas.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::relay::{Access, FenceState, Session, fence_timeout};
use chervildrift_core::types::{LogPosition, Role, Service, Term, Upstream};
use chervildrift_platform::wire::{Command, parse_status};
use futures::StreamExt;
use futures::future::{FutureExt as _, LocalBoxFuture};
use futures::stream::FuturesUnordered;
use slog::{info, warn};
use tokio::time::{sleep, timeout};

use crate::relay::clock;
use crate::relay::connections::checkout::Checkout;
use crate::relay::connections::connection::Reply;
use crate::relay::fleet::link::{DemotionMessage, LinkRequest, LinkResponse};
use crate::relay::groups::leader_monitor::probe_request;
use crate::relay::node::Node;

/// Timeout for querying the state of an upstream.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for another VM's demotion of an upstream, with the way there and back.
const DEMOTION_TIMEOUT: Duration = STATUS_TIMEOUT.saturating_add(Duration::from_millis(200));

/// Maximum number of other VMs that are asked to demote an upstream.
const MAX_DEMOTING_VMS: usize = 32;

/// Interval at which a fenced replica is checked.
const FENCE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Log state that an upstream reports.
#[derive(Clone, Copy, Debug)]
pub(in crate::relay) struct UpstreamState {
    /// Role that the upstream reports for itself; `None` if it was too busy for a status query.
    pub role: Option<Role>,
    /// Newest term that the upstream knows.
    pub term: Term,
    /// Last received position, or the last applied one if the upstream was too busy for a status
    /// query.
    pub received: LogPosition,
    /// Term below which the upstream receives nothing, or 0 without a fence.
    pub fence: Term,
}

/// Runs a status or fence command at an upstream and returns the state that it reports.
pub(in crate::relay) async fn query_state(
    node: &Rc<Node>,
    upstream: &Upstream,
    command: Command<'_>,
) -> Option<UpstreamState> {
    let reply = run_commands(node, upstream, &[command]).await?;
    let row = reply.rows.first().and_then(|it| parse_status(it).ok());
    let received = row.and_then(|row| row.received).or(reply.position)?;
    Some(UpstreamState {
        role: row.map(|row| row.role),
        term: row.map_or(received.term, |row| row.term),
        received,
        fence: row.map_or(Term::default(), |row| row.fence),
    })
}

/// Makes a leader of a term below this one a replica; returns whether it is one now.
pub(in crate::relay) async fn demote(node: &Rc<Node>, upstream: &Upstream, term: Term) -> bool {
    let state = query_state(node, upstream, Command::Demote(term)).await;
    state.is_some_and(|it| it.role == Some(Role::Replica))
}

/// Demotes an upstream from this VM and all others that respond; returns whether one of them
/// succeeded.
///
/// A network fault may separate the upstream from this VM while others go on writing there.
pub(in crate::relay) async fn demote_from_fleet(
    node: &Rc<Node>,
    upstream: &Upstream,
    term: Term,
) -> bool {
    let message = DemotionMessage {
        upstream: upstream.clone(),
        term,
    };
    let others: Vec<SocketAddr> = {
        let peers = node.peers.borrow();
        let others = peers.iter().filter(|it| it.vm != node.settings.vm);
        others.take(MAX_DEMOTING_VMS).map(|it| it.address).collect()
    };
    let own = demote(node, upstream, term).boxed_local();
    let asked = others
        .into_iter()
        .map(|address| ask_to_demote(node, address, message.clone()).boxed_local());
    let mut results: FuturesUnordered<_> = asked.chain([own]).collect();
    while let Some(demoted) = results.next().await {
        if demoted {
            return true;
        }
    }
    false
}

/// Asks another VM to demote an upstream.
async fn ask_to_demote(node: &Node, address: SocketAddr, message: DemotionMessage) -> bool {
    let exchange = async {
        let mut link = node.links.take(address).await.ok()?;
        link.send(&LinkRequest::Demote(message)).await.ok()?;
        let Some(LinkResponse::Demoted(demoted)) = link.receive().await else {
            return None;
        };
        node.links.put(address, link);
        Some(demoted)
    };
    timeout(DEMOTION_TIMEOUT, exchange).await.ok().flatten() == Some(true)
}

/// Records the received position of a replica, its fence, and its term if it reports itself as
/// primary; lifts a stale fence.
///
/// Returns `None` if the replica does not reply.
pub(in crate::relay) async fn observe_replica(
    node: &Rc<Node>,
    service: &Service,
    upstream: &Upstream,
) -> Option<FenceState> {
    let state = query_state(node, upstream, Command::Status).await?;
    let fenced = state.fence > Term::default();
    let timeout = fence_timeout(node.sync_replicas(service));
    let fence = node.with_group(service, |group| {
        group.record_received(upstream, state.received);
        if state.role == Some(Role::Primary) {
            group.record_term(state.term);
        }
        group.record_fence(clock::now(), upstream, fenced, timeout)
    });
    node.replica_advanced.notify_waiters();
    match fence {
        FenceState::New => {
            let (node, service, upstream) = (Rc::clone(node), service.clone(), upstream.clone());
            tokio::task::spawn_local(watch_fence(node, service, upstream));
        }
        FenceState::Expired => {
            warn!(node.log, "stale fence on replica"; "event" => "fence",
                "service" => %service, "upstream" => %upstream, "fence" => %state.fence);
            unfence(node, service, upstream).await;
        }
        FenceState::Unfenced | FenceState::PromotionPending => {}
    }
    Some(fence)
}

/// Checks a fenced replica until it is no longer fenced as expected.
fn watch_fence(
    node: Rc<Node>,
    service: Service,
    upstream: Upstream,
) -> LocalBoxFuture<'static, ()> {
    async move {
        loop {
            sleep(FENCE_CHECK_INTERVAL).await;
            match observe_replica(&node, &service, &upstream).await {
                Some(FenceState::PromotionPending) => {}
                // A fence that is new since the last check has a watcher of its own.
                Some(FenceState::Unfenced | FenceState::New | FenceState::Expired) | None => return,
            }
        }
    }
    .boxed_local()
}

/// Lifts the fence of a replica, so that it receives again.
pub(in crate::relay) async fn unfence(node: &Rc<Node>, service: &Service, upstream: &Upstream) {
    let state = query_state(node, upstream, Command::Unfence).await;
    info!(node.log, "fence lifted"; "event" => "fence", "service" => %service,
        "upstream" => %upstream, "answered" => state.is_some());
}

/// Queries the last applied position of an upstream, which takes no slot there.
pub(in crate::relay) async fn query_applied(
    node: &Rc<Node>,
    upstream: &Upstream,
) -> Option<LogPosition> {
    let commands = [Command::Begin(Access::Read, None), Command::Rollback];
    run_commands(node, upstream, &commands).await?.position
}

/// Runs commands on behalf of the VM itself and returns the first reply.
async fn run_commands(
    node: &Rc<Node>,
    upstream: &Upstream,
    commands: &[Command<'_>],
) -> Option<Reply> {
    let exchange = async {
        let session = Session::default();
        let checkout = Checkout::open(node, upstream, probe_request(), &session, None, None).await;
        let mut checkout = checkout.ok()?;
        let replies = checkout.run_pipeline(commands, STATUS_TIMEOUT).await.ok()?;
        replies.into_iter().next()
    };
    timeout(STATUS_TIMEOUT, exchange).await.ok()?
}
