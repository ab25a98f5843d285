//! What upstreams tell of their logs, and the fences that replicas are put behind.

use std::rc::Rc;
use std::time::Duration;

use chervildrift_core::relay::{Access, FenceState, Session};
use chervildrift_core::types::{LogPosition, Role, Service, Term, Upstream};
use chervildrift_platform::wire::{Command, parse_status};
use futures::future::{FutureExt as _, LocalBoxFuture};
use slog::{info, warn};
use tokio::time::{sleep, timeout};

use super::clock;
use super::keeper::demand;
use super::link::Reply;
use super::node::Node;

/// Time for an upstream to tell its state.
const STATUS_LIMIT: Duration = Duration::from_millis(500);

/// Interval at which a fenced replica is looked at.
const FENCE_LOOK: Duration = Duration::from_secs(1);

/// State of an upstream as it tells it.
#[derive(Clone, Copy, Debug)]
pub(super) struct UpstreamState {
    /// Role as it sees itself, unless it was too busy to tell.
    pub role: Option<Role>,
    /// Newest term that it knows.
    pub term: Term,
    /// Last position that it has received, or applied if it was too busy to tell.
    pub received: LogPosition,
    /// Term below which it receives nothing, or 0.
    pub fence: Term,
}

/// Asks an upstream for its state, or changes its fence.
pub(super) async fn query_state(
    node: &Rc<Node>,
    upstream: &Upstream,
    command: Command<'_>,
) -> Option<UpstreamState> {
    let reply = ask(node, upstream, &[command]).await?;
    let row = reply.rows.first().and_then(|it| parse_status(it).ok());
    let received = row.and_then(|row| row.received).or(reply.mark)?;
    Some(UpstreamState {
        role: row.map(|row| row.role),
        term: row.map_or(received.term, |row| row.term),
        received,
        fence: row.map_or(Term::default(), |row| row.fence),
    })
}

/// Takes in what a replica has received and whether a leader of a later term exists; lifts a fence
/// that was left behind.
///
/// `None` if the replica does not answer.
pub(super) async fn observe(
    node: &Rc<Node>,
    service: &Service,
    upstream: &Upstream,
) -> Option<FenceState> {
    let told = query_state(node, upstream, Command::Status).await?;
    let fenced = told.fence > Term::default();
    let fence = node.with_group(service, |group| {
        group.record_received(upstream, told.received);
        if told.role == Some(Role::Primary) {
            group.record_term(told.term);
        }
        group.record_fence(clock::now(), upstream, fenced)
    });
    node.received.notify_waiters();
    match fence {
        FenceState::New => {
            let (node, service, upstream) = (Rc::clone(node), service.clone(), upstream.clone());
            tokio::task::spawn_local(watch_fence(node, service, upstream));
        }
        FenceState::Expired => {
            warn!(node.log, "replica left behind a fence"; "event" => "fence",
                "service" => %service, "upstream" => %upstream, "fence" => %told.fence);
            unfence(node, service, upstream).await;
        }
        FenceState::Unfenced | FenceState::PromotionPending => {}
    }
    Some(fence)
}

/// Looks at a fenced replica until it receives again.
fn watch_fence(
    node: Rc<Node>,
    service: Service,
    upstream: Upstream,
) -> LocalBoxFuture<'static, ()> {
    async move {
        loop {
            sleep(FENCE_LOOK).await;
            match observe(&node, &service, &upstream).await {
                Some(FenceState::PromotionPending) => {}
                // A fence that is new to this look is watched by a task of its own.
                Some(FenceState::Unfenced | FenceState::New | FenceState::Expired) | None => return,
            }
        }
    }
    .boxed_local()
}

/// Lets a replica receive again.
pub(super) async fn unfence(node: &Rc<Node>, service: &Service, upstream: &Upstream) {
    let told = query_state(node, upstream, Command::Unfence).await;
    info!(node.log, "fence lifted"; "event" => "fence", "service" => %service,
        "upstream" => %upstream, "answered" => told.is_some());
}

/// Asks an upstream for the last position that it has applied, which costs it nothing.
pub(super) async fn applied(node: &Rc<Node>, upstream: &Upstream) -> Option<LogPosition> {
    let commands = [Command::Begin(Access::Read, None), Command::Rollback];
    ask(node, upstream, &commands).await?.mark
}

/// Runs statements of the VM's own and returns the answer to the first one.
async fn ask(node: &Rc<Node>, upstream: &Upstream, commands: &[Command<'_>]) -> Option<Reply> {
    let exchange = async {
        let mut lease = node.pool(upstream)?.acquire(demand()).await.ok()?;
        let link = lease.link(node, &Session::default(), None).await.ok()?;
        let replies = link.run(commands, STATUS_LIMIT).await.ok()?;
        replies.into_iter().next()
    };
    timeout(STATUS_LIMIT, exchange).await.ok()?
}
